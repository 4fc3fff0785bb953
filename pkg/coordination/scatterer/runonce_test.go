package scatterer

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// orderID is the request that may run once.
const orderID = 1

// orderWorld holds what servers and callers observe of requests that may run once.
type orderWorld struct {
	t     *testing.T
	m     *Machine
	other *vetter.Vetter
	now   time.Time
	steps []string
	// outstanding has the attempts of each request that have not ended, ran the number of its
	// attempts that have ended and may have run.
	outstanding map[uint64][]uint64
	ran         map[uint64]int
	outcomes    map[uint64]int
	requests    uint64
	relays      map[uint64]*SendRelay
}

// orderEvent is something that happens to an order, to its servers or to a request like it.
type orderEvent struct {
	name  string
	apply func(w *orderWorld)
}

// ending is the end of the oldest attempt of the order, if it has one.
func ending(name string, e AttemptEnded) orderEvent {
	return orderEvent{name, func(w *orderWorld) { w.endAttempt(orderID, e) }}
}

var orderEvents = []orderEvent{
	ending("crash", AttemptEnded{Code: classifier.ServerFailed, ServerEnded: true}),
	ending("500", AttemptEnded{Code: classifier.ServerFailed, FinalResponse: true}),
	ending("503NotExecuted", AttemptEnded{Code: classifier.ServerRejected}),
	ending("503", AttemptEnded{Code: classifier.ServerFailed}),
	ending("421", AttemptEnded{Code: classifier.WrongServer}),
	ending("504", AttemptEnded{Code: classifier.ServerFailed, FinalResponse: true, Exhausted: true}),
	ending("garbled", AttemptEnded{Code: classifier.EchoMismatch}),
	ending("tooLarge", AttemptEnded{Code: classifier.ResponseTooLarge}),
	ending("refusedConnection", AttemptEnded{Code: classifier.ServerUnreachable, ConnectionRefused: true}),
	ending("resetBefore", AttemptEnded{Code: classifier.ServerUnreachable}),
	ending("resetAfter", AttemptEnded{Code: classifier.ServerFailed}),
	ending("lateAnswer", AttemptEnded{Code: classifier.DeadlineExceeded}),
	ending("notSent", AttemptEnded{Code: classifier.NotSent}),
	ending("doubted", AttemptEnded{Code: classifier.ServerFailed, Doubted: true}),
	ending("ok", AttemptEnded{Code: classifier.OK}),
	{"canceled", func(w *orderWorld) {
		w.apply(w.m.Step(w.now, &Abandoned{Request: orderID}))
		w.outcomes[orderID]++
	}},
	{"timer", func(w *orderWorld) {
		w.now = w.now.Add(objective / 2)
		w.apply(w.m.Step(w.now, &TimerFired{}))
	}},
	{"cut", func(w *orderWorld) {
		w.now = w.now.Add(lostAfter)
		for _, p := range of[*ProbePath](w.apply(w.m.Step(w.now, &TimerFired{}))) {
			w.apply(w.m.Step(w.now, &ProbeEnded{Domain: p.Domain, Result: detector.Silent}))
		}
		w.now = w.now.Add(rescueDelay)
		w.apply(w.m.Step(w.now, &TimerFired{}))
	}},
	{"suspectedElsewhere", func(w *orderWorld) { w.merge(func() { w.endElsewhere(2) }) }},
	{"blockedElsewhere", func(w *orderWorld) { w.merge(func() { w.endElsewhere(3) }) }},
	{"clearedElsewhere", func(w *orderWorld) { w.merge(func() { w.other.RanWell(w.now, deadly) }) }},
	{"liftedElsewhere", func(w *orderWorld) { w.merge(func() { w.other.Decide(w.now, deadly, vetter.Lifted) }) }},
	{"likeRunsWell", func(w *orderWorld) { w.like(AttemptEnded{Code: classifier.OK}) }},
	{"likeFails", func(w *orderWorld) { w.like(AttemptEnded{Code: classifier.ServerFailed, FinalResponse: true}) }},
	{"likeCrashes", func(w *orderWorld) { w.like(AttemptEnded{Code: classifier.ServerFailed, ServerEnded: true}) }},
	{"stopped", func(w *orderWorld) { w.apply(w.m.Step(w.now, &Stopped{})) }},
}

func newOrderWorld(t *testing.T) *orderWorld {
	m := vettingMachine(newDirectory("a", 8))
	m.cfg.Relays = true
	m.detector = detector.New(detector.DefaultConfig(), m.directory)
	w := &orderWorld{
		t: t, m: m, other: vettingMachine(nil).vetter, now: start, requests: orderID, outstanding: make(map[uint64][]uint64), ran: make(map[uint64]int),
		outcomes: make(map[uint64]int), relays: make(map[uint64]*SendRelay),
	}
	return w
}

// apply records actions; a request that may run once must not be sent while it may have run.
func (w *orderWorld) apply(actions []Action) []Action {
	actions = clone(actions)
	for _, action := range actions {
		switch a := action.(type) {
		case *Send:
			w.sent(a.Request, a.Attempt)
		case *SendRelay:
			w.sent(a.Request, a.Attempts[0])
			w.relays[a.Attempts[0]] = a
		case *Cancel:
			w.canceled(a)
		case *Complete:
			w.outcomes[a.Request]++
		case *Refuse:
			w.outcomes[a.Request]++
			if a.Failure.Code.NotRun() && w.ran[a.Request]+len(w.outstanding[a.Request]) > 0 {
				w.t.Fatalf("after %s: request %d may have run and is refused with %v", strings.Join(w.steps, ", "), a.Request, a.Failure.Code)
			}
		}
	}
	return actions
}

func (w *orderWorld) sent(request, attempt uint64) {
	if w.ran[request]+len(w.outstanding[request]) > 0 {
		w.t.Fatalf("after %s: request %d is sent again although it may have run", strings.Join(w.steps, ", "), request)
	}
	if w.outcomes[request] > 0 {
		w.t.Fatalf("after %s: request %d is sent after its caller has the answer", strings.Join(w.steps, ", "), request)
	}
	w.outstanding[request] = append(w.outstanding[request], attempt)
}

// canceled ends a canceled attempt, which may have run.
func (w *orderWorld) canceled(a *Cancel) {
	for request, attempts := range w.outstanding {
		for _, attempt := range attempts {
			if attempt == a.Attempt {
				w.outstanding[request] = nil
				w.ran[request]++
			}
		}
	}
	if a.Await {
		w.apply(w.m.Step(w.now, &AttemptEnded{Attempt: a.Attempt, Code: classifier.Canceled}))
	}
}

// endAttempt ends the oldest attempt of a request, also one that is relayed.
func (w *orderWorld) endAttempt(request uint64, e AttemptEnded) {
	if len(w.outstanding[request]) == 0 {
		return
	}
	e.Attempt = w.outstanding[request][0]
	w.outstanding[request] = w.outstanding[request][1:]
	if !e.Code.NotRun() {
		w.ran[request]++
	}
	if w.relays[e.Attempt] == nil {
		w.apply(w.m.Step(w.now, &e))
		return
	}
	e.ServerEnded, e.ConnectionRefused, e.Exhausted = false, false, e.Code != classifier.OK
	w.apply(w.m.Step(w.now, &RelayEnded{Request: request, Outcome: RelayFailed, Ends: []*AttemptEnded{&e}}))
}

// like has another order with the same fingerprint arrive, run and end.
func (w *orderWorld) like(e AttemptEnded) {
	w.requests++
	request := w.requests
	w.apply(arriveAs(w.m, w.now, request, single(false, 2), deadly))
	w.endAttempt(request, e)
}

// merge has another host's vetter change and its records arrive.
func (w *orderWorld) merge(change func()) {
	change()
	w.m.vetter.Merge(w.now, w.other.Changed(w.now))
	w.apply(w.m.Step(w.now, &RecordsMerged{}))
}

// endElsewhere has some servers end under the order at another host.
func (w *orderWorld) endElsewhere(ends int) {
	for n := range ends {
		w.other.ServerEnded(w.now, vetter.NewSubject(deadly, "r", "a", "GET", "/"), vetter.End(1000+n), true)
	}
}

// TestAnOrderRunsAtOneServerWhateverHappens guards against orders that run twice. It covers each
// pair of events, and with two attempts each triple, after each number of earlier crashes under the
// same fingerprint, on virtual time.
func TestAnOrderRunsAtOneServerWhateverHappens(t *testing.T) {
	const earlierCrashes = 4
	nothing := orderEvent{"nothing", func(*orderWorld) {}}
	for crashes := range earlierCrashes {
		for _, route := range []*matcher.Route{single(false, 1), single(false, 2), single(false, 3)} {
			thirds := []orderEvent{nothing}
			if route.Attempts == 2 {
				thirds = orderEvents
			}
			t.Run(fmt.Sprintf("%dCrashes%dAttempts", crashes, route.Attempts), func(t *testing.T) {
				for _, first := range orderEvents {
					for _, second := range orderEvents {
						for _, third := range thirds {
							runOrder(t, crashes, route, first, second, third)
						}
					}
				}
			})
		}
	}
}

func runOrder(t *testing.T, crashes int, route *matcher.Route, events ...orderEvent) {
	t.Helper()
	w := newOrderWorld(t)
	for range crashes {
		w.steps = append(w.steps, "likeCrashes")
		w.like(AttemptEnded{Code: classifier.ServerFailed, ServerEnded: true})
	}
	w.steps = append(w.steps, "arrival")
	w.apply(arriveAs(w.m, w.now, orderID, route, deadly))
	for _, event := range events {
		w.steps = append(w.steps, event.name)
		event.apply(w)
		w.now = w.now.Add(time.Millisecond)
	}
	w.steps = append(w.steps, "end")
	w.now = w.now.Add(2 * timeout)
	w.apply(w.m.Step(w.now, &TimerFired{}))
	if w.outcomes[orderID] == 0 {
		t.Fatalf("after %s: the caller has no answer", strings.Join(w.steps, ", "))
	}
}

// TestOwnFailureOfACanaryIsNotRepeated guards against an order that runs again after two servers have
// crashed under equal ones and the next server has answered with a failure of its own; a request
// that may repeat goes on at another server.
func TestOwnFailureOfACanaryIsNotRepeated(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		m := vettingMachine(newDirectory("a", 8))
		for request := uint64(1); request <= 2; request++ {
			breakOff(m, start, only[*Send](t, arriveAs(m, start, request, single(false, 2), deadly)))
		}
		canary := only[*Send](t, arriveAs(m, start, 3, single(idempotent, 2), deadly))
		actions := clone(m.Step(start, &AttemptEnded{Attempt: canary.Attempt, Code: classifier.ServerFailed, FinalResponse: true}))
		if sent := len(of[*Send](actions)) > 0; sent != idempotent {
			t.Errorf("idempotent %v: sent again %v", idempotent, sent)
		}
		if answered := len(of[*Complete](actions)) > 0; answered == idempotent {
			t.Errorf("idempotent %v: answered %v", idempotent, answered)
		}
		if m.vetter.Judge(start, deadly) != vetter.Allowed {
			t.Error("a run that ended well does not clear the request")
		}
	}
}

// TestSubRequestIsCountedAsDoneOnce has the own failure of a canary leave its sub-request without
// another server while the others of the query are sent.
func TestSubRequestIsCountedAsDoneOnce(t *testing.T) {
	m := vettingMachine(newDirectory("abc", 1))
	for end := range vetter.End(2) {
		m.vetter.ServerEnded(start, vetter.NewSubject(deadly, "r", "a", "GET", "/"), end+1, true)
	}
	canary := only[*Send](t, arriveAs(m, start, 1, sharded("abc", 0.5), deadly))
	actions := clone(m.Step(start, &AttemptEnded{Attempt: canary.Attempt, Code: classifier.ServerFailed, FinalResponse: true}))
	sends := of[*Send](actions)
	if len(sends) != 2 || m.requests[1].doneCount != 1 {
		t.Fatalf("%d sub-requests are sent, %d count as done", len(sends), m.requests[1].doneCount)
	}
	end(m, start, sends[0], classifier.OK)
	only[*Complete](t, end(m, start, sends[1], classifier.OK))
}
