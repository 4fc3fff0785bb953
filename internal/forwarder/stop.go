package forwarder

import (
	"context"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/sleeper"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// stopRetryAfter is the Retry-After of a request that a stopping host can't finish.
const stopRetryAfter = 50 * time.Millisecond

// requestsEnd ends all requests in flight.
type requestsEnd struct{}

func (requestsEnd) engineEvent() {}

// Stop shuts the host down without interrupting requests: it becomes not ready,
// serves on until the load balancer has noticed, closes idle connections and waits for
// requests in flight until ctx ends or little is left of the grace period. Then the
// requests that are left end with a failure that their callers get.
func (f *Forwarder) Stop(ctx context.Context) error {
	f.cfg.Logger.Info(logger.StopBegun, "inFlight", f.callers.InFlight())
	begun := time.Now()
	exitAt := begun.Add(f.Settings().Grace.Value() - exitReserve)
	endAt := exitAt.Add(-answerReserve)
	f.endAt.Store(endAt.UnixNano())
	f.stopping.Store(true)
	sleeper.Sleep(ctx, min(balancerDrainTime, time.Until(endAt)))
	err := f.shutdownUntil(ctx, endAt)
	if err != nil && ctx.Err() == nil {
		f.cfg.Logger.Warn(logger.RequestsEnded, "inFlight", f.callers.InFlight())
		f.end(context.DeadlineExceeded)
		f.engine.push(requestsEnd{})
		err = f.shutdownUntil(ctx, exitAt)
	}
	aborted := f.callers.InFlight()
	if err != nil && aborted > 0 {
		f.cfg.Logger.Error(logger.StopForced, "cutOff", aborted)
	} else {
		err = nil
		f.cfg.Logger.Info(logger.StopEnded, "tookMillis", time.Since(begun).Milliseconds())
	}
	f.Close()
	return err
}

// shutdownUntil waits for the callers' requests until a time.
func (f *Forwarder) shutdownUntil(ctx context.Context, until time.Time) error {
	ctx, cancel := context.WithDeadline(ctx, until)
	defer cancel()
	return f.callers.Shutdown(ctx)
}

// limitToStop refuses a request that this host, as it stops, can't be expected to finish, and limits
// the time of any other so that its caller gets an answer before the end.
func (f *Forwarder) limitToStop(a *arrival) *classifier.Failure {
	if !f.stopping.Load() {
		return nil
	}
	left := time.Until(time.Unix(0, f.endAt.Load()))
	if left < a.route.Objective {
		return classifier.NewFailure(classifier.Stopping, "%v left", left.Round(time.Millisecond)).WithRetryAfter(stopRetryAfter)
	}
	a.call.Remaining = min(a.call.Remaining, left)
	return nil
}
