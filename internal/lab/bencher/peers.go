package bencher

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/querier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// peers is the querier.Peers of one entry; it calls the engines of the other entries.
type peers struct {
	run  *run
	self int
}

func (r *run) peersOf(entry int) querier.Peers {
	return &peers{run: r, self: entry}
}

func entryName(entry int) string {
	return "entry-" + strconv.Itoa(entry)
}

// entryOf converts an index of Names, which leaves out the entry itself, to the index
// of that entry in the run.
func (p *peers) entryOf(peer int) int {
	if peer < p.self {
		return peer
	}
	return peer + 1
}

// Self returns the name of the entry itself.
func (p *peers) Self() string { return entryName(p.self) }

// Names returns the names of the other entries.
func (p *peers) Names() []string {
	names := make([]string, 0, p.run.scenario.Entries-1)
	for peer := range p.run.scenario.Entries - 1 {
		names = append(names, entryName(p.entryOf(peer)))
	}
	return names
}

// RequestShards sends a request to another entry over the simulated network and
// passes each message of the response to receive.
func (p *peers) RequestShards(ctx context.Context, peer int, request querier.PeerRequest, receive func(querier.PeerResponse)) error {
	entry := p.entryOf(peer)
	from, to := p.run.networks[p.self], p.run.networks[entry]
	if from.isPartitioned(to.domain) {
		<-ctx.Done()
		return ctx.Err()
	}
	if p.run.isKilled(entry) {
		return classifier.NewFailure(classifier.ServerUnreachable, "killed")
	}
	if p.run.isFrozen(entry) {
		<-ctx.Done()
		return ctx.Err()
	}
	delay := p.run.scenario.CrossDomainDelay
	if from.domain == to.domain {
		delay = sameDomainDelay
	}
	time.Sleep(delay)
	l := &link{run: p.run, entry: entry, delay: delay, receive: receive}
	err := p.run.engines[entry].ServePeer(ctx, request, l.send)
	l.sent.Wait()
	return err
}

// link delivers the messages of another entry to the requesting one, each after a
// one-way delay and one at a time.
type link struct {
	run     *run
	entry   int
	delay   time.Duration
	receive func(querier.PeerResponse)
	sent    sync.WaitGroup
	mu      sync.Mutex
}

func (l *link) send(response querier.PeerResponse) error {
	if l.run.isFrozen(l.entry) {
		return nil
	}
	if l.run.isKilled(l.entry) {
		return classifier.NewFailure(classifier.ServerUnreachable, "killed")
	}
	l.sent.Go(func() {
		time.Sleep(l.delay)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.receive(response)
	})
	return nil
}

func (r *run) isFrozen(entry int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.frozen[entry]
}

func (r *run) isKilled(entry int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.killed[entry]
}
