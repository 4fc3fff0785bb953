package provider

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// Era returns the era of the store: a counter that rises by one each time the store is
// restored from an older copy (a rewind).
func (s *Store) Era() uint64 {
	return s.Version().Era()
}

// Rewind restores the state of the store as it was the given time ago, in the next era.
// The changes since are lost, and later changes reuse their revisions.
func (s *Store) Rewind(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	restorePoint := time.Now().Add(-age)
	kept := len(s.history)
	for kept > 0 && s.history[kept-1].at.After(restorePoint) {
		kept--
	}
	s.rewind(kept)
}

// RewindTo restores the state of the store as of a version of the current era, in the next era.
func (s *Store) RewindTo(version storer.Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rewind(int(version.Revision()))
}

// rewind keeps only the given number of oldest changes, gives these the same revisions in
// the next era and wakes the watches.
func (s *Store) rewind(kept int) {
	history := s.history[:kept]
	s.version = mustVersion(s.version.Era()+1, 0)
	s.history = nil
	clear(s.objects)
	clear(s.previous)
	for _, c := range history {
		s.version++
		c.Version = s.version
		s.setNewest(c.Object)
		s.history = append(s.history, c)
	}
	s.notifyWatches()
}

func mustVersion(era, revision uint64) storer.Version {
	version, err := storer.NewVersion(era, revision)
	if err != nil {
		panic(err)
	}
	return version
}
