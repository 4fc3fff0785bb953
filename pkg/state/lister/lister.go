package lister

import (
	"slices"
	"strings"
	"time"
)

// Server is what the store lists of one incarnation of a backend server.
type Server struct {
	ID      string
	Service string
	// Address is an IP address with a port.
	Address string
	// Domain is the failure domain of the server.
	Domain string
	// Slots is how many requests the server runs at once.
	Slots    int
	Draining bool
	// WarmLeft is how much longer the server stays slow after its start.
	WarmLeft time.Duration
	// Born is when the incarnation started, in Unix milliseconds by its own clock.
	Born int64
}

// Entry is one object of the list; a removed or unreadable one has no server.
type Entry struct {
	ID       string
	Revision uint64
	// Server is nil if the entry was removed or names no usable server.
	Server *Server
}

// Config holds the times of a lister.
type Config struct {
	// Retention is how long a server stays usable whose entry is found missing
	// right after the store was away.
	Retention time.Duration
}

type held struct {
	revision uint64
	server   *Server
	// expires is set while the entry is missing after an outage.
	expires time.Time
}

// Lister holds the newest entry of each backend server.
type Lister struct {
	cfg      Config
	entries  map[string]*held
	services map[string][]*Server
	// lenient is the end of the time in which removals count as lapses.
	lenient time.Time
}

// New returns an empty lister.
func New(cfg Config) *Lister {
	return &Lister{cfg: cfg, entries: make(map[string]*held), services: make(map[string][]*Server)}
}

// StoreReturned notes that the store answers again after an outage: until the
// retention ends, entries found missing may only have lapsed.
func (l *Lister) StoreReturned(now time.Time) {
	l.lenient = now.Add(l.cfg.Retention)
}

// Apply takes changes in any order; the greatest revision of each entry stays.
// It returns the IDs of the servers whose use has changed.
func (l *Lister) Apply(now time.Time, entries []Entry) []string {
	var changed []string
	for _, entry := range entries {
		h := l.entries[entry.ID]
		if h != nil && !h.olderThan(entry) {
			continue
		}
		if l.apply(now, h, entry) {
			changed = append(changed, entry.ID)
		}
	}
	l.rebuild(len(changed) > 0)
	return changed
}

// olderThan reports whether an entry goes before the one held; a removal may
// bear the revision of the last write.
func (h *held) olderThan(entry Entry) bool {
	if h.revision == entry.Revision {
		return entry.Server == nil && h.server != nil
	}
	return h.revision < entry.Revision
}

// apply stores one entry and reports whether the use of its server has changed.
func (l *Lister) apply(now time.Time, h *held, entry Entry) bool {
	if h == nil {
		h = &held{}
		l.entries[entry.ID] = h
	}
	h.revision = entry.Revision
	if entry.Server == nil && h.server != nil && now.Before(l.lenient) {
		if h.expires.IsZero() {
			h.expires = l.lenient
		}
		return false
	}
	h.expires = time.Time{}
	before := h.server
	h.server = entry.Server
	return differs(before, h.server)
}

func differs(before, after *Server) bool {
	if before == nil || after == nil {
		return before != after
	}
	return *before != *after
}

// Expire removes the servers whose retention has ended and forgets entries
// without one; it returns the IDs of the servers removed.
func (l *Lister) Expire(now time.Time) []string {
	var removed []string
	for id, h := range l.entries {
		if !h.expires.IsZero() && !now.Before(h.expires) {
			h.expires = time.Time{}
			h.server = nil
			removed = append(removed, id)
		}
	}
	l.rebuild(len(removed) > 0)
	return removed
}

// rebuild computes the servers of each service that may get new work.
func (l *Lister) rebuild(changed bool) {
	if !changed {
		return
	}
	services := make(map[string][]*Server, len(l.services))
	for _, h := range l.entries {
		if h.server != nil && !h.server.Draining {
			services[h.server.Service] = append(services[h.server.Service], h.server)
		}
	}
	for _, servers := range services {
		slices.SortFunc(servers, func(a, b *Server) int { return strings.Compare(a.ID, b.ID) })
	}
	l.services = services
}

// Servers returns the servers of a service that may get new work, in the order of their IDs.
func (l *Lister) Servers(service string) []*Server {
	return l.services[service]
}

// Usable returns the number of servers that may get new work.
func (l *Lister) Usable() int {
	n := 0
	for _, servers := range l.services {
		n += len(servers)
	}
	return n
}

// Held reports whether a server may get new work.
func (l *Lister) Held(id string) bool {
	h := l.entries[id]
	return h != nil && h.server != nil && !h.server.Draining
}
