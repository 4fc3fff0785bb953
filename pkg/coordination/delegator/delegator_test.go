package delegator

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

// site returns perDomain hosts in each of three failure domains; the first two of each are large.
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
	is.True(New(hosts[0], hosts, 0).Direct) // no limit on connections
}

// TestManyHostsDelegateToLargeHostsOfTheirDomain has 81 hosts and servers that accept
// 63 connections, too few for direct fan-out.
func TestManyHostsDelegateToLargeHostsOfTheirDomain(t *testing.T) {
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
			is.True(New(gatherer, hosts, 63).Direct) // the target of a delegation does not delegate again
		}
	}
	is.Equal(gathering, 6)
	is.True(gathering*gathererConnections <= 63)
}

// TestSmallHostDoesNotReplaceLostGatherer removes one of two gathering hosts: the other one
// stays, and no small host becomes a gathering host in its place but only a reserve.
func TestSmallHostDoesNotReplaceLostGatherer(t *testing.T) {
	is := is.New(t)
	hosts := site(27)
	before := New(hosts[5], hosts, 63)
	after := New(hosts[5], hosts[1:], 63)
	is.Equal(len(before.Gatherers), 2)
	is.Equal(len(after.Gatherers), 1)
	is.True(slices.ContainsFunc(before.Gatherers, func(h Host) bool { return h.Name == after.Gatherers[0].Name }))
	is.True(len(after.Gatherers)+len(after.Reserves) >= len(before.Gatherers))
}

// TestSlicesGoToHostsInTheDomainOfTheirServers expects slices to be gathered by all
// hosts of a failure domain in a small site, and by its gathering hosts in a large one.
func TestSlicesGoToHostsInTheDomainOfTheirServers(t *testing.T) {
	is := is.New(t)
	small := site(3)
	is.Equal(len(SliceGatherers(small[0], "b", small, 26)), 3)
	is.Equal(len(SliceGatherers(small[0], "x", small, 26)), 0)
	hosts := site(27)
	peers := SliceGatherers(hosts[0], "b", hosts, 63)
	is.Equal(len(peers), 2)
	for _, peer := range peers {
		is.Equal(peer.Domain, "b")
		is.True(New(peer, hosts, 63).Direct)
	}
}

// fleet returns hosts with the given numbers of large and small ones in each failure domain.
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

// TestSlowHostsDoNotGatherBesideFastOnes has failure domains in which the connections
// allow more gathering hosts than there are large hosts: queries at a small one would
// take four times as long.
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
				is.True(host.SubRequestRate()*throughputRatioMax >= gatherers[0].SubRequestRate())
			}
		})
	}
}

// TestRateIsLimitedByProcessorAndLink has two hosts of the same capacity, of which one
// has a link for only a quarter of the sub-requests that its processor can gather.
func TestRateIsLimitedByProcessorAndLink(t *testing.T) {
	is := is.New(t)
	hosts := append(fleet(3, 0, 25), Host{Name: "wide", Domain: "0", Capacity: 0.8, Link: 200}, Host{Name: "narrow", Domain: "0", Capacity: 0.8, Link: 40})
	gatherers, _ := gathering("0", hosts, 63)
	is.Equal(len(gatherers), 1)
	is.Equal(gatherers[0].Name, "wide")
}

// TestHostsOfADomainShareItsGatherersByCapacity counts the first choices of the hosts of
// one failure domain: hosts without observations must not all choose the same one.
func TestHostsOfADomainShareItsGatherersByCapacity(t *testing.T) {
	is := is.New(t)
	hosts := fleet(5, 2, 300)
	hosts[1].Capacity, hosts[1].Link = 0.4, 100 // half of the other large host of failure domain 0
	counts := make(map[string]int)
	for _, host := range hosts {
		plan := New(host, hosts, 175)
		if host.Domain == "0" && !plan.Direct {
			counts[plan.Gatherers[0].Name]++
			is.Equal(plan.Gatherers[0].Name, New(host, hosts, 175).Gatherers[0].Name) // the choice is stable
		}
	}
	t.Log(counts)
	is.Equal(len(counts), 2)
	full, half := counts[hosts[0].Name], counts[hosts[1].Name]
	is.True(full > 3*half/2 && full < 3*half) // two to one, within random variation
}

// TestLostGathererMovesOnlyItsDelegations removes one of three gathering hosts: only
// hosts that delegated to it change their first choice.
func TestLostGathererMovesOnlyItsDelegations(t *testing.T) {
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

// TestSmallHostsAreReserves expects reserves in a failure domain whose large hosts may
// be lost but still registered.
func TestSmallHostsAreReserves(t *testing.T) {
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

// TestExtraSharesAddUpToOne adds up the shares of hedges and retries of all hosts.
func TestExtraSharesAddUpToOne(t *testing.T) {
	is := is.New(t)
	for _, site := range []struct {
		hosts       []Host
		connections int
	}{{fleet(4, 2, 0), 26}, {fleet(4, 2, 17), 60}, {fleet(5, 3, 56), 175}, {fleet(13, 12, 250), 600}} {
		sum, gathered := 0.0, 0.0
		for _, host := range site.hosts {
			plan := New(host, site.hosts, site.connections)
			sum += plan.ExtraShare
			if plan.Direct {
				gathered += plan.ExtraShare
			}
		}
		is.True(sum > 0.999 && sum < 1.001)
		is.True(gathered > 0.6) // the hosts that scatter queries get most
	}
}

// TestExtraSharesStayBoundedWhileHostListsDiffer removes one gathering host from the
// list of half of the hosts: the sum of all shares exceeds 1 by at most a quarter, for
// which the configured bound has a reserve beyond the budget that the hosts divide.
func TestExtraSharesStayBoundedWhileHostListsDiffer(t *testing.T) {
	is := is.New(t)
	hosts := fleet(5, 3, 56)
	sum := 0.0
	for i, host := range hosts {
		view := hosts
		if i%2 == 1 {
			view = hosts[1:]
		}
		sum += New(host, view, 175).ExtraShare
	}
	is.True(sum <= 1.25)
}

func TestTwoHostsOfADomainFollowTheStore(t *testing.T) {
	is := is.New(t)
	is.Equal(len(StoreFollowers("a", site(storeFollowersPerDomain))), 0)
	for _, perDomain := range []int{3, 27} {
		chosen := StoreFollowers("a", site(perDomain))
		is.Equal(len(chosen), storeFollowersPerDomain)
		for _, host := range chosen {
			is.Equal(host.Domain, "a")
		}
	}
}

func names(hosts []Host) []string {
	var list []string
	for _, host := range hosts {
		list = append(list, host.Name)
	}
	return list
}

// TestQueriesOfLostGatherersAreNotLeftToSlowReserves guards against small hosts that get all queries of their failure domain.
func TestQueriesOfLostGatherersAreNotLeftToSlowReserves(t *testing.T) {
	is := is.New(t)
	hosts := fleet(3, 2, 20)
	plan := New(hosts[5], hosts, 63)
	tiers := plan.Tiers()
	is.Equal(len(tiers), 3)
	is.Equal(names(tiers[0]), names(plan.Gatherers))
	is.Equal(len(tiers[1]), 4) // two in each of the others
	for _, host := range tiers[1] {
		is.True(host.Domain != hosts[5].Domain)
		is.Equal(host.Capacity, 0.8)
	}
	is.Equal(names(tiers[2]), names(plan.Reserves))

	equal := fleet(3, 30, 0)
	plan = New(equal[29], equal, 63)
	is.Equal(names(plan.Tiers()[1]), names(plan.Reserves)) // nearer, and as fast
}

func TestRelaysOfQueriesGoToHostsThatGather(t *testing.T) {
	is := is.New(t)
	hosts := fleet(3, 2, 20)
	tiers := RelayPeers(hosts[0], hosts, 63, true)
	is.Equal(len(tiers), 3)
	is.Equal(len(tiers[0]), 5) // the gathering hosts but itself
	is.Equal(len(tiers[0])+len(tiers[1])+len(tiers[2]), len(hosts)-1)
	for _, host := range tiers[1] {
		is.True(!slices.ContainsFunc(tiers[0], host.same))
	}
	is.Equal(len(RelayPeers(hosts[0], hosts, 63, false)[0]), len(hosts)-1) // single requests go anywhere
	small := site(3)
	is.Equal(len(RelayPeers(small[0], small, 26, true)[0]), len(small)-1)
}
