package forwarder

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

// plainDialect sets no headers.
type plainDialect struct{ Dialect }

func (plainDialect) SetRemaining(http.Header, time.Duration) {}

// confirmAfter serves one delegated request: it confirms the receipt after a delay, and
// answers if the proceed byte follows. It reports whether the byte came.
func confirmAfter(conn net.Conn, delay time.Duration) bool {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	request, err := http.ReadRequest(in)
	if err != nil {
		return false
	}
	time.Sleep(delay)
	_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
	err = readProceedByte(request.Body)
	if err != nil {
		return false
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	return true
}

// TestReceiptAtItsTimeLimitLeavesNoDoubt guards against delegated requests that may have run
// since the receipt came while they were given up.
func TestReceiptAtItsTimeLimitLeavesNoDoubt(t *testing.T) {
	const (
		requests = 400
		receipt  = 6 * time.Millisecond
		spread   = time.Millisecond
	)
	is := is.New(t)
	f := &Forwarder{cfg: Config{Dialect: plainDialect{}}, bodies: &bodyReader{}, delegate: newDelegate(Config{})}
	a := &arrival{outbound: outbound{method: http.MethodGet, url: &url.URL{Path: "/"}, host: "h", header: http.Header{}}, expires: time.Now().Add(time.Minute)}
	// served sends one request and checks that both sides agree on whether it runs.
	served := func(limit, delay time.Duration) bool {
		var sockets net.ListenConfig
		l, err := sockets.Listen(t.Context(), "tcp", "127.0.0.1:0")
		is.NoErr(err)
		var begun bool
		var peer sync.WaitGroup
		peer.Go(func() {
			conn, err := l.Accept()
			if err == nil {
				begun = confirmAfter(conn, delay)
			}
		})
		_, err = f.exchangeWithGatherer(t.Context(), a, &lister.Server{ID: "peer", Address: l.Addr().String()}, limit, nil)
		f.delegate.close()
		// On a busy machine the request may be given up before its connection is open.
		_ = l.Close()
		peer.Wait()
		is.Equal(begun, err == nil)
		is.True(err == nil || errors.Is(err, errNoReceipt))
		return err == nil
	}
	is.True(served(time.Minute, 0))
	is.True(!served(time.Millisecond, receipt))
	for i := range requests {
		served(receipt, receipt-spread+2*spread*time.Duration(i)/requests)
	}
}
