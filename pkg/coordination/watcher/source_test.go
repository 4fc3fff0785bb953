package watcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestHostFollowsStoreOnlyIfNoPeerDoes checks that a host follows the store
// directly once its peer has lost the store or has stopped answering.
func TestHostFollowsStoreOnlyIfNoPeerDoes(t *testing.T) {
	is := is.New(t)
	const limit = 2 * time.Second
	s := NewSource(SourceConfig{Bound: limit + turnReserve, WatchWait: time.Second, CompareInterval: time.Second})
	is.True(s.FollowsStore(start))
	s.SetRole(Dependent)
	is.True(s.FollowsStore(start)) // no content from a peer yet
	s.ReceivedFromPeer(start, 500*time.Millisecond)
	is.True(!s.FollowsStore(start.Add(1500 * time.Millisecond)))
	s.ReceivedFromPeer(start.Add(1500*time.Millisecond), 2*time.Second) // the peer has lost the store
	is.True(s.FollowsStore(start.Add(1600 * time.Millisecond)))
	s.ReceivedFromPeer(start.Add(1600*time.Millisecond), 0)
	is.True(!s.FollowsStore(start.Add(3600 * time.Millisecond)))
	is.True(s.FollowsStore(start.Add(3601 * time.Millisecond))) // no peer answers
	s.ReceivedFromPeer(start.Add(4*time.Second), 0)
	is.Equal(s.RetryDelay(time.Second), peerRetryFactor*time.Second)
	s.SetRole(Direct)
	is.True(s.FollowsStore(start.Add(4 * time.Second)))
	is.Equal(s.RetryDelay(time.Second), time.Second)
}

// TestStartingHostWaitsForItsSeeds checks that a starting host waits for its seeds until
// the time limit or until one of them has sent its content.
func TestStartingHostWaitsForItsSeeds(t *testing.T) {
	is := is.New(t)
	s := NewSource(SourceConfig{Bound: 2*time.Second + turnReserve, WatchWait: time.Second, CompareInterval: time.Second})
	s.WaitUntil(start.Add(time.Second))
	s.SetRole(Dependent)
	is.True(!s.FollowsStore(start))
	is.True(s.Waiting(start))
	is.True(s.FollowsStore(start.Add(time.Second))) // no seed answers
	is.True(!s.Waiting(start.Add(time.Second)))
	s.ReceivedFromPeer(start.Add(500*time.Millisecond), 0)
	is.True(!s.Waiting(start.Add(500 * time.Millisecond)))
	is.True(!s.FollowsStore(start.Add(time.Second)))
	s.SetRole(Direct) // the host is registered now and follows the store for others
	is.True(s.FollowsStore(start.Add(500 * time.Millisecond)))
}

// TestStartingHostDoesNotWaitForSeedsWithoutContent guards against waiting the full
// time for seeds without content, which restart simultaneously or have lost the
// store: the wait ends once each of them has been ruled out.
func TestStartingHostDoesNotWaitForSeedsWithoutContent(t *testing.T) {
	is := is.New(t)
	s := NewSource(SourceConfig{Bound: 2*time.Second + turnReserve, WatchWait: time.Second, CompareInterval: time.Second})
	s.WaitForPeers(start.Add(time.Second), []string{"a", "b"})
	s.RuleOutPeer("a")
	s.RuleOutPeer("a")
	s.RuleOutPeer("other")
	is.True(s.Waiting(start))
	s.RuleOutPeer("b")
	is.True(!s.Waiting(start))
	is.True(s.FollowsStore(start))
}
