package dispatcher

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// hedgeRecheckInterval is the interval at which a due hedge is checked again
// when it had no server or budget, or when hedging was not allowed.
const hedgeRecheckInterval = time.Millisecond

// schedule sets the timer of a group to its deadline or the earliest hedge or
// retry of its sub-requests.
func (m *Machine) schedule(now time.Time, g *group) {
	if m.group(g.id) != g {
		return
	}
	next := g.deadline
	for _, id := range g.outstanding {
		sub := m.subRequests.Get(id)
		next = earliest(next, sub.hedgeAt)
		next = earliest(next, sub.retryAt)
	}
	if !next.After(now) {
		next = now.Add(hedgeRecheckInterval)
	}
	m.timers.Set(&g.timer, next)
}

// earliest returns the earlier of two times, ignoring a zero candidate.
func earliest(t, candidate time.Time) time.Time {
	if candidate.IsZero() || t.Before(candidate) {
		return t
	}
	return candidate
}

func (m *Machine) timerFired(now time.Time) {
	for timer := m.timers.Due(now); timer != nil; timer = m.timers.Due(now) {
		g := timer.Owner
		if !now.Before(g.deadline) {
			m.expire(now, g)
			continue
		}
		m.retryDeferred(now, g)
		m.hedgeDue(now, g)
		m.schedule(now, g)
	}
}

// expire settles all outstanding shards of a group whose deadline has passed.
func (m *Machine) expire(now time.Time, g *group) {
	for i := len(g.outstanding) - 1; i >= 0; i-- {
		m.settle(now, g, g.outstanding[i], 0, classifier.DeadlineExceeded)
	}
}

func (m *Machine) retryDeferred(now time.Time, g *group) {
	for i := len(g.outstanding) - 1; i >= 0; i-- {
		sub := m.subRequests.Get(g.outstanding[i])
		if sub.retryAt.IsZero() || sub.retryAt.After(now) {
			continue
		}
		sub.retryAt = time.Time{}
		m.start(now, g, g.outstanding[i])
	}
}

// hedgeRemaining hedges the last outstanding shards of a group, if due, as soon as
// their number is within MaxOutstandingFraction.
func (m *Machine) hedgeRemaining(now time.Time, g *group) {
	if len(g.outstanding) == 0 || g.timer.At().After(now) {
		return
	}
	m.hedgeDue(now, g)
	m.schedule(now, g)
}

func (m *Machine) hedgeDue(now time.Time, g *group) {
	if !m.hedgingAllowed(g) {
		return
	}
	for _, id := range g.outstanding {
		m.hedge(now, g, id)
	}
}

// hedgingAllowed reports whether the state of the service and of the group allows
// hedges. When sub-requests queue here, a late one is known to be running, not
// waiting at its server; its hedge then helps to free a slot, even under overload.
func (m *Machine) hedgingAllowed(g *group) bool {
	if m.cfg.HedgeRatio <= 0 {
		return false
	}
	if m.queued(g) {
		return true
	}
	return !m.overloaded && float64(len(g.outstanding)) <= max(1, m.cfg.MaxOutstandingFraction*float64(g.total))
}

func (m *Machine) hedge(now time.Time, g *group, id uint64) {
	sub := m.subRequests.Get(id)
	due := !sub.hedgeAt.IsZero() && !sub.hedgeAt.After(now)
	if !due || sub.outstanding != 1 || sub.attempts >= maxAttempts {
		return
	}
	choice := m.leastLoaded(now, g, sub, false)
	if choice == noServer || !m.hedger.Spend() {
		sub.hedgeAt = now.Add(hedgeRecheckInterval)
		return
	}
	if m.queued(g) && !m.server(choice).hasSlot() {
		sub.hedgeAt = time.Time{}
		m.enqueueHedge(sub.shard, id)
		return
	}
	m.send(now, g, id, choice, true)
}
