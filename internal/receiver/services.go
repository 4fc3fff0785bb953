package receiver

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/orderer"
	"github.com/rhubarbpost/rhubarbpost/internal/querier"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/dialer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/cacher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// service is a running service: a *queryService or an *orderService.
type service interface {
	document() configurer.Document
	revision() uint64
	setServers(servers []messenger.Server)
	close()
}

// activeRevision is the revision of the document that a service runs under.
type activeRevision struct {
	envelope configurer.Envelope
	doc      configurer.Document
}

// serviceBase holds the active revision and the dialer of either kind of service.
type serviceBase struct {
	current atomic.Pointer[activeRevision]
	backend atomic.Pointer[dialer.Dialer]
}

func (b *serviceBase) document() configurer.Document { return b.current.Load().doc }

func (b *serviceBase) revision() uint64 { return b.current.Load().envelope.Revision }

// activate stores a revision and replaces the dialer if its settings have changed.
func (b *serviceBase) activate(next *activeRevision) {
	previous := b.current.Swap(next)
	if previous != nil && previous.doc.Carrier == next.doc.Carrier && previous.doc.Connections == next.doc.Connections {
		return
	}
	old := b.backend.Swap(dialer.New(dialer.Config{
		Carrier: next.doc.Carrier, MaxConns: next.doc.Connections.Quota(),
	}))
	if old != nil {
		old.Close()
	}
}

// Search sends a sub-query over the current dialer.
func (b *serviceBase) Search(ctx context.Context, server messenger.Server, q *messenger.SubQuery) (*messenger.SubAnswer, error) {
	return b.backend.Load().Search(ctx, server, q)
}

// Order sends an order over the current dialer.
func (b *serviceBase) Order(ctx context.Context, server messenger.Server, order *messenger.ServerOrder) (*messenger.ServerOrderAnswer, error) {
	return b.backend.Load().Order(ctx, server, order)
}

// Probe requests the status of a server over the current dialer.
func (b *serviceBase) Probe(ctx context.Context, server messenger.Server) (messenger.ServerStatus, error) {
	return b.backend.Load().Probe(ctx, server)
}

type queryService struct {
	serviceBase

	engine *querier.Engine
}

func (s *queryService) setServers(servers []messenger.Server) { s.engine.SetServers(servers) }

func (s *queryService) close() {
	s.engine.Close()
	s.backend.Load().Close()
}

type orderService struct {
	serviceBase

	engine *orderer.Engine
}

func (s *orderService) setServers(servers []messenger.Server) { s.engine.SetServers(servers) }

func (s *orderService) close() {
	s.engine.Close()
	s.backend.Load().Close()
}

// apply applies changed objects from the store: documents of services and lists
// of backend servers. It runs on the follower's goroutine.
func (r *Receiver) apply(cache *cacher.Cache, changed []storer.Object) {
	services := make(map[string]bool)
	configured := false
	for _, object := range changed {
		name, ok := strings.CutPrefix(object.Key, configurer.ConfigPrefix)
		if ok {
			configured = true
			services[name] = true
			r.configure(name, object)
			continue
		}
		rest, ok := strings.CutPrefix(object.Key, configurer.ServerPrefix)
		name, _, found := strings.Cut(rest, "/")
		if ok && found {
			services[name] = true
		}
	}
	for name := range services {
		s := r.service(name)
		if s != nil {
			s.setServers(r.serversOf(cache, name))
		}
	}
	if configured {
		r.follower.Acknowledge(r.revisions())
		r.readyOnce.Do(func() { r.log.Info(logger.ProcessReady) })
	}
}

func (r *Receiver) revisions() map[string]uint64 {
	revisions := make(map[string]uint64)
	for _, s := range r.serviceList() {
		revisions[s.document().Service] = s.revision()
	}
	return revisions
}

func (r *Receiver) serversOf(cache *cacher.Cache, name string) []messenger.Server {
	var servers []messenger.Server
	for _, object := range cache.List(configurer.ServerPrefix + name + "/") {
		var server messenger.Server
		if object.Deleted {
			continue
		}
		err := json.Unmarshal(object.Value, &server)
		if err != nil || server.Service != name {
			r.log.Warn(logger.ServiceRejected, "key", object.Key, "error", err)
			continue
		}
		servers = append(servers, server)
	}
	return slices.Clip(servers)
}

// configure applies the newest object of a service's document. A deleted object stops
// the service. An invalid document is logged and the previous revision stays active;
// a revision that isn't newer than the active one is ignored.
func (r *Receiver) configure(name string, object storer.Object) {
	if object.Deleted {
		r.remove(name)
		return
	}
	next, err := parseRevision(object)
	if err != nil || next.doc.Service != name {
		r.log.Error(logger.ServiceRejected, "service", name, "error", err)
		return
	}
	existing := r.service(name)
	if existing != nil && existing.document().Kind != next.doc.Kind {
		r.remove(name)
		existing = nil
	}
	if existing != nil && existing.revision() >= next.envelope.Revision {
		return
	}
	r.install(name, existing, next)
	r.log.Info(logger.ServiceApplied, "service", name, "revision", next.envelope.Revision)
}

func parseRevision(object storer.Object) (*activeRevision, error) {
	var next activeRevision
	err := json.Unmarshal(object.Value, &next.envelope)
	if err != nil {
		return nil, err
	}
	next.doc, err = configurer.ParseOne(object.Key, next.envelope.Document)
	return &next, err
}

// install updates a running service, or starts it if it isn't running.
func (r *Receiver) install(name string, existing service, next *activeRevision) {
	switch s := existing.(type) {
	case *queryService:
		s.activate(next)
		s.engine.Reconfigure(next.doc)
	case *orderService:
		s.activate(next)
		s.engine.Reconfigure(next.doc)
	default:
		started := r.start(next)
		r.mu.Lock()
		r.services[name] = started
		r.mu.Unlock()
	}
}

func (r *Receiver) start(next *activeRevision) service {
	if next.doc.Kind == configurer.KindQuery {
		s := &queryService{}
		s.activate(next)
		s.engine = querier.New(querier.Config{
			Document: next.doc, Backend: s, Seed: r.incarnation,
			Counters: querier.NewCounters(r.metrics, next.doc.Service),
			Peers:    newPeers(next.doc.Service, r.cfg.Settings, r.client),
		})
		return s
	}
	s := &orderService{}
	s.activate(next)
	s.engine = orderer.New(orderer.Config{
		Document: next.doc, Backend: s, Store: r.cfg.Store,
		Home: r.cfg.Settings.Control, Incarnation: r.incarnation,
	})
	return s
}

func (r *Receiver) remove(name string) {
	r.mu.Lock()
	s := r.services[name]
	delete(r.services, name)
	r.mu.Unlock()
	if s != nil {
		s.close()
	}
}
