package gossiper

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is the name of an agent's host and of its failure domain.
type Host struct {
	Name   string
	Domain string
}

// Event is an input of the machine.
type Event interface{ gossiperEvent() }

// ObjectsChanged reports that newer versions of the objects in Keys have arrived.
type ObjectsChanged struct {
	Keys []string
}

// Tick is the periodic event, sent once per Interval.
type Tick struct{}

// PeerResponded reports that a peer has answered or called.
type PeerResponded struct {
	Name string
}

// PeerFailed reports that an exchange with a peer has failed.
type PeerFailed struct {
	Name string
}

func (*ObjectsChanged) gossiperEvent() {}
func (*Tick) gossiperEvent()           {}
func (*PeerResponded) gossiperEvent()  {}
func (*PeerFailed) gossiperEvent()     {}

// Action is an output of the machine.
type Action interface{ gossiperAction() }

// Push sends changed objects to a peer.
type Push struct {
	Peer string
	Keys []string
}

// Compare starts an anti-entropy comparison of digests with a peer.
type Compare struct {
	Peer string
}

// SetWatching starts or stops the watch of this agent on the store.
type SetWatching struct {
	Watching bool
}

func (*Push) gossiperAction()        {}
func (*Compare) gossiperAction()     {}
func (*SetWatching) gossiperAction() {}

// Config holds the settings of a gossiper.
type Config struct {
	Self  Host
	Peers []Host
	// Fanout is the number of peers that a change is pushed to.
	Fanout int
	// Watchers is the number of agents in a failure domain that watch the store.
	Watchers int
	// FailedPeerBackoff is the time for which a peer is not chosen after a failed exchange.
	FailedPeerBackoff time.Duration
}

// Defaults of a gossiper.
const (
	DefaultFanout            = 3
	DefaultWatchers          = 2
	DefaultFailedPeerBackoff = 5 * time.Second
	// Interval is the time between two ticks.
	Interval = time.Second
)

type peer struct {
	host Host
	// failedAt is the time of the last failed exchange, or zero after a success.
	failedAt time.Time
	// score is the rank of the host in its failure domain; higher ones watch first.
	score uint64
}

// Machine decides on the exchanges of one agent.
type Machine struct {
	cfg          Config
	random       *rand.Rand
	sameDomain   []*peer
	otherDomains []*peer
	byName       map[string]*peer
	ticks        int
	watching     bool
}

// New returns a machine that does not watch yet.
func New(cfg Config, random *rand.Rand) *Machine {
	m := &Machine{cfg: cfg, random: random, byName: make(map[string]*peer)}
	for _, host := range cfg.Peers {
		if host.Name == cfg.Self.Name {
			continue
		}
		p := &peer{host: host, score: score(host)}
		m.byName[host.Name] = p
		if host.Domain == cfg.Self.Domain {
			m.sameDomain = append(m.sameDomain, p)
		} else {
			m.otherDomains = append(m.otherDomains, p)
		}
	}
	slices.SortFunc(m.sameDomain, func(a, b *peer) int { return cmp.Compare(b.score, a.score) })
	return m
}

// score returns the rank of a host in its failure domain; all agents compute the same
// value for a host.
func score(host Host) uint64 {
	return xxhash.Sum64String(host.Domain + "/" + host.Name)
}

// Watching reports whether this agent watches the store.
func (m *Machine) Watching() bool {
	return m.watching
}

// Step applies an event and returns the actions.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case *ObjectsChanged:
		return m.pushChanged(now, e)
	case *Tick:
		return m.tick(now)
	case *PeerResponded:
		m.setFailed(e.Name, time.Time{})
	case *PeerFailed:
		m.setFailed(e.Name, now)
	}
	return nil
}

func (m *Machine) setFailed(name string, at time.Time) {
	p, ok := m.byName[name]
	if ok {
		p.failedAt = at
	}
}

// pushChanged pushes to random peers, at least one of them in another failure domain
// if one is available there.
func (m *Machine) pushChanged(now time.Time, e *ObjectsChanged) []Action {
	var actions []Action
	chosen := m.pick(now, m.sameDomain, m.cfg.Fanout-1)
	chosen = append(chosen, m.pick(now, m.otherDomains, m.cfg.Fanout-len(chosen))...)
	for _, p := range chosen {
		actions = append(actions, &Push{Peer: p.host.Name, Keys: e.Keys})
	}
	return actions
}

// pick returns up to n different random peers that are available.
func (m *Machine) pick(now time.Time, candidates []*peer, n int) []*peer {
	var chosen []*peer
	for _, i := range m.random.Perm(len(candidates)) {
		if len(chosen) >= n {
			break
		}
		if m.available(now, candidates[i]) {
			chosen = append(chosen, candidates[i])
		}
	}
	return chosen
}

func (m *Machine) available(now time.Time, p *peer) bool {
	return p.failedAt.IsZero() || now.Sub(p.failedAt) >= m.cfg.FailedPeerBackoff
}

// tick compares with one peer: in every second tick with a watcher of this agent's
// failure domain, in the others alternately with a random peer of this domain and of
// another one. If no such peer is available, it chooses as in one of the next ticks. It
// also starts or stops the watch.
func (m *Machine) tick(now time.Time) []Action {
	m.ticks++
	var actions []Action
	for _, p := range m.comparePartners(now) {
		actions = append(actions, &Compare{Peer: p.host.Name})
	}
	watching := m.shouldWatch(now)
	if watching != m.watching {
		m.watching = watching
		actions = append(actions, &SetWatching{Watching: watching})
	}
	return actions
}

func (m *Machine) comparePartners(now time.Time) []*peer {
	order := [][]*peer{m.watchers(now), m.otherDomains, m.watchers(now), m.sameDomain}
	for i := range order {
		chosen := m.pick(now, order[(m.ticks+i)%len(order)], 1)
		if len(chosen) > 0 {
			return chosen
		}
	}
	return nil
}

// watchers returns the highest-ranked available peers of this agent's failure
// domain, at most cfg.Watchers of them.
func (m *Machine) watchers(now time.Time) []*peer {
	var list []*peer
	for _, p := range m.sameDomain {
		if len(list) < m.cfg.Watchers && m.available(now, p) {
			list = append(list, p)
		}
	}
	return list
}

// shouldWatch reports whether this agent ranks among the watchers of its failure
// domain, counting only available peers.
func (m *Machine) shouldWatch(now time.Time) bool {
	own := score(m.cfg.Self)
	higherRanked := 0
	for _, p := range m.sameDomain {
		if p.score > own && m.available(now, p) {
			higherRanked++
		}
	}
	return higherRanked < m.cfg.Watchers
}
