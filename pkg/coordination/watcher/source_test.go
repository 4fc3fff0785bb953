package watcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPeersAreEnoughWhileTheirStoreAnswers checks that a host follows the store
// directly once its peer has lost the store or has stopped answering.
func TestPeersAreEnoughWhileTheirStoreAnswers(t *testing.T) {
	is := is.New(t)
	const limit = 2 * time.Second
	s := NewSource(limit)
	is.True(s.Own(start))
	s.SetPeers(true)
	is.True(s.Own(start)) // no content from a peer yet
	s.Told(start, 500*time.Millisecond)
	is.True(!s.Own(start.Add(1500 * time.Millisecond)))
	s.Told(start.Add(1500*time.Millisecond), 2*time.Second) // the peer has lost the store
	is.True(s.Own(start.Add(1600 * time.Millisecond)))
	s.Told(start.Add(1600*time.Millisecond), 0)
	is.True(!s.Own(start.Add(3600 * time.Millisecond)))
	is.True(s.Own(start.Add(3601 * time.Millisecond))) // no peer answers
	s.Told(start.Add(4*time.Second), 0)
	is.Equal(s.RetryDelay(time.Second), peerRetryFactor*time.Second)
	s.SetPeers(false)
	is.True(s.Own(start.Add(4 * time.Second)))
	is.Equal(s.RetryDelay(time.Second), time.Second)
}

// TestHostThatStartsLeavesTheStoreToItsSeeds checks that a starting host waits for
// its seeds until the time limit or until one of them has sent its content.
func TestHostThatStartsLeavesTheStoreToItsSeeds(t *testing.T) {
	is := is.New(t)
	s := NewSource(2 * time.Second)
	s.Await(start.Add(time.Second))
	s.SetPeers(true)
	is.True(!s.Own(start))
	is.True(s.Awaits(start))
	is.True(s.Own(start.Add(time.Second))) // no seed answers
	is.True(!s.Awaits(start.Add(time.Second)))
	s.Told(start.Add(500*time.Millisecond), 0)
	is.True(!s.Awaits(start.Add(500 * time.Millisecond)))
	is.True(!s.Own(start.Add(time.Second)))
	s.SetPeers(false) // the host is registered now and follows the store for others
	is.True(s.Own(start.Add(500 * time.Millisecond)))
}

// TestHostThatStartsWaitsForNoSeedThatTellsNothing guards against waiting the full
// time for seeds without content, which restart simultaneously or have lost the
// store: the wait ends when the last of them has answered so.
func TestHostThatStartsWaitsForNoSeedThatTellsNothing(t *testing.T) {
	is := is.New(t)
	s := NewSource(2 * time.Second)
	s.AwaitPeers(start.Add(time.Second), []string{"a", "b"})
	s.ToldNothing("a")
	s.ToldNothing("a")
	s.ToldNothing("other")
	is.True(s.Awaits(start))
	s.ToldNothing("b")
	is.True(!s.Awaits(start))
	is.True(s.Own(start))
}
