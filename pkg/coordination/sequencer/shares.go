package sequencer

import (
	"math"
	"time"
)

const (
	// shareMemory is the half-life of what is known of the requests served and refused.
	shareMemory = 10 * time.Second
	// calmTime is how long no request must have waited for the shares to be forgotten.
	calmTime = 2 * time.Second
	// leastServed is the fraction, of the share of all requests that are served, below which
	// the requests of an organisation and rank go before all others.
	leastServed = 0.35
	// arrivalMemory is the time over which the rate of arriving work is taken.
	arrivalMemory = time.Second
	// forgettable is a number of requests that no longer counts.
	forgettable = 0.05
)

// first is the rank of the requests that go before all others.
var first = Rank{Organisation: math.MinInt, Route: math.MinInt}

// flow names the requests of an organisation that have one rank.
type flow struct {
	rank         Rank
	organisation string
}

// tally counts the requests that were served, or are to be served first, and those refused.
type tally struct{ served, refused float64 }

func (t tally) share() float64 {
	if t.served+t.refused == 0 {
		return 1
	}
	return t.served / (t.served + t.refused)
}

// arrivals is the work of a rank that has arrived, which counts less with time.
type arrivals struct {
	work float64
	at   time.Time
}

func (a arrivals) until(now time.Time) float64 {
	return a.work * math.Exp(-now.Sub(a.at).Seconds()/arrivalMemory.Seconds())
}

// shares divides the work among flows by start-time fair queueing: each rank has a virtual time,
// which is the start of the request admitted last, and each flow the virtual time at which its
// last request ends.
type shares struct {
	virtual  map[Rank]float64
	ends     map[flow]float64
	tallies  map[flow]tally
	all      tally
	arrivals map[Rank]arrivals
	// fadedAt is when the tallies were last halved.
	fadedAt time.Time
}

func (s *shares) reset() {
	*s = shares{virtual: make(map[Rank]float64), ends: make(map[flow]float64), tallies: make(map[flow]tally), arrivals: make(map[Rank]arrivals)}
}

// starved reports whether a flow is served much less often than all.
func (s *shares) starved(f flow) bool {
	return s.tallies[f].share() < leastServed*s.all.share()
}

// enqueue returns the virtual start of a request with some work.
func (s *shares) enqueue(f flow, work float64) (start float64) {
	start = max(s.virtual[f.rank], s.ends[f])
	s.ends[f] = start + work
	return start
}

// dequeue records that a request was admitted.
func (s *shares) dequeue(f flow, start float64) {
	s.virtual[f.rank] = max(s.virtual[f.rank], start)
}

func (s *shares) count(f flow, served, refused float64) {
	t := s.tallies[f]
	t.served, t.refused = t.served+served, t.refused+refused
	s.tallies[f] = t
	s.all.served, s.all.refused = s.all.served+served, s.all.refused+refused
}

// record records that work of a rank has arrived.
func (s *shares) record(now time.Time, rank Rank, work float64) {
	s.arrivals[rank] = arrivals{s.arrivals[rank].until(now) + work, now}
}

// workBefore returns the work per second that arrives and goes before that of a rank.
func (s *shares) workBefore(now time.Time, rank Rank) float64 {
	before := 0.0
	for other, a := range s.arrivals {
		if other.Compare(rank) < 0 {
			before += a.until(now)
		}
	}
	return before / arrivalMemory.Seconds()
}

// fade halves the tallies from time to time and drops what no longer matters.
func (s *shares) fade(now time.Time) {
	if s.fadedAt.IsZero() {
		s.fadedAt = now
	}
	if now.Sub(s.fadedAt) < shareMemory {
		return
	}
	s.fadedAt = now
	s.all = tally{s.all.served / 2, s.all.refused / 2}
	for f, t := range s.tallies {
		t = tally{t.served / 2, t.refused / 2}
		s.tallies[f] = t
		if t.served+t.refused < forgettable {
			delete(s.tallies, f)
		}
	}
	for f, end := range s.ends {
		if end <= s.virtual[f.rank] {
			delete(s.ends, f)
		}
	}
}
