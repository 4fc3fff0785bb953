package watcher

import "time"

// Source decides whether a host follows the store by itself or through the
// hosts of its failure domain that do. Peers are enough while they tell of a
// store that has answered them lately.
type Source struct {
	// limit is the greatest age of what peers tell.
	limit time.Duration
	peers bool
	fresh time.Time
}

// NewSource returns a source that follows the store by itself.
func NewSource(limit time.Duration) *Source {
	return &Source{limit: limit}
}

// SetPeers says whether there are peers that follow the store for this host.
func (s *Source) SetPeers(peers bool) {
	s.peers = peers
}

// Told notes that a peer has told all it holds, which the store confirmed so long ago.
func (s *Source) Told(now time.Time, age time.Duration) {
	confirmed := now.Add(-age)
	if confirmed.After(s.fresh) {
		s.fresh = confirmed
	}
}

// Own reports whether the host has to follow the store by itself.
func (s *Source) Own(now time.Time) bool {
	return !s.peers || now.Sub(s.fresh) > s.limit
}

// Peers reports whether peers should be asked.
func (s *Source) Peers() bool {
	return s.peers
}
