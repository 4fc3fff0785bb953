package forwarder

import (
	"context"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/watcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// follow runs a watcher of one prefix until the context ends.
func (f *Forwarder) follow(ctx context.Context, prefix string, take func(page storer.Page, whole bool, outage time.Duration)) {
	m := watcher.New(watcher.DefaultConfig())
	var next watcher.Event = &watcher.Woken{}
	for ctx.Err() == nil {
		now := time.Now()
		for _, action := range m.Step(now, next) {
			switch a := action.(type) {
			case *watcher.List:
				page, err := f.cfg.Store.List(ctx, prefix)
				f.metrics.storeCall("list", err)
				next = &watcher.Listed{Page: page, Err: err}
			case *watcher.Watch:
				page, err := f.cfg.Store.Watch(ctx, prefix, a.After)
				f.metrics.storeCall("watch", err)
				next = &watcher.Changed{Page: page, Err: err}
			case *watcher.Wait:
				sleep(ctx, a.Delay)
				next = &watcher.Woken{}
			case *watcher.Replace:
				if a.Outage > 0 {
					f.cfg.Logger.Info(logger.StoreRegained, "prefix", prefix, "outageMillis", a.Outage.Milliseconds(),
						"revision", a.Page.Version)
				}
				take(a.Page, true, a.Outage)
			case *watcher.Merge:
				take(a.Page, false, 0)
			case *watcher.Lost:
				f.cfg.Logger.Warn(logger.StoreLost, "prefix", prefix, "error", a.Err)
			}
		}
	}
}

// sleep waits until the context ends at the latest.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// takeConfig adopts the newest configuration of a page; an older one is ignored.
func (f *Forwarder) takeConfig(page storer.Page, _ bool, _ time.Duration) {
	f.confirmed.Store(time.Now().UnixNano())
	for _, object := range page.Objects {
		if object.Key == f.cfg.Layout.ConfigKey && !object.Deleted {
			f.adopt(object)
		}
	}
}

func (f *Forwarder) adopt(object storer.Object) {
	f.adopting.Lock()
	defer f.adopting.Unlock()
	held := f.table.Load()
	if held != nil && held.Revision() >= object.Version {
		return
	}
	table, err := f.cfg.Documents.Table(object)
	if err != nil {
		f.cfg.Logger.Error(logger.RoutesRejected, "revision", object.Version, "error", err)
		if table == nil || table.Len() == 0 {
			return
		}
	}
	f.table.Store(table)
	f.metrics.version.Set(float64(table.Version()))
	f.cfg.Logger.Info(logger.RoutesAdopted, "version", table.Version(), "revision", table.Revision(), "routes", table.Len())
}

// takeServers hands a page of the list of backend servers to the engine.
func (f *Forwarder) takeServers(page storer.Page, whole bool, outage time.Duration) {
	entries := make([]lister.Entry, 0, len(page.Objects))
	for _, object := range page.Objects {
		entry, err := f.cfg.Documents.Server(object)
		if err != nil {
			f.cfg.Logger.Warn(logger.EntryRejected, "key", object.Key, "revision", object.Version, "error", err)
		}
		entries = append(entries, entry)
	}
	if whole || len(entries) > 0 {
		f.engine.push(&listing{entries: entries, whole: whole, revision: page.Version, outage: outage})
	}
}
