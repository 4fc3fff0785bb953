package listener

import (
	"container/list"
	"sync"
	"syscall"
)

// Connections bounds the connections of a listener.
type Connections struct {
	// Max is the number of open connections, 0 for no bound.
	Max int
	// ReceiveBufferBytes is the size of the kernel's receive buffer of each connection, as far as
	// the kernel keeps to it; 0 for the size that the kernel chooses.
	ReceiveBufferBytes int
	// Closed is called with each connection that was closed for want of room.
	Closed func(ClosedConnection)
}

// ClosedConnection describes a connection that was closed for want of room. It carried no request
// that was read.
type ClosedConnection struct {
	// Client is the address of the client.
	Client string
	// Waited is true if the connection was open and waited for a request, false if it was new.
	Waited bool
	// Open is the number of connections that are left.
	Open int
}

// control sets the size of the receive buffer on a socket before it listens; accepted connections
// inherit it.
func (c Connections) control(_, _ string, raw syscall.RawConn) error {
	if c.ReceiveBufferBytes == 0 {
		return nil
	}
	var result error
	err := raw.Control(func(fd uintptr) {
		result = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.ReceiveBufferBytes)
	})
	if err != nil {
		return err
	}
	return result
}

// connectionPool counts open connections and knows those that wait for a request.
type connectionPool struct {
	Connections

	mu   sync.Mutex
	open int
	// owed is the number of connections that have to give way after their request, one for each
	// new connection that was closed.
	owed int
	// waiting has the connections without a request that was read, by the time since which they
	// wait, the longest first.
	waiting list.List
}

// add counts a new connection. If there are too many, the one that has waited longest for a request
// is closed, or the new one is not taken if none waits.
func (p *connectionPool) add(c *headConn) bool {
	p.mu.Lock()
	p.open++
	if p.Max == 0 || p.open <= p.Max {
		c.waiting = p.waiting.PushBack(c)
		p.mu.Unlock()
		return true
	}
	longest := p.waiting.Front()
	if longest == nil {
		p.open--
		p.owed = min(p.owed+1, p.Max)
		closed := ClosedConnection{Client: c.RemoteAddr().String(), Open: p.open}
		p.mu.Unlock()
		p.Closed(closed)
		return false
	}
	victim := p.stopWaiting(longest)
	victim.evicted = true
	c.waiting = p.waiting.PushBack(c)
	closed := ClosedConnection{Client: victim.RemoteAddr().String(), Waited: true, Open: p.open - 1}
	p.mu.Unlock()
	_ = victim.Close()
	p.Closed(closed)
	return true
}

// stopWaiting takes a connection off the list. The caller holds p.mu.
func (p *connectionPool) stopWaiting(entry *list.Element) *headConn {
	c, _ := p.waiting.Remove(entry).(*headConn)
	c.waiting = nil
	return c
}

// begin records that a request was read from a connection, and returns whether the connection has to
// give way after it. It is not ok if the connection is about to be closed, so that the request must
// not run.
func (p *connectionPool) begin(c *headConn) (last, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiting != nil {
		p.stopWaiting(c.waiting)
	}
	if c.evicted || p.owed == 0 {
		return false, !c.evicted
	}
	p.owed--
	return true, true
}

// wait records that a connection waits for its next request.
func (p *connectionPool) wait(c *headConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.waiting == nil && !c.removed {
		c.waiting = p.waiting.PushBack(c)
	}
}

// remove ends the count of a connection.
func (p *connectionPool) remove(c *headConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.removed {
		return
	}
	c.removed = true
	p.open--
	if c.waiting != nil {
		p.stopWaiting(c.waiting)
	}
}

// count returns the number of open connections.
func (p *connectionPool) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
