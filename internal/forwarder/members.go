package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/sleeper"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// hostListInterval is how often the hosts are listed.
	hostListInterval = 10 * time.Second
	// registrationSettleTime is the delay from the registration of this host until it
	// lists the hosts again. By then, hosts that the platform started simultaneously
	// have registered too.
	registrationSettleTime = 2 * time.Second
	// registrationRetryDelay is the delay before the next attempt to list or register
	// after a failed call to the store.
	registrationRetryDelay = 500 * time.Millisecond
	// assumedHosts is the number of hosts assumed to share the hedges and retries until
	// the store has listed them. It is the size of the largest deployment planned
	// for a present-day site.
	assumedHosts = 16
	// maxCapacity, in cores, and maxLink, in Mbit/s, bound what a host may state.
	maxCapacity = 1e4
	maxLink     = 1e7
)

// registration is the registration of a host in the store.
type registration struct {
	// Domain is the failure domain of the host, Control the address at which it serves
	// other hosts and Capacity its processor capacity in cores.
	Domain   string  `json:"domain"`
	Control  string  `json:"control"`
	Capacity float64 `json:"capacity"`
	// Link is the bandwidth of the host's link in Mbit/s.
	Link float64 `json:"link"`
	// Relays means that the host keeps to the limits that a relayed request states.
	Relays bool `json:"relays"`
}

// check returns why a registration can't be used, which may come from another writer.
func (r registration) check() error {
	switch {
	case r.Domain == "":
		return errNoDomain
	case !(r.Capacity > 0) || r.Capacity > maxCapacity:
		return fmt.Errorf("capacity is %v, must be above 0 and at most %v", r.Capacity, maxCapacity)
	case !(r.Link >= 0) || r.Link > maxLink:
		return fmt.Errorf("link is %v, must be 0 to %v", r.Link, maxLink)
	}
	return listener.CheckAddress(r.Control)
}

var errNoDomain = errors.New("failure domain is missing")

// registerAndList registers this host and then lists the hosts periodically until
// ctx is done. While peers follow the store on behalf of this host, it doesn't list but
// gets all registrations, including its own, from the peers. If its own registration
// has disappeared, it is written again.
func (f *Forwarder) registerAndList(ctx context.Context) {
	for ctx.Err() == nil && f.awaitsSeeds() {
		sleeper.Sleep(ctx, seedPollInterval)
	}
	registered, registeredEra := false, uint64(0)
	for ctx.Err() == nil {
		era, eraCtx := f.eras.current()
		var err error
		if f.followsStore() {
			err = f.listHosts(ctx, registered && era > f.objects.CompleteVersions()[f.cfg.Layout.HostPrefix].Era())
		}
		missing := !registered || f.registrationLost(registeredEra, era)
		if err == nil && missing {
			err = f.register(ctx, era)
		}
		if err != nil {
			f.cfg.Logger.Warn(logger.RegistrationFailed, "joined", registered, "error", err)
			sleeper.Sleep(ctx, f.retryDelay(registrationRetryDelay))
			continue
		}
		interval := hostListInterval
		if missing {
			registered, registeredEra = true, era
			interval = registrationSettleTime
		}
		f.waitInterval(ctx, eraCtx, interval)
	}
}

// waitInterval waits for the interval, or until eraCtx is canceled by a rewind of
// the store. In that case, if peers follow the store on behalf of this host, it
// gives them time to list again.
func (f *Forwarder) waitInterval(ctx, eraCtx context.Context, interval time.Duration) {
	until, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(eraCtx, cancel)
	defer stop()
	sleeper.Sleep(until, interval)
	if eraCtx.Err() != nil && !f.followsStore() {
		sleeper.Sleep(ctx, registrationSettleTime)
	}
}

// listHosts lists the hosts, from the newest copy of the store if linearizable is
// set; this shows which registrations were lost in a rewind.
func (f *Forwarder) listHosts(ctx context.Context, linearizable bool) error {
	prefix := f.cfg.Layout.HostPrefix
	page, err := f.storeView(prefix, linearizable).List(ctx, prefix)
	f.metrics.storeCall("list", err)
	if err != nil {
		return err
	}
	f.logUnreadable(page)
	f.merge(slices.Concat(page.Objects, f.objects.MissingFrom(prefix, page)), origin{})
	f.objects.SetComplete(prefix, page.Version)
	return nil
}

// registrationLost reports whether the registration of this host, written in
// registeredEra, may be missing in the store, whose era is now era.
func (f *Forwarder) registrationLost(registeredEra, era uint64) bool {
	newest, ok := f.objects.Newest(f.cfg.Layout.HostPrefix + f.Settings().Name)
	if ok && newest.Version.Era() == era {
		return newest.Deleted
	}
	return era > registeredEra || (ok && newest.Deleted)
}

// updateHosts replaces the hosts considered for delegation with the registered hosts.
func (f *Forwarder) updateHosts() {
	before, after := f.delegate.setHosts(f.readHosts)
	f.metrics.hosts.Set(float64(after))
	f.engine.push(hostCount{after})
	f.cfg.Logger.Info(logger.HostsChanged, "hosts", after, "before", before)
}

// register writes the registration of this host unless the objects held show that
// it is up to date in the store's current era.
func (f *Forwarder) register(ctx context.Context, era uint64) error {
	settings := f.Settings()
	key := f.cfg.Layout.HostPrefix + settings.Name
	own := registration{Domain: settings.Domain, Control: settings.Listen.Control, Capacity: settings.Capacity, Link: settings.Link, Relays: true}
	held, ok := f.objects.Get(key)
	if ok && own.equals(held) && held.Version.Era() == era {
		return nil
	}
	version := storer.Absent
	if ok {
		version = held.Version
	}
	written, err := f.writeRegistration(ctx, key, own, version)
	if errors.Is(err, storer.ErrConflict) {
		// The version held is outdated.
		written, err = f.rewriteRegistration(ctx, key, own)
	}
	if err != nil {
		return err
	}
	if f.followsStore() {
		f.merge([]storer.Object{written}, origin{})
	}
	return nil
}

// rewriteRegistration reads the registration from the store and writes it if it is
// missing or differs.
func (f *Forwarder) rewriteRegistration(ctx context.Context, key string, own registration) (storer.Object, error) {
	held, err := f.store.Load().Get(ctx, key)
	f.metrics.storeCall("get", err)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		return f.writeRegistration(ctx, key, own, storer.Absent)
	case err != nil || own.equals(held):
		return held, err
	}
	return f.writeRegistration(ctx, key, own, held.Version)
}

func (f *Forwarder) writeRegistration(ctx context.Context, key string, own registration, version storer.Version) (storer.Object, error) {
	value, err := json.Marshal(own)
	if err != nil {
		return storer.Object{}, err
	}
	written, err := f.store.Load().Put(ctx, key, value, version)
	f.metrics.storeCall("put", err)
	return written, err
}

// equals reports whether an object holds the same registration.
func (r registration) equals(object storer.Object) bool {
	var held registration
	err := json.Unmarshal(object.Value, &held)
	return err == nil && held == r
}
