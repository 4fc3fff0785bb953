package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/budgeter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

const (
	// dialTimeout is the limit for opening a connection to a server, hundreds of
	// times the delay between failure domains.
	dialTimeout = 400 * time.Millisecond
	// unackedDataTimeout is how long sent data may remain unacknowledged by the peer
	// until the connection is closed.
	unackedDataTimeout = time.Second
	// keepAliveIdle is how long a connection is idle until it is probed, keepAliveInterval the
	// time after which an unanswered probe closes it. As unackedDataTimeout is shorter, it is the
	// first probe that decides: with TCP_USER_TIMEOUT the kernel ignores the number of probes.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = time.Second
	// tcpUserTimeoutOption is the number of the Linux socket option
	// TCP_USER_TIMEOUT, whose value is in milliseconds.
	tcpUserTimeoutOption = 18
	// maxIdleConnsPerServer is the number of idle connections kept to each server; a
	// host rarely has more simultaneous requests at one server.
	maxIdleConnsPerServer = 2
	// idleConnTimeout is how long an idle connection is kept. It is longer than the
	// intervals between requests of the least used routes, since opening new
	// connections has a cost.
	idleConnTimeout = 30 * time.Second
	// maxResponseHeadBytes bounds the header of an answer, including preceding
	// informational (1xx) responses. It is several times what servers send.
	maxResponseHeadBytes = 16 << 10
	// connBufferBytes is the size of each connection's read and write buffer. It
	// holds a typical answer; the 4 KB default of net/http would add up over
	// hundreds of connections.
	connBufferBytes = 2 << 10
	// maxStatus is the greatest status of an answer.
	maxStatus = 599
)

var (
	errNoRoomForHead = errors.New("copies of large headers take all the memory that they may")
	errNoDescriptor  = errors.New("exchanges with servers take all the descriptors that they may")
)

// outbound holds what all attempts of a request have in common.
type outbound struct {
	method string
	url    *url.URL
	host   string
	// header is shared by all attempts and must not be modified.
	header http.Header
	// copyCost is the memory in bytes that a copy of the header takes, 0 if it is small.
	copyCost int64
	body     []byte
	// held has the answers until the request has ended.
	held *holding
}

// client exchanges requests with backend servers.
type client struct {
	transport *http.Transport
	dialect   Dialect
	bodies    *bodyReader
	// copies bounds the memory of the copies of large headers in attempts.
	copies *shares
	// slots bounds the exchanges at the same time, each of which takes a descriptor.
	slots *shares
	// connsOpened counts the connections opened so far; connsOpen is the number that
	// are open now, in use or idle.
	connsOpened *atomic.Uint64
	connsOpen   *atomic.Int64
	dials       *dialRegistry
	// listed has the listed servers by failure domain.
	listed atomic.Pointer[map[string][]*lister.Server]
	// translate has the IP addresses of servers that are reached at other addresses.
	translate map[string]string
}

// requestConn is a connection that carries one request at a time.
type requestConn struct {
	*net.TCPConn
	// written counts the bytes sent on the connection. A request of which no byte was
	// written is known not to have run.
	written atomic.Int64
	// unanswered is true if nothing has been read since the last write.
	unanswered atomic.Bool
}

// Write writes to the connection and counts the bytes written.
func (c *requestConn) Write(p []byte) (int, error) {
	c.unanswered.Store(true)
	n, err := c.TCPConn.Write(p)
	c.written.Add(int64(n))
	return n, err
}

// Read reads from the connection and records whether an answer has begun.
func (c *requestConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.unanswered.Store(false)
	}
	return n, err
}

// Close closes the connection. If a request is unanswered, the connection is
// reset, so that the kernel doesn't deliver the canceled request after a network
// partition has healed.
func (c *requestConn) Close() error {
	if c.unanswered.Load() {
		// If this fails, the connection is closed in the usual way.
		_ = c.SetLinger(0)
	}
	return c.TCPConn.Close()
}

// countedConn is a requestConn that calls closed once when it is closed.
type countedConn struct {
	*requestConn
	closing sync.Once
	closed  func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.closing.Do(c.closed)
	return c.requestConn.Close()
}

func newClient(cfg Config, b *bodyReader, limits budgeter.Machine) *client {
	used, idle := limits.MaxServerConnections()
	c := &client{dialect: cfg.Dialect, bodies: b, copies: newShares(headBudget(cfg.Settings)), slots: exchangeShares(used), translate: cfg.Settings.Translate, connsOpened: new(atomic.Uint64), connsOpen: new(atomic.Int64), dials: newDialRegistry()}
	dial := c.dials.register(dialer(dialTimeout))
	c.transport = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, c.reachedAt(address))
			if err != nil {
				return nil, err
			}
			c.connsOpened.Add(1)
			c.connsOpen.Add(1)
			return &countedConn{requestConn: conn, closed: func() { c.connsOpen.Add(-1) }}, nil
		},
		MaxIdleConns:        idle,
		MaxIdleConnsPerHost: maxIdleConnsPerServer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
		ReadBufferSize:      connBufferBytes,
		WriteBufferSize:     connBufferBytes,

		MaxResponseHeaderBytes: maxResponseHeadBytes,
	}
	return c
}

// emptyBody is an empty request body that net/http doesn't recognise as absent, so
// that it never resends the request on its own.
type emptyBody struct{}

// Read returns io.EOF.
func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// Close does nothing.
func (emptyBody) Close() error { return nil }

// unrewindableBody hides the type of the reader, so that net/http can't rewind the
// body and resend the request.
type unrewindableBody struct{ data []byte }

// Read returns the rest of the body.
func (b *unrewindableBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close does nothing.
func (*unrewindableBody) Close() error { return nil }

// request returns the HTTP request for one attempt at a server, with a header of its own whose
// values are shared. net/http can't resend it.
func (o outbound) request(ctx context.Context, server *lister.Server) *http.Request {
	target := *o.url
	target.Scheme, target.Host = "http", server.Address
	r := &http.Request{
		Method: o.method, URL: &target, Host: o.host, Header: maps.Clone(o.header),
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: emptyBody{},
	}
	if len(o.body) > 0 {
		r.Body = &unrewindableBody{data: o.body}
		r.ContentLength = int64(len(o.body))
	}
	return r.WithContext(ctx)
}

// exchange sends a request to a server and reads the whole answer.
func (c *client) exchange(ctx context.Context, call Call, out outbound, server *lister.Server, deadline time.Time) *Answer {
	if !c.copies.take(ctx, out.copyCost) {
		return &Answer{Code: classifier.NotSent, Err: errNoRoomForHead}
	}
	defer c.copies.give(out.copyCost)
	if !c.slots.take(ctx, 1) {
		return &Answer{Code: classifier.NotSent, Err: errNoDescriptor}
	}
	defer c.slots.give(1)
	var conn atomic.Pointer[countedConn]
	var writtenBefore atomic.Int64
	evidence := detector.Response
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if !info.Reused {
			evidence = detector.Connection
		}
		counted, ok := info.Conn.(*countedConn)
		if ok {
			writtenBefore.Store(counted.written.Load())
			conn.Store(counted)
		}
	}})
	r := out.request(ctx, server)
	c.dialect.SetTarget(r.Header, server, time.Until(deadline))
	response, err := c.transport.RoundTrip(r)
	if err != nil {
		held := conn.Load()
		sent := held != nil && held.written.Load() > writtenBefore.Load()
		a := &Answer{Code: failureCode(ctx, sent), Err: err}
		if NeverConnected(err) {
			a.Evidence = detector.NoConnection
		}
		if sent {
			c.checkBrokenOff(ctx, a, server)
		}
		return a
	}
	err = checkStatus(response)
	if err != nil {
		// The unread body closes the connection.
		_ = response.Body.Close()
		return &Answer{Code: classifier.ServerFailed, Err: err, Evidence: evidence}
	}
	a := &Answer{Status: response.StatusCode, Header: response.Header, Evidence: evidence}
	a.Body, err = c.bodies.readAnswer(ctx, response, out.held)
	// If part of the body is unread, this also closes the connection.
	_ = response.Body.Close()
	switch {
	case errors.Is(err, errBodyTooLarge) || errors.Is(err, errBodyBudgetExhausted):
		return &Answer{Code: classifier.ResponseTooLarge, Err: err, Evidence: evidence}
	case err != nil:
		a = &Answer{Code: failureCode(ctx, true), Err: err, Evidence: evidence}
		c.checkBrokenOff(ctx, a, server)
		return a
	}
	c.dialect.Classify(call, a)
	if a.Code == classifier.EchoMismatch && conn.Load() != nil {
		// Later answers on this connection could be mismatched as well.
		_ = conn.Load().Close()
	}
	return a
}

// badStatusError is a status that is no answer.
type badStatusError struct{ status int }

// Error returns the text of the error.
func (e *badStatusError) Error() string {
	return fmt.Sprintf("status %03d is no answer", e.status)
}

// checkStatus returns an error unless a status may be passed to a caller. net/http reads any
// three digits.
func checkStatus(response *http.Response) error {
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return &badStatusError{response.StatusCode}
	}
	return nil
}

// failureCode returns the result code of a failed exchange; sent is true if any
// byte of the request was written.
func failureCode(ctx context.Context, sent bool) classifier.Code {
	switch {
	case !sent && ctx.Err() == nil:
		return classifier.ServerUnreachable
	case !sent:
		return classifier.NotSent
	case ctx.Err() != nil:
		return classifier.CodeOf(ctx.Err(), classifier.ServerFailed)
	}
	return classifier.ServerFailed
}

// close closes idle connections.
func (c *client) close() {
	c.transport.CloseIdleConnections()
}
