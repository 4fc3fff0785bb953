package scatterer

import (
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// verdictWait is how long a request waits for the end of a trial of another one, in multiples of
// the typical latency of its route.
const verdictWait = 3

// maxCanaries is the number of sub-requests that are tried alone, one after the other, until
// one ends well.
const maxCanaries = 3

// RecordsMerged means that records of other hosts have been merged by MergeRecords.
type RecordsMerged struct{}

func (*RecordsMerged) scattererEvent() {}

// VerdictChanged means that a request is suspected to end servers or blocked, or no longer is.
type VerdictChanged struct {
	vetter.Change
}

func (*VerdictChanged) scattererAction() {}

// Vetter returns the records of requests under which servers have ended. What changes them is
// to be followed by a RecordsMerged event.
func (m *Machine) Vetter() *vetter.Vetter {
	return m.vetter
}

func (r *request) subject() vetter.Subject {
	return vetter.NewSubject(r.fingerprint, r.route.Name, r.subRequests[0].service, r.method, r.target)
}

// vet refuses a request that may not run, and has one that is suspected run as a canary. It
// reports whether the request goes on.
func (m *Machine) vet(now time.Time, r *request) bool {
	if !m.cfg.Vetting || (m.vetter.Len() == 0 && !r.canary) {
		return true
	}
	switch m.vetter.Judge(now, r.fingerprint) {
	case vetter.Blocked:
		m.refuse(now, r, classifier.RequestBlocked)
		return false
	case vetter.Suspected:
		if r.slice {
			m.refuse(now, r, classifier.RequestSuspected)
			return false
		}
		r.canary = true
	case vetter.Allowed:
		r.canary = r.sharded && !r.slice && m.vetter.Wary(now, r.subRequests[0].service)
	}
	return true
}

// beginTrial begins the trial of a suspected request, or has it wait for the end of another
// one. It reports whether the request goes on.
func (m *Machine) beginTrial(now time.Time, r *request) bool {
	verdict := m.vetter.Judge(now, r.fingerprint)
	switch {
	case r.trial != 0 || verdict == vetter.Allowed:
		return true
	case verdict == vetter.Blocked:
		m.refuse(now, r, classifier.RequestBlocked)
		return false
	}
	id, ok := m.vetter.Begin(now, r.fingerprint)
	if !ok {
		r.verdictBy = earliest(now.Add(verdictWait*time.Duration(r.stats.typicalLatency)), r.deadline)
		m.setTimer(now, r)
		return false
	}
	r.trial = id
	return true
}

// verdictOverdue refuses a request that has waited too long for the end of a trial.
func (m *Machine) verdictOverdue(now time.Time, r *request) bool {
	if r.verdictBy.IsZero() || now.Before(r.verdictBy) {
		return false
	}
	m.refuse(now, r, classifier.RequestSuspected)
	return true
}

// endTrial ends the trial of a request, if it has one.
func (m *Machine) endTrial(now time.Time, r *request) {
	if r.trial == 0 {
		return
	}
	m.vetter.End(r.fingerprint, r.trial)
	r.trial = 0
	for _, other := range m.requestsOf(r.fingerprint) {
		m.goOn(now, other)
	}
}

// goOn has a request go on that waits for the end of a trial.
func (m *Machine) goOn(now time.Time, r *request) {
	if r.verdictBy.IsZero() || m.requests[r.id] != r {
		return
	}
	r.verdictBy = time.Time{}
	e := r.vetted
	r.vetted = nil
	switch {
	case e != nil:
		m.begin(now, r, e)
	case m.vetter.Judge(now, r.fingerprint) == vetter.Allowed:
		m.release(now, r)
		m.finishOrWait(now, r)
	default:
		m.isolate(now, r)
	}
}

// sendCanary sends one sub-request of a request that has sent none; the others follow once it
// has ended well.
func (m *Machine) sendCanary(now time.Time, r *request, e *Arrived, choices []placer.Choice) {
	if !m.beginTrial(now, r) {
		r.vetted = e
		return
	}
	i := m.chooseCanary(now, r, func(i int) bool { return choices[i].Server != nil && !choices[i].Unavailable })
	if i < 0 {
		m.refuse(now, r, classifier.NoServer)
		return
	}
	r.canaries++
	m.send(now, r, i, choices[i], ReasonFirst)
	m.finishOrWait(now, r)
}

// chooseCanary returns a sub-request that a condition allows, -1 if there is none. It prefers
// those whose service has two available servers, as the shard isn't lost if one of them ends.
func (m *Machine) chooseCanary(now time.Time, r *request, allowed func(i int) bool) int {
	chosen := -1
	for k := range r.subRequests {
		i := (k + int(r.id%uint64(len(r.subRequests)))) % len(r.subRequests)
		if !allowed(i) {
			continue
		}
		if m.hasTwoServers(now, r, &r.subRequests[i]) {
			return i
		}
		if chosen < 0 {
			chosen = i
		}
	}
	return chosen
}

func (m *Machine) hasTwoServers(now time.Time, r *request, sub *subRequest) bool {
	servers := m.servers(sub)
	typical := time.Duration(r.stats.typicalLatency)
	first, ok := m.placer.Choose(now, servers, sub.sentTo, typical)
	if !ok || first.Unavailable {
		return false
	}
	second, ok := m.placer.Choose(now, servers, append(slices.Clone(sub.sentTo), first.Server.ID), typical)
	return ok && !second.Unavailable
}

// nextCanary sends another sub-request alone, as an extra attempt if it may have reached a
// server before, or refuses the request with a code if none is left.
func (m *Machine) nextCanary(now time.Time, r *request, code classifier.Code) {
	for r.canaries < maxCanaries {
		i := m.chooseCanary(now, r, func(i int) bool { return m.mayResend(now, r, &r.subRequests[i]) })
		if i < 0 {
			break
		}
		r.canaries++
		m.resend(now, r, i)
		if len(r.subRequests[i].outstanding) > 0 || r.subRequests[i].awaitsRelay {
			m.finishOrWait(now, r)
			return
		}
	}
	m.refuse(now, r, code)
}

// mayResend reports whether a sub-request without an answer or an outstanding attempt can be
// sent to a server.
func (m *Machine) mayResend(now time.Time, r *request, sub *subRequest) bool {
	if sub.done || len(sub.outstanding) > 0 || !r.mayRunAgain(sub) {
		return false
	}
	choice, ok := m.placer.Choose(now, m.servers(sub), sub.sentTo, time.Duration(r.stats.typicalLatency))
	return ok && !choice.Unavailable
}

// resend sends a sub-request that is neither answered nor outstanding, or marks it as done if
// it can't be sent.
func (m *Machine) resend(now time.Time, r *request, i int) {
	sub := &r.subRequests[i]
	reason := ReasonFirst
	if sub.possibleArrivals > 0 {
		reason = ReasonRetry
	}
	if sub.code == 0 {
		sub.code = classifier.NotSent
	}
	choice, ok := m.preferNonSuspect(now, r, sub, m.withTokens(now, sub, 0))
	switch {
	case !r.mayRunAgain(sub) || !now.Before(r.deadline):
		m.markDone(r, sub, sub.code)
	case !ok || choice.Unavailable:
		if !m.awaitRelay(now, r, sub, sub.code) {
			m.markDone(r, sub, m.unavailableCode(now, sub))
		}
	case reason == ReasonRetry && !m.spendExtra(now, sub.service):
		m.markDone(r, sub, sub.code)
	default:
		m.send(now, r, i, choice, reason)
	}
}

// unavailableCode returns why a sub-request can't be sent, which doesn't hide that an attempt
// may have run.
func (m *Machine) unavailableCode(now time.Time, sub *subRequest) classifier.Code {
	return classifier.WeakerGuarantee(sub.code, m.noChoiceCode(now, sub))
}

// serverEnded records that a server has ended while it ran an attempt. It reports whether that
// decides how the request goes on.
func (m *Machine) serverEnded(now time.Time, r *request, a *attempt) bool {
	canary := r.canary
	end := vetter.EndOf(a.server.ID, a.server.StartedAtMillis)
	if r.answeredCount > 0 {
		m.vetter.ServerLost(now, end)
	} else {
		m.vetter.ServerEnded(now, r.subject(), end, r.canary)
	}
	m.applyVerdicts(now)
	if m.requests[r.id] != r || (r.canary && !canary) {
		return true
	}
	if r.refusal != 0 || !canary || r.answeredCount > 0 || len(r.subRequests[a.subRequest].outstanding) > 0 {
		return false
	}
	if !r.sharded && m.vetter.Judge(now, r.fingerprint) == vetter.Allowed {
		return false
	}
	m.refuse(now, r, classifier.RequestCrashed)
	return true
}

// ranWell records that a run of a request has ended without the end of its server, and sends
// what has been held back until then.
func (m *Machine) ranWell(now time.Time, r *request) {
	if !m.cfg.Vetting {
		return
	}
	if m.vetter.Len() > 0 {
		m.vetter.RanWell(now, r.fingerprint)
		m.endTrial(now, r)
		m.applyVerdicts(now)
	}
	if r.canary || r.held > 0 {
		m.release(now, r)
	}
}

// release sends all sub-requests that are neither answered nor outstanding.
func (m *Machine) release(now time.Time, r *request) {
	r.canary = false
	r.held = 0
	for i := range r.subRequests {
		sub := &r.subRequests[i]
		if !sub.done && len(sub.outstanding) == 0 && !sub.awaitsRelay {
			m.resend(now, r, i)
		}
	}
}

// hold keeps a sub-request back whose server has ended, until another one of the request has
// ended well, and reports whether it does.
func (m *Machine) hold(r *request, e *AttemptEnded) bool {
	if !m.cfg.Vetting || !r.sharded || r.answeredCount > 0 || r.canary || (!e.ServerEnded && !e.Doubted) {
		return false
	}
	r.held++
	return true
}

// nothingRuns reports whether a request has sub-requests that were held back or not sent yet,
// and no attempt that may end well.
func (m *Machine) nothingRuns(r *request) bool {
	if r.waiting != nil || !r.verdictBy.IsZero() || (r.held == 0 && !r.canary) {
		return false
	}
	return !slices.ContainsFunc(r.subRequests, func(sub subRequest) bool { return len(sub.outstanding) > 0 || sub.awaitsRelay })
}

// mayHedge reports whether a request may run at further servers although its attempts are
// merely late: a query needs an answer of another shard, and no server may have ended under it.
func (m *Machine) mayHedge(r *request) bool {
	return !m.cfg.Vetting || (!r.canary && (!r.sharded || r.answeredCount > 0) && !m.vetter.Doubted(r.fingerprint))
}

// vetted reports whether a result code means that a request was refused for its evidence.
func vetted(code classifier.Code) bool {
	return code == classifier.RequestBlocked || code == classifier.RequestSuspected
}

// runCode returns the result code of a request that may have run in place of one that means
// that it has not.
func runCode(code classifier.Code) classifier.Code {
	if vetted(code) {
		return classifier.RequestCrashed
	}
	return classifier.ServerFailed
}

// isolate has a request go on at a single server, in a trial if it is suspected.
func (m *Machine) isolate(now time.Time, r *request) {
	if r.slice {
		m.refuse(now, r, classifier.RequestSuspected)
		return
	}
	m.expose(now, r)
	for i := range r.subRequests {
		sub := &r.subRequests[i]
		if len(sub.outstanding) > 0 {
			r.mayHaveRun, sub.code = true, classifier.Canceled
			m.cancelOutstanding(now, r, sub)
		}
	}
	r.canary, r.hedgeAt = true, time.Time{}
	if m.beginTrial(now, r) {
		m.nextCanary(now, r, classifier.RequestCrashed)
	}
}

// expose remembers at which servers a request runs that is about to be canceled.
func (m *Machine) expose(now time.Time, r *request) {
	for i := range r.subRequests {
		for _, a := range r.subRequests[i].outstanding {
			if a.server != nil {
				m.vetter.Expose(now, r.subject(), vetter.EndOf(a.server.ID, a.server.StartedAtMillis))
			}
		}
	}
}

// applyVerdicts reports the changed verdicts and applies them to the requests in flight.
func (m *Machine) applyVerdicts(now time.Time) {
	changes := m.vetter.Changes()
	for _, change := range changes {
		m.actions = append(m.actions, &VerdictChanged{change})
	}
	for _, change := range changes {
		for _, r := range m.requestsOf(change.Fingerprint) {
			m.applyVerdict(now, r, change.After)
		}
	}
}

// requestsOf returns the requests in flight with a fingerprint, in the order of their arrival.
func (m *Machine) requestsOf(f vetter.Fingerprint) []*request {
	var list []*request
	for _, r := range m.requests {
		if r.fingerprint == f {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *request) int { return int(a.id) - int(b.id) })
	return list
}

// applyVerdict applies a changed verdict to a request in flight, unless a run of it has ended
// well.
func (m *Machine) applyVerdict(now time.Time, r *request, verdict vetter.Verdict) {
	switch {
	case m.requests[r.id] != r || r.refusal != 0 || r.answeredCount > 0:
	case verdict == vetter.Allowed:
		m.goOn(now, r)
	case verdict == vetter.Blocked:
		m.expose(now, r)
		m.refuse(now, r, classifier.RequestBlocked)
	case r.canary || r.waiting != nil || !r.sharded:
	default:
		m.isolate(now, r)
	}
}
