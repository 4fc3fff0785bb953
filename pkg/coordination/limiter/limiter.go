package limiter

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const (
	windowLength      = 100 * time.Millisecond
	windowMinSamples  = 16
	windowMaxSamples  = 256
	decreaseFactor    = 0.9
	increaseFraction  = 0.05
	increaseMin       = 0.5
	busyFraction      = 0.7
	baselineDrift     = 1.01
	retryAfterWindows = 2

	waitWeight = 0.2
	// waitLife is how long a shard's latency counts after its last answer.
	waitLife = 500 * time.Millisecond
	// drainFactor is how many times its own length a queue is taken to need to
	// drain: with less, an entry with a tenth of the queries, which sees waits ten
	// times as old, refuses far fewer than the others.
	drainFactor = 6
	// Refusals begin at rampBegin of the queue target and reach all requests at rampEnd.
	rampBegin = 0.75
	rampEnd   = 2.0
)

// Class is a class of requests with the part of the limit that it may use.
type Class struct {
	Name  string
	Share float64
}

// Config holds the bounds of a limiter.
type Config struct {
	InitialLimit int
	MinLimit     int
	MaxLimit     int
	// QueueTarget is the queueing delay above which the limit shrinks.
	QueueTarget time.Duration
	CallerShare float64
	Classes     []Class
	// Random draws which requests are refused early; nil refuses none early.
	Random *rand.Rand
}

// shardWait is the smoothed latency of one shard.
type shardWait struct {
	latency float64
	at      time.Time
}

// Limiter admits requests up to a concurrency limit that follows the queueing
// delay: the median latency of a window less the lowest median seen. Before that
// limit it refuses a part of the requests that grows with the wait at the shard
// with the longest queue, since a few requests in flight tell too little where
// many entries share a few slots.
type Limiter struct {
	cfg      Config
	limit    float64
	inFlight int
	peak     int
	callers  map[string]int

	samples     []time.Duration
	windowStart time.Time
	baseline    time.Duration
	delay       time.Duration
	shards      []shardWait
}

// New returns a limiter at its initial limit.
func New(cfg Config) *Limiter {
	return &Limiter{cfg: cfg, limit: float64(cfg.InitialLimit), callers: make(map[string]int)}
}

// WithConfig returns a limiter under other bounds that keeps what is in flight
// and what was measured.
func (l *Limiter) WithConfig(cfg Config) *Limiter {
	next := *l
	next.cfg = cfg
	next.limit = clamp(l.limit, cfg)
	return &next
}

// Admit takes a place for a request, or returns a failure that says "not run"
// and when to come back.
func (l *Limiter) Admit(now time.Time, caller, class string) *classifier.Failure {
	if l.refusedEarly(now, class) {
		return l.refuse(now, classifier.Overloaded)
	}
	if float64(l.inFlight) >= l.limit*l.classShare(class) {
		return l.refuse(now, classifier.Overloaded)
	}
	if float64(l.callers[caller]) >= max(1, l.limit*l.cfg.CallerShare) {
		return l.refuse(now, classifier.CallerShareUsed)
	}
	l.Force(caller)
	return nil
}

// Force takes a place for a request whatever the limit.
func (l *Limiter) Force(caller string) {
	l.inFlight++
	l.peak = max(l.peak, l.inFlight)
	l.callers[caller]++
}

// refusedEarly draws whether a request is refused for the longest wait; a class
// with a smaller share is refused at a shorter one.
func (l *Limiter) refusedEarly(now time.Time, class string) bool {
	if l.cfg.Random == nil {
		return false
	}
	target := float64(l.cfg.QueueTarget) * l.classShare(class)
	part := (float64(l.Wait(now))/target - rampBegin) / (rampEnd - rampBegin)
	return part > 0 && l.cfg.Random.Float64() < part
}

// Wait returns the longest wait of all shards that have answered of late.
func (l *Limiter) Wait(now time.Time) time.Duration {
	longest := time.Duration(0)
	for i := range l.shards {
		longest = max(longest, l.shards[i].wait(now, l.baseline))
	}
	return longest
}

// wait returns what is left of the wait after the time since it was seen.
func (w *shardWait) wait(now time.Time, baseline time.Duration) time.Duration {
	age := now.Sub(w.at)
	if age >= waitLife {
		return 0
	}
	return max(0, time.Duration(w.latency)-baseline-age/drainFactor)
}

func (l *Limiter) refuse(now time.Time, code classifier.Code) *classifier.Failure {
	return classifier.NewFailure(code, "").WithRetryAfter(l.RetryAfter(now))
}

// RetryAfter returns when a refused request may come back.
func (l *Limiter) RetryAfter(now time.Time) time.Duration {
	return retryAfterWindows*windowLength + max(l.delay, l.Wait(now))
}

// Release gives the place of a request back.
func (l *Limiter) Release(caller string) {
	l.inFlight--
	l.callers[caller]--
	if l.callers[caller] <= 0 {
		delete(l.callers, caller)
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

// HasClass reports whether requests may name the class; none is always allowed.
func (l *Limiter) HasClass(class string) bool {
	return class == "" || slices.ContainsFunc(l.cfg.Classes, func(c Class) bool { return c.Name == class })
}

// ObserveWait notes the wait at a shard as its owner knows it.
func (l *Limiter) ObserveWait(now time.Time, shard int, wait time.Duration) {
	w := l.shard(shard)
	w.latency = float64(l.baseline + wait)
	w.at = now
}

func (l *Limiter) shard(shard int) *shardWait {
	for len(l.shards) <= shard {
		l.shards = append(l.shards, shardWait{})
	}
	return &l.shards[shard]
}

// ObserveShard notes the time from asking for a shard to its answer, from which
// the wait is estimated where no owner knows it.
func (l *Limiter) ObserveShard(now time.Time, shard int, latency time.Duration) {
	w := l.shard(shard)
	if now.Sub(w.at) >= waitLife {
		w.latency = float64(l.baseline)
	}
	w.latency += waitWeight * (float64(latency) - w.latency)
	w.at = now
}

// Observe notes a latency and adapts the limit at the end of each window.
func (l *Limiter) Observe(now time.Time, latency time.Duration) {
	if len(l.samples) < windowMaxSamples {
		l.samples = append(l.samples, latency)
	}
	if now.Sub(l.windowStart) < windowLength || len(l.samples) < windowMinSamples {
		return
	}
	l.adapt()
	l.samples = l.samples[:0]
	l.windowStart = now
	l.peak = l.inFlight
}

func (l *Limiter) adapt() {
	slices.Sort(l.samples)
	median := l.samples[len(l.samples)/2]
	if l.baseline == 0 || median < l.baseline {
		l.baseline = median
	}
	l.delay = median - l.baseline
	l.baseline = time.Duration(float64(l.baseline) * baselineDrift)
	switch {
	case l.delay > l.cfg.QueueTarget:
		l.limit = clamp(min(l.limit, float64(l.peak))*decreaseFactor, l.cfg)
		l.baseline = min(l.baseline, median-l.delay)
	case float64(l.peak) >= l.limit*busyFraction:
		l.limit = clamp(l.limit+max(increaseMin, l.limit*increaseFraction), l.cfg)
	}
}

func clamp(limit float64, cfg Config) float64 {
	return min(max(limit, float64(cfg.MinLimit)), float64(cfg.MaxLimit))
}

// Pressed reports whether queueing delay has reached half of its target, at
// which hedges stop before requests are refused.
func (l *Limiter) Pressed() bool {
	return l.delay > l.cfg.QueueTarget/2
}

// Limit returns the concurrency limit in force.
func (l *Limiter) Limit() int {
	return int(l.limit)
}

// InFlight returns the number of admitted requests.
func (l *Limiter) InFlight() int {
	return l.inFlight
}
