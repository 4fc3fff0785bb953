package listener

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// readHeaderTimeout limits the time to read a head, readTimeout that to read a request.
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// writeTimeout is longer than the longest deadline that a service document allows.
	writeTimeout = 5 * time.Minute
	// idleTimeout is how long an idle connection of another host is kept.
	idleTimeout = 90 * time.Second
	// maxHeaderBytes is the size limit of a head, that of the platform's configurations.
	maxHeaderBytes = 16 << 10
	// peerHeaderBytes fits a head of a caller that another host passes on: a line of three bytes
	// has five then, and that host adds lines of its own.
	peerHeaderBytes = 40 << 10
	// callerIdleTimeout is longer than any idle time that a configuration grants callers.
	callerIdleTimeout = 5 * time.Minute
)

// Config holds the settings of a listener.
type Config struct {
	// Address is an IP address with a port.
	Address string
	Handler http.Handler
	// Streaming removes the limits on the time to read a request and to write its
	// response, for watches and streams.
	Streaming bool
	// CallerFacing restricts the listener to HTTP/1.1 and keeps idle connections open
	// for callerIdleTimeout.
	CallerFacing bool
	// PeerFacing admits heads of callers that other hosts pass on.
	PeerFacing bool
	// Heads bounds the memory of the heads, and Connections the connections, if Heads is set.
	Heads       *Heads
	Connections Connections
}

// ListenError reports that the socket of an address could not be opened.
type ListenError struct {
	Address string
	cause   error
}

// Error returns the text of the cause, which includes the address.
func (e *ListenError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error {
	return e.cause
}

// Listener serves HTTP/1.1 and HTTP/2 without TLS on one address.
type Listener struct {
	server      *http.Server
	socket      net.Listener
	pool        *connectionPool
	inFlight    atomic.Int64
	draining    atomic.Bool
	serveResult chan error
}

// CheckAddress returns an error unless the text is an IP address with a port.
func CheckAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	if err != nil {
		return eris.Errorf("address %q (allowed: an IP address with a port, such as 127.0.0.1:8080)", address)
	}
	return nil
}

// New opens the socket and serves requests in the background.
func New(cfg Config) (*Listener, error) {
	err := CheckAddress(cfg.Address)
	if err != nil {
		return nil, err
	}
	sockets := net.ListenConfig{Control: cfg.Connections.control}
	socket, err := sockets.Listen(context.Background(), "tcp", cfg.Address)
	if err != nil {
		return nil, &ListenError{Address: cfg.Address, cause: err}
	}
	l := &Listener{socket: socket, pool: &connectionPool{Connections: cfg.Connections}, serveResult: make(chan error, 1)}
	l.server = newServer(cfg, l.countInFlight(cfg.Handler))
	if cfg.Heads != nil {
		followHeads(l.server)
		socket = &headListener{Listener: socket, pool: l.pool, heads: cfg.Heads, maxLines: l.server.MaxHeaderBytes/minHeaderLine + 1, peers: !cfg.CallerFacing}
	}
	go func() { l.serveResult <- l.server.Serve(socket) }()
	return l, nil
}

func newServer(cfg Config, handler http.Handler) *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	if cfg.CallerFacing {
		protocols.SetUnencryptedHTTP2(false)
		server.IdleTimeout = callerIdleTimeout
	}
	if cfg.PeerFacing {
		server.MaxHeaderBytes = peerHeaderBytes
	}
	if !cfg.Streaming {
		server.ReadTimeout = readTimeout
		server.WriteTimeout = writeTimeout
	}
	return server
}

// countInFlight counts the requests in flight and, after Drain, asks clients to
// close their connections.
func (l *Listener) countInFlight(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.inFlight.Add(1)
		defer l.inFlight.Add(-1)
		if l.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// Address returns the address that the socket is bound to.
func (l *Listener) Address() string {
	return l.socket.Addr().String()
}

// InFlight returns the number of requests being served.
func (l *Listener) InFlight() int {
	return int(l.inFlight.Load())
}

// Connections returns the number of open connections of a listener that bounds heads.
func (l *Listener) Connections() int { return l.pool.count() }

// Drain makes each further response ask the client to close the connection.
func (l *Listener) Drain() {
	l.draining.Store(true)
}

// Shutdown stops accepting connections, closes idle ones gracefully and waits for
// the requests in flight until the context ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	return l.server.Shutdown(ctx)
}

// Close closes all connections immediately and waits until serving has ended.
func (l *Listener) Close() error {
	err := l.server.Close()
	serveErr := <-l.serveResult
	if serveErr != nil && !errors.Is(serveErr, http.ErrServerClosed) {
		return serveErr
	}
	return err
}
