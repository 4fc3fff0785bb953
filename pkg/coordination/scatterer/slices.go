package scatterer

import (
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

// slice is a set of sub-requests that a host of another failure domain gathers.
type slice struct {
	domain      string
	subRequests []int
	// otherAnswers is the number of sub-requests outside the slice that are expected to
	// be answered.
	otherAnswers int
}

// contains reports whether a sub-request is in the slice, which may be nil.
func (s *slice) contains(i int) bool {
	return s != nil && slices.Contains(s.subRequests, i)
}

// planSlice plans a slice for the other failure domain in which most servers were chosen.
// The slice has the sub-requests whose chosen server is in that domain, and those whose
// chosen server is in a third domain but that an available server of that domain can run
// too. Servers with a limit are left out: this host must know whether they take the request
// before it sends any part of it. The result is nil if the slice would have fewer than
// MinSliceSubRequests, or if the request is not an idempotent query over shards. planSlice
// is not called under overload: this host must then observe the queues of all servers
// itself to refuse requests in time.
func (m *Machine) planSlice(now time.Time, r *request, choices []placer.Choice) *slice {
	if m.cfg.MinSliceSubRequests == 0 || !r.sharded || !r.route.Idempotent {
		return nil
	}
	counts := make(map[string]int)
	best := ""
	for i := range r.subRequests {
		if !m.inOtherDomain(choices[i]) || m.limits.Limited(incarnation(choices[i].Server)) {
			continue
		}
		domain := choices[i].Server.Domain
		counts[domain]++
		if best == "" || counts[domain] > counts[best] {
			best = domain
		}
	}
	s := &slice{domain: best}
	for i, choice := range choices {
		switch {
		case m.inOtherDomain(choice) && !m.limits.Limited(incarnation(choice.Server)) && (choice.Server.Domain == best || m.domainCanServe(now, r, i, best)):
			s.subRequests = append(s.subRequests, i)
		case r.subRequests[i].relayed, choice.Server != nil && !choice.Unavailable:
			s.otherAnswers++
		}
	}
	if len(s.subRequests) < m.cfg.MinSliceSubRequests {
		return nil
	}
	return s
}

// inOtherDomain reports whether an available server was chosen and is in another failure
// domain than this host.
func (m *Machine) inOtherDomain(choice placer.Choice) bool {
	return choice.Server != nil && !choice.Unavailable && choice.Server.Domain != m.cfg.Placer.Domain
}

// domainCanServe reports whether an available server of a failure domain can run
// sub-request i.
func (m *Machine) domainCanServe(now time.Time, r *request, i int, domain string) bool {
	var candidates []*lister.Server
	for _, server := range m.servers(&r.subRequests[i]) {
		if server.Domain == domain {
			candidates = append(candidates, server)
		}
	}
	choice, ok := m.placer.Choose(now, candidates, nil, time.Duration(r.stats.typicalLatency))
	return ok && !choice.Unavailable
}

// sendSlice sends the sub-requests of a slice together. The gathering host may
// answer early once Needed of them are answered, so that the whole request can reach its
// coverage, and may use all attempts of the route for each sub-request.
func (m *Machine) sendSlice(now time.Time, r *request, s *slice) {
	send := &SendSlice{
		Request: r.id, SubRequests: s.subRequests, Domain: s.domain, Deadline: r.deadline,
		Needed: min(max(1, r.needed()-s.otherAnswers), len(s.subRequests)),
	}
	for _, i := range s.subRequests {
		send.Attempts = append(send.Attempts, m.addAttempt(now, r, i, nil).id)
	}
	m.actions = append(m.actions, send)
}
