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

// disconnectingServer answers requests for its status. It counts any other
// request as run and closes the connection without a response.
func disconnectingServer(t *testing.T) (server messenger.Server, runs *atomic.Int64) {
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

// TestNetHTTPReplays shows the fault that the dialer avoids: when the server
// closes a reused connection, net/http retries a POST whose body can be rewound
// and that has an Idempotency-Key.
func TestNetHTTPReplays(t *testing.T) {
	is := is.New(t)
	server, runs := disconnectingServer(t)
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
	server, runs := disconnectingServer(t)
	d := New(Config{Carrier: configurer.CarrierHTTP1, MaxConns: 1})
	defer d.Close()
	_, err := d.Probe(context.Background(), server)
	is.NoErr(err) // the connection is now idle and can be reused
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
	d := New(Config{Carrier: configurer.CarrierHTTP1, MaxConns: 1})
	defer d.Close()
	_, err = d.Order(context.Background(), messenger.Server{ID: "s", Address: address}, &messenger.ServerOrder{OrderID: "1"})
	code := classifier.CodeOf(err, 0)
	is.Equal(code, classifier.OrderNotRun)
	is.True(code.NotRun())
}

func TestRejectedOrderHasNotRun(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(messenger.ServerRejection{Code: int(classifier.ServerRejected), NotRun: true, RetryAfterMillis: 70})
	}))
	defer s.Close()
	d := New(Config{Carrier: configurer.CarrierHTTP1, MaxConns: 1})
	defer d.Close()
	_, err := d.Order(context.Background(), messenger.Server{ID: "s", Address: s.Listener.Addr().String()}, &messenger.ServerOrder{OrderID: "1"})
	failure := classifier.FailureOf(err, 0)
	is.Equal(failure.Code, classifier.ServerRejected)
	is.Equal(failure.RetryAfter, 70*time.Millisecond)
}

// goAwayServer is an HTTP/2 server that runs each request and then sends a
// GOAWAY frame with stream ID 0, which claims that it has processed none.
func goAwayServer(t *testing.T) (server messenger.Server, runs *atomic.Int64) {
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
			go serveGoAway(conn, runs)
		}
	}()
	return messenger.Server{ID: "s", Address: socket.Addr().String()}, runs
}

func serveGoAway(conn net.Conn, runs *atomic.Int64) {
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

// TestOrderIsSentOnceDespiteGoAway guards against a repeated order over HTTP/2:
// after the GOAWAY frame, net/http retries a request on a new connection if its
// body can be rewound. The dialer must not.
func TestOrderIsSentOnceDespiteGoAway(t *testing.T) {
	is := is.New(t)
	server, runs := goAwayServer(t)
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

	// The dialer gets a new server, since the last retry of the plain client may
	// reach the first server after that client has timed out.
	server, runs = goAwayServer(t)
	d := New(Config{Carrier: configurer.CarrierHTTP2, MaxConns: 1})
	defer d.Close()
	_, err = d.Order(context.Background(), server, &messenger.ServerOrder{OrderID: "1", Order: json.RawMessage(`{}`)})
	is.Equal(classifier.CodeOf(err, 0), classifier.OrderUnknown)
	is.Equal(runs.Load(), int64(1))
}
