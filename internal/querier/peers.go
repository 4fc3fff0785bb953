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
	// Own returns the name of this entry, Names the names of the others.
	Own() string
	Names() []string
	// Ask requests shards from the owner at index peer of Names. It calls
	// receive for each message, the acknowledgement first, until all shards are
	// settled.
	Ask(ctx context.Context, peer int, request PeerAsk, receive func(PeerAnswer)) error
}

// PeerAsk is a request to an owner for shards of one query.
type PeerAsk struct {
	RequestID string
	Snapshot  uint64
	// ShardCount is the number of shards of the snapshot; Shards are the
	// requested ones.
	ShardCount int
	Shards     []int
	Query      json.RawMessage
	Deadline   time.Time
	// Weight is the number of queries that this one represents in the load
	// measurement of the owner.
	Weight int
}

// PeerAnswer is one message from an owner: an acknowledgement or a settled shard.
type PeerAnswer struct {
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
// owns. It calls send with the acknowledgement first and then with each settled
// shard, and returns when all shards are settled or the context ends.
func (e *Engine) ServePeer(ctx context.Context, request PeerAsk, send func(PeerAnswer) error) error {
	stream := &peerStream{results: make(chan PeerAnswer, len(request.Shards))}
	b := &batch{
		requester: stream, requestID: request.RequestID, query: request.Query,
		layout: planner.Layout{Snapshot: request.Snapshot, Shards: request.ShardCount},
		shards: request.Shards, deadline: request.Deadline, weight: request.Weight,
	}
	if !e.ring.TryPush(&peerRequested{batch: b}) {
		return classifier.NewFailure(classifier.Overloaded, "event ring is full")
	}
	err := send(PeerAnswer{Acknowledged: true})
	keepalive := time.NewTicker(keepaliveInterval)
	defer keepalive.Stop()
	for outstanding := len(request.Shards); outstanding > 0 && err == nil; {
		select {
		case answer := <-stream.results:
			outstanding--
			err = send(answer)
		case <-keepalive.C:
			err = send(PeerAnswer{Acknowledged: true})
		case <-ctx.Done():
			err = ctx.Err()
		case <-e.loopDone:
			return classifier.NewFailure(classifier.Stopping, "")
		}
	}
	if err != nil {
		_ = e.ring.Push(e.ctx, &peerCanceled{batch: b})
	}
	return err
}

// requestFromPeer requests shards of an execution from their owner.
func (e *Engine) requestFromPeer(x *execution, a router.Assign) {
	request := PeerAsk{
		RequestID: x.pending.request.RequestID, Snapshot: x.layout.Snapshot, ShardCount: x.layout.Shards,
		Shards: a.Shards, Query: x.pending.request.Query, Deadline: x.pending.request.Deadline,
		Weight: x.weight,
	}
	e.workers.Go(func() {
		err := e.cfg.Peers.Ask(x.ctx, a.Peer, request, func(answer PeerAnswer) {
			_ = e.ring.Push(e.ctx, &peerResponded{group: a.Group, peer: a.Peer, answer: answer})
		})
		if err != nil && x.ctx.Err() == nil {
			_ = e.ring.Push(e.ctx, &peerFailed{group: a.Group, peer: a.Peer})
		}
	})
}

// handlePeerResponse processes a message from an owner.
func (e *Engine) handlePeerResponse(now time.Time, ev *peerResponded) {
	x, ok := e.executions[ev.group]
	if !ok {
		return
	}
	if ev.answer.Acknowledged {
		e.stepRouter(now, &router.PeerAcknowledged{Group: ev.group, Peer: ev.peer})
		return
	}
	shard := ev.answer.Shard
	if shard < 0 || shard >= len(x.pending.answers) {
		return
	}
	e.stepRouter(now, &router.ShardSettled{Group: ev.group, Peer: ev.peer, Shard: shard})
	e.settleExecution(now, x, &settledShard{shard: shard, code: x.check(ev.answer), wait: ev.answer.Wait, load: ev.answer.Load, answer: ev.answer.Answer})
}

// check returns the result code of an owner's answer, or an error code if the
// answer belongs to another request, shard or snapshot or lacks rows.
func (x *execution) check(answer PeerAnswer) classifier.Code {
	if answer.Code != classifier.OK {
		return answer.Code
	}
	a := answer.Answer
	switch {
	case a == nil || a.RequestID != x.pending.request.RequestID:
		return classifier.EchoMismatch
	case a.Shard != answer.Shard || a.Snapshot != x.layout.Snapshot || a.Shards != x.layout.Shards:
		return classifier.EchoMismatch
	case a.RowCount != len(a.Rows):
		return classifier.ShortBody
	}
	return classifier.OK
}
