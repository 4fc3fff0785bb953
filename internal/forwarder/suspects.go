package forwarder

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const (
	// doubtHeader marks the failure of a slice that was given up since servers may have ended
	// under its query.
	doubtHeader = "X-Rhubarbpost-Doubt"
	// maxRecordSends bounds the messages with records that are sent concurrently to the same
	// peers; what changes meanwhile is sent with the next one.
	maxRecordSends = 4
)

// vetterCall is a call of a handler that runs in the engine's goroutine.
type vetterCall func(now time.Time)

func (vetterCall) engineEvent() {}

// recordsSent means that changed records have been sent to peers.
type recordsSent struct{}

func (recordsSent) engineEvent() {}

// stepVetting handles the events that concern the records of requests.
func (e *engine) stepVetting(now time.Time, item event) {
	switch item := item.(type) {
	case vetterCall:
		item(now)
	case recordsSent:
		e.sending--
	}
}

// blockedRequests has the time at which each blocked request may be sent again, zero if it
// may not.
type blockedRequests map[vetter.Fingerprint]time.Time

// vetted reports whether a result code means that servers have ended under a request.
func vetted(code classifier.Code) bool {
	switch code {
	case classifier.RequestBlocked, classifier.RequestSuspected, classifier.RequestCrashed:
		return true
	default:
		return false
	}
}

// blockedFailure returns why a request is refused that is blocked, nil if it isn't.
func (e *engine) blockedFailure(now time.Time, f vetter.Fingerprint) *classifier.Failure {
	blocked := e.blocked.Load()
	if blocked == nil {
		return nil
	}
	until, ok := (*blocked)[f]
	switch {
	case !ok || (!until.IsZero() && !now.Before(until)):
		return nil
	case until.IsZero():
		until = now.Add(vetter.BlockedRetryAfter)
	}
	return classifier.NewFailure(classifier.RequestBlocked, "%s", f).WithRetryAfter(until.Sub(now))
}

// errEngineStopped means that the host stops, so that its records can't be read or changed.
var errEngineStopped = errors.New("the host stops")

// callVetter runs a function on the records in the engine's goroutine and returns its result. It
// fails if ctx is done or the engine stops before; the function may still run then.
func callVetter[T any](ctx context.Context, e *engine, call func(now time.Time, v *vetter.Vetter) T) (T, error) {
	done := make(chan T, 1)
	e.push(vetterCall(func(now time.Time) {
		result := call(now, e.machine.Vetter())
		e.act(e.machine.Step(now, &scatterer.RecordsMerged{}))
		e.publishBlocked()
		done <- result
	}))
	var none T
	select {
	case result := <-done:
		return result, nil
	case <-ctx.Done():
		return none, ctx.Err()
	case <-e.ctx.Done():
		return none, errEngineStopped
	}
}

// verdictChanged logs the changed verdict on a request with its evidence.
func (e *engine) verdictChanged(a *scatterer.VerdictChanged) {
	event, level := logger.RequestCleared, e.log.Info
	switch a.After {
	case vetter.Suspected:
		event = logger.RequestSuspected
	case vetter.Blocked:
		event, level = logger.RequestBlocked, e.log.Warn
	case vetter.Allowed:
	}
	level(event, "fingerprint", a.Fingerprint, "route", a.Route, "subject", a.Request, "before", a.Before.String(),
		"serverEnds", a.Ends, "trials", a.Trials, "pinned", a.Decision == vetter.Pinned)
	e.metrics.verdict(a.After)
	e.publishBlocked()
}

// publishBlocked hands the blocked requests to the handlers.
func (e *engine) publishBlocked() {
	suspected, blocked := e.machine.Vetter().Count()
	e.metrics.suspected.Set(float64(suspected))
	e.metrics.blocked.Set(float64(blocked))
	if blocked == 0 {
		e.blocked.Store(nil)
		return
	}
	requests := blockedRequests(e.machine.Vetter().Blocked())
	e.blocked.Store(&requests)
}

// spreadRecords sends records that have changed to other hosts.
func (e *engine) spreadRecords(now time.Time) {
	if e.sending == maxRecordSends {
		return
	}
	records := e.machine.Vetter().Changed(now)
	if len(records) == 0 {
		return
	}
	e.sending++
	e.exchanges.Go(func() {
		e.sendRecords(e.ctx, records)
		e.push(recordsSent{})
	})
}
