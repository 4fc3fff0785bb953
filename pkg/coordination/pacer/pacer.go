package pacer

import (
	"math"
	"time"
)

const (
	// initialShare is the part of its usual requests that a server gets at first.
	initialShare = 1.0 / 8
	// growth multiplies the share after a good answer and after each growthTime without a bad
	// one, so that hosts that rarely send to the server don't leave it idle.
	growth     = 2
	growthTime = 300 * time.Millisecond
	// holdTime is how long the share doesn't grow after a bad answer.
	holdTime = 300 * time.Millisecond
	// maxCredit is the number of requests that a server may be owed.
	maxCredit = 1
	// deepQueue is the number of waiting requests per slot from which a queue counts as overload.
	deepQueue = 2
)

// Signal is what the end of a request tells about the load that a server bears.
type Signal int

const (
	// Good means that the server answered as fast as others, with free slots.
	Good Signal = iota
	// Busy means that it answered with a queue.
	Busy
	// Overloaded means that it was slow, rejected the request, failed or has a deep queue.
	Overloaded
)

// Answer is what is known of the end of a request.
type Answer struct {
	// Failed means that there is no complete answer.
	Failed bool
	// Slow means that the server took much longer than other servers do.
	Slow bool
	// Waiting and Slots are the load that the server reported; Slots is 0 without a report.
	Waiting, Slots int
}

// Signal returns what the answer tells.
func (a Answer) Signal() Signal {
	switch {
	case a.Failed, a.Slow, a.Slots > 0 && a.Waiting >= deepQueue*a.Slots:
		return Overloaded
	case a.Slots > 0 && a.Waiting > 0:
		return Busy
	}
	return Good
}

// Ramp raises the share of one server. All hosts start it at the same time, so the share applies
// to the requests that each of them would send; no host needs to know of the others.
type Ramp struct {
	share float64
	// grownAt is when the share last grew or is to have begun to.
	grownAt time.Time
	// credit is the number of requests that the server may get now.
	credit  float64
	startAt time.Time
}

// NewRamp returns the ramp of a server. phase, from 0 to 1, differs between hosts, so that their
// first requests don't coincide.
func NewRamp(now time.Time, phase float64) *Ramp {
	return &Ramp{share: initialShare, grownAt: now, credit: math.Mod(math.Abs(phase), 1), startAt: now}
}

// Share returns the part of its usual requests that the server gets now.
func (r *Ramp) Share(now time.Time) float64 {
	idle := max(now.Sub(r.grownAt), 0)
	return min(1, r.share*math.Pow(growth, idle.Seconds()/growthTime.Seconds()))
}

// Done reports whether the server gets all its usual requests again.
func (r *Ramp) Done(now time.Time) bool { return r.Share(now) >= 1 }

// Age returns the time since the ramp began.
func (r *Ramp) Age(now time.Time) time.Duration { return now.Sub(r.startAt) }

// Offer records that a request would be sent to the server and reports whether it may be.
func (r *Ramp) Offer(now time.Time) bool {
	r.credit = min(r.credit+r.Share(now), maxCredit)
	return r.credit >= 1
}

// Sent records that a request was sent to the server.
func (r *Ramp) Sent() { r.credit = max(r.credit-1, -1) }

// Ended applies the end of a request.
func (r *Ramp) Ended(now time.Time, s Signal) {
	share := r.Share(now)
	switch s {
	case Good:
		r.share = min(1, growth*share)
		r.grownAt = now
	case Busy:
		r.share, r.grownAt = share, now.Add(holdTime)
	case Overloaded:
		r.share, r.grownAt = max(share/growth, initialShare), now.Add(holdTime)
	}
}
