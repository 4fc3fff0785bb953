package delegator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// directConnections is how many connections to each backend server a host
	// needs for direct fan-out: one for each slot of today's servers.
	directConnections = 2
	// gatherConnections is how many a gathering host may need to each backend
	// server: three times what it keeps idle, for the queries of several hosts.
	gatherConnections = 6
	// watchers is how many hosts of a failure domain follow the store, so that
	// the loss of one leaves the other.
	watchers = 2
	// partWork is the processor time of a whole core that a part of a query takes
	// at the host that gathers it: its half of an exchange, as in docs/CAPACITY.md.
	partWork = 80 * time.Microsecond
	// partMegabits is what a part moves over the host's link: an answer of 1 KB,
	// the request and the headers of both.
	partMegabits = 0.016
	// gathererShare is how many times the extra attempts of a reserve a gathering
	// host may send: reserves have few queries, and only at times.
	gathererShare = 4
	// speedSpread is how many times longer than at the fastest host a query may
	// take at another one that gathers beside it. With more than two it would be
	// served sooner behind another query at the fastest.
	speedSpread = 2
)

// Host is a host of the system.
type Host struct {
	Name   string
	Domain string
	// Address is where the host takes queries from other hosts.
	Address string
	// Capacity is its share of a core.
	Capacity float64
	// Link is the bandwidth of its link in Mbit/s, 0 if it is not known.
	Link float64
}

// carry returns how many parts of queries the host gathers a second, by what
// binds first, its processor or its link.
func (h Host) carry() float64 {
	parts := h.Capacity / partWork.Seconds()
	if h.Link > 0 {
		parts = min(parts, h.Link/partMegabits)
	}
	return parts
}

// Plan says how a host serves queries over many shards.
type Plan struct {
	// Direct means that the host fans out by itself.
	Direct bool
	// Gatherers are the hosts to hand queries to, of the own failure domain, in
	// the order in which this host tries them.
	Gatherers []Host
	// Reserves gather in their place while none of them seems to serve.
	Reserves []Host
	// Share is the part of the extra attempts of all hosts to a shard that this
	// host may send, 0 for one that only fans out where no other host serves.
	Share float64
}

// New returns the plan of a host among all hosts known, for backend servers
// that take so many connections from all hosts together; 0 is no bound.
func New(self Host, hosts []Host, connections int) Plan {
	if fewHosts(hosts, connections) {
		return Plan{Direct: true, Share: 1 / float64(max(len(hosts), 1))}
	}
	gatherers, reserves := gathering(self.Domain, hosts, connections)
	plan := Plan{Share: share(self, hosts, connections)}
	if len(gatherers) == 0 || slices.ContainsFunc(gatherers, self.is) {
		plan.Direct = true
		return plan
	}
	plan.Gatherers = preferred(self, gatherers)
	plan.Reserves = preferred(self, slices.DeleteFunc(reserves, self.is))
	return plan
}

// share divides the extra attempts to shards among the hosts that send to them:
// most to those that gather, some to those that stand in for them.
func share(self Host, hosts []Host, connections int) float64 {
	domains := make(map[string]bool)
	own, all := 0, 0
	for _, host := range hosts {
		if domains[host.Domain] {
			continue
		}
		domains[host.Domain] = true
		gatherers, reserves := gathering(host.Domain, hosts, connections)
		all += gathererShare*len(gatherers) + len(reserves)
		switch {
		case slices.ContainsFunc(gatherers, self.is):
			own = gathererShare
		case slices.ContainsFunc(reserves, self.is):
			own = 1
		}
	}
	return float64(own) / float64(max(all, 1))
}

// is reports whether two entries are of the same host.
func (h Host) is(other Host) bool {
	return h.Name == other.Name
}

// Peers returns the hosts of a failure domain that gather the parts of queries
// whose backend servers are there, for servers that take so many connections, in
// the order in which a host tries them.
func Peers(self Host, domain string, hosts []Host, connections int) []Host {
	if fewHosts(hosts, connections) {
		return preferred(self, ranked(domain, hosts))
	}
	gatherers, _ := gathering(domain, hosts, connections)
	return preferred(self, gatherers)
}

// fewHosts reports whether all hosts may connect to each backend server.
func fewHosts(hosts []Host, connections int) bool {
	return connections == 0 || len(hosts)*directConnections <= connections
}

// gathering returns the hosts of a failure domain that gather queries: the
// fastest, as far as the connections of a backend server go and as far as no
// other is much faster; and as many after them, which do so if those are gone.
func gathering(domain string, hosts []Host, connections int) (gatherers, reserves []Host) {
	own := ranked(domain, hosts)
	if len(own) == 0 {
		return nil, nil
	}
	n := min(gatherersIn(hosts, connections), len(own))
	fast := 1
	for fast < n && own[fast].carry()*speedSpread >= own[0].carry() {
		fast++
	}
	return own[:fast], slices.Clone(own[fast:min(fast+n, len(own))])
}

// gatherersIn returns how many hosts of each failure domain may gather queries
// within the connections of a backend server.
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

// ranked returns the hosts of a failure domain, those that carry most first.
func ranked(domain string, hosts []Host) []Host {
	var own []Host
	for _, host := range hosts {
		if host.Domain == domain {
			own = append(own, host)
		}
	}
	slices.SortFunc(own, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.carry(), a.carry()), cmp.Compare(rank(a), rank(b)))
	})
	return own
}

// rank orders hosts of equal speed in a way that is the same on all hosts and
// says nothing of their names.
func rank(h Host) uint64 {
	return xxhash.Sum64String(h.Name)
}

// preferred orders hosts by a rendezvous hash with the host that asks, weighted
// by what they carry. Hosts with few queries have seen too little of others to
// choose by; each keeps to its first, and all of them together share the load
// by capacity.
func preferred(self Host, hosts []Host) []Host {
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b Host) int {
		return cmp.Or(cmp.Compare(weight(self, b), weight(self, a)), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}

// weight is the weighted rendezvous hash of two hosts.
func weight(self, other Host) float64 {
	// A number above 0 and below 1.
	hash := (float64(xxhash.Sum64String(self.Name+"/"+other.Name)>>11) + 0.5) / (1 << 53)
	return -other.carry() / math.Log(hash)
}
