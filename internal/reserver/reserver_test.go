package reserver

import (
	"sync"
	"testing"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/budgeter"
)

// TestTakingAndGivingConcurrently leaves nothing counted.
func TestTakingAndGivingConcurrently(t *testing.T) {
	is := is.New(t)
	a := New(budgeter.Machine{MemoryBytes: 64 << 20})
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 1000 {
				if a.Take(budgeter.Requests, 1<<20) {
					a.Give(budgeter.Requests, 1<<20)
				}
			}
		})
	}
	workers.Wait()
	is.Equal(a.Used(budgeter.Requests), int64(0))
	is.True(a.Take(budgeter.Requests, 1))
	var none *Account
	is.True(none.Take(budgeter.Requests, 1<<40))
}
