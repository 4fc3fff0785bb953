package relayer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
)

// leastServed is the target: callers of hosts that are cut off are served this often.
const leastServed = 0.9

// learnTime is the time from the begin of a cut that isn't counted; the target leaves out a
// second.
const learnTime = 200 * time.Millisecond

var start = time.Unix(1000, 0)

func newPeers() *Peers { return NewPeers(rand.New(rand.NewPCG(1, 2))) }

func host(name, domain string, capacity float64) delegator.Host {
	return delegator.Host{Name: name, Domain: domain, Capacity: capacity}
}

func TestPeersAreChosenByTheirRates(t *testing.T) {
	is := is.New(t)
	p := newPeers()
	tier := []delegator.Host{host("small", "b", 0.2), host("large", "b", 0.8), host("near", "a", 0.2)}
	chosen := make(map[string]int)
	for range 6000 {
		h, ok := p.Choose(start, []Tier{NewTier("a", tier)}, nil)
		is.True(ok)
		chosen[h.Name]++
	}
	// 0.2 to 0.8 to twice 0.2, of 1.4 in all.
	is.True(chosen["small"] > 750 && chosen["small"] < 960)
	is.True(chosen["large"] > 3200 && chosen["large"] < 3660)
	is.True(chosen["near"] > 1560 && chosen["near"] < 1870)
}

func TestBusyPeerGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	p := newPeers()
	tier := []delegator.Host{host("x", "b", 0.4), host("y", "b", 0.4)}
	for range 9 {
		p.Sent("x")
	}
	chosen := 0
	for range 1000 {
		h, _ := p.Choose(start, []Tier{NewTier("a", tier)}, nil)
		if h.Name == "x" {
			chosen++
		}
	}
	is.True(chosen > 50 && chosen < 140) // 1 of 11
}

func TestAvoidedPeersAreUsedOnlyIfNoOtherIsLeft(t *testing.T) {
	is := is.New(t)
	p := newPeers()
	tiers := []Tier{NewTier("a", []delegator.Host{host("x", "b", 0.4)}), NewTier("a", []delegator.Host{host("y", "b", 0.4)})}
	p.Sent("x")
	p.Ended(start, "x", Isolated)
	h, ok := p.Choose(start, tiers, nil)
	is.True(ok)
	is.Equal(h.Name, "y")
	p.Sent("y")
	p.Ended(start, "y", Isolated)
	_, ok = p.Choose(start, tiers, nil)
	is.True(!ok) // both declined just now
	h, ok = p.Choose(start.Add(retryTime), tiers, []string{"y"})
	is.True(ok)
	is.Equal(h.Name, "x")
	p.Ended(start.Add(retryTime), "x", Accepted)
	is.True(!p.Avoided(start.Add(retryTime), "x"))
	is.True(p.Avoided(start.Add(retryTime), "y"))
	is.True(!p.Avoided(start.Add(isolatedTime), "y"))
}

func TestKnowledgeOfIsolatedHostsAgesAcrossHosts(t *testing.T) {
	is := is.New(t)
	first, second := newPeers(), newPeers()
	first.Learn(start, "x", Isolated)
	first.Learn(start, "busy", Busy)
	at := start.Add(600 * time.Millisecond)
	known := first.Isolated(at)
	is.Equal(known, map[string]time.Duration{"x": 600 * time.Millisecond})
	second.Hear(at, "x", known["x"])
	is.True(second.Avoided(at, "x"))
	is.True(!second.Avoided(start.Add(isolatedTime), "x")) // no longer than by the first observation
	second.Learn(at, "x", Accepted)
	second.Hear(at.Add(100*time.Millisecond), "x", 700*time.Millisecond) // older than what it has seen
	is.True(!second.Avoided(at.Add(100*time.Millisecond), "x"))
}

func TestForgottenHostsLeaveNothingBehind(t *testing.T) {
	is := is.New(t)
	p := newPeers()
	p.Learn(start, "x", Isolated)
	p.Sent("y")
	p.Retain([]delegator.Host{host("z", "a", 1)})
	is.Equal(len(p.peers), 1) // a request is still in flight to y
}

func TestRoomIsLimitedByRecentSubRequests(t *testing.T) {
	is := is.New(t)
	r := NewRoom(1000)
	is.True(r.Admit(start, 500)) // an idle host takes any request
	is.True(!r.Admit(start, 20)) // 0.8 of 1000 a second leave 120 within the memory
	later := start.Add(10 * roomMemory)
	is.True(r.Admit(later, 60))
	is.True(r.Admit(later, 60))
	is.True(!r.Admit(later, 60))
	r = NewRoom(1000)
	r.Add(start, 150) // of its own callers
	is.True(!r.Admit(start, 1))
}

// TestPartitionedFleetFillsItsPeersByRoom has hosts of many sizes of fleets relay, some of them
// cut off, whole failure domains included, and checks that peers get shares by their rates and
// that no host gets more than it has room for.
func TestPartitionedFleetFillsItsPeersByRoom(t *testing.T) {
	for _, hosts := range []int{8, 33, 82, 295, 3400} {
		for _, cut := range []float64{0.3, 0.6, 0.9} {
			t.Run(fmt.Sprint(hosts, " hosts, cut ", cut), func(t *testing.T) { relayFleet(t, hosts, cut) })
		}
	}
}

// relayFleet has the hosts that are cut off relay for a second, less in large fleets, each with as many requests as a
// quarter of the average rate.
func relayFleet(t *testing.T, n int, cut float64) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(uint64(n), uint64(cut*10)))
	length := time.Second
	if n > 1000 {
		length = 400 * time.Millisecond
	}
	domains := 3 + n/100
	var fleet []delegator.Host
	rooms := make(map[string]*Room)
	rate := 0.0
	for i := range n {
		capacity := 0.192
		if i%11 < 2 {
			capacity = 0.8
		}
		h := host(fmt.Sprint("h", i), fmt.Sprint("d", i%domains), capacity)
		fleet = append(fleet, h)
		rooms[h.Name] = NewRoom(h.SubRequestRate())
		rate += h.SubRequestRate() / float64(n)
	}
	isolated := make(map[string]bool)
	for i, h := range fleet {
		isolated[h.Name] = i%domains == 0 || random.Float64() < cut // one whole domain
	}
	reaching := 0.0
	for _, h := range fleet {
		if !isolated[h.Name] {
			reaching += h.SubRequestRate()
		}
	}
	// The load leaves the hosts that reach servers half of what they accept.
	const costOfRequest = 20
	// maxTries is how many peers a host asks.
	const maxTries = 12
	perHost := min(rate/4, 0.5*maxLoad*reaching/float64(n)) / costOfRequest
	peers := make([]*Peers, n)
	tiers := make(map[string][]Tier)
	for i, h := range fleet {
		peers[i] = NewPeers(rand.New(rand.NewPCG(uint64(i), 1)))
		tiers[h.Domain] = []Tier{NewTier(h.Domain, fleet)}
	}
	got := make(map[string]float64)
	asked, served, tries := 0, 0, 0
	for at := start; at.Before(start.Add(length)); at = at.Add(10 * time.Millisecond) {
		for i, h := range fleet {
			if random.Float64() >= perHost*0.01 {
				continue
			}
			if !isolated[h.Name] {
				rooms[h.Name].Add(at, costOfRequest)
				continue
			}
			counts := at.Sub(start) >= learnTime
			if counts {
				asked++
			}
			var tried []string
			for len(tried) < maxTries {
				peer, ok := peers[i].Choose(at, tiers[h.Domain], append(tried, h.Name))
				if !ok {
					break
				}
				tried = append(tried, peer.Name)
				tries++
				outcome := Accepted
				switch {
				case isolated[peer.Name]:
					outcome = Isolated
				case !rooms[peer.Name].Admit(at, costOfRequest):
					outcome = Busy
				}
				peers[i].Learn(at, peer.Name, outcome)
				if outcome == Accepted {
					got[peer.Name] += costOfRequest
					if counts {
						served++
					}
					break
				}
			}
		}
	}
	t.Logf("%d asked, %d served, %.2f tries each", asked, served, float64(tries)/float64(max(asked, 1)))
	for name, cost := range got {
		is.True(!isolated[name])
		limit := rooms[name].rate * (maxLoad*length.Seconds() + 3*roomMemory.Seconds()) // and what an idle host takes at once
		is.True(cost <= limit)
	}
	is.True(float64(served) >= leastServed*float64(asked))
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{8, 295, 3400} {
		b.Run(fmt.Sprint(n, " hosts, 60 % known to be isolated"), func(b *testing.B) {
			p := newPeers()
			var hosts []delegator.Host
			for i := range n {
				h := host(fmt.Sprint("h", i), fmt.Sprint("d", i%13), 0.4)
				hosts = append(hosts, h)
				if i%5 < 3 {
					p.Learn(start, h.Name, Isolated)
				}
			}
			tiers := []Tier{NewTier("d0", hosts)}
			b.ReportAllocs()
			for b.Loop() {
				p.Choose(start, tiers, nil)
			}
		})
	}
}
