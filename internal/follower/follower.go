package follower

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger"
	"github.com/rhubarbpost/rhubarbpost/internal/protocol/exchanger/exchangerconnect"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/connector"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/cacher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// retryDelay is the time between the end of a subscription and the next one.
	retryDelay = 200 * time.Millisecond
	// acknowledgeTimeout limits one acknowledgement.
	acknowledgeTimeout = time.Second
	// fallbackDuration is how long the agent of another host is followed before the
	// local agent is tried again.
	fallbackDuration = 5 * time.Second
)

// Config holds the settings and dependencies of a follower.
type Config struct {
	Host string
	// Agents are the addresses of agents, the local one first.
	Agents []string
	Keys   []string
	Client connect.HTTPClient
	// Apply is called from a single goroutine after each change, with the cache of all
	// objects held and the objects that the change has added or replaced.
	Apply  func(held *cacher.Cache, newer []storer.Object)
	Logger *logger.Logger
}

// Follower subscribes to one agent at a time until it is closed.
type Follower struct {
	cfg     Config
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
	cache   *cacher.Cache
	clients []exchangerconnect.ControlClient

	mu     sync.Mutex
	synced bool
}

// New returns a follower that is not started.
func New(cfg Config) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{cfg: cfg, ctx: ctx, cancel: cancel, done: make(chan struct{}), cache: cacher.New()}
	options := connector.ClientOptions(cfg.Keys)
	for _, address := range cfg.Agents {
		f.clients = append(f.clients, exchangerconnect.NewControlClient(cfg.Client, "http://"+address, options))
	}
	return f
}

// Start begins to follow the agents; Apply may be called from now on.
func (f *Follower) Start() {
	go f.loop()
}

// Synced reports whether the full state of an agent has been received at least once.
func (f *Follower) Synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.synced
}

// Close ends the subscription of a started follower and waits until it has ended.
func (f *Follower) Close() {
	f.cancel()
	<-f.done
}

// Acknowledge reports the revisions in force to the local agent.
func (f *Follower) Acknowledge(revisions map[string]uint64) {
	ctx, cancel := context.WithTimeout(f.ctx, acknowledgeTimeout)
	defer cancel()
	_, err := f.clients[0].Acknowledge(ctx, connect.NewRequest(&exchanger.AcknowledgeRequest{
		Host: f.cfg.Host, Revisions: revisions,
	}))
	if err != nil {
		f.cfg.Logger.Debug(logger.AgentLost, "error", err)
	}
}

func (f *Follower) loop() {
	defer close(f.done)
	for n := 0; f.ctx.Err() == nil; n++ {
		agent := n % len(f.clients)
		received, err := f.follow(agent)
		if received {
			// The local agent is next, since the loop increments n to 0.
			n = -1
		}
		if f.ctx.Err() != nil {
			return
		}
		f.cfg.Logger.Debug(logger.AgentLost, "agent", f.cfg.Agents[agent], "error", err)
		select {
		case <-time.After(retryDelay):
		case <-f.ctx.Done():
		}
	}
}

// follow reads the stream of one agent until it ends and reports whether there
// was any message. The stream of another host's agent ends after a fixed time,
// so that the local agent is followed again once it is back.
func (f *Follower) follow(agent int) (received bool, err error) {
	ctx, cancel := context.WithCancel(f.ctx)
	if agent > 0 {
		ctx, cancel = context.WithTimeout(f.ctx, fallbackDuration)
	}
	defer cancel()
	stream, err := f.clients[agent].Subscribe(ctx, connect.NewRequest(&exchanger.SubscribeRequest{Host: f.cfg.Host}))
	if err != nil {
		return false, err
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		if !received {
			f.cfg.Logger.Info(logger.AgentFollowed, "agent", f.cfg.Agents[agent])
		}
		received = true
		f.handleMessage(stream.Msg())
	}
	return received, stream.Err()
}

func (f *Follower) handleMessage(message *exchanger.SubscribeResponse) {
	objects, rejected := exchanger.DecodeObjects(message.GetObjects(), message.GetEra())
	for _, err := range rejected {
		f.cfg.Logger.Warn(logger.RegistrationRejected, "error", err)
	}
	newer := f.cache.Merge(objects)
	if len(newer) > 0 {
		f.cfg.Apply(f.cache, newer)
	}
	if message.GetWhole() {
		f.mu.Lock()
		f.synced = true
		f.mu.Unlock()
	}
}
