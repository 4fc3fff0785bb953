package limiter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const target = 20 * time.Millisecond

func newTestLimiter(limit int) *Limiter {
	return New(Config{
		InitialLimit: limit, MinLimit: 1, MaxLimit: 100, QueueTarget: target, CallerShare: 0.5,
		Classes: []Class{{Name: "glance", Share: 1}, {Name: "lookup", Share: 0.5}},
		Random:  rand.New(rand.NewPCG(1, 1)),
	})
}

func countAdmitted(l *Limiter, now time.Time, caller, class string, n int) int {
	count := 0
	for range n {
		if l.Admit(now, caller, class) == nil {
			count++
		}
	}
	return count
}

func TestCallerAndClassShares(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := newTestLimiter(10)
	is.Equal(countAdmitted(l, now, "a", "glance", 10), 5) // half of the limit for one caller
	failure := l.Admit(now, "a", "glance")
	is.Equal(failure.Code, classifier.CallerShareUsed)
	is.True(failure.Code.NotRun() && failure.RetryAfter > 0)
	is.Equal(countAdmitted(l, now, "b", "lookup", 10), 0) // class lookup may use half of the limit
	is.Equal(countAdmitted(l, now, "b", "glance", 10), 5) // class glance may use all of it
	is.Equal(l.Admit(now, "c", "glance").Code, classifier.Overloaded)
	l.Release("a")
	is.Equal(countAdmitted(l, now, "c", "glance", 10), 1)
	is.True(!l.HasClass("unknown"))
}

// TestRefusalsGrowWithTheWait checks that the fraction of refused requests rises
// with the wait: none at half of the queue target, all at twice the target.
func TestRefusalsGrowWithTheWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	share := func(wait time.Duration) float64 {
		l := newTestLimiter(100)
		count := 0
		for range 1000 {
			l.ObserveWait(now, 3, wait)
			if l.Admit(now, "a", "glance") == nil {
				count++
				l.Release("a")
			}
		}
		return float64(count) / 1000
	}
	is.Equal(share(target/2), 1.0)
	is.True(share(target) < 1 && share(target) > 0.6)
	is.True(share(3*target/2) < share(target))
	is.Equal(share(2*target), 0.0)
}

func TestWaitEstimateDecreasesOverTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1, 0)
	l := newTestLimiter(100)
	l.ObserveWait(now, 0, 2*target)
	is.Equal(l.Wait(now), 2*target)
	is.Equal(l.Wait(now.Add(queueDrainFactor*target)), target)
	is.Equal(l.Wait(now.Add(time.Second)), time.Duration(0)) // the observation has expired
}

// TestQuietEntriesRefuseLikeBusyOnes guards against entries with little traffic
// refusing too few requests because their observations of the wait are old. One
// entry observes the wait at a full shard every 1.5 ms, another every 15 ms, and
// the queue does not drain. The benchmarks require that the fraction of queries
// that the busy entry answers is at least 0.9 times the overall fraction. With 10
// of 18 queries at the busy entry and one at each of eight quiet ones, this holds
// if the quiet entries' fraction is at most 1.25 times that of the busy one.
func TestQuietEntriesRefuseLikeBusyOnes(t *testing.T) {
	is := is.New(t)
	share := func(between time.Duration) float64 {
		const n = 4000
		l := newTestLimiter(100)
		now := time.Unix(1, 0)
		count := 0
		for range n {
			l.ObserveWait(now, 3, 3*target/2)
			now = now.Add(between)
			if l.Admit(now, "a", "glance") == nil {
				count++
				l.Release("a")
			}
		}
		return float64(count) / n
	}
	busy, quiet := share(1500*time.Microsecond), share(15*time.Millisecond)
	t.Logf("admitted fraction: busy entry %.3f, quiet entry %.3f", busy, quiet)
	is.True(busy > 0.2)
	is.True(quiet <= 1.25*busy)
}

func TestBudget(t *testing.T) {
	is := is.New(t)
	b := NewBudget(0.05, 16)
	is.True(b.Spend()) // a new budget has one token
	spent := 0
	for range 10_000 {
		b.Earn(1)
		if b.Spend() {
			spent++
		}
	}
	is.True(spent >= 498 && spent <= 500) // 5% of 10,000
	none := NewBudget(0, 16)
	none.Earn(1000)
	is.True(!none.Spend())
}
