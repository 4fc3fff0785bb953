package forwarder

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/internal/reserver"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/connector"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/budgeter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/watcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/cacher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// balancerDrainTime is how long a stopping host still accepts connections: the load
	// balancer polls once a second and stops sending callers after two failed polls.
	balancerDrainTime = 2600 * time.Millisecond
	// exitReserve is how much of the grace period is left for the process to exit, answerReserve
	// how much before that requests in flight end, so that their callers get the answer.
	exitReserve   = 300 * time.Millisecond
	answerReserve = 100 * time.Millisecond
)

// Config holds the dependencies of a forwarder.
type Config struct {
	Settings Settings
	// OpenStore returns a client of the store at an address. The client calls
	// observe with the era of each answer.
	OpenStore func(address string, observe func(era uint64)) Store
	Layout    Layout
	Dialect   Dialect
	Documents Documents
	Merger    Merger
	Logger    *logger.Logger
	// LinesDropped returns how many lines the logger has dropped; nil if it drops
	// none.
	LinesDropped func() uint64
}

// Store is a client of a platform's store.
type Store interface {
	storer.Store
	// Serializable returns a view whose lists and watches may be seconds old and
	// cost the store less.
	Serializable() storer.Store
	Close()
}

// openStore is the client in use and the address that it was opened for.
type openStore struct {
	Store

	address string
}

// Forwarder serves the callers of one host.
type Forwarder struct {
	cfg     Config
	metrics *counters
	client  *client
	// bodies reads the bodies of callers; delegate has the one for answers.
	bodies   *bodyReader
	delegate *delegate
	// machine is what the process may use, account the memory that clients make it hold beside
	// their connections.
	machine  budgeter.Machine
	account  *reserver.Account
	refusals refusals
	// heads bounds the memory of the heads of requests.
	heads *listener.Heads
	// largeHeads bounds the sub-requests of requests with large headers.
	largeHeads *shares
	tokens     *tokenBroker
	quotas     *quotas
	room       *room
	turns      *turns
	engine     *engine
	// listeners are those for readiness, metrics and other hosts; callers is the one
	// for callers.
	listeners []*listener.Listener
	callers   *listener.Listener
	// workers counts the goroutines that run until cancel is called.
	workers sync.WaitGroup
	cancel  context.CancelFunc

	// settings are those in force; a reload replaces them as a whole.
	settings atomic.Pointer[Settings]
	store    atomic.Pointer[openStore]
	// objects holds the newest version seen of each object of the store, also for
	// comparison with peers.
	objects *cacher.Cache
	eras    *eras
	// source decides whether this host follows the store itself or through peers;
	// sourceMu guards it.
	sourceMu sync.Mutex
	source   *watcher.Source
	// lostPrefixes counts the prefixes whose watchers get no answer from the store.
	lostPrefixes atomic.Int64
	// checking and probing are true while the goroutine of checkStore or of
	// probeOtherDomains runs; checks counts these goroutines.
	checking atomic.Bool
	probing  atomic.Bool
	checks   sync.WaitGroup
	// table is the configuration in force, nil before the first one; configMu
	// serializes its replacement.
	table    atomic.Pointer[matcher.Table]
	configMu sync.Mutex
	// configConfirmed and serversConfirmed are when the store last confirmed that
	// the configuration and the list of backend servers are current, in Unix
	// nanoseconds.
	// evidenceVersion is that of the evidence which this host has in the store.
	evidenceVersion  atomic.Uint64
	configConfirmed  atomic.Int64
	serversConfirmed atomic.Int64
	// evacuationsConfirmed is the same for the evacuations, known at least by the word of
	// peers if evacuationsKnown is set; evacuationsMu serializes their application.
	evacuationsConfirmed atomic.Int64
	evacuationsKnown     atomic.Bool
	evacuationsMu        sync.Mutex
	// lastRequest is the ID given to the last request.
	lastRequest atomic.Uint64
	stopping    atomic.Bool
	// endAt is when a stopping host ends its requests, in Unix nanoseconds; ending is then
	// canceled with context.DeadlineExceeded by end.
	endAt   atomic.Int64
	ending  context.Context
	end     context.CancelCauseFunc
	closing sync.Once
}

// New opens the listeners and starts following the store.
func New(cfg Config) (*Forwarder, error) {
	d := newDelegate(cfg)
	limits := machine(cfg.Settings)
	account := reserver.New(limits)
	d.bodies.account, d.bodies.use = account, budgeter.Answers
	f := &Forwarder{
		machine: limits, account: account,
		cfg: cfg, metrics: newCounters(), client: newClient(cfg, d.bodies, limits), bodies: &bodyReader{account: account, use: budgeter.Bodies},
		objects: cacher.New(), eras: newEras(), source: watcher.NewSource(cfg.Settings.sourceConfig()),
	}
	f.delegate, f.tokens = d, newTokenBroker()
	f.quotas = newQuotas(cfg.Settings.Quota.rule())
	f.largeHeads = newShares(largeHeadSubRequests)
	f.refusals.f = f
	f.heads = listener.NewHeads(headBudget(cfg.Settings), (&headRefusals{f: f}).add).WithAccount(account)
	f.settings.Store(&cfg.Settings)
	f.room = newRoom(f.self())
	f.turns = newTurns(cfg.Settings.Policy.sequencer(f.self()), cfg.Logger, f.metrics)
	f.store.Store(&openStore{f.connect(cfg.Settings.Store), cfg.Settings.Store})
	ctx, cancel := context.WithCancel(context.Background())
	f.cancel = cancel
	f.ending, f.end = context.WithCancelCause(ctx)
	f.engine = newEngine(cfg, f.metrics, f.client, f, func() { f.checkStore(ctx) }, func() { f.probeOtherDomains(ctx) })
	err := f.listen()
	if err != nil {
		f.Close()
		return nil, err
	}
	seeds := f.otherSeeds()
	switch {
	case len(seeds) == 0:
	case cfg.Settings.FirstStart:
		f.source.WaitUntil(time.Now().Add(firstStartSeedWait))
	default:
		f.source.WaitForPeers(time.Now().Add(seedWait), seeds)
	}
	f.metrics.export(f)
	f.workers.Go(func() { f.follow(ctx, cfg.Layout.ConfigPrefix) })
	f.workers.Go(func() { f.follow(ctx, cfg.Layout.ServerPrefix) })
	if cfg.Settings.Bounds.evacuates() {
		f.workers.Go(func() { f.follow(ctx, cfg.Layout.EvacuationPrefix) })
	}
	f.workers.Go(func() { f.compareWithPeers(ctx) })
	f.workers.Go(func() { f.registerAndList(ctx) })
	f.workers.Go(func() { f.compareRecords(ctx) })
	f.workers.Go(func() { f.loadEvidence(ctx) })
	return f, nil
}

func (f *Forwarder) listen() error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/ready", f.serveReady)
	exported := http.NewServeMux()
	exported.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		f.metrics.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	calls := http.NewServeMux()
	calls.HandleFunc("POST "+tokensPath, f.serveTokens)
	calls.HandleFunc("POST "+quotasPath, f.serveQuotas)
	calls.HandleFunc("POST "+recordsPath, f.serveRecords)
	calls.HandleFunc("GET "+verdictsPath, f.serveVerdicts)
	calls.HandleFunc("POST "+verdictsPath, f.serveDecision)
	calls.Handle(exchangerconnect.NewControlHandler(control{f: f}, connector.HandlerOptions(nil)))
	settings := *f.settings.Load()
	addresses := &settings.Listen
	for _, side := range []struct {
		address *string
		handler http.Handler
		peers   bool
		most    int
	}{{&addresses.Readiness, mux, false, sideConnections}, {&addresses.Metrics, exported, false, sideConnections}, {&addresses.Control, f.serveControl(calls), true, 0}} {
		connections := listener.Connections{Max: side.most, Closed: f.refusals.connectionClosed}
		l, err := listener.New(listener.Config{Address: *side.address, Handler: side.handler, PeerFacing: side.peers, Heads: f.heads, Connections: connections})
		if err != nil {
			return err
		}
		f.listeners = append(f.listeners, l)
		*side.address = l.Address()
	}
	connections := listener.Connections{Max: f.machine.MaxConnections(), ReceiveBufferBytes: budgeter.ReceiveBufferBytes, Closed: f.refusals.connectionClosed}
	l, err := listener.New(listener.Config{Address: addresses.Callers, Handler: f, CallerFacing: true, Heads: f.heads, Connections: connections})
	if err != nil {
		return err
	}
	f.callers = l
	addresses.Callers = l.Address()
	f.settings.Store(&settings)
	return nil
}

// connect returns a client of the store at an address.
func (f *Forwarder) connect(address string) Store {
	return f.cfg.OpenStore(address, f.observeEra)
}

// Settings returns the settings in force, with the addresses that the listeners are
// bound to.
func (f *Forwarder) Settings() Settings {
	return *f.settings.Load()
}

// Reload puts changed settings in force without interrupting requests. Name,
// failure domain, capacity, link, memory, descriptors, bounds, quota, listeners and log keep their values until a restart.
func (f *Forwarder) Reload(next Settings) {
	held := f.Settings()
	next.Name, next.Domain, next.Listen, next.Log = held.Name, held.Domain, held.Listen, held.Log
	next.Capacity, next.Link, next.Memory, next.Descriptors, next.Bounds, next.Quota = held.Capacity, held.Link, held.Memory, held.Descriptors, held.Bounds, held.Quota
	f.settings.Store(&next)
	f.engine.push(policyChange{next.scatterer()})
	f.turns.reconfigure(next.Policy.sequencer(f.self()))
	old := f.store.Load()
	if old.address != next.Store {
		f.store.Store(&openStore{f.connect(next.Store), next.Store})
		// Calls in flight to the old address end on their own.
		old.Close()
	}
	f.cfg.Logger.Info(logger.SettingsReloaded, "store", next.Store, "seeds", len(next.Seeds),
		"extraRatio", next.Extra.Ratio, "extraBurst", next.Extra.Burst, "extraWindow", next.Extra.Window, "grace", next.Grace)
}

// Ready reports whether the host can serve: it has a configuration, a list of
// backend servers, the evacuations and the evidence against requests, is not stopping and not partitioned.
func (f *Forwarder) Ready() bool {
	select {
	case <-f.engine.listed:
		return f.table.Load() != nil && f.knowsEvacuations() && f.engine.servesRequests.Load() && !f.divertsCallers()
	default:
		return false
	}
}

// divertsCallers reports whether callers should use another host.
func (f *Forwarder) divertsCallers() bool {
	return f.stopping.Load() || f.engine.notReady.Load()
}

func (f *Forwarder) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !f.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// confirmedAt returns when the store last confirmed the configuration.
func (f *Forwarder) confirmedAt() time.Time {
	return time.Unix(0, f.configConfirmed.Load())
}

// allConfirmedAt returns the time up to which the store has confirmed the configuration, the
// backend servers and the evacuations, if any are followed; it is not after the Unix epoch if one
// of these was never confirmed.
func (f *Forwarder) allConfirmedAt() time.Time {
	at := min(f.configConfirmed.Load(), f.serversConfirmed.Load())
	if f.cfg.Settings.Bounds.evacuates() {
		at = min(at, f.evacuationsConfirmed.Load())
	}
	return time.Unix(0, at)
}

// Close stops everything immediately and waits until it has ended. Further calls
// do nothing.
func (f *Forwarder) Close() {
	f.closing.Do(f.close)
}

func (f *Forwarder) close() {
	f.cancel()
	f.workers.Wait()
	if f.callers != nil {
		_ = f.callers.Close()
	}
	for _, l := range f.listeners {
		_ = l.Close()
	}
	f.engine.close()
	f.turns.timer.Stop()
	f.checks.Wait()
	f.eras.close()
	f.client.close()
	f.delegate.close()
	f.tokens.close()
	f.quotas.close()
	f.store.Load().Close()
}
