package rationer

import "time"

const (
	// lostTime is how long a host must have left calls unanswered, at least lostCalls of them,
	// until it is tried no more than each retryTime before another one answers in its place: a
	// busy host is late at times, and two that keep the same bucket grant more than its part.
	lostTime  = 250 * time.Millisecond
	lostCalls = 2
	retryTime = time.Second
	// refusedTime is the same for a host without a process, which tells so at once.
	refusedTime = 200 * time.Millisecond
	// avoidTime is how long a host asks others than one that has not answered it; those pass
	// the ask on, and tell which host has answered.
	avoidTime = 10 * time.Second
)

// silence is a series of calls without an answer.
type silence struct {
	since, last time.Time
	calls       int
	refused     bool
}

// Contacts is what a host knows of those that it has called.
type Contacts struct {
	silent map[string]silence
}

// NewContacts returns contacts of which all are expected to answer.
func NewContacts() *Contacts {
	return &Contacts{silent: make(map[string]silence)}
}

// Answered records that a host has answered a call.
func (c *Contacts) Answered(host string) {
	delete(c.silent, host)
}

// Silent records a call without an answer; refused means that no process accepts connections.
func (c *Contacts) Silent(now time.Time, host string, refused bool) {
	s, ok := c.silent[host]
	if !ok {
		s.since = now
	}
	s.last, s.refused = now, refused
	s.calls++
	c.silent[host] = s
}

// Avoided reports whether this host asks others first than a host.
func (c *Contacts) Avoided(now time.Time, host string) bool {
	s, ok := c.silent[host]
	return ok && now.Sub(s.last) < avoidTime
}

// Lost reports whether another host answers in place of a host without trying that first.
func (c *Contacts) Lost(now time.Time, host string) bool {
	s, ok := c.silent[host]
	switch {
	case !ok:
		return false
	case s.refused:
		return now.Sub(s.last) < refusedTime
	default:
		return s.calls >= lostCalls && s.last.Sub(s.since) >= lostTime && now.Sub(s.last) < retryTime
	}
}
