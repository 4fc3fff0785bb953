package forwarder

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// TestSharesAreNeverExceeded takes shares from many goroutines, some of which give up.
func TestSharesAreNeverExceeded(t *testing.T) {
	is := is.New(t)
	s := newShares(10)
	var taken atomic.Int64
	var group sync.WaitGroup
	canceled, cancel := context.WithCancel(t.Context())
	cancel()
	for i := range 200 {
		group.Go(func() {
			ctx, amount := t.Context(), int64(1+i%7)
			if i%3 == 0 {
				ctx = canceled
			}
			if !s.take(ctx, amount) {
				return
			}
			is.True(taken.Add(amount) <= 10)
			taken.Add(-amount)
			s.give(amount)
		})
	}
	group.Wait()
	is.Equal(s.left, int64(10))
	is.Equal(len(s.waiting), 0)
}
