package sequencer

import (
	"cmp"
	"fmt"
	"strconv"
	"time"
)

// Rank is the urgency of a request; lower numbers are more urgent. That of the organisation goes
// before that of the route.
type Rank struct{ Organisation, Route int }

// Compare returns a negative number if r is more urgent than other.
func (r Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(r.Organisation, other.Organisation), cmp.Compare(r.Route, other.Route))
}

func (r Rank) String() string { return strconv.Itoa(r.Organisation) + "/" + strconv.Itoa(r.Route) }

// Request is a request that asks for admission.
type Request struct {
	// ID is unique among the requests of the host.
	ID uint64
	// Organisation is the name of the caller's, empty without one.
	Organisation string
	Rank         Rank
	// Kind names the requests that take about the same time.
	Kind string
	// Work is in sub-requests.
	Work float64
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// Received is when the request arrived, Expires when its caller no longer waits.
	Received time.Time
	Expires  time.Time
	// Objective is the latency objective, counted from Received.
	Objective time.Duration
}

// Reason is why a request is refused.
type Reason string

// The reasons for refusals.
const (
	// Late means that the request, when it arrived, was expected to end too late.
	Late Reason = "late"
	// Displaced means that it is expected to end too late after requests that go before it, or
	// since the host drains more slowly.
	Displaced Reason = "displaced"
	// Full means that too many requests wait, of which it was the last in order.
	Full Reason = "full"
)

// Decision ends the wait of a request.
type Decision struct {
	Request
	// Admitted is false if the request is refused, for Reason.
	Admitted bool
	Reason   Reason
	// Waited is how long the request has waited, Expected how long it would have to wait on.
	Waited   time.Duration
	Expected time.Duration
	// RetryAfter is when room for a refused request is expected.
	RetryAfter time.Duration
	State      State
}

// String describes the decision and what it depends on for logs; State has the rest.
func (d Decision) String() string {
	return fmt.Sprintf("%s: rank %v, work %.0f, waited %v, would wait %v, %v", d.Reason, d.Rank, d.Work,
		d.Waited.Round(time.Millisecond), d.Expected.Round(time.Millisecond), d.State)
}

// State is the state of a host.
type State struct {
	// Waiting is the number of requests that wait, Load the time that the host needs for its
	// admitted work.
	Waiting int
	Load    time.Duration
	// Lag is how late the host's timers are, Pace the rate of its processor relative to the
	// planned one.
	Lag  time.Duration
	Pace float64
}

func (s State) String() string {
	return fmt.Sprintf("%d waiting, load %v, lag %v, pace %.2f", s.Waiting, s.Load.Round(time.Millisecond), s.Lag.Round(time.Millisecond), s.Pace)
}

// Config holds the parameters of a machine.
type Config struct {
	// ProcessorRate and LinkRate are how many sub-requests per second the host's processor and
	// its link are planned for; LinkRate is 0 if the link is unknown.
	ProcessorRate float64
	LinkRate      float64
	// Depth is how much work, as time of the host, is admitted before requests wait.
	Depth time.Duration
}
