package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/sleeper"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// memberInterval is how often the hosts are listed.
	memberInterval = 10 * time.Second
	// memberRetry is the delay after a failed call.
	memberRetry = 500 * time.Millisecond
	// unknownHosts is how many hosts are taken to share the extra attempts
	// before the store has named them; the largest deployment planned for a
	// site of today.
	unknownHosts = 16
)

// member is the entry of a host in the store.
type member struct {
	Domain   string  `json:"domain"`
	Control  string  `json:"control"`
	Capacity float64 `json:"capacity"`
}

// joinAndList writes the entry of this host, then lists the hosts now and then
// until the context ends; where others follow the store, the entries come with
// what they tell.
func (f *Forwarder) joinAndList(ctx context.Context) {
	joined := false
	for ctx.Err() == nil {
		err := f.listHosts(ctx, &joined)
		if err != nil {
			f.cfg.Logger.Warn(logger.MemberFailed, "joined", joined, "error", err)
			sleeper.Sleep(ctx, f.retryDelay(memberRetry))
			continue
		}
		sleeper.Sleep(ctx, memberInterval)
		for ctx.Err() == nil && !f.follows() {
			sleeper.Sleep(ctx, memberInterval)
		}
	}
}

func (f *Forwarder) listHosts(ctx context.Context, joined *bool) error {
	if !*joined {
		err := f.join(ctx)
		if err != nil {
			return err
		}
		*joined = true
	}
	page, err := f.store.Load().List(ctx, f.cfg.Layout.HostPrefix)
	f.metrics.storeCall("list", err)
	if err != nil {
		return err
	}
	f.take(slices.Concat(page.Objects, f.objects.Missing(f.cfg.Layout.HostPrefix, page)), source{})
	return nil
}

// hostsChanged puts the hosts in force that have an entry.
func (f *Forwarder) hostsChanged() {
	before, after := f.delegate.setHosts(f.readHosts)
	f.metrics.hosts.Set(float64(after))
	f.engine.push(hostCount{after})
	f.cfg.Logger.Info(logger.HostsChanged, "hosts", after, "before", before)
}

// join writes the entry of this host unless it is there as it should be.
func (f *Forwarder) join(ctx context.Context) error {
	key := f.cfg.Layout.HostPrefix + f.Settings().Name
	value, err := json.Marshal(member{Domain: f.Settings().Domain, Control: f.Settings().Listen.Control, Capacity: f.Settings().Capacity})
	if err != nil {
		return err
	}
	_, err = f.store.Load().Put(ctx, key, value, storer.Absent)
	f.metrics.storeCall("put", err)
	if !errors.Is(err, storer.ErrConflict) {
		return err
	}
	held, err := f.store.Load().Get(ctx, key)
	f.metrics.storeCall("get", err)
	if err != nil || string(held.Value) == string(value) {
		return err
	}
	_, err = f.store.Load().Put(ctx, key, value, held.Version)
	f.metrics.storeCall("put", err)
	return err
}
