package detector

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

// Config holds the settings of a detector.
type Config struct {
	// DoubtAfter is how long outstanding attempts may stay without any response from their
	// failure domain until the domain is probed; 0 disables the detector.
	DoubtAfter time.Duration
	// FailedServers is the number of servers of a failure domain that must have refused or
	// failed to open a connection, with none opened since, for the domain to be probed
	// although other connections still get responses.
	FailedServers int
	// ProbeInterval is the least time between two probes of a failure domain.
	ProbeInterval time.Duration
	// ProbeTimeout is how long a server may take to accept a connection. The result of a
	// probe that took over twice as long doesn't count, since then this host was stalled.
	ProbeTimeout time.Duration
	// Targets is the number of servers of a failure domain that are probed simultaneously.
	Targets int
	// BroadDoubt is the number of outstanding attempts without any response from which the
	// other failure domains that have been silent too are probed at the same time.
	BroadDoubt int
	// RampTime is how long after the end of a partition some requests still avoid the
	// servers of the failure domain, ever fewer.
	RampTime time.Duration
}

// DefaultConfig returns settings with which a partition is noticed within some 150 ms. A
// server accepts a connection within a round trip, even while it is too slow to answer.
func DefaultConfig() Config {
	return Config{
		DoubtAfter: 40 * time.Millisecond, FailedServers: 3, ProbeInterval: 200 * time.Millisecond,
		ProbeTimeout: 40 * time.Millisecond, Targets: 3, BroadDoubt: 4, RampTime: 500 * time.Millisecond,
	}
}

// Directory lists the backend servers that may get requests by failure domain.
type Directory interface {
	Domains() []string
	InDomain(domain string) []*lister.Server
}

// Evidence is what the end of an attempt tells about the path to its server.
type Evidence int

const (
	// None means that the attempt was canceled, or failed in a way that tells nothing.
	None Evidence = iota
	// Response means that a response of the server began to arrive.
	Response
	// Connection means that a response arrived on a connection that was opened for it.
	Connection
	// NoConnection means that no connection to the server could be opened.
	NoConnection
)

// ProbeResult is how the servers of a probe have treated it.
type ProbeResult int

const (
	// Silent means that at least one server did not react, and none accepted a connection.
	Silent ProbeResult = iota
	// Refused means that the connections to all servers were refused.
	Refused
	// Connected means that a server accepted a connection.
	Connected
)

// Probe asks to open a connection to each of some servers of a failure domain.
type Probe struct {
	Domain  string
	Servers []*lister.Server
	// Timeout is how long a server may take to accept the connection.
	Timeout time.Duration
}

// Change is a change of the reachability of a failure domain.
type Change struct {
	Domain    string
	Reachable bool
	// For is how long the domain was unreachable before, or how long ago the last response
	// from there is, 0 if there was none.
	For time.Duration
	// NewRefused means that no new connection can be opened to the domain, while open ones may
	// still get responses.
	NewRefused bool
}

// domainState is what is known of the path to one failure domain.
type domainState struct {
	// outstanding counts the attempts that have not ended.
	outstanding int
	// waitingSince is since when outstanding attempts have had no response, zero if none is
	// outstanding.
	waitingSince time.Time
	// respondedAt is when the last response arrived.
	respondedAt time.Time
	// failed holds the servers to which no connection could be opened since one was last
	// opened to any server of the domain.
	failed map[string]bool
	// probing is set while a probe is under way, which began at probedAt.
	probing  bool
	probedAt time.Time
	// requested is set if the domain is to be probed because another one is unreachable.
	requested   bool
	unreachable bool
	// newRefused is set while the domain is unreachable for new connections; open ones may
	// still get responses.
	newRefused bool
	// changedAt is when unreachable last changed.
	changedAt time.Time
}

// Detector holds what is known of the paths to all failure domains.
type Detector struct {
	cfg       Config
	directory Directory
	domains   map[string]*domainState
	// respondedAt is when each server last responded, for the choice of servers to probe.
	respondedAt map[string]time.Time
	// turn varies the servers that are probed.
	turn int
}

// New returns a detector that takes all failure domains to be reachable.
func New(cfg Config, directory Directory) *Detector {
	return &Detector{cfg: cfg, directory: directory, domains: make(map[string]*domainState), respondedAt: make(map[string]time.Time)}
}

func (d *Detector) domain(name string) *domainState {
	state := d.domains[name]
	if state == nil {
		state = &domainState{failed: make(map[string]bool)}
		d.domains[name] = state
	}
	return state
}

// Sent records an attempt that is sent to a server.
func (d *Detector) Sent(now time.Time, server *lister.Server) {
	state := d.domain(server.Domain)
	state.outstanding++
	if state.waitingSince.IsZero() {
		state.waitingSince = now
	}
}

// Ended records the end of an attempt and returns a change of reachability that it shows.
func (d *Detector) Ended(now time.Time, server *lister.Server, evidence Evidence) (Change, bool) {
	state := d.domain(server.Domain)
	state.outstanding = max(state.outstanding-1, 0)
	if state.outstanding == 0 {
		state.waitingSince = time.Time{}
	}
	switch evidence {
	case None:
	case NoConnection:
		state.failed[server.ID] = true
	case Response, Connection:
		d.respondedAt[server.ID] = now
		state.responded(now)
		if evidence == Connection {
			clear(state.failed)
		}
		if state.unreachable && (evidence == Connection || !state.newRefused) {
			return state.change(now, server.Domain, true), true
		}
	}
	return Change{}, false
}

// Forget drops what is known of a server that is no longer listed.
func (d *Detector) Forget(server string) {
	delete(d.respondedAt, server)
	for _, state := range d.domains {
		delete(state.failed, server)
	}
}

// responded records a response from the domain.
func (s *domainState) responded(now time.Time) {
	s.respondedAt = now
	if s.outstanding > 0 {
		s.waitingSince = now
	}
}

// refused reports whether connections to enough of the listed servers have failed, with
// none opened since.
func (s *domainState) refused(cfg Config, servers []*lister.Server) bool {
	return len(s.failed) > 0 && len(s.failed) >= min(cfg.FailedServers, len(servers))
}

// change changes the reachability of the domain.
func (s *domainState) change(now time.Time, domain string, reachable bool) Change {
	c := Change{Domain: domain, Reachable: reachable}
	switch {
	case reachable:
		c.For = now.Sub(s.changedAt)
		s.newRefused = false
		clear(s.failed)
	case !s.respondedAt.IsZero():
		c.For = now.Sub(s.respondedAt)
	}
	c.NewRefused = s.newRefused
	s.unreachable, s.changedAt = !reachable, now
	return c
}

// dueAt returns when the domain is to be probed, zero if no probe is needed.
func (d *Detector) dueAt(name string, s *domainState) time.Time {
	servers := d.directory.InDomain(name)
	if s.probing || d.cfg.DoubtAfter == 0 || len(servers) == 0 {
		return time.Time{}
	}
	earliest := s.probedAt.Add(d.cfg.ProbeInterval)
	switch {
	case s.unreachable, s.requested, s.refused(d.cfg, servers):
		return earliest
	case s.outstanding > 0:
		doubt := s.waitingSince.Add(d.cfg.DoubtAfter)
		if doubt.After(earliest) {
			return doubt
		}
		return earliest
	}
	return time.Time{}
}

// NextTimer returns when Probes is to be called, or false if it needs no call.
func (d *Detector) NextTimer() (next time.Time, ok bool) {
	for name, state := range d.domains {
		at := d.dueAt(name, state)
		if !at.IsZero() && (!ok || at.Before(next)) {
			next, ok = at, true
		}
	}
	return next, ok
}

// Probes returns the probes that are due. ProbeEnded is to be called for each.
func (d *Detector) Probes(now time.Time) []Probe {
	d.spreadDoubt(now)
	var probes []Probe
	for name, state := range d.domains {
		at := d.dueAt(name, state)
		if at.IsZero() || now.Before(at) {
			continue
		}
		state.probing, state.probedAt, state.requested = true, now, false
		probes = append(probes, Probe{Domain: name, Servers: d.targets(name), Timeout: d.cfg.ProbeTimeout})
	}
	slices.SortFunc(probes, func(a, b Probe) int { return cmp.Compare(a.Domain, b.Domain) })
	return probes
}

// spreadDoubt has the failure domains probed that have not responded since many attempts were
// sent to one that is silent.
func (d *Detector) spreadDoubt(now time.Time) {
	var since time.Time
	for name, state := range d.domains {
		at := d.dueAt(name, state)
		broad := state.outstanding >= d.cfg.BroadDoubt && !state.unreachable && !at.IsZero() && !now.Before(at)
		if broad && (since.IsZero() || state.waitingSince.Before(since)) {
			since = state.waitingSince
		}
	}
	if since.IsZero() {
		return
	}
	for _, name := range d.directory.Domains() {
		state := d.domain(name)
		state.requested = state.requested || state.respondedAt.Before(since)
	}
}

// targets returns the servers of a failure domain to probe: the one that responded last,
// which most likely still runs, and others by turns.
func (d *Detector) targets(domain string) []*lister.Server {
	servers := slices.Clone(d.directory.InDomain(domain))
	latest := 0
	for i, server := range servers {
		if d.respondedAt[server.ID].After(d.respondedAt[servers[latest].ID]) {
			latest = i
		}
	}
	servers[0], servers[latest] = servers[latest], servers[0]
	others := servers[1:]
	for i := range min(d.cfg.Targets-1, len(others)) {
		d.turn++
		j := i + d.turn%(len(others)-i)
		others[i], others[j] = others[j], others[i]
	}
	return servers[:min(d.cfg.Targets, len(servers))]
}

// ProbeEnded records the result of a probe and returns the change of reachability that it
// shows. If a failure domain is unreachable, the others are probed too. Responses on open
// connections don't outweigh refusals of new ones.
func (d *Detector) ProbeEnded(now time.Time, domain string, result ProbeResult) (Change, bool) {
	state := d.domain(domain)
	state.probing = false
	servers := d.directory.InDomain(domain)
	if len(servers) == 0 && result != Connected {
		// Its servers are gone or evacuated, so nothing is to be reached there.
		return Change{}, false
	}
	stalled := now.Sub(state.probedAt) > 2*d.cfg.ProbeTimeout
	refused := result == Refused || state.refused(d.cfg, servers)
	switch {
	case result == Connected:
		state.responded(now)
		clear(state.failed)
		if state.unreachable {
			return state.change(now, domain, true), true
		}
	case stalled || state.unreachable:
	case state.respondedAt.After(state.probedAt) && !refused:
	default:
		d.requestOthers(domain)
		state.newRefused = refused
		return state.change(now, domain, false), true
	}
	return Change{}, false
}

// requestOthers has the other failure domains probed, since a partition often cuts off
// all of them.
func (d *Detector) requestOthers(domain string) {
	for _, name := range d.directory.Domains() {
		if name != domain {
			d.domain(name).requested = true
		}
	}
}

// Unreachable reports whether no backend server of a failure domain can be reached.
func (d *Detector) Unreachable(domain string) bool {
	state := d.domains[domain]
	return state != nil && state.unreachable
}

// UnreachableCount returns the number of failure domains with listed servers of which none
// can be reached.
func (d *Detector) UnreachableCount() int {
	n := 0
	for _, name := range d.directory.Domains() {
		if d.Unreachable(name) {
			n++
		}
	}
	return n
}

// Isolated reports whether no listed backend server can be reached.
func (d *Detector) Isolated() bool {
	n := d.UnreachableCount()
	return n > 0 && n == len(d.directory.Domains())
}

// Ramp returns the fraction of requests that may use the servers of a failure domain again,
// below 1 for RampTime after a partition.
func (d *Detector) Ramp(now time.Time, domain string) float64 {
	state := d.domains[domain]
	switch {
	case state == nil || state.changedAt.IsZero() || d.cfg.RampTime <= 0:
		return 1
	case state.unreachable:
		return 0
	}
	return min(float64(now.Sub(state.changedAt))/float64(d.cfg.RampTime), 1)
}
