package dispatcher

import "time"

// waitReason is what a sub-request without a server waits for: nothing, a free slot
// or the end of a pause.
type waitReason int

const (
	waitNone waitReason = iota
	waitSlot
	waitPause
)

// choose returns the replica for the next attempt of a sub-request, or
// noServer and what to wait for.
func (m *Machine) choose(now time.Time, g *group, sub *subRequest) (choice int, wait waitReason) {
	replicas := m.replicas.Replicas(g.layout, sub.shard)
	if len(replicas) == 0 {
		return noServer, waitNone
	}
	if m.cfg.Selection == SelectRoundRobin {
		return m.roundRobin(replicas, sub), waitNone
	}
	choice = m.leastLoaded(now, g, sub, false)
	if choice == noServer {
		// Ejection must not leave a shard without servers: if no replica is
		// available and none is paused, ejected and already attempted ones are
		// used again.
		return m.chooseFallback(now, g, sub)
	}
	if m.queued(g) && !m.server(choice).hasSlot() {
		return noServer, waitSlot
	}
	return choice, waitNone
}

func (m *Machine) roundRobin(replicas []int, sub *subRequest) int {
	for len(m.rotation) <= sub.shard {
		m.rotation = append(m.rotation, 0)
	}
	m.rotation[sub.shard]++
	return replicas[m.rotation[sub.shard]%len(replicas)]
}

// chooseFallback chooses among all replicas, ejected and already attempted ones
// included, or returns waitPause if one is paused.
func (m *Machine) chooseFallback(now time.Time, g *group, sub *subRequest) (choice int, wait waitReason) {
	for _, i := range m.replicas.Replicas(g.layout, sub.shard) {
		if now.Before(m.server(i).pausedUntil) {
			return noServer, waitPause
		}
	}
	choice = m.leastLoaded(now, g, sub, true)
	if m.queued(g) && choice != noServer && !m.server(choice).hasSlot() {
		return noServer, waitSlot
	}
	return choice, waitNone
}

// leastLoaded returns the replica of least cost, or noServer. Unless includeUnavailable
// is set, it skips replicas that are ejected or paused. If there is more than one replica,
// it also skips those with an outstanding attempt of the sub-request and, unless
// includeUnavailable is set, those attempted before.
func (m *Machine) leastLoaded(now time.Time, g *group, sub *subRequest, includeUnavailable bool) int {
	replicas := m.replicas.Replicas(g.layout, sub.shard)
	typical := m.typicalLatency(replicas)
	best, bestCost := noServer, 0.0
	start := 0
	if len(replicas) > 1 {
		start = m.random.IntN(len(replicas))
	}
	for n := range replicas {
		i := replicas[(start+n)%len(replicas)]
		s := m.server(i)
		if !includeUnavailable && (!s.available(now) || (len(replicas) > 1 && sub.hasAttempted(i))) {
			continue
		}
		// A hedge may go to the same server if it is the only replica: the
		// cause of a delay often affects one request but not the next.
		if len(replicas) > 1 && sub.isOutstandingAt(m, i) {
			continue
		}
		cost := m.cost(now, s, g, sub, typical)
		if best == noServer || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// cost ranks a replica by its load and latency. If sub-requests queue here, the
// time in the queue counts too, since waiting for a fast server can be quicker
// than a free slot of a slow one.
func (m *Machine) cost(now time.Time, s *server, g *group, sub *subRequest, typical float64) float64 {
	if m.queued(g) {
		return s.queuedCost(now, typical, m.queue(sub.shard).waiting())
	}
	return s.cost(now, typical, !m.cfg.IgnoreLoadReports)
}

// typicalLatency returns the mean latency of the replicas that have answered, in
// nanoseconds, or 0 if none has.
func (m *Machine) typicalLatency(replicas []int) float64 {
	sum, n := 0.0, 0
	for _, i := range replicas {
		s := m.server(i)
		if s.answers > 0 {
			sum += s.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

func (sub *subRequest) hasAttempted(server int) bool {
	for _, attempted := range sub.attempted[:sub.attempts] {
		if attempted == server {
			return true
		}
	}
	return false
}

func (sub *subRequest) isOutstandingAt(m *Machine, server int) bool {
	for _, attemptID := range sub.outstandingIDs[:sub.outstanding] {
		a := m.attempts.Get(attemptID)
		if a != nil && a.server == server {
			return true
		}
	}
	return false
}
