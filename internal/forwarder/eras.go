package forwarder

import (
	"context"
	"errors"
	"sync"
)

// errRewound cancels calls to the store that began before its last rewind.
var errRewound = errors.New("the store was rewound to an older copy")

// eras tracks the store's era, a counter that rises each time the store is
// restored from an older copy (a rewind).
type eras struct {
	mu sync.Mutex
	// known is true once an era has been observed.
	known  bool
	newest uint64
	// ctx is canceled at the next rewind, by cancel.
	ctx    context.Context
	cancel context.CancelCauseFunc
}

func newEras() *eras {
	e := &eras{}
	e.ctx, e.cancel = context.WithCancelCause(context.Background())
	return e
}

// observe records an era reported by the store or a peer. It returns true if the
// store has been rewound since the last known era.
func (e *eras) observe(era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.known && era <= e.newest {
		return false
	}
	rewound := e.known
	e.known, e.newest = true, era
	if rewound {
		e.cancel(errRewound)
		e.ctx, e.cancel = context.WithCancelCause(context.Background())
	}
	return rewound
}

// current returns the newest era and a context that is canceled when that era
// ends.
func (e *eras) current() (uint64, context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest, e.ctx
}

// withinEra returns a context for a call that is also canceled when the current
// era ends.
func (e *eras) withinEra(ctx context.Context) (context.Context, context.CancelFunc) {
	_, era := e.current()
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(era, func() { cancel(errRewound) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// isOutdated reports whether the result of a call is from before the newest era. ctx
// is the context of the call, made by withinEra; era is the era of the answer and is
// ignored if the call failed with err.
func (e *eras) isOutdated(ctx context.Context, era uint64, err error) bool {
	if err != nil {
		return errors.Is(context.Cause(ctx), errRewound)
	}
	newest, _ := e.current()
	return era < newest
}

// close cancels the contexts of all calls.
func (e *eras) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancel(context.Canceled)
}
