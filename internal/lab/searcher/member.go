package searcher

import (
	"context"
	"encoding/json"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// registrationInterval is the time between two attempts to write the registration.
const registrationInterval = 200 * time.Millisecond

// Member is a running searcher that is registered on the platform.
type Member struct {
	cfg          Config
	server       *Server
	store        storer.Store
	registration messenger.Server
}

// Join starts a searcher and registers it on the platform.
func Join(ctx context.Context, cfg Config, store storer.Store) (*Member, error) {
	server, err := NewServer(cfg)
	if err != nil {
		return nil, err
	}
	m := &Member{cfg: cfg, server: server, store: store, registration: messenger.Server{
		ID: cfg.ID, Service: cfg.Service, Address: cfg.Address, Domain: cfg.Domain,
		State: messenger.ServerLive, Incarnation: server.Engine().Incarnation(),
		Slots: cfg.Slots, Holdings: cfg.Holdings,
	}}
	err = m.register(ctx)
	if err != nil {
		_ = server.Close()
		return nil, err
	}
	return m, nil
}

// register writes the registration of the searcher, and retries until it succeeds or the
// context ends.
func (m *Member) register(ctx context.Context) error {
	value, err := json.Marshal(m.registration)
	if err != nil {
		return err
	}
	key := configurer.ServerPrefix + m.cfg.Service + "/" + m.cfg.ID
	for {
		err = m.writeOnce(ctx, key, value)
		if err == nil || ctx.Err() != nil {
			return err
		}
		select {
		case <-time.After(registrationInterval):
		case <-ctx.Done():
		}
	}
}

// writeOnce writes an object over its current version without retries.
func (m *Member) writeOnce(ctx context.Context, key string, value []byte) error {
	version := storer.Absent
	current, err := m.store.Get(ctx, key)
	if err == nil {
		version = current.Version
	}
	_, err = m.store.Put(ctx, key, value, version)
	return err
}

// Drain sets the searcher to draining, in its own status and in its registration, serves
// for the notice time, waits for requests in flight and closes.
func (m *Member) Drain(ctx context.Context, notice time.Duration) error {
	m.server.Engine().SetBehaviour(Behaviour{Draining: true})
	m.registration = m.registration.WithState(messenger.ServerDraining)
	registered := make(chan struct{})
	registerCtx, cancel := context.WithTimeout(ctx, notice)
	defer cancel()
	go func() {
		defer close(registered)
		// An error is ignored: the platform's store lags and may be unreachable. The
		// searcher's own status, from which entries also learn of the draining, is
		// what counts.
		_ = m.register(registerCtx)
	}()
	time.Sleep(notice)
	<-registered
	return m.server.Shutdown(ctx)
}
