package assessor

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(100, 0)

func failRequests(a *Assessor, now time.Time, n int) {
	for range n {
		a.RequestEnded(now, false)
	}
}

// TestPartitionedHostIsNotReady loses the store and the servers, as in a partition of a
// failure domain.
func TestPartitionedHostIsNotReady(t *testing.T) {
	is := is.New(t)
	a := New(DefaultConfig())
	failRequests(a, start, 10)
	is.True(a.ShouldCheckStore(start))
	is.True(a.Ready(start)) // with the store reachable, other hosts would do no better
	a.StoreReachable(start, false)
	is.True(!a.Ready(start))
	is.True(!a.Ready(start.Add(DefaultConfig().NotReadyTime - 1)))
	is.True(a.Ready(start.Add(DefaultConfig().NotReadyTime))) // it takes callers again
	failRequests(a, start.Add(DefaultConfig().NotReadyTime), 10)
	is.True(!a.Ready(start.Add(DefaultConfig().NotReadyTime)))
	a.StoreReachable(start.Add(DefaultConfig().NotReadyTime), true)
	is.True(a.Ready(start.Add(DefaultConfig().NotReadyTime))) // immediately
}

// TestHostStaysReadyDuringStoreOutage serves more than half of the requests while the
// store is unreachable: the host becomes not ready only once half of them have failed.
func TestHostStaysReadyDuringStoreOutage(t *testing.T) {
	is := is.New(t)
	a := New(DefaultConfig())
	a.StoreReachable(start, false)
	for range 7 {
		a.RequestEnded(start, true)
	}
	failRequests(a, start, 6)
	is.True(a.Ready(start))
	failRequests(a, start, 1)
	is.True(!a.Ready(start))
}

// TestNotReadyPeerTriggersStoreCheck reports to a host without requests that a peer is not
// ready: the host checks the store, and stays ready as long as the store is reachable.
func TestNotReadyPeerTriggersStoreCheck(t *testing.T) {
	is := is.New(t)
	a := New(DefaultConfig())
	a.PeerNotReady(start)
	is.True(a.ShouldCheckStore(start))
	is.True(a.Ready(start))
	a.StoreReachable(start, false)
	is.True(!a.Ready(start))
	a.StoreReachable(start, true)
	is.True(a.Ready(start))
	a.StoreReachable(start, false)
	is.True(a.Ready(start.Add(DefaultConfig().PeerReportMaxAge))) // the report of the peer has expired
}

// TestReachableStoreIsCheckedPeriodically fails requests all the time and expects a
// check of the store once per StoreCheckInterval.
func TestReachableStoreIsCheckedPeriodically(t *testing.T) {
	is := is.New(t)
	a := New(DefaultConfig())
	checks := 0
	for at := start; at.Before(start.Add(3 * time.Second)); at = at.Add(100 * time.Millisecond) {
		failRequests(a, at, 3)
		if a.ShouldCheckStore(at) {
			checks++
		}
	}
	is.Equal(checks, 5)
}

func TestOldOutcomesAreIgnored(t *testing.T) {
	is := is.New(t)
	a := New(DefaultConfig())
	a.StoreReachable(start, false)
	failRequests(a, start, 10)
	later := start.Add(2 * DefaultConfig().Window)
	failRequests(a, later, DefaultConfig().MinFailed-1)
	is.True(a.Ready(later))
}

// TestIsolatedHostStaysNotReady has requests fail at a host in a partitioned failure
// domain: it stays not ready beyond NotReadyTime while neither the store nor any host of
// another failure domain is reachable, and is ready immediately when one is.
func TestIsolatedHostStaysNotReady(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	a := New(cfg)
	is.True(!a.ShouldProbe(start, false))
	is.True(a.ShouldProbe(start, true))
	is.True(!a.ShouldProbe(start.Add(cfg.ProbeInterval-1), true))
	a.PeersProbed(start, false)
	a.StoreReachable(start, false)
	is.True(a.Ready(start)) // its failure domain may have all servers that it needs
	failRequests(a, start, cfg.MinFailed)
	is.True(!a.Ready(start))
	now := start
	for ; now.Before(start.Add(3 * cfg.NotReadyTime)); now = now.Add(cfg.ProbeInterval) {
		is.True(!a.Ready(now))
		is.True(a.ShouldProbe(now.Add(cfg.ProbeInterval), false))
		a.PeersProbed(now.Add(cfg.ProbeInterval), false)
	}
	a.PeersProbed(now, true)
	is.True(a.Ready(now)) // though the store is still unreachable
}
