package forwarder

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/sleeper"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

// endCheckTimeout limits the time to open the connection that shows whether a server has
// ended, several round trips between failure domains.
const endCheckTimeout = 40 * time.Millisecond

// endCheckDelay is the delay before others are checked, as a cut needn't reset all paths at the
// same instant.
const endCheckDelay = 4 * time.Millisecond

// endChecks is the number of other servers of the failure domain of which one must accept a
// connection for a server that refuses them to have ended.
const endChecks = 3

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
// and closes connections to find out whether the server has ended. If the server and others
// of its failure domain refuse them, the path may be cut instead.
func (c *client) checkBrokenOff(ctx context.Context, a *Answer, server *lister.Server) {
	if ctx.Err() != nil || !brokeOff(a.Err) {
		return
	}
	a.BrokenOff, a.Ended = true, endUnknown
	switch probeServers(ctx, []string{c.reachedAt(server.Address)}, endCheckTimeout) {
	case detector.Connected:
		a.Ended = endAlive
	case detector.Refused:
		sleeper.Sleep(ctx, endCheckDelay)
		others := c.othersInDomain(server)
		if len(others) == 0 || probeServers(ctx, others, endCheckTimeout) == detector.Connected {
			a.Ended = endEnded
		}
	case detector.Silent:
	}
}

// othersInDomain returns the addresses of some random servers of the failure domain of a server.
func (c *client) othersInDomain(server *lister.Server) []string {
	listed := c.listed.Load()
	if listed == nil {
		return nil
	}
	servers := (*listed)[server.Domain]
	var addresses []string
	for _, i := range rand.Perm(len(servers)) {
		if servers[i].ID != server.ID && len(addresses) < endChecks {
			addresses = append(addresses, c.reachedAt(servers[i].Address))
		}
	}
	return addresses
}
