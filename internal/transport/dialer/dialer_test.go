package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"golang.org/x/net/http2"
)

// dyingServer answers the first request of each connection, and runs the
// second one but closes the connection without an answer.
func dyingServer(t *testing.T) (server messenger.Server, runs *atomic.Int64) {
	t.Helper()
	runs = new(atomic.Int64)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == messenger.PathStatus {
			_ = json.NewEncoder(w).Encode(messenger.ServerStatus{ID: "s"})
			return
		}
		_, _ = io.ReadAll(r.Body)
		runs.Add(1)
		hijacked, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = hijacked.Close()
		}
	}))
	t.Cleanup(s.Close)
	return messenger.Server{ID: "s", Address: s.Listener.Addr().String()}, runs
}

// TestNetHTTPReplays shows the fault that the dialer closes: net/http sends a
// POST again when a connection that was kept alive dies, if the body can be
// rewound and an Idempotency-Key is set.
func TestNetHTTPReplays(t *testing.T) {
	is := is.New(t)
	server, runs := dyingServer(t)
	client := &http.Client{}
	warm, err := client.Get("http://" + server.Address + messenger.PathStatus)
	is.NoErr(err)
	_, _ = io.ReadAll(warm.Body)
	_ = warm.Body.Close()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+server.Address+messenger.PathOrder, bytes.NewReader([]byte(`{}`)))
	is.NoErr(err)
	r.Header.Set(messenger.HeaderIdempotencyKey, "key")
	response, err := client.Do(r)
	if err == nil {
		_ = response.Body.Close()
	}
	is.True(runs.Load() > 1) // the plain client runs the order twice
}

func TestOrderIsSentOnce(t *testing.T) {
	is := is.New(t)
	server, runs := dyingServer(t)
	d := New(Config{Carrier: configurer.CarrierHTTP1, Quota: 1})
	defer d.Close()
	_, err := d.Probe(context.Background(), server)
	is.NoErr(err) // the connection is kept alive
	_, err = d.Order(context.Background(), server, &messenger.ServerOrder{OrderID: "1", Order: json.RawMessage(`{}`)})
	is.Equal(classifier.CodeOf(err, 0), classifier.OrderUnknown)
	is.Equal(runs.Load(), int64(1))
}

func TestOrderWithoutConnectionHasNotRun(t *testing.T) {
	is := is.New(t)
	var sockets net.ListenConfig
	socket, err := sockets.Listen(context.Background(), "tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := socket.Addr().String()
	_ = socket.Close()
	d := New(Config{Carrier: configurer.CarrierHTTP1, Quota: 1})
	defer d.Close()
	_, err = d.Order(context.Background(), messenger.Server{ID: "s", Address: address}, &messenger.ServerOrder{OrderID: "1"})
	code := classifier.CodeOf(err, 0)
	is.Equal(code, classifier.OrderNotRun)
	is.True(code.NotRun())
}

func TestRefusedOrderHasNotRun(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(messenger.ServerRefusal{Code: int(classifier.ServerShed), NotRun: true, RetryAfterMillis: 70})
	}))
	defer s.Close()
	d := New(Config{Carrier: configurer.CarrierHTTP1, Quota: 1})
	defer d.Close()
	_, err := d.Order(context.Background(), messenger.Server{ID: "s", Address: s.Listener.Addr().String()}, &messenger.ServerOrder{OrderID: "1"})
	failure := classifier.FailureOf(err, 0)
	is.Equal(failure.Code, classifier.ServerShed)
	is.Equal(failure.RetryAfter, 70*time.Millisecond)
}

// shuttingServer is an HTTP/2 server that takes each request and then gives
// the notice of a shutdown which claims that it has handled none.
func shuttingServer(t *testing.T) (server messenger.Server, runs *atomic.Int64) {
	t.Helper()
	runs = new(atomic.Int64)
	var sockets net.ListenConfig
	socket, err := sockets.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	go func() {
		for {
			conn, err := socket.Accept()
			if err != nil {
				return
			}
			go shutDown(conn, runs)
		}
	}()
	return messenger.Server{ID: "s", Address: socket.Addr().String()}, runs
}

func shutDown(conn net.Conn, runs *atomic.Int64) {
	defer func() { _ = conn.Close() }()
	preface := make([]byte, len(http2.ClientPreface))
	_, err := io.ReadFull(conn, preface)
	if err != nil {
		return
	}
	framer := http2.NewFramer(conn, conn)
	_ = framer.WriteSettings()
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return
		}
		data, ok := frame.(*http2.DataFrame)
		if ok && data.StreamEnded() {
			runs.Add(1)
			_ = framer.WriteGoAway(0, http2.ErrCodeNo, nil)
		}
	}
}

// TestShutdownNotice runs the same order over HTTP/2: the library sends it
// again on a new connection if it can rewind the body, the dialer doesn't.
func TestShutdownNotice(t *testing.T) {
	is := is.New(t)
	server, runs := shuttingServer(t)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	plain := &http.Client{Transport: &http.Transport{Protocols: protocols}}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address+messenger.PathOrder, bytes.NewReader([]byte(`{}`)))
	is.NoErr(err)
	response, err := plain.Do(r)
	if err == nil {
		_ = response.Body.Close()
	}
	is.True(runs.Load() > 1) // the plain client runs the order more than once

	// A server of its own: the last try of the plain client may reach the first
	// one after its client has given up.
	server, runs = shuttingServer(t)
	d := New(Config{Carrier: configurer.CarrierHTTP2, Quota: 1})
	defer d.Close()
	_, err = d.Order(context.Background(), server, &messenger.ServerOrder{OrderID: "1", Order: json.RawMessage(`{}`)})
	is.Equal(classifier.CodeOf(err, 0), classifier.OrderUnknown)
	is.Equal(runs.Load(), int64(1))
}
