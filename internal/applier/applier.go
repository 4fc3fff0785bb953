package applier

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/publisher"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// Applier writes and reads configuration in a store.
type Applier struct {
	store storer.Store
}

// New returns an applier on a store.
func New(store storer.Store) *Applier {
	return &Applier{store: store}
}

// Request is a change requested by an operator.
type Request struct {
	Document configurer.Document
	Author   string
	Reason   string
	// Base is the revision that the change is based on; the change conflicts if another
	// revision is in force, unless Base is publisher.AnyRevision.
	Base uint64
}

// Result holds the accepted revision, or the one in force if nothing changed.
type Result struct {
	Changed  bool
	Envelope configurer.Envelope
}

// ConflictError reports that another change was accepted first.
type ConflictError struct {
	InForce configurer.Envelope
	// Changes are the fields in which the rejected document differs from InForce.
	Changes []configurer.FieldChange
}

// Error names the author of the revision that was accepted first.
func (e *ConflictError) Error() string {
	return "revision by " + e.InForce.Author + " was accepted first"
}

// Apply writes a change. Errors contain a *classifier.Failure, which wraps a
// *ConflictError if another change was accepted first.
func (a *Applier) Apply(ctx context.Context, request Request) (Result, error) {
	machine := publisher.New(publisher.Change{
		ChangeID: uuid.NewString(), Author: request.Author, Reason: request.Reason,
		Time: time.Now().UTC().Format(time.RFC3339), Document: request.Document, Base: request.Base,
	})
	var event publisher.Event = &publisher.Started{}
	for {
		switch action := machine.Step(event).(type) {
		case *publisher.Get:
			object, err := a.store.Get(ctx, action.Key)
			event = &publisher.GetEnded{Object: object, Err: err}
		case *publisher.Put:
			object, err := a.store.Put(ctx, action.Key, action.Value, action.Version)
			event = &publisher.PutEnded{Object: object, Err: err}
		case *publisher.Finish:
			return resultOf(action, request)
		}
	}
}

func resultOf(action *publisher.Finish, request Request) (Result, error) {
	if action.Code == classifier.OK {
		return Result{Changed: action.Changed, Envelope: action.Envelope}, nil
	}
	failure := classifier.NewFailure(action.Code, "service %s", request.Document.Service)
	if action.Code != classifier.ConfigConflict {
		return Result{}, failure
	}
	conflict := &ConflictError{InForce: action.Envelope}
	inForce, err := DocumentOf(action.Envelope)
	if err == nil {
		conflict.Changes = configurer.Diff(inForce, request.Document)
	}
	return Result{}, failure.WithCause(conflict)
}

// DocumentOf returns the document of a revision; it is empty for revision 0,
// which stands for a service without configuration.
func DocumentOf(envelope configurer.Envelope) (configurer.Document, error) {
	if envelope.Revision == 0 {
		return configurer.Document{}, nil
	}
	return configurer.ParseOne("stored", envelope.Document)
}

// Current returns the revision of a service in force; without one, it fails with
// code ConfigNotFound.
func (a *Applier) Current(ctx context.Context, service string) (configurer.Envelope, error) {
	return a.readEnvelope(ctx, configurer.ConfigPrefix+service)
}

// Revision returns one revision of a service, past or in force.
func (a *Applier) Revision(ctx context.Context, service string, revision uint64) (configurer.Envelope, error) {
	current, err := a.Current(ctx, service)
	if err != nil || current.Revision == revision {
		return current, err
	}
	return a.readEnvelope(ctx, publisher.HistoryKey(service, revision))
}

func (a *Applier) readEnvelope(ctx context.Context, key string) (configurer.Envelope, error) {
	object, err := a.store.Get(ctx, key)
	if errors.Is(err, storer.ErrNotFound) {
		return configurer.Envelope{}, classifier.NewFailure(classifier.ConfigNotFound, "%s", key)
	}
	if err != nil {
		return configurer.Envelope{}, classifier.NewFailure(classifier.ConfigUnreachable, "").WithCause(err)
	}
	return decodeEnvelope(object)
}

func decodeEnvelope(object storer.Object) (configurer.Envelope, error) {
	var envelope configurer.Envelope
	err := json.Unmarshal(object.Value, &envelope)
	if err != nil {
		return envelope, classifier.NewFailure(classifier.ConfigInvalid, "%s", object.Key).WithCause(err)
	}
	return envelope, nil
}

// List returns the revision in force of each service.
func (a *Applier) List(ctx context.Context) ([]configurer.Envelope, error) {
	return a.listEnvelopes(ctx, configurer.ConfigPrefix)
}

func (a *Applier) listEnvelopes(ctx context.Context, prefix string) ([]configurer.Envelope, error) {
	page, err := a.store.List(ctx, prefix)
	if err != nil {
		return nil, classifier.NewFailure(classifier.ConfigUnreachable, "").WithCause(err)
	}
	slices.SortFunc(page.Objects, func(x, y storer.Object) int { return strings.Compare(x.Key, y.Key) })
	list := make([]configurer.Envelope, 0, len(page.Objects))
	for _, object := range page.Objects {
		envelope, err := decodeEnvelope(object)
		if err != nil {
			return nil, err
		}
		list = append(list, envelope)
	}
	return list, nil
}

// History returns all revisions of a service, the newest first.
func (a *Applier) History(ctx context.Context, service string) ([]configurer.Envelope, error) {
	current, err := a.Current(ctx, service)
	if err != nil {
		return nil, err
	}
	past, err := a.listEnvelopes(ctx, configurer.HistoryPrefix+service+"/")
	if err != nil {
		return nil, err
	}
	list := []configurer.Envelope{current}
	for _, envelope := range slices.Backward(past) {
		if envelope.Revision < current.Revision {
			list = append(list, envelope)
		}
	}
	return list, nil
}
