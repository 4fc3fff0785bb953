package delegator

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// hostsPerAllotter is the number of hosts for each of which one more host allots tokens,
// so that no host answers the asks for all servers of a large deployment.
const hostsPerAllotter = 64

// Allotters chooses the hosts that allot the tokens of backend servers with a limit.
type Allotters struct {
	// order has the hosts by the age of their registrations.
	order []Host
	n     int
}

// NewAllotters returns the choice among all registered hosts. The hosts that registered
// first are chosen: they are the same on each host, also where a list of hosts is old,
// since a host that is added later is always the last.
func NewAllotters(hosts []Host) Allotters {
	order := slices.Clone(hosts)
	slices.SortFunc(order, func(a, b Host) int {
		return cmp.Or(cmp.Compare(a.Registered, b.Registered), cmp.Compare(a.Name, b.Name))
	})
	return Allotters{order: order, n: 1 + len(hosts)/hostsPerAllotter}
}

// Group returns the number of the group of servers to which a server belongs; one host
// allots the tokens of a group. One more group takes over servers of each of the others,
// and moves none among them.
func (a Allotters) Group(server string) int {
	best, most := 0, uint64(0)
	for group := range a.n {
		weight := xxhash.Sum64String(strconv.Itoa(group) + "/" + server)
		if weight > most {
			best, most = group, weight
		}
	}
	return best
}

// Preference returns the hosts in the order in which they allot the tokens of a group: each
// one only while those before it are unreachable.
func (a Allotters) Preference(group int) []Host {
	if len(a.order) == 0 {
		return nil
	}
	first := group % len(a.order)
	return slices.Concat(a.order[first:], a.order[:first])
}
