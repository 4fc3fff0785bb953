package forwarder

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/assessor"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/rationer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/queuer"
)

const (
	// eventQueueCapacity is the number of buffered events, enough for hundreds of
	// requests over hundreds of shards.
	eventQueueCapacity = 4096
	// expiryInterval is how often expired registrations of servers are looked for.
	expiryInterval = 200 * time.Millisecond
	// assessInterval is how often the host reassesses its readiness.
	assessInterval = 50 * time.Millisecond
	// balancerReactionTime is how long the balancer takes to stop sending callers to
	// a host that is not ready: it polls once a second and acts after two failed
	// polls.
	balancerReactionTime = 2 * time.Second
	// unreachableProbeDelay is how long no server of a failure domain must have
	// answered before hosts of other failure domains are probed. It is several times
	// the typical latency of a route. Stalls of single servers don't trigger a probe,
	// as most servers don't stall at the same time.
	unreachableProbeDelay = 100 * time.Millisecond
	// logSampleInterval is the number of answers of which one is logged; incomplete
	// answers are always logged.
	logSampleInterval = 200
	// maxDescribedSubRequests is the number of missing sub-requests that a log line
	// lists.
	maxDescribedSubRequests = 6
)

// event is an input of the engine.
type event interface{ engineEvent() }

// arrival is a caller's request and the channel for its only reply.
type arrival struct {
	id    uint64
	call  Call
	route *matcher.Route
	// version is that of the configuration in which the route was found.
	version uint64
	// objectiveSpent is how much of the route's latency objective is not available to
	// the engine: the time since the arrival of the request, or the time reserved for
	// the exchange with another host.
	objectiveSpent time.Duration
	// budgetShare is this host's fraction of the hedges and retries that all hosts
	// together may send to the services of the route.
	budgetShare float64
	// slice is true if the request is a slice of another host's query.
	slice bool
	// unconfirmed is true until the other host has sent the proceed byte.
	unconfirmed bool
	outbound    outbound
	fingerprint vetter.Fingerprint
	reply       chan reply
	// work is what the sequencer has recorded of the request, in sub-requests.
	work float64
	// organisation is the caller's, nil if the configuration has none or it isn't known.
	organisation *matcher.Organisation
	// charge is what the request has taken from the quota of the organisation.
	charge   rationer.Charge
	identity identity
	// memory is what the request takes of the account for requests in flight, in bytes.
	memory int64
	// largeHead is how much of Forwarder.largeHeads the request has.
	largeHead int64
	// delegated is true if another host has delegated the request, relay has the terms if it
	// has sent it on.
	delegated bool
	relay     relayTerms
	// domains has the failure domains whose servers may run the request, nil for all.
	domains map[string]bool
	// received is when the request was received, expires when the caller no longer waits.
	received time.Time
	expires  time.Time
	// draining collects the servers for reply.draining.
	draining []*lister.Server
}

// reply is the result of a request: one answer for each sub-request, or a failure.
type reply struct {
	answers []*Answer
	failure *classifier.Failure
	// draining holds the servers that announced in their answers to the request that
	// they are draining.
	draining []*lister.Server
	// limits holds the limits because of which a slice lacks sub-requests.
	limits []limitNotice
}

// abandonment reports that the caller or the delegating host no longer waits for a
// request.
type abandonment struct{ id uint64 }

// confirmation is the arrival of the proceed byte for a slice that was started
// without it.
type confirmation struct{ id uint64 }

// attemptEnd is the end of an attempt with its answer.
type attemptEnd struct {
	attempt uint64
	// server is nil for a sub-request in a slice.
	server *lister.Server
	answer *Answer
}

// drainNotice names a server that, according to another host, is draining.
type drainNotice struct {
	id              string
	startedAtMillis int64
	// host is the ID of that host.
	host string
}

// sliceEnd ends all attempts of a slice.
type sliceEnd struct{ ends []attemptEnd }

// listing holds changed registrations of backend servers; with origin.complete, the
// list of servers is complete once they are applied.
type listing struct {
	registrations []lister.Registration
	origin
}

// policyChange is a change of the scatterer's settings.
type policyChange struct{ cfg scatterer.Config }

// storeState reports whether the store is reachable.
type storeState struct{ reachable bool }

// peersProbed reports whether a host of another failure domain was reached.
type peersProbed struct{ reached bool }

// peerNotReady reports that a host of the own failure domain is not ready, since it
// is partitioned.
type peerNotReady struct{}

// delegationEnd is the end of a query that another host gathered.
type delegationEnd struct{ served bool }

func (*arrival) engineEvent()      {}
func (abandonment) engineEvent()   {}
func (confirmation) engineEvent()  {}
func (attemptEnd) engineEvent()    {}
func (sliceEnd) engineEvent()      {}
func (*listing) engineEvent()      {}
func (policyChange) engineEvent()  {}
func (storeState) engineEvent()    {}
func (peerNotReady) engineEvent()  {}
func (drainNotice) engineEvent()   {}
func (peersProbed) engineEvent()   {}
func (delegationEnd) engineEvent() {}

// outstandingAttempt is an attempt that has not ended.
type outstandingAttempt struct {
	request uint64
	server  *lister.Server
	// relayed means that a peer chooses the server.
	relayed bool
	cancel  context.CancelFunc
}

// engine runs the scatterer in one goroutine and carries out its actions.
type engine struct {
	log     *logger.Logger
	domain  string
	metrics *counters
	client  *client
	queue   *queuer.Queue[event]
	machine *scatterer.Machine
	servers *lister.Lister
	// evacuated has the evacuated failure domains with the times at which this host learnt so.
	evacuated map[string]time.Time
	// warmupRates has the warm-up rates by service.
	warmupRates map[string]float64
	assessor    *assessor.Assessor
	notReady    atomic.Bool
	// isolated is true while no backend server can be reached, partitioned while the host is
	// not ready since it reaches the store neither.
	isolated    atomic.Bool
	partitioned atomic.Bool
	// notReadySince is when the readiness last changed: while the host is not ready,
	// the time at which it became so.
	notReadySince time.Time
	// delegateSlice has a host of another failure domain gather some sub-requests.
	delegateSlice func(ctx context.Context, r *arrival, s *scatterer.SendSlice) []*Answer
	// relay sends sub-requests through a peer.
	relay func(ctx context.Context, r *arrival, s *scatterer.SendRelay) relayEnd
	// askHosts asks other hosts for tokens; asking is true while it runs.
	askHosts func(ctx context.Context, asks []allotter.Ask) (grants []allotter.Grant, unanswered []allotter.Ask)
	asking   bool
	// sendRecords sends the records of requests under which servers have ended to other hosts;
	// sending counts the calls that run.
	sendRecords func(ctx context.Context, records []vetter.Record)
	sending     int
	// archive decides when this host's evidence is written to the store by writeEvidence;
	// evidenceKnown is true once the evidence of all hosts has been read, servesRequests once
	// requests may be served.
	archive        *vetter.Archive
	writeEvidence  func(ctx context.Context, saved []vetter.SavedRecord) error
	evidenceKnown  atomic.Bool
	servesRequests atomic.Bool
	// blocked has the requests that handlers refuse, nil without any.
	blocked atomic.Pointer[blockedRequests]
	// timerLate is told how late a timer was.
	timerLate func(late time.Duration)
	// checkStore reads from the store until a read succeeds. It pushes a storeState
	// event when the first read fails, and another one when a later read succeeds.
	checkStore func()
	// probeOtherDomains pushes a peersProbed event with whether any host of another
	// failure domain is reachable.
	probeOtherDomains func()
	// requests holds the requests without a reply by ID, outstanding the attempts that
	// have not ended by ID, and answers the answers by request ID and attempt ID.
	requests    map[uint64]*arrival
	outstanding map[uint64]outstandingAttempt
	answers     map[uint64]map[uint64]*Answer
	// completed counts answered requests, for sampling in the log.
	completed int
	// listed is closed, by listOnce, once the list of backend servers is complete.
	listed   chan struct{}
	listOnce sync.Once
	// exchanges counts the goroutines that wait for answers of servers and other hosts.
	exchanges sync.WaitGroup
	// ctx ends with the engine; done is closed when its goroutine has returned.
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
}

func newEngine(cfg Config, metrics *counters, c *client, f *Forwarder, checkStore, probeOtherDomains func()) *engine {
	servers := lister.New(lister.Config{Retention: retention, Quarantine: quarantine})
	ctx, cancel := context.WithCancel(context.Background())
	e := &engine{
		log: cfg.Logger, domain: cfg.Settings.Domain, metrics: metrics, client: c, checkStore: checkStore, probeOtherDomains: probeOtherDomains,
		delegateSlice: f.delegateSlice, relay: f.relay, askHosts: f.askForTokens, sendRecords: f.sendRecords, writeEvidence: f.writeEvidence,
		timerLate:   f.turns.lag,
		archive:     vetter.NewArchive(time.Now()),
		queue:       queuer.New[event](eventQueueCapacity),
		machine:     scatterer.New(cfg.Settings.scatterer(), servers),
		servers:     servers,
		assessor:    assessor.New(assessor.DefaultConfig()),
		requests:    make(map[uint64]*arrival),
		outstanding: make(map[uint64]outstandingAttempt),
		evacuated:   make(map[string]time.Time),
		answers:     make(map[uint64]map[uint64]*Answer),
		listed:      make(chan struct{}),
		ctx:         ctx,
		cancel:      cancel,
		done:        make(chan struct{}),
	}
	if !cfg.Settings.scatterer().Vetting {
		e.knowEvidence()
	}
	go e.run()
	return e
}

// close stops the engine and waits for its goroutines.
func (e *engine) close() {
	e.cancel()
	<-e.done
	e.exchanges.Wait()
}

func (e *engine) push(item event) {
	// An error means that the engine has stopped; nothing waits for the event then.
	_ = e.queue.Push(e.ctx, item)
}

func (e *engine) run() {
	defer close(e.done)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	expiry := time.NewTicker(expiryInterval)
	defer expiry.Stop()
	assessment := time.NewTicker(assessInterval)
	defer assessment.Stop()
	for {
		at, ok := e.machine.NextTimer()
		if ok {
			timer.Reset(time.Until(at))
		} else {
			timer.Reset(time.Hour)
		}
		select {
		case item := <-e.queue.Items():
			e.step(item)
		case <-timer.C:
			e.act(e.machine.Step(time.Now(), &scatterer.TimerFired{}))
		case <-expiry.C:
			e.updateServers(e.servers.Expire(time.Now()), "lapsed")
			e.metrics.updateBudget(e.machine)
			e.logPaces()
			e.machine.Vetter().Expire(time.Now())
			e.expireWarmups(time.Now())
		case at := <-assessment.C:
			e.timerLate(time.Since(at))
			e.assess(time.Now())
			e.askForTokens(time.Now())
		case <-e.ctx.Done():
			return
		}
		now := time.Now()
		e.spreadRecords(now)
		e.saveEvidence(now)
	}
}

func (e *engine) step(item event) {
	now := time.Now()
	switch item := item.(type) {
	case *arrival:
		e.requests[item.id] = item
		e.answers[item.id] = make(map[uint64]*Answer)
		e.act(e.machine.Step(now, &scatterer.Arrived{
			Request: item.id, Route: item.route, CallerTimeLeft: item.call.Remaining, ObjectiveSpent: item.objectiveSpent, BudgetShare: item.budgetShare, Slice: item.slice, Unconfirmed: item.unconfirmed,
			Forwarded: item.delegated, Domains: item.domains, MaxAttempts: item.relay.maxAttempts, Repeat: item.relay.repeat,
			Fingerprint: item.fingerprint, Method: item.outbound.method, Target: item.outbound.url.RequestURI(),
		}))
	case attemptEnd:
		end := e.ended(item)
		if end != nil {
			e.act(e.machine.Step(now, end))
		}
	case sliceEnd:
		slice := &scatterer.SliceEnded{}
		for _, attempt := range item.ends {
			end := e.ended(attempt)
			if end != nil {
				slice.Ends = append(slice.Ends, end)
			}
		}
		e.act(e.machine.Step(now, slice))
	case abandonment:
		e.abandoned(now, item)
	case confirmation:
		e.act(e.machine.Step(now, &scatterer.Confirmed{Request: item.id}))
	case *listing, evacuationsChange, tableChanged:
		e.stepObjects(now, item)
	case storeState, peersProbed, peerNotReady, delegationEnd:
		e.stepAssessor(now, item)
	case drainNotice:
		e.markDraining(item.id, item.startedAtMillis, item.host)
	case tokensAnswered, limitNotice, hostCount:
		e.stepLimits(now, item)
	case relayEnd, pathProbed:
		e.stepReach(now, item)
	case vetterCall, recordsSent:
		e.stepVetting(now, item)
	case evidenceWritten, evidenceLost:
		e.stepEvidence(now, item)
	case policyChange:
		e.machine.Reconfigure(item.cfg)
	case requestsEnd:
		e.act(e.machine.Step(now, &scatterer.Stopped{}))
	}
}

// stepAssessor handles the events that concern the readiness of this host.
func (e *engine) stepAssessor(now time.Time, item event) {
	switch item := item.(type) {
	case storeState:
		e.assessor.StoreReachable(now, item.reachable)
	case peersProbed:
		e.assessor.PeersProbed(now, item.reached)
	case peerNotReady:
		e.assessor.PeerNotReady(now)
	case delegationEnd:
		e.assessor.RequestEnded(now, item.served)
	}
}

// ended records the answer of an attempt and returns the scatterer's event for it,
// or nil if nothing waits for the answer.
func (e *engine) ended(item attemptEnd) *scatterer.AttemptEnded {
	e.processAnnouncements(item)
	s, ok := e.outstanding[item.attempt]
	if !ok {
		return nil
	}
	s.cancel()
	delete(e.outstanding, item.attempt)
	a := item.answer
	if !s.relayed {
		e.metrics.attempt(a.Code)
	}
	if a.BrokenOff {
		e.metrics.brokenOff(a.Ended)
	}
	r := e.requests[s.request]
	if r == nil {
		return nil
	}
	e.answers[s.request][item.attempt] = a
	if a.Code != classifier.OK && !s.relayed {
		e.log.Info(logger.AttemptFailed, "request", r.call.ID, "server", s.server.ID,
			"domain", s.server.Domain, "result", a.Code, "status", a.Status, "error", a.Err,
			"fingerprint", r.fingerprint, "serverEnd", a.Ended)
	}
	return &scatterer.AttemptEnded{
		Attempt: item.attempt, Code: a.Code, FinalResponse: a.FinalResponse,
		ConnectionRefused: errors.Is(a.Err, syscall.ECONNREFUSED), Exhausted: a.Exhausted, Unacknowledged: a.Unacknowledged, Evidence: a.Evidence, Load: a.Load,
		ServerEnded: a.Ended == endEnded, Doubted: a.Doubted,
	}
}

// processAnnouncements handles announcements of a server in its answer (draining,
// pause), whether or not a request still waits for the answer.
func (e *engine) processAnnouncements(item attemptEnd) {
	if item.answer.Draining {
		r := e.requests[e.outstanding[item.attempt].request]
		if r != nil {
			r.draining = append(r.draining, item.server)
		}
		e.markDraining(item.server.ID, item.server.StartedAtMillis, item.server.ID)
	}
	if item.answer.Pause > 0 {
		e.metrics.pauses.Inc()
		e.log.Info(logger.ServerPaused, "server", item.server.ID, "domain", item.server.Domain,
			"pauseMillis", item.answer.Pause.Milliseconds(), "status", item.answer.Status)
		e.machine.Pause(time.Now(), item.server, item.answer.Pause)
	}
	if item.server != nil {
		e.processLimit(item.server, item.answer)
	}
}

// markDraining records that a server has announced that it is draining; source is
// the server itself or the host that reported it.
func (e *engine) markDraining(id string, startedAtMillis int64, source string) {
	if !e.servers.MarkDraining(id, startedAtMillis) {
		return
	}
	e.metrics.draining.Inc()
	e.log.Info(logger.ServerDraining, "server", id, "born", startedAtMillis, "source", source)
	e.updateServers([]string{id}, "announced")
}

func (e *engine) abandoned(now time.Time, item abandonment) {
	r := e.requests[item.id]
	if r == nil {
		return
	}
	e.log.Info(logger.RequestAbandoned, "request", r.call.ID, "route", r.route.Name)
	e.metrics.abandoned.Inc()
	e.act(e.machine.Step(now, &scatterer.Abandoned{Request: item.id}))
	e.forget(item.id)
}

func (e *engine) act(actions []scatterer.Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case *scatterer.Send:
			e.send(a)
		case *scatterer.SendSlice:
			e.sendSlice(a)
		case *scatterer.AskTokens:
			e.askForTokens(time.Now())
		case *scatterer.SendRelay:
			e.sendRelay(a)
		case *scatterer.ProbePath:
			e.probePath(a)
		case *scatterer.ReachChanged:
			e.reachChanged(a)
		case *scatterer.VerdictChanged:
			e.verdictChanged(a)
		case *scatterer.Cancel:
			s, ok := e.outstanding[a.Attempt]
			if ok {
				s.cancel()
			}
			if !a.Await {
				delete(e.outstanding, a.Attempt)
			}
		case *scatterer.Complete:
			e.complete(a)
		case *scatterer.Refuse:
			e.refuse(a)
		}
	}
}

func (e *engine) send(a *scatterer.Send) {
	r := e.requests[a.Request]
	ctx, cancel := context.WithDeadline(e.ctx, a.Deadline)
	e.outstanding[a.Attempt] = outstandingAttempt{request: a.Request, server: a.Server, cancel: cancel}
	if a.Reason != scatterer.ReasonFirst {
		e.log.Info(logger.AttemptSent, "request", r.call.ID, "server", a.Server.ID, "domain", a.Server.Domain,
			"part", a.SubRequest, "reason", string(a.Reason), "expectedMillis", a.Expected.Milliseconds())
	}
	e.metrics.sent(a.Reason, a.Server.Domain == e.domain)
	if a.Limited {
		e.metrics.sentToLimited(a.Reason)
	}
	e.exchanges.Go(func() {
		answer := e.client.exchange(ctx, r.call, r.outbound, a.Server, a.Deadline)
		e.push(attemptEnd{attempt: a.Attempt, server: a.Server, answer: answer})
	})
}

// sendSlice sends several sub-requests to one gathering host, as one exchange. The
// exchange is canceled once the attempts of all its sub-requests have ended or are
// canceled.
func (e *engine) sendSlice(a *scatterer.SendSlice) {
	r := e.requests[a.Request]
	ctx, cancel := context.WithDeadline(e.ctx, a.Deadline)
	open := len(a.Attempts)
	unchosen := &lister.Server{Domain: a.Domain}
	for _, id := range a.Attempts {
		e.metrics.sent(scatterer.ReasonFirst, false)
		e.outstanding[id] = outstandingAttempt{request: a.Request, server: unchosen, cancel: sync.OnceFunc(func() {
			open--
			if open == 0 {
				cancel()
			}
		})}
	}
	e.exchanges.Go(func() {
		defer cancel()
		var slice sliceEnd
		for i, answer := range e.delegateSlice(ctx, r, a) {
			slice.ends = append(slice.ends, attemptEnd{attempt: a.Attempts[i], answer: answer})
		}
		e.push(slice)
	})
}

func (e *engine) complete(a *scatterer.Complete) {
	r := e.requests[a.Request]
	answers := make([]*Answer, len(a.Attempts))
	covered := 0
	for i, attempt := range a.Attempts {
		answers[i] = e.answers[a.Request][attempt]
		if answers[i].whole() {
			answers, covered = []*Answer{answers[i]}, 1
			break
		}
		if answers[i] != nil {
			covered++
		}
	}
	if !r.slice {
		e.metrics.answered(r.route, a.Took, len(answers)-covered)
	}
	e.completed++
	if covered < len(answers) || e.completed%logSampleInterval == 0 {
		e.log.Info(logger.RequestAnswered, r.withIdentity(
			"request", r.call.ID, "route", r.route.Name, "version", r.version,
			"covered", covered, "parts", len(answers), "early", a.Early, "missing", describeMissing(a.Missing),
			"tookMillis", a.Took.Milliseconds(), "leftMillis", (r.call.Remaining-a.Took).Milliseconds(),
		)...)
	}
	e.assessor.RequestEnded(time.Now(), true)
	r.reply <- reply{answers: answers, draining: r.draining, limits: e.limitsOf(r, a.Missing)}
	e.forget(a.Request)
}

// describeMissing formats the sub-requests without an answer as service=result[server
// server]. It lists only the first ones, which suffice to show the cause.
func describeMissing(missing []scatterer.MissingSubRequest) string {
	var b strings.Builder
	for i, sub := range missing {
		if i == maxDescribedSubRequests {
			fmt.Fprintf(&b, " and %d more", len(missing)-i)
			break
		}
		result := "outstanding"
		if sub.Code != 0 {
			result = sub.Code.String()
		}
		fmt.Fprintf(&b, " %s=%s%v", sub.Service, result, sub.Tried)
	}
	return strings.TrimSpace(b.String())
}

func (e *engine) refuse(a *scatterer.Refuse) {
	r := e.requests[a.Request]
	a.Failure = e.delayRetry(time.Now(), a.Failure)
	e.metrics.refused(a.Failure.Code)
	e.log.Warn(logger.RequestRefused, r.withIdentity(
		"request", r.call.ID, "route", r.route.Name, "version", r.version,
		"result", a.Failure.Code, "detail", a.Failure.Detail, "notRun", a.Failure.Code.NotRun(), "fingerprint", r.fingerprint,
		"retryAfterMillis", a.Failure.RetryAfter.Milliseconds(), "missing", describeMissing(a.Missing),
		"tookMillis", a.Took.Milliseconds(), "leftMillis", (r.call.Remaining-a.Took).Milliseconds(),
	)...)
	if !vetted(a.Failure.Code) && !e.lacksEvacuated(a.Failure.Code) {
		e.assessor.RequestEnded(time.Now(), false)
	}
	r.reply <- reply{failure: a.Failure, draining: r.draining, limits: e.limitsOf(r, a.Missing)}
	e.forget(a.Request)
}

// delayRetry raises the Retry-After of a refused request that has not run, if this
// host is not ready, to the time at which the load balancer will have stopped sending
// callers here. An earlier retry would reach this host again.
func (e *engine) delayRetry(now time.Time, failure *classifier.Failure) *classifier.Failure {
	left := e.notReadySince.Add(balancerReactionTime).Sub(now)
	if !e.notReady.Load() || !failure.Code.NotRun() || failure.RetryAfter >= left {
		return failure
	}
	return failure.WithRetryAfter(left)
}

// assess updates the readiness of this host.
func (e *engine) assess(now time.Time) {
	if e.assessor.ShouldCheckStore(now) {
		e.checkStore()
	}
	if e.assessor.ShouldProbe(now, e.machine.DomainUnreachable(now, unreachableProbeDelay)) {
		e.probeOtherDomains()
	}
	e.assessor.SetIsolated(e.isolated.Load())
	notReady := !e.assessor.Ready(now)
	e.partitioned.Store(notReady && !e.assessor.Diverts())
	if notReady == e.notReady.Load() {
		return
	}
	e.notReady.Store(notReady)
	e.notReadySince = now
	e.log.Warn(logger.ReadinessChanged, "fit", !notReady, "isolated", e.isolated.Load(), "inFlight", e.machine.Len(), "servers", e.servers.UsableCount())
}

func (e *engine) forget(id uint64) {
	delete(e.requests, id)
	delete(e.answers, id)
}

// stepObjects handles the events that follow from changed objects of the store.
func (e *engine) stepObjects(now time.Time, item event) {
	switch item := item.(type) {
	case *listing:
		e.applyListing(now, item)
	case evacuationsChange:
		e.applyEvacuations(now, item)
	case tableChanged:
		e.withdrawKeys(now, item.table)
		e.applyWarmupRates(now, item.table.WarmupRates())
	}
}

// applyListing applies changes of the list of backend servers.
func (e *engine) applyListing(now time.Time, item *listing) {
	if item.afterOutage {
		e.servers.StoreRecovered(now)
	}
	if item.complete {
		defer e.listOnce.Do(func() {
			close(e.listed)
			e.checkEvacuations()
		})
	}
	e.updateServers(e.servers.Apply(now, item.registrations), "listed so")
}

// updateServers updates the scatterer's state of servers that were added to the list
// or removed from it; why is the logged reason of a removal.
func (e *engine) updateServers(ids []string, why string) {
	for _, id := range ids {
		if e.servers.IsUsable(id) {
			e.log.Debug(logger.ServerListed, "server", id)
			e.machine.RegistrationChanged(id)
			e.updateWarmup(time.Now(), id, why)
			continue
		}
		e.log.Info(logger.ServerUnlisted, "server", id, "why", why)
		e.machine.Forget(time.Now(), id)
	}
	e.publishServers()
}

// publishServers makes the changed list of servers known.
func (e *engine) publishServers() {
	e.metrics.servers.Set(float64(e.servers.UsableCount()))
	listed := e.servers.ReachableByDomain()
	e.client.listed.Store(&listed)
}
