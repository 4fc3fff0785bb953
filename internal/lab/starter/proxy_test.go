package starter

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// linkState holds the faults of a proxied link.
type linkState struct {
	// delay is added to each chunk from the target to the client.
	delay time.Duration
	// dropToTarget and dropFromTarget discard the data to the target, or from it.
	dropToTarget   bool
	dropFromTarget bool
	// reset closes all connections, also new ones, immediately.
	reset bool
}

// proxy is a TCP proxy to a target whose link can be slow, drop data one way or both
// ways, or be reset.
type proxy struct {
	socket net.Listener
	target string

	mu    sync.Mutex
	state linkState
	conns map[net.Conn]bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	var sockets net.ListenConfig
	socket, err := sockets.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{socket: socket, target: target, conns: make(map[net.Conn]bool)}
	var workers sync.WaitGroup
	workers.Go(func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			workers.Go(func() { p.serve(conn) })
		}
	})
	t.Cleanup(func() {
		_ = socket.Close()
		p.set(linkState{reset: true})
		workers.Wait()
	})
	return p
}

func (p *proxy) address() string { return p.socket.Addr().String() }

// set replaces the faults of the link; a reset closes the open connections.
func (p *proxy) set(state linkState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = state
	if state.reset {
		for conn := range p.conns {
			_ = conn.Close()
		}
	}
}

func (p *proxy) get() linkState {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// track registers a connection, so that a later reset closes it, and returns true.
// While a reset is in effect, it closes the connection and returns false.
func (p *proxy) track(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.reset {
		_ = conn.Close()
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *proxy) untrack(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *proxy) serve(conn net.Conn) {
	if !p.track(conn) {
		return
	}
	defer p.untrack(conn)
	var dialer net.Dialer
	targetConn, err := dialer.DialContext(context.Background(), "tcp", p.target)
	if err != nil || !p.track(targetConn) {
		return
	}
	defer p.untrack(targetConn)
	var toClient sync.WaitGroup
	toClient.Go(func() {
		p.copyDirection(conn, targetConn, func(s linkState) (time.Duration, bool) { return s.delay, s.dropFromTarget })
		_ = conn.Close()
	})
	p.copyDirection(targetConn, conn, func(s linkState) (time.Duration, bool) { return 0, s.dropToTarget })
	_ = targetConn.Close()
	toClient.Wait()
}

// copyDirection copies one direction of a connection; directionFaults returns the delay
// and whether to drop the data. After the first dropped chunk it drops the rest, so
// that the receiver gets a truncated stream and never one with a gap.
func (p *proxy) copyDirection(to io.Writer, from io.Reader, directionFaults func(linkState) (time.Duration, bool)) {
	dropping := false
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		delay, drop := directionFaults(p.get())
		dropping = dropping || (drop && n > 0)
		if !dropping && n > 0 {
			time.Sleep(delay)
			_, writeErr := to.Write(buffer[:n])
			if writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
