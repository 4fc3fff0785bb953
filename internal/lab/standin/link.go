package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

// Cut is how the path from a host to a server is interrupted.
type Cut string

// The ways in which a path is interrupted.
const (
	// CutNone means that the path works.
	CutNone Cut = ""
	// CutSilent lets open connections and attempts to open new ones hang.
	CutSilent Cut = "silent"
	// CutReset resets open connections and refuses new ones.
	CutReset Cut = "reset"
	// CutRefuse refuses new connections; open ones live on.
	CutRefuse Cut = "refuse"
)

// fillTimeout is how long a connection may take to open until the queue of the socket is
// taken to be full.
const fillTimeout = 20 * time.Millisecond

// ParseCut returns the cut that a text names.
func ParseCut(text string) (Cut, error) {
	switch c := Cut(text); c {
	case CutNone, CutSilent, CutReset, CutRefuse:
		return c, nil
	}
	return CutNone, fmt.Errorf("unknown cut %q (allowed: silent, reset, refuse)", text)
}

// link is the path from one host to a server: an IP address of its own at which the server
// serves only that host, on the same port.
type link struct {
	server  *Server
	address string

	mu     sync.Mutex
	cut    Cut
	socket net.Listener
	// full is the listening socket whose queue is full while the path is silent, filler
	// holds the connections in that queue.
	full   int
	filler []net.Conn
	conns  map[*linkConn]bool
	// healed is closed when the path works again; nil while it does.
	healed chan struct{}
	// down is set while the server has crashed.
	down   bool
	closed bool
}

// linkConn is a connection on a link. While the link is silent, what it has read is held.
type linkConn struct {
	*net.TCPConn

	link *link
}

// Read reads from the connection; it fails if the peer has closed the connection while the
// link was silent.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	healed := c.link.silent()
	if healed == nil || err != nil {
		return n, err
	}
	<-healed
	err = c.peerError()
	if err != nil {
		return 0, err
	}
	return n, nil
}

// Write writes to the connection once the link isn't silent.
func (c *linkConn) Write(p []byte) (int, error) {
	healed := c.link.silent()
	if healed != nil {
		<-healed
	}
	return c.TCPConn.Write(p)
}

// peerError returns an error if the peer has closed or reset the connection.
func (c *linkConn) peerError() error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var n int
		n, _, peekErr = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if peekErr == nil && n == 0 {
			peekErr = net.ErrClosed
		}
		return true
	})
	if errors.Is(peekErr, syscall.EAGAIN) {
		peekErr = nil
	}
	return errors.Join(err, peekErr)
}

// LinkTo gives a host a path of its own, over which SetCut has power: the server also listens
// at an IP address of loopback that only this host uses.
func (s *Server) LinkTo(host, ip string) error {
	_, port, err := net.SplitHostPort(s.Address())
	if err != nil {
		return err
	}
	l := &link{server: s, address: net.JoinHostPort(ip, port), full: -1, conns: make(map[*linkConn]bool)}
	err = l.listen()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.links[host] = l
	return nil
}

// SetCut interrupts the path of a host that has a link, or restores it with CutNone.
func (s *Server) SetCut(host string, cut Cut) error {
	s.mu.Lock()
	l := s.links[host]
	s.mu.Unlock()
	if l == nil {
		return fmt.Errorf("server %s has no link to host %s", s.ID, host)
	}
	return l.set(cut)
}

// accept serves the connections of a socket until it is closed.
func (l *link) accept(socket net.Listener) {
	for {
		conn, err := socket.Accept()
		if err != nil {
			return
		}
		tcp, ok := conn.(*net.TCPConn)
		c := &linkConn{TCPConn: tcp, link: l}
		if !ok || !l.add(c) {
			_ = conn.Close()
			continue
		}
		l.server.opened.Add(1)
		l.server.workers.Go(func() {
			l.server.serve(c)
			l.remove(c)
		})
	}
}

func (l *link) add(c *linkConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.down {
		return false
	}
	l.conns[c] = true
	return true
}

func (l *link) remove(c *linkConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	_ = c.Close()
}

// silent returns a channel that is closed when the link isn't silent any more, or nil.
func (l *link) silent() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.healed
}

// set replaces the cut of the path.
func (l *link) set(cut Cut) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.cut == cut {
		return nil
	}
	l.restore()
	l.cut = cut
	if cut == CutNone {
		return l.listen()
	}
	if l.socket != nil {
		_ = l.socket.Close()
		l.socket = nil
	}
	switch cut {
	case CutSilent:
		l.healed = make(chan struct{})
		return l.fill()
	case CutReset:
		for c := range l.conns {
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	case CutNone, CutRefuse:
	}
	return nil
}

// restore ends the effects of the cut in force.
func (l *link) restore() {
	if l.full >= 0 {
		_ = syscall.Close(l.full)
		l.full = -1
	}
	for _, conn := range l.filler {
		_ = conn.Close()
	}
	l.filler = nil
	if l.healed != nil {
		close(l.healed)
		l.healed = nil
	}
}

func (l *link) listen() error {
	if l.socket != nil || l.down {
		return nil
	}
	var sockets net.ListenConfig
	socket, err := sockets.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return err
	}
	l.socket = socket
	l.server.workers.Go(func() { l.accept(socket) })
	return nil
}

// fill listens with a queue for a single connection and fills it, so that further attempts
// to open a connection get no reaction.
func (l *link) fill() error {
	address, err := netip.ParseAddrPort(l.address)
	if err != nil {
		return err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	l.full = fd
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(address.Port()), Addr: address.Addr().As4()})
	}
	if err == nil {
		err = syscall.Listen(fd, 0)
	}
	if err != nil {
		return err
	}
	dialer := net.Dialer{Timeout: fillTimeout}
	for {
		conn, err := dialer.DialContext(context.Background(), "tcp", l.address)
		if conn == nil {
			// The queue is full.
			return ignoreTimeout(err)
		}
		l.filler = append(l.filler, conn)
	}
}

// ignoreTimeout returns an error unless it is a time-out.
func ignoreTimeout(err error) error {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return nil
	}
	return err
}

// close ends the link and its connections.
func (l *link) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.restore()
	if l.socket != nil {
		_ = l.socket.Close()
	}
	for c := range l.conns {
		_ = c.Close()
	}
}
