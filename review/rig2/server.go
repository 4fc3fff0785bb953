package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	headerID    = "X-Request-Id"
	headerStamp = "X-Server-Stamp"
)

// run is a request that a server has begun to work on.
type run struct {
	server, id, path string
	at               time.Time
}

// server is a stand-in of one backend server.
type server struct {
	id, service, zone, address string
	born                       int64
	work                       time.Duration
	running                    atomic.Int64
	// finished counts the requests that were answered, canceled those whose connection ended before.
	finished, canceled atomic.Int64

	mu   sync.Mutex
	runs []run
}

const slots = 4

// newServer starts a server on a free port of loopback.
func newServer(id, service, zone string, work time.Duration) (*server, error) {
	socket, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, service: service, zone: zone, address: socket.Addr().String(), born: time.Now().UnixMilli(), work: work}
	listener := &http.Server{Handler: s, ReadHeaderTimeout: headTimeout}
	go func() { _ = listener.Serve(socket) }()
	return s, nil
}

// entry is what the server writes to the store.
func (s *server) entry(warmup time.Duration, sequence int) map[string]any {
	return entryOf(s.service, s.address, s.zone, warmup, sequence, s.born)
}

func entryOf(service, address, zone string, warmup time.Duration, sequence int, born int64) map[string]any {
	return map[string]any{
		"service": service, "address": address, "zone": zone, "version": "v1", "max_concurrency": slots,
		"state": "ready", "warmup_left_ms": warmup.Milliseconds(), "sequence": sequence, "born": born,
	}
}

// ServeHTTP runs one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	w.Header().Set(headerID, id)
	expected := r.Header.Get("X-Expect-Instance")
	if expected != "" && expected != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.runs = append(s.runs, run{s.id, id, r.URL.RequestURI(), time.Now()})
	s.mu.Unlock()
	s.running.Add(1)
	defer s.running.Add(-1)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.canceled.Add(1)
		return
	}
	s.finished.Add(1)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), slots))
	w.Header().Set(headerStamp, s.id+"."+id)
	_, _ = fmt.Fprintf(w, "answer of %s to %s", s.id, id)
}

// ran returns what the server has begun to work on.
func (s *server) ran() []run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]run(nil), s.runs...)
}
