package orderer

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/claimer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// claimKeyRanges is the number of key ranges that the claims are divided
	// into by the first two hexadecimal digits of the key's hash.
	claimKeyRanges = 256
	// cleanInterval is the mean time between two list calls to the store over
	// all entries together.
	cleanInterval = 500 * time.Millisecond
	cleanTimeout  = 5 * time.Second
)

// cleanLoop removes expired claims until the engine is closed. Each entry waits
// cleanInterval times the number of hosts, so that the load on the store doesn't
// depend on that number.
func (e *Engine) cleanLoop() {
	for {
		wait := cleanInterval * time.Duration(e.Document().Connections.Hosts)
		select {
		case <-time.After(wait):
			e.cleanKeyRange(rand.IntN(claimKeyRanges))
		case <-e.ctx.Done():
			return
		}
	}
}

// cleanKeyRange removes the expired claims of one key range. Each deletion counts
// against the rate limit of claims; at the limit the rest is left for a later call.
func (e *Engine) cleanKeyRange(keyRange int) {
	document := e.Document()
	if document.Order.Policy != configurer.PolicyClaim {
		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, cleanTimeout)
	defer cancel()
	page, err := e.cfg.Store.List(ctx, fmt.Sprintf("%s%s/%02x", configurer.ClaimPrefix, document.Service, keyRange))
	if err != nil {
		return
	}
	for _, object := range page.Objects {
		if !expired(object, time.Now()) {
			continue
		}
		if !e.claims.Allow() {
			return
		}
		// The version makes the delete fail if the claim has changed since the list.
		_ = e.cfg.Store.Delete(ctx, object.Key, object.Version)
	}
}

// expired reports whether a claim has expired. A record that can't be decoded
// counts as not expired.
func expired(object storer.Object, now time.Time) bool {
	var record claimer.Record
	err := json.Unmarshal(object.Value, &record)
	return err == nil && now.After(record.Expires)
}
