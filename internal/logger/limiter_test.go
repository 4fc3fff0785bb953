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

// stuck is an output that takes nothing until it is let go.
type stuck struct {
	letGo chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.letGo
	return s.Buffer.Write(p)
}

// TestStuckOutputBlocksNobody writes more lines than the ring holds to an
// output that takes none; what was dropped is told once it does.
func TestStuckOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &stuck{letGo: make(chan struct{})}
		l := NewLimiter(out, 1<<30)
		log := New(l, Config{Level: "info", Format: FormatJSON})
		begun := time.Now()
		const lines = 3 * lineRing
		for i := range lines {
			log.Info(RequestAnswered, "request", fmt.Sprint(i))
		}
		is.Equal(time.Since(begun), time.Duration(0))
		is.True(l.Dropped() >= lines-lineRing-1)
		close(out.letGo)
		l.Close()
		is.True(strings.Contains(out.String(), fmt.Sprintf(`"lines":%d`, l.Dropped())))
	})
}

// TestVolumeIsBounded writes ten times the rate for some seconds.
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
