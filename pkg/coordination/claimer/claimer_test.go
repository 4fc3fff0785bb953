package claimer

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/ticketer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
	"pgregory.net/rapid"
)

// failingStore is a store with one claim, in which any call may fail or lose its answer.
type failingStore struct {
	t       *rapid.T
	value   []byte
	version storer.Version
	// mayHaveRun counts the orders that were sent and not rejected.
	mayHaveRun int
}

func (f *failingStore) put(a *Put) *PutEnded {
	fault := rapid.SampledFrom([]string{"none", "none", "none", "unavailable", "lost", "lostBefore"}).Draw(f.t, "put")
	if fault == "unavailable" {
		return &PutEnded{Err: storer.ErrUnavailable}
	}
	if fault == "lostBefore" {
		return &PutEnded{Err: storer.ErrUnsettled}
	}
	if a.Version != f.version {
		return &PutEnded{Err: storer.ErrConflict}
	}
	value, err := json.Marshal(a.Record)
	if err != nil {
		f.t.Fatal(err)
	}
	f.value = value
	f.version++
	if fault == "lost" {
		return &PutEnded{Err: storer.ErrUnsettled}
	}
	return &PutEnded{Object: storer.Object{Version: f.version, Value: value}}
}

func (f *failingStore) get() *GetEnded {
	if rapid.IntRange(0, 4).Draw(f.t, "get") == 0 {
		return &GetEnded{Err: storer.ErrUnavailable}
	}
	if f.version == storer.Absent {
		return &GetEnded{Err: storer.ErrNotFound}
	}
	return &GetEnded{Object: storer.Object{Version: f.version, Value: f.value}}
}

// send returns the result of the order, which a backend server may have rejected.
func (f *failingStore) send() *OrderEnded {
	code := rapid.SampledFrom([]classifier.Code{classifier.OrderDone, classifier.OrderNotRun, classifier.OrderUnknown}).Draw(f.t, "send")
	if code != classifier.OrderNotRun {
		f.mayHaveRun++
	}
	return &OrderEnded{Result: ticketer.Result{Code: code}}
}

type submission struct {
	machine *Machine
	event   Event
	result  *ticketer.Result
}

func (f *failingStore) step(s *submission) {
	switch a := s.machine.Step(s.event).(type) {
	case *Put:
		s.event = f.put(a)
	case *Get:
		s.event = f.get()
	case *SendOrder:
		s.event = f.send()
	case *Finish:
		s.result = &a.Result
		if a.Record != nil {
			f.put(&Put{Record: *a.Record, Version: a.Version})
		}
	}
}

// TestClaimRunsAtMostOnce checks that a key runs at most one order when submissions
// of an order, and of another one under the same key, interleave and any call to
// the store may fail.
func TestClaimRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &failingStore{t: t}
		submissions := make([]*submission, rapid.IntRange(1, 4).Draw(t, "submissions"))
		for i := range submissions {
			order := uint64(rapid.IntRange(1, 10).Draw(t, "order") / 10)
			submissions[i] = &submission{machine: New(fmt.Sprint(i), order, time.Time{}), event: &Started{}}
		}
		for range 60 {
			s := rapid.SampledFrom(submissions).Draw(t, "next")
			if s.result == nil {
				f.step(s)
			}
		}
		if f.mayHaveRun > 1 {
			t.Fatalf("the order may have run %d times", f.mayHaveRun)
		}
		for _, s := range submissions {
			if s.result != nil && s.result.Code == classifier.OrderRepeated && f.mayHaveRun == 0 {
				t.Fatal("a submission was answered with an earlier run, but no order has run")
			}
		}
	})
}
