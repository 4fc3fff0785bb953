package dispatcher

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
)

// queue holds the sub-requests of a shard that wait for a free slot: first
// those that wait to be hedged, then the others in order of arrival.
type queue struct {
	hedges      []uint64
	subRequests []uint64
}

func (q *queue) waiting() int {
	return len(q.hedges) + len(q.subRequests)
}

func (m *Machine) queue(shard int) *queue {
	for len(m.queues) <= shard {
		m.queues = append(m.queues, queue{})
	}
	return &m.queues[shard]
}

// wait estimates the time that a new sub-request to a shard would wait for a slot.
func (m *Machine) wait(layout planner.Layout, shard int) time.Duration {
	if !m.cfg.Queued {
		return 0
	}
	rate := m.slotRate(layout, shard)
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(m.queue(shard).waiting()) / rate * float64(time.Second))
}

// isFull reports whether the wait of a new sub-request to a shard would exceed MaxWait.
func (m *Machine) isFull(layout planner.Layout, shard int) bool {
	return m.cfg.MaxWait > 0 && m.wait(layout, shard) > m.cfg.MaxWait
}

func (m *Machine) enqueue(shard int, id uint64) {
	q := m.queue(shard)
	q.subRequests = append(q.subRequests, id)
	m.subRequests.Get(id).queued = true
}

func (m *Machine) enqueueHedge(shard int, id uint64) {
	q := m.queue(shard)
	q.hedges = append(q.hedges, id)
}

// dispatchQueued starts queued sub-requests of the shards of a server that may have a free slot.
func (m *Machine) dispatchQueued(now time.Time, server int) {
	if !m.cfg.Queued {
		return
	}
	for _, shard := range m.server(server).shards {
		m.dispatchShard(now, shard)
	}
}

func (m *Machine) dispatchShard(now time.Time, shard int) {
	q := m.queue(shard)
	q.hedges = m.dispatchList(now, q.hedges, true)
	if len(q.hedges) > 0 {
		return
	}
	q.subRequests = m.dispatchList(now, q.subRequests, false)
}

// dispatchList starts sub-requests from the head of a list until one finds no
// free slot, and returns the rest.
func (m *Machine) dispatchList(now time.Time, list []uint64, hedge bool) []uint64 {
	started := 0
	for _, id := range list {
		if !m.dispatchOne(now, id, hedge) {
			break
		}
		started++
	}
	rest := copy(list, list[started:])
	return list[:rest]
}

// dispatchOne starts a queued sub-request or, if it has ended or no longer needs
// its hedge, drops it. It returns false if the sub-request must stay queued.
func (m *Machine) dispatchOne(now time.Time, id uint64, hedge bool) bool {
	sub := m.subRequests.Get(id)
	if sub == nil || (hedge && sub.outstanding != 1) {
		return true
	}
	g := m.group(sub.group)
	choice, wait := m.choose(now, g, sub)
	if wait == waitSlot {
		return false
	}
	sub.queued = false
	switch {
	case choice != noServer:
		m.send(now, g, id, choice, hedge)
	case !hedge:
		m.start(now, g, id)
	}
	m.schedule(now, g)
	return true
}
