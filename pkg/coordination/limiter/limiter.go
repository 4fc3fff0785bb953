package limiter

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const (
	// A window ends after windowLength, but not before windowMinSamples latencies;
	// it keeps the first windowMaxSamples of them.
	windowLength     = 100 * time.Millisecond
	windowMinSamples = 16
	windowMaxSamples = 256
	// decreaseFactor multiplies the limit after a window above the queue target.
	decreaseFactor = 0.9
	// After a window below the target the limit grows by increaseFraction of itself,
	// at least by minIncrease requests, if the requests in flight have reached
	// growthUtilization of it.
	increaseFraction  = 0.05
	minIncrease       = 0.5
	growthUtilization = 0.7
	// baselineDrift multiplies the baseline (the latency without queueing) in each window
	// without overload, so that it follows a lasting rise of the service time.
	baselineDrift = 1.01
	// retryAfterWindows is the minimum Retry-After of a refusal, as a number of windows
	// of windowLength.
	retryAfterWindows = 2

	// latencySmoothing is the weight of a new sample in the moving average of a
	// shard's latency.
	latencySmoothing = 0.2
	// waitExpiry is the time after the last observation of a shard from which its
	// wait is taken as zero.
	waitExpiry = 500 * time.Millisecond
	// queueDrainFactor divides the age of an observed wait in the estimate of the
	// remaining wait: a queue of 1 ms is taken to drain in 6 ms. With a lower factor,
	// an entry (a process that serves callers) with a tenth of the queries, whose observations are ten times as old,
	// refuses far fewer requests than the other entries.
	queueDrainFactor = 6
	// The probability of an early refusal rises linearly from 0 at refusalRampStart
	// times the queue target to 1 at refusalRampEnd times the queue target.
	refusalRampStart = 0.75
	refusalRampEnd   = 2.0
)

// Class is a class of requests and the fraction of the limit that it may use.
type Class struct {
	Name  string
	Share float64
}

// Config holds the settings of a limiter.
type Config struct {
	InitialLimit int
	MinLimit     int
	MaxLimit     int
	// QueueTarget is the queueing delay above which the limit shrinks.
	QueueTarget time.Duration
	// CallerShare is the fraction of the limit that one caller may use, at least one request.
	CallerShare float64
	// Classes are the classes that requests may name; the empty class may use the whole limit.
	Classes []Class
	// Random selects the requests that are refused early; nil disables early refusal.
	Random *rand.Rand
}

// shardWait is the latency of one shard in nanoseconds: the moving average of observed
// latencies, or the baseline plus the wait that the owner of its queue reported.
type shardWait struct {
	latency    float64
	observedAt time.Time
}

// Limiter admits requests up to a concurrency limit that adapts to the queueing
// delay: the median latency of a window less the lowest median seen. Below that
// limit it refuses a fraction of the requests that grows with the wait at the
// shard with the longest queue, because the number in flight at one entry is no
// useful signal when many entries share a few execution slots.
type Limiter struct {
	cfg      Config
	limit    float64
	inFlight int
	// peakInFlight is the largest inFlight of the current window.
	peakInFlight     int
	inFlightByCaller map[string]int

	samples     []time.Duration
	windowStart time.Time
	// baseline is the lowest median latency of a window, raised by baselineDrift: the
	// estimate of the latency without queueing.
	baseline time.Duration
	// queueDelay is the queueing delay of the last window.
	queueDelay time.Duration
	shardWaits []shardWait
}

// New returns a limiter at its initial limit.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, limit: float64(cfg.InitialLimit), inFlightByCaller: make(map[string]int)}
}

// WithConfig returns a copy of the limiter with other settings that keeps the
// requests in flight and the measurements.
func (l *Limiter) WithConfig(cfg Config) *Limiter {
	next := *l
	next.cfg = cfg
	next.limit = clamp(l.limit, cfg)
	return &next
}

// Admit counts a request as in flight, or returns a failure that marks the
// request as not run and carries the time to retry after.
func (l *Limiter) Admit(now time.Time, caller, class string) *classifier.Failure {
	if l.refusedEarly(now, class) {
		return l.refuse(now, classifier.Overloaded)
	}
	if float64(l.inFlight) >= l.limit*l.classShare(class) {
		return l.refuse(now, classifier.Overloaded)
	}
	if float64(l.inFlightByCaller[caller]) >= max(1, l.limit*l.cfg.CallerShare) {
		return l.refuse(now, classifier.CallerShareUsed)
	}
	l.AdmitUnconditionally(caller)
	return nil
}

// AdmitUnconditionally counts a request as in flight regardless of the limit.
func (l *Limiter) AdmitUnconditionally(caller string) {
	l.inFlight++
	l.peakInFlight = max(l.peakInFlight, l.inFlight)
	l.inFlightByCaller[caller]++
}

// refusedEarly reports whether a request is refused at random because of the
// longest wait; a class with a smaller share is refused at shorter waits.
func (l *Limiter) refusedEarly(now time.Time, class string) bool {
	if l.cfg.Random == nil {
		return false
	}
	target := float64(l.cfg.QueueTarget) * l.classShare(class)
	probability := (float64(l.Wait(now))/target - refusalRampStart) / (refusalRampEnd - refusalRampStart)
	return probability > 0 && l.cfg.Random.Float64() < probability
}

// Wait returns the longest estimated wait of the shards observed within waitExpiry.
func (l *Limiter) Wait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for i := range l.shardWaits {
		longest = max(longest, l.shardWaits[i].wait(now, l.baseline))
	}
	return longest
}

// wait estimates how much of the observed wait remains at now.
func (w *shardWait) wait(now time.Time, baseline time.Duration) time.Duration {
	age := now.Sub(w.observedAt)
	if age >= waitExpiry {
		return 0
	}
	return max(0, time.Duration(w.latency)-baseline-age/queueDrainFactor)
}

func (l *Limiter) refuse(now time.Time, code classifier.Code) *classifier.Failure {
	return classifier.NewFailure(code, "").WithRetryAfter(l.RetryAfter(now))
}

// RetryAfter returns the delay after which a refused request may be retried.
func (l *Limiter) RetryAfter(now time.Time) time.Duration {
	return retryAfterWindows*windowLength + max(l.queueDelay, l.Wait(now))
}

// Release ends the counting of a request as in flight.
func (l *Limiter) Release(caller string) {
	l.inFlight--
	l.inFlightByCaller[caller]--
	if l.inFlightByCaller[caller] <= 0 {
		delete(l.inFlightByCaller, caller)
	}
}

func (l *Limiter) classShare(class string) float64 {
	for _, c := range l.cfg.Classes {
		if c.Name == class {
			return c.Share
		}
	}
	return 1
}

// HasClass reports whether requests may name the class; the empty class is always allowed.
func (l *Limiter) HasClass(class string) bool {
	return class == "" || slices.ContainsFunc(l.cfg.Classes, func(c Class) bool { return c.Name == class })
}

// ObserveWait records the wait at a shard as measured by the entry that owns its queue.
func (l *Limiter) ObserveWait(now time.Time, shard int, wait time.Duration) {
	w := l.waitOf(shard)
	w.latency = float64(l.baseline + wait)
	w.observedAt = now
}

func (l *Limiter) waitOf(shard int) *shardWait {
	for len(l.shardWaits) <= shard {
		l.shardWaits = append(l.shardWaits, shardWait{})
	}
	return &l.shardWaits[shard]
}

// ObserveShardLatency records the latency of a sub-request to a shard, from which
// the wait is estimated if no owner reports it.
func (l *Limiter) ObserveShardLatency(now time.Time, shard int, latency time.Duration) {
	w := l.waitOf(shard)
	if now.Sub(w.observedAt) >= waitExpiry {
		w.latency = float64(l.baseline)
	}
	w.latency += latencySmoothing * (float64(latency) - w.latency)
	w.observedAt = now
}

// ObserveLatency records the latency of a request or sub-request and adapts the
// limit at the end of each window.
func (l *Limiter) ObserveLatency(now time.Time, latency time.Duration) {
	if len(l.samples) < windowMaxSamples {
		l.samples = append(l.samples, latency)
	}
	if now.Sub(l.windowStart) < windowLength || len(l.samples) < windowMinSamples {
		return
	}
	l.adapt()
	l.samples = l.samples[:0]
	l.windowStart = now
	l.peakInFlight = l.inFlight
}

func (l *Limiter) adapt() {
	slices.Sort(l.samples)
	median := l.samples[len(l.samples)/2]
	if l.baseline == 0 || median < l.baseline {
		l.baseline = median
	}
	l.queueDelay = median - l.baseline
	l.baseline = time.Duration(float64(l.baseline) * baselineDrift)
	switch {
	case l.queueDelay > l.cfg.QueueTarget:
		l.limit = clamp(min(l.limit, float64(l.peakInFlight))*decreaseFactor, l.cfg)
		l.baseline = min(l.baseline, median-l.queueDelay)
	case float64(l.peakInFlight) >= l.limit*growthUtilization:
		l.limit = clamp(l.limit+max(minIncrease, l.limit*increaseFraction), l.cfg)
	}
}

func clamp(limit float64, cfg Config) float64 {
	return min(max(limit, float64(cfg.MinLimit)), float64(cfg.MaxLimit))
}

// Overloaded reports whether the queueing delay exceeds half of its target: hedges
// stop then, before requests are refused.
func (l *Limiter) Overloaded() bool {
	return l.queueDelay > l.cfg.QueueTarget/2
}

// Limit returns the current concurrency limit.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// InFlight returns the number of admitted requests.
func (l *Limiter) InFlight() int {
	return l.inFlight
}
