package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/relayer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

const (
	// delegationHeader marks a caller's request that another host has delegated. Its
	// value is the version of the configuration in which that host found the route.
	delegationHeader = "X-Rhubarbpost-Gather"
	// drainingHeader has one line for each server that announced, in an answer to a
	// delegated request, that it is draining: the server's start time in milliseconds,
	// a space and its ID.
	drainingHeader = "X-Rhubarbpost-Leaving"
	// proceedByte is prepended to the body of a delegated request. It is sent only
	// after the gathering host has confirmed the receipt (100 Continue), and is the
	// signal for that host to start.
	proceedByte = '+'
	// proceedLength is the length of proceedByte in the body.
	proceedLength = 1
	// continueTimeout exceeds the lifetime of any request, so that the body is never
	// sent before the 100 Continue of the gathering host.
	continueTimeout = time.Hour
	// gathererDialTimeout limits the time to connect to a gathering host, hundreds
	// of times the delay within a failure domain.
	gathererDialTimeout = 60 * time.Millisecond
	// delegationReceiptTimeout is how long a gathering host may take to confirm the
	// receipt of a query. It is several times the processor time of a query, as that
	// host may be busy with another one.
	delegationReceiptTimeout = 60 * time.Millisecond
	// gathererFailureWindow is how long a failure at a gathering host counts against
	// it. A host with few requests delegates several queries in this time.
	gathererFailureWindow = 10 * time.Second
	// maxDelegationAttempts is how many gathering hosts are tried before this host
	// scatters the query itself. Those that decline within a round trip, since they reach
	// no backend server or have no room, are not counted; at most maxDeclines of them are
	// asked.
	maxDelegationAttempts = 2
	maxDeclines           = 8
	// maxIdleConnsPerGatherer is the number of idle connections kept to each
	// gathering host.
	maxIdleConnsPerGatherer = 4
	// delegationReserve is how much of the latency objective is reserved for the
	// exchange between two hosts: 2 * 0.5 ms of delay between failure domains, and 1
	// ms to read and write.
	delegationReserve = 2 * time.Millisecond
	// maxGatheredHeadBytes bounds the header of another host's answer, which has a
	// proof for each shard. It is several times the size for 400 shards.
	maxGatheredHeadBytes = 256 << 10
	// gathererSlots is how many queries a gathering host can run concurrently
	// without delay.
	gathererSlots = 8
)

// delegate sends queries over many shards to gathering hosts.
type delegate struct {
	transport *http.Transport
	bodies    *bodyReader

	// mu guards the fields below.
	mu     sync.Mutex
	placer *placer.Placer
	peers  *relayer.Peers
	hosts  []delegator.Host
	// allotters is chosen among hosts; keepers has the choice among those of each failure domain.
	allotters delegator.Allotters
	keepers   map[string]delegator.Allotters
	// plans caches the results of plan by number of connections.
	plans map[int]delegator.Plan
	// tiers caches the results of relayTiers.
	tiers map[relayKind][]relayer.Tier
}

func newDelegate(cfg Config) *delegate {
	placing := cfg.Settings.scatterer().Placer
	placing.ObservationMaxAge = gathererFailureWindow
	return &delegate{
		bodies: &bodyReader{},
		plans:  make(map[int]delegator.Plan),
		tiers:  make(map[relayKind][]relayer.Tier),
		placer: placer.New(placing),
		peers:  relayer.NewPeers(rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		transport: &http.Transport{
			DialContext: Dialer(gathererDialTimeout), DisableCompression: true,
			MaxIdleConnsPerHost: maxIdleConnsPerGatherer, IdleConnTimeout: idleConnTimeout,
			ExpectContinueTimeout: continueTimeout, MaxResponseHeaderBytes: maxGatheredHeadBytes,
		},
	}
}

// setHosts replaces the hosts with the result of read and returns their previous
// and new number. It calls read under the lock, so that concurrent callers can't
// replace newer hosts with older ones.
func (d *delegate) setHosts(read func() []delegator.Host) (before, after int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before = len(d.hosts)
	d.hosts = read()
	d.allotters = delegator.NewAllotters(d.hosts)
	d.keepers = keepersIn(d.hosts)
	d.peers.Retain(d.hosts)
	clear(d.plans)
	clear(d.tiers)
	return before, len(d.hosts)
}

// listedHosts returns the hosts registered in the store. The slice must not be
// modified.
func (d *delegate) listedHosts() []delegator.Host {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.hosts
}

// listedAllotters returns which hosts allot tokens.
func (d *delegate) listedAllotters() delegator.Allotters {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.allotters
}

// keepersIn returns which hosts of each failure domain keep the buckets of quotas.
func keepersIn(hosts []delegator.Host) map[string]delegator.Allotters {
	byDomain := make(map[string][]delegator.Host)
	for _, host := range hosts {
		byDomain[host.Domain] = append(byDomain[host.Domain], host)
	}
	keepers := make(map[string]delegator.Allotters, len(byDomain))
	for domain, listed := range byDomain {
		keepers[domain] = delegator.NewAllotters(listed)
	}
	return keepers
}

// keepersOf returns which hosts of a failure domain keep the buckets of quotas.
func (d *delegate) keepersOf(domain string) delegator.Allotters {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.keepers[domain]
}

// domainsWith returns the failure domains of the hosts and some others, in their order.
func (d *delegate) domainsWith(others []string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	domains := slices.AppendSeq(slices.Clone(others), maps.Keys(d.keepers))
	slices.Sort(domains)
	return slices.Compact(domains)
}

// plan returns how this host (self) serves queries over shards. Each server of these
// shards accepts the given number of connections from all hosts together. The caller
// holds d.mu.
func (d *delegate) plan(self delegator.Host, connections int) delegator.Plan {
	plan, ok := d.plans[connections]
	if !ok {
		plan = delegator.New(self, d.hosts, connections)
		d.plans[connections] = plan
	}
	return plan
}

// budgetShare returns this host's fraction of the hedges and retries that all hosts
// together may send to the services of a route.
func (f *Forwarder) budgetShare(route *matcher.Route) float64 {
	connections, sharded := f.connections(route)
	d := f.delegate
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case len(d.hosts) == 0:
		return 1.0 / assumedHosts
	case sharded:
		return d.plan(f.self(), connections).ExtraShare
	default:
		return 1 / float64(len(d.hosts))
	}
}

// choose returns a gathering host that is not among those tried, or nil if this host
// is to scatter the query itself.
func (d *delegate) choose(self delegator.Host, connections int, tried []string, typicalLatency time.Duration) *lister.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	plan := d.plan(self, connections)
	if plan.Direct {
		return nil
	}
	for _, hosts := range plan.Tiers() {
		host := d.chooseFastest(hosts, tried, typicalLatency)
		if host != nil {
			return host
		}
	}
	return nil
}

// chooseInDomain returns a host of a failure domain to gather a slice of a query,
// or nil if no usable one is listed there.
func (d *delegate) chooseInDomain(self delegator.Host, domain string, connections int, typicalLatency time.Duration) *lister.Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.chooseFastest(delegator.SliceGatherers(self, domain, d.hosts, connections), nil, typicalLatency)
}

// chooseFastest returns the available host that is expected to answer first, or nil if
// there is none, and records that a request is sent to it. The caller holds d.mu.
func (d *delegate) chooseFastest(hosts []delegator.Host, tried []string, typicalLatency time.Duration) *lister.Server {
	candidates := make([]*lister.Server, 0, len(hosts))
	now := time.Now()
	for _, host := range hosts {
		if d.peers.Avoided(now, host.Name) {
			continue
		}
		candidates = append(candidates, &lister.Server{ID: host.Name, Address: host.Address, Domain: host.Domain, Slots: gathererSlots})
	}
	choice, ok := d.placer.Choose(now, candidates, tried, typicalLatency)
	if !ok || choice.Unavailable {
		return nil
	}
	d.placer.Sent(now, choice.Server)
	return choice.Server
}

// ended records the outcome of an exchange with a gathering host. If ctx, the context
// of the exchange, was canceled, the outcome is not held against that host.
func (d *delegate) ended(ctx context.Context, host string, sent time.Time, err error, typicalLatency time.Duration) {
	outcome := placer.Answered
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		outcome = placer.Canceled
	case errors.Is(err, errNoReceipt):
		outcome = placer.Failed
	case errors.Is(err, errPeerIsolated) || errors.Is(err, errPeerBusy):
		outcome = placer.Canceled
	case errors.Is(err, context.DeadlineExceeded):
		outcome = placer.TimedOut
	case ctx.Err() != nil:
		outcome = placer.Canceled
	case err != nil:
		outcome = placer.Failed
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		d.peers.Learn(now, host, relayer.Accepted)
	case errors.Is(err, errPeerIsolated):
		d.peers.Learn(now, host, relayer.Isolated)
	case errors.Is(err, errPeerBusy):
		d.peers.Learn(now, host, relayer.Busy)
	}
	d.placer.Ended(now, host, sent, placer.Result{Outcome: outcome, Latency: now.Sub(sent), TypicalLatency: typicalLatency})
}

func (d *delegate) close() {
	d.transport.CloseIdleConnections()
}

var (
	errNotGathered = errors.New("the gathering host is not ready, has no such route or has an older configuration")
	errNoReceipt   = errors.New("the gathering host did not confirm the receipt")
	// errPeerIsolated and errPeerBusy are kinds of errNotGathered.
	errPeerIsolated = fmt.Errorf("%w: it reaches no backend server", errNotGathered)
	errPeerBusy     = fmt.Errorf("%w: it has no room for the request", errNotGathered)
)

// delegateQuery has a gathering host serve a query. It returns true if the request has
// been answered, refused or abandoned; otherwise nothing has been written and this
// host has to serve it.
func (f *Forwarder) delegateQuery(w http.ResponseWriter, r *http.Request, a *arrival) bool {
	connections, sharded := f.connections(a.route)
	if !sharded {
		return false
	}
	arrived, callerTimeLeft, waited := time.Now(), a.call.Remaining, a.objectiveSpent
	foreign := f.foreignHosts(a)
	var tried []string
	for declined := 0; len(tried)-declined < maxDelegationAttempts && declined < maxDeclines; {
		host := f.delegate.choose(f.self(), connections, slices.Concat(foreign, tried), a.route.Objective)
		if host == nil {
			return false
		}
		tried = append(tried, host.ID)
		sent := time.Now()
		answer, err := f.sendToGatherer(r, a, host)
		f.recordDelegation(r.Context(), a, host, sent, err)
		if err == nil {
			if answer.Header.Get(notRunHeader) != "" {
				f.returnQuota(a)
				answer.Header.Del(notRunHeader)
			}
			f.engine.push(delegationEnd{answer.Status < http.StatusInternalServerError})
			writeAnswer(w, r.Method, answer)
			return true
		}
		if r.Context().Err() != nil {
			return true
		}
		if errors.Is(err, errPeerIsolated) || errors.Is(err, errPeerBusy) {
			declined++
		}
		spent := time.Since(arrived)
		a.objectiveSpent, a.call.Remaining = waited+spent, callerTimeLeft-spent
		if mayHaveGathered(err) {
			// The gathering host may have used up all attempts.
			f.refuse(w, a, classifier.NewFailure(classifier.CodeOf(err, classifier.ServerFailed), "gathering host %s: %v", host.ID, err))
			return true
		}
	}
	return false
}

// recordDelegation records the outcome of a query or slice at another host. An
// exchange that this host canceled is not logged as a failure of the other one.
func (f *Forwarder) recordDelegation(ctx context.Context, a *arrival, host *lister.Server, sent time.Time, err error, pairs ...any) {
	f.delegate.ended(ctx, host.ID, sent, err, a.route.Objective)
	f.metrics.delegated(err)
	if err == nil || ctx.Err() != nil {
		return
	}
	f.cfg.Logger.Info(logger.DelegationFailed, append([]any{
		"request", a.call.ID, "gatherer", host.ID, "error", err, "tookMillis", time.Since(sent).Milliseconds(),
	}, pairs...)...)
}

// NeverConnected reports whether an exchange failed while the connection was being
// opened, so that nothing was sent.
func NeverConnected(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// mayHaveGathered reports whether a gathering host may have sent sub-requests
// before the exchange with it failed.
func mayHaveGathered(err error) bool {
	return !errors.Is(err, errNotGathered) && !errors.Is(err, errNoReceipt) && !errors.Is(err, errNoPeer) && !NeverConnected(err)
}

// sendToGatherer sends the caller's request to a gathering host and reads the
// whole answer.
func (f *Forwarder) sendToGatherer(r *http.Request, a *arrival, host *lister.Server) (*Answer, error) {
	deadline := time.Now().Add(min(a.call.Remaining, a.route.Timeout))
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer context.AfterFunc(f.ending, func() { cancelCause(context.Cause(f.ending)) })()
	return f.exchangeWithGatherer(ctx, a, host, delegationReceiptTimeout, nil)
}

// exchangeWithGatherer sends a caller's request to another host, with additional
// headers, and reads the whole answer. The other host confirms the receipt and is
// then sent the proceed byte, before which it doesn't start. There is one
// exception: a slice without a body is started immediately, but until the proceed
// byte arrives at most one server may run each of its sub-requests. A host that
// doesn't confirm the receipt in time is taken to be stopped, unreachable or
// overloaded, and is never sent the proceed byte.
func (f *Forwarder) exchangeWithGatherer(ctx context.Context, a *arrival, host *lister.Server, receipt time.Duration, headers map[string]string) (*Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var gate proceedGate
	receiptTimer := time.AfterFunc(receipt, func() {
		if gate.close() {
			cancel(errNoReceipt)
		}
	})
	defer receiptTimer.Stop()
	r := a.outbound.request(ctx, host)
	r.Header.Set(delegationHeader, strconv.FormatUint(a.version, 10))
	r.Header.Set("Expect", "100-continue")
	r.Header.Set(spentHeader, strconv.FormatInt(time.Since(a.received).Milliseconds(), 10))
	a.identity.setHeader(r.Header, a.organisationName())
	f.cfg.Dialect.SetRemaining(r.Header, time.Until(a.expires))
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	body := slices.Concat([]byte{proceedByte}, a.outbound.body)
	r.Body, r.ContentLength = &proceedBody{unrewindableBody{body}, &gate}, int64(len(body))
	response, err := f.delegate.transport.RoundTrip(r)
	receiptTimer.Stop()
	var answer *Answer
	if err == nil {
		answer, err = f.readGathered(ctx, response, host, a.outbound.held)
		_ = response.Body.Close()
		if err == nil && gate.close() {
			// An answer without a receipt refuses the head, before the other host has begun.
			answer, err = nil, errNotGathered
		}
	}
	declined := errors.Is(err, errNotGathered)
	if err == nil || declined || !gate.close() || NeverConnected(err) || errors.Is(err, errNoReceipt) {
		return answer, err
	}
	return nil, fmt.Errorf("%w: %w", errNoReceipt, err)
}

// readGathered reads the answer of another host, or returns why that host has declined.
func (f *Forwarder) readGathered(ctx context.Context, response *http.Response, host *lister.Server, held *holding) (*Answer, error) {
	err := checkStatus(response)
	if err != nil {
		return nil, err
	}
	body, err := f.delegate.bodies.readAnswer(ctx, response, held)
	declined := response.Header.Get(declinedHeader)
	switch {
	case err != nil:
		return nil, err
	case response.StatusCode != http.StatusMisdirectedRequest:
	case declined == declinedIsolated:
		f.logUnread(host.ID, f.delegate.takeIsolated(response.Header))
		return nil, errPeerIsolated
	case declined == declinedBusy:
		return nil, errPeerBusy
	default:
		return nil, errNotGathered
	}
	notices, unread := takeDraining(response.Header, host.ID)
	for _, notice := range notices {
		f.engine.push(notice)
	}
	limits, unreadLimits := takeLimits(response.Header, host.ID)
	for _, notice := range limits {
		f.engine.push(notice)
	}
	f.logUnread(host.ID, append(unread, unreadLimits...))
	answer := &Answer{Status: response.StatusCode, Header: response.Header, Body: body}
	answer.Code, answer.RetryAfter = takeResult(response.Header)
	return answer, nil
}

// addDraining adds the servers that announced that they are draining to the
// headers of an answer, so that the delegating host sends them no new requests
// either.
func addDraining(h http.Header, servers []*lister.Server) {
	for _, server := range servers {
		h.Add(drainingHeader, strconv.FormatInt(server.StartedAtMillis, 10)+" "+server.ID)
	}
}

// logUnread logs the header lines of another host that can't be read.
func (f *Forwarder) logUnread(host string, lines []string) {
	if len(lines) > 0 {
		f.cfg.Logger.Warn(logger.PeerHeaderRejected, "peer", host, "lines", len(lines), "first", lines[0])
	}
}

// logRejected logs the entries of a message of another host that can't be read; the others
// are used.
func (f *Forwarder) logRejected(host string, rejected []error) {
	for _, err := range rejected {
		f.cfg.Logger.Warn(logger.PeerHeaderRejected, "peer", host, "error", err)
	}
}

// takeDraining removes the draining servers named by another host from the headers
// of its answer and returns them, and the lines that can't be read.
func takeDraining(h http.Header, host string) (servers []drainNotice, unread []string) {
	for _, line := range h.Values(drainingHeader) {
		text, id, _ := strings.Cut(line, " ")
		startedAtMillis, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			unread = append(unread, line)
			continue
		}
		servers = append(servers, drainNotice{id: id, startedAtMillis: startedAtMillis, host: host})
	}
	h.Del(drainingHeader)
	return servers, unread
}

// connections returns how many connections a server of the route's first shard
// accepts from all hosts together, 0 if unbounded, and whether the route is
// sharded.
func (f *Forwarder) connections(route *matcher.Route) (n int, sharded bool) {
	return connectionsOf(f.table.Load(), route)
}

func connectionsOf(table *matcher.Table, route *matcher.Route) (n int, sharded bool) {
	target, ok := route.Target.(*matcher.Sharded)
	if !ok {
		return 0, false
	}
	service, _ := table.Service(target.Services[0])
	return service.MaxConnections, true
}

func (f *Forwarder) self() delegator.Host {
	s := f.Settings()
	return delegator.Host{Name: s.Name, Domain: s.Domain, Address: s.Listen.Control, Capacity: s.Capacity, Link: s.Link}
}

// readHosts decodes the registrations of hosts.
func (f *Forwarder) readHosts() []delegator.Host {
	var hosts []delegator.Host
	for _, object := range f.objects.List(f.cfg.Layout.HostPrefix) {
		if object.Deleted {
			continue
		}
		var r registration
		err := json.Unmarshal(object.Value, &r)
		if err != nil {
			f.cfg.Logger.Warn(logger.RegistrationRejected, "key", object.Key, "revision", object.Version, "error", err)
			continue
		}
		name := object.Key[len(f.cfg.Layout.HostPrefix):]
		err = r.check()
		if err != nil {
			f.cfg.Logger.Warn(logger.RegistrationRejected, "key", object.Key, "revision", object.Version, "error", err)
			continue
		}
		hosts = append(hosts, delegator.Host{
			Name: name, Domain: r.Domain, Address: r.Control, Capacity: r.Capacity, Link: r.Link, Registered: object.Version, Relays: r.Relays,
		})
	}
	return hosts
}
