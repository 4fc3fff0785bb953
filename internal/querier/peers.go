package querier

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/router"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

// keepaliveInterval is the interval at which an owner repeats its
// acknowledgement, so that the requester doesn't take a long queue for a stalled
// owner.
const keepaliveInterval = 25 * time.Millisecond

// Peers connects to the engines of the same service in other entries.
type Peers interface {
	// Self returns the name of this entry, Names the names of the others.
	Self() string
	Names() []string
	// RequestShards requests shards from the owner at index peer of Names. It
	// calls receive for each message, the acknowledgement first, until all shards
	// are settled.
	RequestShards(ctx context.Context, peer int, request PeerRequest, receive func(PeerResponse)) error
}

// PeerRequest is a request to an owner for shards of one query.
type PeerRequest struct {
	RequestID string
	Snapshot  uint64
	// ShardCount is the number of shards of the snapshot; Shards are the
	// requested ones.
	ShardCount int
	Shards     []int
	Query      json.RawMessage
	Deadline   time.Time
	// Weight is the number of queries that this one stands for when the owner
	// measures its load: more than 1 while the requester sends only a sample of its
	// queries to the owners.
	Weight int
}

// PeerResponse is one message from an owner: an acknowledgement or a settled shard.
type PeerResponse struct {
	Acknowledged bool
	Shard        int
	Code         classifier.Code
	// Wait is the expected time that a new sub-request to the shard waits for a slot.
	Wait time.Duration
	// Load is the fraction of the shard's slots that are busy.
	Load   float64
	Answer *messenger.SubAnswer
}

// ServePeer runs the sub-requests of another entry for shards that this entry
// owns. It calls send with an acknowledgement first, repeats that at each
// keepaliveInterval, and calls send with each settled shard. It returns when all shards are settled, or with an error if the event
// queue is full, send fails, the context ends or the engine is closed.
func (e *Engine) ServePeer(ctx context.Context, request PeerRequest, send func(PeerResponse) error) error {
	stream := &peerStream{results: make(chan PeerResponse, len(request.Shards))}
	b := &batch{
		requester: stream, requestID: request.RequestID, query: request.Query,
		layout: planner.Layout{Snapshot: request.Snapshot, Shards: request.ShardCount},
		shards: request.Shards, deadline: request.Deadline, weight: request.Weight,
	}
	if !e.queue.TryPush(&peerRequested{batch: b}) {
		return classifier.NewFailure(classifier.Overloaded, "event ring is full")
	}
	err := send(PeerResponse{Acknowledged: true})
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for outstanding := len(request.Shards); outstanding > 0 && err == nil; {
		select {
		case response := <-stream.results:
			outstanding--
			err = send(response)
		case <-keepalive.C:
			err = send(PeerResponse{Acknowledged: true})
		case <-ctx.Done():
			err = ctx.Err()
		case <-e.loopDone:
			return classifier.NewFailure(classifier.Stopping, "")
		}
	}
	if err != nil {
		_ = e.queue.Push(e.ctx, &peerCanceled{batch: b})
	}
	return err
}

// requestFromPeer requests shards of an execution from their owner.
func (e *Engine) requestFromPeer(x *execution, a router.Assign) {
	request := PeerRequest{
		RequestID: x.pending.request.RequestID, Snapshot: x.layout.Snapshot, ShardCount: x.layout.Shards,
		Shards: a.Shards, Query: x.pending.request.Query, Deadline: x.pending.request.Deadline,
		Weight: x.weight,
	}
	e.workers.Go(func() {
		err := e.cfg.Peers.RequestShards(x.ctx, a.Peer, request, func(response PeerResponse) {
			_ = e.queue.Push(e.ctx, &peerResponded{group: a.Group, peer: a.Peer, response: response})
		})
		if err != nil && x.ctx.Err() == nil {
			_ = e.queue.Push(e.ctx, &peerFailed{group: a.Group, peer: a.Peer})
		}
	})
}

// handlePeerResponse processes a message from an owner.
func (e *Engine) handlePeerResponse(now time.Time, ev *peerResponded) {
	x, ok := e.executions[ev.group]
	if !ok {
		return
	}
	if ev.response.Acknowledged {
		e.stepRouter(now, &router.PeerAcknowledged{Group: ev.group, Peer: ev.peer})
		return
	}
	shard := ev.response.Shard
	if shard < 0 || shard >= len(x.pending.answers) {
		return
	}
	e.stepRouter(now, &router.ShardSettled{Group: ev.group, Peer: ev.peer, Shard: shard})
	e.settleExecution(now, x, &settledShard{shard: shard, code: x.check(ev.response), wait: ev.response.Wait, load: ev.response.Load, answer: ev.response.Answer})
}

// check returns the result code of an owner's answer, or an error code if the
// answer belongs to another request, shard or snapshot or lacks rows.
func (x *execution) check(response PeerResponse) classifier.Code {
	if response.Code != classifier.OK {
		return response.Code
	}
	answer := response.Answer
	switch {
	case answer == nil || answer.RequestID != x.pending.request.RequestID:
		return classifier.EchoMismatch
	case answer.Shard != response.Shard || answer.Snapshot != x.layout.Snapshot || answer.Shards != x.layout.Shards:
		return classifier.EchoMismatch
	case answer.RowCount != len(answer.Rows):
		return classifier.ShortBody
	}
	return classifier.OK
}
