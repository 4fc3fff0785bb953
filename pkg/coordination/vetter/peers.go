package vetter

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
)

const (
	// directHosts is the number of other hosts up to which a host sends changed records to all
	// of them; beyond, it sends them to fanout random ones, which send them on.
	directHosts = 16
	fanout      = 4
	// partnersPerSide is the number of partners in the host's own failure domain and of those in
	// others.
	partnersPerSide = 2
)

// Targets returns the hosts to which a host sends changed records.
func Targets(random *rand.Rand, self delegator.Host, hosts []delegator.Host) []delegator.Host {
	others := slices.DeleteFunc(slices.Clone(hosts), func(h delegator.Host) bool { return h.Address == self.Address })
	if len(others) <= directHosts {
		return others
	}
	random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return others[:fanout]
}

// Partners returns the hosts with which a host compares its records, some of its own failure
// domain and some of others by turns. They stay the same while these hosts are listed.
func Partners(self delegator.Host, hosts []delegator.Host) []delegator.Host {
	hosts = slices.Clone(hosts)
	rank := func(h delegator.Host) uint64 { return xxhash.Sum64String(self.Name + " " + h.Name) }
	slices.SortFunc(hosts, func(a, b delegator.Host) int { return cmp.Compare(rank(a), rank(b)) })
	var same, other []delegator.Host
	for _, host := range hosts {
		switch {
		case host.Name == self.Name:
		case host.Domain == self.Domain && len(same) < partnersPerSide:
			same = append(same, host)
		case host.Domain != self.Domain && len(other) < partnersPerSide:
			other = append(other, host)
		}
	}
	var partners []delegator.Host
	for i := range max(len(same), len(other)) {
		partners = append(partners, same[min(i, len(same)):min(i+1, len(same))]...)
		partners = append(partners, other[min(i, len(other)):min(i+1, len(other))]...)
	}
	return partners
}
