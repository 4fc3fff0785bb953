package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// smallMemory is the memory in MB of the smallest machines of the site.
	smallMemory = 136
	// crowd is the number of clients, which fit into the descriptors of such a machine (2,870).
	crowd = 2500
	// headNames is the number of header names that each of them sends, trailerBytes the size of the
	// header lines after its body.
	headNames    = 41
	trailerBytes = 4000
	crowdTime    = 8 * time.Second
	crowdWait    = "10000"
)

// crowdSite has the bounds of the site.
var crowdSite = bounds{grownBound, grownBound, 352}

// trailers has a crowd of clients send requests of legal size with very many short header lines after
// the body.
func trailers(s *setting) (broken bool, err error) {
	zones := []string{"regina-a"}
	st, err := newStore()
	if err != nil {
		return false, err
	}
	_, err = startServersAt(st, firstService, "i-1", []string{"regina-a", "regina-a"}, slowWork)
	if err != nil {
		return false, err
	}
	placed := route("first", firstPath, firstService)
	placed["kind"] = "non_idempotent"
	configure(st, 3, placed)
	hosts, err := newHosts(s.dir, zones, 1, crowdSite)
	if err != nil {
		return false, err
	}
	s.hosts = hosts
	h := hosts[0]
	h.memory = smallMemory
	err = errors.Join(h.writeSettings(st.address, zones, []string{h.control()}, true), h.start())
	if err != nil {
		return false, err
	}
	err = awaitReady(hosts, 10*time.Second)
	if err != nil {
		return false, err
	}
	most := s.pressCrowd(h)
	time.Sleep(2 * time.Second)
	last := ask(http.MethodGet, h.callers(), firstPath+"x", clientDeadline)
	s.record.add("ordinary request afterwards: %v", last)
	s.record.add("most memory of the process: %d MB of %d MB, alive %v", most, smallMemory, h.alive())
	return most > smallMemory || !h.alive() || !last.served(), nil
}

// pressCrowd runs the crowd and returns the most memory of the process in MB.
func (s *setting) pressCrowd(h *host) int {
	request := crowdRequest(s.trouble)
	s.record.add("each of %d clients sends %d bytes, of which header lines after the body: %d", crowd, len(request), bytes.Count(request, []byte(":\n")))
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	var clients sync.WaitGroup
	var mu sync.Mutex
	statuses := make(map[int]int)
	for range crowd {
		clients.Go(func() {
			status := pressOnce(ctx, h.callers(), request)
			mu.Lock()
			statuses[status]++
			mu.Unlock()
		})
	}
	most := 0
	for ctx.Err() == nil {
		now := h.residentMegabytes()
		if now > most {
			most = now
			s.record.add("memory of the process: %d MB", most)
		}
		time.Sleep(50 * time.Millisecond)
	}
	clients.Wait()
	s.record.add("statuses that the crowd got (0 means none in time): %v", statuses)
	return most
}

// pressOnce sends the request and waits for an answer until the crowd leaves.
func pressOnce(ctx context.Context, address string, request []byte) int {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	deadline, _ := ctx.Deadline()
	_ = conn.SetDeadline(deadline)
	_, err = conn.Write(request)
	if err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// crowdRequest returns a request with a chunked body, with or without header lines after it.
func crowdRequest(lines bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %s\r\nTransfer-Encoding: chunked\r\n", firstPath, routeHost, newID(), crowdWait)
	for i := range headNames {
		fmt.Fprintf(&b, "%s:\n", shortName(i))
	}
	b.WriteString("\r\n2\r\nok\r\n0\r\n")
	for i, end := 0, b.Len()+trailerBytes; lines && b.Len() < end; i++ {
		fmt.Fprintf(&b, "%s:\n", shortName(i))
	}
	if lines {
		b.WriteString("zz:\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// shortName returns the i-th header name of two letters.
func shortName(i int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	return string(letters[i/len(letters)%len(letters)]) + string(letters[i%len(letters)])
}

// residentMegabytes returns the memory of the process, 0 if it has ended.
func (h *host) residentMegabytes() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) >= 2 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes / 1024
		}
	}
	return 0
}
