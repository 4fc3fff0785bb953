package bencher

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/searcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

const (
	// faultDelay is the time from the start of a run to its fault; queries count
	// from 2 s after the fault.
	faultDelay = 2 * time.Second
	// slowReplicaFactor and slowShardFactor multiply the service times of the slowed searchers.
	slowReplicaFactor = 4.0
	slowShardFactor   = 1.3
	// holdingsInterval is the time from changing the holdings of one searcher (the shards
	// and snapshots that it serves) to changing those of the next.
	holdingsInterval = 100 * time.Millisecond
	// repartitionShards is the number of shards after a repartition from 20 or 30.
	repartitionShards = 24
	// drainedEvery selects the servers to drain: one of every 10.
	drainedEvery = 10
	// repartitionInterval is the time between a repartition and the change back.
	repartitionInterval = 2 * time.Second
)

// inject injects the fault of the scenario.
func (r *run) inject() {
	time.Sleep(faultDelay)
	switch r.scenario.Fault {
	case NoFault, Stragglers:
	case SlowReplica:
		r.nodes[0].engine.SetBehaviour(searcher.Behaviour{Slowdown: slowReplicaFactor})
	case SlowShard:
		for _, n := range r.nodes[:r.scenario.Replicas] {
			n.engine.SetBehaviour(searcher.Behaviour{Slowdown: slowShardFactor})
		}
	case ReplicaLost:
		r.nodes[0].setLost(true)
	case DomainPartitioned:
		for _, network := range r.networks {
			network.partition(r.scenario.Domains[0])
		}
	case VersionSwitch:
		r.switchTo(r.scenario.Shards)
	case Repartition:
		r.switchTo(repartitionShards)
		time.Sleep(repartitionInterval)
		r.switchTo(r.scenario.Shards)
	case Drain:
		for i, n := range r.nodes {
			if i%drainedEvery == 0 {
				n.engine.SetBehaviour(searcher.Behaviour{Draining: true})
			}
		}
	case OwnerKilled:
		r.stopEntry(r.killed)
	case OwnerFrozen:
		r.stopEntry(r.frozen)
	case FalseReports:
		r.reportFalseLoad()
	}
}

// stoppedEntry is the entry that OwnerKilled and OwnerFrozen stop: not the first
// one, which gets the skewed traffic.
const stoppedEntry = 1

func (r *run) stopEntry(stopped map[int]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stopped[stoppedEntry] = true
}

// switchTo adds the next snapshot, partitioned into the given number of shards, to
// one searcher after another, and then removes the old snapshot from each.
func (r *run) switchTo(shards int) {
	next := make([][]messenger.Holding, len(r.nodes))
	for i, n := range r.nodes {
		held := n.engine.Status().Holdings
		last := held[len(held)-1].Snapshot
		next[i] = holdingsOf(i, len(r.nodes), last+1, shards, r.scenario.Replicas)
		n.engine.SetBehaviour(searcher.Behaviour{Holdings: append(append([]messenger.Holding(nil), held...), next[i]...)})
		time.Sleep(holdingsInterval)
	}
	for i, n := range r.nodes {
		n.engine.SetBehaviour(searcher.Behaviour{Holdings: next[i]})
		time.Sleep(holdingsInterval)
	}
}

// holdingsOf returns the shards of a snapshot that a node holds when all replicas
// are distributed round-robin over the nodes.
func holdingsOf(node, nodes int, snapshot uint64, shards, replicas int) []messenger.Holding {
	var holdings []messenger.Holding
	for copyIndex := range shards * replicas {
		if copyIndex%nodes == node {
			holdings = append(holdings, messenger.Holding{Snapshot: snapshot, Shard: copyIndex / replicas, Shards: shards})
		}
	}
	return holdings
}

// reportFalseLoad makes the first replica of each shard always report that it is
// idle, and all others that they are busy, with the given number of running requests.
func (r *run) reportFalseLoad() {
	idle, busy := 0, 50
	for i, n := range r.nodes {
		load := &busy
		if i%r.scenario.Replicas == 0 {
			load = &idle
		}
		n.engine.SetBehaviour(searcher.Behaviour{FalseLoad: load})
	}
}
