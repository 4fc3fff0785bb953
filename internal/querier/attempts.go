package querier

import (
	"context"
	"errors"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/dispatcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/gatherer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

func (e *Engine) sendAttempt(a *dispatcher.Send) {
	b, ok := e.batches[a.Group]
	if !ok {
		// The batch was canceled in the same step; reporting the attempt as
		// canceled frees the slot of the server.
		e.commands = append(e.commands, &dispatcher.Failed{Attempt: a.Attempt, Code: classifier.Canceled})
		return
	}
	if a.Hedge {
		e.counters.Hedges.Inc()
	}
	e.counters.Sent.Inc()
	q := &messenger.SubQuery{
		RequestID: b.requestID, Attempt: a.Attempt, Service: e.document.Service,
		Snapshot: a.Layout.Snapshot, Shard: a.Shard, Shards: a.Layout.Shards, Query: b.query,
	}
	ctx, cancel := context.WithDeadline(e.ctx, a.Deadline)
	e.cancels[a.Attempt] = cancel
	server := a.Server
	target := e.servers.At(server)
	e.workers.Go(func() {
		defer cancel()
		e.runAttempt(ctx, server, target, q)
	})
}

// runAttempt sends a sub-query to a server, verifies the answer and queues the
// answer or the failure as an event for the loop goroutine.
func (e *Engine) runAttempt(ctx context.Context, server int, target messenger.Server, query *messenger.SubQuery) {
	answer, err := e.cfg.Backend.Search(ctx, target, query)
	if err == nil {
		failure := gatherer.Verify(query, answer)
		if failure == nil {
			_ = e.queue.Push(e.ctx, &attemptAnswered{attempt: query.Attempt, server: server, answer: answer})
			return
		}
		err = failure
	}
	failed := &attemptFailed{
		attempt: query.Attempt, server: server, snapshot: query.Snapshot,
		failure: classifier.FailureOf(err, classifier.ServerFailed),
	}
	var rejection *messenger.RejectionError
	if errors.As(err, &rejection) {
		failed.status = &rejection.Rejection.Server
	}
	_ = e.queue.Push(e.ctx, failed)
}
