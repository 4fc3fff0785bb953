package starter

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/standin"
)

const (
	// crowdMemory is the memory of the host in MB, less than half of that of the smallest planned
	// ones; crowdConnections is likewise a small part of what these may have.
	crowdMemory      = 96
	crowdConnections = 400
	// crowdDescriptors leaves room for the connections of the crowd, and for others and files.
	crowdDescriptors = crowdConnections + 400
	// crowdHeadBytes is within the 16 KB that callers may send.
	crowdHeadBytes = 16_000
	// crowdShards is the number of shards of a query.
	crowdShards = 48
	// crowdPeers is the number of other hosts in calm.
	crowdPeers = 3
	// crowdTrickles is the number of lines that follow one by one after an unfinished head.
	crowdTrickles = 20
)

// headLines returns lines of a form that fill a head.
func headLines(line func(i int) string) string {
	var b strings.Builder
	for i := 0; ; i++ {
		next := line(i)
		if b.Len()+len(next) > crowdHeadBytes {
			return b.String()
		}
		b.WriteString(next)
	}
}

// shortName returns a header name of two or three characters for each i.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	name := string(letters[i%len(letters)]) + string(letters[i/len(letters)%len(letters)])
	if i >= len(letters)*len(letters) {
		name += string(letters[i/len(letters)/len(letters)%len(letters)])
	}
	return "q" + name
}

// oddLines has a form of lines for each member of a crowd of odd ones, by turns.
var oddLines = []func(i int) string{
	func(int) string { return "a:\r\n" },
	func(int) string { return "a:\n" },
	func(i int) string { return shortName(i) + ":\n" },
	func(i int) string { return shortName(i) + ": \r\n \r\n" },
	func(i int) string { return shortName(i) + ": \xe9\xff\r\n" },
	func(i int) string { return strings.Repeat("n", 1000) + strconv.Itoa(i) + ":\r\n" },
	func(int) string { return "Connection: " + strings.Repeat("x,", 100) + "\r\n" },
	func(int) string { return "X-Request-Id: \tx\r\n" },
}

// crowd is a number of connections that send heads of legal size to one host at the same time.
type crowd struct {
	*soak

	path string
	// headers are those of member i beside the usual ones.
	headers func(i int) string
	// unfinished heads don't end, and go on line by line.
	unfinished bool
	// bodyBytes is the announced length of a body that never comes.
	bodyBytes int
}

// TestCrowdsOfManyHeaderLinesStayWithinMemory guards against clients that end a host by requests of
// legal size with very many short or odd header lines, each of which takes much more memory than
// its bytes. It judges the process from outside: it lives, its memory and open descriptors stay
// under a bound, and an ordinary request is answered.
func TestCrowdsOfManyHeaderLinesStayWithinMemory(t *testing.T) {
	short := headLines(func(i int) string { return shortName(i) + ":\r\n" })
	shortLines := func(int) string { return short }
	var odd []string
	for _, line := range oddLines {
		odd = append(odd, headLines(line))
	}
	for name, c := range map[string]crowd{
		"Plain":      {path: "/s/", headers: shortLines},
		"Query":      {path: "/q/", headers: shortLines},
		"Unfinished": {path: "/s/", headers: shortLines, unfinished: true},
		"SlowBodies": {path: "/s/", headers: shortLines, bodyBytes: 1 << 20},
		"Odd":        {path: "/s/", headers: func(i int) string { return odd[i%len(odd)] }, bodyBytes: 1},
	} {
		t.Run(name, func(t *testing.T) { c.test(t) })
	}
}

func (c crowd) test(t *testing.T) {
	is := is.New(t)
	c.soak = crowdSoak(t)
	connections := make([]net.Conn, crowdConnections)
	var members sync.WaitGroup
	for i := range connections {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", fmt.Sprint("127.0.0.1:", c.basePorts[0]))
		is.NoErr(err)
		defer func() { _ = conn.Close() }()
		connections[i] = conn
	}
	for i, conn := range connections {
		members.Go(func() { c.send(conn, i) })
	}
	Eventually(t, "an ordinary request is answered beside the crowd", func() bool { return c.slowCall("beside") == http.StatusOK })
	descriptors := c.descriptors()
	members.Wait()
	Eventually(t, "an ordinary request is answered after the crowd", func() bool { return c.slowCall("after") == http.StatusOK })
	peak := c.peakMemory()
	t.Logf("at most %d MB, %d descriptors beside the crowd", peak>>20, descriptors)
	is.True(peak < crowdMemory<<20)
	is.True(descriptors < crowdDescriptors)
	is.Equal(c.hosts[0].Stop(t), 0) // the process has not ended by itself
}

// TestAHeadOfManyLinesIsServedInCalm sends one request after another with heads of legal size over
// all shards of a query, to hosts that pass queries on to each other.
func TestAHeadOfManyLinesIsServedInCalm(t *testing.T) {
	is := is.New(t)
	s := crowdSoak(t)
	for range crowdPeers {
		s.addHost(s.store.Address())
	}
	s.waitReady()
	for i, line := range append(oddLines[:4:4], func(i int) string { return shortName(i) + ":\r\n" }) {
		lines := headLines(line)
		Eventually(t, "a query with many header lines is served in whole", func() bool {
			conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", fmt.Sprint("127.0.0.1:", s.basePorts[i%len(s.hosts)]))
			if err != nil {
				return false
			}
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "GET /q/%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: calm-%d\r\nX-Deadline-Ms: 3000\r\n%s\r\n", i, soakHostname, i, lines)
			if err != nil {
				return false
			}
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				return false
			}
			_ = response.Body.Close()
			return response.StatusCode == http.StatusOK && response.Header.Get("X-Missing-Parts") == "0"
		})
	}
	for i := range s.hosts {
		is.True(!strings.Contains(s.hosts[i].Logs(), "headRefused"))
		is.Equal(s.hosts[i].Stop(t), 0)
	}
}

// send sends the request of member i and waits for the answer or the end of the connection.
func (c crowd) send(conn net.Conn, i int) {
	head := fmt.Sprintf("POST %s%d HTTP/1.1\r\nHost: %s\r\nX-Request-Id: crowd-%d\r\nX-Deadline-Ms: 3000\r\n", c.path, i, soakHostname, i)
	if c.bodyBytes > 0 {
		head += fmt.Sprintf("Content-Length: %d\r\n", c.bodyBytes)
	}
	head += c.headers(i)
	if !c.unfinished {
		head += "\r\n"
	}
	_, err := conn.Write([]byte(head))
	for n := 0; c.unfinished && err == nil && n < crowdTrickles; n++ {
		time.Sleep(waitInterval)
		_, err = fmt.Fprintf(conn, "z%d:\r\n", n)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_ = response.Body.Close()
	}
}

// crowdSoak starts a host with little memory, the servers of a query and those of a service.
func crowdSoak(t *testing.T) *soak {
	s := emptySoak(t, 1)
	shards := make([]string, crowdShards)
	for i := range shards {
		shards[i] = fmt.Sprint("shard", i)
		server := s.addServer(shards[i], shards[i], "d1")
		server.Rows = []uint64{uint64(i)}
		s.register(server)
	}
	for i := range hangupCallers {
		server := s.addServer(fmt.Sprint("c", i), "c", "d1")
		server.Behave(standin.Behaviour{Delay: 20 * time.Millisecond})
		s.register(server)
	}
	s.store.Configure(1, soakHostname,
		map[string]any{"name": "q", "path_prefix": "/q/", "kind": "idempotent", "gather": shards, "top_k": 3, "min_coverage": 0.5},
		map[string]any{"name": "s", "path_prefix": "/s/", "kind": "idempotent", "service": "c"})
	s.memory = crowdMemory
	s.addHost(s.store.Address())
	s.waitReady()
	return s
}

// peakMemory returns the greatest resident memory of host 0 so far in bytes.
func (s *soak) peakMemory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.hosts[0].cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	var kilobytes int
	for line := range strings.Lines(string(data)) {
		_, _ = fmt.Sscanf(line, "VmHWM: %d kB", &kilobytes)
	}
	if kilobytes == 0 {
		s.t.Fatal("the peak memory of the host is unknown")
	}
	return kilobytes << 10
}

// descriptors returns the number of open descriptors of host 0.
func (s *soak) descriptors() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", s.hosts[0].cmd.Process.Pid))
	if err != nil {
		s.t.Fatal(err)
	}
	return len(entries)
}
