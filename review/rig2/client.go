package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// routeHost is the host name of all routes.
const routeHost = "shop.example"

var lastID atomic.Uint64

// answer is what a client has seen of one attempt.
type answer struct {
	id, stamp, body string
	status          int
	err             error
	sent            time.Time
	took            time.Duration
}

// served reports whether the answer is a success of a server.
func (a answer) served() bool {
	return a.err == nil && a.status == http.StatusOK && a.stamp != ""
}

func (a answer) String() string {
	if a.served() {
		return fmt.Sprintf("%s 200 %s %dms", a.id, a.stamp[:strings.IndexByte(a.stamp+".", '.')], a.took.Milliseconds())
	}
	return fmt.Sprintf("request %s status %d stamp %q took %v error %v body %q", a.id, a.status, a.stamp, a.took.Round(time.Millisecond), a.err, a.body)
}

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x9c41000000000000+lastID.Add(1)) }

// ask sends one request on a connection of its own.
func ask(method, address, path string, deadline time.Duration) answer {
	return askWith(method, address, path, deadline, nil)
}

// askWith is like ask, with further headers; one with an empty value is left out.
func askWith(method, address, path string, deadline time.Duration, headers map[string]string) answer {
	a := answer{id: newID(), sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		a.err = err
		return a
	}
	r.Host = routeHost
	r.Close = true
	r.Header.Set(headerID, a.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range headers {
		r.Header.Set(name, value)
		if value == "" {
			r.Header.Del(name)
		}
	}
	response, err := http.DefaultClient.Do(r)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		a.status, a.stamp, a.body = response.StatusCode, response.Header.Get(headerStamp), string(body)
	}
	a.err, a.took = err, time.Since(a.sent)
	return a
}
