package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// slowWork is how long the servers work on a request.
	slowWork = 500 * time.Millisecond
	// leaveAfter is when a client closes its side of the connection.
	leaveAfter = 100 * time.Millisecond
	// leavers is the number of clients that do so.
	leavers = 20
)

// halfClose has clients send a request and then close their side of the connection.
func halfClose(s *setting) (broken bool, err error) {
	zones := []string{"sapporo", "asahikawa", "hakodate"}
	st, err := newStore()
	if err != nil {
		return false, err
	}
	servers, err := startServersAt(st, firstService, "i-1", zones, slowWork)
	if err != nil {
		return false, err
	}
	placed := route("first", firstPath, firstService)
	placed["kind"] = "non_idempotent"
	configure(st, 3, placed)
	err = startHosts(s, st, zones, smallSite)
	if err != nil {
		return false, err
	}
	wrong := 0
	for i := range leavers {
		h := s.hosts[i%len(s.hosts)]
		a := s.askAndClose(h.callers())
		s.record.add("%s: %v", h.name, a)
		if a.err == nil && a.status/100 == 2 && a.stamp == "" {
			wrong++
		}
	}
	time.Sleep(2 * slowWork)
	for _, server := range servers {
		s.record.add("%s began %d orders, finished %d, and had %d whose connection ended before", server.id, len(server.ran()), server.finished.Load(), server.canceled.Load())
	}
	s.record.add("%d of %d clients got a success without a signature", wrong, leavers)
	return wrong > 0, nil
}

var errNoAnswer = errors.New("the connection ended without an answer")

// askAndClose sends an order and, with the disruption, closes the sending side of the connection.
func (s *setting) askAndClose(address string) answer {
	a := answer{id: newID(), sent: time.Now()}
	var dialer net.Dialer
	conn, err := dialer.DialContext(context.Background(), "tcp", address)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nok", firstPath, routeHost, a.id)
	if err != nil {
		a.err = err
		return a
	}
	tcp, ok := conn.(*net.TCPConn)
	if s.trouble && ok {
		time.Sleep(leaveAfter)
		_ = tcp.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(3 * time.Second))
	a.read(conn)
	a.took = time.Since(a.sent)
	return a
}

// read reads the answer of a connection.
func (a *answer) read(conn net.Conn) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		a.err = errors.Join(errNoAnswer, err)
		return
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	a.status, a.stamp, a.body, a.err = response.StatusCode, response.Header.Get(headerStamp), string(body), err
}
