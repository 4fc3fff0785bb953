package forwarder

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

// endCheckTimeout limits the time to open the connection that shows whether a server has
// ended, several round trips between failure domains.
const endCheckTimeout = 40 * time.Millisecond

// serverEnd is what is known about the end of a server that has broken off an answer.
type serverEnd string

// What a new connection to a server shows; empty if the answer wasn't broken off.
const (
	// endUnknown means that the server hasn't answered.
	endUnknown serverEnd = "unknown"
	// endAlive means that the server accepts connections.
	endAlive serverEnd = "alive"
	// endEnded means that nothing listens at its address any more.
	endEnded serverEnd = "ended"
)

// brokeOff reports whether an exchange failed since the connection ended.
func brokeOff(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// checkBrokenOff sets whether the server has broken off a failed exchange. If so, it opens
// and closes a connection to find out whether the server has ended.
func (c *client) checkBrokenOff(ctx context.Context, a *Answer, server *lister.Server) {
	if ctx.Err() != nil || !brokeOff(a.Err) {
		return
	}
	a.BrokenOff, a.Ended = true, endUnknown
	err := dialProbe(ctx, c.reachedAt(server.Address), endCheckTimeout)
	switch {
	case err == nil:
		a.Ended = endAlive
	case errors.Is(err, syscall.ECONNREFUSED):
		a.Ended = endEnded
	}
}
