package forwarder

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
)

// pathProbed reports the result of a probe of a failure domain.
type pathProbed struct {
	domain string
	result detector.ProbeResult
}

func (pathProbed) engineEvent() {}

// stepReach handles the events that concern the reach of this host.
func (e *engine) stepReach(now time.Time, item event) {
	switch item := item.(type) {
	case relayEnd:
		e.relayEnded(now, item)
	case pathProbed:
		e.metrics.pathProbed(item.result)
		e.act(e.machine.Step(now, &scatterer.ProbeEnded{Domain: item.domain, Result: item.result}))
	}
}

// probePath opens and closes connections to the servers of a probe.
func (e *engine) probePath(a *scatterer.ProbePath) {
	addresses := make([]string, len(a.Servers))
	for i, server := range a.Servers {
		addresses[i] = e.client.reachedAt(server.Address)
	}
	e.exchanges.Go(func() {
		e.push(pathProbed{domain: a.Domain, result: probeServers(e.ctx, addresses, a.Timeout)})
	})
}

// probeServers opens and closes connections to some addresses. It returns as soon as one
// accepts.
func probeServers(ctx context.Context, addresses []string, timeout time.Duration) detector.ProbeResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var connected, silent atomic.Bool
	var dials sync.WaitGroup
	for _, address := range addresses {
		dials.Go(func() {
			err := dialProbe(ctx, address, timeout)
			switch {
			case err == nil:
				connected.Store(true)
				cancel()
			case !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, syscall.ECONNRESET):
				silent.Store(true)
			}
		})
	}
	dials.Wait()
	switch {
	case connected.Load():
		return detector.Connected
	case silent.Load():
		return detector.Silent
	}
	return detector.Refused
}

// reachChanged records that a failure domain can no longer be reached, or can be again.
func (e *engine) reachChanged(a *scatterer.ReachChanged) {
	e.metrics.unreachable.Set(float64(e.machine.UnreachableDomains()))
	e.isolated.Store(e.machine.Isolated())
	if a.Reachable {
		e.log.Warn(logger.ServersRegained, "domain", a.Domain, "lostMillis", a.For.Milliseconds(), "isolated", e.machine.Isolated())
		return
	}
	e.log.Warn(logger.ServersLost, "domain", a.Domain, "respondedMillisAgo", a.For.Milliseconds(), "newRefused", a.NewRefused,
		"isolated", e.machine.Isolated(), "inFlight", e.machine.Len())
	for _, server := range e.servers.InDomain(a.Domain) {
		e.client.dials.abort(e.client.reachedAt(server.Address))
	}
}
