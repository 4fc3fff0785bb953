package listener

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// headServer serves requests with a budget for heads, and counts those it has refused.
type headServer struct {
	*Listener

	heads   *Heads
	refused atomic.Int64
	// used is the budget in use while the last request was served.
	used atomic.Int64
}

func newHeadServer(t *testing.T, budget int64) *headServer {
	is := is.New(t)
	s := &headServer{}
	s.heads = NewHeads(budget, func(HeadRefusal) { s.refused.Add(1) })
	var err error
	s.Listener, err = New(Config{Address: "127.0.0.1:0", CallerFacing: true, Heads: s.heads, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.used.Store(s.heads.Used())
		if r.URL.Path == "/read" {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		w.WriteHeader(http.StatusOK)
	})})
	is.NoErr(err)
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// statuses sends bytes on one connection and returns the statuses of the answers, up to n.
func (s *headServer) statuses(t *testing.T, text string, n int) (statuses []int) {
	conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, text) }()
	in := bufio.NewReader(conn)
	for range n {
		response, err := http.ReadResponse(in, nil)
		if err != nil {
			return statuses
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		statuses = append(statuses, response.StatusCode)
	}
	return statuses
}

func head(method, path string, body int, lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n%s\r\n", method, path, body, lines)
}

// TestHeadsOfLegalSizeAreServed sends heads of the shortest lines that callers may send.
func TestHeadsOfLegalSizeAreServed(t *testing.T) {
	is := is.New(t)
	s := newHeadServer(t, DefaultHeadBudget)
	start := len(head("POST", "/read", 0, ""))
	for _, line := range []string{"a:\n", "a:\r\n", "a:\r\n b\r\n"} {
		lines := strings.Repeat(line, (maxHeaderBytes-start)/len(line))
		is.Equal(s.statuses(t, head("POST", "/read", 0, lines), 1), []int{http.StatusOK})
		is.True(s.used.Load() > 0)
	}
	is.Equal(s.refused.Load(), int64(0))
	is.Equal(s.statuses(t, head("POST", "/read", 0, strings.Repeat("a:\n", maxHeaderBytes/minHeaderLine+10)), 1), []int{http.StatusRequestHeaderFieldsTooLarge})
	is.Equal(s.heads.Used(), int64(0))
}

// TestSmallHeadsAreServedWithoutBudget exhausts the budget and checks that other requests are
// served, and that a refusal says when to try again.
func TestSmallHeadsAreServedWithoutBudget(t *testing.T) {
	is := is.New(t)
	s := newHeadServer(t, 1)
	large := head("GET", "/", 0, strings.Repeat("a:\r\n", 1000))
	small := head("GET", "/", 0, strings.Repeat("a:\r\n", 20))
	is.Equal(s.statuses(t, large, 1), []int{http.StatusServiceUnavailable})
	is.Equal(s.statuses(t, small+small, 2), []int{http.StatusOK, http.StatusOK})
	is.Equal(s.refused.Load(), int64(1))
	is.Equal(s.heads.Used(), int64(0))
}

// TestBodiesAreNoHeads sends bodies of many lines, read by the handler or not, between requests of
// one connection: they don't count, and a large head after them does.
func TestBodiesAreNoHeads(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("x\n\n", 20_000)
	chunked := fmt.Sprintf("POST /read HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	large := head("GET", "/", 0, strings.Repeat("a:\r\n", 1000))
	for _, first := range []string{head("POST", "/read", len(body), "") + body, head("POST", "/skip", len(body), "") + body, chunked} {
		ample, scarce := newHeadServer(t, DefaultHeadBudget), newHeadServer(t, 1)
		is.Equal(ample.statuses(t, first+first+large, 3), []int{http.StatusOK, http.StatusOK, http.StatusOK})
		is.True(ample.used.Load() >= 1000*headLineCost)
		is.Equal(scarce.statuses(t, first+large, 2), []int{http.StatusOK, http.StatusServiceUnavailable})
		is.Equal(scarce.heads.Used(), int64(0))
	}
}
