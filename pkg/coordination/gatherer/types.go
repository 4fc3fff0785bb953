package gatherer

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/limiter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// Event is an input of the Machine.
type Event interface{ gathererEvent() }

// Arrived is a caller's query.
type Arrived struct {
	Query    uint64
	Caller   string
	Class    string
	Deadline time.Time
}

// Settled reports the result of one shard of a group.
type Settled struct {
	Group uint64
	Shard int
	Code  classifier.Code
}

// Abandoned reports that the caller has disconnected.
type Abandoned struct {
	Query uint64
}

// Woken reports that the time returned by Wake has passed.
type Woken struct{}

func (*Arrived) gathererEvent()   {}
func (*Settled) gathererEvent()   {}
func (*Abandoned) gathererEvent() {}
func (*Woken) gathererEvent()     {}

// Action is an output of the Machine.
type Action interface{ gathererAction() }

// Ask requests all shards of a layout under a new group, the ID of this
// round of sub-requests.
type Ask struct {
	Query    uint64
	Group    uint64
	Layout   planner.Layout
	Deadline time.Time
}

// Withdraw cancels the outstanding sub-requests of a group.
type Withdraw struct {
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

func (*Ask) gathererAction()      {}
func (*Withdraw) gathererAction() {}
func (*Complete) gathererAction() {}
func (*Refuse) gathererAction()   {}

// Pinner chooses the layout, and so the snapshot, of a new query.
type Pinner interface {
	Pin() (planner.Layout, bool)
}

// Config holds the settings of a Machine.
type Config struct {
	// MinCoverage and SoftDeadline are the early-answer rule: once SoftDeadline
	// has passed since the arrival, a query is answered when MinCoverage, a
	// fraction of the shards, is covered. A MinCoverage of 1 turns the rule off.
	MinCoverage  float64
	SoftDeadline time.Duration
	Limits       limiter.Config
	// Unlimited admits queries over the limits too; it is the baseline of the benchmarks.
	Unlimited bool
}
