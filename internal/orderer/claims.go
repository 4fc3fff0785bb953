package orderer

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/claimer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/ticketer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// SubmitClaim runs an order under the caller's idempotency key. The claim, an object
// in the store, ensures that the order runs at most once across all entries.
func (e *Engine) SubmitClaim(ctx context.Context, key string, order Order) Result {
	document := e.Document()
	objectKey := claimKey(document.Service, key)
	result := Result{OrderID: objectKey}
	if !e.claims.Allow() {
		result.Result = ticketer.Result{Code: classifier.ClaimRateLimited, RetryAfter: retryAfter}
		return result
	}
	expires := time.Now().Add(document.Order.ClaimLife.Value())
	machine := claimer.New(uuid.NewString(), xxhash.Sum64(order.Body), expires)
	var event claimer.Event = &claimer.Started{}
	for {
		switch a := machine.Step(event).(type) {
		case *claimer.Put:
			event = e.putClaim(ctx, objectKey, a)
		case *claimer.Get:
			object, err := e.cfg.Store.Get(ctx, objectKey)
			event = &claimer.GetEnded{Object: object, Err: err}
		case *claimer.SendOrder:
			event = &claimer.OrderEnded{Result: e.admitAndSend(ctx, objectKey, order)}
		case *claimer.Finish:
			e.recordOutcome(objectKey, a)
			result.Result = a.Result
			return result
		}
	}
}

// claimKey returns the store key of a claim. The caller's key is hashed because
// it may contain any characters.
func claimKey(service, key string) string {
	return fmt.Sprintf("%s%s/%s", configurer.ClaimPrefix, service, uuid.NewSHA1(uuid.NameSpaceOID, []byte(key)))
}

func (e *Engine) putClaim(ctx context.Context, key string, a *claimer.Put) claimer.Event {
	object, err := e.putRecord(ctx, key, a.Record, a.Version)
	return &claimer.PutEnded{Object: object, Err: err}
}

func (e *Engine) putRecord(ctx context.Context, key string, record claimer.Record, version storer.Version) (storer.Object, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return storer.Object{}, err
	}
	return e.cfg.Store.Put(ctx, key, value, version)
}

// recordOutcome writes the outcome into the claim in the background, so that the
// caller doesn't wait for it. If the write fails, the claim stays held and a
// repeated submission gets the outcome "unknown".
func (e *Engine) recordOutcome(key string, a *claimer.Finish) {
	if a.Record == nil {
		return
	}
	e.workers.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(e.ctx), recordTimeout)
		defer cancel()
		_, _ = e.putRecord(ctx, key, *a.Record, a.Version)
	})
}
