package controller

import (
	"context"
	"fmt"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// setWatching starts or stops the watches on the store.
func (c *Controller) setWatching(on bool) {
	c.watching.Store(on)
	if !on {
		c.cfg.Logger.Info(logger.WatchEnded)
		c.stopWatch()
		return
	}
	c.cfg.Logger.Info(logger.WatchBegun)
	ctx, cancel := context.WithCancel(c.ctx)
	c.stopWatch = cancel
	for _, prefix := range gossipPrefixes {
		c.workers.Go(func() { c.watch(ctx, prefix) })
	}
}

// watch keeps a watch on a prefix, starting it again after failures, until the context ends.
func (c *Controller) watch(ctx context.Context, prefix string) {
	for ctx.Err() == nil {
		err := c.listAndWatch(ctx, prefix)
		if ctx.Err() != nil {
			return
		}
		c.cfg.Logger.Warn(logger.WatchFailed, "prefix", prefix, "error", err)
		select {
		case <-time.After(watchRetryDelay):
		case <-ctx.Done():
		}
	}
}

func (c *Controller) listAndWatch(ctx context.Context, prefix string) error {
	page, err := c.cfg.Store.List(ctx, prefix)
	if err != nil {
		return err
	}
	c.logRejected(prefix, page)
	c.merge(append(page.Objects, c.cache.MissingFrom(prefix, page)...))
	c.cache.SetComplete(prefix, page.Version)
	after := page.Version
	for {
		page, err = c.cfg.Store.Watch(ctx, prefix, after)
		if err != nil {
			return err
		}
		if page.Version.Era() != after.Era() {
			// The era counts how often the store was restored from an older
			// copy. Changes since the copy are lost, so the prefix is listed again.
			return fmt.Errorf("watch from version %v: the store was restored from an older copy and is at %v", after, page.Version)
		}
		c.logRejected(prefix, page)
		c.merge(page.Objects)
		c.cache.SetComplete(prefix, page.Version)
		after = max(after, page.Version)
	}
}

// logRejected logs the objects of a page that can't be read; the others are used.
func (c *Controller) logRejected(prefix string, page storer.Page) {
	for _, rejected := range page.Rejected {
		c.cfg.Logger.Warn(logger.RegistrationRejected, "prefix", prefix, "error", rejected)
	}
}
