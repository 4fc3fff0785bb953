package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Dialer returns a dial function. Its connections are closed when the peer no
// longer acknowledges data, and are reset when a request on them is canceled.
func Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	dial := dialer(timeout)
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return conn, nil
	}
}

// reachedAt returns the address at which this host reaches a server.
func (c *client) reachedAt(address string) string {
	if len(c.translate) == 0 {
		return address
	}
	ip, port, err := net.SplitHostPort(address)
	if err != nil || c.translate[ip] == "" {
		return address
	}
	return net.JoinHostPort(c.translate[ip], port)
}

// dialFunc opens a connection.
type dialFunc func(ctx context.Context, network, address string) (*requestConn, error)

// dialRegistry knows the connections that are being opened, to give them up.
type dialRegistry struct {
	mu sync.Mutex
	// pending has a function for each such connection that gives it up, by address.
	pending map[string]map[*context.CancelFunc]bool
}

func newDialRegistry() *dialRegistry {
	return &dialRegistry{pending: make(map[string]map[*context.CancelFunc]bool)}
}

// register returns a dial function whose connections are known while they are being opened.
func (d *dialRegistry) register(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (*requestConn, error) {
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		d.mu.Lock()
		if d.pending[address] == nil {
			d.pending[address] = make(map[*context.CancelFunc]bool)
		}
		d.pending[address][&cancel] = true
		d.mu.Unlock()
		defer func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			delete(d.pending[address], &cancel)
			if len(d.pending[address]) == 0 {
				delete(d.pending, address)
			}
		}()
		return dial(ctx, network, address)
	}
}

// abort gives up the connections that are being opened to an address.
func (d *dialRegistry) abort(address string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for cancel := range d.pending[address] {
		(*cancel)()
	}
}

func dialer(timeout time.Duration) dialFunc {
	d := &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: 1},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unackedDataTimeout.Milliseconds()))
			})
			return errors.Join(err, optionErr)
		},
	}
	return func(ctx context.Context, network, address string) (*requestConn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			_ = conn.Close()
			return nil, fmt.Errorf("%s connection to %s is not a TCP connection", network, address)
		}
		return &requestConn{TCPConn: tcp}, nil
	}
}
