package starter

import (
	"context"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/standin"
)

var (
	recoverSeeds = flag.Int("recoverSeeds", 2, "number of seeds of the soak of cut paths")
	recoverFirst = flag.Uint64("recoverFirst", 1, "first seed of the soak of cut paths")
	recoverHosts = flag.Int("recoverHosts", 6, "number of hosts of the soak of cut paths")
)

const (
	recoverDuration = 12 * time.Second
	recoverDomains  = 3
	// recoverNotice is how long after the begin of a cut a host isn't counted.
	recoverNotice = time.Second
	// recoverCalm is how long before and after a disturbance of a host it isn't counted.
	recoverCalm = 2 * time.Second
	// recoverShare, recoverSlack and recoverFraction are the platform's rule: requests at hosts
	// that are cut off must be served recoverShare times as often as those at the others, unless
	// at most recoverSlack and a recoverFraction of all fail there.
	recoverShare    = 2.0 / 3
	recoverSlack    = 10
	recoverFraction = 0.02
)

// attempt is a request of a caller.
type attempt struct {
	host   int
	at     time.Time
	served bool
}

// recoverSoak is a site whose hosts lose their paths to the servers, while hosts come and go.
type recoverSoak struct {
	*soak

	mu sync.Mutex
	// cuts and disturbed have the times at which each host was cut off or disturbed otherwise.
	cuts      [][]span
	disturbed [][]span
	attempts  []attempt
}

// TestRecoverSoak cuts hosts off from all servers, one after another, whole failure domains and in
// short series, while it kills, freezes and restarts hosts, slows servers down, changes the
// configuration and takes the store away. Callers of hosts that are cut off must be served about
// as often as the others, no order may run twice or after it was refused.
func TestRecoverSoak(t *testing.T) {
	for seed := *recoverFirst; seed < *recoverFirst+uint64(*recoverSeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			s := newLinkedSoak(t, seed, *recoverHosts)
			ctx, cancel := context.WithTimeout(context.Background(), recoverDuration)
			defer cancel()
			var group sync.WaitGroup
			for i := range s.hosts {
				group.Go(func() { s.call(ctx, i) })
				group.Go(func() { s.disturb(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
			}
			group.Go(func() { s.troubleServers(ctx, rand.New(rand.NewPCG(seed, 1<<20))) })
			s.cutPaths(ctx)
			group.Wait()
			s.checkServed()
			s.check()
		})
	}
}

// newLinkedSoak starts a site whose hosts have paths of their own to the servers.
func newLinkedSoak(t *testing.T, seed uint64, hosts int) *recoverSoak {
	s := &recoverSoak{soak: emptySoak(t, seed), cuts: make([][]span, hosts), disturbed: make([][]span, hosts)}
	s.domains = recoverDomains
	for i, service := range []string{"a", "a", "b", "b", "c", "c", "c", "d", "d", "e", "e", "f", "f"} {
		server := s.addServer(fmt.Sprint(service, i), service, fmt.Sprint("d", 1+i%recoverDomains))
		if service != "c" {
			// All replicas of a shard have the same rows.
			server.Rows = []uint64{uint64(service[0]), uint64(service[0]) + 10}
		}
		for host := range hosts {
			err := server.LinkTo(hostName(host), standin.LinkIP(host))
			if err != nil {
				t.Fatal(err)
			}
		}
		s.register(server)
	}
	s.configure(1)
	for host := range hosts {
		s.addLinkedHost(s.store.Address(), standin.LinkIP(host))
	}
	s.waitReady()
	known := fmt.Sprintf("rhubarbpost_hosts_known %d\n", hosts)
	for host := range s.hosts {
		Eventually(t, "the host knows all others", func() bool {
			_, metrics := Get(fmt.Sprint("127.0.0.1:", s.basePorts[host]+3), "/metrics")
			return strings.Contains(string(metrics), known)
		})
	}
	return s
}

// call sends requests of each kind to a host on connections that stay open, and records them.
func (s *recoverSoak) call(ctx context.Context, host int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(25 * time.Millisecond)
	defer ticker.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		id := fmt.Sprintf("%d-%d", host, n)
		path := []string{"/q/", "/o/", "/s/"}[n%3]
		method, body := http.MethodGet, ""
		if path == "/o/" {
			method, body = http.MethodPost, "order "+id
		}
		requests.Go(func() {
			at := time.Now()
			served := s.requestStatus(client, host, method, path, id, body) == http.StatusOK
			s.mu.Lock()
			defer s.mu.Unlock()
			s.attempts = append(s.attempts, attempt{host: host, at: at, served: served})
		})
	}
}

// cutPaths cuts hosts off and restores their paths until the context ends.
func (s *recoverSoak) cutPaths(ctx context.Context) {
	var group sync.WaitGroup
	defer group.Wait()
	for ctx.Err() == nil {
		cut := []standin.Cut{standin.CutSilent, standin.CutReset, standin.CutRefuse}[s.random.IntN(3)]
		length := time.Duration(100+s.random.IntN(700)) * time.Millisecond
		if s.random.IntN(2) == 0 {
			length = time.Duration(1500+s.random.IntN(2500)) * time.Millisecond
		}
		domain := s.random.IntN(2 * recoverDomains) // or single hosts
		for host := range s.hosts {
			if host%recoverDomains == domain || (domain >= recoverDomains && s.random.IntN(2) == 0) {
				group.Go(func() { s.cutHost(ctx, host, cut, length) })
			}
		}
		sleepUntilDone(ctx, length+time.Duration(s.random.IntN(600))*time.Millisecond)
	}
}

// cutHost cuts a host off for a time.
func (s *recoverSoak) cutHost(ctx context.Context, host int, cut standin.Cut, length time.Duration) {
	s.setCut(host, cut)
	from := time.Now()
	sleepUntilDone(ctx, length)
	s.mu.Lock()
	s.cuts[host] = append(s.cuts[host], span{from, time.Now()})
	s.mu.Unlock()
	s.setCut(host, standin.CutNone)
}

func (s *recoverSoak) setCut(host int, cut standin.Cut) {
	for _, server := range s.servers {
		err := server.SetCut(hostName(host), cut)
		if err != nil {
			s.fail("%v", err)
		}
	}
}

func sleepUntilDone(ctx context.Context, length time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(length):
	}
}

// disturb kills, freezes and restarts a host at random times until the context ends.
func (s *recoverSoak) disturb(ctx context.Context, host int, random *rand.Rand) {
	for {
		sleepUntilDone(ctx, time.Duration(random.IntN(24000))*time.Millisecond)
		if ctx.Err() != nil {
			return
		}
		disturbance := s.disturbHost(host, random)
		s.mu.Lock()
		s.disturbed[host] = append(s.disturbed[host], span{disturbance.from.Add(-recoverCalm), disturbance.to.Add(recoverCalm)})
		s.mu.Unlock()
	}
}

// troubleServers slows servers down, has them reject requests and announce limits, changes the
// configuration and takes the store away until the context ends.
func (s *recoverSoak) troubleServers(ctx context.Context, random *rand.Rand) {
	version := 1
	for ctx.Err() == nil {
		server := s.anyServer(random)
		switch random.IntN(8) {
		case 0:
			s.store.SetFaults(standin.StoreFaults{Silent: true})
		case 1, 2:
			s.store.SetFaults(standin.StoreFaults{})
		case 3:
			version++
			s.configure(version)
		case 4:
			server.Behave(standin.Behaviour{Limit: "200"})
		case 5:
			server.Behave(standin.Behaviour{Reject: true})
		default:
			server.Behave(standin.Behaviour{Delay: time.Duration(random.IntN(40)) * time.Millisecond})
		}
		sleepUntilDone(ctx, time.Duration(random.IntN(800))*time.Millisecond)
		server.Behave(standin.Behaviour{})
	}
	s.store.SetFaults(standin.StoreFaults{})
}

// anyServer returns a random server.
func (s *recoverSoak) anyServer(random *rand.Rand) *standin.Server {
	ids := slices.Sorted(maps.Keys(s.servers))
	return s.servers[ids[random.IntN(len(ids))]]
}

// state reports whether a request counts, and whether its host was cut off.
func (s *recoverSoak) state(a attempt) (counts, cutOff bool) {
	for _, disturbance := range s.disturbed[a.host] {
		if disturbance.contains(a.at) {
			return false, false
		}
	}
	for _, cut := range s.cuts[a.host] {
		switch {
		case span{cut.from.Add(recoverNotice), cut.to}.contains(a.at):
			return true, true
		case span{cut.from, cut.to.Add(recoverNotice)}.contains(a.at):
			return false, false
		}
	}
	return true, false
}

// mostCutOff reports whether more than three quarters of the hosts were cut off or disturbed, so
// that peers have no room.
func (s *recoverSoak) mostCutOff(at time.Time) bool {
	fit := 0
	for host := range s.hosts {
		counts, cutOff := s.state(attempt{host: host, at: at})
		if counts && !cutOff {
			fit++
		}
	}
	return 4*fit < len(s.hosts)
}

// checkServed checks how often requests at hosts that are cut off were served.
func (s *recoverSoak) checkServed() {
	var asked, served [2]int
	for _, a := range s.attempts {
		counts, cutOff := s.state(a)
		if !counts || s.mostCutOff(a.at) {
			continue
		}
		i := 0
		if cutOff {
			i = 1
		}
		asked[i]++
		if a.served {
			served[i]++
		}
	}
	s.t.Logf("served %d of %d at hosts that were cut off, %d of %d at the others", served[1], asked[1], served[0], asked[0])
	if asked[0] == 0 || asked[1] == 0 {
		return
	}
	share := float64(served[1]) / float64(asked[1]) / (float64(served[0]) / float64(asked[0]))
	failed := float64(asked[1] - served[1])
	if share < recoverShare && failed > recoverSlack+recoverFraction*float64(asked[0]+asked[1]) {
		s.fail("hosts that were cut off served %.2f times as often as the others", share)
	}
}
