package scatterer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

// TestWithdrawnRequestIsSentToNoFurtherServer has a fetch and a query in flight: the answers of
// their attempts count, and neither hedges nor retries follow.
func TestWithdrawnRequestIsSentToNoFurtherServer(t *testing.T) {
	for _, withdrawn := range []bool{false, true} {
		is := is.New(t)
		m := testMachine(newDirectory("abcd", 2))
		fetch := of[*Send](arrive(m, start, 1, single(true, 2)))
		query := of[*Send](arrive(m, start, 2, sharded("abcd", 0.75)))
		if withdrawn {
			for request := range uint64(3) {
				is.Equal(len(m.Step(start, &Withdrawn{Request: request})), 0)
			}
		}
		extra := of[*Send](end(m, start, fetch[0], classifier.ServerFailed))
		for _, send := range query[:3] {
			extra = append(extra, of[*Send](end(m, start, send, classifier.OK))...)
		}
		var completes []*Complete
		for at, ok := m.NextTimer(); ok && m.Len() > 0; at, ok = m.NextTimer() {
			actions := clone(m.Step(at, &TimerFired{}))
			extra = append(extra, of[*Send](actions)...)
			completes = append(completes, of[*Complete](actions)...)
		}
		is.Equal(len(extra) == 0, withdrawn)
		is.Equal(len(completes), 1)
		is.Equal(len(completes[0].Missing), 1)
	}
}

// TestWithdrawnRequestThatWaitsIsRefused has one request wait for a token, and one for a relay.
func TestWithdrawnRequestThatWaitsIsRefused(t *testing.T) {
	is := is.New(t)
	d := newDirectory("a", 1)
	m := testMachine(d)
	limitAll(m, start, d["a"], 1, 0)
	now := start.Add(time.Second)
	is.Equal(len(of[*AskTokens](arrive(m, now, 1, single(false, 1)))), 1)
	refusals := of[*Refuse](clone(m.Step(now, &Withdrawn{Request: 1})))
	is.Equal(len(refusals), 1)
	is.Equal(refusals[0].Failure.Code, classifier.UnknownKey)
	is.Equal(len(grantAll(m, now, 1)), 0)
	is.Equal(m.Len(), 0)

	cfg := testMachine(d).cfg
	cfg.Relays = true
	m = New(cfg, directory{"a": {{ID: "a0", Service: "a", Domain: "d"}}, "b": []*lister.Server{{ID: "b0", Service: "b", Domain: "d"}}})
	sends := of[*Send](arrive(m, start, 1, sharded("ab", 0.5)))
	is.Equal(len(end(m, start, sends[0], classifier.ServerUnreachable)), 0) // awaits a relay
	m.Step(start, &Withdrawn{Request: 1})
	at, _ := m.NextTimer()
	is.Equal(len(of[*SendRelay](clone(m.Step(at, &TimerFired{})))), 0)
	is.Equal(len(of[*Complete](end(m, at, sends[1], classifier.OK))), 1)
}
