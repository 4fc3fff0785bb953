package forwarder

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/sequencer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// exchangeWork is the work of reading a caller's request and writing its answer, in sub-requests.
const exchangeWork = 2

// turns admits callers' requests in the order that a sequencer decides.
type turns struct {
	log     *logger.Logger
	metrics *counters

	// mu guards the fields below.
	mu      sync.Mutex
	machine *sequencer.Machine
	// waiters has the channel for the decision on each request that waits.
	waiters map[uint64]chan sequencer.Decision
	timer   *time.Timer
	// shortSince is when the host became short of room, zero while it is not; admitted and
	// refused count the requests that waited, or were refused, since then.
	shortSince        time.Time
	admitted, refused int
}

func newTurns(cfg sequencer.Config, log *logger.Logger, metrics *counters) *turns {
	t := &turns{log: log, metrics: metrics, machine: sequencer.New(cfg), waiters: make(map[uint64]chan sequencer.Decision)}
	t.timer = time.AfterFunc(time.Hour, func() { t.step((*sequencer.Machine).Tick) })
	return t
}

// step passes an event to the machine and delivers its decisions.
func (t *turns) step(event func(m *sequencer.Machine, now time.Time) []sequencer.Decision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deliver(event(t.machine, time.Now()))
}

// deliver hands decisions to those that wait for them. The caller holds t.mu.
func (t *turns) deliver(decisions []sequencer.Decision) {
	for _, d := range decisions {
		t.metrics.sequenced(d)
		if d.Admitted {
			t.admitted++
		} else {
			t.refused++
		}
		decided, ok := t.waiters[d.ID]
		if ok {
			decided <- d
			delete(t.waiters, d.ID)
		}
	}
	at, ok := t.machine.NextTimer(time.Now())
	if ok {
		t.timer.Reset(time.Until(at))
	}
}

// arrive admits a request at once and returns nil, or returns the channel for the decision on it.
func (t *turns) arrive(r sequencer.Request, call Call) chan sequencer.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if t.machine.Pass(now, r) {
		return nil
	}
	if t.shortSince.IsZero() {
		t.shortSince, t.admitted, t.refused = now, 0, 0
		t.log.Warn(logger.RoomShort, "request", call.ID, "rank", r.Rank, "kind", r.Kind, "work", r.Work, "state", t.machine.State(now))
	}
	decided := make(chan sequencer.Decision, 1)
	t.waiters[r.ID] = decided
	t.deliver(t.machine.Arrive(now, r))
	return decided
}

// leave ends a request that was admitted, or that waits.
func (t *turns) leave(id uint64) {
	t.step(func(m *sequencer.Machine, now time.Time) []sequencer.Decision {
		delete(t.waiters, id)
		return m.Leave(now, id)
	})
}

// charge adds work that needs no admission.
func (t *turns) charge(id uint64, work float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.machine.Charge(time.Now(), id, work)
}

// lag records how late a timer of this host was.
func (t *turns) lag(late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	t.deliver(t.machine.Lag(now, late))
	if !t.shortSince.IsZero() && !t.machine.Short(now) {
		t.log.Warn(logger.RoomRegained, "shortMillis", now.Sub(t.shortSince).Milliseconds(), "admittedAfterWaiting", t.admitted,
			"refused", t.refused, "state", t.machine.State(now))
		t.shortSince = time.Time{}
	}
}

func (t *turns) state() sequencer.State {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.machine.State(time.Now())
}

func (t *turns) reconfigure(cfg sequencer.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.machine.Reconfigure(time.Now(), cfg)
}

// sequences reports whether requests wait for their turn while the host is short of room.
func (f *Forwarder) sequences() bool {
	table := f.table.Load()
	return table != nil && f.settings.Load().Policy.sequences(table)
}

// awaitTurn waits until the host has room for a request, or returns why it is refused.
func (f *Forwarder) awaitTurn(ctx context.Context, a *arrival) *classifier.Failure {
	if !f.sequences() {
		return nil
	}
	a.work = exchangeWork + float64(a.route.SubRequests())
	if f.delegates(a.route) {
		a.work = exchangeWork + 1
	}
	decided := f.turns.arrive(sequencing(a), a.call)
	if decided == nil {
		return nil
	}
	select {
	case d := <-decided:
		if !d.Admitted {
			a.work = 0
			return classifier.NewFailure(classifier.NoRoom, "%v", d).WithRetryAfter(d.RetryAfter)
		}
		if d.Waited > 0 {
			a.objectiveSpent = time.Since(a.received)
			a.call.Remaining = min(a.call.Remaining, a.route.Timeout) - a.objectiveSpent
		}
		return nil
	case <-ctx.Done():
		f.endTurn(a)
		return classifier.NewFailure(classifier.Canceled, "the caller has left while its request waited")
	case <-f.ending.Done():
		f.endTurn(a)
		return classifier.NewFailure(classifier.Stopping, "").WithRetryAfter(stopRetryAfter)
	}
}

// sequencing returns a caller's request as the sequencer sees it.
func sequencing(a *arrival) sequencer.Request {
	left := min(a.call.Remaining, a.route.Timeout)
	r := sequencer.Request{
		ID: a.id, Rank: sequencer.Rank{Organisation: a.route.Priority, Route: a.route.Priority}, Kind: a.route.Name,
		Work: a.work, Bytes: len(a.outbound.body), Received: a.received, Expires: a.received.Add(left),
		// A route without an objective has only its timeout.
		Objective: cmp.Or(a.route.Objective, left),
	}
	if a.organisation != nil {
		r.Organisation, r.Rank.Organisation = a.organisation.Name, a.organisation.Priority
	}
	return r
}

// chargeWork records the work of a request that this host gathers, if it was not admitted with
// it: that of another host's request, and of a query that no gathering host has taken.
func (f *Forwarder) chargeWork(a *arrival) {
	if !f.sequences() {
		return
	}
	work := exchangeWork + float64(a.route.SubRequests())
	if work > a.work {
		f.turns.charge(a.id, work-a.work)
		a.work = work
	}
}

// endTurn frees the room of a request; it does nothing for one without a turn.
func (f *Forwarder) endTurn(a *arrival) {
	if a.work > 0 {
		f.turns.leave(a.id)
		a.work = 0
	}
}

// delegates reports whether queries of a route are gathered by other hosts.
func (f *Forwarder) delegates(route *matcher.Route) bool {
	connections, sharded := f.connections(route)
	if !sharded {
		return false
	}
	d := f.delegate
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.plan(f.self(), connections).Direct
}
