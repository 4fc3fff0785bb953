package starter

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"time"
)

// linkState is how a proxied link treats what passes.
type linkState struct {
	// delay is added to each chunk towards the caller.
	delay time.Duration
	// silentTo and silentFrom swallow what goes to the other side, or comes from it.
	silentTo   bool
	silentFrom bool
	// reset ends each connection at once.
	reset bool
}

// proxy is a link to an address that can be slow, cut one way, silent or reset.
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

// set changes the link; a link that resets ends the connections that are open.
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

// hold keeps a connection to be closed by a reset, or closes it at once.
func (p *proxy) hold(conn net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state.reset {
		_ = conn.Close()
		return false
	}
	p.conns[conn] = true
	return true
}

func (p *proxy) release(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
	_ = conn.Close()
}

func (p *proxy) serve(conn net.Conn) {
	if !p.hold(conn) {
		return
	}
	defer p.release(conn)
	var dialer net.Dialer
	other, err := dialer.DialContext(context.Background(), "tcp", p.target)
	if err != nil || !p.hold(other) {
		return
	}
	defer p.release(other)
	var back sync.WaitGroup
	back.Go(func() {
		p.pump(conn, other, func(s linkState) (time.Duration, bool) { return s.delay, s.silentFrom })
		_ = conn.Close()
	})
	p.pump(other, conn, func(s linkState) (time.Duration, bool) { return 0, s.silentTo })
	_ = other.Close()
	back.Wait()
}

// pump copies one direction of a link; what is swallowed is lost for good, so
// that the connection never says anything sensible again.
func (p *proxy) pump(to io.Writer, from io.Reader, how func(linkState) (time.Duration, bool)) {
	lost := false
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		delay, silent := how(p.get())
		lost = lost || (silent && n > 0)
		if !lost && n > 0 {
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
