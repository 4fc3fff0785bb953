package forwarder

import (
	"bytes"
	"errors"
	"io"
	"runtime"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"
)

// TestBodiesAreReadCompletely reads bodies of sizes around the buffer limits, with
// and without a stated length.
func TestBodiesAreReadCompletely(t *testing.T) {
	is := is.New(t)
	b := &bodyReader{}
	for _, n := range []int{0, 1, initialBodyBuffer, initialBodyBuffer + 1, unbudgetedBodyBytes, unbudgetedBodyBytes + 1, maxBodyBytes} {
		want := bytes.Repeat([]byte{'x'}, n)
		for _, length := range []int64{-1, int64(n)} {
			got, err := b.read(bytes.NewReader(want), length, maxBodyBytes)
			is.NoErr(err)
			is.True(bytes.Equal(got, want))
		}
	}
	is.Equal(b.reserved.Load(), int64(0))
	_, err := b.read(bytes.NewReader(make([]byte, 101)), -1, 100)
	is.True(errors.Is(err, errBodyTooLarge))
	_, err = b.read(io.MultiReader(bytes.NewReader(make([]byte, 2*unbudgetedBodyBytes)), iotest.ErrReader(io.ErrUnexpectedEOF)), -1, maxBodyBytes)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(b.reserved.Load(), int64(0))
}

// stalled is a reader that returns left bytes, signals reached and blocks until
// release.
type stalled struct {
	left    int
	reached chan<- struct{}
	release <-chan struct{}
}

func (s *stalled) Read(p []byte) (int, error) {
	if s.left == 0 {
		s.reached <- struct{}{}
		<-s.release
		return 0, io.EOF
	}
	n := min(len(p), s.left)
	s.left -= n
	return n, nil
}

// TestLargeBodiesShareTheirMemory reads 8 MB bodies concurrently until their
// memory budget is exhausted, and checks that bodies of a typical size are still
// read.
func TestLargeBodiesShareTheirMemory(t *testing.T) {
	is := is.New(t)
	b := &bodyReader{}
	reached, release, read := make(chan struct{}), make(chan struct{}), make(chan error)
	const parallel = 6
	for range parallel {
		go func() {
			_, err := b.read(&stalled{left: maxBodyBytes/2 + 1, reached: reached, release: release}, -1, maxBodyBytes)
			read <- err
		}()
	}
	full, waiting := 0, 0
	for full+waiting < parallel {
		select {
		case <-reached:
			waiting++
		case err := <-read:
			is.True(errors.Is(err, errBodyBudgetExhausted))
			full++
		}
	}
	is.True(waiting >= 1 && full >= 1)
	is.True(b.reserved.Load() <= largeBodyBudget)
	_, err := b.read(bytes.NewReader(make([]byte, unbudgetedBodyBytes-1)), -1, maxBodyBytes)
	is.NoErr(err)
	close(release)
	for range waiting {
		is.NoErr(<-read)
	}
	is.Equal(b.reserved.Load(), int64(0))
}

// TestSlowBodiesOfAllConnectionsStayWithinMemory guards against the memory of a host being used up by bodies that
// never end, one on each connection that it may have, although each of them is below the size from which on
// bodies share a budget.
func TestSlowBodiesOfAllConnectionsStayWithinMemory(t *testing.T) {
	const (
		// connections and memoryBytes are those of the smallest hosts; 200 descriptors are for files.
		connections = 4100 - 200
		memoryBytes = 284 << 20
		sentBytes   = unbudgetedBodyBytes - 1
	)
	is := is.New(t)
	b := &bodyReader{}
	reached, release, read := make(chan struct{}), make(chan struct{}), make(chan struct{})
	runtime.GC()
	var before, held runtime.MemStats
	runtime.ReadMemStats(&before)
	for range connections {
		go func() {
			_, _ = b.read(&stalled{left: sentBytes, reached: reached, release: release}, -1, maxBodyBytes)
			read <- struct{}{}
		}()
	}
	ended := 0
	for waiting := 0; waiting+ended < connections; {
		select {
		case <-reached:
			waiting++
		case <-read: // refused
			ended++
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&held)
	close(release)
	for ; ended < connections; ended++ {
		<-read
	}
	bytes := held.HeapAlloc - min(before.HeapAlloc, held.HeapAlloc)
	t.Logf("%d bodies hold %d MB", connections, bytes>>20)
	is.True(bytes < memoryBytes/2)
}
