package gatherer

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/limiter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// Event is an input of the Machine.
type Event interface{ gathererEvent() }

// QueryArrived is a caller's query.
type QueryArrived struct {
	Query    uint64
	Caller   string
	Class    string
	Deadline time.Time
}

// ShardSettled reports the result of one shard of a group.
type ShardSettled struct {
	Group uint64
	Shard int
	Code  classifier.Code
}

// QueryAbandoned reports that the caller has disconnected.
type QueryAbandoned struct {
	Query uint64
}

// TimerFired reports that the time returned by NextTimer has passed.
type TimerFired struct{}

func (*QueryArrived) gathererEvent()   {}
func (*ShardSettled) gathererEvent()   {}
func (*QueryAbandoned) gathererEvent() {}
func (*TimerFired) gathererEvent()     {}

// Action is an output of the Machine.
type Action interface{ gathererAction() }

// Scatter requests all shards of a layout under a new group, the ID of this
// round of sub-requests.
type Scatter struct {
	Query    uint64
	Group    uint64
	Layout   planner.Layout
	Deadline time.Time
}

// CancelGroup cancels the outstanding sub-requests of a group.
type CancelGroup struct {
	Group uint64
}

// Complete answers a query; Codes has the result of each shard of the layout
// and is valid until the next Step.
type Complete struct {
	Query  uint64
	Group  uint64
	Layout planner.Layout
	Codes  []classifier.Code
}

// Refuse ends a query with a failure instead of an answer.
type Refuse struct {
	Query   uint64
	Failure *classifier.Failure
}

func (*Scatter) gathererAction()     {}
func (*CancelGroup) gathererAction() {}
func (*Complete) gathererAction()    {}
func (*Refuse) gathererAction()      {}

// LayoutSource returns the layout, and so the snapshot, for a new or restarted query.
type LayoutSource interface {
	Current() (planner.Layout, bool)
}

// Config holds the settings of a Machine.
type Config struct {
	// MinCoverage and SoftDeadline are the early-answer rule: once SoftDeadline
	// has passed since the arrival, a query is answered when MinCoverage, a
	// fraction of the shards, is covered. A MinCoverage of 1 turns the rule off.
	MinCoverage  float64
	SoftDeadline time.Duration
	Limits       limiter.Config
	// IgnoreLimits admits queries over the limits too, for comparison in benchmarks.
	IgnoreLimits bool
}
