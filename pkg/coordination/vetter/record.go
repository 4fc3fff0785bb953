package vetter

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"
	"unicode"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxSetLen bounds each set of a Record.
	maxSetLen = 64
	// maxTextBytes bounds the texts of a Record.
	maxTextBytes = 160
	// maxRunning bounds the trials of a Record.
	maxRunning = 8
	// maxAge bounds the age that a host may tell; an older Record counts for nothing.
	maxAge = 30 * 24 * time.Hour
)

// End identifies the end of one incarnation of a backend server.
type End uint64

// EndOf returns the end of the incarnation of a server that started at a time in Unix
// milliseconds.
func EndOf(server string, startedAtMillis int64) End {
	return End(xxhash.Sum64String(fmt.Sprintf("%d %s", startedAtMillis, server)))
}

// again returns the end of the server's nth later run whose start isn't known.
func (e End) again(n int) End {
	return End(xxhash.Sum64String(fmt.Sprintf("%d again %d", e, n)))
}

// Subject is a request with what operators need to recognise it.
type Subject struct {
	Fingerprint Fingerprint
	// Route is the name of its route, Service the first of the services to which it is sent.
	Route   string
	Service string
	// Request is the method, path and query, shortened.
	Request string
}

// NewSubject returns the subject of a request with a method, and a target of path and query.
func NewSubject(f Fingerprint, route, service, method, target string) Subject {
	return Subject{Fingerprint: f, Route: cleanText(route), Service: cleanText(service), Request: cleanText(method + " " + target)}
}

// cleanText returns at most maxTextBytes of a text without control characters.
func cleanText(text string) string {
	text = strings.Map(func(r rune) rune {
		if !unicode.IsPrint(r) {
			return '?'
		}
		return r
	}, text)
	for len(text) > maxTextBytes {
		text = strings.ToValidUTF8(text[:maxTextBytes], "")
	}
	return text
}

// Kind is what an operator has decided about a request.
type Kind int

const (
	// Undecided leaves the request to the evidence.
	Undecided Kind = iota
	// Lifted drops the evidence up to the decision.
	Lifted
	// Pinned blocks the request until it is lifted.
	Pinned
)

// Decision is the newest decision of the operators about a request. A greater Count
// replaces a smaller one.
type Decision struct {
	Kind  Kind   `json:"kind"`
	Count uint32 `json:"count"`
}

// merge returns the newer of two decisions.
func (d Decision) merge(other Decision) Decision {
	if other.Count > d.Count || (other.Count == d.Count && other.Kind > d.Kind) {
		return other
	}
	return d
}

// Trial is a run of a suspected request, of which only one is allowed at a time.
type Trial struct {
	ID uint64 `json:"id"`
	// MillisAgo is the time since its start.
	MillisAgo int64 `json:"millisAgo"`
	Ended     bool  `json:"ended,omitempty"`
}

// Record is what hosts tell each other about one request. Its sets only grow, so that
// records can be merged in any order and more than once.
type Record struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Route       string      `json:"route"`
	Service     string      `json:"service"`
	Request     string      `json:"request"`
	// Ends are the servers that ended while they ran the request, in ascending order.
	Ends []End `json:"ends"`
	// Trials are those of Ends that ended under a trial, Relapses those that ended under a
	// trial after the request had been blocked.
	Trials   []End `json:"trials,omitempty"`
	Relapses []End `json:"relapses,omitempty"`
	// Cleared are those of Ends that a later run which ended well has shown to have another
	// cause.
	Cleared []End `json:"cleared,omitempty"`
	// Held are those of Ends by which the observer of the last one found the request blocked.
	Held     []End    `json:"held,omitempty"`
	Decision Decision `json:"decision"`
	// EndedMillisAgo is the time since the last end was observed.
	EndedMillisAgo int64 `json:"endedMillisAgo"`
	// Running are the trials of the last seconds.
	Running []Trial `json:"running,omitempty"`
}

var errNoFingerprint = errors.New("the record has no fingerprint")

// Check returns why a record of another host can't be used.
func (r Record) Check() error {
	switch {
	case r.Fingerprint == Fingerprint{}:
		return errNoFingerprint
	case max(len(r.Route), len(r.Service), len(r.Request)) > maxTextBytes:
		return fmt.Errorf("a text of the record of %s is longer than %d bytes", r.Fingerprint, maxTextBytes)
	case len(r.Running) > maxRunning:
		return fmt.Errorf("the record of %s has %d trials, more than %d", r.Fingerprint, len(r.Running), maxRunning)
	case r.EndedMillisAgo < 0 || r.EndedMillisAgo > maxAge.Milliseconds():
		return fmt.Errorf("the record of %s has an age of %d ms", r.Fingerprint, r.EndedMillisAgo)
	case r.Decision.Kind < Undecided || r.Decision.Kind > Pinned:
		return fmt.Errorf("the record of %s has a decision of kind %d", r.Fingerprint, r.Decision.Kind)
	}
	for _, trial := range r.Running {
		if trial.MillisAgo < 0 || trial.MillisAgo > maxAge.Milliseconds() {
			return fmt.Errorf("the record of %s has a trial with an age of %d ms", r.Fingerprint, trial.MillisAgo)
		}
	}
	for _, set := range [][]End{r.Ends, r.Trials, r.Relapses, r.Cleared, r.Held} {
		if len(set) > maxSetLen {
			return fmt.Errorf("a set of the record of %s has %d elements, more than %d", r.Fingerprint, len(set), maxSetLen)
		}
	}
	return nil
}

// withSets returns the record with the sets of another one added, and whether that has
// changed it.
func (r Record) withSets(other Record) (Record, bool) {
	before := r
	r.Ends = union(r.Ends, other.Ends)
	r.Trials = union(r.Trials, other.Trials)
	r.Relapses = union(r.Relapses, other.Relapses)
	r.Cleared = union(r.Cleared, other.Cleared)
	r.Held = union(r.Held, other.Held)
	r.Decision = r.Decision.merge(other.Decision)
	changed := !slices.Equal(r.Ends, before.Ends) || !slices.Equal(r.Trials, before.Trials) ||
		!slices.Equal(r.Relapses, before.Relapses) || !slices.Equal(r.Cleared, before.Cleared) || !slices.Equal(r.Held, before.Held) || r.Decision != before.Decision
	return r, changed
}

// union returns the least maxSetLen elements of two sets, in ascending order. Of an element
// that is in two sets, either both or neither keep it if one contains the other, whatever the
// order of unions.
func union(a, b []End) []End {
	if len(b) == 0 {
		return a
	}
	all := slices.Concat(a, b)
	slices.Sort(all)
	all = slices.Compact(all)
	return all[:min(len(all), maxSetLen)]
}

// contains reports whether an element is in a set.
func contains(set []End, e End) bool {
	_, ok := slices.BinarySearch(set, e)
	return ok
}

// open returns the ends that nothing has cleared.
func (r Record) open() []End {
	return without(r.Ends, r.Cleared)
}

// without returns the elements of a set that are not in another one.
func without(set, other []End) []End {
	var left []End
	for _, end := range set {
		if !contains(other, end) {
			left = append(left, end)
		}
	}
	return left
}

// intersects reports whether two sets have an element in common.
func intersects(a, b []End) bool {
	return slices.ContainsFunc(a, func(end End) bool { return contains(b, end) })
}

// blocks reports whether some open ends, alone, block the request.
func (r Record) blocks(open []End) bool {
	return r.Decision.Kind == Pinned || (len(open) >= blockingEnds && intersects(open, r.Trials))
}

// holds reports whether the request stays blocked though other blocked requests account for all
// but some ends.
func (r Record) holds(left []End) bool {
	open := r.open()
	return len(left) > 0 && intersects(r.Held, open) && r.blocks(open)
}

// life returns how long the record is remembered after the last end.
func (r Record) life() time.Duration {
	open := r.open()
	switch {
	case r.Decision.Kind == Pinned:
		return maxAge
	case r.Decision.Count > 0 || r.blocks(open):
		return blockLife
	case len(open) == 0:
		return clearedLife
	}
	return suspectLife
}

// digest returns a number that is the same for records with the same sets and decision.
func (r Record) digest() uint64 {
	h := xxhash.New()
	_, _ = h.Write(r.Fingerprint[:])
	for _, set := range [][]End{r.Ends, r.Trials, r.Relapses, r.Cleared, r.Held} {
		_, _ = fmt.Fprintf(h, "|%d", set)
	}
	_, _ = fmt.Fprintf(h, "|%d", r.Decision)
	return h.Sum64()
}
