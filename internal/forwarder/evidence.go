package forwarder

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/sleeper"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// evidenceRetryDelay is the delay after a failed read of the evidence.
	evidenceRetryDelay = 100 * time.Millisecond
	// peerEvidenceWait is how long a host waits for peers that know the evidence before it reads
	// it from the store itself.
	peerEvidenceWait = time.Second
	// evidenceTimeout limits a write of the evidence with the read that a conflict needs.
	evidenceTimeout = 2 * StoreCallTimeout
)

// savedEvidence is what a host keeps in the store of the requests under which it has seen servers
// end, so that it outlasts all hosts.
type savedEvidence struct {
	Records decoder.List[vetter.SavedRecord] `json:"records,omitzero"`
}

// evidenceWritten is the end of a write of the evidence.
type evidenceWritten struct{ err error }

// evidenceLost means that the store was restored from an older copy, which may lack evidence.
type evidenceLost struct{}

func (evidenceWritten) engineEvent() {}
func (evidenceLost) engineEvent()    {}

// stepEvidence handles the events that concern the evidence in the store.
func (e *engine) stepEvidence(now time.Time, item event) {
	switch item := item.(type) {
	case evidenceWritten:
		e.archive.Ended(now, item.err)
	case evidenceLost:
		e.archive.Changed()
	}
}

// saveEvidence writes the evidence of this host to the store if it has changed, beside the requests.
func (e *engine) saveEvidence(now time.Time) {
	e.servesRequests.Store(e.archive.Serves(now))
	if e.machine.Vetter().TakeUnsaved() {
		e.archive.Changed()
	}
	if !e.archive.Begin(now) {
		return
	}
	saved := e.machine.Vetter().Saved()
	e.exchanges.Go(func() {
		e.push(evidenceWritten{err: e.writeEvidence(e.ctx, saved)})
	})
}

func (f *Forwarder) evidenceKey() string {
	return f.cfg.Layout.EvidencePrefix + f.Settings().Name
}

// writeEvidence writes the evidence of this host. If the object isn't what this host has written
// last, it merges the object and returns an error, so that the union is written.
func (f *Forwarder) writeEvidence(ctx context.Context, saved []vetter.SavedRecord) error {
	version := storer.Version(f.evidenceVersion.Load())
	if version == storer.Absent && len(saved) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, evidenceTimeout)
	defer cancel()
	value, err := json.Marshal(savedEvidence{Records: decoder.NewList(saved)})
	if err != nil {
		return err
	}
	written, err := f.store.Load().Put(ctx, f.evidenceKey(), value, version)
	f.metrics.storeCall("put", err)
	if err == nil {
		f.evidenceVersion.Store(uint64(written.Version))
		return nil
	}
	f.cfg.Logger.Warn(logger.EvidenceUnsaved, "records", len(saved), "error", err)
	if errors.Is(err, storer.ErrConflict) {
		f.reloadOwnEvidence(ctx)
	}
	return err
}

// reloadOwnEvidence merges the object of this host after a conflict.
func (f *Forwarder) reloadOwnEvidence(ctx context.Context) {
	held, err := f.store.Load().Get(ctx, f.evidenceKey())
	f.metrics.storeCall("get", err)
	switch {
	case errors.Is(err, storer.ErrNotFound):
		f.evidenceVersion.Store(uint64(storer.Absent))
	case err != nil:
		f.cfg.Logger.Warn(logger.EvidenceUnread, "error", err)
	default:
		f.restoreEvidence(ctx, []storer.Object{held}, false)
	}
}

// loadEvidence reads the evidence of all hosts once this one has started, unless peers that know it
// send it sooner.
func (f *Forwarder) loadEvidence(ctx context.Context) {
	begun := time.Now()
	for ctx.Err() == nil && !f.engine.evidenceKnown.Load() {
		depends := f.awaitsSeeds() || !f.followsStore()
		if depends && time.Since(begun) < peerEvidenceWait {
			sleeper.Sleep(ctx, seedPollInterval)
			continue
		}
		page, err := f.store.Load().List(ctx, f.cfg.Layout.EvidencePrefix)
		f.metrics.storeCall("list", err)
		if err == nil {
			f.logUnreadable(page)
			f.restoreEvidence(ctx, page.Objects, true)
			return
		}
		f.cfg.Logger.Warn(logger.EvidenceUnread, "error", err)
		sleeper.Sleep(ctx, f.retryDelay(evidenceRetryDelay))
	}
}

// restoreEvidence merges objects with evidence; complete means that they are those of all hosts.
func (f *Forwarder) restoreEvidence(ctx context.Context, objects []storer.Object, complete bool) {
	_, err := callVetter(ctx, f.engine, func(now time.Time, v *vetter.Vetter) struct{} {
		for _, object := range objects {
			var saved savedEvidence
			err := json.Unmarshal(object.Value, &saved)
			if err != nil {
				f.cfg.Logger.Warn(logger.EvidenceUnread, "key", object.Key, "error", err)
				continue
			}
			own := object.Key == f.evidenceKey()
			if own {
				f.evidenceVersion.Store(uint64(object.Version))
			}
			for _, err := range v.Restore(now, saved.Records, own) {
				f.cfg.Logger.Warn(logger.RecordsRejected, "key", object.Key, "error", err)
			}
		}
		if complete {
			f.engine.knowEvidence()
		}
		return struct{}{}
	})
	if err != nil {
		f.cfg.Logger.Warn(logger.EvidenceUnread, "error", err)
	}
}

// knowEvidence records that this host knows the evidence of the store.
func (e *engine) knowEvidence() {
	e.archive.Loaded()
	e.evidenceKnown.Store(true)
	e.servesRequests.Store(true)
}
