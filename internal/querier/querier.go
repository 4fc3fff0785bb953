package querier

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/dispatcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/drainer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/gatherer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/limiter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/router"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/indexer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/queuer"
)

const (
	// eventQueueCapacity is the number of events that may wait for the loop goroutine.
	eventQueueCapacity = 8192
	// refreshInterval is the interval between checks of the servers' usability
	// and due probes.
	refreshInterval = 100 * time.Millisecond
	probeTimeout    = time.Second
	// hedgeTailFraction is the largest fraction of a query's shards that may be
	// outstanding when a hedge is sent; one outstanding shard is always within it.
	// It doesn't apply to sub-requests that wait at the owner of their shard.
	hedgeTailFraction = 0.25
	// maxWaitFactor is a multiple of admission.queueTarget: a sub-request is queued
	// only if its expected wait for a slot is at most that long, and fails otherwise.
	maxWaitFactor = 1.5
)

// Backend sends requests to backend servers.
type Backend interface {
	// Search sends one sub-query; its errors wrap a *classifier.Failure.
	Search(ctx context.Context, server messenger.Server, q *messenger.SubQuery) (*messenger.SubAnswer, error)
	// Probe requests the status of a server.
	Probe(ctx context.Context, server messenger.Server) (messenger.ServerStatus, error)
}

// Tuning turns off or replaces single policies, for comparison in benchmarks.
type Tuning struct {
	// RoundRobin chooses the replicas of a shard in turn.
	RoundRobin bool
	NoHedge    bool
	// NoAdmission lifts the concurrency limits and the limit on the wait for a slot.
	NoAdmission bool
	// IgnoreLoadReports makes the choice of a replica ignore the load that servers report.
	IgnoreLoadReports bool
	NoRetry           bool
}

// Config holds the settings and dependencies of an engine.
type Config struct {
	Document configurer.Document
	Backend  Backend
	// Seed seeds the random choices of the engine.
	Seed   uint64
	Tuning Tuning
	// Counters may be nil; the engine then counts without exporting.
	Counters *Counters
	// Peers connects to the engines of the other entries (processes that serve
	// callers); nil means that there are none.
	Peers Peers
}

// Request is a caller's query.
type Request struct {
	RequestID string
	Caller    string
	// Class names one of the document's classes, each with a share of the concurrency
	// limit.
	Class    string
	Deadline time.Time
	Query    json.RawMessage
}

// Engine serves the queries of one service until it is closed.
type Engine struct {
	cfg      Config
	ctx      context.Context
	cancel   context.CancelFunc
	queue    *queuer.Queue[event]
	workers  sync.WaitGroup
	loopDone chan struct{}
	counters *Counters

	// Only the loop goroutine accesses the fields below.
	document   configurer.Document
	random     *rand.Rand
	servers    *indexer.Indexer
	drainer    *drainer.Drainer
	planner    *planner.Planner
	dispatcher *dispatcher.Machine
	gatherer   *gatherer.Machine
	router     *router.Machine
	pending    map[uint64]*pendingQuery
	executions map[uint64]*execution
	batches    map[uint64]*batch
	// cancels holds the functions that cancel the outstanding attempts.
	cancels   map[uint64]context.CancelFunc
	lastQuery uint64
	lastBatch uint64
	// settled and commands are the queues that settle empties.
	settled  []settledShard
	commands []dispatcher.Event
	// shards holds the numbers 0, 1, 2 and so on; executions use its beginning.
	shards []int
}

type reply struct {
	answer *messenger.QueryAnswer
	err    error
}

type pendingQuery struct {
	id      uint64
	started time.Time
	request Request
	// answers holds the answers of the shards by shard number.
	answers []*messenger.SubAnswer
	replies chan reply
}

// New starts an engine.
func New(cfg Config) *Engine {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:        cfg,
		ctx:        ctx,
		cancel:     cancel,
		queue:      queuer.New[event](eventQueueCapacity),
		loopDone:   make(chan struct{}),
		counters:   cfg.Counters,
		document:   cfg.Document,
		servers:    indexer.New(),
		drainer:    drainer.New(drainer.DefaultConfig()),
		planner:    planner.New(),
		pending:    make(map[uint64]*pendingQuery),
		executions: make(map[uint64]*execution),
		batches:    make(map[uint64]*batch),
		cancels:    make(map[uint64]context.CancelFunc),
	}
	if e.counters == nil {
		e.counters = NewCounters(nil, cfg.Document.Service)
	}
	if cfg.Peers != nil {
		e.router = router.New(router.Config{
			Self: cfg.Peers.Self(), Peers: cfg.Peers.Names(),
			AckTimeout: router.DefaultAckTimeout, ProgressTimeout: router.DefaultProgressTimeout,
			Suspicion: router.DefaultSuspicion, MaxPeerAttempts: router.DefaultMaxPeerAttempts,
			LoadLow: router.DefaultLoadLow, LoadHigh: router.DefaultLoadHigh,
		})
	}
	e.random = rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))
	e.dispatcher = dispatcher.New(e.dispatcherConfig(), e.planner, e.random)
	e.gatherer = gatherer.New(e.gathererConfig(), e.planner)
	go e.loop()
	return e
}

// usesOwners reports whether the sub-requests to a shard are queued by the
// entry that owns the shard.
func (e *Engine) usesOwners() bool {
	return e.router != nil && e.document.Query.Placement == configurer.PlacementOwner
}

func (e *Engine) dispatcherConfig() dispatcher.Config {
	tuning := e.cfg.Tuning
	extra := e.document.Query.ExtraLoad
	config := dispatcher.Config{
		HedgeRatio:             extra.Hedge,
		RetryRatio:             extra.Retry,
		MaxOutstandingFraction: hedgeTailFraction,
		MaxWait:                time.Duration(maxWaitFactor * float64(e.document.Admission.QueueTarget.Value())),
		IgnoreLoadReports:      tuning.IgnoreLoadReports,
		Queued:                 e.usesOwners(),
	}
	if tuning.RoundRobin {
		config.Selection = dispatcher.SelectRoundRobin
	}
	if tuning.NoHedge {
		config.HedgeRatio = 0
	}
	if tuning.NoAdmission {
		config.MaxWait = 0
	}
	if tuning.NoRetry {
		config.RetryRatio = 0
	}
	return config
}

func (e *Engine) gathererConfig() gatherer.Config {
	document := e.document
	admission := document.Admission
	limits := limiter.Config{
		InitialLimit: admission.InitialLimit,
		MinLimit:     admission.MinLimit,
		MaxLimit:     admission.MaxLimit,
		QueueTarget:  admission.QueueTarget.Value(),
		CallerShare:  admission.CallerShare,
		Random:       e.random,
	}
	for _, class := range document.Classes {
		limits.Classes = append(limits.Classes, limiter.Class{Name: class.Name, Share: class.Share})
	}
	return gatherer.Config{
		MinCoverage:  document.Query.EarlyAnswer.MinCoverage,
		SoftDeadline: document.Query.EarlyAnswer.SoftDeadline.Value(),
		Limits:       limits,
		IgnoreLimits: e.cfg.Tuning.NoAdmission,
	}
}

// Query runs a query and returns its answer; its errors wrap a *classifier.Failure.
func (e *Engine) Query(ctx context.Context, request Request) (*messenger.QueryAnswer, error) {
	p := &pendingQuery{request: request, replies: make(chan reply, 1)}
	if !e.queue.TryPush(&queryArrived{pending: p}) {
		return nil, classifier.NewFailure(classifier.Overloaded, "event ring is full").WithRetryAfter(refreshInterval)
	}
	select {
	case r := <-p.replies:
		return r.answer, r.err
	case <-ctx.Done():
		_ = e.queue.Push(e.ctx, &callerDisconnected{pending: p})
		return nil, classifier.NewFailure(classifier.Canceled, "caller gone").WithCause(ctx.Err())
	case <-e.loopDone:
		return nil, classifier.NewFailure(classifier.Stopped, "")
	}
}

// SetServers replaces the list of backend servers.
func (e *Engine) SetServers(servers []messenger.Server) {
	_ = e.queue.Push(e.ctx, &serversListed{servers: servers})
}

// Reconfigure applies another revision of the service's document.
func (e *Engine) Reconfigure(document configurer.Document) {
	_ = e.queue.Push(e.ctx, &reconfigured{document: document})
}

// Status returns the state of the service.
func (e *Engine) Status(ctx context.Context) (messenger.ServiceStatus, error) {
	request := &statusRequested{replies: make(chan messenger.ServiceStatus, 1)}
	err := e.queue.Push(ctx, request)
	if err != nil {
		return messenger.ServiceStatus{}, err
	}
	select {
	case status := <-request.replies:
		return status, nil
	case <-ctx.Done():
		return messenger.ServiceStatus{}, ctx.Err()
	case <-e.loopDone:
		return messenger.ServiceStatus{}, classifier.NewFailure(classifier.Stopping, "")
	}
}

// Close cancels the outstanding queries and probes and waits until their goroutines
// have ended. To let queries finish, the caller must wait for them before the call.
func (e *Engine) Close() {
	e.cancel()
	<-e.loopDone
	e.workers.Wait()
}
