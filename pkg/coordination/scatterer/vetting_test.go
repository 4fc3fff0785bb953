package scatterer

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// deadly is the fingerprint of a request that ends servers.
var deadly = vetter.Fingerprint{1}

func vettingMachine(d Directory) *Machine {
	m := testMachine(d)
	m.cfg.Vetting = true
	return m
}

// breakOff ends an attempt whose server has ended.
func breakOff(m *Machine, now time.Time, send *Send) []Action {
	return clone(m.Step(now, &AttemptEnded{Attempt: send.Attempt, Code: classifier.ServerFailed, ServerEnded: true}))
}

// only returns the single action of a type.
func only[T Action](t *testing.T, actions []Action) T {
	t.Helper()
	list := of[T](actions)
	if len(list) != 1 {
		t.Fatalf("%d actions of type %T, not 1", len(list), *new(T))
	}
	return list[0]
}

// TestDeadlyQueryEndsAsFewServersAsPossible follows a query from its first sight on: the second
// end cancels what is outstanding, one more server is tried, and then the query is blocked.
func TestDeadlyQueryEndsAsFewServersAsPossible(t *testing.T) {
	is := is.New(t)
	m := vettingMachine(newDirectory("abcdefgh", 2))
	route := sharded("abcdefgh", 0.5)
	sends := of[*Send](arriveAs(m, start, 1, route, deadly))
	is.Equal(len(sends), 8)
	at := start.Add(30 * time.Millisecond)
	is.Equal(len(of[*Send](clone(m.Step(at, &TimerFired{})))), 0) // no hedge without any answer
	is.Equal(len(of[*Send](breakOff(m, at, sends[0]))), 0)        // no retry
	actions := breakOff(m, at, sends[1])
	is.Equal(len(of[*Cancel](actions)), 6)
	is.Equal(only[*VerdictChanged](t, actions).After, vetter.Suspected)
	canary := only[*Send](t, actions)

	is.Equal(len(arriveAs(m, at, 2, route, deadly)), 0) // waits for the end of the trial
	actions = breakOff(m, at.Add(20*time.Millisecond), canary)
	is.Equal(only[*VerdictChanged](t, actions).After, vetter.Blocked)
	refusals := of[*Refuse](actions)
	is.Equal(len(refusals), 2)
	slices.SortFunc(refusals, func(a, b *Refuse) int { return int(a.Request) - int(b.Request) })
	is.Equal(refusals[0].Failure.Code, classifier.RequestCrashed)
	is.True(!refusals[0].Failure.Code.NotRun())
	is.Equal(refusals[1].Failure.Code, classifier.RequestBlocked) // has not run

	actions = arriveAs(m, at.Add(time.Second), 3, route, deadly)
	is.Equal(len(of[*Send](actions)), 0)
	refusal := only[*Refuse](t, actions)
	is.Equal(refusal.Failure.Code, classifier.RequestBlocked)
	is.True(refusal.Failure.RetryAfter > time.Second)
	is.Equal(m.Len(), 0)
}

// TestProperQueryWhoseServersEndIsAnswered has servers end for another cause: before any answer,
// so that one more run must end well first, and after one.
func TestProperQueryWhoseServersEndIsAnswered(t *testing.T) {
	for _, answered := range []int{0, 1} {
		is := is.New(t)
		m := vettingMachine(newDirectory("abcdef", 2))
		sends := of[*Send](arriveAs(m, start, 1, sharded("abcdef", 1), deadly))
		for _, send := range sends[4 : 4+answered] {
			is.Equal(len(of[*Send](end(m, start, send, classifier.OK))), 0)
		}
		var pending []*Send
		for _, send := range sends[:3] {
			pending = append(pending, of[*Send](breakOff(m, start, send))...)
		}
		if answered == 0 {
			is.Equal(len(pending), 1) // the canary
			pending = of[*Send](end(m, start, pending[0], classifier.OK))
			is.Equal(len(pending), 5)
		} else {
			is.Equal(len(pending), 3) // retries at once
			pending = append(pending, sends[3], sends[5])
		}
		is.Equal(m.vetter.Judge(start, deadly), vetter.Allowed)
		var last []Action
		for _, send := range pending {
			last = end(m, start, send, classifier.OK)
		}
		is.Equal(len(only[*Complete](t, last).Missing), 0)
	}
}

// TestHeldSubRequestGoesOnWithTheFirstAnswer has one server end before any answer.
func TestHeldSubRequestGoesOnWithTheFirstAnswer(t *testing.T) {
	is := is.New(t)
	m := vettingMachine(newDirectory("abc", 2))
	sends := of[*Send](arriveAs(m, start, 1, sharded("abc", 1), deadly))
	is.Equal(len(of[*Send](breakOff(m, start, sends[0]))), 0)
	retry := only[*Send](t, end(m, start, sends[1], classifier.OK))
	is.Equal(retry.SubRequest, sends[0].SubRequest)
	is.Equal(retry.Reason, ReasonRetry)
	is.True(!m.vetter.Doubted(deadly))
}

// TestHeldSubRequestsGoOnAfterOtherFailures has the other sub-requests fail without the end of a
// server.
func TestHeldSubRequestsGoOnAfterOtherFailures(t *testing.T) {
	is := is.New(t)
	m := vettingMachine(newDirectory("ab", 2))
	sends := of[*Send](arriveAs(m, start, 1, sharded("ab", 0.5), deadly))
	breakOff(m, start, sends[0])
	retry := only[*Send](t, end(m, start, sends[1], classifier.ServerFailed))
	canary := only[*Send](t, end(m, start, retry, classifier.ServerFailed))
	is.Equal(canary.SubRequest, sends[0].SubRequest)
	is.Equal(len(of[*Complete](end(m, start, canary, classifier.OK))), 1)
}

// TestSingleServiceRequestIsBlockedAfterThreeServers sends orders and fetches that end the servers
// that run them.
func TestSingleServiceRequestIsBlockedAfterThreeServers(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		is := is.New(t)
		m := vettingMachine(newDirectory("a", 8))
		ended := 0
		var last []Action
		for request := uint64(1); request <= 10; request++ {
			last = arriveAs(m, start, request, single(idempotent, 2), deadly)
			for len(of[*Send](last)) > 0 {
				ended++
				last = breakOff(m, start, of[*Send](last)[0])
			}
		}
		is.Equal(ended, 3)
		is.Equal(only[*Refuse](t, last).Failure.Code, classifier.RequestBlocked)
	}
}

// TestSuspectedRequestIsNotHedged has a suspected request of a single service be late.
func TestSuspectedRequestIsNotHedged(t *testing.T) {
	is := is.New(t)
	m := vettingMachine(newDirectory("a", 8))
	route := single(true, 2)
	breakOff(m, start, only[*Send](t, arriveAs(m, start, 1, single(true, 1), deadly)))
	only[*Send](t, arriveAs(m, start, 2, route, deadly))
	is.Equal(len(of[*Send](clone(m.Step(start.Add(objective/2), &TimerFired{})))), 0)
}

// TestBlockLearntFromAnotherHostEndsWhatRuns has another host block a query in flight.
func TestBlockLearntFromAnotherHostEndsWhatRuns(t *testing.T) {
	is := is.New(t)
	m, other := vettingMachine(newDirectory("abcd", 2)), vettingMachine(newDirectory("abcd", 2))
	for end := range vetter.End(3) {
		other.vetter.ServerEnded(start, vetter.Subject{Fingerprint: deadly}, end+1, true)
	}
	is.Equal(len(of[*Send](arriveAs(m, start, 1, sharded("abcd", 0.5), deadly))), 4)
	m.vetter.Merge(start, other.vetter.Changed(start))
	actions := clone(m.Step(start, &RecordsMerged{}))
	is.Equal(len(of[*Cancel](actions)), 4)
	var ends []Action
	for _, cancel := range of[*Cancel](actions) {
		ends = append(ends, clone(m.Step(start, &AttemptEnded{Attempt: cancel.Attempt, Code: classifier.Canceled}))...)
	}
	is.Equal(only[*Refuse](t, ends).Failure.Code, classifier.RequestCrashed)
}

// TestSliceOfASuspectedQueryIsGivenUp has a gathering host find the evidence, and the host that
// sent the slice hold its sub-requests back.
func TestSliceOfASuspectedQueryIsGivenUp(t *testing.T) {
	is := is.New(t)
	m := vettingMachine(newDirectory("abcd", 2))
	sends := of[*Send](clone(m.Step(start, &Arrived{Request: 1, Route: sharded("abcd", 0.5), CallerTimeLeft: callerTimeout, BudgetShare: 1, Slice: true, Fingerprint: deadly})))
	breakOff(m, start, sends[0])
	actions := breakOff(m, start, sends[1])
	is.Equal(len(of[*Send](actions)), 0)
	is.Equal(only[*Refuse](t, actions).Failure.Code, classifier.RequestCrashed)
	refusal := only[*Refuse](t, clone(m.Step(start, &Arrived{Request: 2, Route: sharded("abcd", 0.5), CallerTimeLeft: callerTimeout, BudgetShare: 1, Slice: true, Fingerprint: deadly})))
	is.Equal(refusal.Failure.Code, classifier.RequestSuspected)

	origin := vettingMachine(newDirectory("abcd", 2))
	sends = of[*Send](arriveAs(origin, start, 1, sharded("abcd", 1), deadly))
	for _, send := range sends[:2] {
		is.Equal(len(of[*Send](clone(origin.Step(start, &AttemptEnded{Attempt: send.Attempt, Code: classifier.ServerFailed, Doubted: true})))), 0)
	}
	is.Equal(len(of[*Send](end(origin, start, sends[2], classifier.OK))), 2)
}

// TestUnknownQueryBeginsAtOneServerWhileOthersAreDown has another query end servers.
func TestUnknownQueryBeginsAtOneServerWhileOthersAreDown(t *testing.T) {
	is := is.New(t)
	m := vettingMachine(newDirectory("abcd", 2))
	for end := range vetter.End(3) {
		m.vetter.ServerEnded(start, vetter.NewSubject(deadly, "r", "a", "GET", "/"), end, true)
	}
	canary := only[*Send](t, arriveAs(m, start, 1, sharded("abcd", 1), vetter.Fingerprint{2}))
	rest := of[*Send](end(m, start, canary, classifier.OK))
	is.Equal(len(rest), 3)
	for _, send := range rest {
		is.Equal(send.Reason, ReasonFirst)
	}
	canary = only[*Send](t, arriveAs(m, start, 2, sharded("abcd", 1), vetter.Fingerprint{3}))
	is.Equal(only[*Refuse](t, breakOff(m, start, canary)).Failure.Code, classifier.RequestCrashed)
}

// TestSwitchedOffVettingChangesNothing ends servers under a query with policy vetRequests off.
func TestSwitchedOffVettingChangesNothing(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("abcd", 2))
	sends := of[*Send](arriveAs(m, start, 1, sharded("abcd", 0.5), deadly))
	for _, send := range sends {
		is.Equal(len(of[*Send](breakOff(m, start, send))), 1)
	}
	is.Equal(m.vetter.Len(), 0)
}

// TestSuspectedRequestsWaitForTheTrialOfOne has three queries with one fingerprint in flight
// while servers end for another cause.
func TestSuspectedRequestsWaitForTheTrialOfOne(t *testing.T) {
	for _, well := range []bool{true, false} {
		is := is.New(t)
		m := vettingMachine(newDirectory("abcd", 3))
		route := sharded("abcd", 1)
		arriveAs(m, start.Add(-window), 9, route, vetter.Fingerprint{9}) // the budgets fill up
		m.Step(start.Add(-window), &Abandoned{Request: 9})
		first := of[*Send](arriveAs(m, start, 1, route, deadly))
		second := of[*Send](arriveAs(m, start, 2, route, deadly))
		breakOff(m, start, first[0])
		canary := only[*Send](t, breakOff(m, start, second[1]))
		is.Equal(len(arriveAs(m, start, 3, route, deadly)), 0)
		if !well {
			refusals := of[*Refuse](clone(m.Step(start.Add(timeout), &TimerFired{})))
			is.Equal(len(refusals), 3)
			continue
		}
		sends := of[*Send](end(m, start, canary, classifier.OK))
		is.Equal(len(sends), 3+4+4)
		completes := 0
		for _, send := range sends {
			completes += len(of[*Complete](end(m, start, send, classifier.OK)))
		}
		is.Equal(completes, 3)
	}
}
