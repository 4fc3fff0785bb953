package delegator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// site returns hosts in three failure domains, the first two of each large.
func site(perDomain int) []Host {
	var hosts []Host
	for _, domain := range []string{"a", "b", "c"} {
		for i := range perDomain {
			capacity := 0.2
			if i < 2 {
				capacity = 0.8
			}
			hosts = append(hosts, Host{Name: fmt.Sprint(domain, i), Domain: domain, Capacity: capacity})
		}
	}
	return hosts
}

func TestFewHostsFanOutDirectly(t *testing.T) {
	is := is.New(t)
	hosts := site(3)
	is.True(New(hosts[0], hosts, 26).Direct)
	is.True(New(hosts[0], hosts, 0).Direct) // no bound on connections
}

// TestManyHostsHandQueriesToTheLargeOnesOfTheirDomain has 81 hosts and 63 connections.
func TestManyHostsHandQueriesToTheLargeOnesOfTheirDomain(t *testing.T) {
	is := is.New(t)
	hosts := site(27)
	gathering := 0
	for _, host := range hosts {
		plan := New(host, hosts, 63)
		if plan.Direct {
			gathering++
			is.Equal(host.Capacity, 0.8)
			continue
		}
		is.Equal(len(plan.Gatherers), 2)
		for _, gatherer := range plan.Gatherers {
			is.Equal(gatherer.Domain, host.Domain)
			is.True(New(gatherer, hosts, 63).Direct) // who is handed queries serves them
		}
	}
	is.Equal(gathering, 6)
	is.True(gathering*gatherConnections <= 63)
}

// TestLostGathererMovesOnlyItsShare removes one gathering host of two: the other
// goes on, and a small host takes no regular queries for it but stands in reserve.
func TestLostGathererMovesOnlyItsShare(t *testing.T) {
	is := is.New(t)
	hosts := site(27)
	before := New(hosts[5], hosts, 63)
	after := New(hosts[5], hosts[1:], 63)
	is.Equal(len(before.Gatherers), 2)
	is.Equal(len(after.Gatherers), 1)
	is.True(slices.ContainsFunc(before.Gatherers, func(h Host) bool { return h.Name == after.Gatherers[0].Name }))
	is.True(len(after.Gatherers)+len(after.Reserves) >= len(before.Gatherers))
}

// TestPartsGoToHostsOfTheDomainOfTheirServers has all hosts of a small site
// gather parts, and the gathering hosts of a large one.
func TestPartsGoToHostsOfTheDomainOfTheirServers(t *testing.T) {
	is := is.New(t)
	small := site(3)
	is.Equal(len(Peers(small[0], "b", small, 26)), 3)
	is.Equal(len(Peers(small[0], "x", small, 26)), 0)
	hosts := site(27)
	peers := Peers(hosts[0], "b", hosts, 63)
	is.Equal(len(peers), 2)
	for _, peer := range peers {
		is.Equal(peer.Domain, "b")
		is.True(New(peer, hosts, 63).Direct)
	}
}

// fleet returns hosts in failure domains, so many large and small ones in each.
func fleet(domains, large, small int) []Host {
	var hosts []Host
	for d := range domains {
		for i := range large + small {
			host := Host{Name: fmt.Sprint(d, "-", i), Domain: fmt.Sprint(d), Capacity: 0.8, Link: 200}
			if i >= large {
				host.Capacity, host.Link = 0.192, 60
			}
			hosts = append(hosts, host)
		}
	}
	return hosts
}

// TestSlowHostsDoNotGatherBesideFastOnes has domains whose share of the
// connections is larger than their number of large hosts: a small one would
// take four times as long for each query that it gets.
func TestSlowHostsDoNotGatherBesideFastOnes(t *testing.T) {
	for name, site := range map[string]struct {
		hosts               []Host
		connections         int
		gatherers, reserves int
	}{
		"8 equal, direct":             {hosts: fleet(4, 2, 0), connections: 26},
		"76, two large a domain":      {hosts: fleet(4, 2, 17), connections: 60, gatherers: 2, reserves: 2},
		"82, two large a domain":      {hosts: fleet(3, 2, 25), connections: 63, gatherers: 2, reserves: 3},
		"295, three large a domain":   {hosts: fleet(5, 3, 56), connections: 175, gatherers: 3, reserves: 5},
		"295, none large":             {hosts: fleet(5, 0, 59), connections: 175, gatherers: 5, reserves: 5},
		"3,400, twelve large each":    {hosts: fleet(13, 12, 250), connections: 600, gatherers: 7, reserves: 7},
		"3,400, all equal":            {hosts: fleet(13, 0, 262), connections: 600, gatherers: 7, reserves: 7},
		"few connections, one gather": {hosts: fleet(5, 3, 56), connections: 20, gatherers: 1, reserves: 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			last := site.hosts[len(site.hosts)-1]
			plan := New(last, site.hosts, site.connections)
			if site.gatherers == 0 {
				is.True(plan.Direct)
				return
			}
			gatherers, reserves := gathering(last.Domain, site.hosts, site.connections)
			is.Equal(len(gatherers), site.gatherers)
			is.Equal(len(reserves), site.reserves)
			for _, host := range gatherers {
				is.True(host.carry()*speedSpread >= gatherers[0].carry())
			}
		})
	}
}

// TestTheSlowerOfProcessorAndLinkBinds has two hosts of the same capacity, one
// behind a link that moves a quarter of what its processor gathers.
func TestTheSlowerOfProcessorAndLinkBinds(t *testing.T) {
	is := is.New(t)
	hosts := append(fleet(3, 0, 25), Host{Name: "wide", Domain: "0", Capacity: 0.8, Link: 200}, Host{Name: "narrow", Domain: "0", Capacity: 0.8, Link: 40})
	gatherers, _ := gathering("0", hosts, 63)
	is.Equal(len(gatherers), 1)
	is.Equal(gatherers[0].Name, "wide")
}

// TestHostsOfADomainShareItsGatherersByCapacity counts the first choices of the
// hosts of one domain: hosts that have seen nothing must not all take the same.
func TestHostsOfADomainShareItsGatherersByCapacity(t *testing.T) {
	is := is.New(t)
	hosts := fleet(5, 2, 300)
	hosts[1].Capacity, hosts[1].Link = 0.4, 100 // half of the other large one of domain 0
	counts := make(map[string]int)
	for _, host := range hosts {
		plan := New(host, hosts, 175)
		if host.Domain == "0" && !plan.Direct {
			counts[plan.Gatherers[0].Name]++
			is.Equal(plan.Gatherers[0].Name, New(host, hosts, 175).Gatherers[0].Name) // a choice that stays
		}
	}
	t.Log(counts)
	is.Equal(len(counts), 2)
	full, half := counts[hosts[0].Name], counts[hosts[1].Name]
	is.True(full > 3*half/2 && full < 3*half) // two to one, but for chance
}

// TestLostHostMovesOnlyItsCallers takes one gathering host of three away.
func TestLostHostMovesOnlyItsCallers(t *testing.T) {
	is := is.New(t)
	hosts := fleet(5, 3, 56)
	lost := hosts[0].Name
	moved := 0
	for _, host := range hosts[3:59] {
		before := New(host, hosts, 175).Gatherers[0].Name
		after := New(host, hosts[1:], 175).Gatherers[0].Name
		if before != after {
			is.Equal(before, lost)
			moved++
		}
	}
	is.True(moved > 0 && moved < 56*2/3)
}

// TestSmallHostsGatherWhereTheLargeOnesAreGone finds hosts to hand queries to in
// a domain whose large hosts are lost but still listed.
func TestSmallHostsGatherWhereTheLargeOnesAreGone(t *testing.T) {
	is := is.New(t)
	hosts := fleet(5, 3, 56)
	for _, host := range hosts[3:59] {
		plan := New(host, hosts, 175)
		is.True(len(plan.Reserves) >= 4)
		for _, reserve := range plan.Reserves {
			is.Equal(reserve.Domain, host.Domain)
			is.True(reserve.Name != host.Name)
		}
	}
}

// TestExtraAttemptsAreDividedAmongThoseThatUseThem adds the shares of all hosts up.
func TestExtraAttemptsAreDividedAmongThoseThatUseThem(t *testing.T) {
	is := is.New(t)
	for _, site := range []struct {
		hosts       []Host
		connections int
	}{{fleet(4, 2, 0), 26}, {fleet(4, 2, 17), 60}, {fleet(5, 3, 56), 175}, {fleet(13, 12, 250), 600}} {
		sum, gathered := 0.0, 0.0
		for _, host := range site.hosts {
			plan := New(host, site.hosts, site.connections)
			sum += plan.Share
			if plan.Direct {
				gathered += plan.Share
			}
		}
		is.True(sum > 0.999 && sum < 1.001)
		is.True(gathered > 0.6) // those to whom queries are handed have most
	}
}

// TestSharesHoldWhileHostsDisagree has one gathering host taken off the list
// that half of the hosts hold: what all of them may send together stays within
// the reserve that is kept of the allowance, a quarter of what is planned with.
func TestSharesHoldWhileHostsDisagree(t *testing.T) {
	is := is.New(t)
	hosts := fleet(5, 3, 56)
	sum := 0.0
	for i, host := range hosts {
		view := hosts
		if i%2 == 1 {
			view = hosts[1:]
		}
		sum += New(host, view, 175).Share
	}
	is.True(sum <= 1.25)
}

func TestTwoHostsOfADomainFollowTheStore(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Watchers("a", site(watchers))), 0)
	for _, perDomain := range []int{3, 27} {
		chosen := Watchers("a", site(perDomain))
		is.Equal(len(chosen), watchers)
		for _, host := range chosen {
			is.Equal(host.Domain, "a")
		}
	}
}
