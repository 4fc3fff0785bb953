package forwarder

import (
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/budgeter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

const (
	// refusalLogInterval is the least time between two log lines on refused heads, on refusals for
	// want of memory and on closed connections, each for itself.
	refusalLogInterval = time.Second
	// sideConnections bounds the connections of the listeners for readiness and for metrics.
	sideConnections = 32
)

// machine returns what the process may use.
func machine(s Settings) budgeter.Machine {
	m := budgeter.Machine{MemoryBytes: int64(s.Memory * (1 << 20)), Descriptors: s.Descriptors}
	var limit syscall.Rlimit
	err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit)
	if err == nil && limit.Cur < math.MaxInt32 && (m.Descriptors == 0 || int(limit.Cur) < m.Descriptors) {
		m.Descriptors = int(limit.Cur)
	}
	return m
}

// reserveMemory counts the memory of a request with a number of sub-requests at this host, or
// returns why the request is refused. releaseMemory ends the count.
func (f *Forwarder) reserveMemory(a *arrival, subRequests int) *classifier.Failure {
	amount := budgeter.RequestBytes + int64(subRequests)*budgeter.SubRequestBytes
	if amount <= a.memory {
		return nil
	}
	if !f.account.Take(budgeter.Requests, amount-a.memory) {
		f.refusals.noMemory(a, amount)
		return classifier.NewFailure(classifier.Overloaded, "requests in flight take all the memory that they may").WithRetryAfter(transientRetryAfter)
	}
	a.memory = amount
	return nil
}

// releaseMemory ends the count of what a request holds.
func (f *Forwarder) releaseMemory(a *arrival) {
	f.account.Give(budgeter.Requests, a.memory)
	a.memory = 0
	a.outbound.held.end()
}

// refusals logs some of the refusals for want of memory and of the closed connections.
type refusals struct {
	f *Forwarder

	mu          sync.Mutex
	requests    sampledEvent
	connections sampledEvent
}

// sampledEvent counts the events since the last one that was logged.
type sampledEvent struct {
	unlogged int
	loggedAt time.Time
}

// next counts an event, and returns the number of those since the last log line if one is due.
func (s *sampledEvent) next(now time.Time) (unlogged int, due bool) {
	s.unlogged++
	if now.Sub(s.loggedAt) < refusalLogInterval {
		return 0, false
	}
	unlogged = s.unlogged
	s.unlogged, s.loggedAt = 0, now
	return unlogged, true
}

// noMemory logs a request that was refused for want of memory.
func (r *refusals) noMemory(a *arrival, amount int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, due := r.requests.next(time.Now())
	if due {
		account := r.f.account
		r.f.cfg.Logger.Warn(logger.MemoryShort, "request", a.call.ID, "route", a.route.Name, "bytes", amount,
			"heads", account.Used(budgeter.Heads), "bodies", account.Used(budgeter.Bodies), "requests", account.Used(budgeter.Requests),
			"answers", account.Used(budgeter.Answers), "limit", account.Limit(budgeter.Requests), "refused", n)
	}
}

// connectionClosed counts and logs a connection that was closed for want of room.
func (r *refusals) connectionClosed(closed listener.ClosedConnection) {
	r.f.metrics.connectionClosed(closed.Waited)
	r.mu.Lock()
	defer r.mu.Unlock()
	n, due := r.connections.next(time.Now())
	if due {
		r.f.cfg.Logger.Warn(logger.ConnectionsShort, "client", closed.Client, "waited", closed.Waited, "open", closed.Open,
			"limit", r.f.machine.MaxConnections(), "closed", n)
	}
}

// holding has what a request holds until its answer has been written. A nil holding holds nothing.
type holding struct {
	mu       sync.Mutex
	ended    bool
	releases []func()
}

// newHolding returns what a request on a route holds. Parts of a query are not held until its answer
// is written, which has a few rows of them: queries that hold some parts and wait for room for others
// would wait for each other.
func newHolding(route *matcher.Route) *holding {
	_, ok := route.Target.(*matcher.Sharded)
	if ok {
		return nil
	}
	return &holding{}
}

// add makes the request hold something, which is released at once if the request has ended.
func (h *holding) add(release func()) {
	if h == nil {
		release()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		release()
		return
	}
	h.releases = append(h.releases, release)
}

// end releases all that the request holds.
func (h *holding) end() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ended = true
	for _, release := range h.releases {
		release()
	}
	h.releases = nil
}

// exchangeShares returns the bound of a number of exchanges, 0 for none.
func exchangeShares(exchanges int) *shares {
	if exchanges == 0 {
		return newShares(math.MaxInt64)
	}
	return newShares(int64(exchanges))
}
