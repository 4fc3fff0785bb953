package forwarder

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/sleeper"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/watcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// followCheckInterval is how often a host whose peers follow the store on its
// behalf checks whether they still do.
const followCheckInterval = 200 * time.Millisecond

// storeCheckTimeout limits one liveness check of the store. It is far above the
// store's typical latency, and also above its latency when the store is slow.
const storeCheckTimeout = 250 * time.Millisecond

// follow runs a watcher of one prefix until ctx is done. While peers follow the store
// on behalf of this host, the watcher is suspended.
func (f *Forwarder) follow(ctx context.Context, prefix string) {
	cfg := watcher.DefaultConfig()
	if prefix == f.cfg.Layout.ConfigPrefix {
		// A configuration changes seldom, and hosts that depend on this one wait for it.
		cfg.WatchDelay = 0
	}
	m := watcher.New(cfg)
	var next watcher.Event = &watcher.TimerFired{}
	for ctx.Err() == nil {
		if f.awaitsSeeds() {
			sleeper.Sleep(ctx, seedPollInterval)
			continue
		}
		if !f.followsStore() {
			sleeper.Sleep(ctx, f.followCheckDelay())
			continue
		}
		for _, action := range m.Step(time.Now(), next) {
			switch a := action.(type) {
			case *watcher.List:
				next = f.readStore(ctx, "list", func(ctx context.Context) (storer.Page, watcher.Event, error) {
					page, err := f.storeView(prefix, !a.First || f.contentOverdue()).List(ctx, prefix)
					return page, &watcher.Listed{Page: page, Err: err}, err
				})
			case *watcher.Watch:
				next = f.readStore(ctx, "watch", func(ctx context.Context) (storer.Page, watcher.Event, error) {
					page, err := f.storeView(prefix, false).Watch(ctx, prefix, a.After)
					return page, &watcher.Changed{Page: page, Err: err}, err
				})
			case *watcher.Wait:
				delay := a.Delay
				if a.Retry {
					delay = f.retryDelay(delay)
				}
				sleeper.Sleep(ctx, delay)
				next = &watcher.TimerFired{}
			case *watcher.Replace:
				f.applyList(prefix, a)
			case *watcher.Merge:
				f.recordConfirmation(prefix)
				f.merge(a.Page.Objects, origin{})
				f.objects.SetComplete(prefix, a.Page.Version)
			case *watcher.Lost:
				f.engine.push(storeState{reachable: f.lostPrefixes.Add(1) == 0})
				f.cfg.Logger.Warn(logger.StoreLost, "prefix", prefix, "error", a.Err)
			}
		}
	}
}

// followCheckDelay returns the time until this host checks again whether peers still follow the
// store on its behalf.
func (f *Forwarder) followCheckDelay() time.Duration {
	f.sourceMu.Lock()
	defer f.sourceMu.Unlock()
	return min(f.source.UntilFollowing(time.Now()), followCheckInterval)
}

// logUnreadable logs the objects of a page that can't be read; the others are used.
func (f *Forwarder) logUnreadable(page storer.Page) {
	for _, rejected := range page.Rejected {
		f.cfg.Logger.Warn(logger.RegistrationRejected, "revision", page.Version, "error", rejected)
	}
}

// readStore reads from the store and returns the resulting event, or Rewound if
// the store has been rewound in the meantime.
func (f *Forwarder) readStore(ctx context.Context, name string, read func(context.Context) (storer.Page, watcher.Event, error)) watcher.Event {
	ctx, cancel := f.eras.withinEra(ctx)
	defer cancel()
	page, event, err := read(ctx)
	f.metrics.storeCall(name, err)
	f.logUnreadable(page)
	if f.eras.isOutdated(ctx, page.Version.Era(), err) {
		return &watcher.Rewound{}
	}
	return event
}

// observeEra records an era reported by the store or a peer.
func (f *Forwarder) observeEra(era uint64) {
	if f.eras.observe(era) {
		f.metrics.rewinds.Inc()
		f.cfg.Logger.Warn(logger.StoreRewound, "era", era)
		f.engine.push(evidenceLost{})
	}
}

// storeView returns the view of the store to use for a prefix. The configuration
// is always read from the newest copy, as it has to be in force within seconds of
// the operator's write. Other prefixes may be read from a lagging copy, as a draining
// backend server goes on serving for about as long as a copy lags. Such a prefix is
// read from the newest copy only if linearizable is set: for a list that must show
// changes that this host missed, in an outage or rewind of the store, because its peers
// have stalled or because they are no longer in the store's history.
func (f *Forwarder) storeView(prefix string, linearizable bool) storer.Store {
	store := f.store.Load()
	if linearizable || prefix == f.cfg.Layout.ConfigPrefix {
		return store
	}
	return store.Serializable()
}

// retryDelay returns how long to wait after a failed call to the store.
func (f *Forwarder) retryDelay(d time.Duration) time.Duration {
	f.sourceMu.Lock()
	defer f.sourceMu.Unlock()
	return f.source.RetryDelay(d)
}

// checkStore checks whether the store is reachable, as a pending watch notices a
// network partition late. It reads the registration of this host until the store
// answers or a watcher has reported the store lost. It reports the first failure and
// a later answer to the engine. One check runs at a time.
func (f *Forwarder) checkStore(ctx context.Context) {
	if !f.checking.CompareAndSwap(false, true) {
		return
	}
	f.checks.Go(func() {
		defer f.checking.Store(false)
		for reported := false; ctx.Err() == nil && f.lostPrefixes.Load() == 0; reported = true {
			call, cancel := context.WithTimeout(ctx, storeCheckTimeout)
			_, err := f.store.Load().Get(call, f.cfg.Layout.HostPrefix+f.Settings().Name)
			cancel()
			f.metrics.storeCall("get", err)
			if err == nil || errors.Is(err, storer.ErrNotFound) {
				if reported {
					f.engine.push(storeState{reachable: true})
				}
				return
			}
			if !reported {
				f.cfg.Logger.Warn(logger.StoreLost, "prefix", f.cfg.Layout.HostPrefix, "error", err)
				f.engine.push(storeState{reachable: false})
			}
			sleeper.Sleep(ctx, storeCheckTimeout)
		}
	})
}

// applyList applies a complete list of the objects under a prefix.
func (f *Forwarder) applyList(prefix string, a *watcher.Replace) {
	if a.Outage > 0 {
		f.engine.push(storeState{reachable: f.lostPrefixes.Add(-1) == 0})
		f.cfg.Logger.Info(logger.StoreRegained, "prefix", prefix, "outageMillis", a.Outage.Milliseconds(), "revision", a.Page.Version)
	}
	if a.Rewound {
		f.cfg.Logger.Info(logger.StoreRelisted, "prefix", prefix, "revision", a.Page.Version, "objects", len(a.Page.Objects))
	}
	f.recordConfirmation(prefix)
	objects := slices.Concat(a.Page.Objects, f.objects.MissingFrom(prefix, a.Page))
	f.merge(objects, origin{complete: prefix == f.cfg.Layout.ServerPrefix, afterOutage: a.Outage > 0})
	f.objects.SetComplete(prefix, a.Page.Version)
}

// recordConfirmation records that the store has just returned the current state of
// a prefix.
func (f *Forwarder) recordConfirmation(prefix string) {
	switch prefix {
	case f.cfg.Layout.ConfigPrefix:
		advance(&f.configConfirmed, time.Now())
	case f.cfg.Layout.ServerPrefix:
		advance(&f.serversConfirmed, time.Now())
	}
}

func advance(held *atomic.Int64, at time.Time) {
	held.Store(max(held.Load(), at.UnixNano()))
}

// origin describes where objects come from.
type origin struct {
	// complete is true if the list of backend servers is complete.
	complete bool
	// afterOutage is true if removed registrations may merely have expired during an
	// outage of the store.
	afterOutage bool
}

// merge stores the objects that are newer than those held and applies them.
func (f *Forwarder) merge(objects []storer.Object, from origin) {
	f.apply(f.objects.Merge(objects), from)
}

// apply puts changed objects in force: the configuration, the registrations of
// backend servers and those of hosts.
func (f *Forwarder) apply(objects []storer.Object, from origin) {
	var registrations []lister.Registration
	hosts := false
	for _, object := range objects {
		switch {
		case object.Key == f.cfg.Layout.ConfigKey:
			f.applyConfig(object)
		case strings.HasPrefix(object.Key, f.cfg.Layout.ServerPrefix):
			registrations = append(registrations, f.decodeServer(object))
		case strings.HasPrefix(object.Key, f.cfg.Layout.HostPrefix):
			hosts = true
		}
	}
	if hosts {
		f.updateHosts()
	}
	if from.complete || len(registrations) > 0 {
		f.engine.push(&listing{registrations: registrations, origin: from})
	}
}

// decodeServer decodes the registration of a backend server. One that can't be
// decoded names no server.
func (f *Forwarder) decodeServer(object storer.Object) lister.Registration {
	registration, err := f.cfg.Documents.Server(object)
	if err != nil {
		f.cfg.Logger.Warn(logger.RegistrationRejected, "key", object.Key, "revision", object.Version, "error", err)
	}
	return registration
}

// applyConfig puts a configuration in force unless a newer one is. It compares the
// store's revisions and also the operators' version numbers, as revisions are not
// comparable over a rewind of the store. If an object has been deleted or yields no
// table, the previous configuration stays in force.
func (f *Forwarder) applyConfig(object storer.Object) {
	f.configMu.Lock()
	defer f.configMu.Unlock()
	held := f.table.Load()
	if object.Deleted || (held != nil && held.Revision() >= object.Version) {
		return
	}
	table, err := f.cfg.Documents.Table(object)
	if err != nil {
		f.cfg.Logger.Error(logger.RoutesRejected, "revision", object.Version, "error", err)
		if table == nil {
			return
		}
	}
	if held != nil && table.Version() < held.Version() {
		f.cfg.Logger.Warn(logger.RoutesRejected, "revision", object.Version, "version", table.Version(), "inForce", held.Version(),
			"error", "older than the configuration in force")
		return
	}
	f.table.Store(table)
	f.engine.push(tableChanged{table})
	f.metrics.version.Set(float64(table.Version()))
	f.metrics.organisations.Set(float64(table.OrganisationCount()))
	f.cfg.Logger.Info(logger.RoutesAdopted, "version", table.Version(), "revision", table.Revision(), "routes", table.RouteCount(),
		"organisations", table.OrganisationCount(), "keysRequired", table.HasOrganisations())
}
