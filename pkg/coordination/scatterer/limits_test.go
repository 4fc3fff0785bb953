package scatterer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
	"pgregory.net/rapid"
)

// limitAll announces a limit for some servers and answers the ask that follows with tokens.
func limitAll(m *Machine, now time.Time, servers []*lister.Server, rate float64, tokens int) {
	for _, server := range servers {
		m.Limit(now, server, allotter.Limit{Stated: true, Rate: rate})
	}
	grantAll(m, now, tokens)
}

// grantAll answers the asks that are due with a number of tokens each.
func grantAll(m *Machine, now time.Time, tokens int) []Action {
	var grants []allotter.Grant
	for _, ask := range m.Asks(now) {
		grants = append(grants, allotter.Grant{Incarnation: ask.Incarnation, Limit: ask.Limit, Tokens: tokens, Urgent: ask.Urgent, WaitMillis: 700})
	}
	m.Grant(now, grants, nil)
	return clone(m.Step(now, &TokensAsked{}))
}

// arriveDenied has a request arrive, and an ask that it waits for bring nothing.
func arriveDenied(m *Machine, now time.Time, request uint64, route *matcher.Route) []Action {
	actions := arrive(m, now, request, route)
	if len(of[*AskTokens](actions)) > 0 {
		actions = append(actions, grantAll(m, now, 0)...)
	}
	return actions
}

// TestExcessOverALimitGoesToTheOtherReplica has one of two servers take two requests.
func TestExcessOverALimitGoesToTheOtherReplica(t *testing.T) {
	is := is.New(t)
	d := newDirectory("a", 2)
	m := testMachine(d)
	limitAll(m, start, d["a"][:1], 10, 2)
	counts := map[string]int{}
	for i := range 12 {
		sends := of[*Send](arrive(m, start, uint64(i), single(true, 2)))
		is.Equal(len(sends), 1)
		is.Equal(sends[0].Limited, sends[0].Server.ID == "a0")
		counts[sends[0].Server.ID]++
	}
	is.Equal(counts["a0"], 2)
	is.Equal(counts["a1"], 10)
}

// TestRequestBeyondAllLimitsIsRefusedAtOnce checks the refusal of each kind of request: it has
// not run, and its Retry-After is the time to the next token.
func TestRequestBeyondAllLimitsIsRefusedAtOnce(t *testing.T) {
	for name, route := range map[string]*matcher.Route{"order": single(false, 1), "fetch": single(true, 2), "query": sharded("abcd", 0.75)} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newDirectory("abcd", 2)
			m := testMachine(d)
			for _, servers := range d {
				limitAll(m, start, servers, 10, 1)
			}
			is.Equal(len(of[*Refuse](arrive(m, start, 1, route))), 0)
			is.Equal(len(of[*Refuse](arrive(m, start, 2, route))), 0) // at the other replicas
			refusals := of[*Refuse](arriveDenied(m, start, 3, route))
			is.Equal(len(refusals), 1)
			is.Equal(refusals[0].Failure.Code, classifier.LimitReached)
			is.True(refusals[0].Failure.Code.NotRun())
			is.Equal(refusals[0].Failure.RetryAfter, 700*time.Millisecond)
			is.Equal(refusals[0].Took, time.Duration(0))
			is.Equal(m.Len(), 2)
		})
	}
}

// TestQueryLacksOnlyShardsBeyondTheirLimit has one of four shards without tokens.
func TestQueryLacksOnlyShardsBeyondTheirLimit(t *testing.T) {
	is := is.New(t)
	d := newDirectory("abcd", 2)
	m := testMachine(d)
	limitAll(m, start, d["c"], 10, 0)
	sends := of[*Send](arriveDenied(m, start, 1, sharded("abcd", 0.75)))
	is.Equal(len(sends), 3)
	var completes []*Complete
	for _, send := range sends {
		completes = of[*Complete](end(m, start, send, classifier.OK))
	}
	is.Equal(len(completes), 1)
	is.Equal(completes[0].Missing, []MissingSubRequest{{Service: "c", Code: classifier.LimitReached}})
}

// TestRequestWaitsForTokensOfAnAsk checks a host that has not asked for a while: the request
// goes out once it has a token, or is refused after askWait without one.
func TestRequestWaitsForTokensOfAnAsk(t *testing.T) {
	is := is.New(t)
	d := newDirectory("a", 1)
	m := testMachine(d)
	limitAll(m, start, d["a"], 1, 0)
	now := start.Add(time.Second)
	is.Equal(len(of[*AskTokens](arrive(m, now, 1, single(false, 1)))), 1)
	is.Equal(len(of[*AskTokens](arrive(m, now, 2, single(false, 1)))), 1)
	now = now.Add(5 * time.Millisecond)
	actions := grantAll(m, now, 1)
	actions = append(actions, grantAll(m, now, 0)...)
	is.Equal(of[*Send](actions)[0].Request, uint64(1)) // in the order of arrival
	end(m, now, of[*Send](actions)[0], classifier.OK)
	is.Equal(of[*Refuse](actions)[0].Request, uint64(2))

	now = now.Add(time.Second)
	is.Equal(len(of[*AskTokens](arrive(m, now, 3, single(false, 1)))), 1)
	at, ok := m.NextTimer()
	is.True(ok)
	is.Equal(at, now.Add(askWait))
	refusals := of[*Refuse](clone(m.Step(at, &TimerFired{})))
	is.Equal(len(refusals), 1)
	is.Equal(refusals[0].Failure.Code, classifier.LimitReached)

	now = now.Add(time.Second)
	is.Equal(len(of[*AskTokens](arrive(m, now, 4, single(false, 1)))), 1)
	m.Step(now, &Abandoned{Request: 4})
	is.Equal(len(grantAll(m, now, 5)), 0)
	is.Equal(m.waiting, 0)
}

// TestExtraAttemptsLeaveATokenForFirstAttempts has the only other replica of a late and of a
// failed sub-request hold one token, then two.
func TestExtraAttemptsLeaveATokenForFirstAttempts(t *testing.T) {
	for tokens, extra := range map[int]int{1: 0, 2: 1} {
		is := is.New(t)
		d := newDirectory("a", 2)
		m := testMachine(d)
		send := of[*Send](arrive(m, start, 1, single(true, 2)))[0]
		other := d["a"][1:]
		is.Equal(send.Server.ID, "a0")
		limitAll(m, start, other, 10, tokens)
		is.Equal(len(of[*Send](m.Step(start.Add(objective/4), &TimerFired{}))), extra)

		m = testMachine(d)
		send = of[*Send](arrive(m, start, 1, single(true, 2)))[0]
		limitAll(m, start, other, 10, tokens)
		is.Equal(len(of[*Send](end(m, start, send, classifier.ServerFailed))), extra)
	}
}

// TestShardsWithALimitAreNotInASlice has two of six shards of another domain limited: the host
// that answers the caller must know whether these take the request before any part is sent.
func TestShardsWithALimitAreNotInASlice(t *testing.T) {
	is := is.New(t)
	d := twoDomains("abcdefgh", 2)
	m := sliceMachine(d)
	limitAll(m, start, d["c"], 10, 1)
	limitAll(m, start, d["d"], 10, 1)
	for i := range 2 {
		actions := arrive(m, start, uint64(i), sharded("abcdefgh", 1))
		is.Equal(of[*SendSlice](actions)[0].SubRequests, []int{4, 5, 6, 7})
		is.Equal(len(of[*Send](actions)), 4)
		for _, send := range of[*Send](actions) {
			end(m, start, send, classifier.OK)
		}
	}
	actions := arriveDenied(m, start, 2, sharded("abcdefgh", 1))
	is.Equal(len(of[*SendSlice](actions))+len(of[*Send](actions)), 0)
	refusal := of[*Refuse](actions)[0]
	is.Equal(refusal.Failure.Code, classifier.LimitReached)
	is.Equal(refusal.Missing[2], MissingSubRequest{Service: "c", Code: classifier.LimitReached})
}

// TestGatheringHostSpendsTokensForASlice checks that a slice is refused beyond the limit.
func TestGatheringHostSpendsTokensForASlice(t *testing.T) {
	is := is.New(t)
	d := newDirectory("cdef", 2)
	m := testMachine(d)
	for _, servers := range d {
		limitAll(m, start, servers, 10, 1)
	}
	slice := &Arrived{Route: sharded("cdef", 1), CallerTimeLeft: callerTimeout, Slice: true}
	for i := range 2 {
		slice.Request = uint64(i)
		is.Equal(len(of[*Send](clone(m.Step(start, slice)))), 4)
	}
	slice.Request = 2
	is.Equal(len(of[*AskTokens](clone(m.Step(start, slice)))), 1)
	is.Equal(len(of[*Refuse](grantAll(m, start, 0))), 1)
}

// TestWeightsHoldBeyondALimit checks that the excess of one service of a route is not moved to
// the other, and that a wait for tokens doesn't count the request twice.
func TestWeightsHoldBeyondALimit(t *testing.T) {
	is := is.New(t)
	d := newDirectory("ab", 1)
	m := testMachine(d)
	route := single(true, 2)
	route.Target = &matcher.Weighted{Services: []matcher.WeightedService{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}}
	limitAll(m, start, d["a"], 1, 0)
	sent, refused := 0, 0
	now := start
	for i := range 20 {
		now = now.Add(200 * time.Millisecond)
		actions := append(arrive(m, now, uint64(i), route), grantAll(m, now, 0)...)
		sent += len(of[*Send](actions))
		refused += len(of[*Refuse](actions))
	}
	is.Equal(sent, 10)
	is.Equal(refused, 10)
}

// TestEveryAttemptSpendsAToken draws arrivals, ends of attempts, time and tokens: no server
// with a limit may get more requests, of whatever kind, than it got tokens for.
func TestEveryAttemptSpendsAToken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirectory("abc", 2)
		m := testMachine(d)
		granted, received := map[string]int{}, map[string]int{}
		now := start
		var open []*Send
		apply := func(actions []Action) {
			for _, send := range of[*Send](actions) {
				open = append(open, send)
				received[send.Server.ID]++
				if received[send.Server.ID] > granted[send.Server.ID] {
					t.Fatalf("%s got %d requests with %d tokens", send.Server.ID, received[send.Server.ID], granted[send.Server.ID])
				}
			}
		}
		for _, servers := range d {
			for _, server := range servers {
				m.Limit(now, server, allotter.Limit{Stated: true, Rate: 20})
			}
		}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				route := rapid.SampledFrom([]*matcher.Route{single(true, 2), single(false, 1), sharded("abc", 0.6)}).Draw(t, "route")
				apply(arrive(m, now, uint64(i), route))
			case 1:
				var grants []allotter.Grant
				for _, ask := range m.Asks(now) {
					tokens := rapid.IntRange(0, 3).Draw(t, "tokens")
					granted[ask.Server] += tokens
					grants = append(grants, allotter.Grant{Incarnation: ask.Incarnation, Limit: ask.Limit, Tokens: tokens})
				}
				m.Grant(now, grants, nil)
				apply(clone(m.Step(now, &TokensAsked{})))
			case 2:
				if len(open) > 0 {
					code := rapid.SampledFrom([]classifier.Code{classifier.OK, classifier.ServerFailed, classifier.ServerRejected, classifier.NotSent}).Draw(t, "end")
					send := open[0]
					open = open[1:]
					apply(end(m, now, send, code))
				}
			case 3:
				apply(clone(m.Step(now, &TimerFired{})))
			}
		}
	})
}
