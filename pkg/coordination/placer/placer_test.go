package placer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

const typical = 10 * time.Millisecond

var start = time.Unix(100, 0)

func testPlacer() *Placer {
	cfg := DefaultConfig("near")
	cfg.CrossDomainPenalty = 0.3
	return New(cfg)
}

func servers(domains ...string) []*lister.Server {
	list := make([]*lister.Server, len(domains))
	for i, domain := range domains {
		list[i] = &lister.Server{ID: fmt.Sprint(i), Service: "s", Domain: domain, Slots: 2}
	}
	return list
}

func choose(t *testing.T, p *Placer, now time.Time, list []*lister.Server) Choice {
	t.Helper()
	choice, ok := p.Choose(now, list, nil, typical)
	if !ok {
		t.Fatal("no choice")
	}
	return choice
}

func TestOwnDomainIsPreferredUntilBusy(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("far", "near")
	is.Equal(choose(t, p, start, list).Server.ID, "1")
	p.Sent(start, list[1])
	is.Equal(choose(t, p, start, list).Server.ID, "0")
}

// TestOverdueRequestDivertsLoad checks that a server with an overdue request, which
// may be stalled, gets no further requests even before that request ends.
func TestOverdueRequestDivertsLoad(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near", "near")
	p.Sent(start, list[0])
	now := start.Add(5 * typical)
	p.Sent(now, list[1])
	p.Sent(now, list[1])
	is.Equal(choose(t, p, now, list).Server.ID, "1") // though it has more in flight
}

func TestSlowObservationExpires(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near", "far")
	slow(p, start, list[0])
	is.Equal(choose(t, p, start, list).Server.ID, "1")
	is.Equal(choose(t, p, start.Add(2*time.Second), list).Server.ID, "0")
}

// slow records an answer after ten times the typical latency.
func slow(p *Placer, now time.Time, s *lister.Server) {
	p.Sent(now, s)
	p.Ended(now, s.ID, now, Result{Outcome: Answered, Latency: 10 * typical, TypicalLatency: typical})
}

// TestQueueIsPreferredToSlowServer has a server that was slow for suspectAfter beside
// one whose queue costs less time.
func TestQueueIsPreferredToSlowServer(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near", "near")
	slow(p, start, list[0])
	again := start.Add(suspectAfter)
	slow(p, again, list[0])
	for range 3 {
		p.Sent(again, list[1])
	}
	is.Equal(choose(t, p, again, list).Server.ID, "1")
}

// TestPersistentlySlowServerIsSuspect has two slow answers far enough apart that they
// can't come from a single stall. The reported service time is ignored, since it changes
// faster than requests could follow it.
func TestPersistentlySlowServerIsSuspect(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near", "far")
	slow(p, start, list[0])
	is.True(!choose(t, p, start.Add(2*time.Second), list).Suspect) // may be a stall
	slow(p, start.Add(2*time.Second), list[0])
	is.True(!choose(t, p, start.Add(3*time.Second), list).Suspect) // the observation has not expired
	later := start.Add(4 * time.Second)
	is.True(choose(t, p, later, list).Suspect)
	choice, ok := p.ChooseNonSuspect(later, list, nil, typical)
	is.True(ok)
	is.Equal(choice.Server.ID, "1")
	p.Ended(later, "0", later, Result{Outcome: Answered, Latency: typical, TypicalLatency: typical})
	is.True(!choose(t, p, later.Add(2*time.Second), list).Suspect)

	p.Ended(later, "0", later, Result{Outcome: Answered, Latency: typical, TypicalLatency: typical, Load: &Load{RelativeServiceTime: 4}})
	is.True(!choose(t, p, later.Add(2*time.Second), list).Suspect)
}

// TestFailingServerIsProbed follows the suspension of a server that keeps failing.
func TestFailingServerIsProbed(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near")
	fail := func(now time.Time) {
		p.Sent(now, list[0])
		p.Ended(now, "0", now, Result{Outcome: Failed, TypicalLatency: typical})
	}
	for range suspendAfter - 1 {
		fail(start)
	}
	is.True(!choose(t, p, start, list).Unavailable)
	fail(start)
	is.True(choose(t, p, start, list).Unavailable)
	now := start.Add(suspensionMin)
	is.True(!choose(t, p, now, list).Unavailable) // a probe is due
	p.Sent(now, list[0])
	is.True(choose(t, p, now, list).Unavailable) // a single probe at a time
	p.Ended(now, "0", now, Result{Outcome: Failed, TypicalLatency: typical})
	is.True(choose(t, p, now.Add(suspensionMin), list).Unavailable) // the suspension has doubled
	now = now.Add(2 * suspensionMin)
	p.Sent(now, list[0])
	p.Ended(now, "0", now, Result{Outcome: Answered, Latency: typical, TypicalLatency: typical})
	is.True(!choose(t, p, now, list).Unavailable)
}

// TestRejectionUpdatesQueueEstimate has two servers that reject requests, one with a
// report of a long queue and one without a report.
func TestRejectionUpdatesQueueEstimate(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near", "near")
	for i, load := range []*Load{{Running: 2, Waiting: 12, Slots: 2}, nil} {
		p.Sent(start, list[i])
		p.Ended(start, list[i].ID, start, Result{Outcome: Rejected, TypicalLatency: typical, Load: load})
	}
	choice := choose(t, p, start, list)
	is.Equal(choice.Server.ID, "1")
	is.Equal(choice.QueuePerSlot, 1.5) // the assumed load of a server that rejects without a report
	first, _ := p.Choose(start, list[:1], nil, typical)
	is.Equal(first.QueuePerSlot, 7.0)
}

// TestRejectingServerGetsFewerRequests has a server that rejects more than half of its
// requests though its queue is empty, beside one that serves all: the second one gets
// nearly all requests until the failures of the first have expired.
func TestRejectingServerGetsFewerRequests(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near", "near")
	idle := &Load{Slots: 2}
	now := start
	counts := map[string]int{}
	for i := range 100 {
		choice := choose(t, p, now, list)
		counts[choice.Server.ID]++
		p.Sent(now, choice.Server)
		result := Result{Outcome: Answered, Latency: typical, TypicalLatency: typical, Load: idle}
		if choice.Server.ID == "0" && i%5 < 3 {
			result.Outcome = Rejected
		}
		p.Ended(now.Add(typical), choice.Server.ID, now, result)
		now = now.Add(2 * typical)
	}
	t.Log(counts)
	is.True(counts["0"] <= 10)
	is.True(!choose(t, p, now, list).Unavailable)
	now = now.Add(2 * time.Second)
	is.Equal(choose(t, p, now, list).Server.ID, "0") // the first of two equal servers
}

// TestServerNotListeningIsSuspendedImmediately has a server at whose address no process
// listens: it gets a probe every 250 ms regardless of the number of failures, and
// normal load again once it is registered again.
func TestServerNotListeningIsSuspendedImmediately(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near", "near")
	now := start
	for range 5 {
		p.Sent(now, list[0])
		p.Ended(now, "0", now, Result{Outcome: ConnectionRefused, TypicalLatency: typical})
		for range 9 {
			p.Sent(now, list[1])
		}
		is.Equal(choose(t, p, now, list).Server.ID, "1") // regardless of the load of the other one
		now = now.Add(suspensionMin)
		is.True(!choose(t, p, now, list[:1]).Unavailable)
	}
	p.Ended(now, "0", now, Result{Outcome: ConnectionRefused, TypicalLatency: typical})
	is.True(choose(t, p, now, list[:1]).Unavailable)
	p.RegistrationChanged("0")
	is.True(!choose(t, p, now, list[:1]).Unavailable)
}

// TestUnreachableDomainIsAvoided has several servers of a failure domain that don't
// answer: the other servers there get only probes until one of them answers.
func TestUnreachableDomainIsAvoided(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("far", "far", "far", "far", "far", "near")
	for i := range unreachableAttempts {
		p.Sent(start, list[i])
	}
	is.True(!choose(t, p, start.Add(unreachableAfter-1), list[4:5]).Unavailable)
	later := start.Add(unreachableAfter)
	is.True(!choose(t, p, later, list[4:5]).Unavailable)
	p.Sent(later, list[4]) // the probe
	is.True(choose(t, p, later, list[4:5]).Unavailable)
	is.True(!choose(t, p, later.Add(domainProbeInterval), list[4:5]).Unavailable)
	p.Ended(later, list[4].ID, later, Result{Outcome: Answered, Latency: typical, TypicalLatency: typical})
	is.True(!choose(t, p, later, list[:1]).Unavailable) // one answer makes the domain reachable
}

// TestStalledServersDoNotMakeDomainUnreachable has one server of the failure domain
// answer while the others don't.
func TestStalledServersDoNotMakeDomainUnreachable(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("far", "far", "far", "far", "far")
	for i := range unreachableAttempts {
		p.Sent(start, list[i])
	}
	p.Sent(start, list[4])
	p.Ended(start.Add(typical), "4", start, Result{Outcome: Answered, Latency: typical, TypicalLatency: typical})
	is.True(!choose(t, p, start.Add(unreachableAfter), list[:1]).Unavailable)
}

// TestWrongServerIsAvoidedUntilRegisteredAgain has another server answer at the address
// of a listed one, which is then not chosen until it is registered again.
func TestWrongServerIsAvoidedUntilRegisteredAgain(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near")
	p.Sent(start, list[0])
	p.Ended(start, "0", start, Result{Outcome: WrongServer})
	_, ok := p.Choose(start, list, nil, typical)
	is.True(!ok)
	p.RegistrationChanged("0")
	_, ok = p.Choose(start, list, nil, typical)
	is.True(ok)
}

// TestPausedServerGetsNoRequests has a server request a pause of three seconds: it
// gets no requests until then and is chosen immediately afterwards. A new incarnation
// of the server is not paused.
func TestPausedServerGetsNoRequests(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near", "near")
	p.Sent(start, list[0])
	p.Pause(start, list[0], 3*time.Second)
	p.Ended(start, "0", start, Result{Outcome: Rejected, Latency: time.Millisecond, TypicalLatency: typical, Load: &Load{Slots: 2}})
	p.Pause(start, list[0], time.Second) // a shorter pause does not end the longer one
	p.Sent(start, list[1])
	for now := start; now.Before(start.Add(3 * time.Second)); now = now.Add(100 * time.Millisecond) {
		is.Equal(choose(t, p, now, list).Server.ID, "1")
	}
	_, ok := p.Choose(start, list, []string{"1"}, typical)
	is.True(!ok) // no choice rather than a paused server
	left, paused := p.PauseLeft(start.Add(time.Second), list)
	is.True(paused)
	is.Equal(left, 2*time.Second)
	is.Equal(choose(t, p, start.Add(3*time.Second), list).Server.ID, "0") // no further penalty
	_, paused = p.PauseLeft(start.Add(3*time.Second), list)
	is.True(!paused)

	p.Pause(start, list[0], time.Hour)
	is.True(p.servers["0"].pausedUntil.Equal(start.Add(pauseMax)))
	p.Forget(start, "0")
	_, ok = p.Choose(start, list[:1], nil, typical)
	is.True(!ok) // the pause survives Forget, since the server may be registered again
	again := *list[0]
	again.StartedAtMillis = 7
	_, ok = p.Choose(start, []*lister.Server{&again}, nil, typical)
	is.True(ok)
	p.Sent(start, &again)
	_, ok = p.Choose(start, []*lister.Server{&again}, nil, typical)
	is.True(ok)
}

// TestServerIsNotOverfilledAfterPause fills the slots of a server after its pause: for
// overloadMaxAge another server is preferred though it takes longer.
func TestServerIsNotOverfilledAfterPause(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("near", "far")
	p.Pause(start, list[0], time.Second)
	now := start.Add(time.Second)
	is.Equal(choose(t, p, now, list).Server.ID, "0")
	for range list[0].Slots {
		p.Sent(now, list[0])
	}
	for range 2 * list[1].Slots {
		choice := choose(t, p, now, list)
		is.True(!choice.OverloadProne)
		is.Equal(choice.Server.ID, "1")
		p.Sent(now, list[1])
	}
	choice, ok := p.Choose(now, list[:1], nil, typical)
	is.True(ok && choice.OverloadProne) // an overload-prone server rather than none
	later := now.Add(overloadMaxAge)
	p.Sent(later, list[1])
	is.True(!choose(t, p, later, list).OverloadProne)
}

// TestLoadReportsDoNotDivertLoad has a server of the same failure domain report a
// queue: it is chosen all the same, and the queue counts for its expected latency until
// the report expires.
func TestLoadReportsDoNotDivertLoad(t *testing.T) {
	is := is.New(t)
	p := testPlacer()
	list := servers("far", "near")
	p.Sent(start, list[1])
	p.Ended(start.Add(typical), "1", start, Result{Outcome: Answered, Latency: typical, TypicalLatency: typical, Load: &Load{Running: 2, Waiting: 6, Slots: 2}})
	choice := choose(t, p, start.Add(typical), list)
	is.Equal(choice.Server.ID, "1")
	is.Equal(choice.QueuePerSlot, 4.0) // eight requests for two slots
	is.Equal(choose(t, p, start.Add(typical+testPlacer().cfg.LoadReportMaxAge), list).QueuePerSlot, 0.0)
}
