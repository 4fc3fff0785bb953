package delegator

import (
	"fmt"
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

// TestLostGathererMovesOnlyItsShare removes one gathering host.
func TestLostGathererMovesOnlyItsShare(t *testing.T) {
	is := is.New(t)
	hosts := site(27)
	before := New(hosts[5], hosts, 63).Gatherers
	after := New(hosts[5], append([]Host(nil), hosts[1:]...), 63).Gatherers
	is.Equal(len(after), len(before))
	kept := 0
	for _, host := range after {
		for _, old := range before {
			if old.Name == host.Name {
				kept++
			}
		}
	}
	is.Equal(kept, len(before)-1)
}

// TestPartsGoToHostsOfTheDomainOfTheirServers has all hosts of a small site
// gather parts, and the gathering hosts of a large one.
func TestPartsGoToHostsOfTheDomainOfTheirServers(t *testing.T) {
	is := is.New(t)
	is.Equal(len(Peers("b", site(3), 26)), 3)
	is.Equal(len(Peers("x", site(3), 26)), 0)
	hosts := site(27)
	peers := Peers("b", hosts, 63)
	is.Equal(len(peers), 2)
	for _, peer := range peers {
		is.Equal(peer.Domain, "b")
		is.True(New(peer, hosts, 63).Direct)
	}
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
