package vetter

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"
)

const (
	// maxPushed is the number of records in one message.
	maxPushed = 64
	// pushedSuspects bounds those of them that aren't blocked.
	pushedSuspects = 32
)

// FullMessage is the number of records from which on a message may lack some that differ.
const FullMessage = pushedSuspects

// Summary has the digest of each record of a host by the fingerprint of its request.
type Summary map[Fingerprint]uint64

// UnmarshalJSON decodes a summary. Members that can't be read are left out, as if the other host
// had no such record.
func (s *Summary) UnmarshalJSON(data []byte) error {
	*s = nil
	if string(data) == "null" {
		return nil
	}
	var members map[string]json.RawMessage
	err := json.Unmarshal(data, &members)
	if err != nil {
		return err
	}
	*s = make(Summary, len(members))
	for name, value := range members {
		var f Fingerprint
		var digest uint64
		if f.UnmarshalText([]byte(name)) == nil && json.Unmarshal(value, &digest) == nil {
			(*s)[f] = digest
		}
	}
	return nil
}

// Digest returns a number that is the same for two hosts with the same records.
func (v *Vetter) Digest() uint64 {
	var digest uint64
	for _, e := range v.entries {
		if e.worthTelling() {
			digest ^= e.digest()
		}
	}
	return digest
}

// Summary returns the digest of each record.
func (v *Vetter) Summary() Summary {
	s := make(Summary, len(v.entries))
	for f, e := range v.entries {
		if e.worthTelling() {
			s[f] = e.digest()
		}
	}
	return s
}

// worthTelling reports whether a host that doesn't have the record needs it.
func (e *entry) worthTelling() bool {
	return len(e.open()) > 0 || e.Decision.Count > 0
}

// Compare returns the records that differ from those of a summary of another host or are
// missing there, at most as many as a message takes, and the requests of which this host
// wants the record.
func (v *Vetter) Compare(now time.Time, s Summary) (records []Record, wanted []Fingerprint) {
	var differing []*entry
	for f, e := range v.entries {
		digest, ok := s[f]
		if (ok || e.worthTelling()) && digest != e.digest() {
			differing = append(differing, e)
		}
	}
	for f, digest := range s {
		e := v.entries[f]
		if len(wanted) < maxPushed && (e == nil || e.digest() != digest) {
			wanted = append(wanted, f)
		}
	}
	return v.message(now, differing), wanted
}

// Records returns the records of some requests, at most as many as a message takes.
func (v *Vetter) Records(now time.Time, fingerprints []Fingerprint) []Record {
	var entries []*entry
	for _, f := range fingerprints {
		e := v.entries[f]
		if e != nil {
			entries = append(entries, e)
		}
	}
	return v.message(now, entries)
}

// All returns all records, those of blocked requests first.
func (v *Vetter) All(now time.Time) []Record {
	var entries []*entry
	for _, e := range v.entries {
		entries = append(entries, e)
	}
	sortByWeight(entries)
	records := make([]Record, 0, len(entries))
	for _, e := range entries {
		records = append(records, e.told(now))
	}
	return records
}

// Changed returns the records that have changed and were not returned before, at most as
// many as a message takes; more may be left.
func (v *Vetter) Changed(now time.Time) []Record {
	if len(v.dirty) == 0 {
		return nil
	}
	var entries []*entry
	for f := range v.dirty {
		entries = append(entries, v.entries[f])
	}
	records := v.message(now, entries)
	for _, r := range records {
		delete(v.dirty, r.Fingerprint)
	}
	return records
}

// message returns the records of the entries that weigh most.
func (v *Vetter) message(now time.Time, entries []*entry) []Record {
	sortByWeight(entries)
	var records []Record
	suspects := 0
	for _, e := range entries {
		if !e.blocked {
			suspects++
		}
		if suspects <= pushedSuspects && len(records) < maxPushed {
			records = append(records, e.told(now))
		}
	}
	return records
}

// sortByWeight sorts blocked requests first, then by the number of their ends.
func sortByWeight(entries []*entry) {
	slices.SortFunc(entries, func(a, b *entry) int {
		if a.blocked != b.blocked {
			if a.blocked {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(len(b.left), len(a.left)), b.lastEnd.Compare(a.lastEnd))
	})
}

// told returns the record with its ages.
func (e *entry) told(now time.Time) Record {
	e.pruneTrials(now)
	r := e.Record
	r.EndedMillisAgo = max(now.Sub(e.lastEnd).Milliseconds(), 0)
	for _, t := range e.trials[max(0, len(e.trials)-maxRunning):] {
		r.Running = append(r.Running, Trial{ID: t.id, MillisAgo: max(now.Sub(t.started).Milliseconds(), 0), Ended: t.ended})
	}
	return r
}

// Merge adds the records of another host and returns why some of them can't be used.
func (v *Vetter) Merge(now time.Time, records []Record) (rejected []error) {
	for _, r := range records {
		err := r.Check()
		if err != nil {
			rejected = append(rejected, err)
			continue
		}
		v.merge(now, r.normalized())
	}
	return rejected
}

// normalized returns the record with sorted sets and clean texts, whatever the other host has
// sent.
func (r Record) normalized() Record {
	r.Route, r.Service, r.Request = cleanText(r.Route), cleanText(r.Service), cleanText(r.Request)
	for _, set := range []*[]End{&r.Ends, &r.Trials, &r.Relapses, &r.Cleared, &r.Held} {
		*set = union(nil, *set)
	}
	return r
}

func (v *Vetter) merge(now time.Time, r Record) {
	lastEnd := now.Add(-time.Duration(r.EndedMillisAgo) * time.Millisecond)
	e := v.entries[r.Fingerprint]
	if e == nil {
		told := entry{Record: r}
		if !told.worthTelling() || now.Sub(lastEnd) >= r.life() {
			return
		}
		e = v.insert(now, r)
		e.lastEnd = lastEnd
	}
	v.update(now, e, r, lastEnd)
	v.mergeTrials(now, e, r.Running)
	for _, end := range r.open() {
		// An entry that this adds may displace the merged one.
		v.blameExposed(now, end)
	}
}

// mergeTrials adds the trials of another host.
func (v *Vetter) mergeTrials(now time.Time, e *entry, trials []Trial) {
	e.pruneTrials(now)
	for _, told := range trials {
		started := now.Add(-time.Duration(told.MillisAgo) * time.Millisecond)
		if now.Sub(started) >= trialLife {
			continue
		}
		i := slices.IndexFunc(e.trials, func(t trial) bool { return t.id == told.ID })
		switch {
		case i < 0:
			e.trials = append(e.trials, trial{id: told.ID, started: started, ended: told.Ended})
			v.dirty[e.Fingerprint] = true
		case told.Ended && !e.trials[i].ended:
			e.trials[i].ended = true
			v.dirty[e.Fingerprint] = true
		}
	}
}
