package delegator

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// directHostConnections is the number of connections to each backend server that
	// a host needs for direct fan-out: one per slot, with two slots per server.
	directHostConnections = 2
	// gathererConnections is the number of connections to each backend server that a
	// gathering host may need: three times the number that it keeps idle, since it
	// sends the queries of several hosts.
	gathererConnections = 6
	// storeFollowersPerDomain is the number of hosts of a failure domain that follow the
	// store, so that one remains if the other is lost.
	storeFollowersPerDomain = 2
	// subRequestCPUTime is the time of a whole core that a gathering host needs for
	// a sub-request: its half of an exchange, see docs/CAPACITY.md.
	subRequestCPUTime = 80 * time.Microsecond
	// subRequestMegabits is the traffic of a sub-request on the link of the host: an
	// answer of 1 KB, the request and the headers of both.
	subRequestMegabits = 0.016
	// gathererWeight is the number of hedges and retries that a gathering host may
	// send for each one of a reserve; reserves get few queries, and only occasionally.
	gathererWeight = 4
	// throughputRatioMax is the largest ratio between the sub-request rates of the
	// fastest and the slowest gathering host of a failure domain. Beyond 2, a query
	// would end sooner at the fastest host, queued behind another query.
	throughputRatioMax = 2
)

// Host is a host of the system.
type Host struct {
	Name   string
	Domain string
	// Address is where the host accepts queries from other hosts.
	Address string
	// Capacity is the processor capacity of the host in cores, usually a fraction of one.
	Capacity float64
	// Link is the bandwidth of its link in Mbit/s, 0 if unknown.
	Link float64
	// Registered is the version of the host's registration in the store.
	Registered storer.Version
	// Relays means that the host keeps to the limits that a relayed request states.
	Relays bool
}

// SubRequestRate returns the number of sub-requests per second that the host can
// gather, limited by its processor or its link.
func (h Host) SubRequestRate() float64 {
	rate := h.ProcessorRate()
	if h.Link > 0 {
		rate = min(rate, h.LinkRate())
	}
	return rate
}

// ProcessorRate returns the number of sub-requests per second that the host's processor can
// gather.
func (h Host) ProcessorRate() float64 { return h.Capacity / subRequestCPUTime.Seconds() }

// LinkRate returns the number of sub-requests per second that the host's link can carry, 0 if
// the link is unknown.
func (h Host) LinkRate() float64 { return h.Link / subRequestMegabits }

// Plan describes how a host serves queries over many shards.
type Plan struct {
	// Direct means that the host scatters queries itself.
	Direct bool
	// Gatherers are the gathering hosts of the failure domain of this host, in the
	// order in which it delegates queries to them; empty if Direct is set.
	Gatherers []Host
	// Reserves and Remote, the gathering hosts of the other failure domains, gather queries
	// while no gathering host is available; see Tiers.
	Reserves []Host
	Remote   []Host
	// ExtraShare is the fraction of the hedges and retries of all hosts to a shard that
	// this host may send, 0 for a host that scatters queries only if no gathering
	// host or reserve is available.
	ExtraShare float64
}

// New returns the plan of a host among all registered hosts. Each backend server
// accepts the given number of connections from all hosts together; 0 means no limit.
func New(self Host, hosts []Host, connections int) Plan {
	if allFanOut(hosts, connections) {
		return Plan{Direct: true, ExtraShare: 1 / float64(max(len(hosts), 1))}
	}
	gatherers, reserves := gathering(self.Domain, hosts, connections)
	plan := Plan{ExtraShare: extraShare(self, hosts, connections)}
	if len(gatherers) == 0 || slices.ContainsFunc(gatherers, self.same) {
		plan.Direct = true
		return plan
	}
	plan.Gatherers = preferenceOrder(self, gatherers)
	plan.Reserves = preferenceOrder(self, slices.DeleteFunc(reserves, self.same))
	plan.Remote = preferenceOrder(self, remoteGatherers(self, hosts, connections))
	return plan
}

// Tiers returns the hosts to which this host delegates queries: a later tier is used while no
// host of those before is available. Remote hosts come before reserves that are much slower,
// since these would take long for a query and have no room for those of a failure domain.
func (p Plan) Tiers() [][]Host {
	if len(p.Remote) > 0 && maxRate(p.Remote) > throughputRatioMax*maxRate(p.Reserves) {
		return [][]Host{p.Gatherers, p.Remote, p.Reserves}
	}
	return [][]Host{p.Gatherers, p.Reserves, p.Remote}
}

// maxRate returns the greatest sub-request rate of some hosts, 0 if there are none.
func maxRate(hosts []Host) float64 {
	rate := 0.0
	for _, host := range hosts {
		rate = max(rate, host.SubRequestRate())
	}
	return rate
}

// remoteGatherers returns the gathering hosts of the other failure domains.
func remoteGatherers(self Host, hosts []Host, connections int) []Host {
	var remote []Host
	for _, domain := range domainsOf(hosts) {
		if domain != self.Domain {
			gatherers, _ := gathering(domain, hosts, connections)
			remote = append(remote, gatherers...)
		}
	}
	return remote
}

// domainsOf returns the failure domains of some hosts in alphabetical order.
func domainsOf(hosts []Host) []string {
	domains := make(map[string]bool)
	for _, host := range hosts {
		domains[host.Domain] = true
	}
	return slices.Sorted(maps.Keys(domains))
}

// RelayPeers returns the hosts through which self may send a request whose servers it can't
// reach, in tiers: a later one is used while no host of those before is available. Each
// backend server accepts the given number of connections, as in New; sharded requests go to
// hosts that gather queries, and to any other only while none of those is left: it opens
// connections of its own.
func RelayPeers(self Host, hosts []Host, connections int, sharded bool) [][]Host {
	if !sharded || allFanOut(hosts, connections) {
		return [][]Host{slices.DeleteFunc(slices.Clone(hosts), self.same)}
	}
	var first, second, rest []Host
	tiered := map[string]bool{self.Name: true}
	for _, domain := range domainsOf(hosts) {
		gatherers, reserves := gathering(domain, hosts, connections)
		first = append(first, gatherers...)
		second = append(second, reserves...)
	}
	for _, host := range slices.Concat(first, second) {
		tiered[host.Name] = true
	}
	for _, host := range hosts {
		if !tiered[host.Name] {
			rest = append(rest, host)
		}
	}
	return [][]Host{slices.DeleteFunc(first, self.same), slices.DeleteFunc(second, self.same), rest}
}

// extraShare returns the fraction of all hedges and retries to shards that a host may
// send. Gathering hosts get most of them, reserves the rest.
func extraShare(self Host, hosts []Host, connections int) float64 {
	domains := make(map[string]bool)
	own, all := 0, 0
	for _, host := range hosts {
		if domains[host.Domain] {
			continue
		}
		domains[host.Domain] = true
		gatherers, reserves := gathering(host.Domain, hosts, connections)
		all += gathererWeight*len(gatherers) + len(reserves)
		switch {
		case slices.ContainsFunc(gatherers, self.same):
			own = gathererWeight
		case slices.ContainsFunc(reserves, self.same):
			own = 1
		}
	}
	return float64(own) / float64(max(all, 1))
}

// same reports whether two values describe the same host.
func (h Host) same(other Host) bool {
	return h.Name == other.Name
}

// SliceGatherers returns the hosts of a failure domain that gather slices of queries (those
// shards whose backend servers are there), in the order in which self delegates to them.
// Each backend server accepts the given number of connections, as in New; if they suffice
// for direct fan-out, all hosts of the failure domain are returned.
func SliceGatherers(self Host, domain string, hosts []Host, connections int) []Host {
	if allFanOut(hosts, connections) {
		return preferenceOrder(self, byRate(domain, hosts))
	}
	gatherers, _ := gathering(domain, hosts, connections)
	return preferenceOrder(self, gatherers)
}

// allFanOut reports whether the connection limit of a backend server suffices for
// direct fan-out from all hosts.
func allFanOut(hosts []Host, connections int) bool {
	return connections == 0 || len(hosts)*directHostConnections <= connections
}

// gathering returns the gathering hosts of a failure domain and their reserves. The
// gathering hosts are the fastest ones, limited by the connections of a backend
// server and by throughputRatioMax. The reserves are the hosts next in speed, at most
// gatherersPerDomain of them.
func gathering(domain string, hosts []Host, connections int) (gatherers, reserves []Host) {
	inDomain := byRate(domain, hosts)
	if len(inDomain) == 0 {
		return nil, nil
	}
	n := min(gatherersPerDomain(hosts, connections), len(inDomain))
	fast := 1
	for fast < n && inDomain[fast].SubRequestRate()*throughputRatioMax >= inDomain[0].SubRequestRate() {
		fast++
	}
	return inDomain[:fast], slices.Clone(inDomain[fast:min(fast+n, len(inDomain))])
}

// gatherersPerDomain returns the number of hosts of each failure domain that may
// gather queries within the connection limit of a backend server.
func gatherersPerDomain(hosts []Host, connections int) int {
	domains := make(map[string]bool)
	for _, host := range hosts {
		domains[host.Domain] = true
	}
	return max(1, connections/gathererConnections/max(len(domains), 1))
}

// StoreFollowers returns the hosts of a failure domain that follow the store for the others
// there. It returns none for a small failure domain, where each host follows the store
// itself.
func StoreFollowers(domain string, hosts []Host) []Host {
	inDomain := byRate(domain, hosts)
	if len(inDomain) <= storeFollowersPerDomain {
		return nil
	}
	return inDomain[:storeFollowersPerDomain]
}

// StoreSuccessors returns the hosts of a failure domain that follow the store as the first ones if
// those of StoreFollowers have stalled.
func StoreSuccessors(domain string, hosts []Host) []Host {
	inDomain := byRate(domain, hosts)
	return inDomain[min(storeFollowersPerDomain, len(inDomain)):min(2*storeFollowersPerDomain, len(inDomain))]
}

// byRate returns the hosts of a failure domain by decreasing sub-request rate.
func byRate(domain string, hosts []Host) []Host {
	var inDomain []Host
	for _, host := range hosts {
		if host.Domain == domain {
			inDomain = append(inDomain, host)
		}
	}
	slices.SortFunc(inDomain, func(a, b Host) int {
		return cmp.Or(cmp.Compare(b.SubRequestRate(), a.SubRequestRate()), cmp.Compare(tieBreaker(a), tieBreaker(b)))
	})
	return inDomain
}

// tieBreaker orders hosts of equal rate, identically on all hosts and regardless of
// the order of their names.
func tieBreaker(h Host) uint64 {
	return xxhash.Sum64String(h.Name)
}

// preferenceOrder sorts hosts by their rendezvous hash with self, weighted by their
// sub-request rates. A host with few queries has too few observations of other hosts
// to choose by; it stays with the first one, and all such hosts together spread the
// load in proportion to capacity.
func preferenceOrder(self Host, hosts []Host) []Host {
	ordered := slices.Clone(hosts)
	slices.SortFunc(ordered, func(a, b Host) int {
		return cmp.Or(cmp.Compare(rendezvousWeight(self, b), rendezvousWeight(self, a)), cmp.Compare(a.Name, b.Name))
	})
	return ordered
}

// rendezvousWeight returns the weighted rendezvous hash of two hosts.
func rendezvousWeight(self, other Host) float64 {
	// Uniform in the open interval (0, 1), so that the logarithm is finite and not 0.
	hash := (float64(xxhash.Sum64String(self.Name+"/"+other.Name)>>11) + 0.5) / (1 << 53)
	return -other.SubRequestRate() / math.Log(hash)
}
