package dispatcher

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// Event is an input of the Machine.
type Event interface{ dispatcherEvent() }

// ShardsRequested requests shards of a layout for a group: the sub-requests of one query.
type ShardsRequested struct {
	Group    uint64
	Layout   planner.Layout
	Shards   []int
	Deadline time.Time
	// Weight is the number of queries that this one represents in the measured
	// load: an entry (a process that serves callers) that sends most queries directly
	// to backend servers still sends a sample through the owners. 0 means 1.
	Weight int
	// BypassOwner is set for queries that don't go through the owner of the shard,
	// the entry that queues its sub-requests; they don't queue and are left out of
	// the measured load.
	BypassOwner bool
}

// GroupCanceled cancels a group whose answers are no longer needed.
type GroupCanceled struct {
	Group uint64
}

// Answered reports that an attempt ended with a verified answer.
type Answered struct {
	Attempt uint64
}

// Failed reports that an attempt ended without a usable answer.
type Failed struct {
	Attempt    uint64
	Code       classifier.Code
	RetryAfter time.Duration
}

// TimerFired reports that the time returned by NextTimer has passed.
type TimerFired struct{}

// ServerListed reports the number of slots of a listed server.
type ServerListed struct {
	Server int
	Slots  int
}

// RoundTripMeasured reports the round-trip time of a call that needs no slot at the server.
type RoundTripMeasured struct {
	Server    int
	RoundTrip time.Duration
}

// LoadReported carries the load that a server reports of itself. It counts only
// until the server has given enough answers for its latency to be measured here.
type LoadReported struct {
	Server  int
	Running int
	Waiting int
}

// Reconfigured replaces the settings.
type Reconfigured struct {
	Config Config
}

func (*Reconfigured) dispatcherEvent() {}

func (*ShardsRequested) dispatcherEvent() {}
func (*GroupCanceled) dispatcherEvent()   {}
func (*Answered) dispatcherEvent()        {}
func (*Failed) dispatcherEvent()          {}
func (*TimerFired) dispatcherEvent()      {}
func (*ServerListed) dispatcherEvent()    {}
func (*LoadReported) dispatcherEvent()    {}

func (*RoundTripMeasured) dispatcherEvent() {}

// Action is an output of the Machine.
type Action interface{ dispatcherAction() }

// Send sends an attempt to a server.
type Send struct {
	Attempt  uint64
	Group    uint64
	Layout   planner.Layout
	Shard    int
	Server   int
	Deadline time.Time
	Hedge    bool
}

// Cancel cancels an attempt that is no longer needed; its end must still be
// reported by an Answered or Failed event.
type Cancel struct {
	Attempt uint64
}

// Settle reports the result of one shard of a group; with code OK, Attempt has the answer.
type Settle struct {
	Group   uint64
	Shard   int
	Attempt uint64
	Code    classifier.Code
	// Wait is the time that a new sub-request to the shard would wait for a slot;
	// it is 0 unless sub-requests queue in this Machine.
	Wait time.Duration
	// Load is the fraction of the shard's slots that its sub-requests keep busy.
	Load float64
}

func (*Send) dispatcherAction()   {}
func (*Cancel) dispatcherAction() {}
func (*Settle) dispatcherAction() {}

// Replicas returns the usable servers of a shard.
type Replicas interface {
	Replicas(layout planner.Layout, shard int) []int
}

// Selection is the policy by which a replica is chosen.
type Selection int

const (
	// SelectLeastLoaded chooses the replica with the least expected time to the answer.
	SelectLeastLoaded Selection = iota
	// SelectRoundRobin chooses the replicas in turn; benchmarks compare SelectLeastLoaded with it.
	SelectRoundRobin
)

// Config holds the settings of a Machine.
type Config struct {
	Selection Selection
	// Queued makes sub-requests queue in the Machine until a replica has a free
	// slot. All requests to the shard's replicas must then go through this Machine.
	Queued bool
	// MaxWait is the longest expected wait for a slot at which a sub-request is
	// still queued; 0 means no limit.
	MaxWait time.Duration
	// HedgeRatio and RetryRatio limit the hedges and the retries to fractions of
	// the number of primary sub-requests.
	HedgeRatio float64
	RetryRatio float64
	// MaxOutstandingFraction is the largest fraction of a group's shards that may still be
	// outstanding when a hedge is sent; sub-requests that queue are exempt.
	MaxOutstandingFraction float64
	// IgnoreLoadReports makes the choice of a replica ignore load reports.
	IgnoreLoadReports bool
}
