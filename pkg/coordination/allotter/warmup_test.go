package allotter

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// coldAllowed is the platform's rule on servers that warm up: what one may get in any second.
func coldAllowed(rate float64) int { return int(1.5*rate) + 5 }

// newColdFleet returns hosts that all know that the server warms up.
func newColdFleet(seed uint64, hosts int, rate float64) *fleet {
	f := newFleet(seed, hosts, true, 0)
	f.limit = Limit{}
	for i := range f.ledgers {
		f.ledgers[i] = NewLedger(hosts)
		f.ledgers[i].Warmup(start, server, rate, time.Hour)
	}
	return f
}

// calmTime is long enough for the use of a rate of 1 a second to show.
const calmTime = 30 * time.Second

// TestFleetKeepsToAWarmupRateAndUsesIt plays fleets from 1 to 300 hosts; in one half of the time some get
// no answers, and the host that allots is lost twice.
func TestFleetKeepsToAWarmupRateAndUsesIt(t *testing.T) {
	for _, hosts := range []int{1, 8, 65, 300} {
		for _, rate := range []float64{1, 4, 12, 60, 200} {
			for _, factor := range []float64{2, 20} {
				t.Run(fmt.Sprintf("%d hosts, %v a second, demand times %v", hosts, rate, factor), func(t *testing.T) {
					is := is.New(t)
					f := newColdFleet(1, hosts, rate)
					f.run(calmTime, factor*rate)
					calm := float64(len(f.sent)) / (calmTime.Seconds() * rate)
					f.allot = New()
					f.run(3*time.Second, factor*rate)
					f.unreachable = func(host int) bool { return host%3 == 1 }
					f.run(5*time.Second, factor*rate)
					f.second = New()
					f.run(time.Second, factor*rate)
					f.allot, f.second = f.second, nil
					f.run(3*time.Second, factor*rate)
					t.Logf("used %.2f, %d in a second, allowed %d", calm, mostIn(f.sent, time.Second), coldAllowed(rate))
					is.True(mostIn(f.sent, time.Second) <= coldAllowed(rate))
					is.True(calm > 0.55 || factor < 20) // with little demand requests meet no token
				})
			}
		}
	}
}

// TestWarmupEnds checks each way in which a server becomes warm, and that it may become cold again.
func TestWarmupEnds(t *testing.T) {
	is := is.New(t)
	l := NewLedger(4)
	is.True(l.Warmup(start, server, 2, time.Second))
	is.True(!l.Warmup(start, server, 2, 2*time.Second)) // no news
	is.True(!l.Allows(start, server, 0))
	is.Equal([]int{l.Len(), l.Warming()}, []int{1, 1})
	l.ExpireWarmups(start.Add(2*time.Second - 1))
	is.True(!l.Allows(start, server, 0))
	l.ExpireWarmups(start.Add(2 * time.Second))
	is.True(l.Allows(start.Add(2*time.Second), server, 0))
	is.Equal([]int{l.Len(), l.Warming()}, []int{0, 0})

	is.True(l.Warmup(start, server, 2, time.Second)) // cold again
	l.Warmup(start, server, 2, 0)                    // its registration says that it is warm
	is.True(l.Allows(start, server, 0))
	l.Warmup(start, server, 2, time.Second)
	l.Warmup(start, server, 0, time.Second) // the configuration has no bound any more
	is.True(l.Allows(start, server, 0))

	l.Warmup(start, server, 2, time.Second)
	next := Incarnation{Server: server.Server, StartedAtMillis: server.StartedAtMillis + 1}
	is.True(l.Warmup(start, next, 2, time.Second))
	is.True(!l.Warmup(start, server, 2, time.Second)) // an earlier incarnation
	is.Equal([]int{l.Len(), l.Warming()}, []int{1, 1})
	l.Forget(next.Server)
	is.Equal([]int{l.Len(), l.Warming()}, []int{0, 0})
}

// TestLowerOfWarmupAndAnnouncedLimitHolds has a server that warms up announce limits, and their end.
func TestLowerOfWarmupAndAnnouncedLimitHolds(t *testing.T) {
	is := is.New(t)
	l := NewLedger(1)
	l.Warmup(start, server, 10, time.Minute)
	for _, c := range []struct {
		limit Limit
		rate  float64
	}{{stated(3), 3}, {stated(50), 10 * warmupShare}, {Limit{}, 10 * warmupShare}} {
		l.Observe(start, server, c.limit)
		is.Equal(l.accounts[server.Server].bound(), stated(c.rate))
		is.Equal(l.Len(), 1)
		_, _, announced := l.Announced(server)
		is.Equal(announced, c.limit.Stated)
	}
	// One host's word that there is no limit doesn't end the warm-up for others.
	a := New()
	g := a.Allot(start, "h2", []Ask{{Incarnation: server, WarmupRate: 7, WarmupMillis: 1000, Wanted: 3, Urgent: true}})
	is.Equal(g[0].Limit, Limit{})
	l.Asks(start)
	is.Equal(len(l.Grant(start, g)), 0)
	is.True(!l.Allows(start, server, 5))
	l.Observe(start, server, stated(3))
	l.ExpireWarmups(start.Add(time.Minute))
	is.Equal(l.accounts[server.Server].bound(), stated(3))
}
