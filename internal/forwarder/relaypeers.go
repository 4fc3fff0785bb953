package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/relayer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// addIsolated adds the hosts known to reach no backend server to the headers of an answer, so
// that the other host doesn't have to find out by itself.
func (d *delegate) addIsolated(h http.Header) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, age := range d.peers.Isolated(time.Now()) {
		h.Add(isolatedHeader, fmt.Sprintf("%d %s", age.Milliseconds(), name))
	}
}

// takeIsolated records the hosts that another one knows to reach no backend server, and returns
// the lines that can't be read.
func (d *delegate) takeIsolated(h http.Header) (unread []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for _, line := range h.Values(isolatedHeader) {
		text, name, _ := strings.Cut(line, " ")
		age, err := parseMillis(text)
		if err != nil {
			unread = append(unread, line)
			continue
		}
		d.peers.Hear(now, name, age)
	}
	return unread
}

// room tells whether this host has room for requests of its peers.
type room struct {
	mu   sync.Mutex
	room *relayer.Room
}

func newRoom(self delegator.Host) *room {
	return &room{room: relayer.NewRoom(self.SubRequestRate())}
}

func (r *room) add(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.room.Add(time.Now(), n)
}

func (r *room) admit(n int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.room.Admit(time.Now(), n)
}

// choosePeer returns a host through which a request can be sent, and false if there is none.
// With strict, it is one that keeps to the terms of a relay. peerEnded is to be called for it.
func (f *Forwarder) choosePeer(route *matcher.Route, tried []string, strict bool) (delegator.Host, bool) {
	connections, sharded := f.connections(route)
	d := f.delegate
	d.mu.Lock()
	defer d.mu.Unlock()
	tiers := d.relayTiers(f.self(), relayKind{connections, sharded, strict})
	if len(d.hosts) <= 1 && !strict {
		tiers = []relayer.Tier{relayer.NewTier("", f.seedHosts())}
	}
	peer, ok := d.peers.Choose(time.Now(), tiers, tried)
	if ok {
		d.peers.Sent(peer.Name)
	}
	return peer, ok
}

// seedHosts returns the seeds as hosts, named by their addresses, for a host that has just
// started and doesn't know the others yet.
func (f *Forwarder) seedHosts() []delegator.Host {
	var hosts []delegator.Host
	for _, address := range f.otherSeeds() {
		hosts = append(hosts, delegator.Host{Name: address, Address: address, Capacity: f.Settings().Capacity})
	}
	return hosts
}

// relayKind is a kind of relays with the same peers.
type relayKind struct {
	// connections is the number that a server accepts from all hosts together.
	connections int
	sharded     bool
	// strict means that the peers must keep to the terms of a relay.
	strict bool
}

// relayTiers returns the peers for a kind of relays. The caller holds d.mu.
func (d *delegate) relayTiers(self delegator.Host, kind relayKind) []relayer.Tier {
	tiers, ok := d.tiers[kind]
	if ok {
		return tiers
	}
	for _, hosts := range delegator.RelayPeers(self, d.hosts, kind.connections, kind.sharded) {
		if kind.strict {
			hosts = keepingTerms(hosts)
		}
		tiers = append(tiers, relayer.NewTier(self.Domain, hosts))
	}
	d.tiers[kind] = tiers
	return tiers
}

func keepingTerms(hosts []delegator.Host) []delegator.Host {
	var kept []delegator.Host
	for _, host := range hosts {
		if host.Relays {
			kept = append(kept, host)
		}
	}
	return kept
}

// peerEnded records the end of an exchange with the host that choosePeer returned.
func (d *delegate) peerEnded(ctx context.Context, peer string, err error) {
	outcome := relayer.Unreached
	switch {
	case err == nil:
		outcome = relayer.Accepted
	case ctx.Err() != nil:
		outcome = relayer.Canceled
	case errors.Is(err, errPeerIsolated):
		outcome = relayer.Isolated
	case errors.Is(err, errPeerBusy):
		outcome = relayer.Busy
	case errors.Is(err, errNotGathered):
		outcome = relayer.Declined
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.peers.Ended(time.Now(), peer, outcome)
}
