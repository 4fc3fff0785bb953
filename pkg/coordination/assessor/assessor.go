package assessor

import "time"

// Config holds the settings of an assessor.
type Config struct {
	// Window is how long the outcome of a request counts.
	Window time.Duration
	// A host counts as failing if at least MinFailed of the requests in the window were
	// not served, and these are at least the fraction FailedShare of all of them.
	MinFailed   int
	FailedShare float64
	// NotReadyTime is how long a host stays not ready. The time ends early when the store
	// or another failure domain is reachable again, and is extended while no other
	// failure domain is reachable.
	NotReadyTime time.Duration
	// PeerReportMaxAge is how long a peer's report of not being ready counts.
	PeerReportMaxAge time.Duration
	// StoreCheckInterval is the least time between two checks of a store that seems
	// reachable.
	StoreCheckInterval time.Duration
	// ProbeInterval is the least time between two probes of hosts of other failure
	// domains, ProbeMaxAge how long a probe that reached none of them counts.
	ProbeInterval time.Duration
	ProbeMaxAge   time.Duration
}

// DefaultConfig returns settings that take a partitioned host out of the balancer's
// rotation within about 3 s, of which the balancer needs 2 s. Peers are asked twice a
// second, and the report of a peer outlasts one unanswered request.
func DefaultConfig() Config {
	return Config{
		Window: 700 * time.Millisecond, MinFailed: 3, FailedShare: 0.5, NotReadyTime: 4 * time.Second,
		PeerReportMaxAge: 1200 * time.Millisecond, StoreCheckInterval: 600 * time.Millisecond,
		ProbeInterval: 200 * time.Millisecond, ProbeMaxAge: 700 * time.Millisecond,
	}
}

type outcome struct {
	at     time.Time
	served bool
}

// Assessor derives the readiness of a host from recent requests, the store and other hosts.
type Assessor struct {
	cfg      Config
	outcomes []outcome
	// storeLostSince is when the store became unreachable, zero if it is reachable.
	storeLostSince time.Time
	// notReadyUntil is the time until which the host is not ready.
	notReadyUntil time.Time
	// peerReportedAt is when a peer last reported not being ready.
	peerReportedAt time.Time
	// storeCheckedAt is when a check of the store was last due.
	storeCheckedAt time.Time
	// probedAt is when a probe of hosts of other failure domains was last due,
	// isolatedAt when such a probe last reached none of them.
	probedAt   time.Time
	isolatedAt time.Time
	// noServers is set while no backend server can be reached, peersServe while peers are
	// known to serve requests for this host.
	noServers  bool
	peersServe bool
}

// New returns an assessor of a host that is ready.
func New(cfg Config) *Assessor {
	return &Assessor{cfg: cfg}
}

// RequestEnded records whether a request was served.
func (a *Assessor) RequestEnded(now time.Time, served bool) {
	a.outcomes = append(a.outcomes, outcome{at: now, served: served})
	a.dropExpired(now)
}

// PeerNotReady records that a host of the same failure domain is not ready. A host with few
// requests of its own needs this, since it can't tell a partition from chance failures.
func (a *Assessor) PeerNotReady(now time.Time) {
	a.peerReportedAt = now
}

// StoreReachable records whether the store is reachable; once it is reachable again the
// host is ready immediately.
func (a *Assessor) StoreReachable(now time.Time, reachable bool) {
	switch {
	case reachable && !a.storeLostSince.IsZero():
		a.storeLostSince = time.Time{}
		a.notReadyUntil = time.Time{}
		a.outcomes = a.outcomes[:0]
	case !reachable && a.storeLostSince.IsZero():
		a.storeLostSince = now
	}
}

// SetIsolated records whether no backend server can be reached.
func (a *Assessor) SetIsolated(isolated bool) {
	a.noServers = isolated
	a.peersServe = a.peersServe && isolated
}

// RelayEnded records a request that was sent through a peer: whether the peer served it, or no
// peer can.
func (a *Assessor) RelayEnded(served, unserved bool) {
	a.peersServe = (a.peersServe || served) && !unserved
}

// Diverts reports whether the host asks the balancer for no callers since other hosts reach
// the backend servers and this one doesn't.
func (a *Assessor) Diverts() bool {
	return a.noServers && a.peersServe
}

// ShouldProbe reports whether hosts of other failure domains should be probed now, because
// this host may be partitioned or is not ready, or because some other failure domain
// is unreachable.
func (a *Assessor) ShouldProbe(now time.Time, unreachable bool) bool {
	needed := unreachable || a.maybePartitioned(now) || now.Before(a.notReadyUntil)
	if !needed || now.Sub(a.probedAt) < a.cfg.ProbeInterval {
		return false
	}
	a.probedAt = now
	return true
}

// PeersProbed records whether any host of another failure domain was reached. If one is
// reached after a probe that reached none, the host is ready immediately, as it is when
// the store is reachable again.
func (a *Assessor) PeersProbed(now time.Time, reached bool) {
	switch {
	case !reached:
		a.isolatedAt = now
	case a.isIsolated(now):
		a.isolatedAt = time.Time{}
		a.notReadyUntil = time.Time{}
		a.outcomes = a.outcomes[:0]
	}
}

// isIsolated reports whether a probe within ProbeMaxAge reached no host of another
// failure domain.
func (a *Assessor) isIsolated(now time.Time) bool {
	return !a.isolatedAt.IsZero() && now.Sub(a.isolatedAt) < a.cfg.ProbeMaxAge
}

func (a *Assessor) dropExpired(now time.Time) {
	expired := 0
	for expired < len(a.outcomes) && now.Sub(a.outcomes[expired].at) > a.cfg.Window {
		expired++
	}
	a.outcomes = append(a.outcomes[:0], a.outcomes[expired:]...)
}

// Ready reports whether the host is ready to take callers.
func (a *Assessor) Ready(now time.Time) bool {
	if now.Before(a.notReadyUntil) {
		if a.isIsolated(now) {
			// No other failure domain is reachable yet, so the host stays not ready for
			// at least another ProbeMaxAge.
			a.notReadyUntil = later(a.notReadyUntil, now.Add(a.cfg.ProbeMaxAge))
		}
		return false
	}
	if a.Diverts() {
		return false
	}
	if a.storeLostSince.IsZero() {
		// A host that reaches the store is not partitioned: unless peers reach the backend
		// servers, other hosts would serve callers no better.
		return true
	}
	if !a.maybePartitioned(now) {
		return true
	}
	a.notReadyUntil = now.Add(a.cfg.NotReadyTime)
	a.outcomes = a.outcomes[:0]
	return false
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ShouldCheckStore reports whether a store that seems reachable should be checked now,
// because too many requests fail or a peer is not ready.
func (a *Assessor) ShouldCheckStore(now time.Time) bool {
	if !a.storeLostSince.IsZero() || now.Sub(a.storeCheckedAt) < a.cfg.StoreCheckInterval || !a.maybePartitioned(now) {
		return false
	}
	a.storeCheckedAt = now
	return true
}

// maybePartitioned reports whether the host may be partitioned: a peer recently
// reported not being ready, or too many requests fail.
func (a *Assessor) maybePartitioned(now time.Time) bool {
	return now.Sub(a.peerReportedAt) < a.cfg.PeerReportMaxAge || a.failing(now)
}

// failing reports whether too many recent requests were not served.
func (a *Assessor) failing(now time.Time) bool {
	a.dropExpired(now)
	failed := 0
	for _, o := range a.outcomes {
		if !o.served {
			failed++
		}
	}
	return failed >= a.cfg.MinFailed && float64(failed) >= a.cfg.FailedShare*float64(len(a.outcomes))
}
