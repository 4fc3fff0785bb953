package querier

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/dispatcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/gatherer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/router"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

// requester receives the results of a batch: an *execution or a *peerStream.
type requester interface{ requester() }

// execution is the run of a query of this entry's callers on one snapshot.
type execution struct {
	// group identifies the execution in the gatherer and the router.
	group   uint64
	pending *pendingQuery
	layout  planner.Layout
	started time.Time
	// weight is the number of queries that this one stands for when the shard owners
	// measure their load, or 0 if the query bypasses the owners. It is above 1 while
	// most queries bypass them and only a sample doesn't.
	weight int
	// batches are the sub-requests that this entry's own dispatcher handles.
	batches []*batch
	// ctx bounds the requests to peers.
	ctx    context.Context
	cancel context.CancelFunc
}

// peerStream returns the results of the shards that another entry requested
// from this one, their owner.
type peerStream struct {
	results chan PeerResponse
}

func (*execution) requester()  {}
func (*peerStream) requester() {}

// batch is a set of sub-requests of one query that the dispatcher handles as
// one group.
type batch struct {
	id        uint64
	requester requester
	requestID string
	query     json.RawMessage
	layout    planner.Layout
	shards    []int
	deadline  time.Time
	// weight is the weight of the execution; see there.
	weight int
	// outstanding is the number of shards that are not settled.
	outstanding int
}

// settledShard is the final result of a sub-request, passed from the dispatcher
// to the requester.
type settledShard struct {
	batch uint64
	shard int
	code  classifier.Code
	// wait and load are as in PeerResponse.
	wait time.Duration
	load float64
	// answer is meaningful only if code is OK.
	answer *messenger.SubAnswer
}

// settle queues the result of a shard for the requesting entry. It never blocks,
// since the channel has room for all shards of the batch.
func (p *peerStream) settle(s *settledShard) {
	p.results <- PeerResponse{Shard: s.shard, Code: s.code, Wait: s.wait, Load: s.load, Answer: s.answer}
}

// execute starts a query on a layout: it passes the sub-requests to the dispatcher
// of this entry, or to the owners of the shards.
func (e *Engine) execute(now time.Time, a *gatherer.Scatter) {
	p := e.pending[a.Query]
	p.answers = make([]*messenger.SubAnswer, a.Layout.Shards)
	x := &execution{group: a.Group, pending: p, layout: a.Layout, started: now}
	x.ctx, x.cancel = context.WithDeadline(e.ctx, a.Deadline)
	e.executions[a.Group] = x
	for len(e.shards) < a.Layout.Shards {
		e.shards = append(e.shards, len(e.shards))
	}
	shards := e.shards[:a.Layout.Shards]
	if !e.usesOwners() {
		e.dispatchLocally(x, shards)
		return
	}
	bypass, weight := e.router.BypassOwners()
	if bypass {
		e.dispatchLocally(x, shards)
		return
	}
	x.weight = weight
	e.stepRouter(now, &router.OwnersRequested{Group: a.Group, Shards: shards})
}

// dispatchLocally passes shards of an execution to this entry's dispatcher.
func (e *Engine) dispatchLocally(x *execution, shards []int) {
	b := &batch{
		requester: x, requestID: x.pending.request.RequestID, query: x.pending.request.Query,
		layout: x.layout, shards: shards, deadline: x.pending.request.Deadline, weight: x.weight,
	}
	x.batches = append(x.batches, b)
	e.dispatch(b)
}

// dispatch queues a batch for the dispatcher.
func (e *Engine) dispatch(b *batch) {
	e.lastBatch++
	b.id = e.lastBatch
	b.outstanding = len(b.shards)
	e.batches[b.id] = b
	e.commands = append(e.commands, &dispatcher.ShardsRequested{
		Group: b.id, Layout: b.layout, Shards: b.shards, Deadline: b.deadline,
		Weight: b.weight, BypassOwner: b.weight == 0,
	})
}

// endExecution removes an execution and cancels its outstanding sub-requests.
func (e *Engine) endExecution(group uint64) {
	x, ok := e.executions[group]
	if !ok {
		return
	}
	delete(e.executions, group)
	x.cancel()
	for _, b := range x.batches {
		e.cancelBatch(b)
	}
	if e.router != nil {
		e.router.Step(time.Time{}, &router.GroupEnded{Group: group})
	}
}

func (e *Engine) cancelBatch(b *batch) {
	_, ok := e.batches[b.id]
	if !ok {
		return
	}
	delete(e.batches, b.id)
	e.commands = append(e.commands, &dispatcher.GroupCanceled{Group: b.id})
}

// stepRouter passes an event to the router and executes its assignments.
func (e *Engine) stepRouter(now time.Time, ev router.Event) {
	if e.router == nil {
		return
	}
	for _, a := range e.router.Step(now, ev) {
		x, ok := e.executions[a.Group]
		if !ok {
			continue
		}
		if a.Peer == router.SelfIndex {
			e.dispatchLocally(x, a.Shards)
			continue
		}
		e.requestFromPeer(x, a)
	}
}
