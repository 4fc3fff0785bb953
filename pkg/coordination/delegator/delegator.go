package delegator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// directConnections is how many connections to each backend server a host
	// needs for direct fan-out: one for each slot of today's servers.
	directConnections = 2
	// gatherConnections is how many a gathering host needs, which has the
	// queries of several hosts in flight at once.
	gatherConnections = 8
	// watchers is how many hosts of a failure domain follow the store, so that
	// the loss of one leaves the other.
	watchers = 2
)

// Host is a host of the system.
type Host struct {
	Name   string
	Domain string
	// Address is where the host takes queries from other hosts.
	Address string
	// Capacity is its share of a core; hosts with more gather first.
	Capacity float64
}

// Plan says how a host serves queries over many shards.
type Plan struct {
	// Direct means that the host fans out by itself.
	Direct bool
	// Gatherers are the hosts to hand queries to, of the own failure domain.
	Gatherers []Host
}

// New returns the plan of a host among all hosts known, for backend servers
// that take so many connections from all hosts together; 0 is no bound.
func New(self Host, hosts []Host, connections int) Plan {
	if connections == 0 || len(hosts)*directConnections <= connections {
		return Plan{Direct: true}
	}
	own := ranked(self.Domain, hosts)
	gatherers := own[:min(gatherersIn(hosts, connections), len(own))]
	if len(gatherers) == 0 || slices.ContainsFunc(gatherers, func(h Host) bool { return h.Name == self.Name }) {
		return Plan{Direct: true}
	}
	return Plan{Gatherers: gatherers}
}

// Peers returns the hosts of a failure domain that gather the parts of queries
// whose backend servers are there, for servers that take so many connections.
func Peers(domain string, hosts []Host, connections int) []Host {
	there := ranked(domain, hosts)
	if connections == 0 || len(hosts)*directConnections <= connections {
		return there
	}
	return there[:min(gatherersIn(hosts, connections), len(there))]
}

// gatherersIn returns how many hosts of each failure domain gather queries.
func gatherersIn(hosts []Host, connections int) int {
	domains := make(map[string]bool)
	for _, host := range hosts {
		domains[host.Domain] = true
	}
	return max(1, connections/gatherConnections/max(len(domains), 1))
}

// Watchers returns the hosts of a failure domain that follow the store for the
// others there; small failure domains have none, and each host follows by itself.
func Watchers(domain string, hosts []Host) []Host {
	own := ranked(domain, hosts)
	if len(own) <= watchers {
		return nil
	}
	return own[:watchers]
}

// ranked returns the hosts of a failure domain, those of the greatest capacity first.
func ranked(domain string, hosts []Host) []Host {
	var own []Host
	for _, host := range hosts {
		if host.Domain == domain {
			own = append(own, host)
		}
	}
	slices.SortFunc(own, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(rank(a), rank(b)))
	})
	return own
}

// rank orders hosts of equal capacity in a way that is the same on all hosts
// and says nothing of their names.
func rank(h Host) uint64 {
	return xxhash.Sum64String(h.Name)
}
