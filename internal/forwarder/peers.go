package forwarder

import (
	"context"
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/comparer"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/internal/sleeper"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/connector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/watcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// compareInterval is how often this host compares its objects with a peer.
	// Several comparisons fit into the time within which a configuration has to be
	// in force.
	compareInterval = 500 * time.Millisecond
	// startupCompareInterval is how often a host that has just started compares its
	// objects with a seed, which may have started at the same time. The interval is
	// not shorter because a seed of hundreds of hosts already gets hundreds of calls
	// a second.
	startupCompareInterval = 300 * time.Millisecond
	// seedWait is how long a starting host waits for its seeds before it reads from
	// the store itself. It is several times the time that a seed takes to answer. It
	// is no longer than that because callers may be waiting.
	seedWait = 400 * time.Millisecond
	// firstStartSeedWait replaces seedWait when all hosts start for the first time:
	// the seeds have to start and list everything themselves, and no callers come
	// for some seconds.
	firstStartSeedWait = 1500 * time.Millisecond
	// seedPollInterval is how often a host that waits for its seeds checks whether
	// it still has to. It is short, as callers may be waiting.
	seedPollInterval = 20 * time.Millisecond
	// probeDialTimeout is how long a probed host may take to accept a connection, tens
	// of times the round trip. A host that is down doesn't answer at all.
	probeDialTimeout = 60 * time.Millisecond
	// probedHostsPerDomain is how many hosts of each other failure domain are
	// probed, as one of them may be down.
	probedHostsPerDomain = 2
	// peerAnswerTime is the time in which a peer that has not stalled mostly answers a
	// comparison; the next one is scheduled after it.
	peerAnswerTime = 50 * time.Millisecond
	// compareTimeout limits one comparison. It leaves time for a comparison with
	// another peer before a configuration has to be in force.
	compareTimeout = 400 * time.Millisecond
)

// control serves the comparisons that peers request.
type control struct {
	exchangerconnect.UnimplementedControlHandler

	f *Forwarder
}

// Compare answers either call of a comparison: the first has a digest of all objects
// of the peer, the second the versions in the buckets of objects that differ. Response
// headers state the age of this host's objects, if known, and whether it is partitioned.
func (c control) Compare(_ context.Context, r *connect.Request[exchanger.CompareRequest]) (*connect.Response[exchanger.CompareResponse], error) {
	answer, err := comparer.Answer(c.f.objects, r.Msg)
	if err != nil {
		return nil, err
	}
	response := connect.NewResponse(answer)
	at := c.f.allConfirmedAt()
	if c.f.lostPrefixes.Load() == 0 && at.Unix() > 0 {
		comparer.SetAge(response.Header(), time.Since(at))
	}
	if c.f.engine.partitioned.Load() {
		comparer.SetNotReady(response.Header())
	}
	return response, nil
}

// compareWithPeers compares objects with one peer after another until ctx is done:
// with the hosts that follow the store on behalf of this one, or, if there are none
// and the store is unreachable, with all peers. A starting host begins with its seeds
// unless all hosts start for the first time.
func (f *Forwarder) compareWithPeers(ctx context.Context) {
	client := connector.NewClient()
	defer client.CloseIdleConnections()
	if !f.Settings().FirstStart {
		f.compareWithSeeds(ctx, client)
	}
	// A peer that has stalled doesn't delay the comparisons with others.
	var comparisons sync.WaitGroup
	defer comparisons.Wait()
	var busy sync.Map
	// Round robin from a random start, so that each peer gets its turn.
	for turn := rand.IntN(math.MaxInt16); ctx.Err() == nil; turn++ {
		peers, overdue := f.sources()
		peers = slices.DeleteFunc(peers, func(address string) bool {
			_, comparing := busy.Load(address)
			return comparing
		})
		if !overdue && len(peers) > 0 {
			peers = peers[turn%len(peers):][:1]
		}
		var round sync.WaitGroup
		for _, peer := range peers {
			busy.Store(peer, true)
			round.Add(1)
			comparisons.Go(func() {
				defer round.Done()
				defer busy.Delete(peer)
				f.compareWith(ctx, client, peer)
			})
		}
		waitAtMost(&round, peerAnswerTime)
		sleeper.Sleep(ctx, f.compareDelay())
	}
}

// waitAtMost waits for a group, but not longer than a time.
func waitAtMost(group *sync.WaitGroup, limit time.Duration) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// sources returns the control addresses of the hosts to compare with: those that follow the store
// on behalf of this one, or, if there are none and the store is unreachable, all peers. If their
// content is overdue, all are to be asked at once, and their successors too.
func (f *Forwarder) sources() (peers []string, overdue bool) {
	peers = f.storeFollowers()
	switch {
	case len(peers) == 0 && f.lostPrefixes.Load() > 0:
		return f.peers(), false
	case len(peers) > 0 && f.contentOverdue():
		overdue = true
		s := f.Settings()
		for _, host := range delegator.StoreSuccessors(s.Domain, f.delegate.listedHosts()) {
			if host.Name != s.Name {
				peers = append(peers, host.Address)
			}
		}
	}
	return peers, overdue
}

// contentOverdue reports whether the hosts that follow the store for this one have stalled.
func (f *Forwarder) contentOverdue() bool {
	f.sourceMu.Lock()
	defer f.sourceMu.Unlock()
	return f.source.Overdue(time.Now())
}

// compareDelay returns the time until the next comparison with a peer.
func (f *Forwarder) compareDelay() time.Duration {
	f.sourceMu.Lock()
	defer f.sourceMu.Unlock()
	now := time.Now()
	if f.source.Waiting(now) {
		return startupCompareInterval
	}
	return f.source.CompareDelay(now)
}

// compareWithSeeds compares objects with the seeds, starting with a random one,
// until one has sent all objects of the store or every seed is ruled out. Seeds
// that accept no connection are ruled out immediately: hosts that lost power
// together start one after another, while callers wait.
func (f *Forwarder) compareWithSeeds(ctx context.Context, client *http.Client) {
	seeds := f.otherSeeds()
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	up := make([]bool, len(seeds))
	var dials sync.WaitGroup
	for i, seed := range seeds {
		dials.Go(func() { up[i] = dialProbe(ctx, seed, probeDialTimeout) == nil })
	}
	dials.Wait()
	for i, seed := range seeds {
		for pending := up[i]; pending && f.awaitsSeeds() && ctx.Err() == nil; {
			pending = f.compareWith(ctx, client, seed)
		}
		f.ruleOutSeed(seed)
	}
}

// dialProbe opens and closes a connection, to check that what listens there can be reached.
func dialProbe(ctx context.Context, address string, timeout time.Duration) error {
	dialer := net.Dialer{Timeout: timeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// probeOtherDomains probes whether any host of another failure domain is
// reachable; if none is, the store is checked too. One probe runs at a time.
func (f *Forwarder) probeOtherDomains(ctx context.Context) {
	if !f.probing.CompareAndSwap(false, true) {
		return
	}
	f.checks.Go(func() {
		defer f.probing.Store(false)
		addresses := f.probeTargets()
		if len(addresses) == 0 {
			return
		}
		var reached atomic.Bool
		var dials sync.WaitGroup
		for _, address := range addresses {
			dials.Go(func() {
				err := dialProbe(ctx, address, probeDialTimeout)
				// A refused connection shows that the host is reachable as well.
				if err == nil || errors.Is(err, syscall.ECONNREFUSED) {
					reached.Store(true)
				}
			})
		}
		dials.Wait()
		if ctx.Err() != nil {
			return
		}
		f.engine.push(peersProbed{reached: reached.Load()})
		if !reached.Load() {
			f.checkStore(ctx)
		}
	})
}

// probeTargets returns the control addresses of probedHostsPerDomain random hosts
// of each other failure domain.
func (f *Forwarder) probeTargets() []string {
	domains := make(map[string]int)
	var addresses []string
	hosts := slices.Clone(f.delegate.listedHosts())
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	for _, host := range hosts {
		if host.Domain != f.Settings().Domain && domains[host.Domain] < probedHostsPerDomain {
			domains[host.Domain]++
			addresses = append(addresses, host.Address)
		}
	}
	return addresses
}

// ruleOutSeed records that a peer doesn't answer, or doesn't know how old its objects
// are, so that this host doesn't wait for it. It has no effect on a peer that isn't a
// seed.
func (f *Forwarder) ruleOutSeed(address string) {
	f.sourceMu.Lock()
	defer f.sourceMu.Unlock()
	f.source.RuleOutPeer(address)
}

// otherSeeds returns the seeds, or none if this host is one of them, as others
// wait for it.
func (f *Forwarder) otherSeeds() []string {
	s := f.Settings()
	if slices.Contains(s.Seeds, s.Listen.Control) {
		return nil
	}
	return slices.Clone(s.Seeds)
}

// awaitsSeeds reports whether this host still waits for its seeds before it reads
// from the store itself.
func (f *Forwarder) awaitsSeeds() bool {
	f.sourceMu.Lock()
	defer f.sourceMu.Unlock()
	return f.source.Waiting(time.Now())
}

// storeFollowers returns the control addresses of the hosts that follow the store
// on behalf of this one, or none if it follows the store itself. If this host isn't
// listed yet, it has just started and uses its seeds too. storeFollowers also
// records in f.source which role that gives this host.
func (f *Forwarder) storeFollowers() []string {
	s := f.Settings()
	var addresses []string
	hosts := f.delegate.listedHosts()
	isSelf := func(h delegator.Host) bool { return h.Name == s.Name }
	if !slices.ContainsFunc(hosts, isSelf) {
		addresses = f.otherSeeds()
	}
	for _, host := range delegator.StoreFollowers(s.Domain, hosts) {
		if isSelf(host) {
			addresses = nil
			break
		}
		addresses = append(addresses, host.Address)
	}
	role := watcher.Dependent
	switch {
	case len(addresses) == 0 || !f.cfg.Settings.sourceConfig().AllowsPeers():
		role, addresses = watcher.Direct, nil
	case slices.ContainsFunc(delegator.StoreSuccessors(s.Domain, hosts), isSelf):
		role = watcher.Successor
	}
	f.sourceMu.Lock()
	f.source.SetRole(role)
	f.sourceMu.Unlock()
	return addresses
}

// followsStore reports whether this host follows the store itself.
func (f *Forwarder) followsStore() bool {
	f.sourceMu.Lock()
	defer f.sourceMu.Unlock()
	return f.lostPrefixes.Load() > 0 || f.source.FollowsStore(time.Now())
}

// compareWith fetches newer objects from a peer and applies them. It reports whether
// the peer knows the age of its objects; a peer that has not read the configuration
// yet, or that gets no answer from the store, doesn't.
func (f *Forwarder) compareWith(ctx context.Context, client *http.Client, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, compareTimeout)
	defer cancel()
	peer := exchangerconnect.NewControlClient(client, "http://"+address, connector.ClientOptions(nil))
	begun := time.Now()
	comparison, err := comparer.Fetch(ctx, peer, f.Settings().Name, f.objects)
	if err != nil || len(comparison.Newer) > 0 {
		f.cfg.Logger.Info(logger.PeerAsked, "peer", address, "newer", len(comparison.Newer), "storeAgeMillis", comparison.Age.Milliseconds(), "error", err)
	}
	f.metrics.peerCall(err)
	f.logRejected(address, comparison.Rejected)
	if err != nil || !comparison.AgeKnown {
		f.ruleOutSeed(address)
	}
	if err != nil {
		return false
	}
	if comparison.NotReady && slices.Contains(f.storeFollowers(), address) {
		f.engine.push(peerNotReady{})
	}
	if len(comparison.Newer) > 0 {
		f.observeEra(exchanger.NewestEra(comparison.Newer))
	}
	f.merge(comparison.Newer, origin{complete: comparison.Complete && f.holdsServers(comparison.Newer), afterOutage: f.lostPrefixes.Load() > 0})
	f.apply(comparison.Deleted, origin{})
	if comparison.Complete && (comparison.AgeKnown || f.lostPrefixes.Load() > 0) {
		f.evacuationsKnown.Store(true)
	}
	if !comparison.AgeKnown || !comparison.Complete {
		return comparison.AgeKnown
	}
	f.sourceMu.Lock()
	f.source.ReceivedFromPeer(begun, comparison.Age)
	f.sourceMu.Unlock()
	advance(&f.configConfirmed, begun.Add(-comparison.Age))
	advance(&f.serversConfirmed, begun.Add(-comparison.Age))
	advance(&f.evacuationsConfirmed, begun.Add(-comparison.Age))
	return true
}

// holdsServers reports whether a backend server is among the objects given or
// held.
func (f *Forwarder) holdsServers(objects []storer.Object) bool {
	return len(f.objects.List(f.cfg.Layout.ServerPrefix)) > 0 || slices.ContainsFunc(objects, func(object storer.Object) bool {
		return strings.HasPrefix(object.Key, f.cfg.Layout.ServerPrefix)
	})
}

// peers returns the control addresses of the seeds and of the other listed hosts.
func (f *Forwarder) peers() []string {
	own := f.Settings().Listen.Control
	seen := map[string]bool{own: true}
	var addresses []string
	add := func(address string) {
		if !seen[address] {
			seen[address] = true
			addresses = append(addresses, address)
		}
	}
	for _, address := range f.Settings().Seeds {
		add(address)
	}
	for _, host := range f.delegate.listedHosts() {
		add(host.Address)
	}
	return addresses
}
