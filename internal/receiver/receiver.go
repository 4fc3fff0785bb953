package receiver

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rhubarbpost/rhubarbpost/internal/follower"
	"github.com/rhubarbpost/rhubarbpost/internal/loader"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/internal/sleeper"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/connector"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/signer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// ticketPollInterval is the interval between checks for open tickets during a
// stop.
const ticketPollInterval = 20 * time.Millisecond

// Config holds the settings and dependencies of an entry.
type Config struct {
	Settings loader.Settings
	Store    storer.Store
	Logger   *logger.Logger
}

// Receiver is a running entry.
type Receiver struct {
	exchangerconnect.UnimplementedOrdersHandler
	exchangerconnect.UnimplementedShardsHandler

	cfg Config
	log *logger.Logger
	// incarnation identifies this run of the process: its start in Unix nanoseconds.
	incarnation uint64
	signer      *signer.Signer
	metrics     *metrics.Set
	client      *http.Client
	// callers accepts the requests of callers, control those of other entries.
	callers  *listener.Listener
	control  *listener.Listener
	follower *follower.Follower
	homes    *homeClients
	stopping atomic.Bool
	// readyOnce logs ProcessReady when the first configuration is applied.
	readyOnce sync.Once

	mu       sync.RWMutex
	services map[string]service
}

// New opens the listeners of an entry and starts to receive the configuration and the
// lists of backend servers from an agent, the process that reads them from the store.
func New(cfg Config) (*Receiver, error) {
	settings := cfg.Settings
	r := &Receiver{
		cfg:         cfg,
		log:         cfg.Logger,
		incarnation: uint64(time.Now().UnixNano()),
		signer:      signer.New(settings.Keys),
		metrics:     metrics.NewSet(),
		client:      connector.NewClient(),
		services:    make(map[string]service),
	}
	r.homes = newHomeClients(r.client, settings.Keys)
	r.registerGauges()
	r.follower = follower.New(follower.Config{
		Host: settings.Name, Agents: settings.AgentAddresses(), Keys: settings.Keys,
		Client: r.client, Apply: r.apply, Logger: cfg.Logger,
	})
	err := r.listen()
	if err != nil {
		return nil, err
	}
	r.follower.Start()
	return r, nil
}

func (r *Receiver) listen() error {
	callers, err := listener.New(listener.Config{Address: r.cfg.Settings.Listen, Handler: r.handler()})
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	options := connector.HandlerOptions(r.cfg.Settings.Keys)
	mux.Handle(exchangerconnect.NewOrdersHandler(r, options))
	mux.Handle(exchangerconnect.NewShardsHandler(r, options))
	control, err := listener.New(listener.Config{Address: r.cfg.Settings.Control, Handler: mux})
	if err != nil {
		_ = callers.Close()
		return err
	}
	r.callers, r.control = callers, control
	return nil
}

func (r *Receiver) registerGauges() {
	r.metrics.NewGauge("rhubarbpost_in_flight", func() float64 { return float64(r.callers.InFlight()) })
	r.metrics.NewGauge("rhubarbpost_open_tickets", func() float64 { return float64(r.openTickets()) })
}

// Address returns the address for callers.
func (r *Receiver) Address() string {
	return r.callers.Address()
}

// Ready reports whether the entry accepts requests: it has received the full state of
// an agent, runs at least one service and is not stopping.
func (r *Receiver) Ready() bool {
	return !r.stopping.Load() && r.follower.Synced() && len(r.serviceList()) > 0
}

func (r *Receiver) serviceList() []service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	list := make([]service, 0, len(r.services))
	for _, s := range r.services {
		list = append(list, s)
	}
	return list
}

func (r *Receiver) service(name string) service {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.services[name]
}

func (r *Receiver) openTickets() int {
	open := 0
	for _, s := range r.serviceList() {
		orders, ok := s.(*orderService)
		if ok {
			open += orders.engine.OpenTickets()
		}
	}
	return open
}

// Stop shuts the entry down gracefully: it reports not ready, keeps serving for
// the notice time, then waits for requests in flight and open tickets. If the drain
// limit or the context ends first, it aborts the rest and the error states how many.
func (r *Receiver) Stop(ctx context.Context) error {
	r.log.Info(logger.StopBegun)
	r.stopping.Store(true)
	r.callers.Drain()
	notice, limit := r.drainTimes()
	ctx, cancel := context.WithTimeout(ctx, notice+limit)
	defer cancel()
	sleeper.Sleep(ctx, notice)
	err := r.callers.Shutdown(ctx)
	for err == nil && r.openTickets() > 0 && ctx.Err() == nil {
		sleeper.Sleep(ctx, ticketPollInterval)
	}
	err = errors.Join(err, r.control.Shutdown(ctx))
	if err != nil {
		r.log.Warn(logger.StopForced, "error", err)
	}
	aborted := r.callers.InFlight() + r.control.InFlight() + r.openTickets()
	r.Close()
	if aborted > 0 {
		r.log.Error(logger.StopForced, "cutOff", aborted)
		return fmt.Errorf("stop aborted %d requests in flight or open tickets", aborted)
	}
	r.log.Info(logger.StopEnded)
	return nil
}

// drainTimes returns the maximum notice time and drain limit over all services.
func (r *Receiver) drainTimes() (notice, limit time.Duration) {
	for _, s := range r.serviceList() {
		drain := s.document().Drain
		notice = max(notice, drain.Notice.Value())
		limit = max(limit, drain.Limit.Value())
	}
	return notice, limit
}

// Close aborts all work immediately and waits until it has ended.
func (r *Receiver) Close() {
	_ = r.callers.Close()
	_ = r.control.Close()
	r.follower.Close()
	for _, s := range r.serviceList() {
		s.close()
	}
	r.client.CloseIdleConnections()
}
