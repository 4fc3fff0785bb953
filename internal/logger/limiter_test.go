package logger

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	return o.Buffer.Write(p)
}

// TestBlockedOutputDoesNotBlockWriters writes more lines than the queue holds to an
// output that blocks: the writes must not block, and the number of dropped lines must be
// reported once the output accepts lines again.
func TestBlockedOutputDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedOutput{release: make(chan struct{})}
		l := NewLimiter(out, 1<<30)
		log := New(l, Config{Level: "info", Format: FormatJSON})
		start := time.Now()
		const lines = 3 * queueCapacity
		for i := range lines {
			log.Info(RequestAnswered, "request", fmt.Sprint(i))
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.True(l.Dropped() >= lines-queueCapacity-1)
		close(out.release)
		l.Close()
		is.True(strings.Contains(out.String(), fmt.Sprintf(`"lines":%d`, l.Dropped())))
	})
}

// TestVolumeIsBounded writes at ten times the byte rate for 5 s: the output must exceed
// the rate by no more than 2 s' worth.
func TestVolumeIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const rate, seconds = 10_000, 5
		var out bytes.Buffer
		l := NewLimiter(&out, rate)
		line := []byte(strings.Repeat("x", 99) + "\n")
		for range seconds * 10 * rate / len(line) {
			_, _ = l.Write(line)
			time.Sleep(time.Millisecond)
		}
		l.Close()
		is.True(out.Len() <= rate*(seconds+2))
		is.True(l.Dropped() > 0)
	})
}
