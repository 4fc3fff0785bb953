package scatterer

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/scheduler"
)

const (
	// initialLatencyDivisor divides the latency objective of a route to give its typical
	// latency before any latency is measured.
	initialLatencyDivisor = 8
	// latencySmoothing is the weight of a new latency in the typical latency of a route.
	latencySmoothing = 0.05
	// maxMarginFraction limits the answer margin, as a fraction of the latency objective.
	maxMarginFraction = 0.3
	// serviceTimeQuantile is the quantile of latencies that estimates the service time
	// without queueing; quantileStep scales the change that one latency makes to this
	// estimate.
	serviceTimeQuantile = 0.25
	quantileStep        = 0.1
	// notRunAllowance is how many attempts beyond those of the route a sub-request may
	// have, to make up for servers that did not run it.
	notRunAllowance = 2
	// noServerRetryAfter is the Retry-After for a service without usable servers, and the
	// upper limit of a Retry-After that is derived from an expected latency.
	noServerRetryAfter = 500 * time.Millisecond
	// minRetryAfter is the least Retry-After of a refusal.
	minRetryAfter = 50 * time.Millisecond
	// probeFraction bounds the suspect servers that one query probes, as a fraction of the
	// number of shards that its answer may lack, but at least 1 is probed. The rest is left
	// for stalls and failures.
	probeFraction = 0.25
	// probeInterval is the least time between two requests of a route that are sent as
	// probes, although too few servers are available or no answer is expected in time.
	probeInterval = 300 * time.Millisecond
	// burstCapacityFraction is the fraction of ExtraBudget.Burst that may be sent without
	// delay; the rest is refilled over a window, so that no more than the burst is sent in
	// any span of one window.
	burstCapacityFraction = 0.5
	// coverageTolerance absorbs rounding errors when a coverage is converted to a number
	// of sub-requests.
	coverageTolerance = 1e-9
)

// attempt is one send of a sub-request to one server.
type attempt struct {
	id         uint64
	request    *request
	subRequest int
	// server is nil for a sub-request in a slice, whose server another host chooses.
	server *lister.Server
	sent   time.Time
	// canceled means that the attempt was canceled and its AttemptEnded event is awaited.
	canceled bool
}

// subRequest is the state of the sub-request to one shard, or to the only service of
// the route.
type subRequest struct {
	service string
	// sentTo lists the IDs of the servers to which this host has sent attempts.
	sentTo      []string
	outstanding []*attempt
	// possibleRuns counts the attempts that may have run, possibleArrivals those that
	// may have reached a server.
	possibleRuns     int
	possibleArrivals int
	// answer is the attempt with the complete answer, or with a final failure.
	answer uint64
	// code is the result of the last attempt that has ended, 0 if none has; it is NoServer
	// if no attempt could be sent.
	code classifier.Code
	// done means that the sub-request is answered or has failed for good.
	done bool
	// relayed means that it is sent through a peer first, awaitsRelay that it is to be sent
	// through one since no server can be reached.
	relayed     bool
	awaitsRelay bool
}

// request is a request without an answer yet.
type request struct {
	id          uint64
	route       *matcher.Route
	stats       *routeStats
	subRequests []subRequest
	sharded     bool
	// coverage is the least fraction of the sub-requests that must be answered.
	coverage      float64
	answeredCount int
	doneCount     int
	// mayHaveRun means that a server may have run an attempt that has ended.
	mayHaveRun bool
	// unconfirmed is set for a slice until the host that sent it confirms that it waits for
	// the answer. Until then, at most one server may run each sub-request.
	unconfirmed bool
	// forwarded means that another host has sent the request, slice that it is a slice.
	forwarded bool
	slice     bool
	// fingerprint identifies the request to the vetter, method and target to operators. A
	// canary runs at one server at a time until a sub-request has ended well; canaries counts
	// those sent so, trial is the ID of its trial.
	fingerprint    vetter.Fingerprint
	method, target string
	canary         bool
	canaries       int
	trial          uint64
	// held counts the sub-requests that aren't sent again until another one has ended well.
	held int
	// verdictBy is until when the request waits for the end of a trial of another one with the
	// same fingerprint, zero if it doesn't; vetted is its arrival if it has not begun.
	verdictBy time.Time
	vetted    *Arrived
	// maxAttempts is how many servers may run each sub-request.
	maxAttempts int
	// relayAt is when the sub-requests that await a relay are sent through a peer, zero if
	// there are none. With rescue, those follow whose servers have become unreachable.
	relayAt time.Time
	rescue  bool
	// retryAfter is when a peer expects to be able to serve the request.
	retryAfter time.Duration
	// refusal is the result code of a request that only waits for its attempts to end.
	refusal classifier.Code
	// waiting is set while the request waits for tokens, before its first attempt.
	waiting *Arrived
	// waitUntil is until when the request may wait for tokens, zero if it has not waited.
	waitUntil time.Time
	arrived   time.Time
	// hedgeAt is when late sub-requests are hedged, zero once that is done.
	hedgeAt time.Time
	// earlyAnswerAt is from when an incomplete answer is sent if it reaches the coverage.
	earlyAnswerAt time.Time
	// deadline is when a request that is still unanswered is refused.
	deadline time.Time
	timer    scheduler.Timer[*request]
}

// routeStats holds what was measured of the requests of one route.
type routeStats struct {
	// typicalLatency is the moving average of the latencies of answered attempts, in
	// nanoseconds, and serviceTime a low quantile of them, which queueing hardly changes.
	typicalLatency float64
	serviceTime    float64
	// currentWeights is the state of nextService by service.
	currentWeights map[string]float64
	// probed is when a request was last sent as a probe.
	probed time.Time
	relays relayGate
}

// routeKey identifies a route across changes of the configuration.
type routeKey struct {
	host, prefix string
}

// Machine handles the requests of one host.
type Machine struct {
	cfg       Config
	directory Directory
	placer    *placer.Placer
	detector  *detector.Detector
	limits    *allotter.Ledger
	vetter    *vetter.Vetter
	// waiting is the number of requests that wait for tokens.
	waiting int
	// requests has the requests in flight by ID, attempts the outstanding attempts.
	requests map[uint64]*request
	attempts map[uint64]*attempt
	routes   map[routeKey]*routeStats
	// relays has the gates of the relays in flight by their first attempt.
	relays map[uint64]*relayGate
	// budgets has the budget of hedges and retries of each service.
	budgets map[string]*budget
	// extraDenied counts the hedges and retries that a budget did not allow.
	extraDenied uint64
	// lastAttempt is the ID of the newest attempt.
	lastAttempt uint64
	timers      scheduler.TimerQueue[*request]
	// actions collects the result of the current Step.
	actions []Action
}

// New returns a machine that finds servers in the given directory.
func New(cfg Config, directory Directory) *Machine {
	return &Machine{
		cfg:       cfg,
		directory: directory,
		placer:    placer.New(cfg.Placer),
		detector:  detector.New(cfg.Detector, directory),
		limits:    allotter.NewLedger(cfg.Hosts),
		vetter:    vetter.New(rand.New(rand.NewPCG(cfg.VettingSeed, cfg.VettingSeed))),
		requests:  make(map[uint64]*request),
		attempts:  make(map[uint64]*attempt),
		routes:    make(map[routeKey]*routeStats),
		relays:    make(map[uint64]*relayGate),
		budgets:   make(map[string]*budget),
	}
}

// Reconfigure replaces the settings, also for requests in flight.
func (m *Machine) Reconfigure(cfg Config) {
	m.cfg = cfg
	m.placer.Reconfigure(cfg.Placer)
	extra := cfg.Extra
	for _, b := range m.budgets {
		b.Budget = b.WithRatio(extra.Ratio).WithCapacity(extra.capacity(b.share))
	}
}

// Forget drops the observations of a server that is no longer listed.
func (m *Machine) Forget(now time.Time, id string) {
	m.placer.Forget(now, id)
	m.detector.Forget(id)
}

// DomainUnreachable reports whether any other failure domain has left attempts unanswered
// for at least the given time.
func (m *Machine) DomainUnreachable(now time.Time, after time.Duration) bool {
	return m.placer.DomainUnreachable(now, after)
}

// Pause records that a server must get no requests for the given time.
func (m *Machine) Pause(now time.Time, server *lister.Server, d time.Duration) {
	m.placer.Pause(now, server, d)
}

// RegistrationChanged records that the registration of a server has changed.
func (m *Machine) RegistrationChanged(id string) {
	m.placer.RegistrationChanged(id)
}

// Len returns the number of requests in flight.
func (m *Machine) Len() int {
	return len(m.requests)
}

// NextTimer returns when the machine needs a TimerFired event, or false if it needs none.
func (m *Machine) NextTimer() (time.Time, bool) {
	at, ok := m.timers.Next()
	probeAt, probe := m.detector.NextTimer()
	if probe && (!ok || probeAt.Before(at)) {
		return probeAt, true
	}
	return at, ok
}

// Step applies an event and returns the resulting actions, which are valid until the
// next Step.
func (m *Machine) Step(now time.Time, event Event) []Action {
	m.actions = m.actions[:0]
	switch e := event.(type) {
	case *Arrived:
		m.handleArrived(now, e)
	case *Confirmed:
		r := m.requests[e.Request]
		if r != nil {
			r.unconfirmed = false
			m.hedgeIfDue(now, r)
		}
	case *AttemptEnded:
		m.finishOrWait(now, m.handleAttemptEnded(now, e))
	case *SliceEnded:
		var r *request
		for _, end := range e.Ends {
			r = cmp.Or(m.handleAttemptEnded(now, end), r)
		}
		m.finishOrWait(now, r)
	case *RelayEnded:
		m.handleRelayEnded(now, e)
	case *TokensAsked:
		m.resumeAll(now)
	case *RecordsMerged:
		m.applyVerdicts(now)
	case *Abandoned:
		r := m.requests[e.Request]
		if r != nil {
			m.discard(now, r)
		}
	case *Withdrawn:
		m.withdraw(now, m.requests[e.Request])
	case *Stopped:
		m.endAll(now)
	case *ProbeEnded:
		change, changed := m.detector.ProbeEnded(now, e.Domain, e.Result)
		m.reachChanged(now, change, changed)
	case *TimerFired:
		m.handleTimerFired(now)
		m.probePaths(now)
	}
	return m.actions
}

func (m *Machine) handleArrived(now time.Time, e *Arrived) {
	r := m.newRequest(now, e)
	m.requests[r.id] = r
	m.begin(now, r, e)
}

// begin sends the first attempts of a request, makes it wait for tokens, or refuses it.
func (m *Machine) begin(now time.Time, r *request, e *Arrived) {
	if !m.vet(now, r) {
		return
	}
	choices := m.chooseAll(now, r)
	relayed := m.planRelay(now, r, choices)
	var planned *slice
	if !e.Slice && !r.canary && !late(r.expectedLatency(choices), r.earlyAnswerAt.Sub(now), m.cfg.SliceFactor) {
		planned = m.planSlice(now, r, choices)
	}
	limited := m.applyLimits(now, r, choices, planned)
	if limited > 0 && m.waitForTokens(now, r, e, choices) {
		return
	}
	withServer, usable := relayed, relayed
	for _, choice := range choices {
		switch {
		case choice.Server == nil:
		case !choice.Unavailable:
			usable++
			withServer++
		case !choice.Cut:
			withServer++
		}
	}
	expected, left := r.expectedLatency(choices), r.earlyAnswerAt.Sub(now)
	m.earnExtra(now, r, e, planned)
	// If too few sub-requests have an available server, the request is sent only as a probe,
	// which shows whether unavailable servers have recovered. A probe needs servers too, even
	// if unavailable ones.
	switch {
	case !r.meetsCoverage(withServer) && r.meetsCoverage(withServer+limited):
		m.setMissingCodes(now, r, choices)
		m.releaseTokens(now, choices)
		m.refuse(now, r, classifier.LimitReached)
		return
	case !r.meetsCoverage(withServer), !r.meetsCoverage(usable) && !m.mayProbe(now, r):
		m.refuse(now, r, classifier.NoServer)
		return
	}
	// An idempotent request whose answer is expected long after its latency objective would
	// only delay other requests. A slice is left to the host that sent it.
	if r.route.Idempotent && !e.Slice && late(expected, left, m.cfg.LateFactor) && !m.mayProbe(now, r) {
		m.refuse(now, r, classifier.Overloaded)
		return
	}
	if r.canary && relayed < len(choices) {
		m.sendCanary(now, r, e, choices)
		return
	}
	m.sendAll(now, r, choices, planned)
	m.finishOrWait(now, r)
}

// chooseAll chooses a server for each sub-request. The latencies of many slow servers may
// become too old to count at the same time. A query that probed all these servers could
// miss more shards than its answer may lack, so it probes only a few, beginning at a
// sub-request that depends on the request ID.
func (m *Machine) chooseAll(now time.Time, r *request) []placer.Choice {
	choices := make([]placer.Choice, len(r.subRequests))
	probes := max(1, int(probeFraction*float64(len(r.subRequests)-r.needed())))
	for k := range r.subRequests {
		i := (k + int(r.id%uint64(len(r.subRequests)))) % len(r.subRequests)
		choices[i], _ = m.chooseServer(now, r, &r.subRequests[i])
		if !choices[i].Suspect {
			continue
		}
		if probes > 0 {
			probes--
			continue
		}
		choices[i], _ = m.preferNonSuspect(now, r, &r.subRequests[i], m.directory.Servers(r.subRequests[i].service))
	}
	return choices
}

// sendAll sends the first attempts of a request, those of a slice together.
func (m *Machine) sendAll(now time.Time, r *request, choices []placer.Choice, planned *slice) {
	for i := range r.subRequests {
		switch {
		case r.subRequests[i].relayed:
		case choices[i].Server == nil:
			m.markDone(r, &r.subRequests[i], m.noChoiceCode(now, &r.subRequests[i]))
		case choices[i].Cut:
			m.markDone(r, &r.subRequests[i], classifier.ServerUnreachable)
		case !planned.contains(i):
			m.send(now, r, i, choices[i], ReasonFirst)
		}
	}
	if planned != nil {
		m.sendSlice(now, r, planned)
	}
	m.sendPlannedRelay(now, r)
}

// maxRuns returns how many servers may run each sub-request.
func (r *request) maxRuns() int {
	if r.unconfirmed || !r.route.Idempotent {
		return min(1, r.maxAttempts)
	}
	return r.maxAttempts
}

// mayRunAgain reports whether one more server may run a sub-request. An attempt counts as a run
// until its end shows that it has not run. Whatever sends a sub-request again has to ask this.
func (r *request) mayRunAgain(sub *subRequest) bool {
	return sub.possibleRuns < r.maxRuns()
}

// needed returns how many sub-requests must be answered.
func (r *request) needed() int {
	return int(math.Ceil(r.coverage*float64(len(r.subRequests)) - coverageTolerance))
}

// meetsCoverage reports whether a number of answered sub-requests is enough for an answer.
func (r *request) meetsCoverage(answers int) bool {
	return answers > 0 && answers >= r.needed()
}

// late reports whether an answer is expected after more than factor times the time left
// to its latency objective; it is false if either factor or the time left is not positive.
func late(expected, left time.Duration, factor float64) bool {
	return factor > 0 && left > 0 && float64(expected) > factor*float64(left)
}

// expectedLatency returns the time until the sub-requests that an answer needs are
// expected to be answered, or 0 if too few have servers or none is needed.
func (r *request) expectedLatency(choices []placer.Choice) time.Duration {
	expected := make([]time.Duration, 0, len(choices))
	for _, choice := range choices {
		if choice.Server != nil {
			expected = append(expected, r.stats.expectedLatency(choice))
		}
	}
	needed := r.needed()
	if needed == 0 || needed > len(expected) {
		return 0
	}
	slices.Sort(expected)
	return expected[needed-1]
}

// mayProbe reports whether a request that would otherwise be refused is sent as a
// probe, and if so records that one is sent now. Probes find out that servers have
// recovered and let the estimate of the latency recover too.
func (m *Machine) mayProbe(now time.Time, r *request) bool {
	if now.Sub(r.stats.probed) < probeInterval {
		return false
	}
	r.stats.probed = now
	return true
}

func (m *Machine) newRequest(now time.Time, e *Arrived) *request {
	route := e.Route
	r := &request{id: e.Request, route: route, arrived: now, coverage: 1, stats: m.routeStats(route), unconfirmed: e.Unconfirmed, forwarded: e.Forwarded, slice: e.Slice, maxAttempts: route.Attempts}
	if e.MaxAttempts > 0 {
		r.maxAttempts = min(e.MaxAttempts, route.Attempts)
	}
	r.deadline = now.Add(min(e.CallerTimeLeft-m.margin(e.CallerTimeLeft), route.Timeout))
	r.hedgeAt = now.Add(time.Duration(m.cfg.HedgeFraction * float64(route.Objective)))
	r.timer.Owner = r
	r.fingerprint, r.method, r.target = e.Fingerprint, e.Method, e.Target
	switch target := route.Target.(type) {
	case *matcher.Single:
		r.subRequests = []subRequest{{service: target.Service}}
	case *matcher.Weighted:
		r.subRequests = []subRequest{{service: r.stats.nextService(target)}}
	case *matcher.Sharded:
		r.sharded = true
		r.coverage = target.MinCoverage
		r.subRequests = make([]subRequest, len(target.Services))
		for i, service := range target.Services {
			r.subRequests[i].service = service
		}
	}
	r.earlyAnswerAt = earliest(now.Add(route.Objective-e.ObjectiveSpent-m.answerMargin(r)), r.deadline)
	return r
}

// answerMargin returns how long before its latency objective an incomplete answer is sent.
func (m *Machine) answerMargin(r *request) time.Duration {
	merging := time.Duration(len(r.subRequests)) * m.cfg.SubRequestMargin
	return min(m.margin(r.route.Objective)+merging, time.Duration(maxMarginFraction*float64(r.route.Objective)))
}

// margin returns how much of a time limit is reserved for the transfer to the caller.
func (m *Machine) margin(limit time.Duration) time.Duration {
	return min(m.cfg.AnswerMargin, time.Duration(maxMarginFraction*float64(limit)))
}

func (m *Machine) routeStats(route *matcher.Route) *routeStats {
	key := routeKey{route.Host, route.Prefix}
	stats := m.routes[key]
	if stats == nil {
		stats = &routeStats{typicalLatency: float64(route.Objective) / initialLatencyDivisor, serviceTime: float64(route.Objective) / initialLatencyDivisor, currentWeights: make(map[string]float64)}
		m.routes[key] = stats
	}
	return stats
}

// observe updates the typical latency and the service time with one latency.
func (s *routeStats) observe(latency time.Duration) {
	s.typicalLatency += latencySmoothing * (float64(latency) - s.typicalLatency)
	if float64(latency) > s.serviceTime {
		s.serviceTime *= 1 + quantileStep*serviceTimeQuantile
	} else {
		s.serviceTime *= 1 - quantileStep*(1-serviceTimeQuantile)
	}
}

// expectedLatency returns the expected time to an answer, including the wait for the
// requests ahead.
func (s *routeStats) expectedLatency(choice placer.Choice) time.Duration {
	return time.Duration(s.serviceTime * max(choice.Slowdown, 1+choice.QueuePerSlot))
}

// nextService chooses a service by smooth weighted round robin, which keeps to the
// weights even over a few requests.
func (s *routeStats) nextService(target *matcher.Weighted) string {
	total := 0.0
	chosen := ""
	for _, service := range target.Services {
		if service.Weight <= 0 {
			continue
		}
		total += service.Weight
		s.currentWeights[service.Service] += service.Weight
		if chosen == "" || s.currentWeights[service.Service] > s.currentWeights[chosen] {
			chosen = service.Service
		}
	}
	s.currentWeights[chosen] -= total
	return chosen
}

func (m *Machine) chooseServer(now time.Time, r *request, sub *subRequest) (placer.Choice, bool) {
	return m.placer.Choose(now, m.directory.Servers(sub.service), sub.sentTo, time.Duration(r.stats.typicalLatency))
}

// preferNonSuspect chooses among some servers of a sub-request one that is not a suspect,
// if one is available, and otherwise any of them.
func (m *Machine) preferNonSuspect(now time.Time, r *request, sub *subRequest, servers []*lister.Server) (placer.Choice, bool) {
	choice, ok := m.placer.Choose(now, servers, sub.sentTo, time.Duration(r.stats.typicalLatency))
	if !choice.Suspect {
		return choice, ok
	}
	preferred, found := m.placer.ChooseNonSuspect(now, servers, sub.sentTo, time.Duration(r.stats.typicalLatency))
	if found && !preferred.Unavailable {
		return preferred, true
	}
	return choice, ok
}

// addAttempt records a new attempt.
func (m *Machine) addAttempt(now time.Time, r *request, i int, server *lister.Server) *attempt {
	sub := &r.subRequests[i]
	m.lastAttempt++
	a := &attempt{id: m.lastAttempt, request: r, subRequest: i, server: server, sent: now}
	m.attempts[a.id] = a
	sub.outstanding = append(sub.outstanding, a)
	sub.possibleRuns++
	sub.possibleArrivals++
	return a
}

func (m *Machine) send(now time.Time, r *request, i int, choice placer.Choice, reason Reason) {
	sub := &r.subRequests[i]
	a := m.addAttempt(now, r, i, choice.Server)
	sub.sentTo = append(sub.sentTo, choice.Server.ID)
	m.placer.Sent(now, choice.Server)
	m.detector.Sent(now, choice.Server)
	m.actions = append(m.actions, &Send{
		Request: r.id, Attempt: a.id, SubRequest: i, Server: choice.Server, Limited: m.limits.Sent(now, incarnation(choice.Server)), Reason: reason,
		Expected: r.stats.expectedLatency(choice), Deadline: r.deadline,
	})
}

// handleAttemptEnded applies the end of an attempt and returns its request, or nil if the
// request is not affected.
func (m *Machine) handleAttemptEnded(now time.Time, e *AttemptEnded) *request {
	a := m.attempts[e.Attempt]
	if a == nil {
		return nil
	}
	r := a.request
	sub := &r.subRequests[a.subRequest]
	m.removeAttempt(now, a, placer.Result{Outcome: outcomeOf(e), Load: e.Load}, e.Evidence)
	if e.Code == classifier.ServerUnreachable || e.Code == classifier.NotSent || e.Unacknowledged {
		sub.possibleArrivals--
	}
	if e.Code.NotRun() {
		sub.possibleRuns--
	} else {
		r.mayHaveRun = true
	}
	if m.cfg.Vetting && e.ServerEnded && a.server != nil && m.serverEnded(now, r, a) {
		return nil
	}
	switch {
	case r.refusal != 0 && e.Code != classifier.OK:
	case sub.done:
		return nil
	case e.Exhausted:
		if e.FinalResponse {
			sub.answer = a.id
		}
		m.markDone(r, sub, e.Code)
	case e.Code == classifier.OK:
		if a.server != nil {
			r.stats.observe(now.Sub(a.sent))
		}
		m.acceptAnswer(now, r, sub, a.id)
	default:
		m.handleFailure(now, r, a, e)
	}
	return r
}

func outcomeOf(e *AttemptEnded) placer.Outcome {
	if e.ConnectionRefused {
		return placer.ConnectionRefused
	}
	switch e.Code {
	case classifier.OK:
		return placer.Answered
	case classifier.ServerRejected, classifier.ConnectionQuota:
		return placer.Rejected
	case classifier.WrongServer:
		return placer.WrongServer
	case classifier.Canceled:
		return placer.Canceled
	case classifier.DeadlineExceeded, classifier.NotSent:
		return placer.TimedOut
	case classifier.ServerUnreachable:
		return placer.Unconnected
	default:
		return placer.Failed
	}
}

// removeAttempt removes an attempt and reports its result to the placer and the detector.
func (m *Machine) removeAttempt(now time.Time, a *attempt, result placer.Result, evidence detector.Evidence) {
	delete(m.attempts, a.id)
	sub := &a.request.subRequests[a.subRequest]
	for i, other := range sub.outstanding {
		if other == a {
			sub.outstanding = append(sub.outstanding[:i], sub.outstanding[i+1:]...)
			break
		}
	}
	if a.server == nil {
		return
	}
	result.Latency, result.TypicalLatency = now.Sub(a.sent), time.Duration(a.request.stats.typicalLatency)
	m.placer.Ended(now, a.server.ID, a.sent, result)
	change, changed := m.detector.Ended(now, a.server, evidence)
	m.reachChanged(now, change, changed)
}

// acceptAnswer finishes a sub-request with the answer of an attempt and cancels the
// other attempts.
func (m *Machine) acceptAnswer(now time.Time, r *request, sub *subRequest, attempt uint64) {
	sub.answer = attempt
	r.answeredCount++
	m.markDone(r, sub, classifier.OK)
	m.cancelOutstanding(now, r, sub)
	m.ranWell(now, r)
	m.hedgeIfDue(now, r)
}

func (m *Machine) markDone(r *request, sub *subRequest, code classifier.Code) {
	sub.done = true
	sub.code = code
	r.doneCount++
}

// cancelOutstanding cancels the outstanding attempts of a sub-request; one outstanding
// for more than twice the typical latency counts as timed out.
func (m *Machine) cancelOutstanding(now time.Time, r *request, sub *subRequest) {
	for len(sub.outstanding) > 0 {
		a := sub.outstanding[0]
		outcome := placer.Canceled
		if float64(now.Sub(a.sent)) > 2*r.stats.typicalLatency {
			outcome = placer.TimedOut
		}
		m.removeAttempt(now, a, placer.Result{Outcome: outcome}, detector.None)
		m.actions = append(m.actions, &Cancel{Attempt: a.id})
	}
}

// handleFailure records the failure of an attempt. Unless other attempts of its
// sub-request are outstanding, it retries the sub-request at another server or marks it as
// done.
func (m *Machine) handleFailure(now time.Time, r *request, a *attempt, e *AttemptEnded) {
	sub := &r.subRequests[a.subRequest]
	sub.code = e.Code
	if e.FinalResponse {
		sub.answer = a.id
	}
	if len(sub.outstanding) == 0 && !m.hold(r, e) {
		code := m.retry(now, r, a.subRequest, e)
		if code != classifier.OK {
			m.markDone(r, sub, code)
		}
	}
	if e.FinalResponse {
		m.ranWell(now, r)
	}
}

// retry sends a sub-request to another server, or returns the result code if it can't.
func (m *Machine) retry(now time.Time, r *request, i int, e *AttemptEnded) classifier.Code {
	sub := &r.subRequests[i]
	if !m.cfg.Retries || !r.mayRunAgain(sub) || !now.Before(r.deadline) {
		return e.Code
	}
	choice, ok := m.preferNonSuspect(now, r, sub, m.withTokens(now, sub.service, extraReserve))
	if !ok || choice.Unavailable || len(sub.sentTo) >= r.route.Attempts+notRunAllowance {
		if m.awaitRelay(now, r, sub, e.Code) {
			return classifier.OK
		}
		return e.Code
	}
	// A retry is charged to the budget only if an earlier attempt of the sub-request may have
	// reached a server.
	if sub.possibleArrivals > 0 && !m.spendExtra(now, sub.service) {
		return e.Code
	}
	m.send(now, r, i, choice, ReasonRetry)
	return classifier.OK
}

// finishOrWait ends a request whose outcome is decided, or sets its next timer.
func (m *Machine) finishOrWait(now time.Time, r *request) {
	if r == nil || m.requests[r.id] != r {
		return
	}
	total := len(r.subRequests)
	enough := r.meetsCoverage(r.answeredCount)
	lost := !r.meetsCoverage(total - (r.doneCount - r.answeredCount))
	switch {
	case r.doneCount == total && enough:
		m.complete(now, r, false)
	case r.refusal != 0:
		m.refuse(now, r, r.refusal)
	case lost:
		m.fail(now, r)
	case enough && !now.Before(r.earlyAnswerAt):
		m.complete(now, r, true)
	case !now.Before(r.deadline):
		m.refuse(now, r, classifier.DeadlineExceeded)
	case m.nothingRuns(r):
		m.isolate(now, r)
	default:
		m.setTimer(now, r)
	}
}

func (m *Machine) setTimer(now time.Time, r *request) {
	next := r.deadline
	if r.hedgeAt.After(now) && r.hedgeAt.Before(next) {
		next = r.hedgeAt
	}
	if r.earlyAnswerAt.After(now) && r.earlyAnswerAt.Before(next) {
		next = r.earlyAnswerAt
	}
	if !r.relayAt.IsZero() && r.relayAt.Before(next) {
		next = r.relayAt
	}
	if !r.verdictBy.IsZero() && r.verdictBy.Before(next) {
		next = r.verdictBy
	}
	m.timers.Set(&r.timer, next)
}

func (m *Machine) handleTimerFired(now time.Time) {
	for {
		timer := m.timers.Due(now)
		if timer == nil {
			return
		}
		r := timer.Owner
		m.timers.Clear(&r.timer)
		if r.waiting != nil {
			m.resume(now, r)
			continue
		}
		if m.verdictOverdue(now, r) {
			continue
		}
		m.relayIfDue(now, r)
		m.hedgeIfDue(now, r)
		m.finishOrWait(now, r)
	}
}

// hedgeIfDue sends the hedges of a request once they are due, but only one time and not
// while the request is unconfirmed.
func (m *Machine) hedgeIfDue(now time.Time, r *request) {
	if r.unconfirmed || r.hedgeAt.IsZero() || now.Before(r.hedgeAt) || !m.mayHedge(r) {
		return
	}
	r.hedgeAt = time.Time{}
	m.hedge(now, r)
}

// hedge sends a hedge for each sub-request that may run again and has exactly one outstanding
// attempt, unless that attempt is part of a slice, and as far as the budget and
// the attempts of the route allow. The hedge's server must not be OverloadProne and must be
// expected to answer before earlyAnswerAt or, once that has passed, before the deadline:
// under overload, other hedges would only lengthen the queues.
func (m *Machine) hedge(now time.Time, r *request) {
	if m.cfg.HedgeFraction <= 0 {
		return
	}
	limit := r.earlyAnswerAt
	if !now.Before(limit) {
		limit = r.deadline
	}
	for i := range r.subRequests {
		sub := &r.subRequests[i]
		if sub.done || len(sub.outstanding) != 1 || sub.outstanding[0].server == nil || !r.mayRunAgain(sub) {
			continue
		}
		choice, ok := m.preferNonSuspect(now, r, sub, m.withTokens(now, sub.service, extraReserve))
		if !ok || choice.Unavailable || choice.OverloadProne || !now.Add(r.stats.expectedLatency(choice)).Before(limit) {
			continue
		}
		if m.spendExtra(now, sub.service) {
			m.send(now, r, i, choice, ReasonHedge)
		}
	}
}

func (m *Machine) complete(now time.Time, r *request, early bool) {
	answers := make([]uint64, len(r.subRequests))
	for i := range r.subRequests {
		if r.subRequests[i].code == classifier.OK && r.subRequests[i].done {
			answers[i] = r.subRequests[i].answer
		}
	}
	missing := r.missing()
	m.discard(now, r)
	m.actions = append(m.actions, &Complete{Request: r.id, Attempts: answers, Missing: missing, Early: early, Took: now.Sub(r.arrived)})
}

// missing returns the sub-requests without an answer.
func (r *request) missing() []MissingSubRequest {
	var list []MissingSubRequest
	for i := range r.subRequests {
		sub := &r.subRequests[i]
		if !sub.done || sub.code != classifier.OK {
			list = append(list, MissingSubRequest{Service: sub.service, Code: sub.code, Tried: sub.sentTo})
		}
	}
	return list
}

// fail ends a request that can't be answered: with the server's own response if there
// is one and no merge is needed, otherwise with the failed sub-requests' code that gives
// the least assurance that the request was not run.
func (m *Machine) fail(now time.Time, r *request) {
	if !r.sharded && r.subRequests[0].answer != 0 {
		m.discard(now, r)
		m.actions = append(m.actions, &Complete{Request: r.id, Attempts: []uint64{r.subRequests[0].answer}, Took: now.Sub(r.arrived)})
		return
	}
	code := classifier.Code(0)
	for i := range r.subRequests {
		sub := &r.subRequests[i]
		if sub.done && sub.code != classifier.OK {
			if code == 0 {
				code = sub.code
			}
			code = classifier.WeakerGuarantee(code, sub.code)
		}
	}
	m.refuse(now, r, code)
}

// refuse ends a request with a result code that holds for all of it: one that means
// "not run" is used only if no attempt may have run. Outstanding attempts are therefore
// canceled first, and the request ends once their results show whether they may have run.
func (m *Machine) refuse(now time.Time, r *request, code classifier.Code) {
	r.refusal = code
	if m.cancelAndAwait(r) {
		return
	}
	retryAfter := m.retryAfter(now, r)
	if vetted(code) {
		retryAfter = max(m.vetter.RetryAfter(now, r.fingerprint), r.retryAfter)
	}
	if r.mayHaveRun && code.NotRun() {
		code = runCode(code)
	}
	switch {
	case r.mayHaveRun:
	case code == classifier.ServerUnreachable:
		// The status of that code doesn't tell callers that the request has not run. Another
		// host may reach the servers.
		code = classifier.NoServer
		retryAfter = max(minRetryAfter, r.retryAfter, r.stats.relays.reopensIn(now))
	case !code.NotRun():
		code = classifier.NotSent
	}
	failure := classifier.NewFailure(code, "%d of %d parts", r.answeredCount, len(r.subRequests))
	if code.NotRun() {
		failure = failure.WithRetryAfter(retryAfter)
	}
	missing := r.missing()
	m.discard(now, r)
	m.actions = append(m.actions, &Refuse{Request: r.id, Failure: failure, Missing: missing, Took: now.Sub(r.arrived)})
}

// cancelAndAwait cancels the outstanding attempts of a request unless an attempt may
// already have run, and reports whether their AttemptEnded events are awaited.
func (m *Machine) cancelAndAwait(r *request) bool {
	if r.mayHaveRun {
		return false
	}
	awaited := false
	for i := range r.subRequests {
		for _, a := range r.subRequests[i].outstanding {
			awaited = true
			if !a.canceled {
				a.canceled = true
				m.actions = append(m.actions, &Cancel{Attempt: a.id, Await: true})
			}
		}
	}
	m.timers.Clear(&r.timer)
	return awaited
}

// retryAfter estimates when a retry of the request would be served: when as many
// sub-requests as an answer needs have a server that accepts requests.
func (m *Machine) retryAfter(now time.Time, r *request) time.Duration {
	waits := make([]time.Duration, len(r.subRequests))
	for i := range r.subRequests {
		waits[i] = m.expectedWait(now, r, &r.subRequests[i])
	}
	slices.Sort(waits)
	return max(waits[max(r.needed(), 1)-1], minRetryAfter, r.retryAfter, r.stats.relays.reopensIn(now))
}

// expectedWait returns the expected time to the answer of a sub-request, at most
// noServerRetryAfter. If no server can be chosen and some are paused or limited, it returns
// the time until the first of them may get a request; if no server is available otherwise,
// noServerRetryAfter.
func (m *Machine) expectedWait(now time.Time, r *request, sub *subRequest) time.Duration {
	choice, ok := m.placer.Choose(now, m.withTokens(now, sub.service, 0), nil, time.Duration(r.stats.typicalLatency))
	if ok && !choice.Unavailable {
		return min(r.stats.expectedLatency(choice), noServerRetryAfter)
	}
	servers := m.directory.Servers(sub.service)
	token, limited := m.tokenWait(now, servers)
	pause, paused := m.placer.PauseLeft(now, servers)
	switch {
	case ok:
		return noServerRetryAfter
	case limited && paused:
		return min(token, pause)
	case limited:
		return token
	case paused:
		return pause
	}
	return noServerRetryAfter
}

// discard cancels the outstanding attempts and removes the request.
func (m *Machine) discard(now time.Time, r *request) {
	for i := range r.subRequests {
		m.cancelOutstanding(now, r, &r.subRequests[i])
	}
	m.stopWaiting(r)
	m.timers.Clear(&r.timer)
	delete(m.requests, r.id)
	m.endTrial(now, r)
}

// endAll ends all requests, as if their deadline had passed.
func (m *Machine) endAll(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if r != nil && r.refusal == 0 {
			m.refuse(now, r, classifier.DeadlineExceeded)
		}
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
