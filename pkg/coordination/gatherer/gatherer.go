package gatherer

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/limiter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/scheduler"
)

const (
	// maxRestarts is the limit of restarts of a query on another snapshot.
	maxRestarts = 2
	// noResult marks a shard without a result.
	noResult = classifier.Code(0)
)

type query struct {
	id           uint64
	group        uint64
	caller       string
	layout       planner.Layout
	codes        []classifier.Code // of each shard, noResult while it is outstanding
	outstanding  int
	covered      int // number of shards with code OK
	restarts     int
	deadline     time.Time
	softDeadline time.Time
	timer        scheduler.Timer[*query]
}

// Machine is the state machine that gathers the answers to the queries of one service.
type Machine struct {
	cfg         Config
	layouts     LayoutSource
	limiter     *limiter.Limiter
	queries     map[uint64]*query
	groups      map[uint64]*query
	freeQueries []*query
	lastGroup   uint64
	timers      scheduler.TimerQueue[*query]
	out         []Action
}

// New returns a Machine that takes the layout of each new query from layouts.
func New(cfg Config, layouts LayoutSource) *Machine {
	return &Machine{
		cfg:     cfg,
		layouts: layouts,
		limiter: limiter.New(cfg.Limits),
		queries: make(map[uint64]*query),
		groups:  make(map[uint64]*query),
	}
}

// Reconfigure replaces the settings. A new MinCoverage applies to queries in
// flight too, the others to queries that arrive later.
func (m *Machine) Reconfigure(cfg Config) {
	m.cfg = cfg
	m.limiter = m.limiter.WithConfig(cfg.Limits)
}

// Limiter returns the limiter, to which the caller must report the latencies of sub-requests.
func (m *Machine) Limiter() *limiter.Limiter {
	return m.limiter
}

// Len returns the number of queries in flight.
func (m *Machine) Len() int {
	return len(m.queries)
}

// NextTimer returns the time at which the machine needs a TimerFired event, or false if none is due.
func (m *Machine) NextTimer() (time.Time, bool) {
	return m.timers.Next()
}

// Step applies an event and returns the actions, which are valid until the next Step.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.out = m.out[:0]
	switch e := event.(type) {
	case *QueryArrived:
		m.arrived(now, e)
	case *ShardSettled:
		m.settled(now, e)
	case *QueryAbandoned:
		m.abandoned(e)
	case *TimerFired:
		m.timerFired(now)
	}
	return m.out
}

func (m *Machine) arrived(now time.Time, e *QueryArrived) {
	failure := m.admit(now, e)
	if failure != nil {
		m.out = append(m.out, &Refuse{Query: e.Query, Failure: failure})
		return
	}
	layout, ok := m.layouts.Current()
	if !ok {
		m.limiter.Release(e.Caller)
		failure = classifier.NewFailure(classifier.UnknownShardLayout, "").WithRetryAfter(time.Second)
		m.out = append(m.out, &Refuse{Query: e.Query, Failure: failure})
		return
	}
	q := m.newQuery()
	q.id = e.Query
	q.caller = e.Caller
	q.deadline = e.Deadline
	q.softDeadline = now.Add(m.cfg.SoftDeadline)
	m.queries[q.id] = q
	m.scatter(q, layout)
	m.timers.Set(&q.timer, m.firstTimer(q))
}

func (m *Machine) firstTimer(q *query) time.Time {
	if m.cfg.MinCoverage < 1 && q.softDeadline.Before(q.deadline) {
		return q.softDeadline
	}
	return q.deadline
}

func (m *Machine) admit(now time.Time, e *QueryArrived) *classifier.Failure {
	if !m.limiter.HasClass(e.Class) {
		return classifier.NewFailure(classifier.InvalidRequest, "unknown class %q", e.Class)
	}
	failure := m.limiter.Admit(now, e.Caller, e.Class)
	if failure != nil && m.cfg.IgnoreLimits {
		m.limiter.AdmitUnconditionally(e.Caller)
		return nil
	}
	return failure
}

func (m *Machine) newQuery() *query {
	last := len(m.freeQueries) - 1
	if last < 0 {
		q := &query{}
		q.timer.Owner = q
		return q
	}
	q := m.freeQueries[last]
	m.freeQueries = m.freeQueries[:last]
	*q = query{codes: q.codes, timer: q.timer}
	return q
}

// scatter starts or restarts a query on a layout under a new group, so that late
// results of an earlier group are ignored.
func (m *Machine) scatter(q *query, layout planner.Layout) {
	delete(m.groups, q.group)
	m.lastGroup++
	q.group = m.lastGroup
	m.groups[q.group] = q
	q.layout = layout
	q.outstanding = layout.Shards
	q.covered = 0
	q.codes = q.codes[:0]
	for range layout.Shards {
		q.codes = append(q.codes, noResult)
	}
	m.out = append(m.out, &Scatter{Query: q.id, Group: q.group, Layout: layout, Deadline: q.deadline})
}

func (m *Machine) settled(now time.Time, e *ShardSettled) {
	q, ok := m.groups[e.Group]
	if !ok || e.Shard < 0 || e.Shard >= len(q.codes) || q.codes[e.Shard] != noResult {
		return
	}
	if e.Code == classifier.SnapshotGone && m.restart(now, q) {
		return
	}
	if e.Code == classifier.ShardOverloaded {
		m.refuseOverloaded(now, q)
		return
	}
	q.codes[e.Shard] = e.Code
	q.outstanding--
	if e.Code == classifier.OK {
		q.covered++
	}
	if q.outstanding == 0 || m.earlyAnswerAllowed(now, q) {
		m.complete(q, classifier.EarlyAnswer)
	}
}

// refuseOverloaded refuses a query without waiting for its other shards, because
// the queue of one shard is full.
func (m *Machine) refuseOverloaded(now time.Time, q *query) {
	failure := classifier.NewFailure(classifier.ShardOverloaded, "").WithRetryAfter(m.limiter.RetryAfter(now))
	m.out = append(m.out, &CancelGroup{Group: q.group}, &Refuse{Query: q.id, Failure: failure})
	m.remove(q)
}

// restart requests all shards again on another snapshot and reports false if
// there is none, the restarts are used up or the deadline has passed.
func (m *Machine) restart(now time.Time, q *query) bool {
	layout, ok := m.layouts.Current()
	if !ok || layout.Snapshot == q.layout.Snapshot || q.restarts >= maxRestarts || !now.Before(q.deadline) {
		return false
	}
	q.restarts++
	m.out = append(m.out, &CancelGroup{Group: q.group})
	m.scatter(q, layout)
	return true
}

// earlyAnswerAllowed reports whether the early-answer rule allows an answer: the
// soft deadline has passed and the coverage is at least MinCoverage.
func (m *Machine) earlyAnswerAllowed(now time.Time, q *query) bool {
	if now.Before(q.softDeadline) || m.cfg.MinCoverage >= 1 {
		return false
	}
	return float64(q.covered) >= m.cfg.MinCoverage*float64(q.layout.Shards)
}

// complete answers a query. The code of shards without a result is set to missing.
func (m *Machine) complete(q *query, missing classifier.Code) {
	if q.outstanding > 0 {
		m.out = append(m.out, &CancelGroup{Group: q.group})
	}
	for i, code := range q.codes {
		if code == noResult {
			q.codes[i] = missing
		}
	}
	m.out = append(m.out, &Complete{Query: q.id, Group: q.group, Layout: q.layout, Codes: q.codes})
	m.remove(q)
}

func (m *Machine) abandoned(e *QueryAbandoned) {
	q, ok := m.queries[e.Query]
	if !ok {
		return
	}
	m.out = append(m.out, &CancelGroup{Group: q.group})
	m.remove(q)
}

func (m *Machine) remove(q *query) {
	delete(m.queries, q.id)
	delete(m.groups, q.group)
	m.timers.Clear(&q.timer)
	m.limiter.Release(q.caller)
	m.freeQueries = append(m.freeQueries, q)
}

func (m *Machine) timerFired(now time.Time) {
	for timer := m.timers.Due(now); timer != nil; timer = m.timers.Due(now) {
		q := timer.Owner
		switch {
		case !now.Before(q.deadline):
			m.complete(q, classifier.DeadlineExceeded)
		case m.earlyAnswerAllowed(now, q):
			m.complete(q, classifier.EarlyAnswer)
		default:
			m.timers.Set(timer, q.deadline)
		}
	}
}
