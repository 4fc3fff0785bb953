package vetter

import (
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
	var same, other ranking
	own := xxhash.Sum64String(self.Name)
	for _, host := range hosts {
		switch {
		case host.Name == self.Name:
		case host.Domain == self.Domain:
			same.add(host, own)
		default:
			other.add(host, own)
		}
	}
	var partners []delegator.Host
	for i := range partnersPerSide {
		for _, side := range []ranking{same, other} {
			if i < side.n {
				partners = append(partners, side.hosts[i])
			}
		}
	}
	return partners
}

// ranking holds the hosts that rank first for another one.
type ranking struct {
	hosts [partnersPerSide]delegator.Host
	ranks [partnersPerSide]uint64
	n     int
}

// add adds a host if it ranks among the first; own is the hash of the name of the host for which
// it is ranked.
func (r *ranking) add(host delegator.Host, own uint64) {
	const spread = 0x9e3779b97f4a7c15
	rank := (xxhash.Sum64String(host.Name) ^ own) * spread
	i := r.n
	for i > 0 && rank < r.ranks[i-1] {
		i--
	}
	if i == partnersPerSide {
		return
	}
	copy(r.hosts[i+1:], r.hosts[i:])
	copy(r.ranks[i+1:], r.ranks[i:])
	r.hosts[i], r.ranks[i] = host, rank
	r.n = min(r.n+1, partnersPerSide)
}
