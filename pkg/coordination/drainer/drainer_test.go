package drainer

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"pgregory.net/rapid"
)

// drainLimit is the maximum time for which a draining backend server may still get
// new requests.
const drainLimit = 3 * time.Second

// TestDrainingServerGetsNoRequests checks the limit for a server that starts draining
// at a random time, while probes are lost at random and the list never changes.
func TestDrainingServerGetsNoRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(100, 0)
		d := New(DefaultConfig())
		d.Listed(0, 1, messenger.ServerLive, now)
		drainStart := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "leaves")) * time.Millisecond)
		end := drainStart.Add(6 * time.Second)
		for ; now.Before(end); now = now.Add(100 * time.Millisecond) {
			d.Probes(now, func(server int) {
				if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
					return
				}
				d.ObserveStatus(server, messenger.ServerStatus{Incarnation: 1, Draining: !now.Before(drainStart)}, now)
			})
			if now.Sub(drainStart) >= drainLimit && d.Usable(0, now) {
				t.Fatalf("server is still usable %v after it started draining", now.Sub(drainStart))
			}
		}
	})
}

func TestOnlyStatusOfNewerIncarnationEndsDraining(t *testing.T) {
	is := is.New(t)
	now := time.Unix(100, 0)
	d := New(DefaultConfig())
	d.Listed(0, 1, messenger.ServerLive, now)
	is.True(d.Usable(0, now))
	d.Listed(0, 1, messenger.ServerDraining, now)
	is.True(!d.Usable(0, now))
	d.Listed(0, 2, messenger.ServerLive, now)
	is.True(!d.Usable(0, now)) // the list does not end the draining
	d.ObserveStatus(0, messenger.ServerStatus{Incarnation: 1}, now)
	is.True(!d.Usable(0, now)) // neither does a status of the same incarnation
	d.ObserveStatus(0, messenger.ServerStatus{Incarnation: 2}, now)
	is.True(d.Usable(0, now))
	d.ObserveStatus(0, messenger.ServerStatus{Incarnation: 1, Draining: true}, now)
	is.True(d.Usable(0, now)) // a late status of the old incarnation
}
