package starter

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/provider"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/standin"
)

var (
	soakSeeds = flag.Int("soakSeeds", 2, "number of seeds of the fault soak")
	soakFirst = flag.Uint64("soakFirst", 1, "first seed of the fault soak")
)

const (
	soakHosts    = 3 // number of hosts
	soakDuration = 6 * time.Second
	soakCallers  = 6 // number of concurrent callers
	soakHostname = "shop.example"
)

// soakShardServices are the services that a query is scattered to. The last three have
// servers only in domain d2, so that hosts of d1 have this slice gathered by the host of d2.
var soakShardServices = []string{"a", "b", "d", "e", "f"}

// soak is a site of host processes with a stand-in store, stand-in servers and
// callers, and with faults injected from outside the hosts.
type soak struct {
	t       *testing.T
	random  *rand.Rand
	store   *standin.Store
	servers map[string]*standin.Server
	// links holds the link to each server, shared by all hosts, and after these the link of
	// each host to the store.
	links []*proxy
	// addresses holds the address of the link to each server, by server ID.
	addresses map[string]string
	// stores holds the address at which each host reaches the store.
	stores        []string
	settingsFiles []string
	// ips holds the IP address at which each host reaches the servers, empty for theirs.
	ips []string
	// domains is the number of failure domains of the hosts.
	domains int
	// memory is the memory of each host in MB, 0 if unknown.
	memory int
	// maxDescriptors is the limit on the open descriptors of each host, 0 for that of the test.
	maxDescriptors int
	// basePorts holds the port for callers of each host; the next three ports are for
	// readiness, control and metrics.
	basePorts []int
	hosts     []*Process

	mu sync.Mutex
	// orderStatuses holds the HTTP status that the caller of each order got.
	orderStatuses map[string]int
	// served counts the requests answered with status 200.
	served int
	// failures describes what the test found wrong.
	failures []string
}

// TestFaultSoak sends requests to hosts while it suspends, kills, restarts and
// reconfigures hosts and injects faults into the store, the servers and the links
// between them, one after another and overlapping. No caller may get a wrong answer,
// and no order may run twice, or run although its caller got status 503 or 429.
func TestFaultSoak(t *testing.T) {
	for seed := *soakFirst; seed < *soakFirst+uint64(*soakSeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			s := newSoak(t, seed)
			ctx, cancel := context.WithTimeout(context.Background(), soakDuration)
			defer cancel()
			var callers sync.WaitGroup
			for i := range soakCallers {
				callers.Go(func() { s.runCaller(ctx, i) })
			}
			s.injectFaults(ctx)
			callers.Wait()
			s.check()
		})
	}
}

// emptySoak returns a soak with a store, without servers and hosts.
func emptySoak(t *testing.T, seed uint64) *soak {
	s := &soak{
		t: t, random: rand.New(rand.NewPCG(seed, seed)), store: standin.NewStore(),
		servers: make(map[string]*standin.Server), orderStatuses: make(map[string]int),
		addresses: make(map[string]string), domains: 2,
	}
	t.Cleanup(s.store.Close)
	return s
}

// addServer starts a server without rows.
func (s *soak) addServer(id, service, domain string) *standin.Server {
	server, err := standin.NewServer(id, service, domain)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(server.Close)
	s.servers[id], s.addresses[id] = server, server.Address()
	return server
}

// hostName returns the name of host i.
func hostName(i int) string { return fmt.Sprint("h", i) }

// addHost starts a host that reaches the store at an address.
func (s *soak) addHost(store string) { s.addLinkedHost(store, "") }

// addLinkedHost starts a host that reaches the servers at an IP address of its own.
func (s *soak) addLinkedHost(store, ip string) {
	i := len(s.hosts)
	s.ips = append(s.ips, ip)
	s.stores = append(s.stores, store)
	s.basePorts = append(s.basePorts, freeBlock(s.t))
	s.settingsFiles = append(s.settingsFiles, filepath.Join(s.t.TempDir(), fmt.Sprint("host", i, ".jsonc")))
	s.writeSettings(i, 50)
	s.hosts = append(s.hosts, s.start(i))
}

func (s *soak) waitReady() {
	for i := range s.hosts {
		Eventually(s.t, "the host is ready", func() bool { return s.ready(i) })
	}
}

func newSoak(t *testing.T, seed uint64) *soak {
	s := emptySoak(t, seed)
	for i, service := range []string{"a", "a", "b", "b", "c", "c", "c", "d", "e", "f"} {
		id := fmt.Sprint(service, i)
		domain := "d1"
		if service > "c" {
			domain = "d2"
		}
		server := s.addServer(id, service, domain)
		if service != "c" {
			server.Rows = []uint64{uint64(i + 1), uint64(i + 10)}
		}
		link := newProxy(t, server.Address())
		s.links = append(s.links, link)
		s.addresses[id] = link.address()
		s.register(server)
	}
	s.configure(1)
	for range soakHosts {
		link := newProxy(t, s.store.Address())
		s.links = append(s.links, link)
		s.addHost(link.address())
	}
	s.waitReady()
	return s
}

// register writes the registration of a server to the store.
func (s *soak) register(server *standin.Server) {
	registration := server.Registration("ready")
	registration["address"] = s.addresses[server.ID]
	s.store.Put("servers", server.ID, registration)
}

// rewind restores the store to its state of 0.1 to 3.1 s ago, in the next era, and then
// writes the configuration and the registrations again, since those may be lost, and takes back
// evacuations, which may have come back.
func (s *soak) rewind(version int) {
	s.store.SetFaults(standin.StoreFaults{RewindMillis: 100 + s.random.Int64N(3000)})
	time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	s.configure(version)
	for _, server := range s.servers {
		s.store.Remove("evacuations", server.Domain)
		s.register(server)
	}
}

// evacuate evacuates a failure domain for a while.
func (s *soak) evacuate(domain string) {
	s.store.Put("evacuations", domain, map[string]any{})
	time.Sleep(time.Duration(s.random.IntN(600)) * time.Millisecond)
	s.store.Remove("evacuations", domain)
}

// replaceServer lets a server drain, announced in its answers, and restarts it as
// another incarnation at the same address.
func (s *soak) replaceServer(server *standin.Server) {
	server.Behave(standin.Behaviour{Draining: true, Reject: s.random.IntN(2) == 0})
	time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
	server.Restart()
	server.Behave(standin.Behaviour{})
	s.register(server)
}

func (s *soak) configure(version int) {
	s.store.Configure(version, soakHostname,
		map[string]any{"name": "q", "path_prefix": "/q/", "kind": "idempotent", "gather": soakShardServices, "top_k": 3, "min_coverage": 0.5},
		map[string]any{"name": "o", "path_prefix": "/o/", "kind": "non_idempotent", "service": "c"},
		map[string]any{"name": "s", "path_prefix": "/s/", "kind": "idempotent", "service": "c"})
}

func (s *soak) writeSettings(i, burst int) {
	err := standin.HostSettings{
		Name: hostName(i), Domain: fmt.Sprint("d", 1+i%s.domains), Port: s.basePorts[i], Seed: s.basePorts[0] + 2,
		Store: s.stores[i], Burst: burst, Link: s.ips[i], Evacuate: "5s", Memory: s.memory,
	}.Write(s.settingsFiles[i])
	if err != nil {
		s.t.Error(err)
	}
}

func (s *soak) start(i int) *Process {
	if s.maxDescriptors > 0 {
		return StartLimited(s.t, s.maxDescriptors, hostName(i), "rhubarbpost", "host", "--settings", s.settingsFiles[i])
	}
	return Start(s.t, hostName(i), "rhubarbpost", "host", "--settings", s.settingsFiles[i])
}

func (s *soak) ready(i int) bool {
	return Status(fmt.Sprint("127.0.0.1:", s.basePorts[i]+1), "/-/ready") == http.StatusOK
}

// injectFaults injects random faults until the context ends, then clears the faults of
// the store, the links and the servers.
func (s *soak) injectFaults(ctx context.Context) {
	version := 1
	for ctx.Err() == nil {
		i := s.random.IntN(soakHosts)
		ids := slices.Sorted(func(yield func(string) bool) {
			for id := range s.servers {
				if !yield(id) {
					return
				}
			}
		})
		server := s.servers[ids[s.random.IntN(len(ids))]]
		switch s.random.IntN(14) {
		case 0:
			s.hosts[i].Signal(s.t, syscall.SIGKILL)
			s.hosts[i].Wait(s.t)
			s.hosts[i] = s.start(i)
		case 1:
			s.hosts[i].Signal(s.t, syscall.SIGSTOP)
			time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
			s.hosts[i].Signal(s.t, syscall.SIGCONT)
		case 2:
			s.restart(i)
		case 3:
			s.writeSettings(i, 20+s.random.IntN(50))
			s.hosts[i].Signal(s.t, syscall.SIGHUP)
		case 4:
			s.store.SetFaults([]standin.StoreFaults{
				{Status: 503}, {Silent: true}, {Status: 429}, {Faults: provider.Faults{History: 1 << 40}},
				{Faults: provider.Faults{DelayMillis: 400}}, {Faults: provider.Faults{LoseAnswers: 3}}, {Faults: provider.Faults{StaleReads: true}},
			}[s.random.IntN(7)])
		case 5:
			s.store.SetFaults(standin.StoreFaults{})
		case 6:
			version++
			s.configure(version)
		case 9:
			s.rewind(version)
		case 10:
			s.replaceServer(server)
		case 13:
			s.evacuate(server.Domain)
		case 7, 8:
			s.links[s.random.IntN(len(s.links))].set([]linkState{
				{}, {delay: 50 * time.Millisecond}, {dropToTarget: true}, {dropFromTarget: true}, {reset: true},
			}[s.random.IntN(5)])
		default:
			server.Behave([]standin.Behaviour{
				{}, {Extra: true}, {Extra: true, ExtraDelay: 2 * time.Millisecond}, {Reset: true}, {Truncate: true},
				{Status: 500}, {Reject: true}, {Delay: 100 * time.Millisecond}, {CloseIdle: true},
				{Reject: true, RetryAfter: "0.4"}, {Endless: true},
			}[s.random.IntN(11)])
		}
		time.Sleep(time.Duration(s.random.IntN(200)) * time.Millisecond)
	}
	s.store.SetFaults(standin.StoreFaults{})
	for _, link := range s.links {
		link.set(linkState{})
	}
	for _, server := range s.servers {
		server.Behave(standin.Behaviour{})
	}
}

// span is a time from which on, and until which, something holds.
type span struct{ from, to time.Time }

func (s span) contains(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// disturbHost kills, freezes or restarts a host, and returns the time of that.
func (s *soak) disturbHost(host int, random *rand.Rand) span {
	from := time.Now()
	switch random.IntN(3) {
	case 0:
		s.hosts[host].Signal(s.t, syscall.SIGKILL)
		s.hosts[host].Wait(s.t)
		s.hosts[host] = s.start(host)
	case 1:
		s.hosts[host].Signal(s.t, syscall.SIGSTOP)
		time.Sleep(time.Duration(random.IntN(700)) * time.Millisecond)
		s.hosts[host].Signal(s.t, syscall.SIGCONT)
	case 2:
		s.restart(host)
	}
	return span{from, time.Now()}
}

// restart stops a host with SIGTERM and starts it again.
func (s *soak) restart(i int) {
	code := s.hosts[i].Stop(s.t)
	if code != int(exiter.OK) {
		s.fail("planned stop of h%d ended with %d", i, code)
	}
	s.hosts[i] = s.start(i)
}

func (s *soak) fail(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, args...))
}

// runCaller sends requests over persistent connections until the context ends.
func (s *soak) runCaller(ctx context.Context, caller int) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("r%d-%d", caller, n)
		path := []string{"/q/", "/o/", "/s/"}[n%3]
		method, body := http.MethodGet, ""
		if path == "/o/" {
			method, body = http.MethodPost, "order "+id
		}
		if !s.request(client, (caller+n)%soakHosts, method, path, id, body) {
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// request sends a request to a host, checks the answer and reports whether there was one.
func (s *soak) request(client *http.Client, host int, method, path, id, body string) bool {
	return s.requestStatus(client, host, method, path, id, body) != 0
}

// requestStatus sends a request to a host, checks the answer and returns its status, 0 without one.
func (s *soak) requestStatus(client *http.Client, host int, method, path, id, body string) int {
	address := fmt.Sprintf("http://127.0.0.1:%d%s%s", s.basePorts[host], path, id)
	// The body has no GetBody, so that the client can't retry an order by itself.
	r, err := http.NewRequestWithContext(context.Background(), method, address, io.NopCloser(strings.NewReader(body)))
	if err != nil {
		s.fail("%v", err)
		return 0
	}
	r.ContentLength = int64(len(body))
	r.Host = soakHostname
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "1000")
	response, err := client.Do(r)
	if err != nil {
		return 0
	}
	answer, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err == nil {
		s.checkAnswer(id, path, response, answer)
	}
	return response.StatusCode
}

// checkAnswer records the status of an order. It checks that an answer with status 200
// has a valid stamp and the body of the server that the stamp names.
func (s *soak) checkAnswer(id, path string, response *http.Response, body []byte) {
	s.mu.Lock()
	if path == "/o/" {
		s.orderStatuses[id] = response.StatusCode
	}
	if response.StatusCode == http.StatusOK {
		s.served++
	}
	s.mu.Unlock()
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get("Retry-After") == "" {
		s.fail("%s: refused without Retry-After: %s", id, body)
	}
	if response.StatusCode != http.StatusOK {
		return
	}
	if path != "/q/" {
		stamp := response.Header.Get("X-Server-Stamp")
		name, _, _ := strings.Cut(stamp, ".")
		server := s.servers[name]
		if server == nil || stamp != server.Stamp(id) || string(body) != "answer of "+name {
			s.fail("%s: stamp %q body %q", id, stamp, body)
		}
		return
	}
	s.checkQuery(id, response, body)
}

// checkQuery checks that the answer to a query consists of the top rows of the servers
// named in its stamps, and that its header states the number of missing shards.
func (s *soak) checkQuery(id string, response *http.Response, body []byte) {
	var rows []uint64
	services := make(map[string]bool)
	for stamp := range strings.SplitSeq(response.Header.Get("X-Part-Stamps"), ", ") {
		name, _, _ := strings.Cut(stamp, ".")
		server := s.servers[name]
		if server == nil || stamp != server.Stamp(id) || services[server.Service] {
			s.fail("%s: stamp %q", id, stamp)
			return
		}
		services[server.Service] = true
		rows = append(rows, server.Rows...)
	}
	slices.Sort(rows)
	slices.Reverse(rows)
	var want []byte
	for _, row := range rows[:min(3, len(rows))] {
		want = append(want, standin.Record(row)...)
	}
	missing := strconv.Itoa(len(soakShardServices) - len(services))
	if !bytes.Equal(body, want) || response.Header.Get("X-Missing-Parts") != missing {
		s.fail("%s: %d rows of %v, missing %s", id, len(body)/16, services, response.Header.Get("X-Missing-Parts"))
	}
}

// check compares the orders that the servers ran with the statuses that callers got,
// and waits until each host is ready again.
func (s *soak) check() {
	is := is.New(s.t)
	ran := make(map[string]int)
	for _, server := range s.servers {
		for _, arrival := range server.Arrivals() {
			if arrival.Method == http.MethodPost {
				ran[arrival.ID]++
			}
		}
	}
	for id, n := range ran {
		if n > 1 {
			s.fail("order %s ran %d times", id, n)
		}
		status := s.orderStatuses[id]
		if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
			s.fail("order %s ran but was answered %d", id, status)
		}
	}
	is.Equal(s.failures, nil)
	is.True(s.served > 0)
	for i := range s.hosts {
		Eventually(s.t, "the host is ready again", func() bool { return s.ready(i) })
	}
	s.t.Logf("served %d, orders %d", s.served, len(s.orderStatuses))
}
