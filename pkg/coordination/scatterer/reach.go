package scatterer

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
)

// UnreachableDomains returns the number of failure domains none of whose listed servers can
// be reached.
func (m *Machine) UnreachableDomains() int {
	return m.detector.UnreachableCount()
}

// Isolated reports whether none of the listed servers can be reached.
func (m *Machine) Isolated() bool {
	return m.detector.Isolated()
}

// probePaths starts the probes that are due.
func (m *Machine) probePaths(now time.Time) {
	for _, probe := range m.detector.Probes(now) {
		m.actions = append(m.actions, &ProbePath{probe})
	}
}

// reachChanged applies a change of the reachability of a failure domain. If it no longer
// responds, requests in flight there are sent through peers.
func (m *Machine) reachChanged(now time.Time, change detector.Change, changed bool) {
	if !changed {
		return
	}
	m.placer.SetReachable(change.Domain, change.Reachable)
	m.actions = append(m.actions, &ReachChanged{change})
	if change.Reachable || change.NewRefused {
		return
	}
	for _, r := range m.requests {
		if r.waiting == nil && m.mayRelay(r) {
			r.rescue = true
			m.scheduleRelay(now, r, rescueDelay)
		}
	}
}
