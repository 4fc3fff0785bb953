package orderer

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/drainer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/limiter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/ticketer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/indexer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
	"golang.org/x/time/rate"
)

const (
	// probeCheckInterval is the interval between checks for due probes.
	probeCheckInterval = 100 * time.Millisecond
	probeTimeout       = time.Second
	// maxAttempts is the maximum number of servers that an order is sent to.
	maxAttempts = 3
	// retryAfter is the Retry-After of an order that exceeded the rate limit of claims
	// or is still running, and the minimum for one that no server ran.
	retryAfter = time.Second
	// recordTimeout bounds the write of an outcome into its claim.
	recordTimeout = 10 * time.Second
)

// Backend sends requests to backend servers.
type Backend interface {
	// Order sends an order once, without retries. If it fails, the code of the
	// *classifier.Failure states whether the order is certain not to have run.
	Order(ctx context.Context, server messenger.Server, order *messenger.ServerOrder) (*messenger.ServerOrderAnswer, error)
	// Probe requests the status of a server.
	Probe(ctx context.Context, server messenger.Server) (messenger.ServerStatus, error)
}

// Config holds the settings and dependencies of an engine.
type Config struct {
	Document configurer.Document
	Backend  Backend
	Store    storer.Store
	// Home is the control address of this entry, which its tickets name.
	Home string
	// Incarnation tells the tickets of this process from those of an earlier one at
	// the same address.
	Incarnation uint64
}

// Order is one submission of an order.
type Order struct {
	RequestID string
	Caller    string
	Deadline  time.Time
	Body      json.RawMessage
}

// Result is the outcome of an order with its ID.
type Result struct {
	ticketer.Result

	OrderID string
}

// Engine runs the orders of one service until it is closed.
type Engine struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	// claims limits the rate of new claims and of deletions of expired ones.
	claims *rate.Limiter

	mu       sync.Mutex
	document configurer.Document
	servers  *indexer.Indexer
	drainer  *drainer.Drainer
	// inFlight counts the orders in flight from this entry to each server.
	inFlight []int
	limiter  *limiter.Limiter
	table    *ticketer.Table
}

// New starts an engine.
func New(cfg Config) *Engine {
	ctx, cancel := context.WithCancel(context.Background())
	order := cfg.Document.Order
	e := &Engine{
		cfg: cfg, ctx: ctx, cancel: cancel, document: cfg.Document,
		claims:  rate.NewLimiter(rate.Limit(order.ClaimsPerSecond), claimBurst(order.ClaimsPerSecond)),
		servers: indexer.New(),
		drainer: drainer.New(drainer.DefaultConfig()),
		limiter: limiter.New(limits(cfg.Document.Admission)),
		table: ticketer.New(ticketer.Config{
			Service: cfg.Document.Service, Home: cfg.Home, Incarnation: cfg.Incarnation,
			Lifetime: order.TicketLife.Value(), MaxTickets: order.MaxTickets,
		}),
	}
	e.workers.Go(e.probeLoop)
	e.workers.Go(e.cleanLoop)
	return e
}

func claimBurst(perSecond float64) int {
	return max(1, int(perSecond))
}

func limits(a configurer.Admission) limiter.Config {
	return limiter.Config{
		InitialLimit: a.InitialLimit, MinLimit: a.MinLimit, MaxLimit: a.MaxLimit,
		QueueTarget: a.QueueTarget.Value(), CallerShare: a.CallerShare,
	}
}

// Reconfigure applies another revision of the service's document.
func (e *Engine) Reconfigure(document configurer.Document) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.document = document
	e.limiter = e.limiter.WithConfig(limits(document.Admission))
	e.table.Reconfigure(document.Order.TicketLife.Value(), document.Order.MaxTickets)
	e.claims.SetLimit(rate.Limit(document.Order.ClaimsPerSecond))
	e.claims.SetBurst(claimBurst(document.Order.ClaimsPerSecond))
}

// Document returns the active revision of the service's document.
func (e *Engine) Document() configurer.Document {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.document
}

// SetServers replaces the list of backend servers.
func (e *Engine) SetServers(servers []messenger.Server) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	present := make(map[int]bool, len(servers))
	for _, server := range servers {
		i := e.servers.Apply(server)
		present[i] = true
		e.drainer.Listed(i, server.Incarnation, server.State, now)
	}
	for i := range e.servers.Len() {
		if !present[i] {
			e.drainer.Unlisted(i)
		}
	}
	for len(e.inFlight) < e.servers.Len() {
		e.inFlight = append(e.inFlight, 0)
	}
}

// Status returns the state of the service.
func (e *Engine) Status() messenger.ServiceStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	live := 0
	for i := range e.servers.Len() {
		if e.drainer.Usable(i, now) {
			live++
		}
	}
	return messenger.ServiceStatus{
		Service: e.document.Service, Kind: string(e.document.Kind), ServersLive: live,
		InFlight: e.limiter.InFlight(), Limit: e.limiter.Limit(),
	}
}

// Issue returns a new ticket, or a failure if too many are kept.
func (e *Engine) Issue() (ticketer.Ticket, *classifier.Failure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Issue(time.Now(), uuid.NewString())
}

// OpenTickets returns the number of tickets that can still be submitted or whose
// order is running.
func (e *Engine) OpenTickets() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.OpenTickets(time.Now())
}

// Close stops the probes and the removal of expired claims, and waits for the
// outstanding writes of outcomes into claims, each at most recordTimeout.
func (e *Engine) Close() {
	e.cancel()
	e.workers.Wait()
}

// SubmitTicket runs the order of a ticket that this entry issued. If the order is
// already running, it waits for that result; if the order has ended or the ticket
// is not valid for it, it returns the recorded result or the reason.
func (e *Engine) SubmitTicket(ctx context.Context, ticket ticketer.Ticket, order Order) Result {
	hash := xxhash.Sum64(order.Body)
	decision := e.decide(ticket, hash)
	switch d := decision.(type) {
	case *ticketer.Resolved:
		return Result{Result: d.Result, OrderID: ticket.ID}
	case *ticketer.Wait:
		return e.awaitResult(ctx, d, ticket, hash)
	case *ticketer.Run:
	}
	result := e.admitAndSend(ctx, ticket.ID, order)
	e.mu.Lock()
	e.table.Finish(ticket.ID, result)
	e.mu.Unlock()
	return Result{Result: result, OrderID: ticket.ID}
}

func (e *Engine) decide(ticket ticketer.Ticket, hash uint64) ticketer.Decision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.table.Submit(time.Now(), ticket, hash)
}

// awaitResult waits for the result of the same order, which is already running
// for another submission. If the context ends first, the code is OrderInProgress.
func (e *Engine) awaitResult(ctx context.Context, wait *ticketer.Wait, ticket ticketer.Ticket, hash uint64) Result {
	select {
	case <-wait.Done:
	case <-ctx.Done():
		return Result{Result: ticketer.Result{Code: classifier.OrderInProgress, RetryAfter: retryAfter}, OrderID: ticket.ID}
	}
	resolved, ok := e.decide(ticket, hash).(*ticketer.Resolved)
	if !ok {
		return Result{Result: ticketer.Result{Code: classifier.OrderInProgress, RetryAfter: retryAfter}, OrderID: ticket.ID}
	}
	return Result{Result: resolved.Result, OrderID: ticket.ID}
}

// admitAndSend sends an order if the concurrency limits admit it. The order is not
// canceled when the caller disconnects, since its outcome would then be unknown.
func (e *Engine) admitAndSend(ctx context.Context, orderID string, order Order) ticketer.Result {
	failure := e.admit(order.Caller)
	if failure != nil {
		return ticketer.Result{Code: failure.Code, RetryAfter: failure.RetryAfter}
	}
	defer e.release(order.Caller)
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), order.Deadline)
	defer cancel()
	return e.send(ctx, orderID, order)
}

func (e *Engine) admit(caller string) *classifier.Failure {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.limiter.Admit(time.Now(), caller, "")
}

func (e *Engine) release(caller string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.Release(caller)
}

// send sends the order to one server after the other until a server has run it or
// may have run it, no other server is usable, maxAttempts is reached or the
// deadline has passed.
func (e *Engine) send(ctx context.Context, orderID string, order Order) ticketer.Result {
	last := classifier.NewFailure(classifier.OrderNotRun, "no usable backend server")
	attempted := make(map[int]bool)
	for range maxAttempts {
		// An order must not be sent after its deadline, which may have passed while
		// this process was stalled.
		if !time.Now().Before(order.Deadline) {
			last = classifier.NewFailure(classifier.OrderNotRun, "deadline passed before the order was sent")
			break
		}
		server, target, ok := e.chooseServer(attempted)
		if !ok {
			break
		}
		attempted[server] = true
		answer, err := e.sendAttempt(ctx, server, target, orderID, order)
		if err == nil {
			return ticketer.Result{Code: classifier.OrderDone, Answer: answer.Result}
		}
		failure := classifier.FailureOf(err, classifier.OrderUnknown)
		if !failure.Code.NotRun() {
			return ticketer.Result{Code: classifier.OrderUnknown, Detail: failure.Error()}
		}
		last = failure
	}
	return ticketer.Result{Code: classifier.OrderNotRun, Detail: last.Error(), RetryAfter: max(last.RetryAfter, retryAfter)}
}

func (e *Engine) sendAttempt(ctx context.Context, server int, target messenger.Server, orderID string, order Order) (*messenger.ServerOrderAnswer, error) {
	defer e.releaseServer(server)
	started := time.Now()
	answer, err := e.cfg.Backend.Order(ctx, target, &messenger.ServerOrder{
		RequestID: order.RequestID, Service: target.Service, OrderID: orderID, Order: order.Body,
	})
	if err != nil {
		e.applyRejection(server, err)
		return nil, err
	}
	if answer.OrderID != orderID {
		return nil, classifier.NewFailure(classifier.EchoMismatch, "order %s", answer.OrderID)
	}
	e.applyStatus(server, answer.Server, started)
	e.observe(time.Since(started))
	return answer, nil
}

func (e *Engine) observe(latency time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limiter.ObserveLatency(time.Now(), latency)
}

// chooseServer returns the usable server with the fewest orders in flight from
// this entry and adds one to its count.
func (e *Engine) chooseServer(attempted map[int]bool) (server int, target messenger.Server, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	best := -1
	for i := range e.servers.Len() {
		if attempted[i] || !e.drainer.Usable(i, now) {
			continue
		}
		if best < 0 || e.inFlight[i] < e.inFlight[best] {
			best = i
		}
	}
	if best < 0 {
		return 0, messenger.Server{}, false
	}
	e.inFlight[best]++
	return best, e.servers.At(best), true
}

func (e *Engine) releaseServer(server int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.inFlight[server]--
}
