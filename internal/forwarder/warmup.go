package forwarder

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
)

// returnTime is how long the servers of a failure domain count as cold at least after its evacuation,
// as a copy of the store may lag by seconds in telling that they are.
const returnTime = 3 * time.Second

// applyWarmupRates puts the warm-up rates of a configuration in force.
func (e *engine) applyWarmupRates(now time.Time, perSecond map[string]float64) {
	if len(perSecond) == 0 && len(e.warmupRates) == 0 {
		return
	}
	e.warmupRates = perSecond
	for _, server := range e.servers.Cold(now) {
		e.updateWarmup(now, server.ID, "configuration")
	}
}

// updateWarmup applies what is known of the warm-up of a server; cause is why that may have changed.
func (e *engine) updateWarmup(now time.Time, id, cause string) {
	server, left := e.servers.Warming(now, id)
	if server == nil {
		return
	}
	rate := e.warmupRates[server.Service]
	if e.machine.Warmup(now, server, rate, left) {
		e.log.Info(logger.WarmupBegun, "server", id, "born", server.StartedAtMillis, "domain", server.Domain, "service", server.Service,
			"perSecond", rate, "leftMillis", left.Milliseconds(), "cause", cause)
	}
}

// expireWarmups ends the warm-ups that are over.
func (e *engine) expireWarmups(now time.Time) {
	e.machine.ExpireWarmups(now)
	e.metrics.cold.Set(float64(e.machine.WarmingServers()))
}
