package starter

import (
	"bufio"
	"context"
	"fmt"
	"io"
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
	// narrowMemory is the memory of the host in MB, less than half of that of the smallest planned
	// ones, and narrowDescriptors the number that it may open. The platform keeps fileDescriptors
	// of them for files.
	narrowMemory      = 64
	narrowDescriptors = 2000
	fileDescriptors   = 200
	// gatheringSize is the number of clients of a gathering unless it has a number of its own.
	gatheringSize = 1200
	// gatheringWork is the service time of a request.
	gatheringWork = time.Second
	// unreadInterval is the time between two requests whose answers nobody reads.
	unreadInterval = 50 * time.Millisecond
	// gatheringWait is how long a client waits for a connection or an answer.
	gatheringWait = 4 * time.Second
	// longAnswerRows is the number of rows of an answer of 4 MB, more than the kernel takes of it.
	longAnswerRows = 1 << 18
	// longTargetBytes and announcedBytes, as parts of a head, are within the 16 KB that callers may send.
	longTargetBytes = 15_000
	announcedBytes  = 15_000
	// linesAfterBodyBytes is what net/http reads after a body at most.
	linesAfterBodyBytes = 4000
	// aheadBytes is the size of the requests that a client sends before the first one is answered.
	aheadBytes = 256 << 10
)

// gathering is a number of clients that each hold one connection to a host with little memory and
// few descriptors, at the same time.
type gathering struct {
	*soak

	clients int
	// memory is that of the host in MB, narrowMemory if it is 0.
	memory int
	// descriptors is the limit of the host, narrowDescriptors if it is 0.
	descriptors int
	// talk sends what client i sends; the connection stays open after it.
	talk func(conn net.Conn, i int)
	// readBuffer is the size of the receive buffer of a client in bytes, 0 for the usual one.
	readBuffer int
}

// TestGatheringsStayWithinMemoryAndDescriptors guards against clients that end a host, or keep others
// from it, by the number of requests and connections or by what each makes the host hold. It
// judges the process from outside: it lives, its memory with the bytes that it hasn't read stays
// below that of its machine, its sockets leave the descriptors for files, and an ordinary request is
// answered while the connections are open and afterwards.
func TestGatheringsStayWithinMemoryAndDescriptors(t *testing.T) {
	usual := usualLines()
	target := strings.Repeat("%41b/", longTargetBytes/5)
	announced := announcedTrailers()
	after := linesAfterBody()
	ahead := requestsAhead()
	for name, g := range map[string]gathering{
		"Requests": {talk: func(conn net.Conn, i int) { ask(conn, http.MethodGet, "/s/x", i, "") }},
		"UsualHeads": {talk: func(conn net.Conn, i int) {
			ask(conn, http.MethodGet, "/s/x", i, usual)
		}},
		"Queries": {clients: 300, talk: func(conn net.Conn, i int) { ask(conn, http.MethodGet, "/q/x", i, "") }},
		"LongTargets": {clients: 800, talk: func(conn net.Conn, i int) {
			ask(conn, http.MethodGet, "/s/"+target, i, "")
		}},
		"AnnouncedTrailers": {clients: 400, talk: func(conn net.Conn, i int) {
			// The last chunk never comes.
			ask(conn, http.MethodPost, "/s/x", i, "Transfer-Encoding: chunked\r\nTrailer: "+announced+"\r\n\r\n2\r\nok\r\n")
		}},
		"LinesAfterBody": {clients: 600, talk: func(conn net.Conn, i int) {
			ask(conn, http.MethodPost, "/s/x", i, "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+after)
		}},
		"RequestsAhead": {clients: 600, talk: func(conn net.Conn, i int) {
			go func() { _, _ = io.WriteString(conn, ahead) }()
			ask(conn, http.MethodGet, "/s/x", i, "")
		}},
		// The smallest planned host, with more clients than it has room for.
		"ManyRequestsAhead": {clients: 1000, memory: 136, descriptors: 2870, talk: func(conn net.Conn, i int) {
			go func() { _, _ = io.WriteString(conn, ahead) }()
			ask(conn, http.MethodGet, "/s/x", i, "Connection: close\r\n")
		}},
		"UnreadAnswers": {clients: 40, readBuffer: 4 << 10, talk: func(conn net.Conn, i int) {
			// One after another, as the host reads only some long answers at the same time.
			time.Sleep(time.Duration(i) * unreadInterval)
			send(conn, http.MethodGet, "/long/x", i, "")
			time.Sleep(gatheringWait)
		}},
		"UnfinishedBodies": {clients: 800, descriptors: 800, talk: func(conn net.Conn, i int) {
			ask(conn, http.MethodPost, "/s/x", i, "X-Deadline-Ms: 3600000\r\nContent-Length: 1000\r\n\r\nx")
		}},
		"IdleConnections": {clients: 800, descriptors: 800, talk: func(conn net.Conn, i int) {
			ask(conn, http.MethodGet, "/s/x", i, "")
		}},
	} {
		t.Run(name, func(t *testing.T) { g.test(t) })
	}
}

// usualLines returns 27 header lines of a usual length.
func usualLines() string {
	var b strings.Builder
	for i := range 27 {
		fmt.Fprintf(&b, "X-Usual-Header-%d: %s\r\n", i, strings.Repeat("v", 30))
	}
	return b.String()
}

// announcedTrailers returns a value of the header Trailer with very many names.
func announcedTrailers() string {
	var b strings.Builder
	for i := 0; b.Len() < announcedBytes; i++ {
		b.WriteString(shortName(i) + ",")
	}
	return b.String() + "q"
}

// linesAfterBody returns very many short header lines that end a request.
func linesAfterBody() string {
	var b strings.Builder
	for i := 0; b.Len() < linesAfterBodyBytes; i++ {
		b.WriteString(shortName(i) + ":\n")
	}
	return b.String() + "q:\r\n\r\n"
}

// requestsAhead returns ordinary requests.
func requestsAhead() string {
	one := fmt.Sprintf("GET /s/ahead HTTP/1.1\r\nHost: %s\r\nX-Request-Id: ahead\r\nX-Deadline-Ms: 3000\r\n\r\n", soakHostname)
	return strings.Repeat(one, aheadBytes/len(one))
}

// send sends a request of client i; lines follow the usual ones, and may go beyond the head.
func send(conn net.Conn, method, path string, i int, lines string) {
	if !strings.Contains(lines, "X-Deadline-Ms") {
		lines = "X-Deadline-Ms: 3000\r\n" + lines
	}
	if !strings.Contains(lines, "\r\n\r\n") {
		lines += "\r\n"
	}
	_, _ = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: gathering-%d\r\n%s", method, path, soakHostname, i, lines)
}

// ask sends a request of client i and reads the answer.
func ask(conn net.Conn, method, path string, i int, lines string) {
	send(conn, method, path, i, lines)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
	}
}

func (g gathering) test(t *testing.T) {
	is := is.New(t)
	g.clients = orDefault(g.clients, gatheringSize)
	g.memory, g.descriptors = orDefault(g.memory, narrowMemory), orDefault(g.descriptors, narrowDescriptors)
	g.soak = gatheringSoak(t, g.memory, g.descriptors)
	over := make(chan struct{})
	var clients, talks sync.WaitGroup
	for i := range g.clients {
		talks.Add(1)
		clients.Go(func() { g.client(i, talks.Done, over) })
	}
	peaks := watchProcess(g.hosts[0], g.basePorts[0])
	// An ordinary caller may be refused while the clients send, but not as long as they stay.
	talks.Wait()
	Eventually(t, "an ordinary request is answered beside the clients", func() bool { return g.ordinaryCall("beside") })
	close(over)
	clients.Wait()
	Eventually(t, "an ordinary request is answered after the clients", func() bool { return g.ordinaryCall("after") })
	peak := peaks()
	t.Logf("at most %d MB, of which %d MB unread, and %d descriptors", peak.memory>>20, peak.unread>>20, peak.descriptors)
	is.True(peak.memory < g.memory<<20)
	is.True(peak.descriptors <= g.descriptors-fileDescriptors)
	is.Equal(g.hosts[0].Stop(t), 0) // the process has not ended by itself
}

func orDefault(value, otherwise int) int {
	if value == 0 {
		return otherwise
	}
	return value
}

// client opens a connection, talks and keeps the connection open until the gathering is over.
func (g gathering) client(i int, talked func(), over <-chan struct{}) {
	dialer := net.Dialer{Timeout: gatheringWait}
	conn, err := dialer.DialContext(context.Background(), "tcp", fmt.Sprint("127.0.0.1:", g.basePorts[0]))
	if err != nil {
		talked()
		return
	}
	defer func() { _ = conn.Close() }()
	tcp, ok := conn.(*net.TCPConn)
	if ok && g.readBuffer > 0 {
		_ = tcp.SetReadBuffer(g.readBuffer)
	}
	_ = conn.SetDeadline(time.Now().Add(gatheringWait))
	g.talk(conn, i)
	talked()
	<-over
}

// ordinaryCall reports whether a request on a connection of its own is answered by a server.
func (g gathering) ordinaryCall(id string) bool {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://127.0.0.1:%d/s/%s", g.basePorts[0], id), http.NoBody)
	if err != nil {
		return false
	}
	r.Host = soakHostname
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "3000")
	caller := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: gatheringWait}
	response, err := caller.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// gatheringSoak starts a host, the servers of a query, those of a service, and one with long answers,
// all of which run any number of requests at the same time.
func gatheringSoak(t *testing.T, memory, descriptors int) *soak {
	s := emptySoak(t, 1)
	work := standin.Behaviour{Delay: gatheringWork}
	shards := make([]string, crowdShards)
	for i := range shards {
		shards[i] = fmt.Sprint("shard", i)
		server := s.addServer(shards[i], shards[i], "d1")
		server.Rows = []uint64{uint64(i)}
		server.Widen(gatheringSize)
		server.Behave(work)
		s.register(server)
	}
	for i := range hangupCallers {
		server := s.addServer(fmt.Sprint("c", i), "c", "d1")
		server.Widen(gatheringSize)
		server.Behave(work)
		s.register(server)
	}
	long := s.addServer("long", "long", "d1")
	long.Rows = make([]uint64, longAnswerRows)
	long.Widen(gatheringSize)
	s.register(long)
	s.store.Configure(1, soakHostname,
		map[string]any{"name": "q", "path_prefix": "/q/", "kind": "idempotent", "gather": shards, "top_k": 3, "min_coverage": 0.5},
		map[string]any{"name": "s", "path_prefix": "/s/", "kind": "idempotent", "service": "c"},
		map[string]any{"name": "long", "path_prefix": "/long/", "kind": "idempotent", "service": "long"})
	s.memory, s.maxDescriptors = memory, descriptors
	s.addHost(s.store.Address())
	s.waitReady()
	return s
}

// footprint is what a process holds: memory with the bytes that wait unread at its port for callers,
// the latter alone, and open descriptors.
type footprint struct{ memory, unread, descriptors int }

// watchProcess follows what a host holds until the function that it returns is called, which returns
// the greatest values.
func watchProcess(host *Process, port int) func() footprint {
	var peak footprint
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for {
			now := footprintOf(host.cmd.Process.Pid, port)
			peak = footprint{max(peak.memory, now.memory), max(peak.unread, now.unread), max(peak.descriptors, now.descriptors)}
			select {
			case <-stop:
				return
			case <-time.After(waitInterval):
			}
		}
	}()
	return func() footprint {
		close(stop)
		<-stopped
		return peak
	}
}

func footprintOf(pid, port int) footprint {
	var f footprint
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(status)) {
		var kilobytes int
		n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes)
		if n == 1 {
			f.memory = kilobytes << 10
		}
	}
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	f.descriptors = len(entries)
	f.unread = unreadBytes(port)
	f.memory += f.unread
	return f
}

// unreadBytes returns the bytes that were received on the connections of a port and not yet read.
func unreadBytes(port int) int {
	sockets, _ := os.ReadFile("/proc/net/tcp")
	local, established := fmt.Sprintf(":%04X", port), "01"
	total := 0
	for line := range strings.Lines(string(sockets)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !strings.HasSuffix(fields[1], local) || fields[3] != established {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		total += int(n)
	}
	return total
}
