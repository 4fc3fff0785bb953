package scatterer

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
	"pgregory.net/rapid"
)

const (
	objective     = 100 * time.Millisecond
	timeout       = time.Second
	margin        = 10 * time.Millisecond
	callerTimeout = 800 * time.Millisecond
	window        = 10 * time.Second
)

var start = time.Unix(100, 0)

// directory is a fixed list of servers.
type directory map[string][]*lister.Server

func (d directory) Servers(service string) []*lister.Server { return d[service] }

func (d directory) InDomain(domain string) []*lister.Server {
	var servers []*lister.Server
	for _, service := range slices.Sorted(maps.Keys(d)) {
		for _, server := range d[service] {
			if server.Domain == domain {
				servers = append(servers, server)
			}
		}
	}
	return servers
}

func (d directory) Domains() []string {
	domains := make(map[string]bool)
	for _, servers := range d {
		for _, server := range servers {
			domains[server.Domain] = true
		}
	}
	return slices.Sorted(maps.Keys(domains))
}

// newDirectory returns services named by letters, each with the same number of servers.
func newDirectory(services string, servers int) directory {
	d := make(directory)
	for _, name := range services {
		for i := range servers {
			id := fmt.Sprintf("%c%d", name, i)
			d[string(name)] = append(d[string(name)], &lister.Server{ID: id, Service: string(name), Domain: "d", Slots: 2})
		}
	}
	return d
}

func testMachine(d Directory) *Machine {
	return New(Config{
		Placer:       placer.DefaultConfig("d"),
		AnswerMargin: margin, HedgeFraction: 0.25, Extra: ExtraBudget{Ratio: 0.2, Burst: 50, Window: window}, Retries: true,
	}, d)
}

func single(idempotent bool, attempts int) *matcher.Route {
	return &matcher.Route{
		Name: "r", Host: "h", Prefix: "/", Idempotent: idempotent, Attempts: attempts,
		Timeout: timeout, Objective: objective, Target: &matcher.Single{Service: "a"},
	}
}

func sharded(services string, coverage float64) *matcher.Route {
	route := single(true, 2)
	target := &matcher.Sharded{MinCoverage: coverage, Rows: 5}
	for _, name := range services {
		target.Services = append(target.Services, string(name))
	}
	route.Target = target
	return route
}

func arrive(m *Machine, now time.Time, request uint64, route *matcher.Route) []Action {
	return arriveAs(m, now, request, route, vetter.Fingerprint{})
}

// arriveAs has a request arrive that has a fingerprint.
func arriveAs(m *Machine, now time.Time, request uint64, route *matcher.Route, f vetter.Fingerprint) []Action {
	return clone(m.Step(now, &Arrived{Request: request, Route: route, CallerTimeLeft: callerTimeout, BudgetShare: 1, Fingerprint: f, Method: "GET", Target: "/"}))
}

func clone(actions []Action) []Action { return append([]Action(nil), actions...) }

// of returns the actions of one type.
func of[T Action](actions []Action) []T {
	var list []T
	for _, action := range actions {
		typed, ok := action.(T)
		if ok {
			list = append(list, typed)
		}
	}
	return list
}

func end(m *Machine, now time.Time, send *Send, code classifier.Code) []Action {
	return clone(m.Step(now, &AttemptEnded{Attempt: send.Attempt, Code: code}))
}

func TestCompleteAnswerIsSentImmediately(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("abc", 2))
	sends := of[*Send](arrive(m, start, 1, sharded("abc", 0.5)))
	is.Equal(len(sends), 3)
	is.Equal(len(end(m, start, sends[0], classifier.OK)), 0)
	is.Equal(len(end(m, start, sends[1], classifier.OK)), 0)
	completes := of[*Complete](end(m, start, sends[2], classifier.OK))
	is.Equal(len(completes), 1)
	is.Equal(completes[0].Attempts, []uint64{sends[0].Attempt, sends[1].Attempt, sends[2].Attempt})
	is.True(!completes[0].Early)
	is.Equal(m.Len(), 0)
}

// TestSpentTimeCountsAgainstTheObjective has one of four shards late in a query that
// arrived through another host. A query that arrives after its latency objective is neither
// refused nor delayed until the last shard answers.
func TestSpentTimeCountsAgainstTheObjective(t *testing.T) {
	for _, spent := range []time.Duration{objective / 2, 2 * objective} {
		is := is.New(t)
		m := New(Config{Placer: placer.DefaultConfig("d"), AnswerMargin: margin, LateFactor: 1.5, Retries: true}, newDirectory("abcd", 1))
		sends := of[*Send](clone(m.Step(start, &Arrived{Request: 1, Route: sharded("abcd", 0.75), CallerTimeLeft: callerTimeout, BudgetShare: 1, ObjectiveSpent: spent})))
		is.Equal(len(sends), 4)
		var done []Action
		for _, send := range sends[:3] {
			done = end(m, start, send, classifier.OK)
		}
		at := start.Add(objective - margin - spent)
		if at.After(start) {
			is.Equal(len(done), 0)
			done = clone(m.Step(at, &TimerFired{}))
		}
		is.Equal(len(of[*Complete](done)), 1)
	}
}

// TestEarlyAnswerIsSentBeforeTheObjective has one of four shards late.
func TestEarlyAnswerIsSentBeforeTheObjective(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("abcd", 1))
	sends := of[*Send](arrive(m, start, 1, sharded("abcd", 0.75)))
	for _, send := range sends[:3] {
		end(m, start, send, classifier.OK)
	}
	at := start.Add(objective - margin)
	is.Equal(len(of[*Complete](m.Step(at.Add(-time.Millisecond), &TimerFired{}))), 0)
	actions := clone(m.Step(at, &TimerFired{}))
	completes := of[*Complete](actions)
	is.Equal(len(completes), 1)
	is.True(completes[0].Early)
	is.Equal(completes[0].Attempts[3], uint64(0))
	is.Equal(of[*Cancel](actions)[0].Attempt, sends[3].Attempt)
}

// TestMergeMarginGrowsWithSubRequests checks that each of four shards adds its margin.
func TestMergeMarginGrowsWithSubRequests(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("abcd", 1))
	m.cfg.SubRequestMargin = 2 * time.Millisecond
	sends := of[*Send](arrive(m, start, 1, sharded("abcd", 0.75)))
	for _, send := range sends[:3] {
		end(m, start, send, classifier.OK)
	}
	at := start.Add(objective - margin - 4*m.cfg.SubRequestMargin)
	is.Equal(len(of[*Complete](m.Step(at.Add(-time.Millisecond), &TimerFired{}))), 0)
	is.Equal(len(of[*Complete](m.Step(at, &TimerFired{}))), 1)
}

// TestAnswerWaitsForMinimumCoverage has a shard that the coverage needs answer after the
// latency objective.
func TestAnswerWaitsForMinimumCoverage(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("abcd", 1))
	sends := of[*Send](arrive(m, start, 1, sharded("abcd", 0.75)))
	for _, send := range sends[:2] {
		end(m, start, send, classifier.OK)
	}
	is.Equal(len(of[*Complete](m.Step(start.Add(objective), &TimerFired{}))), 0)
	is.Equal(len(of[*Complete](end(m, start.Add(2*objective), sends[2], classifier.OK))), 1)
}

// TestUnattainableCoverageIsRefusedImmediately has a shard without servers: requests are
// refused before anything is sent, also when a probe is due, since there is no server to
// probe.
func TestUnattainableCoverageIsRefusedImmediately(t *testing.T) {
	is := is.New(t)
	d := newDirectory("abc", 1)
	m := testMachine(d)
	delete(d, "c")
	route := sharded("abc", 0.9)
	for i := range uint64(3) {
		actions := arrive(m, start.Add(time.Duration(i)*probeInterval), i, route)
		is.Equal(len(actions), 1)
		is.Equal(of[*Refuse](actions)[0].Failure.Code, classifier.NoServer)
		is.True(of[*Refuse](actions)[0].Failure.Code.NotRun())
		is.True(of[*Refuse](actions)[0].Failure.RetryAfter > 0)
	}
}

// TestLostCoverageCancelsOutstandingAttempts has one shard fail while the others are
// outstanding: whether those have run is not known before they end.
func TestLostCoverageCancelsOutstandingAttempts(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("abc", 1))
	sends := of[*Send](arrive(m, start, 1, sharded("abc", 0.9)))
	is.Equal(len(sends), 3)
	actions := end(m, start, sends[2], classifier.ServerRejected)
	is.Equal(len(of[*Cancel](actions)), 2)
	is.Equal(len(of[*Refuse](actions)), 0)
	is.Equal(len(end(m, start, sends[0], classifier.NotSent)), 0)
	refuses := of[*Refuse](end(m, start, sends[1], classifier.Canceled))
	is.Equal(refuses[0].Failure.Code.NotRun(), false)
}

// TestUnsentRequestIsReportedAsNotRun cancels attempts that were never sent.
func TestUnsentRequestIsReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("a", 1))
	send := of[*Send](arrive(m, start, 1, single(false, 1)))[0]
	cancels := of[*Cancel](clone(m.Step(start.Add(timeout), &TimerFired{})))
	is.Equal(cancels[0].Await, true)
	refuse := of[*Refuse](end(m, start.Add(timeout), send, classifier.NotSent))[0]
	is.True(refuse.Failure.Code.NotRun())
	is.True(refuse.Failure.RetryAfter > 0)
}

// TestSuspendedServersGetOnlyProbes fails the only server until it is suspended. Requests
// are then refused as not run, and served again after one successful probe.
func TestSuspendedServersGetOnlyProbes(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("a", 1))
	route := single(true, 1)
	for i := range uint64(3) {
		end(m, start, of[*Send](arrive(m, start, i, route))[0], classifier.ServerUnreachable)
	}
	is.Equal(len(of[*Send](arrive(m, start, 3, route))), 1) // the probe
	refused := of[*Refuse](arrive(m, start, 4, route))
	is.Equal(refused[0].Failure.Code, classifier.NoServer)
	later := start.Add(2 * probeInterval)
	send := of[*Send](arrive(m, later, 5, route))[0]
	end(m, later, send, classifier.OK)
	is.Equal(len(of[*Send](arrive(m, later, 6, route))), 1)
}

// TestLateShardIsHedged checks that a hedge is sent and that its answer cancels the first
// attempt.
func TestLateShardIsHedged(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("a", 2))
	first := of[*Send](arrive(m, start, 1, single(true, 2)))[0]
	at := start.Add(objective / 4)
	hedge := of[*Send](clone(m.Step(at, &TimerFired{})))[0]
	is.Equal(hedge.Reason, ReasonHedge)
	is.True(hedge.Server.ID != first.Server.ID)
	actions := end(m, at, hedge, classifier.OK)
	is.Equal(of[*Cancel](actions)[0].Attempt, first.Attempt)
	is.Equal(of[*Complete](actions)[0].Attempts, []uint64{hedge.Attempt})
	is.Equal(len(end(m, at, first, classifier.OK)), 0) // late answer of the canceled attempt
}

// TestNoHedgeIfItWouldMissTheObjective has a late shard whose other server reports a queue
// that takes longer than the time left to the latency objective.
func TestNoHedgeIfItWouldMissTheObjective(t *testing.T) {
	for waiting, hedges := range map[int]int{0: 1, 40: 0} {
		is := is.New(t)
		m := testMachine(newDirectory("a", 2))
		answer := func(send *Send, load *placer.Load) {
			m.Step(start.Add(objective/8), &AttemptEnded{Attempt: send.Attempt, Code: classifier.OK, Load: load})
		}
		first := of[*Send](arrive(m, start, 1, single(true, 2)))[0]
		second := of[*Send](arrive(m, start, 2, single(true, 2)))[0]
		is.True(first.Server.ID != second.Server.ID)
		answer(first, &placer.Load{Slots: 2})
		answer(second, &placer.Load{Running: 2, Waiting: waiting, Slots: 2})
		now := start.Add(objective / 8)
		late := of[*Send](arrive(m, now, 3, single(true, 2)))[0]
		if waiting > 0 {
			is.Equal(late.Server.ID, first.Server.ID)
		}
		now = now.Add(objective / 4)
		is.Equal(len(of[*Send](clone(m.Step(now, &TimerFired{})))), hedges)
	}
}

// TestQueryProbesFewSuspectServers has a slow server in some shards. Once the latencies of
// these servers are too old to count, each query probes only one of them, and successive
// queries probe different ones.
func TestQueryProbesFewSuspectServers(t *testing.T) {
	is := is.New(t)
	const shards, slow = "abcdefghijklmnopqrst", 4
	d := newDirectory(shards, 2)
	for _, servers := range d {
		servers[1].Domain = "far" // so that the other server is preferred
	}
	m := New(Config{
		Placer:       placer.DefaultConfig("d"),
		AnswerMargin: margin,
	}, d)
	now := start
	query := func(request uint64) (probed []string) {
		sends := of[*Send](arrive(m, now, request, sharded(shards, 0.9)))
		var late []*Send
		for _, send := range sends {
			if send.Server.ID[1] == '0' && send.SubRequest < slow {
				probed = append(probed, send.Server.ID)
				late = append(late, send)
				continue
			}
			end(m, now.Add(objective/initialLatencyDivisor), send, classifier.OK)
		}
		for _, send := range late {
			end(m, now.Add(objective), send, classifier.OK)
		}
		return probed
	}
	request := uint64(0)
	for ; now.Before(start.Add(4 * time.Second)); now = now.Add(200 * time.Millisecond) {
		request++
		query(request)
	}
	now = now.Add(3 * time.Second)
	seen := make(map[string]bool)
	for range slow {
		request++
		probed := query(request)
		is.Equal(len(probed), 1)
		seen[probed[0]] = true
	}
	is.Equal(len(seen), slow)
}

// TestFinalFailureIsReturnedToTheCaller has no attempt left after a server's failure,
// which the caller then gets as it is.
func TestFinalFailureIsReturnedToTheCaller(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("a", 3))
	send := of[*Send](arrive(m, start, 1, single(true, 1)))[0]
	actions := clone(m.Step(start, &AttemptEnded{Attempt: send.Attempt, Code: classifier.ServerFailed, FinalResponse: true}))
	is.Equal(of[*Complete](actions)[0].Attempts, []uint64{send.Attempt})
}

// TestOrderIsNotRepeatedAfterItMayHaveRun fails an order that must not repeat with each
// result code of an attempt.
func TestOrderIsNotRepeatedAfterItMayHaveRun(t *testing.T) {
	for _, entry := range classifier.Table() {
		if entry.Code < classifier.NoServer || entry.Code > classifier.WrongServer {
			continue
		}
		t.Run(entry.Name, func(t *testing.T) {
			is := is.New(t)
			m := testMachine(newDirectory("a", 3))
			send := of[*Send](arrive(m, start, 1, single(false, 3)))[0]
			is.Equal(len(m.Step(start.Add(objective), &TimerFired{})), 0) // no hedge
			actions := end(m, start.Add(objective), send, entry.Code)
			again := of[*Send](actions)
			is.Equal(len(again) > 0, entry.Code.NotRun())
			if len(again) == 0 {
				is.True(!of[*Refuse](actions)[0].Failure.Code.NotRun())
			}
		})
	}
}

func TestWeightsHoldForFewRequests(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("ab", 1))
	route := single(true, 1)
	route.Target = &matcher.Weighted{Services: []matcher.WeightedService{{Service: "a", Weight: 3}, {Service: "b", Weight: 1}}}
	counts := make(map[string]int)
	for i := range 40 {
		counts[of[*Send](arrive(m, start, uint64(i), route))[0].Server.Service]++
	}
	is.Equal(counts["a"], 30)
	is.Equal(counts["b"], 10)
}

// TestHedgesStayWithinTheSharedBudget has every first attempt late, and compares the
// hedges in any window with the share of one of ten hosts, at a high and a low request
// rate: most of what is allowed must be used, and no more.
func TestHedgesStayWithinTheSharedBudget(t *testing.T) {
	const hosts, ratio, burst = 10, 0.2, 50
	for _, between := range []time.Duration{objective / 4, 5 * objective} {
		is := is.New(t)
		m := testMachine(newDirectory("a", 2))
		var requests, hedged []time.Time
		for now := start; now.Before(start.Add(4 * window)); now = now.Add(between) {
			id := uint64(len(requests))
			requests = append(requests, now)
			sends := of[*Send](clone(m.Step(now, &Arrived{Request: id, Route: single(true, 2), CallerTimeLeft: callerTimeout, BudgetShare: 1.0 / hosts})))
			late := now.Add(objective / 4)
			hedges := of[*Send](clone(m.Step(late, &TimerFired{})))
			for _, send := range append(sends, hedges...) {
				end(m, late, send, classifier.OK)
			}
			for range hedges {
				hedged = append(hedged, late)
			}
		}
		in := func(times []time.Time, from time.Time) float64 {
			n := 0.0
			for _, at := range times {
				if !at.Before(from) && at.Before(from.Add(window)) {
					n++
				}
			}
			return n
		}
		most := 0.0
		for _, from := range hedged {
			allowed := ratio*in(requests, from) + burst/hosts
			is.True(in(hedged, from) <= allowed)
			most = max(most, in(hedged, from)/allowed)
		}
		t.Log(between, "used at most", most)
		is.True(most > 0.75)
	}
}

// TestHedgesRequireABudgetShare has a host with a share of zero in the budget of hedges
// and retries, as while it delegates its queries, and with half of it, as while it gathers.
func TestHedgesRequireABudgetShare(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("a", 2))
	now := start
	for i, share := range []float64{0, 0.5, 0} {
		count := 0
		for k := range uint64(100) {
			sends := of[*Send](clone(m.Step(now, &Arrived{Request: uint64(i)*100 + k, Route: single(true, 2), CallerTimeLeft: callerTimeout, BudgetShare: share})))
			now = now.Add(objective / 4)
			hedges := of[*Send](clone(m.Step(now, &TimerFired{})))
			count += len(hedges)
			for _, send := range append(sends, hedges...) {
				end(m, now, send, classifier.OK)
			}
		}
		is.Equal(count > 0, share > 0)
	}
}

// twoDomains returns services with two servers each: one in domain e and one in domain w,
// or both in w if the index of the service is at least from.
func twoDomains(services string, from int) directory {
	d := newDirectory(services, 2)
	for i, name := range services {
		for n, server := range d[string(name)] {
			server.Domain = "w"
			if n == 0 && i < from {
				server.Domain = "e"
			}
		}
	}
	return d
}

func sliceMachine(d Directory) *Machine {
	return New(Config{
		Placer:       placer.DefaultConfig("e"),
		AnswerMargin: margin, HedgeFraction: 0.25, Extra: ExtraBudget{Ratio: 0.2, Burst: 50, Window: window}, Retries: true, MinSliceSubRequests: 3, SliceFactor: 0.3,
	}, d)
}

// TestSubRequestsToAnotherDomainFormASlice has four of ten shards without a server in the
// host's own domain; with two such shards each sub-request is sent separately.
func TestSubRequestsToAnotherDomainFormASlice(t *testing.T) {
	is := is.New(t)
	actions := arrive(sliceMachine(twoDomains("abcdefghij", 6)), start, 1, sharded("abcdefghij", 0.8))
	is.Equal(len(of[*Send](actions)), 6)
	slice := of[*SendSlice](actions)[0]
	is.Equal(slice.SubRequests, []int{6, 7, 8, 9})
	is.Equal(slice.Domain, "w")
	is.Equal(slice.Needed, 2) // eight are needed, and six are sent directly
	actions = arrive(sliceMachine(twoDomains("abcdefghij", 8)), start, 1, sharded("abcdefghij", 0.8))
	is.Equal(len(of[*Send](actions)), 10)
	actions = clone(sliceMachine(twoDomains("abcd", 1)).Step(start, &Arrived{Request: 1, Route: sharded("abcd", 1), CallerTimeLeft: callerTimeout, BudgetShare: 1, Slice: true}))
	is.Equal(len(of[*Send](actions)), 4) // a slice has no slices
}

// TestNoSlicesUnderOverload has all servers answer late: the host then sends every
// sub-request itself, so that it observes all servers.
func TestNoSlicesUnderOverload(t *testing.T) {
	is := is.New(t)
	d := newDirectory("abcdefghij", 1)
	for i, name := range "abcdefghij" {
		d[string(name)][0].Domain = string("eeeeeewwww"[i])
	}
	m := sliceMachine(d)
	route := sharded("abcdefghij", 0.8)
	actions := arrive(m, start, 1, route)
	is.Equal(len(of[*SendSlice](actions)), 1)
	now := start.Add(timeout / 2)
	for _, send := range of[*Send](actions) {
		end(m, now, send, classifier.OK)
	}
	is.Equal(len(of[*Send](arrive(m, now, 2, route))), 10)
	now = now.Add(2 * time.Second) // after the latencies are too old to count
	is.Equal(len(of[*SendSlice](arrive(m, now, 3, route))), 1)
}

// TestSliceResultsAreAppliedTogether has a slice return three of its four sub-requests
// after the time of the early answer, when the first of them alone would be enough to
// answer.
func TestSliceResultsAreAppliedTogether(t *testing.T) {
	is := is.New(t)
	m := sliceMachine(twoDomains("abcdefghij", 6))
	actions := arrive(m, start, 1, sharded("abcdefghij", 0.7))
	slice := of[*SendSlice](actions)[0]
	for _, send := range of[*Send](actions) {
		end(m, start, send, classifier.OK)
	}
	is.Equal(len(of[*Send](clone(m.Step(start.Add(objective/4), &TimerFired{})))), 0) // the gathering host hedges
	now := start.Add(objective)
	is.Equal(len(of[*Complete](clone(m.Step(now, &TimerFired{})))), 0)
	event := &SliceEnded{}
	for i, attempt := range slice.Attempts {
		e := &AttemptEnded{Attempt: attempt, Code: classifier.OK}
		if i == 1 {
			e.Code, e.Exhausted = classifier.DeadlineExceeded, true
		}
		event.Ends = append(event.Ends, e)
	}
	actions = clone(m.Step(now, event))
	is.Equal(len(of[*Send](actions)), 0) // no attempts are left for the missing sub-request
	complete := of[*Complete](actions)[0]
	covered := 0
	for _, attempt := range complete.Attempts {
		if attempt != 0 {
			covered++
		}
	}
	is.Equal(covered, 9)
	is.Equal(complete.Missing[0].Service, "h")
	is.Equal(m.Len(), 0)
}

// TestUndeliveredSliceIsSentAsSubRequests has no hedges and retries left in the budget.
func TestUndeliveredSliceIsSentAsSubRequests(t *testing.T) {
	is := is.New(t)
	m := sliceMachine(twoDomains("abcdefghij", 6))
	m.cfg.Extra = ExtraBudget{Window: window}
	m.Reconfigure(m.cfg)
	slice := of[*SendSlice](arrive(m, start, 1, sharded("abcdefghij", 0.8)))[0]
	event := &SliceEnded{}
	for _, attempt := range slice.Attempts {
		event.Ends = append(event.Ends, &AttemptEnded{Attempt: attempt, Code: classifier.NotSent})
	}
	sends := of[*Send](clone(m.Step(start, event)))
	is.Equal(len(sends), 4)
	for i, send := range sends {
		is.Equal(send.SubRequest, slice.SubRequests[i])
	}
}

// TestRetryOfUndeliveredSubRequestIsFree has no hedges and retries left in the budget. A
// sub-request that reached no server is retried all the same; one that a server rejected
// is not, since it has reached a server.
func TestRetryOfUndeliveredSubRequestIsFree(t *testing.T) {
	is := is.New(t)
	for code, retries := range map[classifier.Code]int{classifier.ServerUnreachable: 1, classifier.ServerRejected: 0} {
		m := New(Config{Placer: placer.DefaultConfig("d"), Retries: true}, newDirectory("a", 2))
		sends := of[*Send](arrive(m, start, 1, single(true, 2)))
		again := of[*Send](end(m, start, sends[0], code))
		is.Equal(len(again), retries)
		if retries > 0 {
			is.True(again[0].Server.ID != sends[0].Server.ID)
		}
	}
}

// TestInvariantsUnderAnyOutcome runs random requests and outcomes, which include ends of
// servers, and checks the invariants of the machine.
func TestInvariantsUnderAnyOutcome(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDirectory("abcd", rapid.IntRange(1, 3).Draw(t, "servers"))
		m := testMachine(d)
		m.cfg.Vetting = rapid.Bool().Draw(t, "vetting")
		p := &harness{
			t: t, m: m, outstanding: make(map[uint64]*Send), mayHaveRun: make(map[uint64]bool), endedMayHaveRun: make(map[uint64]bool), outcomes: make(map[uint64]int),
			servers: make(map[string]map[string]bool), routes: make(map[uint64]*matcher.Route), prints: make(map[uint64]vetter.Fingerprint),
		}
		now := start
		requests := uint64(0)
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "millis")) * time.Millisecond)
			p.now = now
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				requests++
				p.routes[requests] = rapid.SampledFrom([]*matcher.Route{
					single(true, 2), single(false, 2), sharded("abcd", 0.75), sharded("ab", 1),
				}).Draw(t, "route")
				p.prints[requests] = vetter.Fingerprint{1 + byte(rapid.IntRange(0, 2).Draw(t, "fingerprint"))}
				p.apply(arriveAs(m, now, requests, p.routes[requests], p.prints[requests]))
			case 1:
				p.apply(clone(m.Step(now, &TimerFired{})))
			case 2:
				if requests > 0 && rapid.IntRange(0, 4).Draw(t, "leaves") == 0 {
					request := rapid.Uint64Range(1, requests).Draw(t, "request")
					p.outcomes[request]++
					open := m.requests[request] != nil
					p.apply(clone(m.Step(now, &Abandoned{Request: request})))
					if !open {
						p.outcomes[request]--
					}
				}
			default:
				p.endOldest()
			}
		}
		p.now = now.Add(2 * timeout)
		p.apply(clone(m.Step(p.now, &TimerFired{})))
		for request := uint64(1); request <= requests; request++ {
			if p.outcomes[request] != 1 {
				t.Fatalf("request %d has %d outcomes", request, p.outcomes[request])
			}
		}
		if m.Len() != 0 || len(m.attempts) != 0 {
			t.Fatal("requests or attempts are still in flight")
		}
	})
}

// harness records what callers and servers observe of a machine, and checks it.
type harness struct {
	t           *rapid.T
	m           *Machine
	now         time.Time
	outstanding map[uint64]*Send
	// mayHaveRun holds the requests that may have run, endedMayHaveRun those of which an
	// ended attempt may have run.
	mayHaveRun      map[uint64]bool
	endedMayHaveRun map[uint64]bool
	outcomes        map[uint64]int
	servers         map[string]map[string]bool
	routes          map[uint64]*matcher.Route
	prints          map[uint64]vetter.Fingerprint
}

func (p *harness) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case *Send:
			key := fmt.Sprintf("%d/%d", a.Request, a.SubRequest)
			if p.servers[key] == nil {
				p.servers[key] = make(map[string]bool)
			}
			if p.servers[key][a.Server.ID] {
				p.t.Fatalf("request %d is sent to %s again", a.Request, a.Server.ID)
			}
			if p.m.vetter.Judge(p.now, p.prints[a.Request]) == vetter.Blocked {
				p.t.Fatalf("request %d is sent although it is blocked", a.Request)
			}
			if !p.routes[a.Request].Idempotent && p.mayHaveRun[a.Request] {
				p.t.Fatalf("request %d is sent again although it may have run", a.Request)
			}
			p.servers[key][a.Server.ID] = true
			p.outstanding[a.Attempt] = a
			// An attempt may run from now on, until it is known that it did not.
			p.mayHaveRun[a.Request] = true
		case *Cancel:
			send := p.outstanding[a.Attempt]
			delete(p.outstanding, a.Attempt)
			switch {
			case send == nil:
			case a.Await:
				p.endCanceled(send)
			default:
				p.endedMayHaveRun[send.Request] = true
			}
		case *Complete:
			p.outcomes[a.Request]++
		case *Refuse:
			p.outcomes[a.Request]++
			if a.Failure.Code.NotRun() && p.mayHaveRun[a.Request] {
				p.t.Fatalf("request %d may have run but is refused with %v", a.Request, a.Failure.Code)
			}
			if a.Failure.Code.NotRun() && a.Failure.RetryAfter <= 0 {
				p.t.Fatalf("request %d is refused as not run without a Retry-After", a.Request)
			}
		}
	}
}

// endCanceled ends a canceled attempt that may or may not have been sent.
func (p *harness) endCanceled(send *Send) {
	p.finish(send, rapid.SampledFrom([]classifier.Code{classifier.NotSent, classifier.Canceled}).Draw(p.t, "recalled"))
}

// endOldest ends the oldest outstanding attempt with a random result.
func (p *harness) endOldest() {
	if len(p.outstanding) == 0 {
		return
	}
	oldest := slices.Min(slices.Collect(maps.Keys(p.outstanding)))
	code := rapid.SampledFrom([]classifier.Code{
		classifier.OK, classifier.OK, classifier.ServerRejected, classifier.ServerUnreachable,
		classifier.ServerFailed, classifier.EchoMismatch, classifier.WrongServer,
	}).Draw(p.t, "code")
	p.finish(p.outstanding[oldest], code)
}

func (p *harness) finish(send *Send, code classifier.Code) {
	delete(p.outstanding, send.Attempt)
	if !code.NotRun() {
		p.endedMayHaveRun[send.Request] = true
	}
	if !p.othersMayHaveRun(send) {
		p.mayHaveRun[send.Request] = false
	}
	ended := code == classifier.ServerFailed && rapid.Bool().Draw(p.t, "ended")
	p.apply(clone(p.m.Step(p.now, &AttemptEnded{Attempt: send.Attempt, Code: code, ServerEnded: ended})))
}

// othersMayHaveRun reports whether an attempt of the request that has ended or is still
// outstanding may have run.
func (p *harness) othersMayHaveRun(send *Send) bool {
	ran := p.endedMayHaveRun[send.Request]
	for _, other := range p.outstanding {
		ran = ran || other.Request == send.Request
	}
	return ran
}

// arriveUnconfirmed starts a slice that the sending host has not confirmed.
func arriveUnconfirmed(m *Machine, route *matcher.Route) []*Send {
	return of[*Send](clone(m.Step(start, &Arrived{Request: 1, Route: route, CallerTimeLeft: callerTimeout, BudgetShare: 1, Slice: true, Unconfirmed: true})))
}

// TestUnconfirmedSubRequestsRunAtOneServer has one sub-request fail and the other be late:
// neither is sent to a second server before the request is confirmed.
func TestUnconfirmedSubRequestsRunAtOneServer(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("ab", 3))
	sends := arriveUnconfirmed(m, sharded("ab", 0.5))
	is.Equal(len(sends), 2)
	is.Equal(len(end(m, start, sends[0], classifier.ServerFailed)), 0)
	late := start.Add(objective / 2)
	is.Equal(len(of[*Send](clone(m.Step(late, &TimerFired{})))), 0)
	hedges := of[*Send](clone(m.Step(late, &Confirmed{Request: 1})))
	is.Equal(len(hedges), 1)
	is.Equal(hedges[0].Reason, ReasonHedge)
	is.Equal(len(m.Step(late, &Confirmed{Request: 2})), 0) // a request that has ended
}

// TestUnconfirmedSubRequestIsRetriedIfNotRun has the first server of a sub-request be
// unreachable.
func TestUnconfirmedSubRequestIsRetriedIfNotRun(t *testing.T) {
	is := is.New(t)
	m := testMachine(newDirectory("a", 3))
	sends := arriveUnconfirmed(m, sharded("a", 1))
	retries := of[*Send](end(m, start, sends[0], classifier.ServerUnreachable))
	is.Equal(len(retries), 1)
	is.Equal(len(of[*Send](end(m, start, retries[0], classifier.ServerFailed))), 0)
}

// TestUnacknowledgedSliceUsesOneAttempt has a gathering host that may have started a slice
// without the confirmation: each sub-request may run at one server fewer here, and its
// retry is not charged to the budget.
func TestUnacknowledgedSliceUsesOneAttempt(t *testing.T) {
	for attempts, sent := range map[int]int{1: 0, 2: 3} {
		is := is.New(t)
		m := sliceMachine(twoDomains("abcd", 1))
		route := sharded("abcd", 0.75)
		route.Attempts = attempts
		actions := arrive(m, start, 1, route)
		left, _ := m.ExtraBudgetLeft()
		slice := of[*SendSlice](actions)[0]
		ended := &SliceEnded{}
		for _, id := range slice.Attempts {
			ended.Ends = append(ended.Ends, &AttemptEnded{Attempt: id, Code: classifier.ServerFailed, Unacknowledged: true})
		}
		sends := of[*Send](clone(m.Step(start, ended)))
		is.Equal(len(sends), sent)
		for _, send := range sends {
			is.Equal(len(of[*Send](end(m, start, send, classifier.ServerFailed))), 0)
		}
		after, _ := m.ExtraBudgetLeft()
		is.Equal(after, left)
	}
}

// TestPausedShardIsRefusedUntilThePauseEnds has both servers of one shard of four
// request a pause. A query whose coverage doesn't need that shard is answered; another
// request is refused immediately, with the time until the first pause ends as Retry-After.
func TestPausedShardIsRefusedUntilThePauseEnds(t *testing.T) {
	is := is.New(t)
	d := newDirectory("abcd", 2)
	m := testMachine(d)
	m.Pause(start, d["b"][0], 3*time.Second)
	m.Pause(start, d["b"][1], 2*time.Second)
	sends := of[*Send](arrive(m, start, 1, sharded("abcd", 0.75)))
	is.Equal(len(sends), 3)
	var done []Action
	for _, send := range sends {
		done = end(m, start, send, classifier.OK)
	}
	is.Equal(len(of[*Complete](done)), 1)
	is.Equal(len(of[*Send](arrive(m, start, 2, sharded("abcd", 1)))), 0)
	actions := arrive(m, start.Add(time.Second), 3, onService("b"))
	is.Equal(len(of[*Send](actions)), 0)
	refusal := of[*Refuse](actions)[0]
	is.Equal(refusal.Failure.Code, classifier.NoServer)
	is.Equal(refusal.Failure.RetryAfter, time.Second)
}

func onService(name string) *matcher.Route {
	route := single(true, 2)
	route.Target = &matcher.Single{Service: name}
	return route
}
