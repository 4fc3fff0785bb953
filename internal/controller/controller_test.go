package controller

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/provider"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/gossiper"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	testKey = "config/bay-console"
	// hopDelay is the simulated network latency of one direction.
	hopDelay = time.Millisecond
	// inForceLimit is the time within which a change must reach all hosts.
	inForceLimit = 9 * time.Second
)

// cluster runs many agents in one process, connected by an in-memory transport.
type cluster struct {
	agents   []*Controller
	hosts    []gossiper.Host
	stores   []*interruptibleStore
	platform *provider.Store
	bytes    atomic.Int64
	calls    atomic.Int64

	mu       sync.Mutex
	handlers map[string]http.Handler
	// partitioned holds the failure domains that are partitioned from all others.
	partitioned map[string]bool
}

// interruptibleStore is the store as one host sees it; it can be made unavailable.
type interruptibleStore struct {
	storer.Store

	unavailable atomic.Bool
}

// List fails while the store is unavailable.
func (s *interruptibleStore) List(ctx context.Context, prefix string) (storer.Page, error) {
	if s.unavailable.Load() {
		return storer.Page{}, storer.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// Watch fails while the store is unavailable. If it becomes unavailable during
// the call, the changes received are discarded.
func (s *interruptibleStore) Watch(ctx context.Context, prefix string, after storer.Version) (storer.Page, error) {
	if s.unavailable.Load() {
		return storer.Page{}, storer.ErrUnavailable
	}
	page, err := s.Store.Watch(ctx, prefix, after)
	if s.unavailable.Load() {
		return storer.Page{}, storer.ErrUnavailable
	}
	return page, err
}

// memoryClient is the in-memory connect.HTTPClient of one host.
type memoryClient struct {
	cluster *cluster
	host    gossiper.Host
}

var errPartitioned = errors.New("partitioned or unknown host")

// Do passes a call to the handler of the host that it is addressed to.
func (m *memoryClient) Do(r *http.Request) (*http.Response, error) {
	m.cluster.mu.Lock()
	handler := m.cluster.handlers[r.URL.Host]
	_, domain, _ := strings.Cut(r.URL.Host, ".")
	isPartitioned := domain != m.host.Domain && (m.cluster.partitioned[domain] || m.cluster.partitioned[m.host.Domain])
	m.cluster.mu.Unlock()
	time.Sleep(hopDelay)
	if isPartitioned || handler == nil {
		return nil, errPartitioned
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	m.cluster.calls.Add(1)
	m.cluster.bytes.Add(r.ContentLength + int64(w.Body.Len()))
	time.Sleep(hopDelay)
	return w.Result(), nil
}

func newCluster(size, domains int) *cluster {
	c := &cluster{platform: provider.NewStore(), handlers: make(map[string]http.Handler), partitioned: make(map[string]bool)}
	var peers []Peer
	for i := range size {
		host := gossiper.Host{Name: fmt.Sprint("host", i), Domain: fmt.Sprint("domain", i%domains)}
		c.hosts = append(c.hosts, host)
		peers = append(peers, Peer{Host: host, Address: host.Name + "." + host.Domain})
	}
	for i, host := range c.hosts {
		store := &interruptibleStore{Store: c.platform}
		agent := New(Config{
			Self: host, Peers: slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Host == host }),
			Store: store, Keys: []string{"0123456789abcdef"}, Client: &memoryClient{cluster: c, host: host},
			Logger: logger.Discard(), Seed: uint64(i + 1),
		})
		c.stores = append(c.stores, store)
		c.agents = append(c.agents, agent)
		path, handler := agent.Handler()
		mux := http.NewServeMux()
		mux.Handle(path, handler)
		c.mu.Lock()
		c.handlers[peers[i].Address] = mux
		c.mu.Unlock()
	}
	return c
}

func (c *cluster) close() {
	for _, agent := range c.agents {
		agent.Close()
	}
}

// put writes the next version of the test object.
func (c *cluster) put(t *testing.T, value string) storer.Object {
	t.Helper()
	version := storer.Absent
	held, err := c.platform.Get(context.Background(), testKey)
	if err == nil {
		version = held.Version
	}
	object, err := c.platform.Put(context.Background(), testKey, []byte(value), version)
	if err != nil {
		t.Fatal(err)
	}
	return object
}

// countHolders counts the agents that hold at least the version, in one failure
// domain or, if domain is empty, in all.
func (c *cluster) countHolders(version storer.Version, domain string) int {
	n := 0
	for i, agent := range c.agents {
		object, ok := agent.Cache().Get(testKey)
		if ok && object.Version >= version && (domain == "" || c.hosts[i].Domain == domain) {
			n++
		}
	}
	return n
}

// waitForHolders returns the time until n agents held the version, and false if
// the limit passed first.
func (c *cluster) waitForHolders(version storer.Version, domain string, n int, limit time.Duration) (time.Duration, bool) {
	begun := time.Now()
	for time.Since(begun) < limit {
		if c.countHolders(version, domain) >= n {
			return time.Since(begun), true
		}
		time.Sleep(hopDelay)
	}
	return limit, false
}

// processorTime returns the processor time that this process has used.
func processorTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// TestSpread measures the time and the load per agent until a change reaches all
// agents, in fleets of growing size with 13 failure domains.
func TestSpread(t *testing.T) {
	const changes, domains = 20, 13
	for _, size := range []int{26, 50, 100, 200, 400} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(size, domains)
			defer c.close()
			time.Sleep(5 * time.Second)
			calls, sent, cpu := c.calls.Load(), c.bytes.Load(), processorTime(t)
			watches, begun := c.platform.Counters().Watches, time.Now()
			var delays []time.Duration
			for n := range changes {
				object := c.put(t, fmt.Sprint(strings.Repeat("x", 1500), n))
				took, ok := c.waitForHolders(object.Version, "", size, inForceLimit)
				is.True(ok) // the change reaches all agents within the limit
				delays = append(delays, took)
				time.Sleep(3*time.Second - took%time.Second)
			}
			seconds := time.Since(begun).Seconds()
			slices.Sort(delays)
			t.Logf("%d agents: last host median %v, max %v; per agent: %.2f calls/s, %.0f bytes/s, %.3f%% of a core; store: %.2f watches/s",
				size, delays[len(delays)/2], delays[len(delays)-1], float64(c.calls.Load()-calls)/seconds/float64(size),
				float64(c.bytes.Load()-sent)/seconds/float64(size),
				100*(processorTime(t)-cpu).Seconds()/seconds/float64(size), float64(c.platform.Counters().Watches-watches)/seconds)
			watching := 0
			for _, agent := range c.agents {
				if agent.Watching() {
					watching++
				}
			}
			is.Equal(watching, gossiper.DefaultWatchers*domains) // constant per failure domain, whatever the fleet size
		})
	}
}

// TestPartitionedDomain checks that a failure domain without access to the store
// still gets changes from other domains, and that a domain which is partitioned
// from these too keeps its objects and catches up afterwards.
func TestPartitionedDomain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(9, 3)
		defer c.close()
		first := c.put(t, "1")
		_, ok := c.waitForHolders(first.Version, "", 9, inForceLimit)
		is.True(ok)

		for i, host := range c.hosts {
			c.stores[i].unavailable.Store(host.Domain == "domain0")
		}
		second := c.put(t, "2")
		_, ok = c.waitForHolders(second.Version, "", 9, inForceLimit)
		is.True(ok) // gossiped by the other failure domains

		c.mu.Lock()
		c.partitioned["domain0"] = true
		c.mu.Unlock()
		third := c.put(t, "3")
		_, ok = c.waitForHolders(third.Version, "", 6, inForceLimit)
		is.True(ok)
		time.Sleep(inForceLimit)
		is.Equal(c.countHolders(third.Version, "domain0"), 0)
		is.Equal(c.countHolders(second.Version, "domain0"), 3) // it keeps its last version

		c.mu.Lock()
		c.partitioned["domain0"] = false
		c.mu.Unlock()
		_, ok = c.waitForHolders(third.Version, "", 9, inForceLimit)
		is.True(ok) // after the partition has healed
	})
}

// TestOldVersionsAreIgnored checks that an old version, also one that marks a
// deletion, does not replace a newer one, and that objects outside the gossiped
// prefixes are dropped.
func TestOldVersionsAreIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := newCluster(3, 1)
		defer c.close()
		old := c.put(t, "1")
		object := c.put(t, "2")
		_, ok := c.waitForHolders(object.Version, "", 3, inForceLimit)
		is.True(ok)
		// Late pushes between agents also count as stale, so wait until these have ended.
		synctest.Wait()
		stale := c.agents[0].Cache().StaleCount()
		c.agents[0].merge([]storer.Object{{Key: testKey, Version: old.Version, Deleted: true}})
		held, ok := c.agents[0].Cache().Get(testKey)
		is.True(ok)
		is.Equal(string(held.Value), "2")
		is.Equal(c.agents[0].Cache().StaleCount(), stale+1)
		c.agents[0].merge([]storer.Object{{Key: configurer.ClaimPrefix + "x", Version: 1}})
		time.Sleep(3 * time.Second)
		_, ok = c.agents[1].Cache().Get(configurer.ClaimPrefix + "x")
		is.True(!ok) // only configuration and servers are gossiped
	})
}
