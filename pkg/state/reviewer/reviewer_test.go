package reviewer

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

var hostLimits = HostLimits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, IdleTimeout: 5 * time.Minute}

// config returns a configuration without findings.
func config() matcher.Config {
	return matcher.Config{
		Version:  7,
		Services: []matcher.Service{{Name: "a"}, {Name: "b"}},
		Routes: []matcher.Route{
			{Name: "q", Host: "h", Prefix: "/q/", Timeout: time.Second, Objective: time.Second, Target: &matcher.Sharded{Services: []string{"a", "b"}, Rows: 5}},
			{Name: "o", Host: "h", Prefix: "/o/", Timeout: time.Second, Objective: time.Second, Target: &matcher.Single{Service: "a"}},
		},
		Organisations: []matcher.Organisation{{Name: "red", Keys: []string{"k1"}, Quota: matcher.Quota{Rate: 2, Burst: 2}}},
	}
}

func table(t *testing.T, cfg matcher.Config) *matcher.Table {
	t.Helper()
	table, err := matcher.New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return table
}

// TestReviewFinds changes the configuration in one place each, and names what must be found.
func TestReviewFinds(t *testing.T) {
	for want, change := range map[string]func(*matcher.Config){
		"":                          func(*matcher.Config) {},
		`comes later`:               func(c *matcher.Config) { c.Routes[1].Prefix = "/q/" },
		`no path of a request`:      func(c *matcher.Config) { c.Routes[1].Prefix = "/o?x/" },
		`has a port`:                func(c *matcher.Config) { c.Routes[1].Host = "h:80" },
		`without a host name`:       func(c *matcher.Config) { c.Routes[1].Host = "" },
		`callers need no keys`:      func(c *matcher.Config) { c.Organisations, c.Routes[1].Public = nil, true },
		`before their latency`:      func(c *matcher.Config) { c.Routes[1].Objective = 2 * time.Second },
		`ends each request at once`: func(c *matcher.Config) { c.Routes[1].Timeout, c.Routes[1].Objective = 0, 0 },
		`isn't among the services`:  func(c *matcher.Config) { c.Services = c.Services[:1] },
		`no route names it`:         func(c *matcher.Config) { c.Services = append(c.Services, matcher.Service{Name: "c"}) },
		`is there twice`:            func(c *matcher.Config) { c.Services = append(c.Services, matcher.Service{Name: "a"}) },
		`is two shards`: func(c *matcher.Config) {
			c.Routes[0].Target = &matcher.Sharded{Services: []string{"a", "b", "a"}, Rows: 5}
		},
		`have 0 rows`: func(c *matcher.Config) { c.Routes[0].Target = &matcher.Sharded{Services: []string{"a", "b"}} },
		`gets no requests`: func(c *matcher.Config) {
			c.Routes[1].Target = &matcher.Weighted{Services: []matcher.WeightedService{{Service: "a", Weight: 1}, {Service: "b"}}}
		},
		`has no key`:             func(c *matcher.Config) { c.Organisations[0].Keys = nil },
		`without a rate`:         func(c *matcher.Config) { c.Organisations[0].Quota.Rate = 0 },
		`admits no whole`:        func(c *matcher.Config) { c.Organisations[0].Quota.Burst = 0.5 },
		`hosts take 16384`:       func(c *matcher.Config) { c.Limits.HeaderBytes = 1 << 20 },
		`hosts take 8388608`:     func(c *matcher.Config) { c.Limits.BodyBytes = 1 << 30 },
		`hosts close them after`: func(c *matcher.Config) { c.Limits.IdleTimeout = time.Hour },
		`a header may take`:      func(c *matcher.Config) { c.Limits.HeaderTimeout, c.Limits.IdleTimeout = 9*time.Second, time.Second },
	} {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			cfg := config()
			change(&cfg)
			findings := Review(table(t, cfg), hostLimits)
			if want == "" {
				is.Equal(len(findings), 0)
				return
			}
			is.Equal(len(findings), 1)
			is.True(strings.Contains(findings[0].String(), want))
		})
	}
}

func TestCompareShowsDifferencesWithoutKeys(t *testing.T) {
	is := is.New(t)
	next := config()
	next.Version = 6
	next.Routes[0].Timeout = 2 * time.Second
	next.Routes = append(next.Routes[:1], matcher.Route{Name: "new", Host: "h", Prefix: "/n/", Timeout: time.Second, Target: &matcher.Single{Service: "b"}})
	next.Organisations = []matcher.Organisation{{Name: "red", Keys: []string{"k2"}, Quota: matcher.Quota{Rate: 1, Burst: 2}}}
	next.Limits.BodyBytes = 10
	var lines []string
	for _, change := range Compare(table(t, config()), table(t, next)) {
		lines = append(lines, change.String())
	}
	is.Equal(lines, []string{
		"version: 6 isn't above 7, which is in force, so that hosts leave it out",
		"limits: bodyBytes: 0 -> 10",
		`organisation "red": rate: 2 -> 1`,
		`organisation "red": keys: 1 added, 1 removed`,
		"route h/n/: added",
		"route h/o/: removed",
		"route h/q/: timeout: 1s -> 2s",
	})
	is.Equal(len(Compare(table(t, config()), table(t, config()))), 1) // the version alone
}
