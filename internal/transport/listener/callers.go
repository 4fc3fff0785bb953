package listener

import "time"

// CallerLimits returns the size of a header in bytes that a listener for callers takes, and how long
// an idle connection of a caller is kept.
func CallerLimits() (headerBytes int, idleTimeout time.Duration) {
	return maxHeaderBytes, callerIdleTimeout
}
