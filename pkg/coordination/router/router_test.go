package router

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func newTestMachine(self string, peers ...string) *Machine {
	return New(Config{
		Self: self, Peers: peers, AckTimeout: DefaultAckTimeout, ProgressTimeout: DefaultProgressTimeout,
		Suspicion: DefaultSuspicion, MaxPeerAttempts: DefaultMaxPeerAttempts,
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
	for _, a := range m.Step(time.Unix(1, 0), &OwnersRequested{Group: 1, Shards: shardsUpTo(shards)}) {
		name := m.cfg.Self
		if a.Peer != SelfIndex {
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
// acknowledge go to the next owner and, after MaxPeerAttempts owners, to this entry.
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
	note(m.Step(now, &OwnersRequested{Group: 1, Shards: shardsUpTo(20)}))
	for range DefaultMaxPeerAttempts {
		now = now.Add(DefaultAckTimeout)
		note(m.Step(now, &TimerFired{}))
	}
	for shard := range 20 {
		is.Equal(assigned[shard], SelfIndex) // no peer has acknowledged
	}
	for _, a := range m.Step(now, &OwnersRequested{Group: 2, Shards: shardsUpTo(20)}) {
		is.Equal(a.Peer, SelfIndex) // the peers that timed out are suspected
	}
	m.Step(now, &GroupEnded{Group: 1})
	_, waiting := m.NextTimer()
	is.True(!waiting)
}

// TestShardsOfStalledOwnerAreReassigned checks that shards are reassigned if an
// owner stops responding after its acknowledgement and a first result.
func TestShardsOfStalledOwnerAreReassigned(t *testing.T) {
	is := is.New(t)
	m := newTestMachine("a", "b")
	now := time.Unix(1, 0)
	var peerShards []int
	for _, a := range m.Step(now, &OwnersRequested{Group: 1, Shards: shardsUpTo(20)}) {
		if a.Peer != SelfIndex {
			peerShards = a.Shards
		}
	}
	m.Step(now, &PeerAcknowledged{Group: 1, Peer: 0})
	m.Step(now, &ShardSettled{Group: 1, Peer: 0, Shard: peerShards[0]})
	is.Equal(len(m.Step(now.Add(DefaultProgressTimeout/2), &TimerFired{})), 0)
	assigns := m.Step(now.Add(DefaultProgressTimeout), &TimerFired{})
	is.Equal(len(assigns), 1)
	is.Equal(assigns[0].Peer, SelfIndex)
	is.Equal(assigns[0].Shards, peerShards[1:]) // all but the settled one
}
