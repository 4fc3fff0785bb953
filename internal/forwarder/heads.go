package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const (
	// headMemoryShare is the fraction of a host's memory for the heads of requests, and as much
	// again for their copies in attempts.
	headMemoryShare = 0.125
	// minHeadBudget is the least memory in bytes for either, more than one head can take.
	minHeadBudget = 2 << 20
	// headerNameCopy is the memory in bytes that each name of a header takes in the copy for an
	// attempt and while that is written; values are shared.
	headerNameCopy = 128
	// smallHeaderNames is the number of names up to which copies count against no budget.
	smallHeaderNames = 40
	// largeHeadSubRequests is how many sub-requests of callers' requests with large headers run
	// at the same time; a single request may have more.
	largeHeadSubRequests = 256
	// largeHeadWaitShare is the fraction of a caller's time for which its request waits for that.
	largeHeadWaitShare = 0.5
)

// headBudget returns the memory in bytes for the heads of requests.
func headBudget(s Settings) int64 {
	if s.Memory == 0 {
		return listener.DefaultHeadBudget
	}
	return max(int64(headMemoryShare*s.Memory*(1<<20)), minHeadBudget)
}

// copyCost returns the memory in bytes that a copy of a header takes, or 0 if it is small.
func copyCost(h http.Header) int64 {
	if len(h) <= smallHeaderNames {
		return 0
	}
	return int64(len(h)) * headerNameCopy
}

// awaitLargeHead lets a caller's request with a large header wait until it may run, or returns why
// it is refused. endLargeHead ends its turn.
func (f *Forwarder) awaitLargeHead(ctx context.Context, a *arrival) *classifier.Failure {
	if a.outbound.copyCost == 0 {
		return nil
	}
	wait := time.Duration(largeHeadWaitShare * float64(a.call.Remaining))
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	amount := int64(min(max(a.route.SubRequests(), 1), largeHeadSubRequests))
	begun := time.Now()
	if !f.largeHeads.take(ctx, amount) {
		return classifier.NewFailure(classifier.Overloaded, "requests with large headers run in turn").WithRetryAfter(transientRetryAfter)
	}
	a.largeHead = amount
	a.objectiveSpent += time.Since(begun)
	a.call.Remaining -= time.Since(begun)
	return nil
}

func (f *Forwarder) endLargeHead(a *arrival) { f.largeHeads.give(a.largeHead) }

// headRefusals counts refused heads and logs some of them.
type headRefusals struct {
	f *Forwarder

	mu      sync.Mutex
	refused sampledEvent
}

func (h *headRefusals) add(refusal listener.HeadRefusal) {
	h.f.metrics.headRefused(refusal.Status)
	h.mu.Lock()
	defer h.mu.Unlock()
	n, due := h.refused.next(time.Now())
	if !due {
		return
	}
	h.f.cfg.Logger.Warn(logger.HeadRefused, "client", refusal.Client, "status", refusal.Status, "lines", refusal.Lines, "bytes", refusal.Bytes,
		"cost", refusal.Cost, "used", refusal.Used, "budget", headBudget(h.f.cfg.Settings), "refused", n)
}

// shares divides an amount of memory among goroutines, which get it in the order in which they
// ask.
type shares struct {
	mu      sync.Mutex
	left    int64
	waiting []*shareAsk
}

type shareAsk struct {
	amount  int64
	granted chan struct{}
}

func newShares(amount int64) *shares { return &shares{left: amount} }

// take waits until an amount is free, at most for as long as the context. It reports whether it
// was taken; give returns it then. An amount of 0 is never waited for.
func (s *shares) take(ctx context.Context, amount int64) bool {
	if amount == 0 {
		return true
	}
	s.mu.Lock()
	if len(s.waiting) == 0 && amount <= s.left {
		s.left -= amount
		s.mu.Unlock()
		return true
	}
	ask := &shareAsk{amount: amount, granted: make(chan struct{})}
	s.waiting = append(s.waiting, ask)
	s.grant()
	s.mu.Unlock()
	select {
	case <-ask.granted:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, other := range s.waiting {
		if other == ask {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			// Those behind it may need less.
			s.grant()
			return false
		}
	}
	// It was granted at the same time.
	return true
}

// give returns an amount.
func (s *shares) give(amount int64) {
	if amount == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left += amount
	s.grant()
}

// grant serves those first in line. The caller holds s.mu.
func (s *shares) grant() {
	for len(s.waiting) > 0 && s.waiting[0].amount <= s.left {
		s.left -= s.waiting[0].amount
		close(s.waiting[0].granted)
		s.waiting = s.waiting[1:]
	}
}
