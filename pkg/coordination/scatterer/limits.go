package scatterer

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

const (
	// askWait is how long a request waits for tokens at most, several times the round trip
	// between two hosts.
	askWait = 30 * time.Millisecond
	// extraReserve is the number of tokens that hedges and retries leave for first attempts.
	extraReserve = 1
)

func incarnation(s *lister.Server) allotter.Incarnation {
	return allotter.Incarnation{Server: s.ID, StartedAtMillis: s.StartedAtMillis}
}

// Limit records what an answer of a server says of its limit for all hosts together. The
// usage is that under the limit known before.
func (m *Machine) Limit(now time.Time, server *lister.Server, limit allotter.Limit) (allotter.Change, allotter.Usage) {
	return m.limits.Observe(now, incarnation(server), limit)
}

// HearLimit records a limit that another host has told and the server had announced to it
// some time ago.
func (m *Machine) HearLimit(now time.Time, server allotter.Incarnation, limit allotter.Limit, age time.Duration) (allotter.Change, allotter.Usage) {
	return m.limits.Hear(now, server, limit, now.Add(-age))
}

// Announced returns the limit of a server and how long ago it was announced, and false if
// the server has none.
func (m *Machine) Announced(now time.Time, server *lister.Server) (limit allotter.Limit, age time.Duration, ok bool) {
	limit, heardAt, ok := m.limits.Announced(incarnation(server))
	return limit, now.Sub(heardAt), ok
}

// RejectLimit records that a limit which a server announces can't be read, and reports
// whether that is new.
func (m *Machine) RejectLimit(now time.Time, server *lister.Server) bool {
	return m.limits.RejectLimit(now, incarnation(server))
}

// Warmup records that a server warms up for a time, in which it takes a rate of requests a second from
// all hosts together, and reports whether that is new. A rate or time of 0 ends it.
func (m *Machine) Warmup(now time.Time, server *lister.Server, rate float64, left time.Duration) bool {
	return m.limits.Warmup(now, incarnation(server), rate, left)
}

// ExpireWarmups ends the warm-ups whose time is over.
func (m *Machine) ExpireWarmups(now time.Time) {
	m.limits.ExpireWarmups(now)
}

// WarmingServers returns the number of servers that warm up and have a rate for it.
func (m *Machine) WarmingServers() int {
	return m.limits.Warming()
}

// LimitedServers returns the number of servers that have announced a limit or warm up.
func (m *Machine) LimitedServers() int {
	return m.limits.Len()
}

// SetHosts sets the number of hosts that share the limits of servers.
func (m *Machine) SetHosts(n int) {
	m.limits.SetHosts(n)
}

// Asks returns the asks for tokens that are due, also those of requests that wait.
func (m *Machine) Asks(now time.Time) []allotter.Ask {
	return m.limits.Asks(now)
}

// Grant applies the answers to asks, and returns the limits that other hosts have told. A
// TokensAsked event is to follow.
func (m *Machine) Grant(now time.Time, grants []allotter.Grant, unanswered []allotter.Ask) []allotter.Update {
	m.limits.Unanswered(now, unanswered)
	return m.limits.Grant(now, grants)
}

// applyLimits replaces the servers of sub-requests outside the slice that have no token
// left, and returns the number of sub-requests for which no server is left by that.
func (m *Machine) applyLimits(now time.Time, r *request, choices []placer.Choice, planned *slice) int {
	if m.limits.Len() == 0 {
		return 0
	}
	limited := 0
	for i := range choices {
		if choices[i].Server == nil || planned.contains(i) {
			continue
		}
		choices[i] = m.chooseWithToken(now, r, &r.subRequests[i], choices[i])
		if choices[i].Server == nil {
			limited++
		}
	}
	return limited
}

// chooseWithToken replaces a choice by the next best ones until one has a token. The demand
// for tokens is counted, once for each request.
func (m *Machine) chooseWithToken(now time.Time, r *request, sub *subRequest, choice placer.Choice) placer.Choice {
	servers := m.servers(sub)
	excluded := slices.Clone(sub.sentTo)
	for choice.Server != nil {
		server := incarnation(choice.Server)
		if r.waitUntil.IsZero() {
			m.limits.Want(server)
		}
		if m.limits.Allows(now, server, 0) {
			return choice
		}
		excluded = append(excluded, choice.Server.ID)
		choice, _ = m.placer.Choose(now, servers, excluded, time.Duration(r.stats.typicalLatency))
	}
	return choice
}

// withTokens returns the servers for a sub-request that have no limit, or more than some tokens.
func (m *Machine) withTokens(now time.Time, sub *subRequest, left int) []*lister.Server {
	servers := m.servers(sub)
	if m.limits.Len() == 0 {
		return servers
	}
	allowed := make([]*lister.Server, 0, len(servers))
	for _, server := range servers {
		if m.limits.Allows(now, incarnation(server), left) {
			allowed = append(allowed, server)
		}
	}
	return allowed
}

// tokenWait returns the time until the first of the servers may get a request, and false
// if none has a limit.
func (m *Machine) tokenWait(now time.Time, servers []*lister.Server) (least time.Duration, ok bool) {
	for _, server := range servers {
		if !m.limits.Limited(incarnation(server)) {
			continue
		}
		wait := m.limits.Wait(now, incarnation(server))
		if !ok || wait < least {
			least, ok = wait, true
		}
	}
	return least, ok
}

// setMissingCodes records why sub-requests of a request that is refused have no server.
func (m *Machine) setMissingCodes(now time.Time, r *request, choices []placer.Choice) {
	for i := range choices {
		if choices[i].Server == nil {
			r.subRequests[i].code = m.noChoiceCode(now, &r.subRequests[i])
		}
	}
}

// releaseTokens gives back the tokens for which a request has waited that is refused.
func (m *Machine) releaseTokens(now time.Time, choices []placer.Choice) {
	for _, choice := range choices {
		if choice.Server != nil {
			m.limits.Release(now, incarnation(choice.Server))
		}
	}
}

// noChoiceCode returns why a sub-request has no server.
func (m *Machine) noChoiceCode(now time.Time, sub *subRequest) classifier.Code {
	for _, server := range m.servers(sub) {
		if !m.limits.Allows(now, incarnation(server), 0) {
			return classifier.LimitReached
		}
	}
	return classifier.NoServer
}

// waitForTokens makes a request wait if an ask may bring tokens for one of its sub-requests
// that have no server, and reports whether it waits.
func (m *Machine) waitForTokens(now time.Time, r *request, e *Arrived, choices []placer.Choice) bool {
	if r.waitUntil.IsZero() {
		r.waitUntil = earliest(now.Add(askWait), r.deadline)
	}
	if !now.Before(r.waitUntil) || !m.mayAsk(now, r, choices) {
		return false
	}
	r.waiting = e
	m.waiting++
	m.timers.Set(&r.timer, r.waitUntil)
	m.actions = append(m.actions, &AskTokens{Request: r.id})
	return true
}

// mayAsk reports whether an ask may bring a token for a sub-request without a server, and
// marks all servers of such sub-requests as awaited.
func (m *Machine) mayAsk(now time.Time, r *request, choices []placer.Choice) bool {
	may := false
	for i, choice := range choices {
		if choice.Server != nil || r.subRequests[i].relayed {
			continue
		}
		for _, server := range m.servers(&r.subRequests[i]) {
			m.limits.Await(incarnation(server))
			may = may || m.limits.MayAsk(now, incarnation(server))
		}
	}
	return may
}

// resume begins a request that has waited for tokens.
func (m *Machine) resume(now time.Time, r *request) {
	e := r.waiting
	m.stopWaiting(r)
	m.begin(now, r, e)
}

func (m *Machine) stopWaiting(r *request) {
	if r.waiting != nil {
		r.waiting = nil
		m.waiting--
		m.timers.Clear(&r.timer)
	}
}

// resumeAll resumes all requests that wait for tokens, in the order of their arrival.
func (m *Machine) resumeAll(now time.Time) {
	if m.waiting == 0 {
		return
	}
	var waiting []*request
	for _, r := range m.requests {
		if r.waiting != nil {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	for _, r := range waiting {
		m.resume(now, r)
	}
}
