package searcher

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

// Config is the settings of one searcher.
type Config struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// Slots is the number of requests that run concurrently, Queue the number that may
	// wait for a slot.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// Holdings are the shards of snapshots that the searcher holds at its start.
	Holdings []messenger.Holding `json:"holdings,omitempty"`
	// Rows is the number of rows of each answer.
	Rows int `json:"rows"`

	// ConnectionLimit is the maximum number of open connections; ConnectionCost delays
	// the first read of each.
	ConnectionLimit int              `json:"connectionLimit"`
	ConnectionCost  decoder.Duration `json:"connectionCost"`
	// ServiceMedian and ServiceSigma are the median and the sigma of the log-normal
	// distribution of service times.
	ServiceMedian decoder.Duration `json:"serviceMedian"`
	ServiceSigma  float64          `json:"serviceSigma"`
	// StragglerRate is the fraction of requests whose service time is multiplied by
	// StragglerFactor.
	StragglerRate   float64 `json:"stragglerRate"`
	StragglerFactor float64 `json:"stragglerFactor"`
	// ColdStart is the time after the start in which service times are doubled.
	ColdStart decoder.Duration `json:"coldStart"`
	Seed      uint64           `json:"seed"`
}

// Behaviour is the settings that can be changed while a searcher runs.
type Behaviour struct {
	Draining bool `json:"draining,omitempty"`
	// Slowdown multiplies the service time; 0 means 1.
	Slowdown float64 `json:"slowdown,omitempty"`
	// FalseLoad, if set, is reported as the number of running requests, with none waiting.
	FalseLoad *int `json:"falseLoad,omitempty"`
	// ReportLagMillis is the maximum age of the reported load; 0 reports the current load.
	ReportLagMillis int64 `json:"reportLagMillis,omitempty"`
	// Holdings, if set, replaces the shards of snapshots that the searcher holds.
	Holdings []messenger.Holding `json:"holdings,omitempty"`
	// ShedAll rejects all requests as not run.
	ShedAll bool `json:"shedAll,omitempty"`
	// ShortBodies omits the last row of each answer.
	ShortBodies bool `json:"shortBodies,omitempty"`
	// WrongEchoes returns the number of another attempt in each answer.
	WrongEchoes bool `json:"wrongEchoes,omitempty"`
}

// Engine runs sub-requests and orders in a bounded number of slots.
type Engine struct {
	cfg         Config
	incarnation uint64
	started     time.Time
	slots       chan struct{}

	mu        sync.Mutex
	random    *rand.Rand
	behaviour Behaviour
	holdings  []messenger.Holding
	running   int
	waiting   int
	// orders counts the runs of each order ID.
	orders map[string]int
	served uint64

	// The load as last reported under ReportLagMillis, and the time of that report.
	reportedRunning int
	reportedWaiting int
	reportedAt      time.Time
}

// NewEngine returns an engine. Its incarnation is the time of its start, so that it is
// greater than those of earlier engines with the same ID.
func NewEngine(cfg Config) *Engine {
	return &Engine{
		cfg:         cfg,
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		slots:       make(chan struct{}, cfg.Slots),
		random:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1)),
		holdings:    cfg.Holdings,
		orders:      make(map[string]int),
	}
}

// Incarnation returns the incarnation of the engine.
func (e *Engine) Incarnation() uint64 {
	return e.incarnation
}

// SetBehaviour replaces the behaviour.
func (e *Engine) SetBehaviour(b Behaviour) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.behaviour = b
	if b.Holdings != nil {
		e.holdings = b.Holdings
	}
}

// Status returns the status that the server reports, with a lagging or false load if set.
func (e *Engine) Status() messenger.ServerStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	status := messenger.ServerStatus{
		ID: e.cfg.ID, Incarnation: e.incarnation, Draining: e.behaviour.Draining,
		Running: e.running, Waiting: e.waiting, Holdings: e.holdings,
	}
	if e.behaviour.ReportLagMillis > 0 {
		status.Running, status.Waiting = e.laggingLoad()
	}
	if e.behaviour.FalseLoad != nil {
		status.Running, status.Waiting = *e.behaviour.FalseLoad, 0
	}
	return status
}

// laggingLoad returns a load that is at most ReportLagMillis old; the caller holds mu.
func (e *Engine) laggingLoad() (running, waiting int) {
	lag := time.Duration(e.behaviour.ReportLagMillis) * time.Millisecond
	if time.Since(e.reportedAt) >= lag {
		e.reportedRunning, e.reportedWaiting, e.reportedAt = e.running, e.waiting, time.Now()
	}
	return e.reportedRunning, e.reportedWaiting
}

// Orders returns the number of runs of each order ID.
func (e *Engine) Orders() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	counts := make(map[string]int, len(e.orders))
	for id, n := range e.orders {
		counts[id] = n
	}
	return counts
}

// Served returns the number of requests that got a slot.
func (e *Engine) Served() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.served
}

// Search runs one sub-request of a query. Its errors are *messenger.RejectionError or the
// context's error.
func (e *Engine) Search(ctx context.Context, q *messenger.SubQuery) (*messenger.SubAnswer, error) {
	if !e.holds(q) {
		return nil, e.rejection(classifier.SnapshotGone)
	}
	err := e.run(ctx)
	if err != nil {
		return nil, err
	}
	answer := &messenger.SubAnswer{
		RequestID: q.RequestID, Attempt: q.Attempt, Snapshot: q.Snapshot, Shard: q.Shard, Shards: q.Shards,
		RowCount: e.cfg.Rows, Rows: e.rows(q), Server: e.Status(),
	}
	e.injectAnswerFaults(answer)
	return answer, nil
}

// injectAnswerFaults applies ShortBodies and WrongEchoes to an answer.
func (e *Engine) injectAnswerFaults(answer *messenger.SubAnswer) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.behaviour.ShortBodies && len(answer.Rows) > 0 {
		answer.Rows = answer.Rows[:len(answer.Rows)-1]
	}
	if e.behaviour.WrongEchoes {
		answer.Attempt++
	}
}

func (e *Engine) rows(q *messenger.SubQuery) []json.RawMessage {
	rows := make([]json.RawMessage, e.cfg.Rows)
	for i := range rows {
		rows[i] = json.RawMessage(fmt.Sprintf(`{"id":"%d-%d","snapshot":%d}`, q.Shard, i, q.Snapshot))
	}
	return rows
}

// holds reports whether the searcher holds the shard and snapshot of a sub-request.
func (e *Engine) holds(q *messenger.SubQuery) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Contains(e.holdings, messenger.Holding{Snapshot: q.Snapshot, Shard: q.Shard, Shards: q.Shards})
}

// Order runs an order and counts its runs, so that tests detect a double run.
func (e *Engine) Order(ctx context.Context, order *messenger.ServerOrder) (*messenger.ServerOrderAnswer, error) {
	err := e.run(ctx)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	e.orders[order.OrderID]++
	n := e.orders[order.OrderID]
	e.mu.Unlock()
	return &messenger.ServerOrderAnswer{
		RequestID: order.RequestID, OrderID: order.OrderID,
		Result: json.RawMessage(fmt.Sprintf(`{"runs":%d}`, n)), Server: e.Status(),
	}, nil
}

// run queues a request, waits for a slot and holds it for the service time.
func (e *Engine) run(ctx context.Context) error {
	err := e.enqueue()
	if err != nil {
		return err
	}
	defer e.dequeue()
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-e.slots }()
	serviceTime := e.startService()
	defer e.endService()
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// enqueue counts a request as waiting, or rejects it if the queue is full or ShedAll is set.
func (e *Engine) enqueue() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.behaviour.ShedAll || e.waiting+e.running >= e.cfg.Slots+e.cfg.Queue {
		return e.rejectionLocked(classifier.ServerRejected)
	}
	e.waiting++
	return nil
}

// dequeue removes a request from the waiting ones. One that got a slot is among them too,
// since endService counts it as waiting again.
func (e *Engine) dequeue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
}

// startService counts a waiting request as running and returns its service time.
func (e *Engine) startService() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
	e.running++
	e.served++
	return e.serviceTime()
}

// endService counts a running request as waiting again, until dequeue removes it.
func (e *Engine) endService() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.waiting++
}

// serviceTime draws a service time from the log-normal distribution and applies
// stragglers, slowdown and cold start; the caller holds mu.
func (e *Engine) serviceTime() time.Duration {
	median := float64(e.cfg.ServiceMedian.Value())
	t := median * math.Exp(e.cfg.ServiceSigma*e.random.NormFloat64())
	if e.random.Float64() < e.cfg.StragglerRate {
		t *= e.cfg.StragglerFactor
	}
	if e.behaviour.Slowdown > 0 {
		t *= e.behaviour.Slowdown
	}
	if time.Since(e.started) < e.cfg.ColdStart.Value() {
		t *= 2
	}
	return time.Duration(t)
}

// rejection returns the error of a request that is rejected with a code.
func (e *Engine) rejection(code classifier.Code) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rejectionLocked(code)
}

// rejectionLocked is rejection for callers that hold mu.
func (e *Engine) rejectionLocked(code classifier.Code) error {
	return &messenger.RejectionError{Rejection: messenger.ServerRejection{
		Code: int(code), NotRun: true, RetryAfterMillis: retryAfterMillis,
		Server: messenger.ServerStatus{
			ID: e.cfg.ID, Incarnation: e.incarnation, Draining: e.behaviour.Draining,
			Running: e.running, Waiting: e.waiting, Holdings: e.holdings,
		},
	}}
}

// retryAfterMillis is the pause that each rejection asks for.
const retryAfterMillis = 10
