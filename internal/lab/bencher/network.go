package bencher

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/searcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

// node is an in-memory searcher with its registration.
type node struct {
	engine *searcher.Engine
	server messenger.Server

	mu   sync.Mutex
	lost bool
}

func (n *node) setLost(lost bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lost = lost
}

func (n *node) isLost() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost
}

// network simulates the network between one entry and the searchers: delays,
// connections and partitions.
type network struct {
	domain           string
	crossDomainDelay time.Duration
	sameDomainDelay  time.Duration
	connectionCost   time.Duration
	carrier          configurer.Carrier
	// quota is the maximum number of connections from the entry to one searcher.
	quota int
	nodes map[string]*node

	mu sync.Mutex
	// partitioned holds the failure domains on the far side of a partition.
	partitioned map[string]bool
	pools       map[string]*pool
}

// pool simulates the connections of one entry to one searcher.
type pool struct {
	// permits limits the concurrent exchanges; an exchange is a request and its answer.
	permits chan struct{}
	mu      sync.Mutex
	// idle is the number of open connections without an exchange.
	idle int
}

// acquire takes an idle connection, or reports that a new one must be opened.
func (p *pool) acquire() (isNew bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle > 0 {
		p.idle--
		return false
	}
	return true
}

// release returns a connection to the idle ones.
func (p *pool) release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle++
}

func (n *network) pool(id string) *pool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.pools[id]
	if !ok {
		p = &pool{permits: make(chan struct{}, n.maxConcurrency())}
		n.pools[id] = p
	}
	return p
}

// maxConcurrency returns how many concurrent exchanges the connections to one
// searcher allow.
func (n *network) maxConcurrency() int {
	if n.carrier == configurer.CarrierHTTP2 {
		return n.quota * streamsPerConnection
	}
	return n.quota
}

// streamsPerConnection is the number of concurrent streams of an HTTP/2 connection.
const streamsPerConnection = 100

// delay returns the one-way delay to a server.
func (n *network) delay(server messenger.Server) time.Duration {
	if server.Domain == n.domain {
		return n.sameDomainDelay
	}
	return n.crossDomainDelay
}

// isPartitioned reports whether a partition separates the entry from a failure domain.
func (n *network) isPartitioned(domain string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[domain] != n.partitioned[n.domain]
}

// partition separates a failure domain from all others.
func (n *network) partition(domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[domain] = true
}

// Search runs one sub-request at a searcher over the simulated network.
func (n *network) Search(ctx context.Context, server messenger.Server, q *messenger.SubQuery) (*messenger.SubAnswer, error) {
	target := n.nodes[server.ID]
	if n.isPartitioned(server.Domain) {
		<-ctx.Done()
		return nil, classifier.FailureOf(ctx.Err(), classifier.ServerFailed)
	}
	if target.isLost() {
		return nil, classifier.NewFailure(classifier.ServerUnreachable, "%s", server.ID)
	}
	p := n.pool(server.ID)
	select {
	case p.permits <- struct{}{}:
	case <-ctx.Done():
		return nil, classifier.FailureOf(ctx.Err(), classifier.ServerUnreachable)
	}
	defer func() { <-p.permits }()
	requestDelay := n.delay(server)
	if p.acquire() {
		requestDelay += n.connectionCost
	}
	answer, err := n.exchange(ctx, target, q, requestDelay, n.delay(server))
	// Canceling an exchange over HTTP/1.1 closes its connection.
	if ctx.Err() == nil || n.carrier == configurer.CarrierHTTP2 {
		p.release()
	}
	return answer, err
}

type exchangeResult struct {
	answer *messenger.SubAnswer
	err    error
}

// exchange runs a sub-request at a searcher. If ctx ends first, exchange returns
// immediately and the searcher cancels the sub-request one responseDelay later.
func (n *network) exchange(ctx context.Context, target *node, q *messenger.SubQuery, requestDelay, responseDelay time.Duration) (*messenger.SubAnswer, error) {
	deadline, _ := ctx.Deadline()
	remote, cancel := context.WithDeadline(context.Background(), deadline)
	result := make(chan exchangeResult, 1)
	go func() {
		defer cancel()
		time.Sleep(requestDelay)
		if remote.Err() != nil {
			result <- exchangeResult{err: remote.Err()}
			return
		}
		answer, err := target.engine.Search(remote, q)
		time.Sleep(responseDelay)
		result <- exchangeResult{answer: answer, err: err}
	}()
	select {
	case r := <-result:
		return r.answer, failureOf(r.err)
	case <-ctx.Done():
		time.AfterFunc(responseDelay, cancel)
		return nil, classifier.FailureOf(ctx.Err(), classifier.ServerFailed)
	}
}

// failureOf converts an error of a searcher to a *classifier.Failure.
func failureOf(err error) error {
	var rejection *messenger.RejectionError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &rejection):
		return rejection.Failure()
	}
	return classifier.FailureOf(err, classifier.ServerFailed)
}

// Probe requests the status of a searcher.
func (n *network) Probe(ctx context.Context, server messenger.Server) (messenger.ServerStatus, error) {
	target := n.nodes[server.ID]
	if n.isPartitioned(server.Domain) {
		<-ctx.Done()
		return messenger.ServerStatus{}, ctx.Err()
	}
	if target.isLost() {
		return messenger.ServerStatus{}, classifier.NewFailure(classifier.ServerUnreachable, "%s", server.ID)
	}
	time.Sleep(2 * n.delay(server))
	return target.engine.Status(), nil
}
