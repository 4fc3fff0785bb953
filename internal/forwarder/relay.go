package forwarder

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

const (
	// relayHeader marks a request that another host sends on since it can't reach the backend
	// servers. It states the number of servers that may still run each sub-request, and 1 if
	// the request has been counted for the budget of extra attempts, else 0.
	relayHeader = "X-Rhubarbpost-Relay"
	// spentHeader states how many milliseconds of the latency objective are over.
	spentHeader = "X-Rhubarbpost-Spent"
	// resultHeader states the result code of a relay that was not served, and the Retry-After
	// in milliseconds.
	resultHeader = "X-Rhubarbpost-Result"
	// declinedHeader states why a host declines a request of another one.
	declinedHeader   = "X-Rhubarbpost-Declined"
	declinedIsolated = "isolated"
	declinedBusy     = "busy"
	// isolatedHeader has a line for each host that, as far as the declining one knows,
	// reaches no backend server: the age of that knowledge in milliseconds and the name.
	isolatedHeader = "X-Rhubarbpost-Isolated"
	// A peer may take the fraction relayReceiptShare of the time left to confirm the receipt of a
	// relay, at least relayReceiptMin, tens of round trips, and at most relayReceiptMax. It may
	// be busy, and there is no other way to the servers.
	relayReceiptShare = 0.25
	relayReceiptMin   = 60 * time.Millisecond
	relayReceiptMax   = 300 * time.Millisecond
	// maxRelayPeers is how many peers are tried for the same relay, within the fraction
	// relaySearchShare of the time left: one that declines does so within a round trip.
	maxRelayPeers    = 12
	relaySearchShare = 0.5
)

var errNoPeer = errors.New("no peer is available")

// relayEnd is the end of a relay with the ends of its attempts.
type relayEnd struct {
	request    uint64
	ends       []attemptEnd
	outcome    scatterer.RelayOutcome
	retryAfter time.Duration
}

func (relayEnd) engineEvent() {}

// relay sends sub-requests of a request through a peer.
func (f *Forwarder) relay(ctx context.Context, r *arrival, s *scatterer.SendRelay) relayEnd {
	terms := relayTerms{relayed: true, maxAttempts: s.MaxAttempts, repeat: s.Repeat}
	headers := map[string]string{relayHeader: terms.String()}
	if !s.Whole {
		for name, value := range sliceHeaders(s.SubRequests, s.Needed) {
			headers[name] = value
		}
	}
	// A host of an older build may run a request more often than the terms allow.
	strict := !s.Whole || s.MaxAttempts < r.route.Attempts
	begun := time.Now()
	left := time.Until(s.Deadline)
	receipt := min(max(time.Duration(relayReceiptShare*float64(left)), relayReceiptMin), relayReceiptMax)
	err := errNoPeer
	foreign := f.foreignHosts(r)
	var tried []string
	for len(tried) < maxRelayPeers && time.Since(begun) <= time.Duration(relaySearchShare*float64(left)) {
		peer, ok := f.choosePeer(r.route, slices.Concat(foreign, tried), strict)
		if !ok {
			break
		}
		tried = append(tried, peer.Name)
		var answer *Answer
		server := &lister.Server{ID: peer.Name, Address: peer.Address, Domain: peer.Domain}
		answer, err = f.exchangeWithGatherer(ctx, r, server, receipt, headers)
		f.delegate.peerEnded(ctx, peer.Name, err)
		f.logRelay(r, s, peer.Name, answer, err, begun)
		if err == nil {
			return f.servedRelay(r, s, answer)
		}
		if ctx.Err() != nil || mayHaveGathered(err) {
			break
		}
	}
	f.metrics.relayed(err)
	failed := &Answer{Code: classifier.NoServer, Err: err, Exhausted: true}
	outcome := scatterer.RelayNoPeer
	switch {
	case ctx.Err() != nil:
		failed.Code, outcome = classifier.CodeOf(ctx.Err(), classifier.Canceled), scatterer.RelayCanceled
		if !mayHaveGathered(err) {
			failed.Code = classifier.NotSent
		}
	case mayHaveGathered(err):
		failed.Code, outcome = classifier.ServerFailed, scatterer.RelayFailed
	}
	return endRelay(s, failedSlice(s.SubRequests, failed), outcome)
}

// logRelay records that a request was sent through a peer.
func (f *Forwarder) logRelay(r *arrival, s *scatterer.SendRelay, peer string, answer *Answer, err error, begun time.Time) {
	status := 0
	var code classifier.Code
	if answer != nil {
		status, code = answer.Status, answer.Code
	}
	f.cfg.Logger.Info(logger.RequestRelayed, "request", r.call.ID, "route", r.route.Name, "peer", peer, "parts", len(s.SubRequests),
		"whole", s.Whole, "attempts", s.MaxAttempts, "repeat", s.Repeat, "status", status, "result", code, "error", err,
		"tookMillis", time.Since(begun).Milliseconds())
}

// servedRelay returns the end of a relay that a peer has answered.
func (f *Forwarder) servedRelay(r *arrival, s *scatterer.SendRelay, answer *Answer) relayEnd {
	f.metrics.relayed(nil)
	if !s.Whole {
		answers, err := sliceAnswers(s.SubRequests, answer)
		if err != nil {
			answers = failedSlice(s.SubRequests, &Answer{Code: classifier.ServerFailed, Err: err, Exhausted: true})
		}
		for _, a := range answers {
			a.Exhausted = a.Code != classifier.OK
		}
		return endRelay(s, answers, f.relayOutcome(answer))
	}
	f.classifyRelayed(r, answer)
	answer.Exhausted = answer.Code != classifier.OK
	return endRelay(s, failedSlice(s.SubRequests, answer), f.relayOutcome(answer))
}

// relayOutcome returns what the answer of a peer tells about its reach.
func (f *Forwarder) relayOutcome(answer *Answer) scatterer.RelayOutcome {
	switch {
	case answer.Status < http.StatusMultipleChoices || answer.FinalResponse || vetted(answer.Code):
		return scatterer.RelayServed
	case answer.Code == classifier.NoServer || answer.Code == classifier.ServerUnreachable:
		return scatterer.RelayUnserved
	}
	return scatterer.RelayFailed
}

// classifyRelayed sets the code of a peer's answer to a whole request.
func (f *Forwarder) classifyRelayed(r *arrival, answer *Answer) {
	if answer.Code != 0 {
		return
	}
	_, sharded := r.route.Target.(*matcher.Sharded)
	if sharded && answer.Status == http.StatusOK {
		answer.Code, answer.Whole = classifier.OK, true
		return
	}
	f.cfg.Dialect.Classify(r.call, answer)
	// What the server announces has reached the peer, which tells it by headers of its own.
	answer.Draining, answer.Pause, answer.Limit, answer.LimitErr, answer.Load = false, 0, nil, nil, nil
	if answer.Proof == "" && answer.Code != classifier.OK {
		answer.Code = codeOfStatus(answer.Status)
	}
}

// codeOfStatus returns the result code of a failure of a peer of an older build, which
// doesn't state it.
func codeOfStatus(status int) classifier.Code {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return classifier.NotSent
	case http.StatusGatewayTimeout:
		return classifier.DeadlineExceeded
	}
	return classifier.ServerFailed
}

// endRelay returns the end of a relay with one answer for each of its sub-requests.
func endRelay(s *scatterer.SendRelay, answers []*Answer, outcome scatterer.RelayOutcome) relayEnd {
	end := relayEnd{request: s.Request, outcome: outcome}
	for i, answer := range answers {
		end.ends = append(end.ends, attemptEnd{attempt: s.Attempts[i], answer: answer})
		end.retryAfter = max(end.retryAfter, answer.RetryAfter)
	}
	return end
}

// sendRelay sends sub-requests through a peer, as one exchange. The exchange is canceled
// once all its attempts have ended or are canceled.
func (e *engine) sendRelay(a *scatterer.SendRelay) {
	r := e.requests[a.Request]
	ctx, cancel := context.WithDeadline(e.ctx, a.Deadline)
	open := len(a.Attempts)
	for _, id := range a.Attempts {
		e.outstanding[id] = outstandingAttempt{request: a.Request, server: &lister.Server{}, relayed: true, cancel: sync.OnceFunc(func() {
			open--
			if open == 0 {
				cancel()
			}
		})}
	}
	e.exchanges.Go(func() {
		defer cancel()
		e.push(e.relay(ctx, r, a))
	})
}

// relayEnded applies the end of a relay.
func (e *engine) relayEnded(now time.Time, item relayEnd) {
	end := &scatterer.RelayEnded{Request: item.request, Outcome: item.outcome, RetryAfter: item.retryAfter}
	for _, attempt := range item.ends {
		ended := e.ended(attempt)
		if ended == nil {
			// The request has ended; the scatterer counts the relay by its first attempt.
			ended = &scatterer.AttemptEnded{Attempt: attempt.attempt, Code: classifier.Canceled}
		}
		end.Ends = append(end.Ends, ended)
	}
	unserved := item.outcome == scatterer.RelayUnserved || item.outcome == scatterer.RelayNoPeer
	e.assessor.RelayEnded(item.outcome == scatterer.RelayServed, unserved)
	e.act(e.machine.Step(now, end))
}
