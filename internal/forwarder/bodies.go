package forwarder

import (
	"errors"
	"io"
	"sync/atomic"

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
	var held int64
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
		if !b.reserve(size) {
			return nil, release, errBodyBudgetExhausted
		}
		buf = append(make([]byte, 0, size), buf...)
		// The smaller buffer has been released.
		b.release(held)
		held = size
	}
}
