package router

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/waker"
)

// Self is the peer index of this entry.
const Self = -1

// Config holds the settings of a router.
type Config struct {
	// Own is the name of this entry, Peers are the names of the others.
	Own   string
	Peers []string
	// Silence is the timeout for the acknowledgement of an owner.
	Silence time.Duration
	// Stall is the maximum time between two messages of an owner after its
	// acknowledgement.
	Stall time.Duration
	// Suspicion is the time for which an owner that timed out is skipped.
	Suspicion time.Duration
	// Queries go directly to backend servers once the mean load of the shards is
	// below LoadLow, and through the owners again once it is above LoadHigh.
	LoadLow  float64
	LoadHigh float64
	// MaxPeers is the number of peers that are asked for a shard before this entry
	// handles it itself.
	MaxPeers int
}

// Defaults of a router.
const (
	DefaultSilence   = 10 * time.Millisecond
	DefaultStall     = 75 * time.Millisecond
	DefaultSuspicion = time.Second
	DefaultMaxPeers  = 2
	DefaultLoadLow   = 0.4
	DefaultLoadHigh  = 0.5
)

// Event is an input of the machine.
type Event interface{ routerEvent() }

// Asked requests owners for the shards of a group. A group is one run of a query
// on one snapshot.
type Asked struct {
	Group  uint64
	Shards []int
}

// Acknowledged reports that a peer has accepted the shards of a group.
type Acknowledged struct {
	Group uint64
	Peer  int
}

// Settled reports that a peer has returned the result of a shard of a group.
type Settled struct {
	Group uint64
	Peer  int
	Shard int
}

// Failed reports that a peer will return no more results for a group.
type Failed struct {
	Group uint64
	Peer  int
}

// Ended reports that a group is complete or canceled.
type Ended struct {
	Group uint64
}

// Woken reports that the time returned by Wake has come.
type Woken struct{}

func (*Asked) routerEvent()        {}
func (*Acknowledged) routerEvent() {}
func (*Settled) routerEvent()      {}
func (*Failed) routerEvent()       {}
func (*Ended) routerEvent()        {}
func (*Woken) routerEvent()        {}

// Assign assigns shards of a group to a peer, or to this entry if Peer is Self.
type Assign struct {
	Group  uint64
	Peer   int
	Shards []int
}

// ownerSampleInterval is a number of queries: while queries go directly, one in
// ownerSampleInterval still goes to the owners, so that the load stays measured.
const ownerSampleInterval = 8

// loadSmoothing is the weight of a new sample in the moving average of the load
// that owners report for their shards.
const loadSmoothing = 0.02

// batch is the shards of a group that one peer was asked for.
type batch struct {
	peer int
	// shards are those without a result yet.
	shards []int
	// failedPeers is the number of peers that failed for these shards before.
	failedPeers int
	alarm       waker.Alarm[*batch]
	group       uint64
}

// Machine routes the shards of one service.
type Machine struct {
	cfg            Config
	suspectedUntil []time.Time
	ranks          [][]int
	groups         map[uint64][]*batch
	alarms         waker.Alarms[*batch]
	load           float64
	direct         bool
	queries        int
}

// New returns a machine without suspected peers, which routes queries through the
// owners until the load is known to be low.
func New(cfg Config) *Machine {
	return &Machine{
		cfg:            cfg,
		suspectedUntil: make([]time.Time, len(cfg.Peers)),
		groups:         make(map[uint64][]*batch),
		load:           1,
	}
}

// Direct reports whether the next query goes directly to backend servers; if not,
// weight is the number of queries that it represents in the load measured by the
// owners.
func (m *Machine) Direct() (direct bool, weight int) {
	if !m.direct {
		return false, 1
	}
	m.queries++
	if m.queries%ownerSampleInterval == 0 {
		return false, ownerSampleInterval
	}
	return true, 0
}

// ObserveLoad records the load of a shard as measured by its owner.
func (m *Machine) ObserveLoad(load float64) {
	m.load += loadSmoothing * (load - m.load)
	switch {
	case m.load < m.cfg.LoadLow:
		m.direct = true
	case m.load > m.cfg.LoadHigh:
		m.direct = false
	}
}

// Wake returns the time at which the machine needs a Woken event, or false if it
// needs none.
func (m *Machine) Wake() (time.Time, bool) {
	return m.alarms.Next()
}

// Step applies an event and returns the shards to assign.
func (m *Machine) Step(now time.Time, event Event) []Assign {
	switch e := event.(type) {
	case *Asked:
		return m.assign(now, e.Group, e.Shards, 0)
	case *Acknowledged:
		m.acknowledged(now, e)
	case *Settled:
		m.settled(now, e)
	case *Failed:
		return m.failed(now, e)
	case *Ended:
		m.end(e.Group)
	case *Woken:
		return m.woken(now)
	}
	return nil
}

// assign splits shards by owner; once MaxPeers peers have failed for them, this
// entry handles them itself.
func (m *Machine) assign(now time.Time, group uint64, shards []int, failedPeers int) []Assign {
	var assigns []Assign
	index := make(map[int]int)
	for _, shard := range shards {
		owner := Self
		if failedPeers < m.cfg.MaxPeers {
			owner = m.owner(now, shard)
		}
		i, ok := index[owner]
		if !ok {
			i = len(assigns)
			index[owner] = i
			assigns = append(assigns, Assign{Group: group, Peer: owner})
		}
		assigns[i].Shards = append(assigns[i].Shards, shard)
	}
	for _, a := range assigns {
		m.awaitAcknowledgement(now, a, failedPeers)
	}
	return assigns
}

// awaitAcknowledgement starts the timeout for a peer's acknowledgement of an
// assignment.
func (m *Machine) awaitAcknowledgement(now time.Time, a Assign, failedPeers int) {
	if a.Peer == Self {
		return
	}
	b := &batch{group: a.Group, peer: a.Peer, shards: slices.Clone(a.Shards), failedPeers: failedPeers}
	b.alarm.Owner = b
	m.groups[a.Group] = append(m.groups[a.Group], b)
	m.alarms.Set(&b.alarm, now.Add(m.cfg.Silence))
}

// owner returns the highest-ranked entry of a shard that is not suspected.
func (m *Machine) owner(now time.Time, shard int) int {
	for _, peer := range m.rank(shard) {
		if peer == Self || !now.Before(m.suspectedUntil[peer]) {
			return peer
		}
	}
	return Self
}

// rank returns all entries in the rendezvous-hash order of a shard, which is the
// same on all entries.
func (m *Machine) rank(shard int) []int {
	for len(m.ranks) <= shard {
		m.ranks = append(m.ranks, m.computeRank(len(m.ranks)))
	}
	return m.ranks[shard]
}

func (m *Machine) computeRank(shard int) []int {
	order := []int{Self}
	for i := range m.cfg.Peers {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(m.score(b, shard), m.score(a, shard))
	})
	return order
}

func (m *Machine) score(peer, shard int) uint64 {
	name := m.cfg.Own
	if peer != Self {
		name = m.cfg.Peers[peer]
	}
	key := binary.LittleEndian.AppendUint64([]byte(name), uint64(shard))
	return xxhash.Sum64(key)
}

func (m *Machine) acknowledged(now time.Time, e *Acknowledged) {
	m.suspectedUntil[e.Peer] = time.Time{}
	b := m.batch(e.Group, e.Peer)
	if b != nil && len(b.shards) > 0 {
		m.alarms.Set(&b.alarm, now.Add(m.cfg.Stall))
	}
}

func (m *Machine) batch(group uint64, peer int) *batch {
	for _, b := range m.groups[group] {
		if b.peer == peer {
			return b
		}
	}
	return nil
}

func (m *Machine) settled(now time.Time, e *Settled) {
	b := m.batch(e.Group, e.Peer)
	if b == nil {
		return
	}
	b.shards = slices.DeleteFunc(b.shards, func(shard int) bool { return shard == e.Shard })
	if len(b.shards) == 0 {
		m.alarms.Clear(&b.alarm)
		return
	}
	m.alarms.Set(&b.alarm, now.Add(m.cfg.Stall))
}

// failed suspects a peer and reassigns its shards.
func (m *Machine) failed(now time.Time, e *Failed) []Assign {
	b := m.batch(e.Group, e.Peer)
	if b == nil || len(b.shards) == 0 {
		return nil
	}
	return m.reassign(now, b)
}

// reassign suspects the peer of a batch and reassigns the shards without a result.
func (m *Machine) reassign(now time.Time, b *batch) []Assign {
	m.alarms.Clear(&b.alarm)
	m.suspectedUntil[b.peer] = now.Add(m.cfg.Suspicion)
	shards := b.shards
	b.shards = nil
	return m.assign(now, b.group, shards, b.failedPeers+1)
}

func (m *Machine) end(group uint64) {
	for _, b := range m.groups[group] {
		m.alarms.Clear(&b.alarm)
	}
	delete(m.groups, group)
}

// woken reassigns the shards of each peer that has timed out.
func (m *Machine) woken(now time.Time) []Assign {
	var assigns []Assign
	for alarm := m.alarms.Due(now); alarm != nil; alarm = m.alarms.Due(now) {
		assigns = append(assigns, m.reassign(now, alarm.Owner)...)
	}
	return assigns
}
