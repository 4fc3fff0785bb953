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
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	// writeTimeout is above the longest deadline that a document allows.
	writeTimeout   = 5 * time.Minute
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 16 << 10
	// callerIdleTimeout is above the idle time that any configuration promises to callers.
	callerIdleTimeout = 5 * time.Minute
)

// Config holds the settings of a listener.
type Config struct {
	// Address is an IP address with a port.
	Address string
	Handler http.Handler
	// Streams lifts the limit on the time of one exchange, for watches and streams.
	Streams bool
	// Callers serves HTTP/1.1 only, to callers that may stay idle for longer.
	Callers bool
}

// OpenError is the error of a socket that could not be opened.
type OpenError struct {
	Address string
	cause   error
}

// Error names the address and the cause.
func (e *OpenError) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *OpenError) Unwrap() error {
	return e.cause
}

// Listener serves HTTP/1.1 and HTTP/2 without TLS on one address.
type Listener struct {
	server   *http.Server
	socket   net.Listener
	inFlight atomic.Int64
	draining atomic.Bool
	served   chan error
}

// CheckAddress returns an error unless the text is an IP address with a port.
func CheckAddress(address string) error {
	_, err := netip.ParseAddrPort(address)
	if err != nil {
		return eris.Errorf("address %q (allowed: an IP number with a port, such as 127.0.0.1:8080)", address)
	}
	return nil
}

// New opens the socket and begins to serve.
func New(cfg Config) (*Listener, error) {
	err := CheckAddress(cfg.Address)
	if err != nil {
		return nil, err
	}
	var sockets net.ListenConfig
	socket, err := sockets.Listen(context.Background(), "tcp", cfg.Address)
	if err != nil {
		return nil, &OpenError{Address: cfg.Address, cause: err}
	}
	l := &Listener{socket: socket, served: make(chan error, 1)}
	l.server = newServer(cfg, l.count(cfg.Handler))
	go func() { l.served <- l.server.Serve(socket) }()
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
	if cfg.Callers {
		protocols.SetUnencryptedHTTP2(false)
		server.IdleTimeout = callerIdleTimeout
	}
	if !cfg.Streams {
		server.ReadTimeout = readTimeout
		server.WriteTimeout = writeTimeout
	}
	return server
}

func (l *Listener) count(next http.Handler) http.Handler {
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

// Drain asks the other side of each connection to close it after the next answer.
func (l *Listener) Drain() {
	l.draining.Store(true)
}

// Shutdown closes idle connections with notice and waits for requests in
// flight until the context ends.
func (l *Listener) Shutdown(ctx context.Context) error {
	return l.server.Shutdown(ctx)
}

// Close ends all connections at once and waits for the socket to close.
func (l *Listener) Close() error {
	err := l.server.Close()
	served := <-l.served
	if served != nil && !errors.Is(served, http.ErrServerClosed) {
		return served
	}
	return err
}
