package relayer

import (
	"math"
	"time"
)

const (
	// roomMemory is the time constant of the average rate of a host's sub-requests.
	roomMemory = 150 * time.Millisecond
	// maxLoad is the fraction of its rate up to which a host accepts requests of other hosts; the
	// rest is for its own callers.
	maxLoad = 0.8
)

// Room measures the load of a host, and tells whether it has room for a request of another host.
type Room struct {
	// rate is the number of sub-requests per second that the host can send.
	rate float64
	// recent is the number of recent sub-requests, each counting less as it ages; at is when
	// that was computed.
	recent float64
	at     time.Time
}

// NewRoom returns the room of a host without load that can send so many sub-requests a
// second.
func NewRoom(rate float64) *Room {
	return &Room{rate: rate}
}

// Add records sub-requests that the host sends.
func (r *Room) Add(now time.Time, n int) {
	r.decay(now)
	r.recent += float64(n)
}

// Admit reports whether the host has room for so many more sub-requests, and records them if
// so. An idle host has room for any request.
func (r *Room) Admit(now time.Time, n int) bool {
	r.decay(now)
	if r.recent > 0 && r.recent+float64(n) > maxLoad*r.rate*roomMemory.Seconds() {
		return false
	}
	r.recent += float64(n)
	return true
}

// negligible is the number of recent sub-requests below which a host counts as idle.
const negligible = 0.5

func (r *Room) decay(now time.Time) {
	if !r.at.IsZero() {
		r.recent *= math.Exp(-now.Sub(r.at).Seconds() / roomMemory.Seconds())
	}
	if r.recent < negligible {
		r.recent = 0
	}
	r.at = now
}
