package sequencer

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxWaiting and maxWaitingBytes bound the requests that wait, which are looked through at
	// each decision, and their memory.
	maxWaiting      = 256
	maxWaitingBytes = 8 << 20
	// minRetryAfter and maxRetryAfter bound the Retry-After of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// calmExcess is how much work beyond the limit, relative to it, is admitted before requests
	// begin to wait, so that a few queries at a time don't.
	calmExcess = 0.5
	// minTimer keeps the timer from firing again at once.
	minTimer = time.Millisecond
	// A kind's expected time follows shorter times by fallWeight and longer ones by riseWeight,
	// so that it is about the time without contention. At most maxKinds are remembered.
	fallWeight = 0.2
	riseWeight = 0.02
	maxKinds   = 1024
)

// waiter is a request that waits.
type waiter struct {
	Request

	since time.Time
	// flow is that in the order, own that in the tallies.
	flow, own flow
	start     float64
	seq       uint64
	// arriving is true until the request has once been kept.
	arriving bool
}

func (w *waiter) compare(other *waiter) int {
	return cmp.Or(w.flow.rank.Compare(other.flow.rank), cmp.Compare(w.start, other.start), cmp.Compare(w.seq, other.seq))
}

// running is an admitted request.
type running struct {
	work  float64
	kind  string
	since time.Time
}

// Machine decides on the admission of requests at one host. It is not safe for concurrent use.
type Machine struct {
	cfg     Config
	load    load
	running map[uint64]running
	// waiting is in the order of admission.
	waiting []*waiter
	bytes   int
	shares  shares
	// short is true while requests wait or have lately waited; waitedAt is when any did.
	short    bool
	waitedAt time.Time
	// promised is the work of refused requests that were told to come back, at promisedAt.
	promised   float64
	promisedAt time.Time
	// expected has the time that requests of a kind take.
	expected map[string]time.Duration
	seq      uint64
}

// New returns a machine for an idle host.
func New(cfg Config) *Machine {
	return &Machine{
		cfg: cfg, load: load{cfg: cfg, pace: 1}, running: make(map[uint64]running), expected: make(map[string]time.Duration),
	}
}

// Pass admits a request if the host has room and none waits; otherwise nothing has changed and
// Arrive is to be called.
func (m *Machine) Pass(now time.Time, r Request) bool {
	m.load.advance(now)
	m.short = m.Short(now)
	allowed := 0.0
	if !m.short {
		allowed = calmExcess * m.load.limit()
	}
	if len(m.waiting) > 0 || m.load.excess() >= allowed {
		return false
	}
	if m.short {
		m.shares.record(now, r.Rank, r.Work)
		f := flow{r.Rank, r.Organisation}
		m.shares.dequeue(f, m.shares.enqueue(f, r.Work))
		m.shares.count(f, 1, 0)
	}
	m.start(now, r)
	return true
}

// Arrive takes a request that has not passed. The decisions, which may concern other requests,
// are those that it causes; without one on this request, it waits.
func (m *Machine) Arrive(now time.Time, r Request) []Decision {
	if !m.short {
		m.short = true
		m.shares.reset()
	}
	m.shares.fade(now)
	m.seq++
	m.shares.record(now, r.Rank, r.Work)
	own := flow{r.Rank, r.Organisation}
	w := &waiter{Request: r, since: now, flow: own, own: own, seq: m.seq, arriving: true}
	if m.shares.starved(own) {
		w.flow.rank = first
	}
	// A waiting request counts as served until it is refused.
	m.shares.count(own, 1, 0)
	w.start = m.shares.enqueue(w.flow, r.Work)
	i, _ := slices.BinarySearchFunc(m.waiting, w, (*waiter).compare)
	m.waiting = slices.Insert(m.waiting, i, w)
	m.bytes += r.Bytes
	decisions := m.Tick(now)
	w.arriving = false
	return decisions
}

// Charge records work that needs no admission: that of another host's request, or what an
// admitted request needs in addition. Leave is to be called with the same ID.
func (m *Machine) Charge(now time.Time, id uint64, work float64) {
	run := m.running[id]
	run.work += work
	m.running[id] = run
	m.load.add(now, work)
}

// Leave records the end of a request, admitted or not.
func (m *Machine) Leave(now time.Time, id uint64) []Decision {
	run, ok := m.running[id]
	if ok {
		delete(m.running, id)
		m.load.end(now, run.work)
		m.learn(run.kind, now.Sub(run.since))
		return m.Tick(now)
	}
	i := slices.IndexFunc(m.waiting, func(w *waiter) bool { return w.ID == id })
	if i < 0 {
		return nil
	}
	w := m.waiting[i]
	m.remove(i)
	m.shares.count(w.own, -1, 0)
	return m.Tick(now)
}

// Lag records how late a timer of the host was, regularly.
func (m *Machine) Lag(now time.Time, late time.Duration) []Decision {
	m.load.sample(now, late, len(m.waiting) > 0)
	return m.Tick(now)
}

// Tick admits the requests for which there is room, and refuses those for which there won't be
// any in time.
func (m *Machine) Tick(now time.Time) []Decision {
	if len(m.waiting) == 0 {
		return nil
	}
	m.waitedAt = now
	m.load.advance(now)
	var decisions []Decision
	for len(m.waiting) > 0 && m.load.excess() < 0 {
		w := m.waiting[0]
		if m.tooLate(now, w, 0) {
			decisions = append(decisions, m.refuse(now, 0, 0))
			continue
		}
		m.take(0)
		m.shares.dequeue(w.flow, w.start)
		m.start(now, w.Request)
		decisions = append(decisions, m.decision(now, w, Decision{Admitted: true}))
	}
	return append(decisions, m.shed(now)...)
}

// shed refuses the waiting requests that can't end in time behind those that go before them.
func (m *Machine) shed(now time.Time) []Decision {
	var decisions []Decision
	ahead := m.load.excess()
	for i := 0; i < len(m.waiting); {
		w := m.waiting[i]
		wait := m.load.timeFor(ahead)
		if w.arriving {
			// It is better refused at once than after it has waited.
			wait = m.load.timeBeside(ahead, m.shares.workBefore(now, w.flow.rank))
		}
		if m.tooLate(now, w, wait) {
			decisions = append(decisions, m.refuse(now, i, wait))
			continue
		}
		ahead += w.Work
		i++
	}
	for len(m.waiting) > maxWaiting || m.bytes > maxWaitingBytes {
		last := len(m.waiting) - 1
		d := m.refuse(now, last, m.load.timeFor(ahead))
		d.Reason = Full
		decisions = append(decisions, d)
	}
	return decisions
}

// latestStart returns when a request has to be admitted to end in time.
func (m *Machine) latestStart(w *waiter) time.Time {
	expected := m.expected[w.Kind]
	// A kind that is never faster than its objective is held to what it usually takes.
	latest := w.Received.Add(max(w.Objective, expected))
	if w.Expires.Before(latest) {
		latest = w.Expires
	}
	return latest.Add(-expected)
}

func (m *Machine) tooLate(now time.Time, w *waiter, wait time.Duration) bool {
	return now.Add(wait).After(m.latestStart(w))
}

// refuse refuses the request at a place in the order, which would have to wait some time on.
func (m *Machine) refuse(now time.Time, i int, wait time.Duration) Decision {
	w := m.waiting[i]
	m.remove(i)
	m.shares.count(w.own, -1, 1)
	reason := Displaced
	if w.arriving {
		reason = Late
	}
	return m.decision(now, w, Decision{Reason: reason, Expected: wait, RetryAfter: m.promise(now, w.Work)})
}

// promise returns when a refused request may find room: after those that wait and those that
// were told to come back before.
func (m *Machine) promise(now time.Time, work float64) time.Duration {
	if now.After(m.promisedAt) {
		m.promised = max(m.promised-m.load.rate()*now.Sub(m.promisedAt).Seconds(), 0)
		m.promisedAt = now
	}
	ahead := max(m.load.excess(), 0) + m.promised
	for _, w := range m.waiting {
		ahead += w.Work
	}
	m.promised = min(m.promised+work, m.load.rate()*maxRetryAfter.Seconds())
	return min(max(m.load.timeFor(ahead), minRetryAfter), maxRetryAfter)
}

// take takes a request out of those that wait.
func (m *Machine) take(i int) *waiter {
	w := m.waiting[i]
	m.waiting = slices.Delete(m.waiting, i, i+1)
	m.bytes -= w.Bytes
	return w
}

// remove removes a waiting request as if it had never come: the later ones of its flow move up.
func (m *Machine) remove(i int) {
	w := m.take(i)
	m.shares.ends[w.flow] -= w.Work
	moved := false
	for _, other := range m.waiting[i:] {
		if other.flow == w.flow {
			other.start -= w.Work
			moved = true
		}
	}
	if moved {
		slices.SortFunc(m.waiting, (*waiter).compare)
	}
}

func (m *Machine) start(now time.Time, r Request) {
	m.running[r.ID] = running{work: r.Work, kind: r.Kind, since: now}
	m.load.add(now, r.Work)
}

func (m *Machine) decision(now time.Time, w *waiter, d Decision) Decision {
	d.Request, d.Waited, d.State = w.Request, now.Sub(w.since), m.State(now)
	return d
}

// learn records how long a request of a kind has taken.
func (m *Machine) learn(kind string, took time.Duration) {
	if kind == "" {
		return
	}
	expected, ok := m.expected[kind]
	if !ok && len(m.expected) >= maxKinds {
		clear(m.expected)
	}
	weight := riseWeight
	switch {
	case !ok:
		expected = took
	case took < expected:
		weight = fallWeight
	}
	m.expected[kind] = expected + time.Duration(weight*float64(took-expected))
}

// NextTimer returns when Tick is to be called, and false if no request waits.
func (m *Machine) NextTimer(now time.Time) (time.Time, bool) {
	if len(m.waiting) == 0 {
		return time.Time{}, false
	}
	next := now.Add(m.load.timeFor(m.load.excess()))
	for _, w := range m.waiting {
		latest := m.latestStart(w)
		if latest.Before(next) {
			next = latest
		}
	}
	return maxTime(next, now.Add(minTimer)), true
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Short reports whether requests wait or have lately waited.
func (m *Machine) Short(now time.Time) bool { return m.short && now.Sub(m.waitedAt) <= calmTime }

// State returns what the machine's decisions depend on.
func (m *Machine) State(now time.Time) State {
	m.load.advance(now)
	return State{Waiting: len(m.waiting), Load: m.load.timeFor(m.load.left()), Lag: m.load.lag, Pace: m.load.pace}
}

// Reconfigure replaces the parameters.
func (m *Machine) Reconfigure(now time.Time, cfg Config) {
	m.load.advance(now)
	m.cfg, m.load.cfg = cfg, cfg
}
