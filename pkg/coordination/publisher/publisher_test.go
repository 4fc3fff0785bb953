package publisher

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
	"pgregory.net/rapid"
)

const service = "s"

// failingStore is a store in which any call may fail or lose its answer.
type failingStore struct {
	t        *rapid.T
	objects  map[string]storer.Object
	version  storer.Version
	accepted []configurer.Envelope
}

func (s *failingStore) get(key string) *GetEnded {
	if rapid.IntRange(0, 9).Draw(s.t, "get") == 0 {
		return &GetEnded{Err: storer.ErrUnavailable}
	}
	object, ok := s.objects[key]
	if !ok {
		return &GetEnded{Err: storer.ErrNotFound}
	}
	return &GetEnded{Object: object}
}

func (s *failingStore) put(a *Put) *PutEnded {
	fault := rapid.IntRange(0, 9).Draw(s.t, "put")
	switch {
	case fault == 0:
		return &PutEnded{Err: storer.ErrUnavailable}
	case fault == 1:
		return &PutEnded{Err: storer.ErrUnsettled}
	case s.objects[a.Key].Version != a.Version:
		return &PutEnded{Err: storer.ErrConflict}
	}
	s.version++
	object := storer.Object{Key: a.Key, Version: s.version, Value: a.Value}
	s.objects[a.Key] = object
	if a.Key == configurer.ConfigPrefix+service {
		s.accept(a.Value)
	}
	if fault == 2 {
		return &PutEnded{Err: storer.ErrUnsettled}
	}
	return &PutEnded{Object: object}
}

// accept records an accepted revision and checks that it follows the previous
// one, which must be in the history.
func (s *failingStore) accept(value []byte) {
	var envelope configurer.Envelope
	err := json.Unmarshal(value, &envelope)
	if err != nil {
		s.t.Fatal(err)
	}
	if envelope.Revision != uint64(len(s.accepted)+1) {
		s.t.Fatalf("revision %d after %d", envelope.Revision, len(s.accepted))
	}
	if envelope.Revision > 1 {
		_, ok := s.objects[HistoryKey(service, envelope.Revision-1)]
		if !ok {
			s.t.Fatalf("revision %d accepted without its predecessor in the history", envelope.Revision)
		}
	}
	s.accepted = append(s.accepted, envelope)
}

type writer struct {
	change  Change
	machine *Machine
	event   Event
	finish  *Finish
}

func (s *failingStore) step(w *writer) {
	switch a := w.machine.Step(w.event).(type) {
	case *Get:
		w.event = s.get(a.Key)
	case *Put:
		w.event = s.put(a)
	case *Finish:
		w.finish = a
	}
}

// TestChangesRace interleaves operators on a store in which any call may fail and
// checks that a change reported as accepted was accepted exactly once, and one
// reported as a conflict never.
func TestChangesRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &failingStore{t: t, objects: make(map[string]storer.Object)}
		writers := make([]*writer, rapid.IntRange(1, 4).Draw(t, "writers"))
		for i := range writers {
			document := configurer.Template(configurer.KindQuery)
			document.Service = service
			document.Deadline = decoder.NewDuration(time.Duration(500+i) * time.Millisecond)
			change := Change{ChangeID: fmt.Sprint(i), Document: document, Base: AnyRevision}
			writers[i] = &writer{change: change, machine: New(change), event: &Started{}}
		}
		for range 100 {
			w := rapid.SampledFrom(writers).Draw(t, "next")
			if w.finish == nil {
				s.step(w)
			}
		}
		for _, w := range writers {
			s.check(w)
		}
	})
}

func (s *failingStore) check(w *writer) {
	count := 0
	for _, envelope := range s.accepted {
		if envelope.ChangeID == w.change.ChangeID {
			count++
		}
	}
	if count > 1 {
		s.t.Fatalf("change %s was accepted %d times", w.change.ChangeID, count)
	}
	if w.finish == nil {
		return
	}
	if w.finish.Code == classifier.OK && w.finish.Changed && count != 1 {
		s.t.Fatalf("change %s was reported as accepted, but was not accepted exactly once", w.change.ChangeID)
	}
	if w.finish.Code == classifier.ConfigConflict && count != 0 {
		s.t.Fatalf("change %s was reported as a conflict, but was accepted", w.change.ChangeID)
	}
}
