package scatterer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const (
	fleetStep    = 5 * time.Millisecond
	fleetService = 15 * time.Millisecond
	// fleetTick is how often a host looks for asks that are due.
	fleetTick = 50 * time.Millisecond
)

// limitFleet simulates hosts that scatter queries over shards, all of whose servers have limits.
type limitFleet struct {
	random   *rand.Rand
	now      time.Time
	machines []*Machine
	allot    *allotter.Allotter
	pending  []pendingStep
	lastID   uint64

	served, refused int
}

// pendingStep is an event that reaches a host later.
type pendingStep struct {
	at    time.Time
	host  int
	apply func(now time.Time) []Action
}

// newLimitFleet gives each server a limit between low and twice that.
func newLimitFleet(hosts int, d directory, low float64) (f *limitFleet, scarcest float64) {
	f = &limitFleet{random: rand.New(rand.NewPCG(1, 2)), now: start, allot: allotter.New()}
	for range hosts {
		m := testMachine(d)
		m.SetHosts(hosts)
		f.machines = append(f.machines, m)
	}
	scarcest = math.MaxFloat64
	for _, service := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"} {
		sum := 0.0
		for _, server := range d[service] {
			rate := low * (1 + f.random.Float64())
			sum += rate
			for _, m := range f.machines {
				m.Limit(start, server, allotter.Limit{Stated: true, Rate: rate})
			}
		}
		scarcest = min(scarcest, sum)
	}
	return f, scarcest
}

func (f *limitFleet) later(after time.Duration, host int, apply func(now time.Time) []Action) {
	f.pending = append(f.pending, pendingStep{f.now.Add(after), host, apply})
}

func (f *limitFleet) ask(host int) {
	m := f.machines[host]
	asks := m.Asks(f.now)
	if len(asks) == 0 {
		return
	}
	grants := f.allot.Allot(f.now, fmt.Sprint(host), asks)
	f.later(fleetStep, host, func(now time.Time) []Action {
		m.Grant(now, grants, nil)
		return m.Step(now, &TokensAsked{})
	})
}

func (f *limitFleet) apply(host int, actions []Action) {
	for _, action := range clone(actions) {
		switch a := action.(type) {
		case *Send:
			f.later(fleetService, host, func(now time.Time) []Action {
				return f.machines[host].Step(now, &AttemptEnded{Attempt: a.Attempt, Code: classifier.OK})
			})
		case *AskTokens:
			f.ask(host)
		case *Complete:
			f.served++
		case *Refuse:
			f.refused++
		}
	}
}

// run plays a demand in queries per second.
func (f *limitFleet) run(length time.Duration, demand float64) {
	route := sharded("abcdefghij", 0.89)
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		due := f.pending
		f.pending = slices.DeleteFunc(slices.Clone(due), func(p pendingStep) bool { return !f.now.Before(p.at) })
		for _, p := range due {
			if !f.now.Before(p.at) {
				f.apply(p.host, p.apply(f.now))
			}
		}
		for host, m := range f.machines {
			f.apply(host, m.Step(f.now, &TimerFired{}))
			if f.now.Sub(start)%fleetTick == time.Duration(host)*fleetStep {
				f.ask(host)
			}
		}
		if f.random.Float64() < demand*fleetStep.Seconds() {
			f.lastID++
			host := f.random.IntN(len(f.machines))
			f.apply(host, arrive(f.machines[host], f.now, f.lastID, route))
		}
	}
}

// TestTokensOfManyShardsMeetAtOneHost plays queries that need tokens of nearly all shards at the same
// host, at four times what the scarcest shard permits: tokens of refused queries must not be lost.
func TestTokensOfManyShardsMeetAtOneHost(t *testing.T) {
	const length = 30 * time.Second
	for _, low := range []float64{0.5, 2, 10} {
		for _, hosts := range []int{3, 8} {
			t.Run(fmt.Sprintf("%d hosts, limits from %v", hosts, low), func(t *testing.T) {
				is := is.New(t)
				f, scarcest := newLimitFleet(hosts, newDirectory("abcdefghij", 2), low)
				f.run(length, 4*scarcest)
				possible := scarcest * length.Seconds()
				t.Logf("served %d of %.0f, refused %d", f.served, possible, f.refused)
				is.True(float64(f.served) > possible/2)
			})
		}
	}
}
