package vetter

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
)

const (
	// saveInterval is the least time between two writes of the evidence of a host, saveRetryMax
	// the longest delay after failed ones.
	saveInterval = 250 * time.Millisecond
	saveRetryMax = 2 * time.Second
	// maxSaved bounds the records that a host keeps in the store, maxSavedBytes their size.
	maxSaved      = 256
	maxSavedBytes = 256 << 10
	// loadPatience is how long a host that has started waits for the evidence of its last life
	// before it serves without.
	loadPatience = 400 * time.Millisecond
)

// SavedRecord is a record as it is kept in the store, which outlasts all hosts.
type SavedRecord struct {
	Record

	// EndedAtMillis is when the last end was observed, in Unix milliseconds.
	EndedAtMillis int64 `json:"endedAtMillis"`
}

// Archive decides when a host writes the evidence that it has observed itself to the store, and
// whether it has read what hosts have written before. Evidence that is less than a verdict is written
// too, since no life of the hosts may see enough ends.
type Archive struct {
	// dirty means that the evidence differs from what was written last.
	dirty   bool
	saving  bool
	nextAt  time.Time
	retry   time.Duration
	started time.Time
	loaded  bool
}

// NewArchive returns the archive of a host that starts at a time.
func NewArchive(now time.Time) *Archive {
	return &Archive{started: now}
}

// Changed records that the evidence of this host has changed, or was lost by the store.
func (a *Archive) Changed() { a.dirty = true }

// Begin reports whether the evidence is to be written now; Ended is to be called then.
func (a *Archive) Begin(now time.Time) bool {
	if !a.dirty || a.saving || now.Before(a.nextAt) {
		return false
	}
	a.dirty, a.saving = false, true
	return true
}

// Ended records the end of a write. A failed one is repeated after a delay.
func (a *Archive) Ended(now time.Time, err error) {
	a.saving = false
	delay := saveInterval
	if err == nil {
		a.retry = 0
	} else {
		a.dirty = true
		a.retry = min(max(2*a.retry, saveInterval), saveRetryMax)
		delay = a.retry
	}
	a.nextAt = now.Add(delay)
}

// Loaded records that this host knows the evidence of the store.
func (a *Archive) Loaded() { a.loaded = true }

// Known reports whether this host knows the evidence of the store.
func (a *Archive) Known() bool { return a.loaded }

// Serves reports whether requests may be served: the evidence is known, or it has taken so long that
// proper requests go first.
func (a *Archive) Serves(now time.Time) bool {
	return a.loaded || now.Sub(a.started) >= loadPatience
}

// Saved returns the evidence of this host as it is to be written, the weightiest records first, and
// at most as much as the store takes.
func (v *Vetter) Saved() []SavedRecord {
	var entries []*entry
	for f := range v.own {
		e := v.entries[f]
		if e.worthTelling() {
			entries = append(entries, e)
		}
	}
	sortByWeight(entries)
	var saved []SavedRecord
	size := 0
	for _, e := range entries[:min(len(entries), maxSaved)] {
		r := SavedRecord{Record: e.Record, EndedAtMillis: e.lastEnd.UnixMilli()}
		encoded, err := json.Marshal(r)
		size += len(encoded)
		if err != nil || size > maxSavedBytes {
			break
		}
		saved = append(saved, r)
	}
	return saved
}

// Restore merges what a host has written to the store, and returns why some of it can't be used. What
// this host has written itself it goes on to write.
func (v *Vetter) Restore(now time.Time, saved decoder.List[SavedRecord], own bool) []error {
	records := make([]Record, 0, len(saved.Elements))
	for _, s := range saved.Elements {
		// The clock of the host that wrote it may be ahead.
		s.EndedMillisAgo = max(now.UnixMilli()-max(s.EndedAtMillis, 0), 0)
		s.Running = nil
		records = append(records, s.Record)
	}
	rejected := slices.Concat(saved.Rejected, v.Merge(now, records))
	for _, r := range records {
		if own && v.entries[r.Fingerprint] != nil {
			v.own[r.Fingerprint] = true
		}
	}
	return rejected
}

// TakeUnsaved reports whether the evidence of this host has changed since the last call in a way that
// has to outlast it.
func (v *Vetter) TakeUnsaved() bool {
	unsaved := v.unsaved
	v.unsaved = false
	return unsaved
}

// observed records that this host has seen an end under a request or a decision about it.
func (v *Vetter) observed(e *entry) {
	if v.entries[e.Fingerprint] == e {
		v.own[e.Fingerprint], v.unsaved = true, true
	}
}
