package allotter

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func stated(rate float64) Limit { return Limit{Stated: true, Rate: rate} }

// askFor returns an ask of a host that has just heard a limit.
func askFor(rate float64, wanted, held int) []Ask {
	return []Ask{{Incarnation: server, Limit: stated(rate), Wanted: wanted, Held: held}}
}

// TestShareFollowsDemand has two hosts want three times and once as much as the limit.
func TestShareFollowsDemand(t *testing.T) {
	is := is.New(t)
	a := New()
	hosts, wanted, got := []string{"busy", "calm"}, map[string]int{"busy": 30, "calm": 10}, map[string]int{}
	for step := range 100 {
		now := start.Add(time.Duration(step) * AskInterval)
		for i := range hosts {
			host := hosts[(i+step)%len(hosts)]
			got[host] += a.Allot(now, host, askFor(20, wanted[host], 0))[0].Tokens
		}
	}
	total := got["busy"] + got["calm"]
	limit := 20 * 100 * AskInterval.Seconds()
	is.True(float64(total) > 0.9*limit && float64(total) < 1.1*limit)
	is.True(got["busy"] > 2*got["calm"] && got["busy"] < 4*got["calm"])
}

// TestSingleHostGetsTheWholeLimit checks that the share of idle hosts is not left unused.
func TestSingleHostGetsTheWholeLimit(t *testing.T) {
	is := is.New(t)
	a, got := New(), 0
	for step := range 100 {
		got += a.Allot(start.Add(time.Duration(step)*AskInterval), "h1", askFor(20, 30, 0))[0].Tokens
	}
	is.True(float64(got) > 0.9*20*100*AskInterval.Seconds())
}

// TestHeldTokensAreNotAllottedAgain checks that a host which keeps its tokens gets no more.
func TestHeldTokensAreNotAllottedAgain(t *testing.T) {
	is := is.New(t)
	a := New()
	a.Allot(start, "h1", askFor(100, 3, 0))
	is.Equal(a.Allot(start.Add(time.Second), "h1", askFor(100, 3, 20))[0].Tokens, 0)
}

// TestEndOfALimitReachesHostsThatSendNothing has one host hear that the limit has ended.
func TestEndOfALimitReachesHostsThatSendNothing(t *testing.T) {
	is := is.New(t)
	a := New()
	first, second := NewLedger(2), NewLedger(2)
	now := start
	for _, l := range []*Ledger{first, second} {
		change, _ := l.Observe(now, server, stated(5))
		is.Equal(change, Started)
	}
	now = now.Add(time.Second)
	change, _ := first.Observe(now, server, Limit{})
	is.Equal(change, Ended)
	is.Equal(first.Len(), 0)
	is.True(first.Allows(now, server, 0))
	is.Equal(len(first.Grant(now, a.Allot(now, "h1", first.Asks(now)))), 0)

	second.Want(server)
	updates := second.Grant(now, a.Allot(now, "h2", second.Asks(now)))
	is.Equal(len(updates), 1)
	is.Equal(updates[0].Change, Ended)
	is.Equal(second.Len(), 0)

	// The limit comes back: the newer announcement counts.
	now = now.Add(time.Second)
	second.Observe(now, server, stated(7))
	second.Grant(now, a.Allot(now, "h2", second.Asks(now)))
	updates = first.Grant(now, a.Allot(now, "h1", first.Asks(now)))
	is.Equal(len(updates), 1)
	is.Equal(updates[0].Limit, stated(7))
	is.Equal(first.Len(), 1)
}

// TestOldAnswerDoesNotBringBackALimit has the end of a limit come while an ask is answered.
func TestOldAnswerDoesNotBringBackALimit(t *testing.T) {
	is := is.New(t)
	a, l := New(), NewLedger(1)
	l.Observe(start, server, stated(5))
	grants := a.Allot(start, "h1", l.Asks(start))
	now := start.Add(300 * time.Microsecond)
	l.Observe(now, server, Limit{})
	is.Equal(len(l.Grant(now.Add(300*time.Microsecond), grants)), 0)
	is.Equal(l.Len(), 0)
	is.True(l.Allows(now, server, 0))
}

// TestOldLimitDoesNotReplaceANewerOne has a host that heard the limit before another one ask after it.
func TestOldLimitDoesNotReplaceANewerOne(t *testing.T) {
	is := is.New(t)
	a := New()
	a.Allot(start, "h1", []Ask{{Incarnation: server, Limit: stated(50), Wanted: 1}})
	g := a.Allot(start, "h2", []Ask{{Incarnation: server, Limit: stated(5), AgeMillis: 900, Wanted: 1}})[0]
	is.Equal(g.Limit, stated(50))
	l := NewLedger(2)
	l.Observe(start.Add(-900*time.Millisecond), server, stated(5))
	l.Asks(start)
	is.Equal(l.Grant(start, []Grant{g})[0].Change, Changed)
}

// TestNewIncarnationHasNoLimitUntilItAnnouncesOne restarts a server with a limit.
func TestNewIncarnationHasNoLimitUntilItAnnouncesOne(t *testing.T) {
	is := is.New(t)
	l := NewLedger(4)
	l.Observe(start, server, stated(1))
	is.True(!l.Allows(start, server, 0))
	next := Incarnation{Server: server.Server, StartedAtMillis: server.StartedAtMillis + 1}
	is.True(l.Allows(start, next, 0))
	change, _ := l.Observe(start, next, stated(2))
	is.Equal(change, Started)
	is.Equal(l.Len(), 1)
	is.Equal(len(l.Grant(start, []Grant{{Incarnation: server, Tokens: 5}})), 0)
	is.True(!l.Allows(start, next, 0))
	// A late answer of the incarnation before changes nothing.
	change, _ = l.Observe(start, server, stated(9))
	is.Equal(change, Unchanged)
	is.True(l.Limited(next))
}

// TestHostWithoutAnswersUsesPartOfItsShare checks what a host may send that reaches no other host.
func TestHostWithoutAnswersUsesPartOfItsShare(t *testing.T) {
	is := is.New(t)
	const hosts, rate, seconds = 8, 80, 60
	f := newFleet(1, hosts, false, rate)
	f.unreachable = func(int) bool { return true }
	f.run(seconds*time.Second, 10*rate)
	share := float64(rate * seconds)
	is.True(float64(len(f.sent)) > 0.8*unallottedShare*share)
	is.True(float64(len(f.sent)) <= unallottedShare*share+hosts)
}

// TestTokensExpire checks that tokens can't be saved for a later burst.
func TestTokensExpire(t *testing.T) {
	is := is.New(t)
	l := NewLedger(1)
	l.Observe(start, server, stated(100))
	l.Grant(start, []Grant{{Incarnation: server, Tokens: 3, Limit: stated(100)}})
	is.True(l.Allows(start, server, 2))
	is.True(!l.Allows(start, server, 3))
	is.True(l.Sent(start, server))
	is.True(!l.Allows(start, server, 2))
	is.True(l.Allows(start.Add(tokenLife-1), server, 0))
	is.True(!l.Allows(start.Add(tokenLife), server, 0))
}

// TestLoweredLimitTakesBackTokens lowers a limit of which a host has tokens, allotted or not.
func TestLoweredLimitTakesBackTokens(t *testing.T) {
	is := is.New(t)
	allotted, unallotted := NewLedger(1), NewLedger(1)
	for _, l := range []*Ledger{allotted, unallotted} {
		l.Observe(start, server, stated(1000))
	}
	asks := unallotted.Asks(start)
	unallotted.Unanswered(start, asks)
	allotted.Grant(start, []Grant{{Incarnation: server, Tokens: 9, Limit: stated(1000)}})
	for _, l := range []*Ledger{allotted, unallotted} {
		is.True(l.Allows(start, server, 0))
		l.Observe(start, server, stated(1))
		is.True(!l.Allows(start, server, 0))
	}
}

// TestServerThatTakesNothingIsProbed checks that the end of a limit of 0 is found.
func TestServerThatTakesNothingIsProbed(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 8, false, 0)
	f.run(60*time.Second, 50)
	is.True(len(f.sent) >= 6 && len(f.sent) <= 60*probeRate+minDepth)
	is.True(most(f.sent) <= allowed(0))
}

// TestWaitIsTheTimeToTheNextToken compares the stated wait with the time of the next token.
func TestWaitIsTheTimeToTheNextToken(t *testing.T) {
	is := is.New(t)
	a, l := New(), NewLedger(1)
	l.Observe(start, server, stated(0.5))
	due := start.Add(2*time.Second + settleTime/2 - AskInterval/2)
	for now := start; ; now = now.Add(minAskInterval) {
		l.Want(server)
		l.Await(server)
		l.Grant(now, a.Allot(now, "h1", l.Asks(now)))
		if l.Allows(now, server, 0) {
			is.True(!now.Before(due))
			break
		}
		wait := l.Wait(now, server)
		is.True(wait > 0)
		is.True(now.Add(wait).Sub(due).Abs() <= 2*minAskInterval)
	}
}

// TestUnreadableLimitIsReportedOnce checks that it neither begins nor ends a limit.
func TestUnreadableLimitIsReportedOnce(t *testing.T) {
	is := is.New(t)
	l := NewLedger(1)
	is.True(l.RejectLimit(start, server))
	is.True(!l.RejectLimit(start, server))
	is.True(l.Allows(start, server, 0))
	l.Observe(start, server, stated(1))
	is.True(l.RejectLimit(start, server))
	is.True(!l.Allows(start, server, 0))
	is.Equal(l.Len(), 1)
}

// TestLedgerForgetsLimitsThatAreNotAnnounced bounds the memory of a host.
func TestLedgerForgetsLimitsThatAreNotAnnounced(t *testing.T) {
	is := is.New(t)
	l := NewLedger(1)
	l.Observe(start, server, stated(1))
	l.Asks(start.Add(accountLife))
	is.Equal(l.Len(), 1)
	l.Asks(start.Add(accountLife + 1))
	is.Equal(l.Len(), 0)
	is.Equal(len(l.accounts), 0)
}

// TestLimitHoldsThroughChangesAndFailures draws limits that change, loads, hosts that get no
// answers for a time and restarts of the host that allots: all hosts together must keep to the
// greatest limit of a span.
func TestLimitHoldsThroughChangesAndFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 40).Draw(t, "hosts"), rapid.Bool().Draw(t, "skewed"), 10)
		for range rapid.IntRange(2, 6).Draw(t, "phases") {
			f.limit.Rate = rapid.SampledFrom([]float64{0, 0.3, 2, 10, 40, 1e9}).Draw(t, "limit")
			for _, l := range f.ledgers {
				l.Observe(f.now, server, f.limit)
			}
			restart, split := rapid.Bool().Draw(t, "restart"), rapid.Bool().Draw(t, "split")
			cut := rapid.IntRange(0, 4).Draw(t, "one of so many cut off")
			f.unreachable = func(host int) bool { return cut > 0 && host%cut == 0 }
			begun := len(f.sent)
			demand := rapid.SampledFrom([]float64{0, 1, 20, 300}).Draw(t, "demand")
			f.run(2500*time.Millisecond, demand)
			if restart {
				f.allot = New()
			}
			if split {
				// Some hosts ask another one, until they find that the first answers again.
				f.second = New()
			}
			f.run(time.Second, demand)
			f.second = nil
			f.run(2500*time.Millisecond, demand)
			// Tokens of the limit before may be used for tokenLife.
			settled := f.sent[begun:]
			for len(settled) > 0 && f.now.Sub(settled[0]) > 6*time.Second-tokenLife {
				settled = settled[1:]
			}
			if n := most(settled); n > allowed(f.limit.Rate) {
				t.Fatalf("%d requests in %v, allowed %d", n, ruleSpan, allowed(f.limit.Rate))
			}
		}
	})
}

// BenchmarkAllot answers the asks of 64 hosts, each for 540 servers.
func BenchmarkAllot(b *testing.B) {
	const hosts, servers = 64, 540
	a := New()
	asks := make([]Ask, servers)
	for i := range asks {
		asks[i] = Ask{Incarnation: Incarnation{Server: fmt.Sprintf("i-%010x", i), StartedAtMillis: 1772390913826}, Limit: stated(8.2), AgeMillis: 120, Wanted: 3, Held: 1}
	}
	body, err := json.Marshal(asks)
	if err != nil {
		b.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	n := 0
	for b.Loop() {
		a.Allot(start.Add(time.Duration(n)*AskInterval/hosts), fmt.Sprint("front-sapporo-", n%hosts), asks)
		n++
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(len(body))/servers, "bytes/ask")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(n)/servers, "ns/ask")
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/hosts/servers, "heapBytes/(host*server)")
	runtime.KeepAlive(a)
}
