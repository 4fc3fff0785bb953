package sequencer

import (
	"math"
	"time"
)

const (
	// lagSmoothing is the weight of a new sample in the moving average of the lag, of which no
	// sample counts for more than maxLag: a host that was frozen is not slow afterwards.
	lagSmoothing = 0.2
	maxLag       = 500 * time.Millisecond
	// highLag is a lag at which the processor is overloaded, lowLag one at which it is not. A
	// small host whose processor time is granted in periods of 100 ms lags by less than one.
	highLag = 100 * time.Millisecond
	lowLag  = 40 * time.Millisecond
	// slowdown and speedup multiply the pace at each sample; minPace and maxPace bound it.
	slowdown = 0.95
	speedup  = 1.02
	minPace  = 0.25
	maxPace  = 4
	// minRemainder is the least part of the rate that is taken to be left for less urgent work.
	minRemainder = 0.1
)

// load is the admitted work of a host.
type load struct {
	cfg Config
	// unfinished is the work of the requests that have not ended, planned what would be left of
	// it at the planned rate. Each is an upper bound of what is left.
	unfinished float64
	planned    float64
	at         time.Time
	// lag is the moving average of how late the host's timers are; pace is the rate of the
	// processor, as it was found by the lag, relative to the planned one.
	lag  time.Duration
	pace float64
}

// rate returns the sub-requests per second of the host.
func (l *load) rate() float64 {
	rate := l.cfg.ProcessorRate * l.pace
	if l.cfg.LinkRate > 0 {
		rate = min(rate, l.cfg.LinkRate)
	}
	return rate
}

func (l *load) advance(now time.Time) {
	passed := now.Sub(l.at).Seconds()
	if passed > 0 {
		l.planned = max(l.planned-passed*l.rate(), 0)
		l.at = now
	}
}

func (l *load) add(now time.Time, work float64) {
	l.advance(now)
	l.unfinished += work
	l.planned += work
}

// end records the end of a request. Work that ends sooner than planned shows that the host has
// room.
func (l *load) end(now time.Time, work float64) {
	l.advance(now)
	l.unfinished = max(l.unfinished-work, 0)
	l.planned = min(l.planned, l.unfinished)
}

// sample records how late a timer of the host was. The pace rises above the planned one only while
// requests wait for it, and returns to it otherwise.
func (l *load) sample(now time.Time, late time.Duration, waiting bool) {
	l.advance(now)
	l.lag += time.Duration(lagSmoothing * float64(min(late, maxLag)-l.lag))
	switch {
	case l.lag >= highLag:
		l.pace = max(l.pace*slowdown, minPace)
	case l.lag <= lowLag && l.pace < 1:
		l.pace = min(l.pace*speedup, 1)
	case l.lag <= lowLag && waiting:
		l.pace = min(l.pace*speedup, maxPace)
	case l.pace > 1 && !waiting:
		l.pace = max(l.pace/speedup, 1)
	}
}

// left returns the work that is left, limit the one beyond which requests wait.
func (l *load) left() float64  { return min(l.unfinished, l.planned) }
func (l *load) limit() float64 { return l.rate() * l.cfg.Depth.Seconds() }

// excess returns the work to be done until there is room, not positive if there is some.
func (l *load) excess() float64 { return l.left() - l.limit() }

// timeFor returns the time that the host needs for some work.
func (l *load) timeFor(work float64) time.Duration {
	seconds := max(work, 0) / l.rate()
	return time.Duration(math.Ceil(seconds * float64(time.Second)))
}

// timeBeside returns the time for some work while the host also does what arrives at a rate.
func (l *load) timeBeside(work, arriving float64) time.Duration {
	return l.timeFor(work * l.rate() / max(l.rate()-arriving, minRemainder*l.rate()))
}
