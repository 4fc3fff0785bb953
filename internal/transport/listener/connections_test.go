package listener

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// crowdedServer is a listener with room for two connections, whose handler waits on request.
type crowdedServer struct {
	*Listener

	// entered gets a value for each request to /wait, which ends once finish is closed.
	entered chan struct{}
	finish  chan struct{}

	mu     sync.Mutex
	closed []ClosedConnection
}

func newCrowdedServer(t *testing.T) *crowdedServer {
	is := is.New(t)
	s := &crowdedServer{entered: make(chan struct{}, 8), finish: make(chan struct{})}
	connections := Connections{Max: 2, ReceiveBufferBytes: 16 << 10, Closed: func(c ClosedConnection) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.closed = append(s.closed, c)
	}}
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			s.entered <- struct{}{}
			<-s.finish
		}
	})
	var err error
	s.Listener, err = New(Config{Address: "127.0.0.1:0", CallerFacing: true, Heads: NewHeads(DefaultHeadBudget, func(HeadRefusal) {}), Connections: connections, Handler: handler})
	is.NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// client is a connection to a crowdedServer.
type client struct {
	net.Conn

	in *bufio.Reader
}

func (s *crowdedServer) dial(t *testing.T) *client {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{conn, bufio.NewReader(conn)}
}

// ask sends a request and returns the status of the answer, 0 if the connection was closed.
func (c *client) ask(path string) int {
	_, _ = io.WriteString(c, head(http.MethodGet, path, 0, ""))
	response, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// awaitWaiting waits until a number of connections wait for a request; a client may have its answer
// before its connection does.
func (s *crowdedServer) awaitWaiting(n int) {
	for {
		s.pool.mu.Lock()
		waiting := s.pool.waiting.Len()
		s.pool.mu.Unlock()
		if waiting == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestTheLongestWaitingConnectionGivesWay opens more connections than there is room for: the one
// that has waited longest is closed, those with a request never are.
func TestTheLongestWaitingConnectionGivesWay(t *testing.T) {
	is := is.New(t)
	s := newCrowdedServer(t)
	busy, idle, next := s.dial(t), s.dial(t), s.dial(t)
	is.Equal(idle.ask("/"), http.StatusOK)
	is.Equal(next.ask("/"), http.StatusOK)
	// The first connection has given way, as it had no request.
	is.Equal(busy.ask("/"), 0)
	answered := make(chan int)
	busy = next
	go func() { answered <- busy.ask("/wait") }()
	<-s.entered
	s.awaitWaiting(1)
	newest := s.dial(t)
	is.Equal(newest.ask("/"), http.StatusOK)
	is.Equal(idle.ask("/"), 0)
	s.awaitWaiting(1)
	another := s.dial(t)
	is.Equal(another.ask("/"), http.StatusOK)
	is.Equal(newest.ask("/"), 0)
	close(s.finish)
	is.Equal(<-answered, http.StatusOK)
	is.Equal(s.Connections(), 2)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(len(s.closed), 3)
	for _, c := range s.closed {
		is.True(c.Waited)
	}
}

// TestNewConnectionsGiveWayToRequests fills the room with requests: a new connection is closed, and
// has its turn once a request has ended. In return, the next request is the last of its connection.
func TestNewConnectionsGiveWayToRequests(t *testing.T) {
	is := is.New(t)
	s := newCrowdedServer(t)
	answered := make(chan int)
	for range 2 {
		c := s.dial(t)
		go func() { answered <- c.ask("/wait") }()
		<-s.entered
	}
	is.Equal(s.dial(t).ask("/"), 0)
	close(s.finish)
	is.Equal(<-answered, http.StatusOK)
	is.Equal(<-answered, http.StatusOK)
	s.awaitWaiting(2)
	last := s.dial(t)
	is.Equal(last.ask("/"), http.StatusOK)
	is.Equal(last.ask("/"), 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(len(s.closed), 2)
	is.True(!s.closed[0].Waited)
}
