package searcher

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

const (
	maxBodyBytes = 4 << 20
	pathControl  = "/control"
	pathOrders   = "/orders"
)

// Server serves an engine over HTTP with the connection limit and cost of a searcher.
type Server struct {
	engine *Engine
	server *http.Server
	// serveEnded is closed when the server no longer accepts connections.
	serveEnded chan struct{}
}

// NewServer starts a server on the address of the searcher.
func NewServer(cfg Config) (*Server, error) {
	var sockets net.ListenConfig
	socket, err := sockets.Listen(context.Background(), "tcp", cfg.Address)
	if err != nil {
		return nil, err
	}
	s := &Server{engine: NewEngine(cfg), serveEnded: make(chan struct{})}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s.server = &http.Server{Handler: s.handler(), Protocols: protocols, ReadHeaderTimeout: 5 * time.Second}
	limited := &limitedListener{Listener: socket, limit: int64(cfg.ConnectionLimit), cost: cfg.ConnectionCost.Value()}
	go func() {
		defer close(s.serveEnded)
		_ = s.server.Serve(limited)
	}()
	return s, nil
}

// Engine returns the engine behind the server.
func (s *Server) Engine() *Engine {
	return s.engine
}

// Shutdown waits for requests in flight until the context ends, then closes.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.server.Shutdown(ctx)
	return errors.Join(err, s.Close())
}

// Close closes all connections immediately and waits until the server has ended.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.serveEnded
	return err
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+messenger.PathSearch, handle(s.engine.Search))
	mux.HandleFunc("POST "+messenger.PathOrder, handle(s.engine.Order))
	mux.HandleFunc("GET "+messenger.PathStatus, func(w http.ResponseWriter, _ *http.Request) {
		listener.WriteJSON(w, http.StatusOK, s.engine.Status())
	})
	mux.HandleFunc("GET "+pathOrders, func(w http.ResponseWriter, _ *http.Request) {
		listener.WriteJSON(w, http.StatusOK, s.engine.Orders())
	})
	mux.HandleFunc("POST "+pathControl, func(w http.ResponseWriter, r *http.Request) {
		behaviour, err := decoder.Body[Behaviour](r.Body, maxBodyBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.engine.SetBehaviour(behaviour)
		listener.WriteJSON(w, http.StatusOK, behaviour)
	})
	return mux
}

// handle serves one method of the engine within the deadline of the request's header, if any.
func handle[Request, Answer any](run func(context.Context, *Request) (*Answer, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		request, err := decoder.Body[Request](r.Body, maxBodyBytes)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx := r.Context()
		remainingMillis, err := strconv.ParseInt(r.Header.Get(messenger.HeaderDeadline), 10, 64)
		if err == nil {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, time.Duration(remainingMillis)*time.Millisecond)
			defer cancel()
		}
		answer, err := run(ctx, &request)
		writeResult(w, answer, err)
	}
}

// writeResult writes an answer, a rejection with status 503 or another error with status 504.
func writeResult(w http.ResponseWriter, answer any, err error) {
	var rejection *messenger.RejectionError
	switch {
	case err == nil:
		listener.WriteJSON(w, http.StatusOK, answer)
	case errors.As(err, &rejection):
		listener.WriteJSON(w, http.StatusServiceUnavailable, rejection.Rejection)
	default:
		http.Error(w, err.Error(), http.StatusGatewayTimeout)
	}
}

// limitedListener closes connections over the limit, and delays the first read of those
// within it by the cost of a new connection.
type limitedListener struct {
	net.Listener
	limit int64 // maximum number of open connections
	cost  time.Duration
	open  atomic.Int64
}

// Accept returns the next connection that is within the limit, and closes the others.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) > l.limit {
			l.open.Add(-1)
			_ = conn.Close()
			continue
		}
		return &delayedConn{Conn: conn, listener: l}, nil
	}
}

// delayedConn is a connection whose first read is delayed.
type delayedConn struct {
	net.Conn
	listener  *limitedListener
	firstRead sync.Once
	closed    sync.Once
}

// Read delays the first read by the cost of a new connection.
func (c *delayedConn) Read(p []byte) (int, error) {
	c.firstRead.Do(func() { time.Sleep(c.listener.cost) })
	return c.Conn.Read(p)
}

// Close closes the connection; the first call also frees its place under the limit.
func (c *delayedConn) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
