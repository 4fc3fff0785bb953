package starter

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// calmBodyBytes is the size limit of a body in the platform's configurations.
	calmBodyBytes = 262_144
	// calmChunks is the number of chunks of one byte each.
	calmChunks = 20_000
)

// TestSingleRequestsUpToTheLimitsAreServed sends one request after another to a host with little
// memory and few descriptors, each as large as callers may send in one respect. The server gets its
// method, target and body as they were sent.
func TestSingleRequestsUpToTheLimitsAreServed(t *testing.T) {
	is := is.New(t)
	s := gatheringSoak(t, narrowMemory, narrowDescriptors)
	target, long := strings.Repeat("%41b/", longTargetBytes/5), strings.Repeat("b", calmBodyBytes)
	chunked := "Transfer-Encoding: chunked\r\n"
	for name, c := range map[string]struct{ method, target, headers, sent, body string }{
		"target":   {http.MethodGet, target, "", "", ""},
		"body":     {http.MethodPost, "x", fmt.Sprintf("Content-Length: %d\r\n", calmBodyBytes), long, long},
		"chunk":    {http.MethodPost, "x", chunked, fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", calmBodyBytes, long), long},
		"chunks":   {http.MethodPost, "x", chunked, strings.Repeat("1\r\nc\r\n", calmChunks) + "0\r\n\r\n", strings.Repeat("c", calmChunks)},
		"lines":    {http.MethodPost, "x", chunked, "2\r\nok\r\n0\r\n" + linesAfterBody(), "ok"},
		"trailers": {http.MethodPost, "x", chunked + "Trailer: " + announcedTrailers() + "\r\n", "2\r\nok\r\n0\r\n\r\n", "ok"},
	} {
		conn, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", fmt.Sprint("127.0.0.1:", s.basePorts[0]))
		is.NoErr(err)
		_ = conn.SetDeadline(time.Now().Add(waitLimit))
		go func() {
			_, _ = fmt.Fprintf(conn, "%s /s/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: calm-%s\r\nX-Deadline-Ms: 9000\r\n%s\r\n%s", c.method, c.target, soakHostname, name, c.headers, c.sent)
		}()
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		_ = response.Body.Close()
		_ = conn.Close()
		is.Equal(response.StatusCode, http.StatusOK) // the server has answered
		found := false
		for _, server := range s.servers {
			for _, arrival := range server.Arrivals() {
				if arrival.ID == "calm-"+name {
					found = true
					is.Equal(arrival.Method, c.method)
					is.Equal(arrival.Path, "/s/"+c.target)
					is.True(arrival.Body == c.body) // the body is as it was sent
				}
			}
		}
		is.True(found)
	}
	is.True(!strings.Contains(s.hosts[0].Logs(), "memoryShort"))
	is.Equal(s.hosts[0].Stop(t), 0)
}
