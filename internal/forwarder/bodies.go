package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/reserver"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/budgeter"
)

const (
	// maxBodyBytes is the size limit of one body, thousands of times a typical
	// answer. A larger body is a fault of the sender.
	maxBodyBytes = 8 << 20
	// unbudgetedBodyBytes is the buffer size up to which a body doesn't count
	// against largeBodyBudget. It holds tens of typical answers.
	unbudgetedBodyBytes = 64 << 10
	// smallBodyBytes is the buffer size up to which a body counts against no budget. It
	// holds a typical body; 3,900 connections with one each take 16 MB.
	smallBodyBytes = 4 << 10
	// mediumBodyBudget is the number of bytes that all buffers above smallBodyBytes and up
	// to unbudgetedBodyBytes may take together, an eighth of the memory of the smallest
	// planned hosts (136 MB).
	mediumBodyBudget = 16 << 20
	// largeBodyBudget is the number of bytes that all larger buffers may take
	// together while bodies are read. It fits two buffers of the maximum size, since
	// a body is held twice while its buffer grows.
	largeBodyBudget = 2*maxBodyBytes + unbudgetedBodyBytes
	// initialBodyBuffer is the initial buffer size, in bytes, for a body of unknown
	// length.
	initialBodyBuffer = 512
	// roomCheckInterval is how often an answer that waits for room looks for it, unless it is told.
	roomCheckInterval = 20 * time.Millisecond
)

// Errors returned by bodyReader.read.
var (
	errBodyTooLarge        = errors.New("the body exceeds its limit")
	errBodyBudgetExhausted = errors.New("bodies take all the memory that they may")
)

// bodyReader reads whole bodies and bounds the memory that they take together, so that
// senders of endless or slow bodies can't exhaust the memory of a host. Small bodies are
// always read. Bodies of callers and answers to this host have one reader each, so that
// callers can't keep a server's answer from being read.
type bodyReader struct {
	// account counts all buffers larger than smallBodyBytes for use, nil without a bound in
	// common with others.
	account *reserver.Account
	use     budgeter.Use
	// reserved is the total size in bytes of the buffers larger than
	// unbudgetedBodyBytes, medium that of the others larger than smallBodyBytes.
	reserved atomic.Int64
	medium   atomic.Int64

	// mu guards freed, which is closed when a buffer is released; nil if nothing waits for that.
	mu    sync.Mutex
	freed chan struct{}
}

// reserve counts a buffer of a size against its budget, or reports that this is used up.
func (b *bodyReader) reserve(size int64) bool {
	held, budget := &b.medium, int64(mediumBodyBudget)
	switch {
	case size <= smallBodyBytes:
		return true
	case size > unbudgetedBodyBytes:
		held, budget = &b.reserved, largeBodyBudget
	}
	if held.Add(size) > budget || !b.account.Take(b.use, size) {
		held.Add(-size)
		return false
	}
	return true
}

// await reserves a buffer as reserve does, and waits until there is room, at most for as long as
// the context.
func (b *bodyReader) await(ctx context.Context, size int64) bool {
	if b.reserve(size) {
		return true
	}
	for {
		b.mu.Lock()
		if b.freed == nil {
			b.freed = make(chan struct{})
		}
		freed := b.freed
		b.mu.Unlock()
		if b.reserve(size) {
			return true
		}
		select {
		case <-freed:
		case <-time.After(roomCheckInterval): // other uses of the account may have ended
		case <-ctx.Done():
			return false
		}
	}
}

// release takes back what reserve has counted.
func (b *bodyReader) release(size int64) {
	switch {
	case size <= smallBodyBytes:
		return
	case size > unbudgetedBodyBytes:
		b.reserved.Add(-size)
	default:
		b.medium.Add(-size)
	}
	b.account.Give(b.use, size)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.freed != nil {
		close(b.freed)
		b.freed = nil
	}
}

// readAnswer reads the body of an answer, which counts as long as it is held. An answer of a known
// length waits for room, as its request has run.
func (b *bodyReader) readAnswer(ctx context.Context, response *http.Response, held *holding) ([]byte, error) {
	if response.Body == http.NoBody {
		// An answer to HEAD states the length of a body that it doesn't have.
		return nil, nil
	}
	if response.ContentLength > maxBodyBytes {
		return nil, errBodyTooLarge
	}
	ahead := response.ContentLength + 1 // 0 if the length is unknown
	if !b.await(ctx, ahead) {
		return nil, errBodyBudgetExhausted
	}
	body, release, err := b.fill(response.Body, response.ContentLength, maxBodyBytes, ahead)
	if err != nil {
		release()
		return nil, err
	}
	held.add(release)
	return body, nil
}

// read reads a body of at most limit bytes; length is the Content-Length, or -1 if
// unknown.
func (b *bodyReader) read(r io.Reader, length, limit int64) ([]byte, error) {
	body, release, err := b.hold(r, length, limit)
	release()
	return body, err
}

// hold reads a body as read does. Its buffer counts until release is called, once.
func (b *bodyReader) hold(r io.Reader, length, limit int64) (body []byte, release func(), err error) {
	return b.fill(r, length, limit, 0)
}

// fill reads a body for which a buffer of held bytes has been reserved, as hold does.
func (b *bodyReader) fill(r io.Reader, length, limit, held int64) (body []byte, release func(), err error) {
	release = func() { b.release(held) }
	// The buffer grows with what has arrived, as a sender may announce more than it sends.
	buf := make([]byte, 0, min(max(length+1, initialBodyBuffer), smallBodyBytes))
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, release, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return buf, release, nil
		case err != nil:
			return nil, release, err
		case len(buf) < cap(buf):
			continue
		}
		// One byte beyond the limit is enough to detect a body that is too large.
		size := min(max(int64(2*cap(buf)), min(length+1, unbudgetedBodyBytes)), limit+1)
		if length >= int64(cap(buf)) {
			size = min(size, length+1)
		}
		if size > held && !b.reserve(size) {
			return nil, release, errBodyBudgetExhausted
		}
		buf = append(make([]byte, 0, size), buf...)
		if size > held {
			// The smaller buffer has been released.
			b.release(held)
			held = size
		}
	}
}
