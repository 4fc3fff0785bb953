package controller

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/comparer"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/connector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/gossiper"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/cacher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/queuer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// eventQueueCapacity bounds the events that wait for the gossip state machine.
	eventQueueCapacity = 1024
	// exchangeTimeout limits one comparison with a peer, or one push with all batches.
	exchangeTimeout = 2 * time.Second
	// watchRetryDelay is the time between a failed watch and the next one.
	watchRetryDelay = 500 * time.Millisecond
	// subscriptionQueueCapacity is the number of changes, each a list of objects, that a
	// subscriber may lag behind.
	subscriptionQueueCapacity = 256
	// subscriptionBatchSize is the maximum number of objects in one message of the initial
	// state.
	subscriptionBatchSize = 256
)

// gossipPrefixes are the key prefixes of the objects that agents gossip.
var gossipPrefixes = []string{configurer.ConfigPrefix, configurer.ServerPrefix}

// Peer is another agent and its address.
type Peer struct {
	Host    gossiper.Host
	Address string
}

// Config holds the settings and dependencies of a controller.
type Config struct {
	Self   gossiper.Host
	Peers  []Peer
	Store  storer.Store
	Keys   []string
	Client connect.HTTPClient
	Logger *logger.Logger
	// Seed seeds the random choice of peers.
	Seed uint64
}

// Controller is a running agent; it serves the control protocol.
type Controller struct {
	exchangerconnect.UnimplementedControlHandler

	cfg       Config
	ctx       context.Context
	cancel    context.CancelFunc
	workers   sync.WaitGroup
	events    *queuer.Queue[gossiper.Event]
	cache     *cacher.Cache
	machine   *gossiper.Machine
	clients   map[string]exchangerconnect.ControlClient
	watching  atomic.Bool
	sentBytes atomic.Uint64

	mu          sync.Mutex
	inForce     map[string]uint64
	subscribers map[*subscriber]struct{}
	stopWatch   context.CancelFunc
}

// New starts an agent.
func New(cfg Config) *Controller {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Controller{
		cfg: cfg, ctx: ctx, cancel: cancel,
		events:      queuer.New[gossiper.Event](eventQueueCapacity),
		cache:       cacher.New(),
		clients:     make(map[string]exchangerconnect.ControlClient),
		inForce:     make(map[string]uint64),
		subscribers: make(map[*subscriber]struct{}),
	}
	options := connector.ClientOptions(cfg.Keys)
	hosts := make([]gossiper.Host, 0, len(cfg.Peers))
	for _, peer := range cfg.Peers {
		hosts = append(hosts, peer.Host)
		c.clients[peer.Host.Name] = exchangerconnect.NewControlClient(cfg.Client, "http://"+peer.Address, options)
	}
	c.machine = gossiper.New(gossiper.Config{
		Self: cfg.Self, Peers: hosts, Fanout: gossiper.DefaultFanout,
		Watchers: gossiper.DefaultWatchers, FailedPeerBackoff: gossiper.DefaultFailedPeerBackoff,
	}, rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)))
	c.workers.Go(c.loop)
	return c
}

// Handler returns the handler for calls of peers, of entries and of the console.
func (c *Controller) Handler() (path string, handler http.Handler) {
	return exchangerconnect.NewControlHandler(c, connector.HandlerOptions(c.cfg.Keys))
}

// Cache returns the cache of the objects held.
func (c *Controller) Cache() *cacher.Cache {
	return c.cache
}

// Watching reports whether this agent watches the store.
func (c *Controller) Watching() bool {
	return c.watching.Load()
}

// Close cancels all exchanges, streams and watches and waits until they have ended.
func (c *Controller) Close() {
	c.cancel()
	c.workers.Wait()
}

// loop passes events to the gossip state machine, one at a time.
func (c *Controller) loop() {
	ticker := time.NewTicker(gossiper.Interval)
	defer ticker.Stop()
	c.step(&gossiper.Tick{})
	for {
		select {
		case event := <-c.events.Items():
			c.step(event)
		case <-ticker.C:
			c.step(&gossiper.Tick{})
		case <-c.ctx.Done():
			return
		}
	}
}

func (c *Controller) step(event gossiper.Event) {
	for _, action := range c.machine.Step(time.Now(), event) {
		switch a := action.(type) {
		case *gossiper.Push:
			c.workers.Go(func() { c.push(a) })
		case *gossiper.Compare:
			c.workers.Go(func() { c.compareWith(a.Peer) })
		case *gossiper.SetWatching:
			c.setWatching(a.Watching)
		}
	}
}

// merge merges objects into the cache; the newer ones are sent to the
// subscribers and gossiped to peers.
func (c *Controller) merge(objects []storer.Object) {
	newer := c.cache.Merge(gossiped(objects))
	if len(newer) == 0 {
		return
	}
	keys := make([]string, len(newer))
	for i, object := range newer {
		keys[i] = object.Key
		c.cfg.Logger.Debug(logger.ObjectAccepted, "key", object.Key, "version", object.Version)
	}
	c.notifySubscribers(newer)
	_ = c.events.Push(c.ctx, &gossiper.ObjectsChanged{Keys: keys})
}

func (c *Controller) push(a *gossiper.Push) {
	objects := make([]storer.Object, 0, len(a.Keys))
	for _, key := range a.Keys {
		object, _ := c.cache.Newest(key)
		objects = append(objects, object)
	}
	c.pushObjects(a.Peer, objects)
}

func (c *Controller) pushObjects(peer string, objects []storer.Object) {
	ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
	defer cancel()
	for _, batch := range comparer.Batches(objects) {
		era := exchanger.NewestEra(batch)
		request := &exchanger.PushRequest{Host: c.cfg.Self.Name, Objects: exchanger.EncodeObjects(batch, era), Era: era}
		c.countSent(request.Objects)
		_, err := c.clients[peer].Push(ctx, connect.NewRequest(request))
		c.reportExchange(peer, err)
		if err != nil {
			return
		}
	}
}

func (c *Controller) countSent(objects []*exchanger.Object) {
	for _, object := range objects {
		c.sentBytes.Add(uint64(len(object.GetKey()) + len(object.GetValue())))
	}
}

// reportExchange reports the outcome of an exchange with a peer to the gossip state machine.
func (c *Controller) reportExchange(peer string, err error) {
	if err == nil {
		_ = c.events.Push(c.ctx, &gossiper.PeerResponded{Name: peer})
		return
	}
	if c.ctx.Err() != nil {
		return
	}
	c.cfg.Logger.Debug(logger.PeerFailed, "peer", peer, "error", err)
	_ = c.events.Push(c.ctx, &gossiper.PeerFailed{Name: peer})
}

// compareWith runs an anti-entropy comparison with a peer: a call with the digest and, if
// it differs, one with the versions and pushes of the objects that the peer lacks. Both
// then hold the newer version of each object, except for objects of the peer beyond the
// size limit of a message, which are left for the next comparison.
func (c *Controller) compareWith(peer string) {
	ctx, cancel := context.WithTimeout(c.ctx, exchangeTimeout)
	defer cancel()
	comparison, err := comparer.Fetch(ctx, c.clients[peer], c.cfg.Self.Name, c.cache)
	c.reportExchange(peer, err)
	if err != nil {
		return
	}
	c.merge(comparison.Newer)
	if len(comparison.Deleted) > 0 {
		c.notifySubscribers(comparison.Deleted)
	}
	c.sendWanted(peer, comparison.Wanted)
}

func (c *Controller) sendWanted(peer string, wanted []string) {
	var objects []storer.Object
	for _, key := range wanted {
		object, ok := c.cache.Newest(key)
		if ok {
			objects = append(objects, object)
		}
	}
	if len(objects) > 0 {
		c.pushObjects(peer, objects)
	}
}

// InForce returns the revision of each service that the entry on this host has in force.
func (c *Controller) InForce() map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.inForce)
}
