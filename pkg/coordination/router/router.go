package router

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/scheduler"
)

// SelfIndex is the peer index of this entry.
const SelfIndex = -1

// Config holds the settings of a router.
type Config struct {
	// Self is the name of this entry, Peers are the names of the others.
	Self  string
	Peers []string
	// AckTimeout is the timeout for the acknowledgement of an owner.
	AckTimeout time.Duration
	// ProgressTimeout is the maximum time between two messages of an owner after its
	// acknowledgement.
	ProgressTimeout time.Duration
	// Suspicion is the time for which an owner that timed out is skipped.
	Suspicion time.Duration
	// Queries go directly to backend servers once the mean load of the shards (the
	// fraction of their slots that are busy) is below LoadLow, and through the owners
	// again once it is above LoadHigh.
	LoadLow  float64
	LoadHigh float64
	// MaxPeerAttempts is the number of peers that a shard is assigned to before
	// this entry handles it itself.
	MaxPeerAttempts int
}

// Defaults of a router.
const (
	DefaultAckTimeout      = 10 * time.Millisecond
	DefaultProgressTimeout = 75 * time.Millisecond
	DefaultSuspicion       = time.Second
	DefaultMaxPeerAttempts = 2
	DefaultLoadLow         = 0.4
	DefaultLoadHigh        = 0.5
)

// Event is an input of the machine.
type Event interface{ routerEvent() }

// OwnersRequested requests owners for the shards of a group. A group is one run
// of a query on one snapshot.
type OwnersRequested struct {
	Group  uint64
	Shards []int
}

// PeerAcknowledged reports that a peer has accepted the shards of a group.
type PeerAcknowledged struct {
	Group uint64
	Peer  int
}

// ShardSettled reports that a peer has returned the result of a shard of a group.
type ShardSettled struct {
	Group uint64
	Peer  int
	Shard int
}

// PeerFailed reports that a peer will return no more results for a group.
type PeerFailed struct {
	Group uint64
	Peer  int
}

// GroupEnded reports that a group is complete or canceled.
type GroupEnded struct {
	Group uint64
}

// TimerFired reports that the time returned by NextTimer has passed.
type TimerFired struct{}

func (*OwnersRequested) routerEvent()  {}
func (*PeerAcknowledged) routerEvent() {}
func (*ShardSettled) routerEvent()     {}
func (*PeerFailed) routerEvent()       {}
func (*GroupEnded) routerEvent()       {}
func (*TimerFired) routerEvent()       {}

// Assign assigns shards of a group to a peer, or to this entry if Peer is SelfIndex.
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

// batch is the shards of a group that are assigned to one peer.
type batch struct {
	peer int
	// shards are those without a result yet.
	shards []int
	// failedPeers is the number of peers that failed for these shards before.
	failedPeers int
	timer       scheduler.Timer[*batch]
	group       uint64
}

// Machine routes the shards of one service.
type Machine struct {
	cfg Config
	// suspectedUntil holds, for each peer, the time until which it is skipped.
	suspectedUntil []time.Time
	// ranks holds the result of rank for each shard.
	ranks        [][]int
	groups       map[uint64][]*batch
	timers       scheduler.TimerQueue[*batch]
	load         float64
	bypassOwners bool
	// queries counts the queries while bypassOwners is set.
	queries int
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

// BypassOwners reports whether the next query goes directly to backend servers;
// if not, weight is the number of queries that it represents in the load measured
// by the owners.
func (m *Machine) BypassOwners() (bypass bool, weight int) {
	if !m.bypassOwners {
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
		m.bypassOwners = true
	case m.load > m.cfg.LoadHigh:
		m.bypassOwners = false
	}
}

// NextTimer returns the time at which the machine needs a TimerFired event, or
// false if it needs none.
func (m *Machine) NextTimer() (time.Time, bool) {
	return m.timers.Next()
}

// Step applies an event and returns the shards to assign.
func (m *Machine) Step(now time.Time, event Event) []Assign {
	switch e := event.(type) {
	case *OwnersRequested:
		return m.assign(now, e.Group, e.Shards, 0)
	case *PeerAcknowledged:
		m.acknowledged(now, e)
	case *ShardSettled:
		m.settled(now, e)
	case *PeerFailed:
		return m.failed(now, e)
	case *GroupEnded:
		m.end(e.Group)
	case *TimerFired:
		return m.timerFired(now)
	}
	return nil
}

// assign splits shards by owner; once MaxPeerAttempts peers have failed for them,
// this entry handles them itself.
func (m *Machine) assign(now time.Time, group uint64, shards []int, failedPeers int) []Assign {
	var assigns []Assign
	index := make(map[int]int)
	for _, shard := range shards {
		owner := SelfIndex
		if failedPeers < m.cfg.MaxPeerAttempts {
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
	if a.Peer == SelfIndex {
		return
	}
	b := &batch{group: a.Group, peer: a.Peer, shards: slices.Clone(a.Shards), failedPeers: failedPeers}
	b.timer.Owner = b
	m.groups[a.Group] = append(m.groups[a.Group], b)
	m.timers.Set(&b.timer, now.Add(m.cfg.AckTimeout))
}

// owner returns the highest-ranked entry of a shard that is not suspected.
func (m *Machine) owner(now time.Time, shard int) int {
	for _, peer := range m.rank(shard) {
		if peer == SelfIndex || !now.Before(m.suspectedUntil[peer]) {
			return peer
		}
	}
	return SelfIndex
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
	order := []int{SelfIndex}
	for i := range m.cfg.Peers {
		order = append(order, i)
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(m.score(b, shard), m.score(a, shard))
	})
	return order
}

func (m *Machine) score(peer, shard int) uint64 {
	name := m.cfg.Self
	if peer != SelfIndex {
		name = m.cfg.Peers[peer]
	}
	key := binary.LittleEndian.AppendUint64([]byte(name), uint64(shard))
	return xxhash.Sum64(key)
}

func (m *Machine) acknowledged(now time.Time, e *PeerAcknowledged) {
	m.suspectedUntil[e.Peer] = time.Time{}
	b := m.batch(e.Group, e.Peer)
	if b != nil && len(b.shards) > 0 {
		m.timers.Set(&b.timer, now.Add(m.cfg.ProgressTimeout))
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

func (m *Machine) settled(now time.Time, e *ShardSettled) {
	b := m.batch(e.Group, e.Peer)
	if b == nil {
		return
	}
	b.shards = slices.DeleteFunc(b.shards, func(shard int) bool { return shard == e.Shard })
	if len(b.shards) == 0 {
		m.timers.Clear(&b.timer)
		return
	}
	m.timers.Set(&b.timer, now.Add(m.cfg.ProgressTimeout))
}

// failed suspects a peer and reassigns its shards, unless all of them have results.
func (m *Machine) failed(now time.Time, e *PeerFailed) []Assign {
	b := m.batch(e.Group, e.Peer)
	if b == nil || len(b.shards) == 0 {
		return nil
	}
	return m.reassign(now, b)
}

// reassign suspects the peer of a batch and reassigns the shards without a result.
func (m *Machine) reassign(now time.Time, b *batch) []Assign {
	m.timers.Clear(&b.timer)
	m.suspectedUntil[b.peer] = now.Add(m.cfg.Suspicion)
	shards := b.shards
	b.shards = nil
	return m.assign(now, b.group, shards, b.failedPeers+1)
}

func (m *Machine) end(group uint64) {
	for _, b := range m.groups[group] {
		m.timers.Clear(&b.timer)
	}
	delete(m.groups, group)
}

// timerFired reassigns the shards of each peer that has timed out.
func (m *Machine) timerFired(now time.Time) []Assign {
	var assigns []Assign
	for timer := m.timers.Due(now); timer != nil; timer = m.timers.Due(now) {
		assigns = append(assigns, m.reassign(now, timer.Owner)...)
	}
	return assigns
}
