package placer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

// pacedPlacer returns a placer that knows its servers for long.
func pacedPlacer(list []*lister.Server) (*Placer, time.Time) {
	cfg := DefaultConfig("near")
	cfg.Pace, cfg.Host = true, "h1"
	p := New(cfg)
	_, _ = p.Choose(start, list, nil, typical)
	return p, start.Add(2 * settleTime)
}

// shareOf sends requests that take a typical time, one after the other, and returns the fraction
// that a server gets.
func shareOf(p *Placer, now time.Time, list []*lister.Server, id string, outcome Outcome, took time.Duration) float64 {
	const requests = 64
	n := 0
	for range requests {
		choice, _ := p.Choose(now, list, nil, typical)
		p.Sent(now, choice.Server)
		result, latency := Result{Outcome: Answered, TypicalLatency: typical}, typical
		if choice.Server.ID == id {
			n++
			result.Outcome, latency = outcome, took
		}
		result.Latency = latency
		p.Ended(now.Add(latency), choice.Server.ID, now, result)
		now = now.Add(time.Millisecond)
	}
	return float64(n) / requests
}

func TestStartedServerIsPaced(t *testing.T) {
	is := is.New(t)
	list := servers("far", "near")
	p, now := pacedPlacer(list)
	is.Equal(p.Paced(), 0) // running when this host started
	restarted := *list[1]
	restarted.StartedAtMillis = 7
	list[1] = &restarted
	is.True(shareOf(p, now, list, "1", Answered, 5*typical) < 0.3) // slow
	is.Equal(p.Paced(), 1)
	changes := p.TakePaceChanges()
	is.Equal(changes, []PaceChange{{Server: "1", Reason: PaceStarted}})
	now = now.Add(time.Minute)
	is.Equal(shareOf(p, now, list, "1", Answered, typical), 1.0)
	is.Equal(p.Paced(), 0)
	is.True(p.TakePaceChanges()[0].Ended)
}

func TestRecoveredServerIsPaced(t *testing.T) {
	is := is.New(t)
	list := servers("far", "near")
	p, now := pacedPlacer(list)
	shareOf(p, now, list[1:], "1", Failed, typical)
	is.Equal(p.Paced(), 0)
	now = now.Add(suspensionMax + time.Second)
	choice := choose(t, p, now, list[1:])
	is.Equal(choice.Server.ID, "1") // the probe
	p.Sent(now, choice.Server)
	p.Ended(now, "1", now, Result{Outcome: Answered, Latency: typical, TypicalLatency: typical})
	is.Equal(p.Paced(), 1)
}

// TestPaceRefusesNothing checks that a paced server gets all requests if no other one is available.
func TestPaceRefusesNothing(t *testing.T) {
	is := is.New(t)
	list := servers("near")
	p, now := pacedPlacer(nil)
	is.Equal(shareOf(p, now, list, "0", Answered, 5*typical), 1.0)
}
