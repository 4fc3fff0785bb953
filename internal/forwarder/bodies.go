package forwarder

import (
	"errors"
	"io"
	"sync/atomic"
)

const (
	// maxBodyBytes is the size limit of one body, thousands of times a typical
	// answer. A larger body is a fault of the sender.
	maxBodyBytes = 8 << 20
	// unbudgetedBodyBytes is the buffer size up to which a body doesn't count
	// against largeBodyBudget. It holds tens of typical answers; 300 simultaneous
	// bodies of this size take 19 MB.
	unbudgetedBodyBytes = 64 << 10
	// largeBodyBudget is the number of bytes that all larger buffers may take
	// together while bodies are read. It fits two buffers of the maximum size, since
	// a body is held twice while its buffer grows, and is a tenth of the memory of
	// the smallest planned hosts (184 MB).
	largeBodyBudget = 2*maxBodyBytes + unbudgetedBodyBytes
	// initialBodyBuffer is the initial buffer size, in bytes, for a body of unknown
	// length.
	initialBodyBuffer = 512
)

// Errors returned by bodyReader.read.
var (
	errBodyTooLarge        = errors.New("the body exceeds its limit")
	errBodyBudgetExhausted = errors.New("large bodies take all the memory that they may")
)

// bodyReader reads whole bodies and bounds the memory that large ones take
// together, so that senders of endless bodies can't exhaust the memory of a host.
type bodyReader struct {
	// reserved is the total size in bytes of the buffers larger than
	// unbudgetedBodyBytes.
	reserved atomic.Int64
}

// read reads a body of at most limit bytes; length is the Content-Length, or -1 if
// unknown.
func (b *bodyReader) read(r io.Reader, length, limit int64) ([]byte, error) {
	var held int64
	defer func() { b.reserved.Add(-held) }()
	buf := make([]byte, 0, min(max(length+1, initialBodyBuffer), unbudgetedBodyBytes))
	for {
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > limit:
			return nil, errBodyTooLarge
		case errors.Is(err, io.EOF):
			return buf, nil
		case err != nil:
			return nil, err
		case len(buf) < cap(buf):
			continue
		}
		// One byte beyond the limit is enough to detect a body that is too large.
		size := min(int64(2*cap(buf)), limit+1)
		if size <= unbudgetedBodyBytes {
			buf = append(make([]byte, 0, size), buf...)
			continue
		}
		if b.reserved.Add(size) > largeBodyBudget {
			b.reserved.Add(-size)
			return nil, errBodyBudgetExhausted
		}
		buf = append(make([]byte, 0, size), buf...)
		// The smaller buffer has been released.
		b.reserved.Add(-held)
		held = size
	}
}
