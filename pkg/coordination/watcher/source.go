package watcher

import "time"

const (
	// renewalSlack is how much later than its longest watch a peer's content is renewed at
	// most, unless the peer has stalled or has lost the store.
	renewalSlack = 50 * time.Millisecond
	// overdueSlack is how long after that the content counts as overdue, and takeoverSlack how
	// long after that successors follow the store at the earliest.
	overdueSlack  = 50 * time.Millisecond
	takeoverSlack = 50 * time.Millisecond
	// turnReserve is what a host takes that turns to the store, to learn that it has to and for
	// the answers.
	turnReserve = 300 * time.Millisecond
	// successionTime is what successors take at least until the other hosts have their content.
	successionTime = 100 * time.Millisecond
	// takeoverTime is how long before a host turns to the store its peers' successors do, if
	// the bound allows it, and turnsPerTakeover how often the host compares in that time.
	takeoverTime     = 1500 * time.Millisecond
	turnsPerTakeover = 4
)

// Role is how a host gets the objects of the store.
type Role int

const (
	// Direct hosts follow the store, for themselves or also for others.
	Direct Role = iota
	// Dependent hosts get the objects from peers that follow the store.
	Dependent
	// Successor hosts do too, and follow the store as the first ones if these peers stall.
	Successor
)

// SourceConfig holds the times of a source.
type SourceConfig struct {
	// Bound is the time within which a change has to be in force after the store has
	// acknowledged it.
	Bound time.Duration
	// WatchWait is how long a watch of a peer stays unanswered at most.
	WatchWait time.Duration
	// CompareInterval is the time between two comparisons with peers.
	CompareInterval time.Duration
}

// AllowsPeers reports whether the bound can be kept if hosts get the objects from peers, which may
// all stall: whoever depends on them notices only once their longest watch is over.
func (c SourceConfig) AllowsPeers() bool {
	return c.maxAge() >= c.overdueAge()+takeoverSlack+successionTime
}

// maxAge returns the age of content, counted from its last confirmation by the store, beyond which
// a host follows the store itself.
func (c SourceConfig) maxAge() time.Duration {
	return c.Bound - turnReserve
}

// overdueAge returns the age from which on content is overdue. Where the bound allows it, that is
// beyond the age that comparisons at the usual interval see.
func (c SourceConfig) overdueAge() time.Duration {
	return max(c.WatchWait+renewalSlack+overdueSlack, c.maxAge()-takeoverTime)
}

// takeoverAge returns the age beyond which successors follow the store.
func (c SourceConfig) takeoverAge() time.Duration {
	return c.overdueAge() + takeoverSlack
}

// aligns reports whether a comparison has to fall on the time at which peers have renewed their
// content, so that it isn't overdue before it is seen.
func (c SourceConfig) aligns() bool {
	return c.overdueAge() < c.WatchWait+c.CompareInterval+2*renewalSlack
}

// Source decides whether a host follows the store directly or through peers, the
// hosts of its failure domain that follow it. Peers suffice as long as the store
// has answered one of them recently. If they stall, a few successors follow the store, and the
// other hosts get the objects from these, so that not all hosts call the store at once.
type Source struct {
	cfg  SourceConfig
	role Role
	// confirmedAt is the latest time at which the store confirmed the content of a
	// peer, or zero.
	confirmedAt time.Time
	// waitUntil is the time until which a host that has received nothing yet waits
	// for peers instead of calling the store.
	waitUntil time.Time
	// pendingPeers holds the peers that may still send content.
	pendingPeers map[string]bool
}

// NewSource returns a source that follows the store directly until SetRole or
// WaitUntil is called.
func NewSource(cfg SourceConfig) *Source {
	return &Source{cfg: cfg}
}

// SetRole sets the role of this host.
func (s *Source) SetRole(role Role) {
	s.role = role
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
	return !s.Waiting(now) && (s.role == Direct || now.Sub(s.confirmedAt) > s.limit())
}

// limit returns the age of content beyond which this host follows the store.
func (s *Source) limit() time.Duration {
	if s.role == Successor {
		return s.cfg.takeoverAge()
	}
	return s.cfg.maxAge()
}

// UntilFollowing returns the time until FollowsStore reports true if no peer sends newer content.
func (s *Source) UntilFollowing(now time.Time) time.Duration {
	return max(s.confirmedAt.Add(s.limit()).Sub(now)+1, 0)
}

// Overdue reports whether the peers should have had an answer of the store since the content was
// confirmed, so that they have stalled or have lost the store.
func (s *Source) Overdue(now time.Time) bool {
	return s.role != Direct && !s.confirmedAt.IsZero() && now.Sub(s.confirmedAt) > s.cfg.overdueAge()
}

// CompareDelay returns the time until the next comparison with a peer. Where the bound is short, one
// falls on the time at which the peers have renewed their content, and more follow until it is seen.
func (s *Source) CompareDelay(now time.Time) time.Duration {
	if s.role == Direct || s.confirmedAt.IsZero() || (!s.cfg.aligns() && !s.Overdue(now)) {
		return s.cfg.CompareInterval
	}
	overdueInterval := min(max((s.cfg.maxAge()-s.cfg.takeoverAge())/turnsPerTakeover, renewalSlack), s.cfg.CompareInterval)
	renewal := s.confirmedAt.Add(s.cfg.WatchWait + renewalSlack).Sub(now)
	return min(max(renewal, overdueInterval), s.cfg.CompareInterval)
}

// peerRetryFactor multiplies the delay between calls to a failing store on a host
// whose peers call it too. The peers notice the recovery first, and with two of
// them in a failure domain of about 30 hosts the other hosts would make most of
// the calls.
const peerRetryFactor = 4

// RetryDelay returns the delay after a failed call, which is longer if peers call
// the store too.
func (s *Source) RetryDelay(d time.Duration) time.Duration {
	if s.role != Direct {
		return peerRetryFactor * d
	}
	return d
}
