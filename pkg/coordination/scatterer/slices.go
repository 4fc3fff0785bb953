package scatterer

import (
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

// slice is a set of parts that a host of another failure domain gathers.
type slice struct {
	domain string
	parts  []int
	// others is the number of other parts that are expected to be answered.
	others int
}

// has reports whether a part is in the slice, which may be nil.
func (s *slice) has(part int) bool {
	return s != nil && slices.Contains(s.parts, part)
}

// planSlice returns the parts of a request whose server would be in another
// failure domain, as far as one such domain has servers for them; nil if these
// are too few to be worth a call of their own. It isn't asked for under overload:
// a host must see the queues of all servers to refuse in time.
func (m *Machine) planSlice(now time.Time, f *flight, choices []placer.Choice) *slice {
	if m.cfg.SliceParts == 0 || !f.sharded || !f.route.Repeatable {
		return nil
	}
	counts := make(map[string]int)
	best := ""
	for i := range f.parts {
		if !m.foreign(choices[i]) {
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
		case m.foreign(choice) && (choice.Server.Domain == best || m.serves(now, f, i, best)):
			s.parts = append(s.parts, i)
		case choice.Server != nil && !choice.Doubtful:
			s.others++
		}
	}
	if len(s.parts) < m.cfg.SliceParts {
		return nil
	}
	return s
}

func (m *Machine) foreign(choice placer.Choice) bool {
	return choice.Server != nil && !choice.Doubtful && choice.Server.Domain != m.cfg.Placer.Domain
}

// serves reports whether a failure domain has a sound server for a part.
func (m *Machine) serves(now time.Time, f *flight, i int, domain string) bool {
	var there []*lister.Server
	for _, server := range m.directory.Servers(f.parts[i].service) {
		if server.Domain == domain {
			there = append(there, server)
		}
	}
	choice, ok := m.placer.Choose(now, there, nil, time.Duration(f.stats.work))
	return ok && !choice.Doubtful
}

// sendSlice sends the parts of a slice as one. The host that gathers them
// answers early once the whole request can reach its coverage, and has all
// attempts of the route for each part.
func (m *Machine) sendSlice(now time.Time, f *flight, s *slice) {
	out := &SendSlice{
		Request: f.id, Parts: s.parts, Domain: s.domain, Deadline: f.deadline,
		Needed: min(max(1, f.needed()-s.others), len(s.parts)),
	}
	for _, i := range s.parts {
		out.Attempts = append(out.Attempts, m.open(now, f, i, nil).id)
	}
	m.out = append(m.out, out)
}
