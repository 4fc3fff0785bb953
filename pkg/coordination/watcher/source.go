package watcher

import "time"

// Source decides whether a host follows the store directly or through peers, the
// hosts of its failure domain that follow it. Peers suffice as long as the store
// has answered one of them recently.
type Source struct {
	// maxAge is the maximum age of the content received from peers.
	maxAge   time.Duration
	hasPeers bool
	// confirmedAt is the latest time at which the store confirmed the content of a
	// peer, or zero.
	confirmedAt time.Time
	// waitUntil is the time until which a host that has received nothing yet waits
	// for peers instead of calling the store.
	waitUntil time.Time
	// pendingPeers holds the peers that may still send content.
	pendingPeers map[string]bool
}

// NewSource returns a source that follows the store directly until SetHasPeers or
// WaitUntil is called; maxAge is the maximum age of the content received from peers.
func NewSource(maxAge time.Duration) *Source {
	return &Source{maxAge: maxAge}
}

// SetHasPeers sets whether there are peers that follow the store for this host.
func (s *Source) SetHasPeers(hasPeers bool) {
	s.hasPeers = hasPeers
}

// WaitUntil makes the host wait for the first content from peers, until a time,
// before it follows the store directly.
func (s *Source) WaitUntil(until time.Time) {
	s.waitUntil = until
}

// WaitForPeers is like WaitUntil, but the wait also ends once RuleOutPeer was called
// for each of the peers.
func (s *Source) WaitForPeers(until time.Time, peers []string) {
	s.WaitUntil(until)
	s.pendingPeers = make(map[string]bool, len(peers))
	for _, peer := range peers {
		s.pendingPeers[peer] = true
	}
}

// RuleOutPeer records that a peer does not answer or has no content of the store.
func (s *Source) RuleOutPeer(peer string) {
	if !s.pendingPeers[peer] {
		return
	}
	delete(s.pendingPeers, peer)
	if len(s.pendingPeers) == 0 {
		s.waitUntil = time.Time{}
	}
}

// Waiting reports whether the host still waits for the first content from a peer.
func (s *Source) Waiting(now time.Time) bool {
	return s.confirmedAt.IsZero() && now.Before(s.waitUntil)
}

// ReceivedFromPeer records that a peer has sent all its content, which the store
// confirmed age before now.
func (s *Source) ReceivedFromPeer(now time.Time, age time.Duration) {
	confirmed := now.Add(-age)
	if confirmed.After(s.confirmedAt) {
		s.confirmedAt = confirmed
	}
}

// FollowsStore reports whether the host has to follow the store directly.
func (s *Source) FollowsStore(now time.Time) bool {
	return !s.Waiting(now) && (!s.hasPeers || now.Sub(s.confirmedAt) > s.maxAge)
}

// peerRetryFactor multiplies the delay between calls to a failing store on a host
// whose peers call it too. The peers notice the recovery first, and with two of
// them in a failure domain of about 30 hosts the other hosts would make most of
// the calls.
const peerRetryFactor = 4

// RetryDelay returns the delay after a failed call, which is longer if peers call
// the store too.
func (s *Source) RetryDelay(d time.Duration) time.Duration {
	if s.hasPeers {
		return peerRetryFactor * d
	}
	return d
}
