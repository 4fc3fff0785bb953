package starter

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/standin"
)

var (
	deadlySeeds = flag.Int("deadlySeeds", 2, "number of seeds of the soak of requests that crash servers")
	deadlyFirst = flag.Uint64("deadlyFirst", 1, "first seed of the soak of requests that crash servers")
	deadlyHosts = flag.Int("deadlyHosts", 6, "number of hosts of the soak of requests that crash servers")
)

const (
	deadlyDuration = 14 * time.Second
	deadlyPath     = "deadly"
	// deadlyTargets is the number of different requests that crash servers.
	deadlyTargets = 5
	// deadlyEnds, deadlyContact and deadlyLate are the platform's rule: at most deadlyLate runs of
	// a request may begin later than deadlyContact after it has ended deadlyEnds servers, sent by
	// hosts that were not disturbed for as long.
	deadlyEnds    = 3
	deadlyContact = 4 * time.Second
	deadlyLate    = 3
)

// deadlySoak is a site that gets requests which crash its servers, beside proper ones.
type deadlySoak struct {
	*recoverSoak
}

// TestDeadlySoak sends requests that crash each server which runs them, in turn and together, while
// it crashes servers for no reason, cuts answers, cuts hosts off, kills, freezes and restarts them,
// changes the configuration and takes the store away. A request that has ended three servers must
// not run again and again, and no proper request may be blocked.
func TestDeadlySoak(t *testing.T) {
	for seed := *deadlyFirst; seed < *deadlyFirst+uint64(*deadlySeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			s := &deadlySoak{recoverSoak: newLinkedSoak(t, seed, *deadlyHosts)}
			for _, server := range s.servers {
				server.OnRestart(s.register)
				s.behave(server, standin.Behaviour{})
			}
			ctx, cancel := context.WithTimeout(context.Background(), deadlyDuration)
			defer cancel()
			var group sync.WaitGroup
			for i := range s.hosts {
				group.Go(func() { s.call(ctx, i) })
				group.Go(func() { s.callDeadly(ctx, i, rand.New(rand.NewPCG(seed, 1<<10+uint64(i)))) })
				group.Go(func() { s.disturb(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
			}
			group.Go(func() { s.troubleDeadly(ctx, rand.New(rand.NewPCG(seed, 1<<20))) })
			if s.random.IntN(2) == 0 {
				s.cutPaths(ctx)
			}
			group.Wait()
			s.checkDeadly()
			s.check()
		})
	}
}

// behave gives a server a behaviour under which deadly requests crash it.
func (s *deadlySoak) behave(server *standin.Server, b standin.Behaviour) {
	b.Deadly, b.DownTime = deadlyPath, 600*time.Millisecond
	b.Delay = max(b.Delay, 5*time.Millisecond)
	server.Behave(b)
}

// callDeadly sends deadly requests to a host, from a random time on.
func (s *deadlySoak) callDeadly(ctx context.Context, host int, random *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		sleepUntilDone(ctx, time.Duration(random.IntN(200))*time.Millisecond)
		target := random.IntN(deadlyTargets)
		path, method := []string{"/q/", "/s/", "/o/"}[target%3], http.MethodGet
		if path == "/o/" {
			method = http.MethodPost
		}
		s.sendDeadly(client, host, method, fmt.Sprint(path, deadlyPath, target), fmt.Sprintf("%d-%s%d", host, deadlyPath, n))
	}
}

// sendDeadly sends one deadly request and checks that its refusal promises the truth.
func (s *deadlySoak) sendDeadly(client *http.Client, host int, method, target, id string) {
	r, err := http.NewRequestWithContext(context.Background(), method, fmt.Sprintf("http://127.0.0.1:%d%s", s.basePorts[host], target), http.NoBody)
	if err != nil {
		s.fail("%v", err)
		return
	}
	r.Host = soakHostname
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "1000")
	response, err := client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	s.soak.mu.Lock()
	defer s.soak.mu.Unlock()
	s.orderStatuses[id] = response.StatusCode
}

// troubleDeadly crashes servers, cuts their answers, slows them down, changes the configuration and
// takes the store away until the context ends.
func (s *deadlySoak) troubleDeadly(ctx context.Context, random *rand.Rand) {
	version := 1
	for ctx.Err() == nil {
		server := s.anyServer(random)
		switch random.IntN(9) {
		case 0:
			s.store.SetFaults(standin.StoreFaults{Silent: true})
		case 1, 2:
			s.store.SetFaults(standin.StoreFaults{})
		case 3:
			version++
			s.configure(version)
		case 4:
			server.Crash()
		case 5:
			s.behave(server, standin.Behaviour{Reset: true})
		case 6:
			s.behave(server, standin.Behaviour{Truncate: true})
		default:
			s.behave(server, standin.Behaviour{Delay: time.Duration(random.IntN(60)) * time.Millisecond})
		}
		sleepUntilDone(ctx, time.Duration(random.IntN(700))*time.Millisecond)
		s.behave(server, standin.Behaviour{})
	}
	s.store.SetFaults(standin.StoreFaults{})
}

// checkDeadly checks how often each deadly request has run, and that no proper one was blocked.
func (s *deadlySoak) checkDeadly() {
	runs := make(map[string][]standin.Arrival)
	crashes := 0
	for _, server := range s.servers {
		crashes += server.Crashes()
		for _, arrival := range server.Arrivals() {
			if strings.Contains(arrival.Path, deadlyPath) {
				runs[arrival.Path] = append(runs[arrival.Path], arrival)
			}
		}
	}
	for path, arrivals := range runs {
		slices.SortFunc(arrivals, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
		late := 0
		for _, arrival := range arrivals[min(deadlyEnds, len(arrivals)):] {
			if arrival.At.Sub(arrivals[deadlyEnds-1].At) > deadlyContact && s.inTouch(arrival) {
				late++
			}
		}
		s.t.Logf("%s: %d runs, %d of them late", path, len(arrivals), late)
		if late > deadlyLate {
			s.fail("%s ran %d times later than %v after it had ended %d servers", path, late, deadlyContact, deadlyEnds)
		}
	}
	blocked := 0
	for _, host := range s.hosts {
		for line := range strings.Lines(host.Logs()) {
			if strings.Contains(line, `"msg":"requestBlocked"`) && !strings.Contains(line, deadlyPath) {
				blocked++
				s.t.Log(strings.TrimSpace(line))
			}
		}
	}
	s.t.Logf("%d servers ended, %d of %d attempts served, %d proper requests blocked", crashes, s.served, len(s.attempts), blocked)
	if blocked > 0 {
		s.fail("%d proper requests were blocked", blocked)
	}
}

// inTouch reports whether the host that took a request was not disturbed or cut off for
// deadlyContact before it.
func (s *deadlySoak) inTouch(arrival standin.Arrival) bool {
	name, _, _ := strings.Cut(arrival.ID, "-")
	host, err := strconv.Atoi(name)
	if err != nil {
		s.fail("request %q", arrival.ID)
		return false
	}
	return !slices.ContainsFunc(slices.Concat(s.disturbed[host], s.cuts[host]), func(d span) bool {
		return span{d.from, d.to.Add(deadlyContact)}.contains(arrival.At)
	})
}
