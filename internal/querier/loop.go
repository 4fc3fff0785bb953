package querier

import (
	"context"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/dispatcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/gatherer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/router"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

// loop passes events to the state machines one by one until the engine is closed.
func (e *Engine) loop() {
	defer close(e.loopDone)
	timer := time.NewTimer(refreshInterval)
	defer timer.Stop()
	nextRefresh := time.Now()
	for {
		now := time.Now()
		if !now.Before(nextRefresh) {
			e.refresh(now)
			nextRefresh = now.Add(refreshInterval)
		}
		timer.Reset(max(0, e.nextTimer(nextRefresh).Sub(now)))
		select {
		case ev := <-e.queue.Items():
			e.handle(time.Now(), ev)
		case <-timer.C:
			e.handleTimer(time.Now())
		case <-e.ctx.Done():
			return
		}
	}
}

// nextTimer returns the earliest of t and the timer deadlines of the state machines.
func (e *Engine) nextTimer(t time.Time) time.Time {
	t = earlier(t, e.dispatcher.NextTimer)
	t = earlier(t, e.gatherer.NextTimer)
	if e.router != nil {
		t = earlier(t, e.router.NextTimer)
	}
	return t
}

func earlier(t time.Time, deadline func() (time.Time, bool)) time.Time {
	at, ok := deadline()
	if ok && at.Before(t) {
		return at
	}
	return t
}

func (e *Engine) handleTimer(now time.Time) {
	e.stepDispatcher(now, &dispatcher.TimerFired{}, nil)
	e.stepGatherer(now, &gatherer.TimerFired{})
	e.stepRouter(now, &router.TimerFired{})
	e.settle(now)
}

func (e *Engine) handle(now time.Time, ev event) {
	switch ev := ev.(type) {
	case *queryArrived:
		e.handleQuery(now, ev.pending)
	case *callerDisconnected:
		e.stepGatherer(now, &gatherer.QueryAbandoned{Query: ev.pending.id})
		e.removePending(ev.pending.id)
	case *attemptAnswered:
		e.handleAnswer(now, ev)
	case *attemptFailed:
		e.handleFailure(now, ev)
	case *serverProbed:
		e.applyStatus(ev.server, ev.status, ev.at)
		e.stepDispatcher(now, &dispatcher.RoundTripMeasured{Server: ev.server, RoundTrip: now.Sub(ev.at)}, nil)
	case *serversListed:
		e.applyServerList(now, ev.servers)
	case *reconfigured:
		e.document = ev.document
		e.gatherer.Reconfigure(e.gathererConfig())
		e.stepDispatcher(now, &dispatcher.Reconfigured{Config: e.dispatcherConfig()}, nil)
	case *peerRequested:
		e.dispatch(ev.batch)
	case *peerCanceled:
		e.cancelBatch(ev.batch)
	case *peerResponded:
		e.handlePeerResponse(now, ev)
	case *peerFailed:
		e.stepRouter(now, &router.PeerFailed{Group: ev.group, Peer: ev.peer})
	case *statusRequested:
		ev.replies <- e.status()
	}
	e.settle(now)
}

func (e *Engine) handleQuery(now time.Time, p *pendingQuery) {
	e.lastQuery++
	p.id = e.lastQuery
	p.started = now
	e.pending[p.id] = p
	e.counters.Queries.Inc()
	e.stepGatherer(now, &gatherer.QueryArrived{
		Query: p.id, Caller: p.request.Caller, Class: p.request.Class, Deadline: p.request.Deadline,
	})
}

func (e *Engine) handleAnswer(now time.Time, ev *attemptAnswered) {
	delete(e.cancels, ev.attempt)
	e.applyStatus(ev.server, ev.answer.Server, now)
	e.stepDispatcher(now, &dispatcher.Answered{Attempt: ev.attempt}, ev.answer)
}

func (e *Engine) handleFailure(now time.Time, ev *attemptFailed) {
	delete(e.cancels, ev.attempt)
	if ev.failure.Code != classifier.Canceled {
		e.counters.Failures.Inc()
	}
	if ev.status != nil {
		e.applyStatus(ev.server, *ev.status, now)
	}
	if ev.failure.Code == classifier.SnapshotGone {
		e.planner.RemoveSnapshot(ev.server, ev.snapshot)
	}
	e.stepDispatcher(now, &dispatcher.Failed{
		Attempt: ev.attempt, Code: ev.failure.Code, RetryAfter: ev.failure.RetryAfter,
	}, nil)
}

// applyStatus passes the status that a server reported to the state machines. A
// status with another server ID is ignored.
func (e *Engine) applyStatus(server int, status messenger.ServerStatus, at time.Time) {
	if status.ID != e.servers.At(server).ID {
		return
	}
	e.drainer.ObserveStatus(server, status, at)
	e.planner.SetReportedHoldings(server, status.Incarnation, status.Holdings)
	e.planner.SetUsable(server, e.drainer.Usable(server, at))
	e.stepDispatcher(at, &dispatcher.LoadReported{
		Server: server, Running: status.Running, Waiting: status.Waiting,
	}, nil)
}

// applyServerList applies the list of backend servers from the store.
func (e *Engine) applyServerList(now time.Time, servers []messenger.Server) {
	present := make(map[int]bool, len(servers))
	for _, server := range servers {
		i := e.servers.Apply(server)
		present[i] = true
		e.drainer.Listed(i, server.Incarnation, server.State, now)
		e.planner.SetListedHoldings(i, server.Incarnation, server.Holdings)
		e.stepDispatcher(now, &dispatcher.ServerListed{Server: i, Slots: server.Slots}, nil)
	}
	for i := range e.servers.Len() {
		if !present[i] {
			e.drainer.Unlisted(i)
		}
	}
	e.refresh(now)
}

// refresh updates which servers are usable and sends the probes that are due.
func (e *Engine) refresh(now time.Time) {
	e.drainer.Refresh(now, e.planner.SetUsable)
	e.drainer.Probes(now, e.probe)
}

func (e *Engine) probe(server int) {
	target := e.servers.At(server)
	e.workers.Go(func() {
		ctx, cancel := context.WithTimeout(e.ctx, probeTimeout)
		defer cancel()
		sentAt := time.Now()
		status, err := e.cfg.Backend.Probe(ctx, target)
		if err != nil {
			return
		}
		_ = e.queue.Push(e.ctx, &serverProbed{server: server, status: status, at: sentAt})
	})
}

func (e *Engine) status() messenger.ServiceStatus {
	layout, _ := e.planner.Current()
	live := 0
	now := time.Now()
	for i := range e.servers.Len() {
		if e.drainer.Usable(i, now) {
			live++
		}
	}
	return messenger.ServiceStatus{
		Service: e.document.Service, Kind: string(e.document.Kind),
		Snapshot: layout.Snapshot, Shards: layout.Shards, ServersLive: live,
		InFlight: e.gatherer.Len(), Limit: e.gatherer.Limiter().Limit(),
	}
}

// stepDispatcher passes an event to the dispatcher and executes its actions. The
// answer is that of the sub-request which the event settles, or nil. Settled shards
// are copied for a later call of settle, because the dispatcher reuses its actions in
// the next step.
func (e *Engine) stepDispatcher(now time.Time, ev dispatcher.Event, answer *messenger.SubAnswer) {
	for _, action := range e.dispatcher.Step(now, ev) {
		switch a := action.(type) {
		case *dispatcher.Send:
			e.sendAttempt(a)
		case *dispatcher.Cancel:
			e.cancelAttempt(a.Attempt)
		case *dispatcher.Settle:
			e.settled = append(e.settled, settledShard{
				batch: a.Group, shard: a.Shard, code: a.Code, wait: a.Wait, load: a.Load, answer: answer,
			})
		}
	}
}

func (e *Engine) cancelAttempt(attempt uint64) {
	cancel, ok := e.cancels[attempt]
	if ok {
		cancel()
	}
}

func (e *Engine) stepGatherer(now time.Time, ev gatherer.Event) {
	for _, action := range e.gatherer.Step(now, ev) {
		switch a := action.(type) {
		case *gatherer.Scatter:
			e.execute(now, a)
		case *gatherer.CancelGroup:
			e.endExecution(a.Group)
		case *gatherer.Complete:
			e.complete(a)
		case *gatherer.Refuse:
			e.refuse(a)
		}
	}
}

// settle passes settled shards to their requesters and queued commands to the
// dispatcher until both queues are empty.
func (e *Engine) settle(now time.Time) {
	for len(e.settled) > 0 || len(e.commands) > 0 {
		settled := e.settled
		e.settled = nil
		for i := range settled {
			e.settleShard(now, &settled[i])
		}
		commands := e.commands
		e.commands = nil
		for _, command := range commands {
			e.stepDispatcher(now, command, nil)
		}
	}
}

func (e *Engine) settleShard(now time.Time, s *settledShard) {
	b, ok := e.batches[s.batch]
	if !ok {
		return
	}
	b.outstanding--
	if b.outstanding == 0 {
		delete(e.batches, s.batch)
	}
	switch r := b.requester.(type) {
	case *execution:
		e.settleExecution(now, r, s)
	case *peerStream:
		r.settle(s)
	}
}

// observe records the latency of a shard in the limiter. If the query went to the
// owners, it also records the load and the queue wait that the owner reported;
// otherwise the limiter gets the latency as that of the single shard too.
func (e *Engine) observe(now time.Time, x *execution, s *settledShard) {
	latency := now.Sub(x.started)
	limits := e.gatherer.Limiter()
	limits.ObserveLatency(now, latency)
	if x.weight > 0 {
		e.router.ObserveLoad(s.load)
		limits.ObserveWait(now, s.shard, s.wait)
		return
	}
	limits.ObserveShardLatency(now, s.shard, latency)
}

func (e *Engine) settleExecution(now time.Time, x *execution, s *settledShard) {
	if s.code == classifier.OK && x.pending.answers[s.shard] == nil {
		x.pending.answers[s.shard] = s.answer
		e.observe(now, x, s)
		e.dispatcher.SetOverloaded(e.gatherer.Limiter().Overloaded())
	}
	e.stepGatherer(now, &gatherer.ShardSettled{Group: x.group, Shard: s.shard, Code: s.code})
}
