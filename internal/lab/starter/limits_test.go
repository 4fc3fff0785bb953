package starter

import (
	"context"
	"flag"
	"fmt"
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
	limitSeeds = flag.Int("limitSeeds", 1, "number of seeds of the soak of server limits")
	limitFirst = flag.Uint64("limitFirst", 1, "first seed of the soak of server limits")
	limitHosts = flag.Int("limitHosts", 6, "number of hosts of the soak of server limits")
)

const (
	limitDuration = 12 * time.Second
	// limitWindow, limitFactor and limitSlack are the platform's rule: in any window a
	// server gets at most limitFactor times its limit, and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitContact is how long a host is left out after a restart or a freeze.
	limitContact = 4 * time.Second
	// limitLearning is the time for hosts to learn of a limit, and for the tokens of the
	// limit before to expire.
	limitLearning = 1200 * time.Millisecond
	// fastestCaller is the interval of the requests of the host with the most load.
	fastestCaller = 8 * time.Millisecond
)

// limitPeriod is a time in which a server announces one text as its limit.
type limitPeriod struct {
	server   string
	text     string
	from, to time.Time
}

// limitSoak is a site whose servers announce limits, while hosts come and go.
type limitSoak struct {
	*soak

	periods []limitPeriod
	// disturbed has the times at which each host was killed, frozen or restarted, and those
	// at which it was back.
	disturbed [][]time.Time
}

// TestLimitSoak announces, changes and ends limits of servers while it kills, freezes and restarts
// hosts and takes the store away. The hosts that were not disturbed must together keep to each
// limit, and a refused order must not run.
func TestLimitSoak(t *testing.T) {
	for seed := *limitFirst; seed < *limitFirst+uint64(*limitSeeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			s := newLimitSoak(t, seed)
			ctx, cancel := context.WithTimeout(context.Background(), limitDuration)
			defer cancel()
			var callers sync.WaitGroup
			for i := range s.hosts {
				callers.Go(func() { s.call(ctx, i) })
				callers.Go(func() { s.disturb(ctx, i, rand.New(rand.NewPCG(seed, uint64(i)))) })
			}
			s.changeLimits(ctx)
			callers.Wait()
			s.checkLimits()
			s.check()
		})
	}
}

func newLimitSoak(t *testing.T, seed uint64) *limitSoak {
	s := &limitSoak{soak: emptySoak(t, seed), disturbed: make([][]time.Time, *limitHosts)}
	for _, id := range []string{"c1", "c2", "c3"} {
		s.register(s.addServer(id, "c", "d1"))
	}
	s.store.Configure(1, soakHostname,
		map[string]any{"name": "o", "path_prefix": "/o/", "kind": "non_idempotent", "service": "c"},
		map[string]any{"name": "s", "path_prefix": "/s/", "kind": "idempotent", "service": "c"})
	for range *limitHosts {
		s.addHost(s.store.Address())
	}
	s.waitReady()
	return s
}

// call sends requests to one host; the load of host i is i+1 times as low as that of the first.
func (s *limitSoak) call(ctx context.Context, host int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(fastestCaller * time.Duration(host+1))
	defer ticker.Stop()
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		<-ticker.C
		path, method := "/s/", http.MethodGet
		if n%4 == 0 {
			path, method = "/o/", http.MethodPost
		}
		requests.Go(func() { s.request(client, host, method, path, fmt.Sprintf("%d-%d", host, n), "x") })
	}
}

// changeLimits changes limits and takes the store away by turns until the context ends.
func (s *limitSoak) changeLimits(ctx context.Context) {
	texts := []string{"", "0", "0.4", "2", "5", "12", "30", "60", "1e6", "-3", "many", "1e999"}
	ids := []string{"c1", "c2", "c3"}
	for _, id := range ids {
		s.setLimit(id, texts[s.random.IntN(len(texts))])
	}
	for ctx.Err() == nil {
		switch s.random.IntN(8) {
		case 0:
			s.store.SetFaults(standin.StoreFaults{Silent: true})
		case 1, 2:
			s.store.SetFaults(standin.StoreFaults{})
		default:
			s.setLimit(ids[s.random.IntN(len(ids))], texts[s.random.IntN(len(texts))])
		}
		time.Sleep(time.Duration(s.random.IntN(2500)) * time.Millisecond)
	}
	s.store.SetFaults(standin.StoreFaults{})
	for _, id := range ids {
		s.setLimit(id, "")
	}
}

// disturb kills, freezes and restarts a host at random times until the context ends.
func (s *limitSoak) disturb(ctx context.Context, host int, random *rand.Rand) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(random.IntN(20000)) * time.Millisecond):
		}
		disturbance := s.disturbHost(host, random)
		s.disturbed[host] = append(s.disturbed[host], disturbance.from, disturbance.to)
	}
}

func (s *limitSoak) setLimit(id, text string) {
	now := time.Now()
	for i := range s.periods {
		if s.periods[i].server == id && s.periods[i].to.IsZero() {
			s.periods[i].to = now
		}
	}
	s.periods = append(s.periods, limitPeriod{server: id, text: text, from: now})
	s.servers[id].Behave(standin.Behaviour{Limit: text})
}

// counts reports whether a host counts at a time: it was not disturbed for limitContact.
func (s *limitSoak) counts(host int, at time.Time) bool {
	return !slices.ContainsFunc(s.disturbed[host], func(disturbed time.Time) bool {
		return !at.Before(disturbed.Add(-limitLearning)) && at.Sub(disturbed) < limitContact
	})
}

// checkLimits checks each period with a readable limit.
func (s *limitSoak) checkLimits() {
	checked, most := 0, 0.0
	for _, p := range s.periods {
		rate, err := strconv.ParseFloat(p.text, 64)
		if err != nil || rate < 0 {
			continue
		}
		var counted []standin.Receipt
		for _, receipt := range s.servers[p.server].Received() {
			name, _, _ := strings.Cut(receipt.ID, "-")
			host, err := strconv.Atoi(name)
			if err != nil {
				s.fail("request %q", receipt.ID)
				continue
			}
			if receipt.At.After(p.from.Add(limitLearning)) && receipt.At.Before(p.to) && s.counts(host, receipt.At) {
				counted = append(counted, receipt)
			}
		}
		allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
		n := float64(standin.Most(counted, limitWindow))
		if n > allowed {
			s.fail("%s with limit %s for %v: %v requests in %v, allowed %v", p.server, p.text, p.to.Sub(p.from), n, limitWindow, allowed)
		}
		if len(counted) > 0 {
			checked++
			most = max(most, n/allowed)
		}
	}
	s.t.Logf("%d periods checked, at most %.2f of what is allowed", checked, most)
}
