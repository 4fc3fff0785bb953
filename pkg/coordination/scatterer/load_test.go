package scatterer

import (
	"container/heap"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const (
	loadShards      = "abcdefghij"
	loadServiceTime = 15 * time.Millisecond
	loadQueue       = 12
	loadSlots       = 2
	loadDuration    = 4 * time.Second
	loadSeed        = 7
	loadReplicas    = 2
	// slowFactor multiplies the service time in the period before countFrom.
	slowFactor = 12
	// drainTime is several times what full queues take to drain at normal speed.
	drainTime = time.Second
)

// simulation runs a machine against servers with slots and queues on virtual time.
type simulation struct {
	machine   *Machine
	random    *rand.Rand
	now       time.Time
	events    simulationHeap
	servers   map[string]*simulatedServer
	ends      map[uint64]bool
	countFrom time.Time
	slowUntil time.Time
	inTime    int
	late      int
	refused   int
	arrived   map[uint64]time.Time
	// rejecting is the ID suffix of the servers that reject what they can't start
	// immediately, and pause is the pause that they request then.
	rejecting string
	pause     time.Duration
	// sentInPause counts the requests that reach a server during its pause.
	sentInPause int
}

// simulatedServer holds the time at which each slot of a server becomes free, and the
// number of requests that run or wait there.
type simulatedServer struct {
	free    [loadSlots]time.Time
	pending int
	// paused is the time before which the server must get no requests.
	paused time.Time
	// rejected counts the requests that it has rejected.
	rejected int
}

type simulationEvent struct {
	at      time.Time
	server  *simulatedServer
	attempt uint64
	request uint64
}

type simulationHeap []simulationEvent

func (h simulationHeap) Len() int           { return len(h) }
func (h simulationHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h simulationHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *simulationHeap) Push(x any)        { *h = append(*h, x.(simulationEvent)) }
func (h *simulationHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// simulate offers a load, as a fraction of the capacity of all slots, and counts the
// outcomes for callers.
func simulate(load, lateFactor float64) *simulation {
	return simulateAfter(0, 0, load, lateFactor)
}

// simulateRejecting has one of the two servers of each shard reject what it can't start
// immediately, with or without a pause.
func simulateRejecting(load float64, pause time.Duration) *simulation {
	s := newSimulation(1.5)
	s.rejecting, s.pause = "0", pause
	s.offer(0, 0, load)
	return s
}

// simulateAfter first offers firstLoad to slow servers, and counts only the requests that
// arrive after the resulting queues have drained.
func simulateAfter(first time.Duration, firstLoad, load, lateFactor float64) *simulation {
	s := newSimulation(lateFactor)
	s.offer(first, firstLoad, load)
	return s
}

func newSimulation(lateFactor float64) *simulation {
	d := newDirectory(loadShards, loadReplicas)
	m := New(Config{
		Placer:       placer.DefaultConfig("d"),
		AnswerMargin: margin, HedgeFraction: 0.33, Extra: ExtraBudget{Ratio: 0.2, Burst: 50, Window: window}, LateFactor: lateFactor, Retries: true,
	}, d)
	return &simulation{
		machine: m, random: rand.New(rand.NewPCG(loadSeed, loadSeed)), now: start,
		servers: make(map[string]*simulatedServer), ends: make(map[uint64]bool), arrived: make(map[uint64]time.Time),
	}
}

// offer runs the simulation with a load, preceded by a period with the load firstLoad.
func (s *simulation) offer(first time.Duration, firstLoad, load float64) {
	route := sharded(loadShards, 0.9)
	between := float64(loadServiceTime) / (loadReplicas * loadSlots)
	request := uint64(0)
	begin := start.Add(first)
	if first > 0 {
		begin = begin.Add(drainTime)
	}
	for at := start; at.Before(begin.Add(loadDuration)); {
		current := load
		if at.Before(start.Add(first)) {
			current = firstLoad
		}
		at = at.Add(time.Duration(s.random.ExpFloat64() * between / current))
		request++
		heap.Push(&s.events, simulationEvent{at: at, request: request})
	}
	s.countFrom, s.slowUntil = begin, start.Add(first)
	for s.step(func(id uint64) []Action {
		s.arrived[id] = s.now
		return s.machine.Step(s.now, &Arrived{Request: id, Route: route, CallerTimeLeft: callerTimeout, BudgetShare: 1})
	}) {
	}
}

// step processes the earliest event and reports whether there was one.
func (s *simulation) step(arrive func(id uint64) []Action) bool {
	at, ok := s.machine.NextTimer()
	if len(s.events) == 0 && !ok {
		return false
	}
	if ok && (len(s.events) == 0 || at.Before(s.events[0].at)) {
		s.now = at
		s.act(clone(s.machine.Step(s.now, &TimerFired{})))
		return true
	}
	e := heap.Pop(&s.events).(simulationEvent)
	s.now = e.at
	if e.server == nil {
		s.act(clone(arrive(e.request)))
		return true
	}
	e.server.pending--
	load := &placer.Load{Running: min(e.server.pending, loadSlots), Waiting: max(0, e.server.pending-loadSlots), Slots: loadSlots}
	s.act(clone(s.machine.Step(s.now, &AttemptEnded{Attempt: e.attempt, Code: classifier.OK, Load: load})))
	return true
}

func (s *simulation) act(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case *Send:
			s.send(a)
		case *Cancel:
			if a.Await {
				s.act(clone(s.machine.Step(s.now, &AttemptEnded{Attempt: a.Attempt, Code: classifier.Canceled})))
			}
		case *Complete:
			if s.arrived[a.Request].Before(s.countFrom) {
				continue
			}
			if s.now.Sub(s.arrived[a.Request]) <= objective {
				s.inTime++
			} else {
				s.late++
			}
		case *Refuse:
			if s.arrived[a.Request].Before(s.countFrom) {
				continue
			}
			s.refused++
		}
	}
}

// send puts a request into the first free slot of a server, which may reject it.
func (s *simulation) send(a *Send) {
	server := s.servers[a.Server.ID]
	if server == nil {
		server = &simulatedServer{}
		s.servers[a.Server.ID] = server
	}
	if s.now.Before(server.paused) {
		s.sentInPause++
	}
	if s.rejecting != "" && strings.HasSuffix(a.Server.ID, s.rejecting) && server.pending >= loadSlots {
		server.rejected++
		if s.pause > 0 {
			server.paused = s.now.Add(s.pause)
			s.machine.Pause(s.now, a.Server, s.pause)
		}
		load := &placer.Load{Running: loadSlots, Slots: loadSlots}
		s.act(clone(s.machine.Step(s.now, &AttemptEnded{Attempt: a.Attempt, Code: classifier.ServerRejected, Load: load})))
		return
	}
	if server.pending >= loadSlots+loadQueue {
		s.act(clone(s.machine.Step(s.now, &AttemptEnded{Attempt: a.Attempt, Code: classifier.ServerRejected})))
		return
	}
	server.pending++
	slot := 0
	if server.free[1].Before(server.free[0]) {
		slot = 1
	}
	begin := s.now
	if server.free[slot].After(begin) {
		begin = server.free[slot]
	}
	serviceTime := (0.5 + s.random.ExpFloat64()/2) * float64(loadServiceTime)
	if s.now.Before(s.slowUntil) {
		serviceTime *= slowFactor
	}
	server.free[slot] = begin.Add(time.Duration(serviceTime))
	heap.Push(&s.events, simulationEvent{at: server.free[slot], server: server, attempt: a.Attempt})
}

// TestRefusingEarlyServesMoreInTimeUnderOverload offers one and a half times the
// capacity, as in a burst. Refusing requests that are expected to be late must leave more
// callers answered in time than not refusing any. Below capacity nearly none are refused.
func TestRefusingEarlyServesMoreInTimeUnderOverload(t *testing.T) {
	is := is.New(t)
	with, without := simulate(1.5, 1.5), simulate(1.5, 0)
	t.Logf("load 1.5: with refusals in time %d late %d refused %d, without %d %d %d",
		with.inTime, with.late, with.refused, without.inTime, without.late, without.refused)
	is.True(with.inTime > 2*without.inTime)
	with, without = simulate(0.6, 1.5), simulate(0.6, 0)
	t.Logf("load 0.6: with refusals in time %d late %d refused %d, without %d %d %d",
		with.inTime, with.late, with.refused, without.inTime, without.late, without.refused)
	is.True(with.inTime*100 >= without.inTime*99)
}

// TestRefusalsEndWithTheOverload offers half the capacity after two seconds of slow
// servers, which fill all queues. Once these have drained, hardly any request may be
// refused.
func TestRefusalsEndWithTheOverload(t *testing.T) {
	is := is.New(t)
	s := simulateAfter(2*time.Second, 0.5, 0.5, 1.5)
	t.Logf("after the overload in time %d late %d refused %d", s.inTime, s.late, s.refused)
	is.True(s.refused*50 <= s.inTime)
	is.True(s.late*20 <= s.inTime)
}

// TestPausesDoNotReduceAnswers offers half the capacity while one of the two servers of
// each shard rejects what it can't start immediately, as an overloaded server does. If it
// requests a pause, no request may reach it before the pause ends and callers must get
// nearly as many answers in time as without pauses. The first requests after a pause must
// not be rejected again: at most every second pause may be followed directly by another.
func TestPausesDoNotReduceAnswers(t *testing.T) {
	const pause = 200 * time.Millisecond
	is := is.New(t)
	with, without := simulateRejecting(0.5, pause), simulateRejecting(0.5, 0)
	rejected := func(s *simulation) (n int) {
		for _, server := range s.servers {
			n += server.rejected
		}
		return n
	}
	t.Logf("with pauses in time %d late %d refused %d rejected %d, without %d %d %d %d",
		with.inTime, with.late, with.refused, rejected(with), without.inTime, without.late, without.refused, rejected(without))
	is.Equal(with.sentInPause, 0)
	is.True(with.inTime*100 >= without.inTime*97)
	is.True(rejected(with) <= rejected(without))
	pauses := int(loadDuration/pause) * len(loadShards)
	is.True(rejected(with)*2 <= pauses)
}
