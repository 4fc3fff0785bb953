package placer

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/pacer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

const (
	// settleTime is how long after the first choice servers count as running already: until then
	// a host that has started sees all of them for the first time.
	settleTime = 2 * time.Second
	// maxPaceChanges bounds the changes that are kept until they are taken.
	maxPaceChanges = 256
	// phaseSteps is the number of different phases of hosts.
	phaseSteps = 1 << 20
)

// PaceReason is why a server is paced.
type PaceReason string

// Reasons of paces.
const (
	PaceStarted   PaceReason = "started"
	PaceRecovered PaceReason = "recovered"
)

// PaceChange is the begin or the end of the pace of a server.
type PaceChange struct {
	Server string
	// Reason is set at the begin.
	Reason PaceReason
	// Took is the time since the begin, set at the end.
	Took  time.Duration
	Ended bool
}

// pace begins the ramp of a server that has started, or ends one that is done.
func (p *Placer) pace(now time.Time, candidate *lister.Server, state *serverState) {
	if !p.cfg.Pace {
		return
	}
	if p.firstChoiceAt.IsZero() {
		p.firstChoiceAt = now
	}
	isNew := state.seenIncarnation != candidate.StartedAtMillis || !state.seen
	restarted := state.seen && isNew
	state.seen, state.seenIncarnation = true, candidate.StartedAtMillis
	switch {
	case restarted, isNew && (candidate.WarmupRemaining > 0 || now.Sub(p.firstChoiceAt) > settleTime):
		p.beginRamp(now, candidate.ID, state, PaceStarted)
	case state.ramp != nil && state.ramp.Done(now):
		p.recordPace(PaceChange{Server: candidate.ID, Took: state.ramp.Age(now), Ended: true})
		state.ramp = nil
		p.paced--
	}
}

func (p *Placer) beginRamp(now time.Time, id string, state *serverState, why PaceReason) {
	if state.ramp == nil {
		p.paced++
	}
	state.ramp = pacer.NewRamp(now, phase(p.cfg.Host, id))
	p.recordPace(PaceChange{Server: id, Reason: why})
}

// endPace drops the ramp of a server that is forgotten.
func (p *Placer) endPace(state *serverState) {
	if state.ramp != nil {
		state.ramp = nil
		p.paced--
	}
}

func (p *Placer) recordPace(change PaceChange) {
	if len(p.paceChanges) < maxPaceChanges {
		p.paceChanges = append(p.paceChanges, change)
	}
}

// phase returns a number from 0 to 1 that differs between hosts.
func phase(host, server string) float64 {
	return float64(xxhash.Sum64String(strconv.Quote(host)+server)%phaseSteps) / phaseSteps
}

// recovered begins the ramp of a server that answers after failures for which it was suspended.
func (p *Placer) recovered(now time.Time, id string, state *serverState) {
	if p.cfg.Pace && state.ramp == nil && p.cfg.SuspendAfter > 0 && state.consecutiveFailures >= p.cfg.SuspendAfter {
		p.beginRamp(now, id, state, PaceRecovered)
	}
}

// paceEnded applies the end of an attempt to the ramp of its server.
func (p *Placer) paceEnded(now time.Time, state *serverState, result Result) {
	if state.ramp == nil || result.Outcome == Canceled || result.Outcome == WrongServer {
		return
	}
	answer := pacer.Answer{Failed: result.Outcome != Answered, Slow: result.Latency > slowThreshold*result.TypicalLatency}
	if result.Load != nil {
		answer.Waiting, answer.Slots = result.Load.Waiting, result.Load.Slots
	}
	state.ramp.Ended(now, answer.Signal())
}

// keepPace replaces the best choice by the next one if its server is paced and not due for a
// request. A request is never refused for the sake of the pace.
func (p *Placer) keepPace(now time.Time, best, unpaced Choice, found bool) Choice {
	ramp := p.servers[best.Server.ID].ramp
	if ramp == nil || ramp.Offer(now) || !found || unpaced.Unavailable || unpaced.OverloadProne {
		return best
	}
	return unpaced
}

// Paced returns the number of servers that get a part of their usual requests.
func (p *Placer) Paced() int { return p.paced }

// TakePaceChanges returns the changes since the last call.
func (p *Placer) TakePaceChanges() []PaceChange {
	changes := p.paceChanges
	p.paceChanges = nil
	return changes
}
