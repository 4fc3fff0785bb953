package connector

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout = time.Second
	// idleTimeout is how long a connection without requests is kept open.
	idleTimeout = 2 * time.Minute
	// pingAfter is the time without a received frame after which a connection is
	// checked by a ping, pingTimeout the time to wait for its answer.
	pingAfter   = 2 * time.Second
	pingTimeout = 2 * time.Second
	// maxResponseHeaderBytes limits the headers of a response; those of the system's
	// own processes are much smaller.
	maxResponseHeaderBytes = 16 << 10
)

// NewClient returns a client for HTTP/2 without TLS. It detects by pings that a
// peer has vanished without closing the connection.
func NewClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Client{Transport: &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		Protocols:       protocols,
		IdleConnTimeout: idleTimeout,

		MaxResponseHeaderBytes: maxResponseHeaderBytes,

		HTTP2: &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}}
}
