package lister

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// Server describes one incarnation (one run of the process) of a backend server, as
// its registration states it.
type Server struct {
	ID      string
	Service string
	// Address is an IP address with a port.
	Address string
	// Domain is the failure domain of the server.
	Domain string
	// Slots is the number of requests that the server runs concurrently.
	Slots    int
	Draining bool
	// WarmupRemaining is the time until the server has warmed up after its start.
	WarmupRemaining time.Duration
	// StartedAtMillis is the start time of the incarnation in Unix milliseconds, by the
	// server's clock.
	StartedAtMillis int64
}

// Registration is the state of one registration after a change in the store.
type Registration struct {
	ID       string
	Revision storer.Version
	// Server is nil if the registration was removed or can't be decoded.
	Server *Server
}

// Config holds the durations of a lister.
type Config struct {
	// Retention is how long a server stays usable if its registration is missing
	// after an outage or a rewind of the store (its restoration from an older copy).
	Retention time.Duration
	// Quarantine is how long a server gets no requests if its registration was
	// removed and a rewind of the store has brought it back, unless the server writes
	// it again.
	Quarantine time.Duration
}

// record is the newest registration of a server and what is known of its removal.
type record struct {
	revision storer.Version
	server   *Server
	// expires is the end of the retention, set while the registration is missing
	// after an outage or a rewind.
	expires time.Time
	// ended is the last incarnation that drained, announced that it drains or was removed;
	// nil if there is none.
	ended *endedIncarnation
	// quarantinedUntil is the end of the quarantine, zero without one.
	quarantinedUntil time.Time
	// coldUntil is when the server has warmed up, zero or past if it has.
	coldUntil time.Time
}

// endReason is the way in which an incarnation of a server became unusable.
type endReason int

const (
	// removed means that its registration was removed, or lapsed, which looks the same.
	removed endReason = iota
	// drained means that its registration was marked as draining.
	drained
	// announced means that the server announced in its responses that it is
	// draining; a live registration of the same incarnation does not undo that.
	announced
)

// endedIncarnation is an incarnation of a server that became unusable.
type endedIncarnation struct {
	startedAtMillis int64
	reason          endReason
}

// Lister holds the newest registration of each backend server.
type Lister struct {
	cfg     Config
	records map[string]*record
	// services holds the servers of each service that may get new requests, sorted by ID.
	services map[string][]*Server
	// domains holds the same servers by failure domain, also sorted by ID; reachable also holds
	// those of evacuated failure domains.
	domains   map[string][]*Server
	reachable map[string][]*Server
	// evacuated has the failure domains whose servers get no new requests. It is never modified.
	evacuated map[string]bool
	// lapseUntil is the time until which a removal counts as a lapse caused by an outage.
	lapseUntil time.Time
}

// New returns an empty lister.
func New(cfg Config) *Lister {
	return &Lister{cfg: cfg, records: make(map[string]*record), services: make(map[string][]*Server)}
}

// StoreRecovered starts the retention after an outage of the store: servers can't
// renew their registrations in an outage, so missing registrations may merely have lapsed.
func (l *Lister) StoreRecovered(now time.Time) {
	l.lapseUntil = now.Add(l.cfg.Retention)
}

// Apply applies changes in any order and keeps the greatest revision of each
// registration. It returns the IDs of the servers that have changed. A server whose
// registration is removed after an outage or by a rewind has not changed until Expire
// ends its retention.
func (l *Lister) Apply(now time.Time, registrations []Registration) []string {
	var changed []string
	for _, registration := range registrations {
		r := l.records[registration.ID]
		if r != nil && !r.olderThan(registration) {
			continue
		}
		if l.apply(now, r, registration) {
			changed = append(changed, registration.ID)
		}
	}
	l.rebuild(len(changed) > 0)
	return changed
}

// olderThan reports whether a registration replaces the recorded one; a removal may have
// the same revision as the last write.
func (r *record) olderThan(registration Registration) bool {
	if r.revision == registration.Revision {
		return registration.Server == nil && r.server != nil
	}
	return r.revision < registration.Revision
}

// apply stores one registration and reports whether its server has changed.
func (l *Lister) apply(now time.Time, r *record, registration Registration) bool {
	if r == nil {
		r = &record{}
		l.records[registration.ID] = r
	}
	rewound := registration.Revision.Era() > r.revision.Era()
	r.revision = registration.Revision
	if registration.Server == nil && r.server != nil && (rewound || now.Before(l.lapseUntil)) {
		if r.expires.IsZero() {
			r.expires = l.lapseUntil
		}
		if rewound {
			// A server that is still running writes its registration again.
			r.expires = now.Add(l.cfg.Retention)
		}
		return false
	}
	r.expires = time.Time{}
	before := r.server
	r.server = registration.Server
	r.recordEnd(before)
	r.quarantinedUntil, r.coldUntil = time.Time{}, time.Time{}
	if r.server != nil && r.server.WarmupRemaining > 0 {
		r.coldUntil = now.Add(r.server.WarmupRemaining)
	}
	switch {
	case r.server == nil || r.server.Draining:
	case !rewound && r.hasEnded(r.server, drained):
		r.ended = nil
	case rewound && r.hasEnded(r.server, removed):
		r.quarantinedUntil = now.Add(l.cfg.Quarantine)
	}
	return differs(before, r.server)
}

// recordEnd stores the incarnation that a change made unusable, if any: the registered one
// if it is marked as draining, or that of before if the registration was removed. An
// incarnation that was draining already keeps its reason.
func (r *record) recordEnd(before *Server) {
	switch {
	case r.server != nil && r.server.Draining && !r.draining(r.server):
		r.ended = &endedIncarnation{startedAtMillis: r.server.StartedAtMillis, reason: drained}
	case r.server == nil && before != nil && !r.draining(before):
		r.ended = &endedIncarnation{startedAtMillis: before.StartedAtMillis, reason: removed}
	}
}

// hasEnded reports whether an incarnation became unusable for the given reason.
func (r *record) hasEnded(s *Server, reason endReason) bool {
	return r.ended != nil && r.ended.reason == reason && r.ended.startedAtMillis == s.StartedAtMillis
}

// draining reports whether an incarnation has drained or announced that it drains,
// which holds even if a rewind of the store brings back an older registration.
func (r *record) draining(s *Server) bool {
	return r.hasEnded(s, drained) || r.hasEnded(s, announced)
}

// usable reports whether the server may get new requests.
func (r *record) usable() bool {
	return r.server != nil && !r.server.Draining && !r.draining(r.server) && r.quarantinedUntil.IsZero()
}

// MarkDraining marks an incarnation of a server that has announced that it is draining,
// so that the server gets no new requests until another incarnation is registered.
// It reports whether the server was usable before.
func (l *Lister) MarkDraining(id string, startedAtMillis int64) bool {
	r := l.records[id]
	if r == nil || r.server == nil || r.server.StartedAtMillis != startedAtMillis {
		return false
	}
	wasUsable := r.usable()
	r.ended = &endedIncarnation{startedAtMillis: startedAtMillis, reason: announced}
	l.rebuild(wasUsable)
	return wasUsable
}

func differs(before, after *Server) bool {
	if before == nil || after == nil {
		return before != after
	}
	return *before != *after
}

// SetEvacuated sets the failure domains whose servers get no new requests until they are no longer
// among them. It returns the IDs of the servers that became usable or unusable, in order.
func (l *Lister) SetEvacuated(domains []string) []string {
	before := l.evacuated
	l.evacuated = make(map[string]bool, len(domains))
	for _, domain := range domains {
		l.evacuated[domain] = true
	}
	var changed []string
	for id, r := range l.records {
		if r.usable() && before[r.server.Domain] != l.evacuated[r.server.Domain] {
			changed = append(changed, id)
		}
	}
	slices.Sort(changed)
	l.rebuild(len(changed) > 0)
	return changed
}

// Evacuated reports whether the servers of a failure domain get no new requests.
func (l *Lister) Evacuated(domain string) bool {
	return l.evacuated[domain]
}

// Cold returns the servers that have not warmed up, in the order of their IDs.
func (l *Lister) Cold(now time.Time) []*Server {
	var cold []*Server
	for _, r := range l.records {
		if r.server != nil && now.Before(r.coldUntil) {
			cold = append(cold, r.server)
		}
	}
	slices.SortFunc(cold, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	return cold
}

// Warming returns a server with the time until it has warmed up, 0 if it has.
func (l *Lister) Warming(now time.Time, id string) (*Server, time.Duration) {
	r := l.records[id]
	if r == nil || r.server == nil {
		return nil, 0
	}
	return r.server, max(r.coldUntil.Sub(now), 0)
}

// AssumeCold makes a server count as cold for a time at least, unless its registration changes.
func (l *Lister) AssumeCold(id string, until time.Time) {
	r := l.records[id]
	if r != nil && until.After(r.coldUntil) {
		r.coldUntil = until
	}
}

// Expire removes the servers whose retention has ended, admits those whose
// quarantine has ended, and returns the IDs of the servers that became usable or unusable.
func (l *Lister) Expire(now time.Time) []string {
	var changed []string
	for id, r := range l.records {
		before := r.usable()
		if !r.expires.IsZero() && !now.Before(r.expires) {
			r.expires = time.Time{}
			server := r.server
			r.server = nil
			r.recordEnd(server)
		}
		if !r.quarantinedUntil.IsZero() && !now.Before(r.quarantinedUntil) {
			r.quarantinedUntil = time.Time{}
		}
		if r.usable() != before {
			changed = append(changed, id)
		}
	}
	l.rebuild(len(changed) > 0)
	return changed
}

// rebuild computes the servers of each service and failure domain that may get new requests.
func (l *Lister) rebuild(changed bool) {
	if !changed {
		return
	}
	services := make(map[string][]*Server, len(l.services))
	domains := make(map[string][]*Server, len(l.domains))
	reachable := make(map[string][]*Server, len(l.reachable))
	for _, r := range l.records {
		if !r.usable() {
			continue
		}
		reachable[r.server.Domain] = append(reachable[r.server.Domain], r.server)
		if !l.evacuated[r.server.Domain] {
			services[r.server.Service] = append(services[r.server.Service], r.server)
			domains[r.server.Domain] = append(domains[r.server.Domain], r.server)
		}
	}
	sortByID(services)
	sortByID(domains)
	sortByID(reachable)
	l.services, l.domains, l.reachable = services, domains, reachable
}

func sortByID(groups map[string][]*Server) {
	for _, servers := range groups {
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
}

// Servers returns the servers of a service that may get new requests, in the order of their IDs.
func (l *Lister) Servers(service string) []*Server {
	return l.services[service]
}

// InDomain returns the servers of a failure domain that may get new requests, in the order
// of their IDs.
func (l *Lister) InDomain(domain string) []*Server {
	return l.domains[domain]
}

// ReachableByDomain returns the servers of all failure domains that may get new requests or would
// get them if their domain weren't evacuated. The map is never modified.
func (l *Lister) ReachableByDomain() map[string][]*Server {
	return l.reachable
}

// Domains returns the failure domains that have servers which may get new requests, in alphabetical order.
func (l *Lister) Domains() []string {
	return slices.Sorted(maps.Keys(l.domains))
}

// UsableCount returns the number of servers that may get new requests.
func (l *Lister) UsableCount() int {
	n := 0
	for _, servers := range l.services {
		n += len(servers)
	}
	return n
}

// IsUsable reports whether a server may get new requests.
func (l *Lister) IsUsable(id string) bool {
	r := l.records[id]
	return r != nil && r.usable() && !l.evacuated[r.server.Domain]
}
