package forwarder

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
)

// socketOptions returns options of the TCP level of a connection.
func socketOptions(t *testing.T, conn syscall.Conn, options ...int) []int {
	t.Helper()
	raw, err := conn.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var values []int
	err = raw.Control(func(fd uintptr) {
		for _, option := range options {
			value, optionErr := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option)
			if optionErr != nil {
				t.Error(optionErr)
			}
			values = append(values, value)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return values
}

// TestKeepAliveOfDialedConnectionsStatesWhatTheKernelDoes guards against a number of probes that TCP_USER_TIMEOUT overrides.
func TestKeepAliveOfDialedConnectionsStatesWhatTheKernelDoes(t *testing.T) {
	is := is.New(t)
	l, err := listener.New(listener.Config{Address: "127.0.0.1:0", Handler: http.NotFoundHandler()})
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	conn, err := dialer(time.Second)(context.Background(), "tcp", l.Address())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	values := socketOptions(t, conn, tcpUserTimeoutOption, syscall.TCP_KEEPIDLE, syscall.TCP_KEEPINTVL, syscall.TCP_KEEPCNT)
	is.Equal(values, []int{int(unackedDataTimeout.Milliseconds()), int(keepAliveIdle.Seconds()), int(keepAliveInterval.Seconds()), 1})
	is.True(unackedDataTimeout <= keepAliveIdle+keepAliveInterval)
}

// TestAcceptedConnectionsHaveNoUserTimeout checks that callers' connections are probed as often as
// their keep-alive states, and that a caller that reads slowly isn't cut off.
func TestAcceptedConnectionsHaveNoUserTimeout(t *testing.T) {
	is := is.New(t)
	accepted := make(chan []int, 1)
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer func() { _ = conn.Close() }()
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			t.Errorf("%T is no TCP connection", conn)
			return
		}
		accepted <- socketOptions(t, tcp, tcpUserTimeoutOption, syscall.TCP_KEEPCNT)
	})
	l, err := listener.New(listener.Config{Address: "127.0.0.1:0", Handler: handler, CallerFacing: true})
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + l.Address())
	if err == nil {
		_ = response.Body.Close()
	}
	values := <-accepted
	is.Equal(values[0], 0)
	is.True(values[1] > 1)
}
