package scatterer

import (
	"math"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const (
	// relayDelay is how long sub-requests that failed wait for others, to be sent through the
	// same peer.
	relayDelay = 2 * time.Millisecond
	// rescueDelay is how long a request waits for the ends of its attempts after their failure
	// domain has become unreachable: connections that are being opened are given up then.
	rescueDelay = 5 * time.Millisecond
	// maxUnprovenRelays is the number of concurrent relays of a route until a peer has served
	// one.
	maxUnprovenRelays = 4
	// relayFailures is the number of consecutive failures after which peers no longer count
	// as able to serve a route.
	relayFailures = 3
	// relayPauseMin and relayPauseMax bound the time between relays of a route that no peer
	// serves, noPeerPauseMin and noPeerPauseMax that between searches for a peer.
	relayPauseMin  = 300 * time.Millisecond
	relayPauseMax  = 2400 * time.Millisecond
	noPeerPauseMin = 100 * time.Millisecond
	noPeerPauseMax = 600 * time.Millisecond
	// goldenRatio spreads consecutive request IDs evenly over the unit interval.
	goldenRatio = 0.6180339887498949
)

// relayGate limits the relays of a route. If its servers are down for all hosts, peers
// can't serve it either; then single relays find out when they can.
type relayGate struct {
	// proven means that a peer has served the route.
	proven   bool
	inFlight int
	// failures counts the consecutive relays that were not served.
	failures int
	// closedUntil is the time before which nothing is sent to peers, pause the length of that
	// time.
	closedUntil time.Time
	pause       time.Duration
}

// allows reports whether a relay may be sent now.
func (g *relayGate) allows(now time.Time) bool {
	switch {
	case g.proven:
		return true
	case now.Before(g.closedUntil):
		return false
	case g.failures > 0:
		return g.inFlight == 0
	}
	return g.inFlight < maxUnprovenRelays
}

// reopensIn returns the time until a relay may be sent, 0 if it may be now.
func (g *relayGate) reopensIn(now time.Time) time.Duration {
	return max(g.closedUntil.Sub(now), 0)
}

// ended records the outcome of a relay.
func (g *relayGate) ended(now time.Time, outcome RelayOutcome) {
	g.inFlight--
	least, most := relayPauseMin, relayPauseMax
	switch outcome {
	case RelayServed:
		g.proven, g.failures, g.pause, g.closedUntil = true, 0, 0, time.Time{}
		return
	case RelayCanceled:
		return
	case RelayNoPeer:
		least, most = noPeerPauseMin, noPeerPauseMax
	case RelayFailed, RelayUnserved:
	}
	g.failures++
	if g.proven && g.failures < relayFailures {
		return
	}
	g.proven = false
	g.pause = min(max(2*g.pause, least), most)
	g.closedUntil = now.Add(g.pause)
}

// mayRelay reports whether a request may be sent through a peer at all.
func (m *Machine) mayRelay(r *request) bool {
	return m.cfg.Relays && !r.forwarded && r.refusal == 0
}

// planRelay marks the sub-requests that are sent through a peer since their servers can't be
// reached, removes their choices and returns their number. For a while after a partition
// it also marks some whose servers can be reached again, so that hosts don't return all at
// once.
func (m *Machine) planRelay(now time.Time, r *request, choices []placer.Choice) int {
	gate := &r.stats.relays
	allowed := m.mayRelay(r) && gate.allows(now)
	relayed := 0
	for i, choice := range choices {
		sub := &r.subRequests[i]
		sub.relayed = allowed && choice.Server != nil &&
			((choice.Unavailable && choice.NoPath) || (gate.proven && m.returnsLater(now, r, choice)))
		if sub.relayed {
			choices[i] = placer.Choice{}
			relayed++
		}
	}
	return relayed
}

// returnsLater reports whether a request still avoids the failure domain of a server that
// can be reached again.
func (m *Machine) returnsLater(now time.Time, r *request, choice placer.Choice) bool {
	_, place := math.Modf(float64(r.id) * goldenRatio)
	return place >= m.detector.Ramp(now, choice.Server.Domain)
}

// sendPlannedRelay sends the sub-requests that planRelay has marked.
func (m *Machine) sendPlannedRelay(now time.Time, r *request) {
	var subRequests []int
	for i := range r.subRequests {
		if r.subRequests[i].relayed {
			subRequests = append(subRequests, i)
		}
	}
	if len(subRequests) > 0 {
		m.sendRelay(now, r, subRequests, false)
	}
}

// sendRelay sends sub-requests through a peer. A repeat has been counted for the budgets of
// extra attempts.
func (m *Machine) sendRelay(now time.Time, r *request, subRequests []int, repeat bool) {
	most := r.maxRuns()
	if !r.route.Idempotent {
		// The peer keeps to one run by the kind of the route.
		most = r.maxAttempts
	}
	send := &SendRelay{
		Request: r.id, SubRequests: subRequests, Whole: len(subRequests) == len(r.subRequests), MaxAttempts: most,
		Repeat: repeat, Deadline: r.deadline,
	}
	others := r.answeredCount
	for i := range r.subRequests {
		if !r.subRequests[i].done && len(r.subRequests[i].outstanding) > 0 {
			others++
		}
	}
	for _, i := range subRequests {
		sub := &r.subRequests[i]
		if len(sub.outstanding) > 0 {
			others--
		}
		send.MaxAttempts = min(send.MaxAttempts, most-sub.possibleRuns)
		sub.awaitsRelay = false
		send.Attempts = append(send.Attempts, m.addAttempt(now, r, i, nil).id)
	}
	send.Needed = min(max(1, r.needed()-others), len(subRequests))
	r.stats.relays.inFlight++
	m.relays[send.Attempts[0]] = &r.stats.relays
	m.actions = append(m.actions, send)
}

// awaitRelay has a sub-request without a usable server sent through a peer shortly, together
// with others, and reports whether it does. code is the result of its last attempt.
func (m *Machine) awaitRelay(now time.Time, r *request, sub *subRequest, code classifier.Code) bool {
	noPath := code == classifier.ServerUnreachable || m.placer.HasNoPath(now, m.directory.Servers(sub.service))
	if !m.mayRelay(r) || !noPath || !r.stats.relays.allows(now) {
		return false
	}
	if sub.possibleArrivals > 0 && !m.spendExtra(now, sub.service) {
		return false
	}
	sub.awaitsRelay = true
	m.scheduleRelay(now, r, relayDelay)
	return true
}

// scheduleRelay has relayIfDue called after a delay, or sooner if that is scheduled.
func (m *Machine) scheduleRelay(now time.Time, r *request, delay time.Duration) {
	at := earliest(now.Add(delay), r.deadline)
	if !r.relayAt.IsZero() {
		at = earliest(at, r.relayAt)
	}
	r.relayAt = at
	m.setTimer(now, r)
}

// relayIfDue sends the sub-requests that await a relay, or fails them if peers can't serve
// the route.
func (m *Machine) relayIfDue(now time.Time, r *request) {
	if r.relayAt.IsZero() || now.Before(r.relayAt) {
		return
	}
	r.relayAt = time.Time{}
	rescue := r.rescue
	r.rescue = false
	allowed := r.maxAttempts > 0 && r.stats.relays.allows(now) && now.Before(r.deadline)
	var subRequests []int
	for i := range r.subRequests {
		sub := &r.subRequests[i]
		switch {
		case sub.done:
		case sub.awaitsRelay && allowed:
			subRequests = append(subRequests, i)
		case sub.awaitsRelay:
			sub.awaitsRelay = false
			m.markDone(r, sub, sub.code)
		case rescue && allowed && m.mayRescue(r, sub) && m.spendExtra(now, sub.service):
			// A part of a peer's answer can't be left out if the server answers after all.
			m.cancelOutstanding(now, r, sub)
			r.mayHaveRun = true
			subRequests = append(subRequests, i)
		}
	}
	if len(subRequests) > 0 {
		m.sendRelay(now, r, subRequests, true)
	}
}

// mayRescue reports whether a sub-request that waits for unreachable servers may run once
// more.
func (m *Machine) mayRescue(r *request, sub *subRequest) bool {
	if !r.mayRunAgain(sub) || len(sub.outstanding) == 0 {
		return false
	}
	for _, a := range sub.outstanding {
		if a.server == nil || !m.placer.Cut(a.server.Domain) {
			return false
		}
	}
	return true
}

// handleRelayEnded applies the end of a relay, also of one whose request has ended.
func (m *Machine) handleRelayEnded(now time.Time, e *RelayEnded) {
	first := e.Ends[0].Attempt
	gate := m.relays[first]
	if gate != nil {
		delete(m.relays, first)
		gate.ended(now, e.Outcome)
	}
	r := m.requests[e.Request]
	if r == nil {
		return
	}
	r.retryAfter = max(r.retryAfter, e.RetryAfter)
	for _, end := range e.Ends {
		m.handleAttemptEnded(now, end)
	}
	m.finishOrWait(now, r)
}
