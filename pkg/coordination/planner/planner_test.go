package planner

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"pgregory.net/rapid"
)

func holding(snapshot uint64, shard, shards int) messenger.Holding {
	return messenger.Holding{Snapshot: snapshot, Shard: shard, Shards: shards}
}

func TestCurrentPrefersFullCoverageOverNewer(t *testing.T) {
	is := is.New(t)
	p := New()
	for server, holdings := range [][]messenger.Holding{
		{holding(1, 0, 2), holding(2, 0, 2)},
		{holding(1, 1, 2)},
	} {
		p.SetReportedHoldings(server, 1, holdings)
		p.SetUsable(server, true)
	}
	layout, ok := p.Current()
	is.True(ok)
	is.Equal(layout, Layout{Snapshot: 1, Shards: 2, Covered: 2})

	p.SetReportedHoldings(1, 1, []messenger.Holding{holding(1, 1, 2), holding(2, 1, 2)})
	layout, _ = p.Current()
	is.Equal(layout.Snapshot, uint64(2)) // the newer snapshot is fully covered now

	p.SetUsable(1, false)
	layout, _ = p.Current()
	is.Equal(layout, Layout{Snapshot: 2, Shards: 2, Covered: 1})
}

func TestServerReportOverridesList(t *testing.T) {
	is := is.New(t)
	p := New()
	p.SetUsable(0, true)
	p.SetReportedHoldings(0, 5, []messenger.Holding{holding(2, 0, 1)})
	p.SetListedHoldings(0, 5, []messenger.Holding{holding(1, 0, 1)})
	layout, _ := p.Current()
	is.Equal(layout.Snapshot, uint64(2)) // the server's own report overrides the list for one incarnation
	p.SetListedHoldings(0, 6, []messenger.Holding{holding(3, 0, 1)})
	layout, _ = p.Current()
	is.Equal(layout.Snapshot, uint64(3)) // the new incarnation has not reported itself yet
}

// TestReplicasHoldRequestedShard checks that each returned replica is usable and
// has reported that it holds the shard.
func TestReplicasHoldRequestedShard(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New()
		const servers, shards = 4, 3
		held := make([]map[messenger.Holding]bool, servers)
		usable := make([]bool, servers)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			server := rapid.IntRange(0, servers-1).Draw(t, "server")
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				h := holding(rapid.Uint64Range(1, 2).Draw(t, "snapshot"), rapid.IntRange(0, shards-1).Draw(t, "shard"), shards)
				p.SetReportedHoldings(server, 1, []messenger.Holding{h})
				held[server] = map[messenger.Holding]bool{h: true}
			case 1:
				usable[server] = rapid.Bool().Draw(t, "usable")
				p.SetUsable(server, usable[server])
			case 2:
				snapshot := rapid.Uint64Range(1, 2).Draw(t, "gone")
				p.RemoveSnapshot(server, snapshot)
				for h := range held[server] {
					if h.Snapshot == snapshot {
						delete(held[server], h)
					}
				}
			}
			checkReplicas(t, p, held, usable)
		}
	})
}

func checkReplicas(t *rapid.T, p *Planner, held []map[messenger.Holding]bool, usable []bool) {
	layout, ok := p.Current()
	if !ok {
		return
	}
	covered := 0
	for shard := range layout.Shards {
		replicas := p.Replicas(layout, shard)
		if len(replicas) > 0 {
			covered++
		}
		for _, server := range replicas {
			if !usable[server] || !held[server][holding(layout.Snapshot, shard, layout.Shards)] {
				t.Fatalf("server %d is returned for shard %d of %+v but is unusable or does not hold it", server, shard, layout)
			}
		}
	}
	if covered != layout.Covered {
		t.Fatalf("%d shards are covered, but the layout reports %d", covered, layout.Covered)
	}
}
