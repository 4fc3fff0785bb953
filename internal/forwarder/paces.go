package forwarder

import (
	"fmt"
	"slices"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
)

// termHealth is the term of a deployment whose backend servers start, fail and recover often and
// whose health reports mislead.
const termHealth = "health"

// paces reports whether servers that have started or recovered are paced.
func (s Settings) paces() bool {
	return valueOr(s.Policy.Pace, slices.Contains(s.Terms, termHealth))
}

// logPaces logs the paces of servers that have begun or ended.
func (e *engine) logPaces() {
	for _, change := range e.machine.TakePaceChanges() {
		if change.Ended {
			e.log.Info(logger.PaceEnded, "server", change.Server, "tookMillis", change.Took.Milliseconds())
			continue
		}
		e.metrics.paceBegun(string(change.Reason))
		e.log.Info(logger.PaceBegun, "server", change.Server, "why", string(change.Reason))
	}
	e.metrics.paced.Set(float64(e.machine.Paced()))
}

// paceBegun counts the paces of servers by reason.
func (c *counters) paceBegun(reason string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_server_paces_total{reason=%q}", reason)).Inc()
}
