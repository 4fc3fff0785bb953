package dispatcher

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"pgregory.net/rapid"
)

const testSlots = 2

// fixedReplicas gives shard n two replicas: servers 2n and 2n+1.
type fixedReplicas struct {
	lists [][]int
}

func newFixedReplicas(shards int) *fixedReplicas {
	f := &fixedReplicas{}
	for shard := range shards {
		f.lists = append(f.lists, []int{2 * shard, 2*shard + 1})
	}
	return f
}

// Replicas returns both replicas of a shard.
func (f *fixedReplicas) Replicas(_ planner.Layout, shard int) []int {
	return f.lists[shard]
}

func newMachine(cfg Config, shards int) *Machine {
	m := New(cfg, newFixedReplicas(shards), rand.New(rand.NewPCG(1, 1)))
	for server := range 2 * shards {
		m.Step(time.Unix(0, 0), &ServerListed{Server: server, Slots: testSlots})
	}
	return m
}

// model tracks the outstanding attempts and the settled shards of a Machine and
// checks each action against them.
type model struct {
	t              *rapid.T
	m              *Machine
	now            time.Time
	queued         bool
	outstanding    map[uint64]Send
	outstandingIDs []uint64
	perServer      map[int]int
	settled        map[uint64]map[int]int
	requested      map[uint64]int
	canceled       map[uint64]bool
}

func (w *model) step(event Event) {
	for _, action := range w.m.Step(w.now, event) {
		switch a := action.(type) {
		case *Send:
			w.sent(*a)
		case *Cancel:
			if _, ok := w.outstanding[a.Attempt]; !ok {
				w.t.Fatalf("cancel of attempt %d, which is not outstanding", a.Attempt)
			}
		case *Settle:
			if w.canceled[a.Group] {
				w.t.Fatalf("group %d is settled after it was canceled", a.Group)
			}
			w.settled[a.Group][a.Shard]++
			if w.settled[a.Group][a.Shard] > 1 {
				w.t.Fatalf("shard %d of group %d is settled twice", a.Shard, a.Group)
			}
		}
	}
}

func (w *model) sent(a Send) {
	if w.canceled[a.Group] {
		w.t.Fatalf("attempt sent for group %d after it was canceled", a.Group)
	}
	w.outstanding[a.Attempt] = a
	w.outstandingIDs = append(w.outstandingIDs, a.Attempt)
	w.perServer[a.Server]++
	if w.queued && w.perServer[a.Server] > testSlots {
		w.t.Fatalf("server %d has %d outstanding attempts for %d slots", a.Server, w.perServer[a.Server], testSlots)
	}
}

// end ends an outstanding attempt, which may have been canceled.
func (w *model) end() {
	if len(w.outstandingIDs) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.outstandingIDs)-1).Draw(w.t, "attempt")
	id := w.outstandingIDs[i]
	w.outstandingIDs = append(w.outstandingIDs[:i], w.outstandingIDs[i+1:]...)
	w.perServer[w.outstanding[id].Server]--
	delete(w.outstanding, id)
	code := rapid.SampledFrom([]classifier.Code{
		classifier.OK, classifier.OK, classifier.OK, classifier.ServerRejected, classifier.SnapshotGone,
		classifier.ServerFailed, classifier.Canceled,
	}).Draw(w.t, "code")
	if code == classifier.OK {
		w.step(&Answered{Attempt: id})
		return
	}
	w.step(&Failed{Attempt: id, Code: code})
}

// TestEachShardSettlesOnce checks that each shard of a query is settled exactly
// once under any order of answers, failures, timer events and cancellations.
func TestEachShardSettlesOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const shards = 3
		queued := rapid.Bool().Draw(t, "queued")
		w := &model{
			t: t, now: time.Unix(0, 0), queued: queued, outstanding: make(map[uint64]Send), perServer: make(map[int]int),
			settled: make(map[uint64]map[int]int), requested: make(map[uint64]int), canceled: make(map[uint64]bool),
			m: newMachine(Config{Queued: queued, HedgeRatio: 0.5, RetryRatio: 0.5, MaxOutstandingFraction: 1}, shards),
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				group := uint64(len(w.requested) + 1)
				w.requested[group] = shards
				w.settled[group] = make(map[int]int)
				w.step(&ShardsRequested{Group: group, Shards: []int{0, 1, 2}, Deadline: w.now.Add(200 * time.Millisecond)})
			case 1:
				w.step(&TimerFired{})
			case 2:
				group := uint64(rapid.IntRange(0, len(w.requested)).Draw(t, "group"))
				w.step(&GroupCanceled{Group: group})
				w.canceled[group] = true
			default:
				w.end()
			}
		}
		w.drain(shards)
	})
}

// drain lets the deadlines of all groups pass; all shards must then be settled.
func (w *model) drain(shards int) {
	w.now = w.now.Add(time.Second)
	w.step(&TimerFired{})
	for group := range w.requested {
		if !w.canceled[group] && len(w.settled[group]) != shards {
			w.t.Fatalf("group %d: %d of %d shards settled", group, len(w.settled[group]), shards)
		}
	}
	if len(w.m.byID) != 0 || w.m.subRequests.Len() != 0 {
		w.t.Fatalf("%d groups and %d sub-requests are left", len(w.m.byID), w.m.subRequests.Len())
	}
}

// TestCodeThatMayHaveRunIsNotReplaced checks that the code of a shard whose first
// attempt may have run is not replaced by that of later attempts that did not run.
func TestCodeThatMayHaveRunIsNotReplaced(t *testing.T) {
	is := is.New(t)
	m := newMachine(Config{RetryRatio: 1}, 1)
	now := time.Unix(0, 0)
	for group := range uint64(10) { // primary sub-requests fill the retry budget
		m.Step(now, &ShardsRequested{Group: 10 + group, Shards: []int{0}, Deadline: now.Add(time.Second)})
		m.Step(now, &GroupCanceled{Group: 10 + group})
	}
	actions := m.Step(now, &ShardsRequested{Group: 1, Shards: []int{0}, Deadline: now.Add(time.Second)})
	codes := []classifier.Code{classifier.ServerFailed, classifier.ServerUnreachable, classifier.ServerUnreachable, classifier.ServerUnreachable}
	var settled classifier.Code
	for _, code := range codes {
		for _, action := range actions {
			switch a := action.(type) {
			case *Send:
				actions = m.Step(now, &Failed{Attempt: a.Attempt, Code: code})
			case *Settle:
				settled = a.Code
			}
		}
	}
	for _, action := range actions {
		settle, ok := action.(*Settle)
		if ok {
			settled = settle.Code
		}
	}
	is.Equal(settled, classifier.ServerFailed)
}

// TestTurningQueuedOffSendsQueue checks that all queued sub-requests are sent when
// a change of settings turns Queued off.
func TestTurningQueuedOffSendsQueue(t *testing.T) {
	is := is.New(t)
	const requests = 10
	m := newMachine(Config{Queued: true}, 1)
	now := time.Unix(0, 0)
	sent := 0
	count := func(actions []Action) {
		for _, action := range actions {
			_, ok := action.(*Send)
			if ok {
				sent++
			}
		}
	}
	for group := range requests {
		count(m.Step(now, &ShardsRequested{Group: uint64(group + 1), Shards: []int{0}, Deadline: now.Add(time.Second)}))
	}
	is.Equal(sent, 2*testSlots)
	count(m.Step(now, &Reconfigured{Config: Config{}}))
	is.Equal(sent, requests)
}

// runQuery runs one query for all shards through a Machine.
func runQuery(m *Machine, now time.Time, group uint64, request *ShardsRequested, answer *Answered, attempts []uint64) {
	request.Group = group
	request.Deadline = now.Add(time.Second)
	attempts = attempts[:0]
	for _, action := range m.Step(now, request) {
		send, ok := action.(*Send)
		if ok {
			attempts = append(attempts, send.Attempt)
		}
	}
	for _, attempt := range attempts {
		answer.Attempt = attempt
		m.Step(now.Add(time.Millisecond), answer)
	}
}

// TestSteadyStateAllocatesNothing checks that a query without failures allocates
// no memory once the buffers have grown.
func TestSteadyStateAllocatesNothing(t *testing.T) {
	is := is.New(t)
	const shards = 20
	for _, queued := range []bool{false, true} {
		m := newMachine(Config{Queued: queued, HedgeRatio: 0.05, RetryRatio: 0.1, MaxOutstandingFraction: 0.25}, shards)
		request, answer := &ShardsRequested{}, &Answered{}
		for shard := range shards {
			request.Shards = append(request.Shards, shard)
		}
		attempts := make([]uint64, 0, shards)
		now := time.Unix(0, 0)
		var group uint64
		run := func() {
			group++
			now = now.Add(10 * time.Millisecond)
			runQuery(m, now, group, request, answer, attempts)
		}
		for range 1000 {
			run()
		}
		is.Equal(testing.AllocsPerRun(1000, run), 0.0) // allocations per query
	}
}

// BenchmarkSubRequest measures the CPU time of one sub-request in the dispatcher
// for queries of several numbers of shards.
func BenchmarkSubRequest(b *testing.B) {
	for _, shards := range []int{20, 100, 400} {
		b.Run(strconv.Itoa(shards)+"Shards", func(b *testing.B) {
			m := newMachine(Config{Queued: true, HedgeRatio: 0.05, RetryRatio: 0.1, MaxOutstandingFraction: 0.25}, shards)
			request, answer := &ShardsRequested{}, &Answered{}
			for shard := range shards {
				request.Shards = append(request.Shards, shard)
			}
			attempts := make([]uint64, 0, shards)
			now := time.Unix(0, 0)
			b.ReportAllocs()
			b.ResetTimer()
			for n := 0; n < b.N; n += shards {
				now = now.Add(10 * time.Millisecond)
				runQuery(m, now, uint64(n+1), request, answer, attempts)
			}
		})
	}
}
