package scatterer

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
	"pgregory.net/rapid"
)

// lostAfter is how long after a request without responses its failure domain is unreachable.
const lostAfter = 120 * time.Millisecond

func relayMachine(d Directory) *Machine {
	return New(Config{
		Placer: placer.DefaultConfig("d"), Detector: detector.DefaultConfig(), Relays: true,
		AnswerMargin: margin, HedgeFraction: 0, Extra: ExtraBudget{Ratio: 0.2, Burst: 50, Window: window}, Retries: true,
	}, d)
}

// directoryIn moves the servers of some services to another failure domain.
func directoryIn(d directory, domain string, services ...string) directory {
	for _, service := range services {
		for _, server := range d[service] {
			server.Domain = domain
		}
	}
	return d
}

// probe starts the probes that are due and ends them.
func probe(m *Machine, now time.Time, result detector.ProbeResult) []Action {
	var actions []Action
	for _, p := range of[*ProbePath](clone(m.Step(now, &TimerFired{}))) {
		actions = append(actions, clone(m.Step(now, &ProbeEnded{Domain: p.Domain, Result: result}))...)
	}
	return actions
}

// lose makes all failure domains unreachable from a request on, which is abandoned.
func lose(m *Machine, route *matcher.Route, result detector.ProbeResult) time.Time {
	const request = 1 << 32
	arrive(m, start, request, route)
	at := start.Add(lostAfter)
	probe(m, at, result)
	probe(m, at.Add(time.Millisecond), result)
	m.Step(at, &Abandoned{Request: request})
	return at.Add(100 * time.Millisecond)
}

// endRelay ends a relay.
func endRelay(m *Machine, now time.Time, relay *SendRelay, outcome RelayOutcome, code classifier.Code) []Action {
	e := &RelayEnded{Request: relay.Request, Outcome: outcome}
	for _, id := range relay.Attempts {
		e.Ends = append(e.Ends, &AttemptEnded{Attempt: id, Code: code, Exhausted: code != classifier.OK})
	}
	return clone(m.Step(now, e))
}

func TestRequestsWithoutReachableServersAreRelayedWhole(t *testing.T) {
	for name, route := range map[string]*matcher.Route{"query": sharded("ab", 1), "single": single(true, 3), "order": single(false, 3)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := relayMachine(newDirectory("ab", 2))
			now := lose(m, route, detector.Silent)
			is.True(m.Isolated())
			actions := arrive(m, now, 1, route)
			is.Equal(len(of[*Send](actions)), 0)
			relays := of[*SendRelay](actions)
			is.Equal(len(relays), 1)
			is.True(relays[0].Whole)
			is.True(!relays[0].Repeat)
			is.Equal(relays[0].MaxAttempts, route.Attempts)
			completes := of[*Complete](endRelay(m, now.Add(time.Millisecond), relays[0], RelayServed, classifier.OK))
			is.Equal(len(completes), 1)
			is.Equal(completes[0].Attempts[0], relays[0].Attempts[0])
		})
	}
}

func TestOnlyShardsWithoutReachableServersAreRelayed(t *testing.T) {
	is := is.New(t)
	m := relayMachine(directoryIn(newDirectory("abcd", 2), "elsewhere", "c", "d"))
	arrive(m, start, 9, sharded("cd", 1))
	now := start.Add(lostAfter)
	probe(m, now, detector.Silent) // "elsewhere" is lost
	probe(m, now.Add(200*time.Millisecond), detector.Silent)
	m.Step(now, &ProbeEnded{Domain: "d", Result: detector.Connected})
	now = now.Add(300 * time.Millisecond)
	is.Equal(m.UnreachableDomains(), 1)
	actions := arrive(m, now, 1, sharded("abcd", 0.75))
	sends, relays := of[*Send](actions), of[*SendRelay](actions)
	is.Equal(len(sends), 2)
	is.Equal(len(relays), 1)
	is.Equal(relays[0].SubRequests, []int{2, 3})
	is.True(!relays[0].Whole)
	is.Equal(relays[0].Needed, 1) // of 3 in all
	end(m, now, sends[0], classifier.OK)
	end(m, now, sends[1], classifier.OK)
	is.Equal(len(of[*Complete](endRelay(m, now, relays[0], RelayServed, classifier.OK))), 1)
}

// TestRelayedPartIsNotAnsweredTwice has a server answer after its sub-request was sent through a peer.
func TestRelayedPartIsNotAnsweredTwice(t *testing.T) {
	is := is.New(t)
	m := relayMachine(newDirectory("ab", 2))
	sends := of[*Send](arrive(m, start, 1, sharded("ab", 1)))
	lost := start.Add(lostAfter)
	probe(m, lost, detector.Silent)
	actions := clone(m.Step(lost.Add(rescueDelay), &TimerFired{}))
	relays := of[*SendRelay](actions)
	is.Equal(len(relays), 1)
	is.True(relays[0].Repeat)
	is.Equal(relays[0].MaxAttempts, 1) // of 2
	is.Equal(len(of[*Cancel](actions)), 2)
	is.Equal(len(end(m, lost.Add(rescueDelay), sends[0], classifier.OK)), 0)
	completes := of[*Complete](endRelay(m, lost.Add(2*rescueDelay), relays[0], RelayServed, classifier.OK))
	is.Equal(len(completes), 1)
	is.Equal(completes[0].Attempts, relays[0].Attempts)
}

func TestOpenConnectionsServeOnWhereNewOnesAreRefused(t *testing.T) {
	is := is.New(t)
	m := relayMachine(newDirectory("ab", 2))
	sends := of[*Send](arrive(m, start, 1, sharded("ab", 1)))
	lost := start.Add(lostAfter)
	probe(m, lost, detector.Refused)
	is.Equal(len(of[*SendRelay](clone(m.Step(lost.Add(rescueDelay), &TimerFired{})))), 0)
	m.Step(lost.Add(rescueDelay), &AttemptEnded{Attempt: sends[0].Attempt, Code: classifier.OK, Evidence: detector.Response})
	// The other one had no connection yet.
	m.Step(lost.Add(rescueDelay), &AttemptEnded{Attempt: sends[1].Attempt, Code: classifier.ServerUnreachable, Evidence: detector.NoConnection})
	relays := of[*SendRelay](clone(m.Step(lost.Add(2*rescueDelay), &TimerFired{})))
	is.Equal(len(relays), 1)
	is.Equal(relays[0].SubRequests, []int{sends[1].SubRequest})
	is.Equal(relays[0].MaxAttempts, 2) // none has run
}

func TestOrderIsRelayedOnlyIfItHasNotRun(t *testing.T) {
	for name, c := range map[string]struct {
		code   classifier.Code
		relays int
	}{"no connection": {classifier.ServerUnreachable, 1}, "sent": {classifier.ServerFailed, 0}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := relayMachine(newDirectory("a", 1))
			sends := of[*Send](arrive(m, start, 1, single(false, 3)))
			lost := start.Add(lostAfter)
			probe(m, lost, detector.Silent)
			is.Equal(len(of[*SendRelay](clone(m.Step(lost.Add(rescueDelay), &TimerFired{})))), 0)
			end(m, lost.Add(rescueDelay), sends[0], c.code)
			is.Equal(len(of[*SendRelay](clone(m.Step(lost.Add(2*rescueDelay), &TimerFired{})))), c.relays)
		})
	}
}

func TestForwardedRequestsAreNotRelayedAgain(t *testing.T) {
	is := is.New(t)
	m := relayMachine(newDirectory("ab", 2))
	now := lose(m, sharded("ab", 1), detector.Silent)
	for i, route := range []*matcher.Route{sharded("ab", 1), single(true, 3), single(false, 3)} {
		actions := clone(m.Step(now, &Arrived{Request: uint64(i + 1), Route: route, CallerTimeLeft: callerTimeout, BudgetShare: 1, Forwarded: true}))
		is.Equal(len(of[*SendRelay](actions)), 0)
		is.Equal(len(of[*Send](actions)), 0)
		is.Equal(len(of[*Refuse](actions)), 1) // at once
	}
}

// TestServiceThatIsDownForAllCausesFewRelays has no peer serve a route for 10 s.
func TestServiceThatIsDownForAllCausesFewRelays(t *testing.T) {
	is := is.New(t)
	m := relayMachine(newDirectory("a", 2))
	now := lose(m, single(true, 3), detector.Silent)
	relays, refused := 0, 0
	for request := uint64(1); request <= 1000; request++ {
		now = now.Add(10 * time.Millisecond)
		actions := arrive(m, now, request, single(true, 3))
		for _, relay := range of[*SendRelay](actions) {
			relays++
			actions = endRelay(m, now, relay, RelayUnserved, classifier.NoServer)
		}
		for _, refusal := range of[*Refuse](actions) {
			refused++
			is.Equal(refusal.Failure.Code, classifier.NoServer)
			is.True(refusal.Failure.RetryAfter > 0)
		}
	}
	is.Equal(refused, 1000)
	is.True(relays <= 8) // 0.3, 0.6, 1.2 s apart, then 2.4 s
	is.True(relays >= 4)
}

// TestRetryAfterOfAnUnservedRouteIsTheNextRelay checks when callers are told to return.
func TestRetryAfterOfAnUnservedRouteIsTheNextRelay(t *testing.T) {
	is := is.New(t)
	m := relayMachine(newDirectory("a", 2))
	now := lose(m, single(true, 3), detector.Silent)
	for i := range 4 { // the pause grows to 2.4 s
		relay := of[*SendRelay](arrive(m, now, uint64(i+1), single(true, 3)))[0]
		endRelay(m, now, relay, RelayUnserved, classifier.NoServer)
		now = now.Add(relayPauseMax)
	}
	now = now.Add(-relayPauseMax + 400*time.Millisecond)
	refusals := of[*Refuse](arrive(m, now, 9, single(true, 3)))
	is.Equal(len(refusals), 1)
	is.Equal(refusals[0].Failure.RetryAfter, relayPauseMax-400*time.Millisecond)
}

// TestRequestWithoutAnyConnectionIsRefusedAsNotRun guards against a status that keeps callers from sending an order again.
func TestRequestWithoutAnyConnectionIsRefusedAsNotRun(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("a", 2)) // without relays
	sends := of[*Send](arrive(m, start, 1, single(false, 3)))
	sends = of[*Send](end(m, start, sends[0], classifier.ServerUnreachable))
	refusals := of[*Refuse](end(m, start, sends[0], classifier.ServerUnreachable))
	is.Equal(len(refusals), 1)
	is.Equal(refusals[0].Failure.Code.Definition().Status, 503)
	is.Equal(refusals[0].Failure.RetryAfter, minRetryAfter) // other hosts may reach the servers
}

func TestRequestsReturnGraduallyAfterAPartition(t *testing.T) {
	is := is.New(t)
	m := relayMachine(newDirectory("a", 2))
	now := lose(m, single(true, 3), detector.Silent)
	relay := of[*SendRelay](arrive(m, now, 1, single(true, 3)))[0]
	endRelay(m, now, relay, RelayServed, classifier.OK)
	now = now.Add(time.Second)
	probe(m, now, detector.Connected)
	ramp := detector.DefaultConfig().RampTime
	direct := func(at time.Time, from uint64) int {
		n := 0
		for request := from; request < from+100; request++ {
			n += len(of[*Send](arrive(m, at, request, single(true, 3))))
			m.Step(at, &Abandoned{Request: request})
		}
		return n
	}
	early, middle := direct(now.Add(ramp/10), 100), direct(now.Add(ramp/2), 200)
	is.True(early >= 5 && early <= 15)
	is.True(middle >= 40 && middle <= 60)
	is.Equal(direct(now.Add(ramp), 300), 100)
}

// TestSearchForAPeerIsRepeatedSoon guards against hosts that refuse for seconds after a moment in which no peer responded.
func TestSearchForAPeerIsRepeatedSoon(t *testing.T) {
	is := is.New(t)
	m := relayMachine(newDirectory("a", 2))
	now := lose(m, single(true, 3), detector.Silent)
	for i := range 20 {
		relays := of[*SendRelay](arrive(m, now, uint64(i+1), single(true, 3)))
		is.Equal(len(relays), 1)
		endRelay(m, now, relays[0], RelayNoPeer, classifier.NoServer)
		refusals := of[*Refuse](arrive(m, now, uint64(100+i), single(true, 3)))
		is.Equal(len(refusals), 1) // at once
		now = now.Add(noPeerPauseMax)
	}
}

func TestRelayChargesTheBudgetOfExtraAttempts(t *testing.T) {
	is := is.New(t)
	m := relayMachine(newDirectory("a", 1))
	m.cfg.Extra.Burst = 2 // of which one half may be sent without delay
	for request := uint64(1); request <= 4; request++ {
		arrive(m, start, request, single(true, 3))
	}
	lost := start.Add(lostAfter)
	probe(m, lost, detector.Silent)
	is.Equal(len(of[*SendRelay](clone(m.Step(lost.Add(rescueDelay), &TimerFired{})))), 1)
	is.True(m.ExtraBudgetDenied() > 0)
}

// relayHarness records what happens to requests of a machine whose servers come and go.
type relayHarness struct {
	t      *rapid.T
	m      *Machine
	now    time.Time
	sends  map[uint64]*Send
	relays map[uint64]*SendRelay
	routes map[uint64]*matcher.Route
	// ran holds for each request and sub-request the servers that may have run it.
	ran      map[uint64]map[int]int
	outcomes map[uint64]int
}

// TestRelaysKeepAllPromises checks with random outcomes that each request ends once, that
// attempts of this host and of peers together stay within those of the route, that
// an order which may have run is sent no more, and that no part has two answers.
func TestRelaysKeepAllPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &relayHarness{
			t: t, m: relayMachine(directoryIn(newDirectory("abcd", rapid.IntRange(1, 2).Draw(t, "servers")), "e", "c", "d")), now: start,
			sends: make(map[uint64]*Send), relays: make(map[uint64]*SendRelay), routes: make(map[uint64]*matcher.Route),
			ran: make(map[uint64]map[int]int), outcomes: make(map[uint64]int),
		}
		requests := uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				requests++
				h.routes[requests] = rapid.SampledFrom([]*matcher.Route{single(true, 2), single(false, 2), sharded("abcd", 0.75), sharded("ab", 1)}).Draw(t, "route")
				h.ran[requests] = make(map[int]int)
				h.apply(arrive(h.m, h.now, requests, h.routes[requests]))
			case 1, 2:
				h.apply(clone(h.m.Step(h.now, &TimerFired{})))
			case 3:
				h.endRelay()
			default:
				h.endSend()
			}
		}
		h.now = h.now.Add(2 * timeout)
		h.apply(clone(h.m.Step(h.now, &TimerFired{})))
		for request := uint64(1); request <= requests; request++ {
			if h.outcomes[request] != 1 {
				t.Fatalf("request %d has %d outcomes", request, h.outcomes[request])
			}
		}
	})
}

func (h *relayHarness) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case *Send:
			h.send(a.Request, a.SubRequest, 1)
			h.sends[a.Attempt] = a
		case *SendRelay:
			if a.MaxAttempts < 1 {
				h.t.Fatalf("request %d is relayed with %d attempts", a.Request, a.MaxAttempts)
			}
			for _, i := range a.SubRequests {
				for _, send := range h.sends {
					if send.Request == a.Request && send.SubRequest == i {
						h.t.Fatalf("part %d of request %d is relayed beside an attempt", i, a.Request)
					}
				}
				h.send(a.Request, i, a.MaxAttempts)
			}
			h.relays[a.Attempts[0]] = a
		case *ProbePath:
			result := rapid.SampledFrom([]detector.ProbeResult{detector.Connected, detector.Silent, detector.Silent, detector.Refused}).Draw(h.t, "probe")
			h.apply(clone(h.m.Step(h.now, &ProbeEnded{Domain: a.Domain, Result: result})))
		case *Cancel:
			h.cancel(a)
		case *Complete:
			h.outcomes[a.Request]++
		case *Refuse:
			h.outcomes[a.Request]++
			for i, n := range h.ran[a.Request] {
				if n > 0 && a.Failure.Code.NotRun() {
					h.t.Fatalf("part %d of request %d may have run but is refused with %v", i, a.Request, a.Failure.Code)
				}
			}
		}
	}
}

// send counts the servers that may run a sub-request from now on.
func (h *relayHarness) send(request uint64, i, runs int) {
	route := h.routes[request]
	if !route.Idempotent && h.ran[request][i] > 0 {
		h.t.Fatalf("request %d is sent again although it may have run", request)
	}
	h.ran[request][i] += runs
	if h.ran[request][i] > route.Attempts {
		h.t.Fatalf("part %d of request %d may run on %d servers", i, request, h.ran[request][i])
	}
}

func (h *relayHarness) cancel(a *Cancel) {
	send := h.sends[a.Attempt]
	delete(h.sends, a.Attempt)
	if !a.Await {
		return
	}
	if send != nil {
		h.finishSend(send, rapid.SampledFrom([]classifier.Code{classifier.NotSent, classifier.Canceled}).Draw(h.t, "recalled"))
		return
	}
	relay := h.relays[a.Attempt]
	if relay != nil {
		h.finishRelay(relay, RelayCanceled, rapid.SampledFrom([]classifier.Code{classifier.NotSent, classifier.Canceled}).Draw(h.t, "recalled"))
	}
}

func (h *relayHarness) endSend() {
	if len(h.sends) == 0 {
		return
	}
	oldest := slices.Min(slices.Collect(maps.Keys(h.sends)))
	code := rapid.SampledFrom([]classifier.Code{classifier.OK, classifier.ServerUnreachable, classifier.ServerUnreachable, classifier.ServerFailed, classifier.ServerRejected}).Draw(h.t, "code")
	h.finishSend(h.sends[oldest], code)
}

func (h *relayHarness) finishSend(send *Send, code classifier.Code) {
	delete(h.sends, send.Attempt)
	evidence := detector.None
	if code == classifier.ServerUnreachable {
		evidence = detector.NoConnection
	}
	if code.NotRun() {
		h.ran[send.Request][send.SubRequest]--
	}
	h.apply(clone(h.m.Step(h.now, &AttemptEnded{Attempt: send.Attempt, Code: code, Evidence: evidence})))
}

func (h *relayHarness) endRelay() {
	if len(h.relays) == 0 {
		return
	}
	oldest := slices.Min(slices.Collect(maps.Keys(h.relays)))
	switch rapid.IntRange(0, 3).Draw(h.t, "relayed") {
	case 0:
		h.finishRelay(h.relays[oldest], RelayUnserved, classifier.NoServer)
	case 1:
		h.finishRelay(h.relays[oldest], RelayFailed, classifier.ServerFailed)
	default:
		h.finishRelay(h.relays[oldest], RelayServed, classifier.OK)
	}
}

func (h *relayHarness) finishRelay(relay *SendRelay, outcome RelayOutcome, code classifier.Code) {
	delete(h.relays, relay.Attempts[0])
	if code.NotRun() {
		for _, i := range relay.SubRequests {
			h.ran[relay.Request][i] -= relay.MaxAttempts
		}
	}
	h.apply(endRelay(h.m, h.now, relay, outcome, code))
}
