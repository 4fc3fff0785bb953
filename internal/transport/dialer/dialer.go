package dialer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

const (
	dialTimeout = time.Second
	// idleTimeout is how long a connection without requests is kept open.
	idleTimeout = 90 * time.Second
	// maxResponseBytes limits the body of a response in bytes.
	maxResponseBytes = 8 << 20
	// keepAlive is the interval of TCP keep-alive probes.
	keepAlive = 15 * time.Second
)

// Config holds the settings of a dialer.
type Config struct {
	Carrier configurer.Carrier
	// MaxConns is the maximum number of connections to each backend server.
	MaxConns int
	// DialContext opens connections; nil means TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// Dialer sends requests to the backend servers of one service.
type Dialer struct {
	transport *http.Transport
}

// New returns a dialer that has no connections yet.
func New(cfg Config) *Dialer {
	dial := cfg.DialContext
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}).DialContext
	}
	protocols := new(http.Protocols)
	if cfg.Carrier == configurer.CarrierHTTP2 {
		protocols.SetUnencryptedHTTP2(true)
	} else {
		protocols.SetHTTP1(true)
	}
	return &Dialer{transport: &http.Transport{
		DialContext:         dial,
		Protocols:           protocols,
		MaxConnsPerHost:     cfg.MaxConns,
		MaxIdleConnsPerHost: cfg.MaxConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close closes the idle connections; a connection in use is closed after its request.
func (d *Dialer) Close() {
	d.transport.CloseIdleConnections()
}

// Search sends one sub-query and returns its answer; errors contain a *classifier.Failure.
func (d *Dialer) Search(ctx context.Context, server messenger.Server, q *messenger.SubQuery) (*messenger.SubAnswer, error) {
	answer, _, err := post[messenger.SubAnswer](ctx, d, server, messenger.PathSearch, q, http.Header{})
	return answer, err
}

// Order sends an order at most once. Errors contain a *classifier.Failure whose
// code distinguishes an order that certainly has not run from one that may have.
func (d *Dialer) Order(ctx context.Context, server messenger.Server, order *messenger.ServerOrder) (*messenger.ServerOrderAnswer, error) {
	header := http.Header{}
	header.Set(messenger.HeaderOrderKey, order.OrderID)
	answer, mayHaveSent, err := post[messenger.ServerOrderAnswer](ctx, d, server, messenger.PathOrder, order, header)
	if err == nil {
		return answer, nil
	}
	var rejection *messenger.RejectionError
	if errors.As(err, &rejection) && rejection.Rejection.NotRun {
		return nil, rejection.Failure()
	}
	if !mayHaveSent {
		return nil, classifier.NewFailure(classifier.OrderNotRun, "no connection to %s", server.ID).WithCause(err)
	}
	return nil, classifier.NewFailure(classifier.OrderUnknown, "sent to %s", server.ID).WithCause(err)
}

// Probe requests the status of a server.
func (d *Dialer) Probe(ctx context.Context, server messenger.Server) (messenger.ServerStatus, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+messenger.PathStatus, http.NoBody)
	if err != nil {
		return messenger.ServerStatus{}, err
	}
	response, err := d.transport.RoundTrip(r)
	if err != nil {
		return messenger.ServerStatus{}, connectFailure(ctx, server, err)
	}
	defer closeBody(response)
	status, err := decoder.Body[messenger.ServerStatus](response.Body, maxResponseBytes)
	if err != nil {
		return messenger.ServerStatus{}, bodyFailure(err)
	}
	return status, nil
}

// nonReplayable hides the concrete type of a reader, so that net/http can't
// rewind the body and retry the request on its own.
type nonReplayable struct {
	io.Reader
}

// post sends a JSON body and reads the response. It reports whether a connection
// was obtained; from then on, part of the request may have been sent.
func post[T any](ctx context.Context, d *Dialer, server messenger.Server, path string, body any, header http.Header) (answer *T, mayHaveSent bool, err error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, false, classifier.NewFailure(classifier.InvalidRequest, "encode").WithCause(err)
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+server.Address+path, nonReplayable{bytes.NewReader(data)})
	if err != nil {
		return nil, false, classifier.NewFailure(classifier.InvalidRequest, "address %s", server.Address).WithCause(err)
	}
	r.Header = header
	r.ContentLength = int64(len(data))
	r.Header.Set("Content-Type", "application/json")
	setDeadline(ctx, r.Header)
	response, err := d.transport.RoundTrip(r)
	if err != nil {
		return nil, connected.Load(), sendFailure(ctx, server, connected.Load(), err)
	}
	defer closeBody(response)
	answer, err = readAnswer[T](response)
	return answer, true, err
}

// setDeadline sets the header with the milliseconds left until the deadline of the context.
func setDeadline(ctx context.Context, header http.Header) {
	deadline, ok := ctx.Deadline()
	if ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		header.Set(messenger.HeaderDeadline, strconv.FormatInt(left, 10))
	}
}

func readAnswer[T any](response *http.Response) (*T, error) {
	if response.StatusCode != http.StatusOK {
		return nil, readRejection(response)
	}
	answer, err := decoder.Body[T](response.Body, maxResponseBytes)
	if err != nil {
		return nil, bodyFailure(err)
	}
	return &answer, nil
}

func readRejection(response *http.Response) error {
	rejection, err := decoder.Body[messenger.ServerRejection](response.Body, maxResponseBytes)
	if err != nil || rejection.Code == 0 {
		return classifier.NewFailure(classifier.ServerFailed, "status %d", response.StatusCode)
	}
	return (&messenger.RejectionError{Rejection: rejection}).Failure()
}

func bodyFailure(err error) error {
	if errors.Is(err, decoder.ErrTooLarge) {
		return classifier.NewFailure(classifier.ResponseTooLarge, "")
	}
	return classifier.NewFailure(classifier.ShortBody, "").WithCause(err)
}

func sendFailure(ctx context.Context, server messenger.Server, connected bool, err error) error {
	if !connected {
		return connectFailure(ctx, server, err)
	}
	code := contextCode(ctx, classifier.ServerFailed)
	return classifier.NewFailure(code, "exchange with %s", server.ID).WithCause(err)
}

func connectFailure(ctx context.Context, server messenger.Server, err error) error {
	code := contextCode(ctx, classifier.ServerUnreachable)
	return classifier.NewFailure(code, "connect to %s", server.ID).WithCause(err)
}

// contextCode returns the code of a canceled or expired context, otherwise the
// fallback, which stands for a failure of the server.
func contextCode(ctx context.Context, fallback classifier.Code) classifier.Code {
	if ctx.Err() != nil {
		return classifier.CodeOf(ctx.Err(), fallback)
	}
	return fallback
}

// closeBody drains the body, so that the connection can be reused, and closes it.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxResponseBytes)
	_ = response.Body.Close()
}
