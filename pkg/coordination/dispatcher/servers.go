package dispatcher

import (
	"time"
)

const (
	// latencyWeight is the weight of a new sample in the smoothed latency.
	latencyWeight = 0.1
	// measurementLifetime is the time in which the weight of a measured latency falls to 0.
	measurementLifetime = 5 * time.Second
	// reportLifetime is the age at which a load report no longer counts.
	reportLifetime = 100 * time.Millisecond
	// reportWeight and maxReportedLoad limit the effect of a wrong load report: each
	// reported request counts as half of one in flight, and at most 4 count.
	reportWeight    = 0.5
	maxReportedLoad = 4
	// slowStartAnswers is the number of answers until the latency of a new or
	// formerly ejected server is used. Until then, the server counts as slower than
	// a typical replica, by a factor that falls from slowStartFactor to 1.
	slowStartAnswers = 20
	// prefetch is the number of sub-requests in excess of the slots that are sent
	// to a server whose round trip is over prefetchLatencyFraction of its latency.
	prefetch                = 1
	prefetchLatencyFraction = 0.15
	slowStartFactor         = 2.0
	// ejectAfterFailures is the number of consecutive failures that eject a server.
	ejectAfterFailures = 5
	// minEjection is the time of the first ejection; it doubles with each
	// ejection without an answer in between, up to maxEjection.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// minPause is the shortest pause of a server that rejected a request, and
	// the interval at which a sub-request waiting for a paused server is retried.
	minPause = 10 * time.Millisecond
	// maxPause limits the pause that a server can request with Retry-After.
	maxPause = time.Second
)

type server struct {
	slots      int
	roundTrip  time.Duration
	inFlight   int
	answers    int     // since the last ejection
	latency    float64 // smoothed, in nanoseconds
	measuredAt time.Time

	reportedLoad int
	reportedAt   time.Time

	failures     int // consecutive, since the last ejection
	ejections    int // since the last answer
	ejectedUntil time.Time
	pausedUntil  time.Time
	shards       []int // shards of which the server has got sub-requests
}

func (s *server) recordAnswer(now time.Time, latency time.Duration) {
	s.failures = 0
	s.ejections = 0
	s.answers++
	s.recordLatency(now, latency)
}

func (s *server) recordLatency(now time.Time, latency time.Duration) {
	s.measuredAt = now
	if s.latency == 0 {
		s.latency = float64(latency)
		return
	}
	s.latency += latencyWeight * (float64(latency) - s.latency)
}

// recordCanceled records how long an attempt was outstanding before it was canceled
// because its sub-request was settled without it. This is a lower bound of its latency, so
// it counts only if it exceeds the smoothed latency.
func (s *server) recordCanceled(now time.Time, outstanding time.Duration) {
	if float64(outstanding) > s.latency {
		s.recordLatency(now, outstanding)
	}
}

// relativeLatency returns the server's latency divided by the typical one. It
// approaches 1 as the measurement ages, so that a formerly slow server is
// probed again. Until the server has given slowStartAnswers answers, it returns the
// slow-start factor instead.
func (s *server) relativeLatency(now time.Time, typical float64) float64 {
	if s.answers < slowStartAnswers || typical <= 0 {
		return 1 + (slowStartFactor-1)*float64(max(slowStartAnswers-s.answers, 0))/slowStartAnswers
	}
	fresh := max(0, 1-float64(now.Sub(s.measuredAt))/float64(measurementLifetime))
	return 1 + fresh*(s.latency/typical-1)
}

// recordFailure records a failure of the server itself and ejects it after
// ejectAfterFailures consecutive ones.
func (s *server) recordFailure(now time.Time) {
	s.failures++
	if s.failures < ejectAfterFailures {
		return
	}
	s.failures = 0
	ejection := min(minEjection<<s.ejections, maxEjection)
	s.ejections = min(s.ejections+1, 5)
	s.ejectedUntil = now.Add(ejection)
	s.answers = 0
}

// pause stops new requests to a server that has rejected one or is draining, for its
// Retry-After, but at least minPause and at most maxPause.
func (s *server) pause(now time.Time, retryAfter time.Duration) {
	duration := min(max(retryAfter, minPause), maxPause)
	s.pausedUntil = now.Add(duration)
}

func (s *server) available(now time.Time) bool {
	return !now.Before(s.ejectedUntil) && !now.Before(s.pausedUntil)
}

// hasSlot reports whether a sub-request may be sent now. If the round trip is
// a large part of the latency, one more may wait at the server, so that
// no slot idles for a round trip.
func (s *server) hasSlot() bool {
	if float64(s.roundTrip) > prefetchLatencyFraction*s.latency {
		return s.inFlight < s.slots+prefetch
	}
	return s.inFlight < s.slots
}

// load returns the number of requests expected ahead of a new sub-request:
// those that this process has in flight and, until the server has given
// slowStartAnswers answers, part of those in a recent load report.
func (s *server) load(now time.Time, useReports bool) float64 {
	load := float64(s.inFlight)
	if useReports && s.answers < slowStartAnswers && now.Sub(s.reportedAt) < reportLifetime {
		load += reportWeight * float64(min(s.reportedLoad, maxReportedLoad))
	}
	return load
}

// cost returns the expected time to the answer in units of the shard's typical latency.
func (s *server) cost(now time.Time, typical float64, useReports bool) float64 {
	return (s.load(now, useReports) + 1) * s.relativeLatency(now, typical)
}

// queuedCost returns the expected time to the answer, in units of the shard's
// typical latency, of a sub-request behind the given number of queued ones.
func (s *server) queuedCost(now time.Time, typical float64, waiting int) float64 {
	relative := s.relativeLatency(now, typical)
	if s.inFlight < s.slots {
		return relative
	}
	return relative * (1 + float64(waiting+1)/float64(max(s.slots, 1)))
}

func (s *server) addShard(shard int) {
	for _, known := range s.shards {
		if known == shard {
			return
		}
	}
	s.shards = append(s.shards, shard)
}
