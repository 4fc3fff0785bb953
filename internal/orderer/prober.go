package orderer

import (
	"context"
	"errors"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

// probeLoop probes servers whose last status is too old, such as idle ones, until
// the engine is closed.
func (e *Engine) probeLoop() {
	ticker := time.NewTicker(probeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			for _, server := range e.dueProbes() {
				e.workers.Go(func() { e.probe(server) })
			}
		case <-e.ctx.Done():
			return
		}
	}
}

func (e *Engine) dueProbes() []int {
	e.mu.Lock()
	defer e.mu.Unlock()
	var due []int
	e.drainer.Probes(time.Now(), func(server int) { due = append(due, server) })
	return due
}

func (e *Engine) probe(server int) {
	e.mu.Lock()
	target := e.servers.At(server)
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(e.ctx, probeTimeout)
	defer cancel()
	sentAt := time.Now()
	status, err := e.cfg.Backend.Probe(ctx, target)
	if err == nil {
		e.applyStatus(server, status, sentAt)
	}
}

// applyStatus records the status that a server reported at the given time. A
// status with another server ID is ignored.
func (e *Engine) applyStatus(server int, status messenger.ServerStatus, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if status.ID == e.servers.At(server).ID {
		e.drainer.ObserveStatus(server, status, at)
	}
}

func (e *Engine) applyRejection(server int, err error) {
	var rejection *messenger.RejectionError
	if errors.As(err, &rejection) {
		e.applyStatus(server, rejection.Rejection.Server, time.Now())
	}
}
