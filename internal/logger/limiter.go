package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/ringer"
	"golang.org/x/time/rate"
)

const (
	// lineRing holds the lines of a burst while the output is slow.
	lineRing = 1024
	// reportInterval is how often dropped lines are reported.
	reportInterval = time.Second
)

// Limiter is a writer that never blocks: lines go through a bounded ring to one
// goroutine, and those beyond the ring or the byte rate are dropped and counted.
type Limiter struct {
	out     io.Writer
	rate    *rate.Limiter
	ring    *ringer.Ring[[]byte]
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewLimiter returns a writer to out of at most bytesPerSecond, of which a
// second's worth may come at once.
func NewLimiter(out io.Writer, bytesPerSecond int) *Limiter {
	l := &Limiter{
		out:  out,
		rate: rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond),
		ring: ringer.New[[]byte](lineRing),
		stop: make(chan struct{}),
		done: make(chan struct{}),
	}
	go l.run()
	return l
}

// Write takes one line; the error is always nil.
func (l *Limiter) Write(line []byte) (int, error) {
	if !l.rate.AllowN(time.Now(), len(line)) || !l.ring.TryPush(append([]byte(nil), line...)) {
		l.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been dropped.
func (l *Limiter) Dropped() uint64 {
	return l.dropped.Load()
}

func (l *Limiter) run() {
	defer close(l.done)
	reported := uint64(0)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-l.ring.Items():
			_, _ = l.out.Write(line)
		case <-ticker.C:
			reported = l.report(reported)
		case <-l.stop:
			l.flush()
			l.report(reported)
			return
		}
	}
}

// report writes a line if more lines have been dropped than reported.
func (l *Limiter) report(reported uint64) uint64 {
	dropped := l.dropped.Load()
	if dropped > reported {
		_, _ = fmt.Fprintf(l.out, "{\"time\":%q,\"level\":\"warn\",\"msg\":%q,\"event\":%d,\"lines\":%d}\n",
			time.Now().Format(time.RFC3339Nano), LinesDropped, int(LinesDropped), dropped-reported)
	}
	return dropped
}

func (l *Limiter) flush() {
	for {
		select {
		case line := <-l.ring.Items():
			_, _ = l.out.Write(line)
		default:
			return
		}
	}
}

// Close writes the lines that wait and ends the writer.
func (l *Limiter) Close() {
	close(l.stop)
	<-l.done
}
