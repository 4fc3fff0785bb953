package provider

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// watchTimeout is the time after which a watch without changes returns an empty page.
const watchTimeout = 25 * time.Second

// Faults are the injected faults of the store; the zero value injects none.
type Faults struct {
	// Outage fails all calls with storer.ErrUnavailable.
	Outage bool `json:"outage,omitempty"`
	// DelayMillis is a delay added to each call, in milliseconds.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// LoseAnswers is the number of writes whose answers are lost after they took effect.
	LoseAnswers int `json:"loseAnswers,omitempty"`
	// StaleReads makes reads return the previous version of each object.
	StaleReads bool `json:"staleReads,omitempty"`
	// History is the oldest revision after which changes can be watched; watches after an
	// older one fail with storer.ErrHistoryGone.
	History uint64 `json:"history,omitempty"`
}

// Counters holds the numbers of calls by kind; a watch counts once, however long it waits.
type Counters struct {
	Gets    uint64 `json:"gets"`
	Lists   uint64 `json:"lists"`
	Puts    uint64 `json:"puts"`
	Deletes uint64 `json:"deletes"`
	Watches uint64 `json:"watches"`
}

// change is an object as written, with the time of the write.
type change struct {
	storer.Object

	at time.Time
}

// Store is an in-memory storer.Store with injected faults.
type Store struct {
	mu      sync.Mutex
	version storer.Version
	objects map[string]storer.Object
	// previous holds each object as it was before its last change.
	previous map[string]storer.Object
	// history holds all changes in the order of their versions.
	history []change
	// changed is closed and replaced at each change.
	changed  chan struct{}
	faults   Faults
	counters Counters
}

// NewStore returns an empty store without faults.
func NewStore() *Store {
	return &Store{
		objects:  make(map[string]storer.Object),
		previous: make(map[string]storer.Object),
		changed:  make(chan struct{}),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counters returns the numbers of calls so far.
func (s *Store) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// beginCall counts a call and applies the outage and the delay to it.
func (s *Store) beginCall(ctx context.Context, count func(*Counters)) error {
	s.mu.Lock()
	count(&s.counters)
	faults := s.faults
	s.mu.Unlock()
	if faults.Outage {
		return storer.ErrUnavailable
	}
	if faults.DelayMillis == 0 {
		return nil
	}
	select {
	case <-time.After(time.Duration(faults.DelayMillis) * time.Millisecond):
		return nil
	case <-ctx.Done():
		return storer.ErrUnavailable
	}
}

// Get returns an object or storer.ErrNotFound.
func (s *Store) Get(ctx context.Context, key string) (storer.Object, error) {
	err := s.beginCall(ctx, func(c *Counters) { c.Gets++ })
	if err != nil {
		return storer.Object{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.read(key)
	if !ok || object.Deleted {
		return storer.Object{}, storer.ErrNotFound
	}
	return object, nil
}

// read returns the object of a key, or the one before it under StaleReads.
func (s *Store) read(key string) (storer.Object, bool) {
	if s.faults.StaleReads {
		object, ok := s.previous[key]
		if ok {
			return object, true
		}
	}
	object, ok := s.objects[key]
	return object, ok
}

// List returns all objects under a prefix.
func (s *Store) List(ctx context.Context, prefix string) (storer.Page, error) {
	err := s.beginCall(ctx, func(c *Counters) { c.Lists++ })
	if err != nil {
		return storer.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	page := storer.Page{Version: s.version}
	for _, key := range slices.Sorted(maps.Keys(s.objects)) {
		object, _ := s.read(key)
		if strings.HasPrefix(key, prefix) && !object.Deleted {
			page.Objects = append(page.Objects, object)
		}
	}
	return page, nil
}

// Put writes a value if the object has the version; storer.Absent requires that there is no object.
func (s *Store) Put(ctx context.Context, key string, value []byte, version storer.Version) (storer.Object, error) {
	err := s.beginCall(ctx, func(c *Counters) { c.Puts++ })
	if err != nil {
		return storer.Object{}, err
	}
	return s.conditionalWrite(storer.Object{Key: key, Value: value}, version)
}

// Delete removes an object if it has the version.
func (s *Store) Delete(ctx context.Context, key string, version storer.Version) error {
	err := s.beginCall(ctx, func(c *Counters) { c.Deletes++ })
	if err != nil {
		return err
	}
	_, err = s.conditionalWrite(storer.Object{Key: key, Deleted: true}, version)
	return err
}

// conditionalWrite writes an object if it has the version; LoseAnswers may lose the
// answer.
func (s *Store) conditionalWrite(object storer.Object, version storer.Version) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, err := s.write(object, version)
	if err == nil && s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return storer.Object{}, storer.ErrUnsettled
	}
	return object, err
}

// write writes an object if it has the version, and wakes the watches.
func (s *Store) write(object storer.Object, version storer.Version) (storer.Object, error) {
	current, ok := s.objects[object.Key]
	exists := ok && !current.Deleted
	if exists != (version != storer.Absent) || (exists && current.Version != version) {
		return storer.Object{}, storer.ErrConflict
	}
	s.version++
	object.Version = s.version
	s.setNewest(object)
	s.history = append(s.history, change{object, time.Now()})
	s.notifyWatches()
	return object, nil
}

// setNewest makes an object the newest of its key and keeps the one before it.
func (s *Store) setNewest(object storer.Object) {
	current, ok := s.objects[object.Key]
	if ok {
		s.previous[object.Key] = current
	}
	s.objects[object.Key] = object
}

// notifyWatches wakes all waiting watches.
func (s *Store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Newest returns the newest object of a key regardless of faults.
func (s *Store) Newest(key string) (storer.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object := s.newest(key)
	return object, object.Version != storer.Absent
}

// newest returns the newest object of a key, or one with the version storer.Absent if
// there is none.
func (s *Store) newest(key string) storer.Object {
	object := s.objects[key]
	if object.Deleted {
		return storer.Object{}
	}
	return object
}

// Overwrite writes a value regardless of the version of the object.
func (s *Store) Overwrite(key string, value []byte) (storer.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(storer.Object{Key: key, Value: value}, s.newest(key).Version)
}

// Remove deletes an object regardless of its version.
func (s *Store) Remove(key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.write(storer.Object{Key: key, Deleted: true}, s.newest(key).Version)
	return err
}

// Watch returns the changes under a prefix after a version. If there are none, it waits
// for one and returns an empty page after watchTimeout.
func (s *Store) Watch(ctx context.Context, prefix string, after storer.Version) (storer.Page, error) {
	err := s.beginCall(ctx, func(c *Counters) { c.Watches++ })
	if err != nil {
		return storer.Page{}, err
	}
	timeout := time.NewTimer(watchTimeout)
	defer timeout.Stop()
	for {
		page, changed, err := s.changesAfter(prefix, after)
		if err != nil || len(page.Objects) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return page, nil
		case <-ctx.Done():
			return storer.Page{}, storer.ErrUnavailable
		}
	}
}

// changesAfter returns the changes under a prefix after a version, and a channel that is
// closed at the next change.
func (s *Store) changesAfter(prefix string, after storer.Version) (storer.Page, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Revision() < s.faults.History || after.Revision() > s.version.Revision() {
		return storer.Page{}, nil, storer.ErrHistoryGone
	}
	page := storer.Page{Version: s.version}
	// Revisions start at 1 without gaps, so the revision is also the index of the next change.
	for _, c := range s.history[after.Revision():] {
		if strings.HasPrefix(c.Key, prefix) {
			page.Objects = append(page.Objects, c.Object)
		}
	}
	return page, s.changed, nil
}

// Version returns the version of the last change.
func (s *Store) Version() storer.Version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// Previous returns the object of a key before its last change.
func (s *Store) Previous(key string) (storer.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.previous[key]
	return object, ok
}
