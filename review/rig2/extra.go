package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// orderWork is how long a server works on an order, orderInterval the time between two requests of
	// the clients, which send for orderTime.
	orderWork     = 60 * time.Millisecond
	orderInterval = 4 * time.Millisecond
	orderTime     = 20 * time.Second
	// Half of the servers are faulty each extraInterval for extraFor; one in extraEvery of their answers
	// is sent twice.
	extraInterval = 7 * time.Second
	extraFor      = 5 * time.Second
	extraEvery    = 25
	// unnamedEvery is the number of requests of which one has no id.
	unnamedEvery = 10
)

// rawServer is a stand-in of a backend server that writes its answers itself. While it is faulty, it
// sends a part of its answers twice; the second copy comes late, where the next answer is expected.
type rawServer struct {
	*server

	mu sync.Mutex
	// faultyFrom is when the server is faulty first, zero if it never is; answers counts its answers
	// while it is, extras those that were sent twice.
	faultyFrom      time.Time
	answers, extras int
}

// newRawServer starts a server on a free port of loopback.
func newRawServer(id, service, zone string) (*rawServer, error) {
	socket, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &rawServer{server: &server{id: id, service: service, zone: zone, address: socket.Addr().String(), born: time.Now().UnixMilli(), work: orderWork}}
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s, nil
}

// serve answers the requests of a connection one after the other.
func (s *rawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var late []byte
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, err = io.Copy(io.Discard, r.Body)
		if err != nil {
			return
		}
		if late != nil {
			_, _ = conn.Write(late)
		}
		text := s.answerTo(r)
		late = nil
		if s.sendsTwice() {
			late = text
		}
		_, err = conn.Write(text)
		if err != nil {
			return
		}
	}
}

// answerTo runs a request, if it has an id and is for this server, and returns the answer.
func (s *rawServer) answerTo(r *http.Request) []byte {
	id, expected := r.Header.Get(headerID), r.Header.Get("X-Expect-Instance")
	switch {
	case expected != "" && expected != s.id:
		return textOf(http.StatusMisdirectedRequest, id, "", headerNotExecuted)
	case id == "":
		return textOf(http.StatusBadRequest, "", "", headerNotExecuted)
	}
	s.server.mu.Lock()
	s.runs = append(s.runs, run{s.id, id, r.URL.RequestURI(), time.Now()})
	s.server.mu.Unlock()
	time.Sleep(s.work)
	return textOf(http.StatusOK, id, "answer of "+s.id+" to "+id, headerStamp+": "+s.id+"."+id)
}

const headerNotExecuted = "X-Not-Executed: 1"

// textOf returns an answer; one to a request without an id has none.
func textOf(status int, id, body string, headers ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if id != "" {
		headers = append(headers, headerID+": "+id)
	}
	fmt.Fprintf(&b, "%s\r\nContent-Length: %d\r\n\r\n%s", strings.Join(headers, "\r\n"), len(body), body)
	return b.Bytes()
}

// sendsTwice reports whether the answer is one of those that are sent twice.
func (s *rawServer) sendsTwice() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := time.Since(s.faultyFrom)
	if s.faultyFrom.IsZero() || since%extraInterval > extraFor {
		return false
	}
	s.answers++
	if s.answers%extraEvery != 0 {
		return false
	}
	s.extras++
	return true
}

// extraAnswers has servers send some of their answers twice.
func extraAnswers(s *setting) (broken bool, err error) {
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	st, err := newStore()
	if err != nil {
		return false, err
	}
	var servers []*rawServer
	for i := range 2 * len(zones) {
		server, err := newRawServer(fmt.Sprintf("i-%05d", i), firstService, zones[i%len(zones)])
		if err != nil {
			return false, err
		}
		st.put("servers", server.id, server.entry(0, 1))
		servers = append(servers, server)
	}
	placed := route("first", firstPath, firstService)
	placed["kind"] = "non_idempotent"
	configure(st, 3, placed)
	err = startHosts(s, st, zones, smallSite)
	if err != nil {
		return false, err
	}
	begun := time.Now()
	if s.trouble {
		for _, server := range servers[:len(servers)/2] {
			server.faultyFrom = begun
		}
	}
	s.sendOrders(begun.Add(orderTime))
	return s.judgeRuns(servers), nil
}

// sendOrders sends orders and requests without an id until a time.
func (s *setting) sendOrders(until time.Time) {
	var clients sync.WaitGroup
	for i := 0; time.Now().Before(until); i++ {
		h := s.hosts[i%len(s.hosts)]
		clients.Go(func() {
			method, unnamed := http.MethodPost, i/len(s.hosts)%unnamedEvery == 0
			headers := make(map[string]string)
			if unnamed {
				headers[headerID] = ""
			}
			a := askWith(method, h.callers(), firstPath+"x", clientDeadline, headers)
			s.note(a)
			note := ""
			if unnamed {
				note = " (sent without its id)"
			}
			s.record.add("%s: %v%s", h.name, a, note)
		})
		time.Sleep(orderInterval)
	}
	clients.Wait()
}

// judgeRuns reports whether a request has run more than once.
func (s *setting) judgeRuns(servers []*rawServer) bool {
	runs := make(map[string][]string)
	for _, server := range servers {
		s.record.add("%s has sent %d answers twice", server.id, server.extras)
		for _, r := range server.ran() {
			runs[r.id] = append(runs[r.id], r.server+" at "+r.at.Format("05.000"))
		}
	}
	twice, refused := 0, 0
	for id, places := range runs {
		if len(places) > 1 {
			twice++
			s.record.add("order %s ran %d times: %s", id, len(places), strings.Join(places, ", "))
		}
		if s.answers[id].status == http.StatusServiceUnavailable {
			refused++
			s.record.add("order %s ran (%s) and was answered 503: %v", id, strings.Join(places, ", "), s.answers[id])
		}
	}
	s.record.add("%d of %d orders ran more than once, %d ran and were answered 503", twice, len(runs), refused)
	return twice > 0
}
