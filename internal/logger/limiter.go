package logger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/queuer"
	"golang.org/x/time/rate"
)

const (
	// queueCapacity is the number of lines of a burst that can wait while the output is slow.
	queueCapacity = 1024
	// reportInterval is how often the number of dropped lines is reported.
	reportInterval = time.Second
)

// Limiter is a writer that never blocks: a goroutine writes the lines from a bounded
// queue, and lines beyond the capacity of the queue or the byte rate are dropped and
// counted.
type Limiter struct {
	out     io.Writer
	rate    *rate.Limiter
	queue   *queuer.Queue[[]byte]
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewLimiter returns a writer to out that is limited to bytesPerSecond, with bursts
// of up to one second's worth. Close must be called to end its goroutine.
func NewLimiter(out io.Writer, bytesPerSecond int) *Limiter {
	l := &Limiter{
		out:   out,
		rate:  rate.NewLimiter(rate.Limit(bytesPerSecond), bytesPerSecond),
		queue: queuer.New[[]byte](queueCapacity),
		stop:  make(chan struct{}),
		done:  make(chan struct{}),
	}
	go l.run()
	return l
}

// Write queues one line or drops it; the error is always nil.
func (l *Limiter) Write(line []byte) (int, error) {
	if !l.rate.AllowN(time.Now(), len(line)) || !l.queue.TryPush(append([]byte(nil), line...)) {
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
		case line := <-l.queue.Items():
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

// report writes a line if lines were dropped since the last report, and returns the
// number of all dropped lines.
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
		case line := <-l.queue.Items():
			_, _ = l.out.Write(line)
		default:
			return
		}
	}
}

// Close writes the queued lines and ends the goroutine.
func (l *Limiter) Close() {
	close(l.stop)
	<-l.done
}
