package vetter

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(100, 0)

func newVetter(seed uint64) *Vetter {
	return New(rand.New(rand.NewPCG(seed, 1)))
}

// subject returns one of some requests of a route.
func subject(i int) Subject {
	return NewSubject(Identity{Target: fmt.Sprint("/", i)}.Fingerprint(), "r", "s", "GET", fmt.Sprint("/", i))
}

// crash has servers end under a request, the last one in a trial.
func crash(v *Vetter, now time.Time, s Subject, ends ...End) {
	for i, end := range ends {
		v.ServerEnded(now, s, end, i == len(ends)-1)
	}
}

// TestRequestIsBlockedOnceServersHaveEndedUnderIt checks each step of the evidence.
func TestRequestIsBlockedOnceServersHaveEndedUnderIt(t *testing.T) {
	is := is.New(t)
	v := newVetter(1)
	s := subject(1)
	is.Equal(v.Judge(start, s.Fingerprint), Allowed)
	v.ServerEnded(start, s, 1, false)
	is.Equal(v.Judge(start, s.Fingerprint), Allowed)
	is.True(v.Doubted(s.Fingerprint))
	v.ServerEnded(start, s, 1, false) // seen by another host, too
	is.Equal(v.Judge(start, s.Fingerprint), Allowed)
	v.ServerEnded(start, s, 2, false)
	is.Equal(v.Judge(start, s.Fingerprint), Suspected)
	for end := End(3); end < 10; end++ {
		v.ServerEnded(start, s, end, false) // all servers of a failure domain at once
	}
	is.Equal(v.Judge(start, s.Fingerprint), Suspected)
	v.ServerEnded(start, s, 10, true)
	is.Equal(v.Judge(start, s.Fingerprint), Blocked)
	is.Equal(v.RetryAfter(start, s.Fingerprint), trialDelays[0])
	var changes []string
	for _, c := range v.Changes() {
		changes = append(changes, fmt.Sprintf("%v-%v %d/%d", c.Before, c.After, c.Ends, c.Trials))
	}
	is.Equal(changes, []string{"allowed-suspected 2/0", "suspected-blocked 10/1"})
}

func TestRunThatEndsWellClearsARequest(t *testing.T) {
	is := is.New(t)
	v := newVetter(1)
	s := subject(1)
	crash(v, start, s, 1, 2, 3)
	is.Equal(v.Judge(start, s.Fingerprint), Blocked)
	v.RanWell(start, s.Fingerprint)
	is.Equal(v.Judge(start, s.Fingerprint), Allowed)
	is.True(!v.Doubted(s.Fingerprint))
	v.ServerEnded(start, s, 4, true)
	is.Equal(v.Judge(start, s.Fingerprint), Allowed)
	v.Expire(start.Add(suspectLife))
	is.Equal(v.Len(), 0)
}

// TestDeadlyRequestAccountsForEndsUnderOthers has requests run at the servers that a deadly one
// ends, also at that of its trial, before and after it is blocked.
func TestDeadlyRequestAccountsForEndsUnderOthers(t *testing.T) {
	for _, deadlyFirst := range []bool{true, false} {
		is := is.New(t)
		v := newVetter(1)
		deadly, innocent, unlucky := subject(1), subject(2), subject(3)
		if deadlyFirst {
			crash(v, start, deadly, 1, 2, 3, 4)
		}
		crash(v, start, innocent, 2, 3, 4)
		crash(v, start, unlucky, 4, 9) // and of another cause
		if !deadlyFirst {
			crash(v, start, deadly, 1, 2, 3, 4)
		}
		is.Equal(v.Judge(start, deadly.Fingerprint), Blocked)
		is.Equal(v.Judge(start, innocent.Fingerprint), Allowed)
		is.True(!v.Doubted(innocent.Fingerprint))
		is.Equal(v.Judge(start, unlucky.Fingerprint), Allowed)
		is.True(v.Doubted(unlucky.Fingerprint))
	}
}

// TestDeadlyRequestsDoNotClearEachOther guards against blocked requests that run again since another
// one was blocked later under which most of the same servers ended.
func TestDeadlyRequestsDoNotClearEachOther(t *testing.T) {
	is := is.New(t)
	v, other := newVetter(1), newVetter(2)
	first, second := subject(1), subject(2)
	crash(v, start, first, 1, 2, 3)
	crash(v, start, second, 2, 3, 5, 6, 7)
	for _, s := range []Subject{first, second} {
		is.Equal(v.Judge(start, s.Fingerprint), Blocked)
	}
	is.Equal(len(other.Merge(start, v.All(start))), 0)
	for _, s := range []Subject{first, second} {
		is.Equal(other.Judge(start, s.Fingerprint), Blocked)
	}
	is.Equal(v.Digest(), other.Digest())
}

// TestServerThatEndsAgainCountsAgain guards against a deadly request that isn't blocked since the list
// of servers, whose store is away, doesn't tell that they have started again.
func TestServerThatEndsAgainCountsAgain(t *testing.T) {
	is := is.New(t)
	v, other := newVetter(1), newVetter(2)
	first, second := subject(1), subject(2)
	crash(v, start, first, 1, 2, 3)
	is.Equal(len(other.Merge(start, v.All(start))), 0)
	now := start.Add(3 * time.Second)
	for i, host := range []*Vetter{v, other} {
		host.ServerEnded(now, second, 1, false)
		host.ServerEnded(now, second, 2, false)
		host.ServerEnded(now.Add(restartTime/2), second, 2, false) // the same end, seen later
		is.Equal(host.Judge(now, second.Fingerprint), Suspected)
		if i == 1 {
			is.Equal(host.Digest(), v.Digest()) // hosts take the same end for the same
		}
	}
	v.ServerEnded(now.Add(3*time.Second), second, 2, true)
	is.Equal(v.Judge(now, second.Fingerprint), Blocked)
	is.Equal(v.Judge(now, first.Fingerprint), Blocked)
}

// TestCanceledRunCountsOnceItsServerEnds has a server end under another request after a run
// there was canceled.
func TestCanceledRunCountsOnceItsServerEnds(t *testing.T) {
	is := is.New(t)
	v := newVetter(1)
	deadly, other := subject(1), subject(2)
	v.ServerEnded(start, deadly, 1, false)
	v.Expose(start, deadly, 2)
	v.Expose(start, deadly, 3)
	v.ServerEnded(start.Add(exposureLife/2), other, 2, false)
	is.Equal(v.Judge(start, deadly.Fingerprint), Suspected)
	v.ServerLost(start.Add(exposureLife), 3) // too late
	is.Equal(len(v.entries[deadly.Fingerprint].left), 2)
}

func TestOneTrialRunsAtATime(t *testing.T) {
	is := is.New(t)
	s := subject(1)
	here, there := newVetter(1), newVetter(2)
	for _, v := range []*Vetter{here, there} {
		v.ServerEnded(start, s, 1, false)
		v.ServerEnded(start, s, 2, false)
	}
	id, ok := here.Begin(start, s.Fingerprint)
	is.True(ok)
	_, ok = here.Begin(start, s.Fingerprint)
	is.True(!ok)
	there.Merge(start, here.Changed(start))
	_, ok = there.Begin(start, s.Fingerprint)
	is.True(!ok)
	here.End(s.Fingerprint, id)
	there.Merge(start, here.Changed(start))
	_, ok = there.Begin(start, s.Fingerprint)
	is.True(ok)
	_, ok = there.Begin(start.Add(trialLife), s.Fingerprint) // its host may be lost
	is.True(ok)
}

// TestBlockedRequestGetsFewTrials sends a deadly request every second for a day.
func TestBlockedRequestGetsFewTrials(t *testing.T) {
	is := is.New(t)
	v := newVetter(1)
	s := subject(1)
	crash(v, start, s, 1, 2, 3)
	trials := 0
	for now := start; now.Sub(start) < blockLife; now = now.Add(time.Second) {
		v.Expire(now)
		if v.Judge(now, s.Fingerprint) == Blocked {
			is.True(v.RetryAfter(now, s.Fingerprint) > 0)
			continue
		}
		id, ok := v.Begin(now, s.Fingerprint)
		is.True(ok)
		trials++
		v.ServerEnded(now, s, End(100+trials), true)
		v.End(s.Fingerprint, id)
	}
	is.Equal(trials, len(trialDelays))
	is.Equal(v.RetryAfter(start.Add(blockLife), s.Fingerprint), BlockedRetryAfter)
	v.Expire(start.Add(2 * blockLife))
	is.Equal(v.Len(), 0)
}

// TestFloodOfSuspectsDisplacesNoBlockedRequest guards against an attacker who fills the memory.
func TestFloodOfSuspectsDisplacesNoBlockedRequest(t *testing.T) {
	is := is.New(t)
	v := newVetter(1)
	for i := range maxBlocked + 100 {
		crash(v, start, subject(i), End(4*i+1), End(4*i+2), End(4*i+3))
	}
	for i := range 10 * maxSuspects {
		v.ServerEnded(start.Add(time.Second), subject(100_000+i), End(1_000_000+i), false)
	}
	is.True(v.Len() <= maxBlocked+maxSuspects)
	for i := range maxBlocked {
		is.Equal(v.Judge(start, subject(i).Fingerprint), Blocked)
	}
	records := v.Changed(start)
	is.True(len(records) <= maxPushed)
	is.Equal(v.Judge(start, records[0].Fingerprint), Blocked) // those that matter most come first
}

// TestMergedRecordMayBeDisplacedByAnother guards against a record that is to be sent though another
// one, which the merge has added, has taken its place.
func TestMergedRecordMayBeDisplacedByAnother(t *testing.T) {
	is := is.New(t)
	v, other := newVetter(1), newVetter(2)
	for i := range maxSuspects - 1 {
		v.ServerEnded(start, subject(i), End(100+i), false)
	}
	v.Changed(start)
	v.Expose(start, subject(1000), 1)
	merged := subject(1001)
	other.ServerEnded(start.Add(-time.Second), merged, 1, false)
	is.Equal(len(v.Merge(start, other.All(start))), 0)
	is.True(!v.Doubted(merged.Fingerprint)) // the oldest suspect
	is.True(v.Doubted(subject(1000).Fingerprint))
	for _, r := range v.Changed(start) {
		is.True(r.Fingerprint != merged.Fingerprint)
	}
}

func TestOperatorsLiftAndPin(t *testing.T) {
	is := is.New(t)
	here, there := newVetter(1), newVetter(2)
	s := subject(1)
	crash(here, start, s, 1, 2, 3)
	there.Merge(start, here.Changed(start))
	there.Decide(start, s.Fingerprint, Lifted)
	here.Merge(start, there.Changed(start))
	is.Equal(here.Judge(start, s.Fingerprint), Allowed)
	crash(here, start, s, 4, 5, 6)
	is.Equal(here.Judge(start, s.Fingerprint), Blocked)
	here.RanWell(start, s.Fingerprint)
	here.Decide(start, s.Fingerprint, Pinned)
	here.RanWell(start, s.Fingerprint)
	there.Merge(start, here.Changed(start))
	for _, v := range []*Vetter{here, there} {
		v.Expire(start.Add(10 * blockLife))
		is.Equal(v.Judge(start.Add(10*blockLife), s.Fingerprint), Blocked)
	}
}

// TestBlockedRequestMakesItsServicesWary checks for how long unknown requests begin at one
// server.
func TestBlockedRequestMakesItsServicesWary(t *testing.T) {
	is := is.New(t)
	v := newVetter(1)
	v.ServerEnded(start, subject(1), 1, false)
	v.ServerEnded(start, subject(1), 2, false)
	is.True(!v.Wary(start, "s")) // only suspected
	v.ServerEnded(start, subject(1), 3, true)
	is.True(v.Wary(start, "s"))
	is.True(!v.Wary(start, "other"))
	is.True(!v.Wary(start.Add(waryWindow), "s"))
}

// TestMergeIsCommutativeAndIdempotent has some hosts observe evidence, and exchange records in
// any order and more than once: all come to the same verdicts.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts, requests = 3, 4
		vetters := make([]*Vetter, hosts)
		for i := range vetters {
			vetters[i] = newVetter(uint64(i))
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			v := vetters[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			s := subject(rapid.IntRange(0, requests-1).Draw(t, "request"))
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				v.RanWell(start, s.Fingerprint)
			case 1:
				v.Decide(start, s.Fingerprint, Kind(rapid.IntRange(1, 2).Draw(t, "decision")))
			case 2, 3:
				other := vetters[rapid.IntRange(0, hosts-1).Draw(t, "other")]
				v.Merge(start, other.All(start))
			default:
				v.ServerEnded(start, s, End(rapid.IntRange(1, 100).Draw(t, "end")), rapid.Bool().Draw(t, "trial"))
			}
		}
		for range hosts {
			for _, i := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
				for _, other := range vetters {
					vetters[i].Merge(start, other.All(start))
					vetters[i].Merge(start, other.All(start))
				}
			}
		}
		for _, v := range vetters[1:] {
			if v.Digest() != vetters[0].Digest() {
				t.Fatal("hosts with the same evidence have different records")
			}
			for i := range requests {
				f := subject(i).Fingerprint
				if v.Judge(start, f) != vetters[0].Judge(start, f) {
					t.Fatalf("verdicts %v and %v on the same evidence", v.Judge(start, f), vetters[0].Judge(start, f))
				}
			}
		}
	})
}

// TestComparisonBringsRecordsBothWays compares hosts that have learnt different things.
func TestComparisonBringsRecordsBothWays(t *testing.T) {
	is := is.New(t)
	here, there := newVetter(1), newVetter(2)
	crash(here, start, subject(1), 1, 2, 3)
	crash(there, start, subject(2), 4, 5, 6)
	is.True(here.Digest() != there.Digest())
	records, wanted := there.Compare(start, here.Summary())
	here.Merge(start, records)
	there.Merge(start, here.Records(start, wanted))
	is.Equal(here.Digest(), there.Digest())
	for _, v := range []*Vetter{here, there} {
		is.Equal(v.Judge(start, subject(1).Fingerprint), Blocked)
		is.Equal(v.Judge(start, subject(2).Fingerprint), Blocked)
	}
	here.RanWell(start, subject(1).Fingerprint)
	records, _ = here.Compare(start, there.Summary())
	there.Merge(start, records)
	is.Equal(there.Judge(start, subject(1).Fingerprint), Allowed)
}

// TestAgeTravelsWithARecord has a host hear of a block long after it, and of one that has lapsed.
func TestAgeTravelsWithARecord(t *testing.T) {
	is := is.New(t)
	here, there := newVetter(1), newVetter(2)
	crash(here, start, subject(1), 1, 2, 3)
	later := start.Add(trialDelays[0] - time.Second)
	there.Merge(later, here.All(later))
	is.Equal(there.RetryAfter(later, subject(1).Fingerprint), time.Second)
	lapsed := start.Add(blockLife)
	late := newVetter(3)
	late.Merge(lapsed, here.All(lapsed))
	is.Equal(late.Len(), 0)
}

func TestUnusableRecordsCostOnlyThemselves(t *testing.T) {
	is := is.New(t)
	good := Record{Fingerprint: subject(1).Fingerprint, Ends: []End{3, 1, 2, 3}, Trials: []End{2}}
	long := make([]End, maxSetLen+1)
	bad := []Record{
		{},
		{Fingerprint: subject(2).Fingerprint, Ends: long},
		{Fingerprint: subject(2).Fingerprint, EndedMillisAgo: -1},
		{Fingerprint: subject(2).Fingerprint, EndedMillisAgo: 1 << 62},
		{Fingerprint: subject(2).Fingerprint, Decision: Decision{Kind: 7}},
		{Fingerprint: subject(2).Fingerprint, Running: []Trial{{MillisAgo: -5}}},
		{Fingerprint: subject(2).Fingerprint, Running: make([]Trial, maxRunning+1)},
		{Fingerprint: subject(2).Fingerprint, Request: string(make([]byte, maxTextBytes+1))},
	}
	v := newVetter(1)
	is.Equal(len(v.Merge(start, append(slices.Clone(bad), good))), len(bad))
	is.Equal(v.Len(), 1)
	is.Equal(v.Judge(start, good.Fingerprint), Blocked)
}

func BenchmarkJudge(b *testing.B) {
	for _, n := range []int{0, maxBlocked} {
		b.Run(fmt.Sprint(n, "-blocked"), func(b *testing.B) {
			v := newVetter(1)
			for i := range n {
				crash(v, start, subject(i), End(4*i+1), End(4*i+2), End(4*i+3))
			}
			f := subject(-1).Fingerprint
			for b.Loop() {
				_ = v.Judge(start, f)
			}
		})
	}
}

// BenchmarkMerge merges the record of a request that eight servers have ended under.
func BenchmarkMerge(b *testing.B) {
	sender := newVetter(1)
	crash(sender, start, subject(1), 1, 2, 3, 4, 5, 6, 7, 8)
	records := sender.All(start)
	for b.Loop() {
		newVetter(2).Merge(start, records)
	}
}

// BenchmarkMemory reports the memory of a full list of blocked requests, each under which eight
// servers have ended.
func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := newVetter(1)
		for i := range maxBlocked {
			var ends []End
			for k := range 8 {
				ends = append(ends, End(8*i+k+1))
			}
			crash(v, start, subject(i), ends...)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(v.Len()), "B/request")
	}
}
