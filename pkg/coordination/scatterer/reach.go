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

func (m *Machine) reachChanged(change detector.Change, changed bool) {
	if changed {
		m.actions = append(m.actions, &ReachChanged{change})
	}
}
