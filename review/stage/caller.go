package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer is what a caller gets to a request; with err, no complete answer.
type answer struct {
	status  int
	stamp   string
	notRun  bool
	body    string
	err     error
	elapsed time.Duration
}

// String describes the answer for the record.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no answer after %.3f s: %v", a.elapsed.Seconds(), a.err)
	}
	return fmt.Sprintf("%d after %.3f s, stamp %q, %d bytes", a.status, a.elapsed.Seconds(), a.stamp, len(a.body))
}

// caller is a client's kept connection to one host.
type caller struct {
	conn   net.Conn
	reader *bufio.Reader
}

func dial(ctx context.Context, h *hostProcess) (*caller, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", h.callers)
	if err != nil {
		return nil, err
	}
	return &caller{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// call sends a request and reads the answer.
func (c *caller) call(method, path, id, body string, deadline time.Duration) answer {
	begun := time.Now()
	a := c.exchange(method, path, id, body, deadline)
	a.elapsed = time.Since(begun)
	return a
}

func (c *caller) exchange(method, path, id, body string, deadline time.Duration) answer {
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	head := []string{
		method + " " + path + " HTTP/1.1", "Host: " + hostname, "X-Request-Id: " + id,
		"X-Deadline-Ms: " + strconv.FormatInt(deadline.Milliseconds(), 10),
	}
	if body != "" {
		head = append(head, "Content-Length: "+strconv.Itoa(len(body)))
	}
	_, err := io.WriteString(c.conn, strings.Join(head, "\r\n")+"\r\n\r\n"+body)
	if err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	a := answer{status: response.StatusCode, stamp: response.Header.Get("X-Server-Stamp"), body: string(data), err: err}
	switch a.status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		a.notRun = true
	}
	return a
}
