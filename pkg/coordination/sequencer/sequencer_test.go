package sequencer

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// testConfig is that of a host of 0.192 cores with a link of 36 Mbit/s.
func testConfig() Config {
	return Config{ProcessorRate: 2400, LinkRate: 2250, Depth: 80 * time.Millisecond}
}

// demand is a stream of requests of one organisation and kind.
type demand struct {
	organisation string
	rank         Rank
	kind         string
	perSecond    float64
	work         float64
	objective    time.Duration
	// patience is after how long a waiting caller leaves, 0 for never.
	patience time.Duration
}

// outcome counts the requests of a demand.
type outcome struct{ sent, served, refused, delayed, left int }

func (o outcome) share() float64 { return float64(o.served) / float64(max(o.served+o.refused, 1)) }

// simulated is a host that works off admitted requests in turn at a rate of its own.
type simulated struct {
	m    *Machine
	now  time.Time
	rate float64
	// busyUntil is when the admitted work is done, ends when each request ends.
	busyUntil time.Time
	ends      map[uint64]time.Time
	owner     map[uint64]int
	waiting   map[uint64]Request
	outcomes  []outcome
	last      uint64
	// inVain counts the refusals after more than a quarter of the objective.
	inVain int
}

func newSimulated(rate float64) *simulated {
	return &simulated{
		m: New(testConfig()), now: start, rate: rate, busyUntil: start,
		ends: make(map[uint64]time.Time), owner: make(map[uint64]int), waiting: make(map[uint64]Request),
	}
}

func (s *simulated) begin(r Request) {
	if s.busyUntil.Before(s.now) {
		s.busyUntil = s.now
	}
	s.busyUntil = s.busyUntil.Add(time.Duration(r.Work / s.rate * float64(time.Second)))
	s.ends[r.ID] = s.busyUntil.Add(10 * time.Millisecond) // the servers' time
	s.outcomes[s.owner[r.ID]].served++
}

func (s *simulated) apply(decisions []Decision) {
	for _, d := range decisions {
		delete(s.waiting, d.ID)
		o := &s.outcomes[s.owner[d.ID]]
		if d.Admitted {
			o.delayed++
			s.begin(d.Request)
			continue
		}
		o.refused++
		if d.Waited > d.Objective/4 {
			s.inVain++
		}
	}
}

func (s *simulated) arrive(i int, d demand) {
	s.last++
	r := Request{
		ID: s.last, Organisation: d.organisation, Rank: d.rank, Kind: d.kind, Work: d.work,
		Received: s.now, Expires: s.now.Add(4 * time.Second), Objective: d.objective,
	}
	s.owner[r.ID] = i
	s.outcomes[i].sent++
	if s.m.Pass(s.now, r) {
		s.begin(r)
		return
	}
	s.waiting[r.ID] = r
	s.apply(s.m.Arrive(s.now, r))
}

// run plays the demands for some time and returns what came of each.
func (s *simulated) run(length time.Duration, demands []demand) []outcome {
	random := rand.New(rand.NewPCG(1, 2))
	s.outcomes = make([]outcome, len(demands))
	clear(s.owner)
	next := make([]time.Time, len(demands))
	gap := func(d demand) time.Duration {
		return time.Duration(random.ExpFloat64() / d.perSecond * float64(time.Second))
	}
	for i, d := range demands {
		next[i] = s.now.Add(gap(d))
	}
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		for id, at := range s.ends {
			if !at.After(s.now) {
				delete(s.ends, id)
				s.apply(s.m.Leave(s.now, id))
			}
		}
		for i, d := range demands {
			for ; !next[i].After(s.now); next[i] = next[i].Add(gap(d)) {
				s.arrive(i, d)
			}
		}
		s.loseCallers(demands)
		at, ok := s.m.NextTimer(s.now)
		if ok && at.Sub(s.now) <= minTimer {
			s.apply(s.m.Tick(s.now))
		}
		if s.now.Sub(start)%(50*time.Millisecond) == 0 {
			s.apply(s.m.Lag(s.now, max(s.busyUntil.Sub(s.now)/4, 0)))
		}
	}
	return s.outcomes
}

func (s *simulated) loseCallers(demands []demand) {
	for id, r := range s.waiting {
		patience := demands[s.owner[id]].patience
		if patience > 0 && s.now.Sub(r.Received) > patience {
			delete(s.waiting, id)
			s.outcomes[s.owner[id]].left++
			s.apply(s.m.Leave(s.now, id))
		}
	}
}

func query(organisation string, rank, perSecond float64, objective time.Duration) demand {
	return demand{
		organisation: organisation, rank: Rank{0, int(rank)}, kind: fmt.Sprint("query", rank),
		perSecond: perSecond, work: 92, objective: objective,
	}
}

// organisations returns the queries of 71 small organisations beside one with 7 times theirs
// together.
func organisations(perSecond float64) []demand {
	demands := []demand{query("hot", 1, 7*perSecond, 400*time.Millisecond)}
	for i := range 71 {
		demands = append(demands, query(fmt.Sprint("small", i), 1, perSecond/71, 400*time.Millisecond))
	}
	return demands
}

func sum(outcomes []outcome) outcome {
	var all outcome
	for _, o := range outcomes {
		all.sent, all.served, all.refused = all.sent+o.sent, all.served+o.served, all.refused+o.refused
		all.delayed, all.left = all.delayed+o.delayed, all.left+o.left
	}
	return all
}

// The host has room for 24 queries a second.

func TestNothingIsDelayedOnACalmDay(t *testing.T) {
	is := is.New(t)
	s := newSimulated(2250)
	demands := []demand{query("a", 0, 2, 100*time.Millisecond), query("b", 2, 2, 800*time.Millisecond)}
	demands = append(demands, demand{organisation: "a", kind: "plain", perSecond: 60, work: 3, objective: 50 * time.Millisecond})
	outcomes := s.run(time.Minute, demands)
	is.True(sum(outcomes).sent > 3000)
	is.Equal(sum(outcomes).delayed+sum(outcomes).refused, 0)
	is.True(!s.m.short && s.m.shares.tallies == nil)
}

func TestHotOrganisationLeavesOthersTheirShare(t *testing.T) {
	is := is.New(t)
	s := newSimulated(2250)
	outcomes := s.run(time.Minute, organisations(7)) // 56 a second
	all, small := sum(outcomes), sum(outcomes[1:])
	is.True(small.share() > 0.95)
	is.True(outcomes[0].share() > 0.25*all.share())
	is.True(all.served > 60*24*85/100) // the room is used
}

func TestLessUrgentKindsGiveWay(t *testing.T) {
	for name, load := range map[string][4]float64{
		"a burst of the least urgent kind": {2, 2, 2, 60}, "a burst of all kinds": {12, 12, 12, 12},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulated(2250)
			var demands []demand
			for rank, perSecond := range load {
				for i := range 4 {
					demands = append(demands, query(fmt.Sprint("o", i), float64(rank), perSecond/4, 200*time.Millisecond))
				}
			}
			outcomes := s.run(time.Minute, demands)
			all := sum(outcomes)
			before := 1.0
			for rank := range load {
				o := sum(outcomes[4*rank : 4*rank+4])
				t.Logf("rank %d: %v %.3f of all %.3f", rank, o, o.share(), all.share())
				is.True(o.share() <= before+0.05)
				is.True(o.share() > 0.3*all.share())
				before = o.share()
			}
			is.True(sum(outcomes[:4]).share() > 0.9)
			is.True(s.inVain < all.refused/10)
		})
	}
}

func TestCallersWhoLeaveFreeTheirPlaces(t *testing.T) {
	is := is.New(t)
	s := newSimulated(2250)
	impatient, patient := query("impatient", 1, 30, 800*time.Millisecond), query("patient", 1, 6, 800*time.Millisecond)
	impatient.patience = 30 * time.Millisecond
	outcomes := s.run(30*time.Second, []demand{impatient, patient})
	is.True(outcomes[0].left > 0)
	is.True(outcomes[1].share() > 0.95)
	s.run(5*time.Second, []demand{query("late", 1, 1, time.Second)})
	is.Equal(len(s.m.waiting), 0)
	is.Equal(s.m.bytes, 0)
}

func TestNoRefusalsOutlastAnOverload(t *testing.T) {
	is := is.New(t)
	s := newSimulated(1100) // half as fast as planned
	s.run(20*time.Second, organisations(12))
	s.run(2*time.Second, []demand{query("hot", 1, 3, 400*time.Millisecond)})
	outcomes := s.run(20*time.Second, []demand{query("hot", 1, 3, 400*time.Millisecond)})
	is.Equal(sum(outcomes).refused, 0)
	is.True(s.m.load.pace > 0.5)
}

func TestMeasuredLagGoesBeforePlannedRate(t *testing.T) {
	is := is.New(t)
	slow, fast := newSimulated(1100), newSimulated(6000)
	fast.m.load.cfg.LinkRate = 0
	slowly, quickly := sum(slow.run(20*time.Second, organisations(6))), sum(fast.run(20*time.Second, organisations(6)))
	is.True(slow.busyUntil.Sub(slow.now) < 400*time.Millisecond) // not overfilled by the plan
	is.True(float64(slowly.served) > 0.8*20*1100/92)
	is.True(quickly.share() > 0.9)
}

func TestRefusedCallersAreToldWhenThereIsRoom(t *testing.T) {
	is := is.New(t)
	m := New(testConfig())
	m.Charge(start, 1, 2250) // a second of work for another host
	r := Request{ID: 2, Kind: "query", Work: 92, Received: start, Expires: start.Add(time.Second), Objective: 100 * time.Millisecond}
	is.True(!m.Pass(start, r))
	refused := m.Arrive(start, r)
	is.Equal(len(refused), 1)
	is.Equal(refused[0].Reason, Late)
	is.Equal(refused[0].Waited, time.Duration(0))
	at := start.Add(refused[0].RetryAfter)
	is.True(!m.Pass(at.Add(-20*time.Millisecond), r))
	is.True(m.Pass(at.Add(time.Millisecond), r))
}

func TestFairnessBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// While all organisations have requests that wait, whatever their work, what is served
		// of any two differs by no more than the greatest requests of both.
		n := rapid.IntRange(2, 6).Draw(t, "organisations")
		m, now := New(testConfig()), start
		m.Charge(now, 0, 1000)
		greatest, served, waiting := make([]float64, n), make([]float64, n), make([]int, n)
		for id := range uint64(40 * n) {
			i := rapid.IntRange(0, n-1).Draw(t, "organisation")
			work := rapid.Float64Range(1, 100).Draw(t, "work")
			greatest[i] = max(greatest[i], work)
			waiting[i]++
			m.Arrive(now, Request{ID: id + 1, Organisation: fmt.Sprint(i), Work: work, Received: now, Expires: now.Add(time.Hour), Objective: time.Hour})
		}
		for slices.Min(waiting) > 0 {
			now = now.Add(time.Duration(rapid.IntRange(1, 50).Draw(t, "millis")) * time.Millisecond)
			for _, d := range m.Tick(now) {
				i, err := strconv.Atoi(d.Organisation)
				if err != nil || !d.Admitted || slices.Min(waiting) == 0 {
					break
				}
				served[i] += d.Work
				waiting[i]--
				for j := range n {
					if math.Abs(served[i]-served[j]) > greatest[i]+greatest[j] {
						t.Fatalf("served %v, greatest %v", served, greatest)
					}
				}
			}
		}
	})
}
