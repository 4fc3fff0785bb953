package placer

import (
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/pacer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

const (
	// referenceSlots is the number of slots of the server to which queueCost refers;
	// with more slots a queued request costs proportionally less.
	referenceSlots = 2
	// slowdownSmoothing is the weight of a new sample in the moving average of the
	// slowdown: the latency of a server relative to the typical latency of the route.
	slowdownSmoothing = 0.3
	// slowdownMax caps the slowdown of a single latency, and with it the average.
	slowdownMax = 40
	// failureSmoothing is the weight of a new outcome in the moving average of the failure rate.
	failureSmoothing = 0.25
	// slowThreshold is the slowdown from which an answer counts as slow. It is above
	// the normal spread of latencies and below any slowdown that makes requests miss
	// their latency objective.
	slowThreshold = 2
	// suspensionMin and suspensionMax bound the time between probes of a suspended server.
	suspensionMin = 250 * time.Millisecond
	suspensionMax = 2 * time.Second
	// pauseMax caps the pause that a server requests with Retry-After. It is several
	// times longer than any overload lasts; a longer pause is treated as a fault of the server.
	pauseMax = 10 * time.Minute
	// unreachableAttempts is the number of consecutive unanswered attempts to a
	// failure domain from which it can count as unreachable.
	unreachableAttempts = 4
	// domainProbeInterval is the time between probes of an unreachable failure domain.
	domainProbeInterval = 300 * time.Millisecond
)

const (
	// crossDomainPenalty is the fraction added to the cost of a server in another
	// failure domain, since traffic between failure domains costs money.
	crossDomainPenalty = 1.0
	// queueCost is the cost that each request ahead adds at a server with
	// referenceSlots slots, in multiples of the typical latency.
	queueCost = 2
	// observationMaxAge is how long latencies and failures of a server count. It
	// covers several stalls of a server; older observations no longer predict its
	// latency.
	observationMaxAge = 1500 * time.Millisecond
	// loadReportMaxAge is how long a load report counts. The queue that it describes
	// has drained by then.
	loadReportMaxAge = 60 * time.Millisecond
	// failurePenalty is the cost added for a failure rate of 1, in multiples of the
	// typical latency.
	failurePenalty = 8
	// suspectAfter is how long answers must stay slow before a server is a suspect;
	// a stall and the queue that it leaves behind are over sooner.
	suspectAfter = 500 * time.Millisecond
	// suspendAfter is the number of consecutive failures that suspend a server.
	suspendAfter = 3
	// unreachableAfter is how long a failure domain must be without any answer to
	// count as unreachable. A single server stalls for less, and the other servers
	// answer during its stall.
	unreachableAfter = 250 * time.Millisecond
	// overloadMaxAge is how long after its last pause a server counts as prone to
	// overload, and gets no requests beyond its free slots while another server is
	// available. It is several times as long as a typical pause.
	overloadMaxAge = 10 * time.Second
)

// Config holds the settings of a placer; 0 disables a mechanism.
type Config struct {
	// Domain is the failure domain of this host.
	Domain string
	// CrossDomainPenalty is the fraction added to the cost of a server in another failure
	// domain.
	CrossDomainPenalty float64
	// QueueCost is the cost that each request ahead adds at a server with two
	// slots, in multiples of the typical latency.
	QueueCost float64
	// LoadReportMaxAge is how long a load report counts.
	LoadReportMaxAge time.Duration
	// ObservationMaxAge is how long observed latencies and failures count.
	ObservationMaxAge time.Duration
	// FailurePenalty is the cost added for a failure rate of 1, in multiples of the
	// typical latency.
	FailurePenalty float64
	// OverduePenalty adds the age of the oldest request in flight to the cost of a server
	// once it exceeds twice the expected latency.
	OverduePenalty bool
	// SuspectAfter is how long answers must stay slow before a server is a suspect.
	SuspectAfter time.Duration
	// SuspendAfter is the number of consecutive failures that suspend a server.
	SuspendAfter int
	// UnreachableAfter is how long a failure domain must be without any answer to count
	// as unreachable.
	UnreachableAfter time.Duration
	// OverloadMaxAge is how long after its last pause a server gets no requests beyond
	// its free slots while another server is available.
	OverloadMaxAge time.Duration
	// Pace raises the share of requests of a server that has started or recovered by how it
	// answers; Host is the name of this host.
	Pace bool
	Host string
}

// DefaultConfig returns the settings of a host in a failure domain.
func DefaultConfig(domain string) Config {
	return Config{
		Domain: domain, CrossDomainPenalty: crossDomainPenalty, QueueCost: queueCost, LoadReportMaxAge: loadReportMaxAge, ObservationMaxAge: observationMaxAge,
		FailurePenalty: failurePenalty, OverduePenalty: true, SuspectAfter: suspectAfter, SuspendAfter: suspendAfter,
		UnreachableAfter: unreachableAfter, OverloadMaxAge: overloadMaxAge,
	}
}

// Outcome is the way in which an attempt ended.
type Outcome int

const (
	// Answered means that the server sent a complete answer.
	Answered Outcome = iota
	// Rejected means that the server was overloaded and did not run the request.
	Rejected
	// Failed means an error of the server or of the connection.
	Failed
	// ConnectionRefused means that no process listens at the server's address.
	ConnectionRefused
	// Unconnected means that no connection to the server could be opened in time.
	Unconnected
	// TimedOut means that the attempt timed out, or was canceled when it was overdue.
	TimedOut
	// WrongServer means that another server answered at the address.
	WrongServer
	// Canceled means that this host canceled the attempt so early that its duration is
	// not counted as an observation of the server.
	Canceled
)

// Load is the load that a server reports with a response.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// RelativeServiceTime is the current service time of the server relative to its
	// normal one, 0 if not reported.
	RelativeServiceTime float64
}

// Result describes the end of an attempt.
type Result struct {
	Outcome Outcome
	// Latency is the time since the attempt was sent, TypicalLatency the typical latency
	// of its route.
	Latency        time.Duration
	TypicalLatency time.Duration
	// Load is nil if the server reported none.
	Load *Load
}

// serverState holds the observations of one backend server.
type serverState struct {
	domain string
	// inFlight holds the send times of the outstanding attempts, oldest first.
	inFlight []time.Time
	// slowdown is the moving average of latencies relative to the typical latency.
	slowdown float64
	// observedAt is the time of the last update of slowdown.
	observedAt time.Time
	// slowSince is the time of the first of the latest consecutive slow answers,
	// zero if the last answer was not slow.
	slowSince time.Time
	// failureRate is a moving average in the range 0 to 1, raised by raiseFailureRate, last
	// at failedAt, and lowered by each answer.
	failureRate         float64
	failedAt            time.Time
	consecutiveFailures int
	// unconnected is set while the last attempts failed because no connection could be opened.
	unconnected bool
	// Until suspendedUntil the server gets requests only if no other server is
	// available. suspension is the length of the last suspension after failed requests;
	// it doubles with each further failure, up to suspensionMax.
	suspendedUntil time.Time
	suspension     time.Duration
	// pausedUntil is the end of the pause that the server has requested.
	pausedUntil time.Time
	// startedAtMillis identifies the incarnation (the run of the process) to which pausedUntil applies: the latest
	// one that got a request or requested a pause.
	startedAtMillis int64
	// wrongServer is set if another server answered at the address, until the server is
	// registered again.
	wrongServer bool
	load        Load
	reportedAt  time.Time
	// loadFromRejection is set if the load was reported with a rejected request.
	loadFromRejection bool
	// seenIncarnation is the last listed incarnation, if seen; ramp is set while the server is
	// paced.
	seen            bool
	seenIncarnation int64
	ramp            *pacer.Ramp
}

// domainState holds the observations of one failure domain.
type domainState struct {
	// unanswered is the number of attempts since the last answer, the first of which
	// was sent at unansweredSince.
	unanswered      int
	unansweredSince time.Time
	// probedAt is when the last probe was sent to the unreachable domain.
	probedAt time.Time
	// cut is set while it is known that none of the domain's servers can be reached. They get
	// no probes then.
	cut bool
}

// Placer chooses backend servers from the observations of all of them.
type Placer struct {
	cfg     Config
	servers map[string]*serverState
	domains map[string]*domainState
	// firstChoiceAt is when a server was first chosen, paced the number of servers with a ramp.
	firstChoiceAt time.Time
	paced         int
	paceChanges   []PaceChange
}

// New returns a placer without observations.
func New(cfg Config) *Placer {
	return &Placer{cfg: cfg, servers: make(map[string]*serverState), domains: make(map[string]*domainState)}
}

// Reconfigure replaces the settings and keeps the observations.
func (p *Placer) Reconfigure(cfg Config) {
	p.cfg = cfg
}

func (p *Placer) server(s *lister.Server) *serverState {
	state := p.servers[s.ID]
	if state == nil {
		state = &serverState{domain: s.Domain, slowdown: 1}
		p.servers[s.ID] = state
	}
	return state
}

func (p *Placer) domain(name string) *domainState {
	d := p.domains[name]
	if d == nil {
		d = &domainState{}
		p.domains[name] = d
	}
	return d
}

// Forget drops the observations of a server that has no request in flight and is
// not paused.
func (p *Placer) Forget(now time.Time, id string) {
	state := p.servers[id]
	if state != nil && len(state.inFlight) == 0 && !now.Before(state.pausedUntil) {
		p.endPace(state)
		delete(p.servers, id)
	}
}

// RegistrationChanged clears the suspension and the wrong-server mark of a server whose
// registration has changed, since it may have restarted at another address.
func (p *Placer) RegistrationChanged(id string) {
	state := p.servers[id]
	if state == nil {
		return
	}
	state.wrongServer = false
	state.consecutiveFailures = 0
	state.suspension = 0
}

// Choice is a server with its estimated latency.
type Choice struct {
	Server *lister.Server
	// Slowdown is the latency of the server relative to the typical latency, at least 1.
	Slowdown float64
	// QueuePerSlot is the number of requests expected to run before a new one, per slot.
	QueuePerSlot float64
	// cost orders choices: the expected latency plus penalties. Each penalty exceeds
	// the latency that its cause adds on average, so that load is spread.
	cost time.Duration
	// Unavailable means that the server is suspended or its failure domain unreachable,
	// and that no probe is due.
	Unavailable bool
	// NoPath means that it is unavailable because this host can't open connections to it,
	// so that another host may reach it. Cut means that this holds for its failure domain.
	NoPath bool
	Cut    bool
	// Suspect means that the server was slow for at least SuspectAfter by its last
	// observations, which have expired: only a probe can show whether it has recovered.
	Suspect bool
	// OverloadProne means that the server has no free slot and requested a pause within
	// the last OverloadMaxAge, so that it may reject the request instead of queueing it.
	OverloadProne bool
}

// Choose returns the best candidate, or false if there is none; typical is the typical
// latency of the route. It skips candidates that are excluded or paused, or at whose
// address another server has answered.
func (p *Placer) Choose(now time.Time, candidates []*lister.Server, excluded []string, typical time.Duration) (Choice, bool) {
	return p.choose(now, candidates, excluded, typical, true)
}

// ChooseNonSuspect is like Choose but skips suspects.
func (p *Placer) ChooseNonSuspect(now time.Time, candidates []*lister.Server, excluded []string, typical time.Duration) (Choice, bool) {
	return p.choose(now, candidates, excluded, typical, false)
}

func (p *Placer) choose(now time.Time, candidates []*lister.Server, excluded []string, typical time.Duration, suspects bool) (Choice, bool) {
	var best, unpaced Choice
	found, foundUnpaced := false, false
	for _, candidate := range candidates {
		state := p.server(candidate)
		p.pace(now, candidate, state)
		if state.wrongServer || state.paused(now, candidate) || slices.Contains(excluded, candidate.ID) {
			continue
		}
		choice := Choice{
			Server:       candidate,
			Slowdown:     max(p.slowdown(now, state), 1),
			QueuePerSlot: p.expectedQueue(now, state) / slots(candidate),
			cost:         p.cost(now, candidate, state, typical),
			Suspect:      p.suspect(now, state),
		}
		p.setAvailability(now, state, &choice)
		choice.OverloadProne = choice.QueuePerSlot >= 1 && !state.pausedUntil.IsZero() && now.Sub(state.pausedUntil) < p.cfg.OverloadMaxAge
		if choice.Suspect && !suspects {
			continue
		}
		if !found || choice.before(best) {
			best, found = choice, true
		}
		if state.ramp == nil && (!foundUnpaced || choice.before(unpaced)) {
			unpaced, foundUnpaced = choice, true
		}
	}
	if found && p.paced > 0 {
		best = p.keepPace(now, best, unpaced, foundUnpaced)
	}
	return best, found
}

// setAvailability sets whether the server of a choice is available, and why it isn't.
func (p *Placer) setAvailability(now time.Time, state *serverState, c *Choice) {
	suspended, avoided := p.suspended(now, state), p.avoidDomain(now, state)
	c.Cut = p.domain(state.domain).cut
	c.Unavailable = suspended || avoided || c.Cut
	c.NoPath = c.Cut || avoided || (suspended && state.unconnected)
}

// HasNoPath reports whether this host can't open connections to some of the servers.
func (p *Placer) HasNoPath(now time.Time, servers []*lister.Server) bool {
	return slices.ContainsFunc(servers, func(server *lister.Server) bool {
		state := p.server(server)
		return state.unconnected || p.domain(state.domain).cut || p.avoidDomain(now, state)
	})
}

// SetReachable records whether the servers of a failure domain can be reached. Once they
// can be again, failures to connect to them no longer count.
func (p *Placer) SetReachable(domain string, reachable bool) {
	d := p.domain(domain)
	d.cut = !reachable
	if !reachable {
		return
	}
	d.unanswered = 0
	for _, state := range p.servers {
		if state.domain == domain && state.unconnected {
			state.unconnected, state.consecutiveFailures, state.suspension, state.failureRate = false, 0, 0, 0
		}
	}
}

// Cut reports whether it is known that none of the servers of a failure domain can be
// reached.
func (p *Placer) Cut(domain string) bool {
	d := p.domains[domain]
	return d != nil && d.cut
}

// before reports whether c is the better choice: available servers come first, then
// those not prone to overload, then those of lower cost.
func (c Choice) before(other Choice) bool {
	if c.Unavailable != other.Unavailable {
		return !c.Unavailable
	}
	if c.OverloadProne != other.OverloadProne {
		return !c.OverloadProne
	}
	return c.cost < other.cost
}

// Pause records that a server has requested a pause of length d.
func (p *Placer) Pause(now time.Time, s *lister.Server, d time.Duration) {
	state := p.server(s)
	state.adoptIncarnation(s)
	until := now.Add(min(d, pauseMax))
	if until.After(state.pausedUntil) {
		state.pausedUntil = until
	}
}

// adoptIncarnation drops the pause that an earlier incarnation of the server requested.
func (s *serverState) adoptIncarnation(candidate *lister.Server) {
	if s.startedAtMillis != candidate.StartedAtMillis {
		s.startedAtMillis, s.pausedUntil = candidate.StartedAtMillis, time.Time{}
	}
}

// PauseLeft returns the time until the first of the paused candidates may get requests
// again, and false if no candidate is paused.
func (p *Placer) PauseLeft(now time.Time, candidates []*lister.Server) (least time.Duration, ok bool) {
	for _, candidate := range candidates {
		state := p.server(candidate)
		if !state.paused(now, candidate) {
			continue
		}
		pause := state.pausedUntil.Sub(now)
		if !ok || pause < least {
			least, ok = pause, true
		}
	}
	return least, ok
}

// paused reports whether the listed incarnation of the server is paused.
func (s *serverState) paused(now time.Time, candidate *lister.Server) bool {
	return now.Before(s.pausedUntil) && s.startedAtMillis == candidate.StartedAtMillis
}

func slots(s *lister.Server) float64 {
	return float64(max(s.Slots, 1))
}

// slowdown returns the average slowdown of a server, or 1 if its last observation
// has expired.
func (p *Placer) slowdown(now time.Time, state *serverState) float64 {
	if now.Sub(state.observedAt) > p.cfg.ObservationMaxAge {
		return 1
	}
	return state.slowdown
}

// cost returns the expected latency plus penalties, by which servers are compared.
func (p *Placer) cost(now time.Time, s *lister.Server, state *serverState, typical time.Duration) time.Duration {
	slowdown := p.slowdown(now, state)
	cost := float64(typical) * slowdown * (1 + p.cfg.QueueCost*referenceSlots*p.costQueue(now, state)/slots(s))
	if now.Sub(state.failedAt) <= p.cfg.ObservationMaxAge {
		cost += p.cfg.FailurePenalty * state.failureRate * float64(typical)
	}
	if len(state.inFlight) > 0 && p.cfg.OverduePenalty {
		// An overdue request reveals a stall before any answer could.
		age := float64(now.Sub(state.inFlight[0]))
		if age > 2*float64(typical)*slowdown {
			cost += age
		}
	}
	if state.domain != p.cfg.Domain {
		cost *= 1 + p.cfg.CrossDomainPenalty
	}
	return time.Duration(cost)
}

// expectedQueue returns the number of requests ahead of a new one, from which its
// latency is estimated: the larger of the requests that this host has in flight to the
// server and the load that the server reported, which counts less as the report ages.
func (p *Placer) expectedQueue(now time.Time, state *serverState) float64 {
	own := float64(len(state.inFlight))
	age := now.Sub(state.reportedAt)
	if state.reportedAt.IsZero() || age >= p.cfg.LoadReportMaxAge {
		return own
	}
	fresh := 1 - float64(age)/float64(p.cfg.LoadReportMaxAge)
	return max(own, float64(state.load.Running+state.load.Waiting)*fresh)
}

// costQueue estimates the requests ahead of a new one for the comparison of servers:
// those of this host, or the reported load if it came with a rejection. Other reports
// are ignored: they are outdated when they are used, and would make all hosts move
// their requests away from a server simultaneously.
func (p *Placer) costQueue(now time.Time, state *serverState) float64 {
	if state.loadFromRejection {
		return p.expectedQueue(now, state)
	}
	return float64(len(state.inFlight))
}

// suspect reports whether the server was slow for at least SuspectAfter by its last
// observations and these have expired.
func (p *Placer) suspect(now time.Time, s *serverState) bool {
	return p.cfg.SuspectAfter > 0 && now.Sub(s.observedAt) > p.cfg.ObservationMaxAge &&
		!s.slowSince.IsZero() && s.observedAt.Sub(s.slowSince) >= p.cfg.SuspectAfter
}

func (p *Placer) suspended(now time.Time, state *serverState) bool {
	if p.cfg.SuspendAfter == 0 || state.consecutiveFailures < p.cfg.SuspendAfter {
		return false
	}
	// After the suspension, one request at a time is let through as a probe.
	return now.Before(state.suspendedUntil) || len(state.inFlight) > 0
}

// avoidDomain reports whether a server is in another failure domain that is
// unreachable; once per domainProbeInterval it returns false to let a probe through.
func (p *Placer) avoidDomain(now time.Time, state *serverState) bool {
	if state.domain == p.cfg.Domain {
		return false
	}
	d := p.domain(state.domain)
	return p.unreachable(now, d) && now.Sub(d.probedAt) < domainProbeInterval
}

// DomainUnreachable reports whether some other failure domain has left at least
// unreachableAttempts consecutive attempts unanswered, the first sent at least the
// given time ago.
func (p *Placer) DomainUnreachable(now time.Time, after time.Duration) bool {
	for name, d := range p.domains {
		if name != p.cfg.Domain && d.unanswered >= unreachableAttempts && now.Sub(d.unansweredSince) >= after {
			return true
		}
	}
	return false
}

// unreachable reports whether the domain has left at least unreachableAttempts
// consecutive attempts unanswered, the first sent at least UnreachableAfter ago.
func (p *Placer) unreachable(now time.Time, d *domainState) bool {
	return p.cfg.UnreachableAfter > 0 && d.unanswered >= unreachableAttempts && now.Sub(d.unansweredSince) >= p.cfg.UnreachableAfter
}

// Sent records an attempt that is sent to a server.
func (p *Placer) Sent(now time.Time, s *lister.Server) {
	state := p.server(s)
	state.adoptIncarnation(s)
	state.inFlight = append(state.inFlight, now)
	if state.ramp != nil {
		state.ramp.Sent()
	}
	d := p.domain(state.domain)
	if p.unreachable(now, d) && now.Sub(d.probedAt) >= domainProbeInterval {
		d.probedAt = now
	}
	if d.unanswered == 0 {
		d.unansweredSince = now
	}
	d.unanswered++
}

// Ended records the end of the attempt that was sent at the time sent.
func (p *Placer) Ended(now time.Time, id string, sent time.Time, result Result) {
	state := p.servers[id]
	if state == nil {
		return
	}
	i := slices.IndexFunc(state.inFlight, sent.Equal)
	if i >= 0 {
		state.inFlight = slices.Delete(state.inFlight, i, i+1)
	}
	if result.Load != nil {
		state.load, state.reportedAt = *result.Load, now
		state.loadFromRejection = result.Outcome == Rejected
	}
	if result.Outcome == Answered || result.Outcome == Rejected || result.Outcome == WrongServer {
		p.domain(state.domain).unanswered = 0
	}
	switch result.Outcome {
	case Answered, Rejected, WrongServer:
		state.unconnected = false
	case ConnectionRefused, Unconnected:
		state.unconnected = true
	case Failed, TimedOut, Canceled:
	}
	p.paceEnded(now, state, result)
	switch result.Outcome {
	case Answered:
		p.recovered(now, id, state)
		p.answered(now, state, result)
	case Rejected:
		switch {
		case now.Before(state.pausedUntil):
			// The pause keeps requests away from the server; no penalty is added.
		case result.Load == nil:
			// A server that rejects without a report is taken to have a queue.
			state.load, state.reportedAt, state.loadFromRejection = Load{Running: 1, Waiting: 2}, now, true
		case result.Load.Waiting == 0:
			state.raiseFailureRate(now)
		}
	case Failed, Unconnected:
		p.recordFailure(now, state)
	case ConnectionRefused:
		p.suspendNotListening(now, state)
	case TimedOut:
		p.observe(now, state, result)
	case WrongServer:
		state.wrongServer = true
	case Canceled:
	}
}

func (p *Placer) answered(now time.Time, s *serverState, result Result) {
	p.observe(now, s, result)
	s.consecutiveFailures = 0
	s.suspension = 0
	s.failureRate -= failureSmoothing * s.failureRate
}

// observe updates the average slowdown with the latency of an attempt.
func (p *Placer) observe(now time.Time, s *serverState, result Result) {
	slowdown := min(float64(result.Latency)/float64(max(result.TypicalLatency, time.Microsecond)), slowdownMax)
	if now.Sub(s.observedAt) > p.cfg.ObservationMaxAge {
		s.slowdown = 1
	}
	s.slowdown += slowdownSmoothing * (slowdown - s.slowdown)
	switch {
	case slowdown < slowThreshold:
		s.slowSince = time.Time{}
	case s.slowSince.IsZero():
		s.slowSince = now
	case p.cfg.SuspectAfter > 0 && now.Sub(s.slowSince) >= p.cfg.SuspectAfter:
		// The server has been slow for longer than a stall lasts. The average, which
		// restarts at 1 after a gap in the observations, is raised to this slowdown, since
		// otherwise the server would get requests for a long time.
		s.slowdown = max(s.slowdown, slowdown)
	}
	s.observedAt = now
}

// suspendNotListening suspends a server at whose address no process listens. Its
// suspension does not grow, so that probes stay frequent: a restarted server is
// registered anew, and if only a partition made it fail, that can heal at any time.
func (p *Placer) suspendNotListening(now time.Time, s *serverState) {
	s.consecutiveFailures = max(s.consecutiveFailures+1, p.cfg.SuspendAfter)
	s.suspendedUntil = now.Add(suspensionMin)
}

// raiseFailureRate records a failure, or a request that the server rejected though
// its queue is empty, so that other servers are preferred. A rejection with a queue
// is not recorded here, since the queue has a cost of its own.
func (s *serverState) raiseFailureRate(now time.Time) {
	s.failureRate += failureSmoothing * (1 - s.failureRate)
	s.failedAt = now
}

// recordFailure records a failure and suspends the server after SuspendAfter
// consecutive ones.
func (p *Placer) recordFailure(now time.Time, s *serverState) {
	s.raiseFailureRate(now)
	s.consecutiveFailures++
	if s.consecutiveFailures >= p.cfg.SuspendAfter {
		s.suspension = min(max(2*s.suspension, suspensionMin), suspensionMax)
		s.suspendedUntil = now.Add(s.suspension)
	}
}
