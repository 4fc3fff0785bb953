package listener

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/reserver"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/budgeter"
)

const (
	// headLineCost is the memory in bytes that a header line takes at most once it is parsed,
	// beside its text: the entry of a map, a slice of values and two strings.
	headLineCost = 128
	// smallHeadCost is the estimated memory in bytes up to which a head counts against no
	// budget: about 30 lines of a typical length. 3,900 heads of this size take 24 MB.
	smallHeadCost = 6 << 10
	// DefaultHeadBudget is the memory in bytes of all larger heads together at a host whose
	// memory is not known, an eighth of the smallest planned hosts (136 MB).
	DefaultHeadBudget = 16 << 20
	// targetCopies is how often the target of a request is held: as it came, as a path decoded and
	// not, and while an attempt is written.
	targetCopies = 4
	// minHeaderLine is the length in bytes of the shortest header line: a name of one
	// character, a colon and a line feed. The limit of lines is the size limit of a head
	// divided by it (5,461 for callers), which no head within that size exceeds.
	minHeaderLine = 3
	// readAheadBytes is the size of the buffer of net/http, which may hold the beginning of a
	// head when the request before ends.
	readAheadBytes = 4 << 10
	// refusalTime bounds the time to write a refusal, and to wait until the client has closed
	// the connection, as unread bytes would reset it before the refusal is read.
	refusalTime = 200 * time.Millisecond
	// refusalRetryAfter is the Retry-After in seconds while heads take all their memory.
	refusalRetryAfter = "0.300"
	// http2Preface begins a connection of HTTP/2.
	http2Preface = "PRI * HTTP/2.0\r\n"
)

// HeadRefusal describes a head that was not read any further.
type HeadRefusal struct {
	// Client is the address of the client.
	Client string
	Lines  int
	Bytes  int
	// Cost is the estimated memory of the head and Used that of all heads, in bytes.
	Cost, Used int64
	// Status is the HTTP status of the refusal.
	Status int
}

// Heads bounds the memory that the heads of requests take together, from their first line until
// their request has ended. Small heads are always read.
type Heads struct {
	budget int64
	used   atomic.Int64
	// account has the memory of all uses, nil without a further bound.
	account *reserver.Account
	// refused is called with each head that was refused.
	refused func(HeadRefusal)
}

// NewHeads returns a bound of a number of bytes, which listeners may share.
func NewHeads(budget int64, refused func(HeadRefusal)) *Heads {
	return &Heads{budget: budget, refused: refused}
}

// WithAccount makes the heads count in an account, too, before the first of them.
func (h *Heads) WithAccount(account *reserver.Account) *Heads {
	h.account = account
	return h
}

// Used returns the estimated memory in bytes of the heads that count.
func (h *Heads) Used() int64 { return h.used.Load() }

// parsedCost returns the estimated memory in bytes of the head of a request, or 0 if it is small.
func parsedCost(r *http.Request) int64 {
	lines, size := int64(1), int64(targetCopies*len(r.RequestURI)/2)
	for name, values := range r.Header {
		for _, value := range values {
			lines++
			size += int64(len(name) + len(value))
		}
	}
	return headCost(lines, size)
}

func headCost(lines, size int64) int64 {
	cost := lines*headLineCost + 2*size
	if cost <= smallHeadCost {
		return 0
	}
	return cost
}

// move changes a reservation, or reports that the budget is used up.
func (h *Heads) move(from, to int64) bool {
	if to <= from {
		h.used.Add(to - from)
		h.account.Give(budgeter.Heads, from-to)
		return true
	}
	if h.used.Add(to-from) <= h.budget && h.account.Take(budgeter.Heads, to-from) {
		return true
	}
	h.used.Add(from - to)
	return false
}

// headListener accepts connections whose number and heads are bounded.
type headListener struct {
	net.Listener

	pool     *connectionPool
	heads    *Heads
	maxLines int
	// peers is true if clients may use HTTP/2.
	peers bool
}

// Accept returns the next connection.
func (l *headListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		tcp, ok := conn.(*net.TCPConn)
		if err != nil || !ok {
			return conn, err
		}
		c := &headConn{TCPConn: tcp, listener: l}
		if l.pool.add(c) {
			return c, nil
		}
		_ = tcp.Close()
	}
}

// headConn follows the bytes of the heads that net/http reads from a connection, and ends the
// connection before they are parsed if they take too much memory. Between the blank line at the
// end of a head and the next one, bytes belong to a body.
type headConn struct {
	*net.TCPConn

	listener *headListener

	// waiting is the place among the connections that wait for a request, nil without one;
	// evicted is true if the connection is closed for want of room, removed once it doesn't count.
	// The pool of the listener guards them.
	waiting          *list.Element
	evicted, removed bool

	mu sync.Mutex
	// reserved is what the connection takes of the budget.
	reserved int64
	// ended is true from the end of a head until the next one.
	ended bool
	// passed is true for HTTP/2, whose heads are not followed.
	passed bool
	closed bool
	// lines and size count the head so far; ahead is the greatest number of lines that net/http
	// may have read before its first byte.
	lines, size, ahead int64
	// lineLength is the number of bytes of the line so far, without line feeds, and last the
	// last byte.
	lineLength int
	last       byte
	text       bool // a line that isn't blank was read
}

var errHeadRefused = errors.New("the head of the request was refused")

// Read reads from the connection.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	refusal := c.follow(p[:n])
	if refusal != nil {
		c.refuse(p, refusal)
		// net/http writes no answer after an error of the network.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeadRefused}
	}
	return n, err
}

// follow counts bytes that were read, and returns why the head is refused.
func (c *headConn) follow(p []byte) *HeadRefusal {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.size == 0 && c.listener.peers && bytes.HasPrefix(p, []byte(http2Preface)) {
		c.passed = true
	}
	if c.passed || c.closed || len(p) == 0 {
		return nil
	}
	for len(p) > 0 {
		if c.ended {
			c.ahead += int64(bytes.Count(p, []byte{'\n'}))
			break
		}
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			c.size += int64(len(p))
			c.lineLength += len(p)
			c.last = p[len(p)-1]
			break
		}
		c.endLine(p[:end])
		p = p[end+1:]
	}
	lines := c.lines
	if !c.ended {
		lines += min(c.ahead, readAheadBytes/minHeaderLine)
	}
	cost := max(headCost(lines, c.size), c.reserved)
	status := http.StatusServiceUnavailable
	switch {
	case c.lines > int64(c.listener.maxLines):
		status = http.StatusRequestHeaderFieldsTooLarge
	case c.listener.heads.move(c.reserved, cost):
		c.reserved = cost
		return nil
	}
	return &HeadRefusal{Client: c.RemoteAddr().String(), Lines: int(lines), Bytes: int(c.size), Cost: cost, Used: c.listener.heads.Used(), Status: status}
}

// endLine counts the end of a line of the head whose last bytes are given.
func (c *headConn) endLine(p []byte) {
	c.size += int64(len(p)) + 1
	c.lineLength += len(p)
	if len(p) > 0 {
		c.last = p[len(p)-1]
	}
	blank := c.lineLength == 0 || (c.lineLength == 1 && c.last == '\r')
	c.lineLength = 0
	switch {
	case !blank:
		c.text = true
		c.lines++
	case c.text:
		// net/http skips blank lines before a request.
		c.ended = true
		c.ahead = 0
	}
}

// refuse answers a head that wasn't read in full and waits until the client has closed the
// connection, for refusalTime at most. A request without a whole head has not run.
func (c *headConn) refuse(p []byte, refusal *HeadRefusal) {
	c.listener.heads.refused(*refusal)
	c.release()
	_ = c.SetDeadline(time.Now().Add(refusalTime))
	retry := ""
	if refusal.Status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + refusalRetryAfter + "\r\n"
	}
	text := http.StatusText(refusal.Status) + "\n"
	_, err := fmt.Fprintf(c.TCPConn, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s",
		refusal.Status, http.StatusText(refusal.Status), retry, len(text), text)
	if err != nil {
		return
	}
	_ = c.CloseWrite()
	for read := 0; err == nil && read < 2*maxHeaderBytes; {
		var n int
		n, err = c.TCPConn.Read(p)
		read += n
	}
}

// enter counts the head of a request by what was parsed, from now on until leave.
func (c *headConn) enter(cost int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.listener.heads.move(c.reserved, cost) {
		return false
	}
	c.reserved = cost
	if !c.ended {
		// The request was read ahead in part, so that the end of its head wasn't seen.
		c.ended, c.ahead = true, c.lines
	}
	return true
}

// leave ends the count of a request's head.
func (c *headConn) leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.heads.move(c.reserved, 0)
	c.reserved = 0
}

// next begins the next head; net/http has read the body before.
func (c *headConn) next() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended, c.text = false, false
	c.lines, c.size, c.lineLength = 0, 0, 0
}

// release gives back what the connection takes of the budget, for good.
func (c *headConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener.heads.move(c.reserved, 0)
	c.reserved, c.closed = 0, true
}

// Close closes the connection.
func (c *headConn) Close() error {
	c.listener.pool.remove(c)
	c.release()
	return c.TCPConn.Close()
}

// headConnKey is the key of a connection in the context of its requests.
type headConnKey struct{}

// followHeads makes a server follow the heads of its connections.
func followHeads(server *http.Server) {
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, headConnKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*headConn)
		if ok && state == http.StateIdle {
			c.next()
			c.listener.pool.wait(c)
		}
	}
	next := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(headConnKey{}).(*headConn)
		if !ok || r.ProtoMajor != 1 {
			next.ServeHTTP(w, r)
			return
		}
		last, ok := c.listener.pool.begin(c)
		if !ok {
			panic(http.ErrAbortHandler)
		}
		if last {
			w.Header().Set("Connection", "close")
		}
		cost := parsedCost(r)
		if !c.enter(cost) {
			heads := c.listener.heads
			heads.refused(HeadRefusal{Client: r.RemoteAddr, Lines: len(r.Header), Cost: cost, Used: heads.Used(), Status: http.StatusServiceUnavailable})
			w.Header().Set("Retry-After", refusalRetryAfter)
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = io.WriteString(w, http.StatusText(http.StatusServiceUnavailable)+"\n")
			return
		}
		defer c.leave()
		next.ServeHTTP(w, r)
	})
}
