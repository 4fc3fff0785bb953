package forwarder

import (
	"context"
	"errors"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

const (
	// transientRetryAfter is the Retry-After for conditions that soon end: no
	// configuration yet, a configuration that may be out of date, or no memory left
	// for bodies.
	transientRetryAfter = 300 * time.Millisecond
	// configStaleAge is a limit on the time since the store last confirmed the
	// configuration. Beyond it, a route that is not found may exist in a newer
	// configuration, and the caller is told to retry. The limit exceeds the
	// duration of a watch and a round of comparisons with peers.
	configStaleAge = 3 * time.Second
	// answerStallTimeout is how long a client may take to receive a piece of an answer of
	// answerPieceBytes; a client that takes longer has stopped reading.
	answerStallTimeout = 10 * time.Second
	answerPieceBytes   = 64 << 10
)

// connectionHeaders are hop-by-hop headers, which are not forwarded.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ServeHTTP serves one request of a caller.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.divertsCallers() {
		w.Header().Set("Connection", "close")
	}
	a, failure := f.accept(w, r, sender{})
	defer f.releaseMemory(a)
	if failure == nil {
		failure = f.engine.blockedFailure(a.received, a.fingerprint)
	}
	if failure == nil {
		failure = f.limitToStop(a)
	}
	if failure == nil {
		failure = f.awaitLargeHead(r.Context(), a)
	}
	defer f.endLargeHead(a)
	if failure == nil {
		failure = f.admit(r.Context(), a)
	}
	if failure != nil {
		f.refuse(w, a, failure)
		return
	}
	defer f.endTurn(a)
	if f.delegateQuery(w, r, a) {
		return
	}
	failure = f.recheck(a)
	if failure == nil {
		failure = f.reserveMemory(a, a.route.SubRequests())
	}
	if failure != nil {
		f.returnQuota(a)
		f.refuse(w, a, failure)
		return
	}
	f.run(w, r, a)
}

// run passes a request to the engine and writes the answer.
func (f *Forwarder) run(w http.ResponseWriter, r *http.Request, a *arrival) {
	f.begin(a)
	f.awaitReply(w, r, a)
}

// begin passes a request to the engine.
func (f *Forwarder) begin(a *arrival) {
	f.chargeWork(a)
	if !a.delegated {
		f.room.add(a.route.SubRequests())
	}
	f.engine.push(a)
}

// awaitReply waits for the engine's reply to a request and writes it.
func (f *Forwarder) awaitReply(w http.ResponseWriter, r *http.Request, a *arrival) {
	select {
	case end := <-a.reply:
		f.answer(w, a, end)
	case <-r.Context().Done():
		f.engine.push(abandonment{a.id})
	}
}

// accept reads a caller's request and finds its route and organisation, or returns why the
// request is refused.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, from sender) (*arrival, *classifier.Failure) {
	a := &arrival{reply: make(chan reply, 1)}
	table := f.table.Load()
	if table == nil || !f.engine.servesRequests.Load() || !f.knowsEvacuations() {
		return a, classifier.NewFailure(classifier.NotConfigured, "").WithRetryAfter(transientRetryAfter)
	}
	call, err := f.cfg.Dialect.Call(r)
	a.call = call
	a.received = time.Now()
	a.expires = a.received.Add(call.Remaining)
	if err != nil {
		return a, classifier.NewFailure(classifier.InvalidRequest, "%v", err)
	}
	route, ok := table.Match(call.Host, r.URL.Path)
	if !ok {
		return a, f.unknownRoute(table, call.Host, r.URL.Path)
	}
	_, unusable := route.Target.(*matcher.Unusable)
	if unusable {
		return a, classifier.NewFailure(classifier.StaleRoutes, "route %q can't be used, version %d", route.Name, table.Version()).
			WithRetryAfter(transientRetryAfter)
	}
	a.route, a.version = route, table.Version()
	failure := f.identify(r, table, a, from)
	if failure != nil {
		return a, failure
	}
	f.setHomes(a)
	// A query that this host gathers takes more later.
	failure = f.reserveMemory(a, 1)
	if failure != nil {
		return a, failure
	}
	body, failure := f.readBody(w, r, table.Limits().BodyBytes, readLimit(call.Remaining, route))
	if failure != nil {
		return a, failure
	}
	a.id = f.lastRequest.Add(1)
	a.budgetShare = f.budgetShare(route)
	// net/http doesn't use the header any more; a copy of a large one would be dear.
	header := r.Header
	removeConnectionHeaders(header)
	removeOwnHeaders(header)
	_, ok = header["User-Agent"]
	if !ok {
		header["User-Agent"] = nil
	}
	if a.identity.applies {
		f.cfg.Dialect.SetOrganisation(header, a.organisationName())
	}
	a.outbound = outbound{method: r.Method, url: r.URL, host: r.Host, header: header, copyCost: copyCost(header), body: body, held: newHolding(route)}
	a.fingerprint = vetter.Identity{Method: r.Method, Host: call.Host, Target: r.RequestURI, Caller: a.callerIdentity(), Body: body}.Fingerprint()
	return a, nil
}

// unknownRoute returns the failure for a request that matches no route. If the
// configuration may be out of date, the failure leaves open whether the route
// exists.
func (f *Forwarder) unknownRoute(table *matcher.Table, host, path string) *classifier.Failure {
	if time.Since(f.confirmedAt()) > configStaleAge {
		return classifier.NewFailure(classifier.StaleRoutes, "%s%s, version %d", host, path, table.Version()).
			WithRetryAfter(transientRetryAfter)
	}
	return classifier.NewFailure(classifier.UnknownRoute, "%s%s, version %d", host, path, table.Version())
}

// readLimit returns how long the body of a request may take.
func readLimit(left time.Duration, route *matcher.Route) time.Duration {
	if route.Timeout == 0 {
		return left
	}
	return min(left, route.Timeout)
}

// readBody reads the body of a request for no longer than left, the time that the
// caller still waits. limit is the size limit in bytes set by the configuration, 0 if
// it sets none.
func (f *Forwarder) readBody(w http.ResponseWriter, r *http.Request, limit int64, left time.Duration) ([]byte, *classifier.Failure) {
	if r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	// Neither the trailers that a head announces nor those that follow the body are forwarded;
	// net/http would keep them for as long as the request.
	r.Trailer = nil
	defer func() { r.Trailer = nil }()
	if limit <= 0 || limit > maxBodyBytes {
		limit = maxBodyBytes
	}
	control := http.NewResponseController(w)
	// Setting a deadline can't fail on a connection of net/http.
	_ = control.SetReadDeadline(time.Now().Add(left))
	body, release, err := f.bodies.hold(http.MaxBytesReader(w, r.Body, limit), r.ContentLength, limit)
	// The context of a request of net/http ends when its handler returns.
	context.AfterFunc(r.Context(), release)
	if err == nil {
		// On an error the deadline stays, so that net/http doesn't wait for the rest of
		// the body.
		_ = control.SetReadDeadline(time.Time{})
	}
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, classifier.NewFailure(classifier.BodyTooLarge, "limit %d bytes", limit)
	case errors.Is(err, errBodyBudgetExhausted):
		return nil, classifier.NewFailure(classifier.Overloaded, "%v", err).WithRetryAfter(transientRetryAfter)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, classifier.NewFailure(classifier.DeadlineExceeded, "the body hasn't arrived within %v", left)
	case err != nil:
		return nil, classifier.NewFailure(classifier.InvalidRequest, "body ends early: %v", err)
	}
	return body, nil
}

// removeConnectionHeaders removes hop-by-hop headers.
func removeConnectionHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(textproto.TrimString(name))
		}
	}
	for _, name := range connectionHeaders {
		h.Del(name)
	}
}

// removeOwnHeaders removes the headers of exchanges between hosts, which callers must not set.
func removeOwnHeaders(h http.Header) {
	for _, name := range []string{sliceHeader, neededHeader, delegationHeader, relayHeader, spentHeader, organisationHeader} {
		h.Del(name)
	}
}

// refuse refuses a request that did not reach the engine of this host.
func (f *Forwarder) refuse(w http.ResponseWriter, a *arrival, failure *classifier.Failure) {
	f.metrics.refused(failure.Code)
	f.cfg.Logger.Warn(logger.RequestRefused, a.withIdentity(
		"request", a.call.ID, "result", failure.Code, "detail", failure.Detail, "fingerprint", a.fingerprint,
		"notRun", failure.Code.NotRun(), "retryAfterMillis", failure.RetryAfter.Milliseconds(),
		"storeAgeMillis", time.Since(f.confirmedAt()).Milliseconds(),
	)...)
	f.writeFailure(w, failure)
}

func (f *Forwarder) writeFailure(w http.ResponseWriter, failure *classifier.Failure) {
	f.cfg.Dialect.SetRetryAfter(w.Header(), failure.RetryAfter)
	if failure.Code == classifier.UnknownKey {
		f.cfg.Dialect.SetChallenge(w.Header())
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	text := failure.Error() + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.WriteHeader(failure.Code.Definition().Status)
	writeBody(w, []byte(text))
}

// answer writes the engine's reply to a request.
func (f *Forwarder) answer(w http.ResponseWriter, a *arrival, end reply) {
	if a.delegated {
		addDraining(w.Header(), end.draining)
	}
	if a.slice {
		addLimits(w.Header(), end.limits)
	}
	if end.failure != nil {
		if end.failure.Code.NotRun() {
			f.returnQuota(a)
			if a.delegated && !a.relay.relayed {
				w.Header().Set(notRunHeader, "1")
			}
		}
		if a.slice && vetted(end.failure.Code) {
			w.Header().Set(doubtHeader, "1")
		}
		if a.relay.relayed {
			setResult(w.Header(), end.failure)
		}
		f.writeFailure(w, end.failure)
		return
	}
	sharded, ok := a.route.Target.(*matcher.Sharded)
	switch {
	case !ok || end.answers[0].whole():
		writeAnswer(w, a.outbound.method, end.answers[0])
	case a.slice:
		f.writeSlice(w, sharded, end.answers)
	default:
		f.writeMerged(w, sharded, end.answers)
	}
}

// writeAnswer forwards the answer of one server unchanged except for hop-by-hop
// headers.
func writeAnswer(w http.ResponseWriter, method string, a *Answer) {
	h := w.Header()
	removeConnectionHeaders(a.Header)
	for name, values := range a.Header {
		h[name] = values
	}
	_, ok := h["Content-Type"]
	if !ok {
		h["Content-Type"] = nil
	}
	if method != http.MethodHead {
		// An answer to HEAD states the length of a body that it doesn't have.
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	w.WriteHeader(a.Status)
	writeBody(w, a.Body)
}

// writeBody writes the body of an answer, as long as the client takes a piece of it within
// answerStallTimeout.
func writeBody(w http.ResponseWriter, body []byte) {
	control := http.NewResponseController(w)
	for {
		// Setting a deadline can't fail on a connection of net/http.
		_ = control.SetWriteDeadline(time.Now().Add(answerStallTimeout))
		n, err := w.Write(body[:min(len(body), answerPieceBytes)])
		body = body[n:]
		if err != nil || len(body) == 0 {
			return
		}
	}
}

// writeMerged writes the greatest rows of the shards that answered, with headers that
// state which shards these are.
func (f *Forwarder) writeMerged(w http.ResponseWriter, target *matcher.Sharded, answers []*Answer) {
	proofs := make([]string, 0, len(answers))
	bodies := make([][]byte, 0, len(answers))
	for _, a := range answers {
		if a != nil {
			proofs = append(proofs, a.Proof)
			bodies = append(bodies, a.Body)
		}
	}
	f.cfg.Dialect.SetCoverage(w.Header(), proofs, len(answers)-len(proofs))
	f.writeRows(w, bodies, target.Rows)
}

// writeRows writes the n greatest rows of the bodies.
func (f *Forwarder) writeRows(w http.ResponseWriter, bodies [][]byte, n int) {
	body := f.cfg.Merger.Merge(bodies, n)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(http.StatusOK)
	writeBody(w, body)
}
