package generator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

const (
	// readinessInterval is the time between two rounds of readiness checks of all entries.
	readinessInterval = 200 * time.Millisecond
	// callTimeout bounds one HTTP request to an entry or searcher.
	callTimeout = 15 * time.Second
	// maxAttempts bounds how often a request is sent when entries don't respond.
	maxAttempts = 3
	// maxBodyBytes bounds the part of a response body that is read.
	maxBodyBytes = 16 << 20
)

var errNoReadyEntry = errors.New("no entry is ready")

// balancer simulates the platform's balancer: it sends each request to a random
// entry among those that were ready at the last readiness check.
type balancer struct {
	client  *http.Client
	entries []string
	// searcherAddresses caches the addresses of the searchers, once listed.
	searcherAddresses []string

	mu     sync.Mutex
	ready  []string
	random *rand.Rand
}

func newBalancer(entries []string, seed uint64) *balancer {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
		MaxIdleConnsPerHost: 64,
	}
	return &balancer{
		client:  &http.Client{Transport: transport, Timeout: callTimeout},
		entries: entries,
		random:  rand.New(rand.NewPCG(seed, seed)),
	}
}

// watch checks the readiness of all entries periodically until the context ends.
func (b *balancer) watch(ctx context.Context) {
	for ctx.Err() == nil {
		b.refresh(ctx)
		select {
		case <-time.After(readinessInterval):
		case <-ctx.Done():
		}
	}
}

func (b *balancer) refresh(ctx context.Context) {
	var ready []string
	for _, entry := range b.entries {
		response, err := b.get(ctx, entry, "/readyz")
		if err == nil && response.status == http.StatusOK {
			ready = append(ready, entry)
		}
	}
	b.mu.Lock()
	b.ready = ready
	b.mu.Unlock()
}

func (b *balancer) pick() (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return "", errNoReadyEntry
	}
	return b.ready[b.random.IntN(len(b.ready))], nil
}

type response struct {
	status int
	body   []byte
}

func (b *balancer) get(ctx context.Context, address, path string) (response, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, http.NoBody)
	if err != nil {
		return response{}, err
	}
	return b.do(r)
}

func (b *balancer) do(r *http.Request) (response, error) {
	answer, err := b.client.Do(r)
	if err != nil {
		return response{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxBodyBytes))
	return response{status: answer.StatusCode, body: body}, err
}

// post sends a body to a ready entry. After a transport error it sends the body
// again, to an entry picked anew, up to maxAttempts in all.
func (b *balancer) post(ctx context.Context, path string, header http.Header, body any) (response, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return response{}, err
	}
	for range maxAttempts {
		var entry string
		entry, err = b.pick()
		if err != nil {
			return response{}, err
		}
		var r *http.Request
		r, err = http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, bytes.NewReader(data))
		if err != nil {
			return response{}, err
		}
		r.Header = header.Clone()
		var answer response
		answer, err = b.do(r)
		if err == nil {
			return answer, nil
		}
	}
	return response{}, err
}

func callerHeader(n int) http.Header {
	header := http.Header{}
	header.Set("Content-Type", "application/json")
	header.Set(messenger.HeaderRequestID, "load-"+strconv.Itoa(n))
	header.Set(messenger.HeaderCaller, "caller-"+strconv.Itoa(n%4))
	return header
}

// query sends one query and returns its answer, or the result code of the
// problem document.
func (b *balancer) query(ctx context.Context, service string, n int) (*messenger.QueryAnswer, classifier.Code, error) {
	answer, err := b.post(ctx, "/v1/services/"+service+"/query", callerHeader(n),
		messenger.QueryRequest{Query: json.RawMessage(`{"shaft":"` + strconv.Itoa(n) + `"}`)})
	if err != nil {
		return nil, 0, err
	}
	if answer.status != http.StatusOK {
		return nil, problemCode(answer.body), nil
	}
	var decoded messenger.QueryAnswer
	err = json.Unmarshal(answer.body, &decoded)
	return &decoded, classifier.Code(decoded.Code), err
}

func problemCode(body []byte) classifier.Code {
	var problem messenger.Problem
	err := json.Unmarshal(body, &problem)
	if err != nil {
		return 0
	}
	return classifier.Code(problem.Code)
}

// order submits one order, with a ticket or with an idempotency key of the
// caller, and returns its result code.
func (b *balancer) order(ctx context.Context, cfg Config, n int) classifier.Code {
	header := callerHeader(n)
	request := messenger.OrderRequest{Order: json.RawMessage(`{"build":` + strconv.Itoa(n) + `}`)}
	if cfg.Ticketed {
		ticket, code := b.ticket(ctx, cfg.OrderService, n)
		if ticket == "" {
			return code
		}
		request.Ticket = ticket
	} else {
		header.Set(messenger.HeaderIdempotencyKey, fmt.Sprintf("key-%d-%d", cfg.Seed, n))
	}
	answer, err := b.post(ctx, "/v1/services/"+cfg.OrderService+"/orders", header, request)
	switch {
	case err != nil:
		return classifier.OrderUnknown
	case answer.status != http.StatusOK:
		return problemCode(answer.body)
	}
	return classifier.OrderDone
}

// ticket returns a ticket, or the result code of the order if none was issued:
// without a ticket the order has not run.
func (b *balancer) ticket(ctx context.Context, service string, n int) (string, classifier.Code) {
	answer, err := b.post(ctx, "/v1/services/"+service+"/tickets", callerHeader(n), struct{}{})
	if err == nil && answer.status != http.StatusCreated {
		return "", problemCode(answer.body)
	}
	var ticket messenger.TicketAnswer
	if err == nil {
		err = json.Unmarshal(answer.body, &ticket)
	}
	if err != nil {
		return "", classifier.OrderNotRun
	}
	return ticket.Ticket, classifier.OK
}
