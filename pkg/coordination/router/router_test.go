package router

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestMachine(own string, peers ...string) *Machine {
	return New(Config{
		Own: own, Peers: peers, Silence: DefaultSilence, Stall: DefaultStall,
		Suspicion: DefaultSuspicion, MaxPeers: DefaultMaxPeers,
	})
}

func shardsUpTo(n int) []int {
	shards := make([]int, n)
	for i := range shards {
		shards[i] = i
	}
	return shards
}

// ownerNames returns the name of the owner of each shard as computed by one entry.
func ownerNames(m *Machine, shards int) []string {
	names := make([]string, shards)
	for _, a := range m.Step(time.Unix(1, 0), &Asked{Group: 1, Shards: shardsUpTo(shards)}) {
		name := m.cfg.Own
		if a.Peer != Self {
			name = m.cfg.Peers[a.Peer]
		}
		for _, shard := range a.Shards {
			names[shard] = name
		}
	}
	return names
}

func TestAllEntriesComputeTheSameOwners(t *testing.T) {
	is := is.New(t)
	a := ownerNames(newTestMachine("a", "b", "c"), 40)
	is.Equal(a, ownerNames(newTestMachine("b", "a", "c"), 40))
	is.Equal(a, ownerNames(newTestMachine("c", "a", "b"), 40))
	for _, name := range []string{"a", "b", "c"} {
		is.True(slices.Contains(a, name)) // each entry owns some shards
	}
}

// TestUnacknowledgedShardsAreReassigned checks that shards whose owners do not
// acknowledge go to the next owner and, after MaxPeers owners, to this entry.
func TestUnacknowledgedShardsAreReassigned(t *testing.T) {
	is := is.New(t)
	m := newTestMachine("a", "b", "c", "d")
	now := time.Unix(1, 0)
	assigned := make(map[int]int)
	note := func(assigns []Assign) {
		for _, a := range assigns {
			for _, shard := range a.Shards {
				assigned[shard] = a.Peer
			}
		}
	}
	note(m.Step(now, &Asked{Group: 1, Shards: shardsUpTo(20)}))
	for range DefaultMaxPeers {
		now = now.Add(DefaultSilence)
		note(m.Step(now, &Woken{}))
	}
	for shard := range 20 {
		is.Equal(assigned[shard], Self) // no peer has acknowledged
	}
	for _, a := range m.Step(now, &Asked{Group: 2, Shards: shardsUpTo(20)}) {
		is.Equal(a.Peer, Self) // the peers that timed out are suspected
	}
	m.Step(now, &Ended{Group: 1})
	_, waiting := m.Wake()
	is.True(!waiting)
}

// TestShardsOfStalledOwnerAreReassigned checks that shards are reassigned if an
// owner stops responding after its acknowledgement and a first result.
func TestShardsOfStalledOwnerAreReassigned(t *testing.T) {
	is := is.New(t)
	m := newTestMachine("a", "b")
	now := time.Unix(1, 0)
	var peerShards []int
	for _, a := range m.Step(now, &Asked{Group: 1, Shards: shardsUpTo(20)}) {
		if a.Peer != Self {
			peerShards = a.Shards
		}
	}
	m.Step(now, &Acknowledged{Group: 1, Peer: 0})
	m.Step(now, &Settled{Group: 1, Peer: 0, Shard: peerShards[0]})
	is.Equal(len(m.Step(now.Add(DefaultStall/2), &Woken{})), 0)
	assigns := m.Step(now.Add(DefaultStall), &Woken{})
	is.Equal(len(assigns), 1)
	is.Equal(assigns[0].Peer, Self)
	is.Equal(assigns[0].Shards, peerShards[1:]) // all but the settled one
}
