package vetter

import (
	"bytes"
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// blockingEnds is the number of servers that must have ended under a request to block it.
	blockingEnds = 3
	// suspectingEnds is the number from which on it runs at one server at a time.
	suspectingEnds = 2
	// suspectLife is how long a request that isn't blocked is remembered after the last end,
	// clearedLife how long if all its ends are cleared.
	suspectLife = time.Minute
	clearedLife = 10 * time.Second
	// blockLife is how long a blocked request is remembered after the last end.
	blockLife = 24 * time.Hour
	// trialLife is how long a trial counts as running if its host doesn't report the end.
	trialLife = 5 * time.Second
	// maxBlocked and maxSuspects bound the requests that are remembered. Suspects don't
	// displace blocked requests.
	maxBlocked  = 1024
	maxSuspects = 256
	// waryWindow is how long unknown requests for the same services begin at one server after a
	// request has been blocked: as long as servers take to come back.
	waryWindow = 4 * time.Second
	// exposureLife is how long a server may go on to run a request that was canceled there,
	// maxExposures bounds the canceled runs that are remembered.
	exposureLife = 300 * time.Millisecond
	maxExposures = 256
	// restartTime is less than a server takes to serve again after its end.
	restartTime = time.Second
	// maxOccurrences bounds the ends of one server that are told apart by the time between them.
	maxOccurrences = 64
	// suspectRetryAfter is the Retry-After of a request while a trial of it runs.
	suspectRetryAfter = 250 * time.Millisecond
)

// BlockedRetryAfter is the Retry-After of a blocked request that gets no further trial.
const BlockedRetryAfter = time.Hour

// trialDelays are the times after the last end from which on a blocked request gets its
// next trial. After the last of them it gets none.
var trialDelays = [...]time.Duration{30 * time.Second, 5 * time.Minute, 30 * time.Minute}

// Verdict says whether a request may be sent to backend servers.
type Verdict int

const (
	// Allowed means that nothing speaks against the request.
	Allowed Verdict = iota
	// Suspected means that it may run at one server at a time, in a trial.
	Suspected
	// Blocked means that it may not run.
	Blocked
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	switch v {
	case Suspected:
		return "suspected"
	case Blocked:
		return "blocked"
	case Allowed:
	}
	return "allowed"
}

// Change is a changed verdict with its evidence.
type Change struct {
	Subject

	Before, After Verdict
	// Ends is the number of servers that ended under the request and that neither a run which
	// ended well nor another blocked request accounts for; Trials counts those that ended
	// under a trial.
	Ends, Trials int
	Decision     Kind
}

// entry is a record with the times at which it changed, by the clock of this host.
type entry struct {
	Record

	lastEnd time.Time
	trials  []trial
	// blocked means that the evidence or an operator blocks the request.
	blocked bool
	// left are the open ends that no other blocked request accounts for.
	left []End
}

type trial struct {
	id      uint64
	started time.Time
	ended   bool
}

// exposure is a run of a request that was canceled, so that its end isn't observed.
type exposure struct {
	subject Subject
	end     End
	at      time.Time
}

// Vetter keeps the records of the requests under which servers have ended.
type Vetter struct {
	entries map[Fingerprint]*entry
	// byEnd has the requests of each end.
	byEnd map[End]map[Fingerprint]*entry
	// knownAt has the time at which each end became known here.
	knownAt map[End]time.Time
	// blocked counts the blocked requests.
	blocked int
	// dirty has the requests whose records have changed since Changed returned them.
	dirty map[Fingerprint]bool
	// verdicts has the verdicts of which a Change has been reported, if not Allowed.
	verdicts map[Fingerprint]Verdict
	// own has the requests of which this host has seen an end or a decision, so that it keeps
	// their records in the store; unsaved means that these have changed.
	own       map[Fingerprint]bool
	unsaved   bool
	changes   []Change
	exposures []exposure
	random    *rand.Rand
}

// New returns a vetter without records, which draws the IDs of trials from a source.
func New(random *rand.Rand) *Vetter {
	return &Vetter{
		entries: make(map[Fingerprint]*entry), byEnd: make(map[End]map[Fingerprint]*entry), knownAt: make(map[End]time.Time),
		dirty: make(map[Fingerprint]bool), verdicts: make(map[Fingerprint]Verdict), own: make(map[Fingerprint]bool), random: random,
	}
}

// Len returns the number of requests that are remembered.
func (v *Vetter) Len() int { return len(v.entries) }

// Count returns how many requests are suspected and how many are blocked.
func (v *Vetter) Count() (suspected, blocked int) {
	for _, verdict := range v.verdicts {
		if verdict == Suspected {
			suspected++
		}
	}
	return suspected, v.blocked
}

// Judge returns the verdict on a request.
func (v *Vetter) Judge(now time.Time, f Fingerprint) Verdict {
	e := v.entries[f]
	if e == nil {
		return Allowed
	}
	return e.verdict(now)
}

func (e *entry) verdict(now time.Time) Verdict {
	switch {
	case e.blocked && e.Decision.Kind != Pinned && e.trialDue(now):
		return Suspected
	case e.blocked:
		return Blocked
	case len(e.left) >= suspectingEnds:
		return Suspected
	}
	return Allowed
}

// trialDue reports whether a blocked request gets another trial.
func (e *entry) trialDue(now time.Time) bool {
	at, ok := e.nextTrial()
	return ok && !now.Before(at)
}

// nextTrial returns when a blocked request gets another trial, and false if it gets none.
func (e *entry) nextTrial() (time.Time, bool) {
	relapses := len(without(e.Relapses, e.Cleared))
	if e.Decision.Kind == Pinned || relapses >= len(trialDelays) {
		return time.Time{}, false
	}
	return e.lastEnd.Add(trialDelays[relapses]), true
}

// Doubted reports whether a server has ended under a request for no other known cause.
func (v *Vetter) Doubted(f Fingerprint) bool {
	e := v.entries[f]
	return e != nil && (e.blocked || len(e.left) > 0)
}

// Wary reports whether a blocked request has ended servers of a service so lately that they
// aren't back, so that another one may end the last server of a shard.
func (v *Vetter) Wary(now time.Time, service string) bool {
	if v.blocked == 0 {
		return false
	}
	for f := range v.verdicts {
		e := v.entries[f]
		if e.blocked && e.Service == service && now.Sub(e.lastEnd) < waryWindow {
			return true
		}
	}
	return false
}

// RetryAfter returns when a request that may not run now may be sent again.
func (v *Vetter) RetryAfter(now time.Time, f Fingerprint) time.Duration {
	e := v.entries[f]
	if e == nil || !e.blocked {
		return suspectRetryAfter
	}
	at, ok := e.nextTrial()
	if !ok {
		return BlockedRetryAfter
	}
	return max(at.Sub(now), suspectRetryAfter)
}

// Begin begins a trial of a suspected request, and reports false if another one runs. End is
// to be called with the ID.
func (v *Vetter) Begin(now time.Time, f Fingerprint) (id uint64, ok bool) {
	e := v.entries[f]
	if e == nil {
		return 0, true
	}
	e.pruneTrials(now)
	if slices.ContainsFunc(e.trials, func(t trial) bool { return !t.ended }) {
		return 0, false
	}
	id = v.random.Uint64() | 1
	e.trials = append(e.trials, trial{id: id, started: now})
	v.dirty[f] = true
	return id, true
}

// End records the end of a trial; it has no effect for the ID 0.
func (v *Vetter) End(f Fingerprint, id uint64) {
	e := v.entries[f]
	if e == nil || id == 0 {
		return
	}
	for i := range e.trials {
		if e.trials[i].id == id && !e.trials[i].ended {
			e.trials[i].ended = true
			v.dirty[f] = true
		}
	}
}

// pruneTrials drops the trials that are over or too old, so that a late report of the start
// of one has no effect.
func (e *entry) pruneTrials(now time.Time) {
	e.trials = slices.DeleteFunc(e.trials, func(t trial) bool { return now.Sub(t.started) >= trialLife })
}

// ServerEnded records that a server has ended while it ran a request, and also counts that
// against requests whose run there was canceled shortly before. The run was a trial if nothing
// else of the request ran.
func (v *Vetter) ServerEnded(now time.Time, s Subject, end End, trial bool) {
	end = v.occurrence(now, end)
	v.addEnd(now, s, end, trial)
	v.blameExposed(now, end)
}

// ServerLost records that a server has ended under other requests alone.
func (v *Vetter) ServerLost(now time.Time, end End) {
	v.blameExposed(now, v.occurrence(now, end))
}

// occurrence returns which end of a server an observed one is. The list of servers may be too old
// to tell that the server has started again since an earlier one.
func (v *Vetter) occurrence(now time.Time, listed End) End {
	if v.byEnd[listed] == nil {
		return listed
	}
	last := listed
	for n := 1; n < maxOccurrences; n++ {
		next := listed.again(n)
		if v.byEnd[next] == nil {
			if now.Sub(v.knownAt[last]) < restartTime {
				return last
			}
			return next
		}
		last = next
	}
	return last
}

func (v *Vetter) blameExposed(now time.Time, end End) {
	for _, x := range v.exposures {
		if now.Sub(x.at) < exposureLife && v.occurrence(now, x.end) == end {
			v.addEnd(now, x.subject, end, false)
		}
	}
}

// Expose records that a run of a request that may end servers was canceled at a server.
func (v *Vetter) Expose(now time.Time, s Subject, end End) {
	v.exposures = slices.DeleteFunc(v.exposures, func(x exposure) bool { return now.Sub(x.at) >= exposureLife })
	if len(v.exposures) < maxExposures {
		v.exposures = append(v.exposures, exposure{subject: s, end: end, at: now})
	}
}

func (v *Vetter) addEnd(now time.Time, s Subject, end End, trial bool) {
	e := v.entries[s.Fingerprint]
	if e == nil {
		e = v.insert(now, Record{Fingerprint: s.Fingerprint, Route: s.Route, Service: s.Service, Request: s.Request})
	}
	added := Record{Ends: []End{end}}
	if trial {
		added.Trials = added.Ends
	}
	if trial && e.blocked {
		added.Relapses = added.Ends
	}
	v.update(now, e, added, now)
	v.observed(e)
	if e.blocks(e.left) && e.Decision.Kind != Pinned {
		v.update(now, e, Record{Held: e.left}, now)
	}
}

// RanWell records that a run of a request has ended without the end of its server.
func (v *Vetter) RanWell(now time.Time, f Fingerprint) {
	e := v.entries[f]
	if e == nil || len(e.open()) == 0 {
		return
	}
	v.update(now, e, Record{Cleared: e.Ends}, e.lastEnd)
}

// Decide applies a decision of an operator about a request.
func (v *Vetter) Decide(now time.Time, f Fingerprint, kind Kind) {
	e := v.entries[f]
	if e == nil {
		e = v.insert(now, Record{Fingerprint: f})
	}
	decided := Record{Decision: Decision{Kind: kind, Count: e.Decision.Count + 1}}
	if kind == Lifted {
		decided.Cleared = e.Ends
	}
	v.update(now, e, decided, now)
	v.observed(e)
}

// insert adds an entry; the oldest suspect makes room for it.
func (v *Vetter) insert(now time.Time, r Record) *entry {
	v.makeRoom()
	e := &entry{Record: Record{Fingerprint: r.Fingerprint, Route: r.Route, Service: r.Service, Request: r.Request}, lastEnd: now}
	v.entries[r.Fingerprint] = e
	return e
}

// makeRoom drops the oldest suspect if there are maxSuspects. Blocked requests beyond
// maxBlocked count as suspects.
func (v *Vetter) makeRoom() {
	if len(v.entries)-min(v.blocked, maxBlocked) < maxSuspects {
		return
	}
	var oldest *entry
	for _, e := range v.entries {
		if (!e.blocked || v.blocked > maxBlocked) && (oldest == nil || e.olderThan(oldest)) {
			oldest = e
		}
	}
	if oldest != nil {
		v.drop(oldest)
	}
}

// olderThan orders entries for makeRoom: those that aren't blocked first, then by age.
func (e *entry) olderThan(other *entry) bool {
	if e.blocked != other.blocked {
		return !e.blocked
	}
	return e.lastEnd.Before(other.lastEnd)
}

// update merges sets into an entry, which then last changed at a time.
func (v *Vetter) update(now time.Time, e *entry, added Record, lastEnd time.Time) {
	merged, changed := e.withSets(added)
	if !changed {
		return
	}
	for _, end := range merged.Ends {
		if v.byEnd[end] == nil {
			v.byEnd[end] = make(map[Fingerprint]*entry)
			v.knownAt[end] = now
		}
		v.byEnd[end][e.Fingerprint] = e
	}
	e.Record = merged
	if lastEnd.After(e.lastEnd) {
		e.lastEnd = lastEnd
	}
	v.dirty[e.Fingerprint] = true
	// A single end that is cleared counts for nothing when it is read again.
	v.unsaved = v.unsaved || (v.own[e.Fingerprint] && (len(e.Ends) >= suspectingEnds || e.Decision.Count > 0))
	v.judgeGroup(now, e)
}

// judgeGroup decides anew about all requests that share ends with one. The request that most
// servers ended under is decided about first; if it is blocked, it accounts for its ends, so
// that they don't count against the others, which ran at the same servers.
func (v *Vetter) judgeGroup(now time.Time, first *entry) {
	group := v.group(first)
	slices.SortFunc(group, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(len(b.open()), len(a.open())), cmp.Compare(len(b.Trials), len(a.Trials)), bytes.Compare(a.Fingerprint[:], b.Fingerprint[:]))
	})
	accounted := make(map[End]bool)
	for _, e := range group {
		open := e.open()
		e.left = slices.DeleteFunc(slices.Clone(open), func(end End) bool { return accounted[end] })
		blocked := e.blocks(e.left) || e.holds(e.left)
		if blocked != e.blocked {
			v.blocked += map[bool]int{true: 1, false: -1}[blocked]
			e.blocked = blocked
		}
		for _, end := range open {
			accounted[end] = accounted[end] || blocked
		}
	}
	for _, e := range group {
		v.report(now, e)
	}
}

// group returns the requests that share ends with one, directly or through others.
func (v *Vetter) group(first *entry) []*entry {
	seen := map[Fingerprint]bool{first.Fingerprint: true}
	group := []*entry{first}
	for i := 0; i < len(group); i++ {
		for _, end := range group[i].Ends {
			for f, e := range v.byEnd[end] {
				if !seen[f] {
					seen[f] = true
					group = append(group, e)
				}
			}
		}
	}
	return group
}

// report records the change of a verdict.
func (v *Vetter) report(now time.Time, e *entry) {
	before, after := v.verdicts[e.Fingerprint], e.verdict(now)
	if before == after {
		return
	}
	if after == Allowed {
		delete(v.verdicts, e.Fingerprint)
	} else {
		v.verdicts[e.Fingerprint] = after
	}
	v.changes = append(v.changes, Change{
		Subject: Subject{Fingerprint: e.Fingerprint, Route: e.Route, Service: e.Service, Request: e.Request},
		Before:  before, After: after, Ends: len(e.left), Trials: len(e.left) - len(without(e.left, e.Trials)), Decision: e.Decision.Kind,
	})
}

// Changes returns the changes of verdicts since the last call.
func (v *Vetter) Changes() []Change {
	changes := v.changes
	v.changes = nil
	return changes
}

// Expire drops the requests that are not to be remembered any longer.
func (v *Vetter) Expire(now time.Time) {
	for _, e := range slices.Collect(maps.Values(v.entries)) {
		if e.Decision.Kind != Pinned && now.Sub(e.lastEnd) >= e.life() {
			v.drop(e)
		}
	}
}

// drop forgets a request.
func (v *Vetter) drop(e *entry) {
	delete(v.entries, e.Fingerprint)
	delete(v.dirty, e.Fingerprint)
	delete(v.verdicts, e.Fingerprint)
	delete(v.own, e.Fingerprint)
	if e.blocked {
		v.blocked--
	}
	for _, end := range e.Ends {
		delete(v.byEnd[end], e.Fingerprint)
		if len(v.byEnd[end]) == 0 {
			delete(v.byEnd, end)
			delete(v.knownAt, end)
		}
	}
}

// Blocked returns the blocked requests with the time at which they may be sent again; the
// time is zero without one.
func (v *Vetter) Blocked() map[Fingerprint]time.Time {
	if v.blocked == 0 {
		return nil
	}
	blocked := make(map[Fingerprint]time.Time, v.blocked)
	for f, e := range v.entries {
		if e.blocked {
			blocked[f], _ = e.nextTrial()
		}
	}
	return blocked
}
