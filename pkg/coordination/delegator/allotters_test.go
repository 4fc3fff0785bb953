package delegator

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
	"pgregory.net/rapid"
)

// fleetOf returns hosts in an order that differs from that of their registrations.
func fleetOf(n int) []Host {
	hosts := make([]Host, n)
	for i := range hosts {
		hosts[(i*7)%n] = Host{Name: fmt.Sprint("h", i), Registered: storer.Version(10 + i)}
	}
	return hosts
}

// TestOldListsOfHostsChooseTheSameAllotter draws lists that lack the newest hosts: unless the hosts
// that they lack make a group of servers more, they must name the same host for each server.
func TestOldListsOfHostsChooseTheSameAllotter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{8, 9, 82, 295}).Draw(t, "hosts")
		known := rapid.IntRange(n*3/4, n).Draw(t, "known")
		all := fleetOf(n)
		var old []Host
		for _, host := range all {
			if int(host.Registered)-10 < known {
				old = append(old, host)
			}
		}
		a, b := NewAllotters(all), NewAllotters(old)
		server := rapid.StringN(1, 12, -1).Draw(t, "server")
		if a.Group(server) >= b.n {
			t.Skip("the newest group takes the server over")
		}
		if a.Group(server) != b.Group(server) || a.Preference(a.Group(server))[0].Name != b.Preference(b.Group(server))[0].Name {
			t.Fatalf("%s and %s allot for %q", a.Preference(a.Group(server))[0].Name, b.Preference(b.Group(server))[0].Name, server)
		}
	})
}

func TestEachHostIsAnAllotterInReserve(t *testing.T) {
	is := is.New(t)
	is.Equal(len(NewAllotters(nil).Preference(0)), 0)
	a := NewAllotters(fleetOf(295))
	groups := map[int]int{}
	for i := range 1000 {
		group := a.Group(fmt.Sprint("server", i))
		groups[group]++
		is.Equal(len(a.Preference(group)), 295)
	}
	is.Equal(len(groups), 1+295/hostsPerAllotter)
	for _, servers := range groups {
		is.True(servers > 100)
	}
	is.Equal(a.Preference(2)[0].Name, "h2")
	is.Equal(a.Preference(2)[1].Name, "h3")
}
