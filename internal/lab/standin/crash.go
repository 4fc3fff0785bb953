package standin

import (
	"context"
	"net"
	"strings"
	"time"
)

// defaultDownTime is how long a crashed server is down if its behaviour doesn't tell.
const defaultDownTime = time.Second

// deadly reports whether a request with a target crashes the server.
func (b Behaviour) deadly(target string) bool {
	return b.Deadly != "" && strings.Contains(target, b.Deadly)
}

// Crash ends the server with all connections, and starts a new incarnation at the same
// address after the time that its behaviour tells.
func (s *Server) Crash() {
	s.mu.Lock()
	if s.down || s.closed {
		s.mu.Unlock()
		return
	}
	s.down = true
	s.crashes.Add(1)
	_ = s.socket.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	for _, l := range s.links {
		l.crash()
	}
	downTime := s.behaviour.DownTime
	s.mu.Unlock()
	if downTime == 0 {
		downTime = defaultDownTime
	}
	time.AfterFunc(downTime, s.start)
}

// Crashes returns how often the server has crashed.
func (s *Server) Crashes() int { return int(s.crashes.Load()) }

// OnRestart has a function called with each new incarnation after a crash.
func (s *Server) OnRestart(restarted func(*Server)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restarted = restarted
}

// start starts a new incarnation after a crash.
func (s *Server) start() {
	s.mu.Lock()
	if s.closed || !s.down {
		s.mu.Unlock()
		return
	}
	var sockets net.ListenConfig
	socket, err := sockets.Listen(context.Background(), "tcp", s.Address())
	if err != nil {
		// Another socket may still have the address.
		s.mu.Unlock()
		time.AfterFunc(fillTimeout, s.start)
		return
	}
	s.socket, s.down = socket, false
	s.Restart()
	s.workers.Go(func() { s.accept(socket) })
	for _, l := range s.links {
		l.restart()
	}
	restarted := s.restarted
	s.mu.Unlock()
	if restarted != nil {
		restarted(s)
	}
}

// crash closes the link's connections and refuses new ones until restart.
func (l *link) crash() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = true
	if l.socket != nil {
		_ = l.socket.Close()
		l.socket = nil
	}
	for c := range l.conns {
		_ = c.Close()
	}
}

// restart accepts connections again unless the path is cut.
func (l *link) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = false
	if l.closed || l.cut != CutNone {
		return
	}
	err := l.listen()
	if err != nil {
		time.AfterFunc(fillTimeout, l.restart)
	}
}
