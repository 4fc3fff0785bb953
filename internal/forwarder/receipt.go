package forwarder

import (
	"io"
	"sync/atomic"
)

// proceedGate decides, once, whether the proceed byte of a delegated request is sent.
type proceedGate struct{ state atomic.Int32 }

// States of a proceedGate.
const (
	gateUndecided int32 = iota
	gateOpened
	gateClosed
)

// open reports whether the proceed byte may be sent: the request may run from then on.
func (g *proceedGate) open() bool {
	return g.state.CompareAndSwap(gateUndecided, gateOpened) || g.state.Load() == gateOpened
}

// close reports whether the proceed byte has not been sent. It never will be then, so that
// the other host doesn't begin.
func (g *proceedGate) close() bool {
	return g.state.CompareAndSwap(gateUndecided, gateClosed) || g.state.Load() == gateClosed
}

// proceedBody is the body of a delegated request, which net/http reads once the other host
// has confirmed the receipt. It begins with the proceed byte.
type proceedBody struct {
	unrewindableBody

	gate *proceedGate
}

// Read returns the rest of the body, or errNoReceipt if the request has been given up.
func (b *proceedBody) Read(p []byte) (int, error) {
	if !b.gate.open() {
		return 0, errNoReceipt
	}
	return b.unrewindableBody.Read(p)
}

var _ io.ReadCloser = (*proceedBody)(nil)
