package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/hedger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/limiter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/pooler"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/scheduler"
)

const (
	// maxAttempts is the limit of attempts for a sub-request, hedges included.
	maxAttempts = 4
	// retryBurst is the number of retries that can accumulate in the budget.
	retryBurst = 32
	// noServer stands for the index of a server if none was chosen.
	noServer = -1
)

type attempt struct {
	subRequest uint64
	server     int
	sent       time.Time
	canceled   bool
}

type subRequest struct {
	group          uint64
	shard          int
	position       int              // in the group's outstanding list
	attempted      [maxAttempts]int // servers of the attempts so far
	attempts       int
	outstanding    int
	outstandingIDs [maxAttempts]uint64
	hedgeAt        time.Time // zero if no hedge is planned
	retryAt        time.Time // zero unless deferred by a pause
	queued         bool
	lastCode       classifier.Code // of the failed attempts, the one with the weakest guarantee
}

type group struct {
	id          uint64
	layout      planner.Layout
	deadline    time.Time
	total       int
	bypassOwner bool
	outstanding []uint64
	timer       scheduler.Timer[*group]
}

// Machine is the state machine that dispatches the sub-requests of one service.
type Machine struct {
	cfg        Config
	replicas   Replicas
	hedger     *hedger.Hedger
	retries    limiter.Budget
	random     *rand.Rand
	overloaded bool

	servers     []server
	rotation    []int // attempts for each shard so far, for SelectRoundRobin
	attempts    pooler.Pool[attempt]
	subRequests pooler.Pool[subRequest]
	groups      pooler.Pool[*group]
	freeGroups  []*group          // ended groups, for reuse
	byID        map[uint64]uint64 // from the ID of a group to that in the pool
	timers      scheduler.TimerQueue[*group]
	queues      []queue
	meters      []meter

	out actions
}

// New returns a machine that chooses among the given replicas.
func New(cfg Config, replicas Replicas, random *rand.Rand) *Machine {
	return &Machine{
		cfg:      cfg,
		replicas: replicas,
		hedger:   hedger.New(hedger.DefaultConfig(cfg.HedgeRatio)),
		random:   random,
		retries:  limiter.NewBudget(cfg.RetryRatio, retryBurst),
		byID:     make(map[uint64]uint64),
	}
}

// SetOverloaded sets whether the service is overloaded; hedging then stops, except
// for sub-requests that queue here.
func (m *Machine) SetOverloaded(overloaded bool) {
	m.overloaded = overloaded
}

// NextTimer returns the time at which the machine needs a TimerFired event, or false if none is due.
func (m *Machine) NextTimer() (time.Time, bool) {
	return m.timers.Next()
}

// Step applies an event and returns the actions, which are valid until the next Step.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.out.reset()
	switch e := event.(type) {
	case *ShardsRequested:
		m.shardsRequested(now, e)
	case *GroupCanceled:
		m.cancelGroup(e.Group)
	case *Answered:
		m.answered(now, e)
	case *Failed:
		m.failed(now, e)
	case *TimerFired:
		m.timerFired(now)
	case *Reconfigured:
		m.reconfigure(now, e.Config)
	case *ServerListed:
		m.server(e.Server).slots = e.Slots
	case *RoundTripMeasured:
		m.server(e.Server).roundTrip = e.RoundTrip
	case *LoadReported:
		m.loadReported(now, e)
	}
	return m.out.list
}

// reconfigure applies new settings; if Queued is now off, all queued sub-requests are sent.
func (m *Machine) reconfigure(now time.Time, cfg Config) {
	m.cfg = cfg
	m.hedger.SetRatio(cfg.HedgeRatio)
	m.retries = m.retries.WithRatio(cfg.RetryRatio)
	if cfg.Queued {
		return
	}
	for shard := range m.queues {
		m.dispatchShard(now, shard)
	}
}

func (m *Machine) server(i int) *server {
	for len(m.servers) <= i {
		m.servers = append(m.servers, server{slots: 1})
	}
	return &m.servers[i]
}

func (m *Machine) loadReported(now time.Time, e *LoadReported) {
	s := m.server(e.Server)
	s.reportedLoad = e.Running + e.Waiting
	s.reportedAt = now
}

func (m *Machine) shardsRequested(now time.Time, e *ShardsRequested) {
	g := m.newGroup(e)
	m.hedger.Earn(len(e.Shards))
	m.retries.Earn(len(e.Shards))
	for _, shard := range e.Shards {
		if !e.BypassOwner {
			m.meter(shard).add(now, max(e.Weight, 1))
		}
		g.outstanding = append(g.outstanding, m.newSubRequest(g, shard))
	}
	// start may settle a sub-request and so remove it from the list, which is
	// therefore iterated backwards.
	for i := len(g.outstanding) - 1; i >= 0; i-- {
		m.start(now, g, g.outstanding[i])
	}
	m.schedule(now, g)
}

func (m *Machine) newGroup(e *ShardsRequested) *group {
	id, slot := m.groups.New()
	last := len(m.freeGroups) - 1
	if last >= 0 {
		*slot = m.freeGroups[last]
		m.freeGroups = m.freeGroups[:last]
	} else {
		*slot = newGroup()
	}
	g := *slot
	*g = group{
		id: e.Group, layout: e.Layout, deadline: e.Deadline, total: len(e.Shards), bypassOwner: e.BypassOwner,
		outstanding: g.outstanding[:0], timer: g.timer,
	}
	m.byID[e.Group] = id
	return g
}

func newGroup() *group {
	g := &group{}
	g.timer.Owner = g
	return g
}

func (m *Machine) newSubRequest(g *group, shard int) uint64 {
	id, sub := m.subRequests.New()
	*sub = subRequest{group: g.id, shard: shard, position: len(g.outstanding), lastCode: classifier.NoServer}
	return id
}

func (m *Machine) group(id uint64) *group {
	slot := m.groups.Get(m.byID[id])
	if slot == nil {
		return nil
	}
	return *slot
}

// queued reports whether the sub-requests of a group queue here until a replica has a free slot.
func (m *Machine) queued(g *group) bool {
	return m.cfg.Queued && !g.bypassOwner
}

// start sends the next attempt of a sub-request, queues it, defers it while
// a replica is paused, or settles it as failed.
func (m *Machine) start(now time.Time, g *group, id uint64) {
	sub := m.subRequests.Get(id)
	choice, wait := m.choose(now, g, sub)
	switch {
	case choice != noServer:
		m.send(now, g, id, choice, false)
	case wait == waitSlot && m.isFull(g.layout, sub.shard):
		m.settle(now, g, id, 0, classifier.ShardOverloaded)
	case wait == waitSlot:
		m.enqueue(sub.shard, id)
	case wait == waitPause && now.Add(minPause).Before(g.deadline):
		sub.retryAt = now.Add(minPause)
	default:
		m.settle(now, g, id, 0, sub.lastCode)
	}
}

func (m *Machine) send(now time.Time, g *group, id uint64, choice int, hedge bool) {
	sub := m.subRequests.Get(id)
	s := m.server(choice)
	s.inFlight++
	s.addShard(sub.shard)
	attemptID, a := m.attempts.New()
	*a = attempt{subRequest: id, server: choice, sent: now}
	sub.attempted[sub.attempts] = choice
	sub.attempts++
	sub.outstandingIDs[sub.outstanding] = attemptID
	sub.outstanding++
	sub.retryAt = time.Time{}
	sub.hedgeAt = time.Time{}
	if !hedge {
		sub.hedgeAt = now.Add(m.hedger.Delay(sub.shard))
	}
	m.out.send(Send{
		Attempt: attemptID, Group: g.id, Layout: g.layout, Shard: sub.shard,
		Server: choice, Deadline: g.deadline, Hedge: hedge,
	})
}
