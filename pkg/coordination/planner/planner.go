package planner

import (
	"cmp"
	"slices"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

// MaxShards is the maximum number of shards of a snapshot; holdings that state
// more are ignored.
const MaxShards = 100_000

// Layout is a snapshot, its number of shards and how many of them have a usable
// replica.
type Layout struct {
	Snapshot uint64
	Shards   int
	Covered  int
}

type layoutKey struct {
	snapshot uint64
	shards   int
}

type server struct {
	holdings []messenger.Holding
	// selfReported is set once the server itself has reported holdings.
	selfReported bool
	// incarnation is the run of the server's process to which the holdings belong.
	incarnation uint64
	usable      bool
}

type plan struct {
	layout Layout
	// replicas holds the usable servers of each shard.
	replicas [][]int
}

// Planner maps snapshots and shards to usable backend servers.
type Planner struct {
	servers []server
	plans   map[layoutKey]*plan
	current *plan
	// dirty is set while plans and current are out of date.
	dirty bool
}

// New returns a planner without servers.
func New() *Planner {
	return &Planner{plans: make(map[layoutKey]*plan)}
}

// SetListedHoldings records holdings from the platform's list. Once the server has
// reported holdings itself, only those of a newer incarnation than the recorded one count.
func (p *Planner) SetListedHoldings(i int, incarnation uint64, holdings []messenger.Holding) {
	s := p.serverAt(i)
	if s.selfReported && incarnation <= s.incarnation {
		return
	}
	p.setHoldings(s, incarnation, holdings)
}

// SetReportedHoldings records the holdings that a server has reported itself. An empty list
// carries no information and is ignored, and so is a report of an older incarnation.
func (p *Planner) SetReportedHoldings(i int, incarnation uint64, holdings []messenger.Holding) {
	s := p.serverAt(i)
	if len(holdings) == 0 || incarnation < s.incarnation {
		return
	}
	s.selfReported = true
	p.setHoldings(s, incarnation, holdings)
}

// RemoveSnapshot records that a server no longer holds a snapshot.
func (p *Planner) RemoveSnapshot(i int, snapshot uint64) {
	s := p.serverAt(i)
	kept := slices.DeleteFunc(slices.Clone(s.holdings), func(h messenger.Holding) bool {
		return h.Snapshot == snapshot
	})
	p.setHoldings(s, s.incarnation, kept)
}

// SetUsable records whether a server may get new requests.
func (p *Planner) SetUsable(i int, usable bool) {
	s := p.serverAt(i)
	if s.usable != usable {
		s.usable = usable
		p.dirty = true
	}
}

func (p *Planner) serverAt(i int) *server {
	for len(p.servers) <= i {
		p.servers = append(p.servers, server{})
	}
	return &p.servers[i]
}

func (p *Planner) setHoldings(s *server, incarnation uint64, holdings []messenger.Holding) {
	s.incarnation = incarnation
	if slices.Equal(s.holdings, holdings) {
		return
	}
	s.holdings = slices.Clone(holdings)
	p.dirty = true
}

// Current returns the newest snapshot with a usable replica of each shard; if there
// is none, it returns the one with the highest fraction of shards covered.
func (p *Planner) Current() (Layout, bool) {
	p.refresh()
	if p.current == nil {
		return Layout{}, false
	}
	return p.current.layout, true
}

// Replicas returns the usable servers that hold a shard of a layout; the returned
// slice is valid until the next change.
func (p *Planner) Replicas(layout Layout, shard int) []int {
	p.refresh()
	found, ok := p.plans[layoutKey{layout.Snapshot, layout.Shards}]
	if !ok || shard < 0 || shard >= len(found.replicas) {
		return nil
	}
	return found.replicas[shard]
}

func (p *Planner) refresh() {
	if !p.dirty {
		return
	}
	p.dirty = false
	clear(p.plans)
	for i := range p.servers {
		p.addServer(i)
	}
	p.current = p.selectBest()
}

func (p *Planner) addServer(i int) {
	s := &p.servers[i]
	if !s.usable {
		return
	}
	for _, h := range s.holdings {
		if validHolding(h) {
			p.addHolding(i, h)
		}
	}
}

func validHolding(h messenger.Holding) bool {
	return h.Shards > 0 && h.Shards <= MaxShards && h.Shard >= 0 && h.Shard < h.Shards
}

func (p *Planner) addHolding(i int, h messenger.Holding) {
	key := layoutKey{h.Snapshot, h.Shards}
	found, ok := p.plans[key]
	if !ok {
		found = &plan{
			layout:   Layout{Snapshot: h.Snapshot, Shards: h.Shards},
			replicas: make([][]int, h.Shards),
		}
		p.plans[key] = found
	}
	if len(found.replicas[h.Shard]) == 0 {
		found.layout.Covered++
	}
	if !slices.Contains(found.replicas[h.Shard], i) {
		found.replicas[h.Shard] = append(found.replicas[h.Shard], i)
	}
}

func (p *Planner) selectBest() *plan {
	var best *plan
	for _, candidate := range p.plans {
		if best == nil || compare(candidate.layout, best.layout) > 0 {
			best = candidate
		}
	}
	return best
}

// compare orders layouts by coverage, then by snapshot, then by shard count.
func compare(a, b Layout) int {
	return cmp.Or(
		cmp.Compare(a.Covered*b.Shards, b.Covered*a.Shards),
		cmp.Compare(a.Snapshot, b.Snapshot),
		cmp.Compare(a.Shards, b.Shards),
	)
}
