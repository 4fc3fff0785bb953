package drainer

import "time"

// Availability is the last known state of one backend server.
type Availability struct {
	// incarnation identifies one run of the server's process; a later run has a higher one.
	incarnation uint64
	draining    bool
	lastStatus  time.Time
}

// NewAvailability returns the state of a server that is listed for the first time.
func NewAvailability(incarnation uint64, draining bool, now time.Time) Availability {
	return Availability{incarnation: incarnation, draining: draining, lastStatus: now}
}

// WithRegistration returns the state after a registration of the server in the
// platform's list. A registration can start the draining, unless it is of an older
// incarnation, but not end it.
func (a Availability) WithRegistration(incarnation uint64, draining bool) Availability {
	if draining && incarnation >= a.incarnation {
		a.draining = true
	}
	return a
}

// WithStatus returns the state after a status of the server itself; only a newer
// incarnation ends the draining, and a status of an older one is ignored.
func (a Availability) WithStatus(incarnation uint64, draining bool, now time.Time) Availability {
	if incarnation < a.incarnation {
		return a
	}
	if incarnation > a.incarnation {
		a.draining = false
	}
	a.incarnation = incarnation
	a.draining = a.draining || draining
	a.lastStatus = now
	return a
}

// Incarnation returns the newest incarnation that the server has reported, or
// that of its first registration if it has reported none.
func (a Availability) Incarnation() uint64 {
	return a.incarnation
}

// Usable reports whether the server may get new requests: it is not known to be
// draining, and its last status is less than maxStatusAge old.
func (a Availability) Usable(now time.Time, maxStatusAge time.Duration) bool {
	return !a.draining && now.Sub(a.lastStatus) < maxStatusAge
}
