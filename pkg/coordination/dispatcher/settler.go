package dispatcher

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

func (m *Machine) answered(now time.Time, e *Answered) {
	a := m.attempts.Get(e.Attempt)
	if a == nil {
		return
	}
	latency := now.Sub(a.sent)
	id, server := a.subRequest, a.server
	m.server(server).recordAnswer(now, latency)
	m.endAttempt(e.Attempt, server)
	sub := m.subRequests.Get(id)
	if sub != nil {
		m.hedger.ObserveLatency(sub.shard, latency)
		g := m.group(sub.group)
		m.settle(now, g, id, e.Attempt, classifier.OK)
		m.hedgeRemaining(now, g)
	}
	m.dispatchQueued(now, server)
}

// endAttempt frees the record of an attempt and its slot at the server.
func (m *Machine) endAttempt(attemptID uint64, server int) {
	m.attempts.Free(attemptID)
	m.server(server).inFlight--
}

func (m *Machine) failed(now time.Time, e *Failed) {
	a := m.attempts.Get(e.Attempt)
	if a == nil {
		return
	}
	id, server, canceled := a.subRequest, a.server, a.canceled
	m.endAttempt(e.Attempt, server)
	if !canceled {
		m.recordFailure(now, server, e)
	}
	sub := m.subRequests.Get(id)
	if sub != nil {
		sub.removeAttempt(e.Attempt)
		sub.lastCode = classifier.WeakerGuarantee(sub.lastCode, e.Code)
		m.retryOrSettle(now, id, e.Code)
	}
	m.dispatchQueued(now, server)
}

func (m *Machine) recordFailure(now time.Time, server int, e *Failed) {
	s := m.server(server)
	switch e.Code {
	case classifier.SnapshotGone, classifier.Canceled, classifier.ConnectionQuota:
	case classifier.ServerRejected, classifier.ServerDraining:
		s.pause(now, e.RetryAfter)
	default:
		s.recordFailure(now)
	}
}

func (sub *subRequest) removeAttempt(attemptID uint64) {
	for i := range sub.outstanding {
		if sub.outstandingIDs[i] == attemptID {
			sub.outstanding--
			sub.outstandingIDs[i] = sub.outstandingIDs[sub.outstanding]
			return
		}
	}
}

// retryOrSettle retries a sub-request whose last outstanding attempt has failed,
// or settles it if attempts, time or the retry budget are used up. A retry after
// SnapshotGone takes nothing from the budget.
func (m *Machine) retryOrSettle(now time.Time, id uint64, code classifier.Code) {
	sub := m.subRequests.Get(id)
	if sub.outstanding > 0 || sub.queued {
		return
	}
	g := m.group(sub.group)
	if sub.attempts >= maxAttempts || !now.Before(g.deadline) {
		m.settle(now, g, id, 0, sub.lastCode)
		return
	}
	if code != classifier.SnapshotGone && !m.retries.Spend() {
		m.settle(now, g, id, 0, classifier.RetryBudgetUsed)
		return
	}
	m.start(now, g, id)
	m.schedule(now, g)
}

// settle ends a sub-request and cancels its outstanding attempts except the winner,
// the attempt that answered, which is 0 if none did.
func (m *Machine) settle(now time.Time, g *group, id, winner uint64, code classifier.Code) {
	sub := m.subRequests.Get(id)
	m.out.settle(Settle{
		Group: g.id, Shard: sub.shard, Attempt: winner, Code: code, Wait: m.wait(g.layout, sub.shard),
		Load: m.load(now, g.layout, sub.shard),
	})
	m.cancelAttempts(now, sub, winner)
	m.removeSubRequest(g, id, sub)
	if len(g.outstanding) == 0 {
		m.removeGroup(g)
	}
}

func (m *Machine) cancelAttempts(now time.Time, sub *subRequest, winner uint64) {
	for _, attemptID := range sub.outstandingIDs[:sub.outstanding] {
		a := m.attempts.Get(attemptID)
		if attemptID == winner || a == nil {
			continue
		}
		a.canceled = true
		m.hedger.ObserveLatency(sub.shard, now.Sub(a.sent))
		m.server(a.server).recordCanceled(now, now.Sub(a.sent))
		m.out.cancel(Cancel{Attempt: attemptID})
	}
}

func (m *Machine) removeSubRequest(g *group, id uint64, sub *subRequest) {
	last := len(g.outstanding) - 1
	moved := g.outstanding[last]
	g.outstanding[sub.position] = moved
	m.subRequests.Get(moved).position = sub.position
	g.outstanding = g.outstanding[:last]
	m.subRequests.Free(id)
}

func (m *Machine) removeGroup(g *group) {
	slot := m.byID[g.id]
	delete(m.byID, g.id)
	m.groups.Free(slot)
	m.timers.Clear(&g.timer)
	m.freeGroups = append(m.freeGroups, g)
}

// cancelGroup cancels all attempts of a group without settling its shards. Their
// slots become free when the canceled attempts are reported as ended.
func (m *Machine) cancelGroup(id uint64) {
	g := m.group(id)
	if g == nil {
		return
	}
	for _, subRequestID := range g.outstanding {
		sub := m.subRequests.Get(subRequestID)
		for _, attemptID := range sub.outstandingIDs[:sub.outstanding] {
			a := m.attempts.Get(attemptID)
			a.canceled = true
			m.out.cancel(Cancel{Attempt: attemptID})
		}
		m.subRequests.Free(subRequestID)
	}
	m.removeGroup(g)
}
