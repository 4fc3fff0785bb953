package vetter

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"pgregory.net/rapid"
)

// savedFleet is a few hosts and what they have written to the store.
type savedFleet struct {
	hosts    []*Vetter
	archives []*Archive
	store    map[int][]SavedRecord
}

func newSavedFleet(n int, now time.Time) *savedFleet {
	s := &savedFleet{store: make(map[int][]SavedRecord)}
	for i := range n {
		s.hosts = append(s.hosts, newVetter(uint64(i)))
		s.archives = append(s.archives, NewArchive(now))
		s.archives[i].Loaded()
	}
	return s
}

// save has a host write its evidence if it is to.
func (s *savedFleet) save(now time.Time, host int, err error) bool {
	if s.hosts[host].TakeUnsaved() {
		s.archives[host].Changed()
	}
	if !s.archives[host].Begin(now) {
		return false
	}
	if err == nil {
		s.store[host] = s.hosts[host].Saved()
	}
	s.archives[host].Ended(now, err)
	return true
}

// killAll ends all hosts at once and starts them again.
func (s *savedFleet) killAll(now time.Time) {
	for i := range s.hosts {
		s.hosts[i], s.archives[i] = newVetter(uint64(now.UnixNano())+uint64(i)), NewArchive(now)
		for writer, saved := range s.store {
			s.hosts[i].Restore(now, decoder.NewList(saved), writer == i)
		}
		s.archives[i].Loaded()
	}
}

// TestEvidenceOutlastsTheEndOfAllHosts guards against a request that crashes servers anew after each end of
// all hosts: no life of theirs sees more than one or two ends.
func TestEvidenceOutlastsTheEndOfAllHosts(t *testing.T) {
	for _, endsALife := range []int{1, 2} {
		is := is.New(t)
		now := start
		s := newSavedFleet(3, now)
		subject := NewSubject(Fingerprint{1}, "r", "a", "GET", "/deadly")
		ended := 0
		for life := 0; life < 6 && s.hosts[0].Judge(now, subject.Fingerprint) != Blocked; life++ {
			for range endsALife {
				host := s.hosts[ended%len(s.hosts)]
				if host.Judge(now, subject.Fingerprint) == Blocked {
					break
				}
				trial := host.Judge(now, subject.Fingerprint) == Suspected
				host.ServerEnded(now, subject, EndOf(fmt.Sprint("s", ended), int64(ended)), trial)
				ended++
			}
			now = now.Add(saveInterval)
			for i := range s.hosts {
				s.save(now, i, nil)
			}
			now = now.Add(time.Second)
			s.killAll(now)
		}
		for _, host := range s.hosts {
			is.Equal(host.Judge(now, subject.Fingerprint), Blocked)
		}
		is.True(ended <= blockingEnds+1)
	}
}

// TestProperRequestsAreNotWritten has requests run well, and records of other hosts arrive.
func TestProperRequestsAreNotWritten(t *testing.T) {
	is := is.New(t)
	s := newSavedFleet(2, start)
	s.hosts[0].RanWell(start, Fingerprint{1})
	is.True(!s.save(start, 0, nil))
	s.hosts[0].ServerEnded(start, Subject{Fingerprint: Fingerprint{1}}, 1, false)
	is.True(s.save(start, 0, nil))
	s.hosts[1].Merge(start, s.hosts[0].Changed(start))
	is.True(!s.save(start, 1, nil)) // only the host that has seen the end writes it
	s.hosts[0].RanWell(start, Fingerprint{1})
	is.True(!s.save(start.Add(time.Second), 0, nil)) // a single end that is cleared counts for nothing anyhow
}

// TestWritesAreBounded has servers end in quick succession while the store fails.
func TestWritesAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSavedFleet(1, start)
	writes, failed := 0, 0
	for n := range 10_000 {
		now := start.Add(time.Duration(n) * time.Millisecond)
		s.hosts[0].ServerEnded(now, Subject{Fingerprint: Fingerprint{byte(n), byte(n >> 8)}, Request: "GET /x"}, End(n), false)
		var err error
		if n < 5000 {
			err = errors.New("the store is down")
		}
		if s.save(now, 0, err) {
			writes++
			if err != nil {
				failed++
			}
		}
	}
	is.True(writes <= int(10*time.Second/saveInterval)+1)
	is.True(failed <= 6) // at growing intervals
	is.True(len(s.store[0]) <= maxSaved)
}

// TestDecisionsOutlastAllHosts pins one request and lifts the verdict on another.
func TestDecisionsOutlastAllHosts(t *testing.T) {
	is := is.New(t)
	s := newSavedFleet(2, start)
	for end := range End(4) {
		s.hosts[0].ServerEnded(start, Subject{Fingerprint: Fingerprint{2}}, end+1, true)
	}
	s.hosts[0].Decide(start, Fingerprint{1}, Pinned)
	s.hosts[1].Merge(start, s.hosts[0].Changed(start))
	s.save(start, 0, nil)
	s.hosts[1].Decide(start, Fingerprint{2}, Lifted)
	s.save(start, 1, nil)
	now := start.Add(time.Hour)
	s.killAll(now)
	for _, host := range s.hosts {
		is.Equal(host.Judge(now, Fingerprint{1}), Blocked)
		is.Equal(host.Judge(now, Fingerprint{2}), Allowed)
	}
	now = start.Add(2 * blockLife)
	s.killAll(now)
	is.Equal(s.hosts[0].Judge(now, Fingerprint{1}), Blocked) // until it is lifted
	is.Equal(s.hosts[0].Judge(now, Fingerprint{2}), Allowed)
}

// TestEvidenceFromTheStoreEndsLikeThatOfHosts checks that old evidence is not read back.
func TestEvidenceFromTheStoreEndsLikeThatOfHosts(t *testing.T) {
	is := is.New(t)
	s := newSavedFleet(1, start)
	s.hosts[0].ServerEnded(start, Subject{Fingerprint: Fingerprint{1}}, 1, false)
	s.hosts[0].ServerEnded(start, Subject{Fingerprint: Fingerprint{1}}, 2, false)
	s.save(start, 0, nil)
	s.killAll(start.Add(suspectLife / 2))
	is.Equal(s.hosts[0].Judge(start, Fingerprint{1}), Suspected)
	s.killAll(start.Add(suspectLife))
	is.Equal(s.hosts[0].Len(), 0)
}

// TestOddEvidenceIsReadPast has records in the store that come from another writer or a newer build.
func TestOddEvidenceIsReadPast(t *testing.T) {
	is := is.New(t)
	var saved decoder.List[SavedRecord]
	is.NoErr(saved.UnmarshalJSON([]byte(`[7, {"fingerprint": "x"}, {"ends": [1]},
		{"fingerprint": "01000000000000000000000000000000", "ends": [1, 2], "endedAtMillis": ` + fmt.Sprint(start.UnixMilli()) + `, "later": {"a": 1}},
		{"fingerprint": "02000000000000000000000000000000", "ends": [1], "endedAtMillis": -9223372036854775808}]`)))
	v := newVetter(1)
	is.Equal(len(v.Restore(start, saved, true)), 3)
	is.Equal(v.Judge(start, Fingerprint{1}), Suspected)
	is.Equal(v.Len(), 1) // an end of 1970 or before is too old
}

// TestNoEvidenceIsLostByWritesThatEndAnyhow has ends, failing writes and ends of all hosts come in any order.
// What was written successfully holds at all hosts afterwards.
func TestNoEvidenceIsLostByWritesThatEndAnyhow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		s := newSavedFleet(3, now)
		written := make(map[End]bool)
		pending := make(map[int][]End)
		ends := End(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "millis")) * time.Millisecond)
			host := rapid.IntRange(0, 2).Draw(t, "host")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				ends++
				s.hosts[host].ServerEnded(now, Subject{Fingerprint: Fingerprint{1}}, ends, false)
				pending[host] = append(pending[host], ends)
			case 2:
				var err error
				if rapid.Bool().Draw(t, "fails") {
					err = errors.New("no answer")
				}
				if s.save(now, host, err) && err == nil {
					for _, end := range pending[host] {
						written[end] = true
					}
					pending[host] = nil
				}
			case 3:
				s.hosts[host].Merge(now, s.hosts[(host+1)%3].Changed(now))
			case 4:
				s.killAll(now)
				pending = make(map[int][]End)
				for _, v := range s.hosts {
					for end := range written {
						e := v.entries[Fingerprint{1}]
						if e == nil || !contains(e.Ends, end) {
							t.Fatalf("end %d was written and is lost", end)
						}
					}
				}
			}
		}
	})
}
