package matcher

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// Target is the destination of the requests of a route: *Single, *Weighted or *Sharded, or
// *Unusable for a route that can't be used.
type Target interface{ target() }

// Single sends each request to one backend server of a service.
type Single struct {
	Service string
}

// WeightedService is one service of a Weighted target, with its weight.
type WeightedService struct {
	Service string
	Weight  float64
}

// Weighted splits requests among services in proportion to their weights.
type Weighted struct {
	Services []WeightedService
}

// Sharded sends each request to one backend server of every shard.
type Sharded struct {
	// Services holds the name of the service of each shard, by shard number.
	Services []string
	// MinCoverage is the minimum fraction of the shards that an answer must cover, 0 to 1.
	MinCoverage float64
	// Rows is the maximum number of rows in the merged answer.
	Rows int
}

// Unusable is the target of an invalid route. Its requests must not go by the route of a shorter
// prefix instead.
type Unusable struct{}

func (*Unusable) target() {}
func (*Single) target()   {}
func (*Weighted) target() {}
func (*Sharded) target()  {}

// Route holds the settings for the requests under one host name and path prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Attempts is the maximum number of backend servers that may run one request; for a
	// Sharded target, the maximum for each shard.
	Attempts int
	// Timeout is the maximum time until a caller gets an answer.
	Timeout time.Duration
	// Objective is the latency objective, the target latency of the route.
	Objective time.Duration
	// Priority is the rank of the route; 0 is the most urgent.
	Priority int
	// Public is set if callers need no key.
	Public bool
	// Regions are those in which its requests may be served; all if there are none.
	Regions []string
	Target  Target
}

// SubRequests returns the number of sub-requests of a request on the route.
func (r *Route) SubRequests() int {
	sharded, ok := r.Target.(*Sharded)
	if ok {
		return len(sharded.Services)
	}
	return 1
}

// Service holds the settings for the backend servers of a service.
type Service struct {
	Name string
	// HealthPath is the path of the health check.
	HealthPath string
	// MaxConnections is the number of connections that one backend server accepts from
	// all hosts together.
	MaxConnections int
}

// Limits holds the limits on the size and timing of callers' requests; zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is the content of a table.
type Config struct {
	// Revision is the version that the store assigned to the configuration, Version
	// the number that the operators gave it.
	Revision storer.Version
	Version  uint64
	Routes   []Route
	Services []Service
	Limits   Limits
	// Organisations are the customers; without any, callers need no key unless KeysRequired is set.
	Organisations []Organisation
	// KeysRequired is set if callers need a key, but for public routes, even if no organisation
	// can be used.
	KeysRequired bool
	// Problems are errors of entries that could not be decoded, which New returns with its own.
	Problems []error
}

// Table is the immutable routing table of one configuration.
type Table struct {
	cfg      Config
	byHost   map[string]map[string]*Route
	services map[string]Service

	organisations organisations
}

// New returns the table of the routes and organisations, and an error that joins the errors of the
// invalid ones. Invalid routes are unusable where they have a prefix, and left out otherwise.
func New(cfg Config) (*Table, error) {
	t := &Table{cfg: cfg, byHost: make(map[string]map[string]*Route), services: make(map[string]Service, len(cfg.Services))}
	for _, service := range cfg.Services {
		t.services[service.Name] = service
	}
	var rejected []error
	t.organisations, rejected = newOrganisations(cfg.Organisations, cfg.KeysRequired)
	// The table must not keep the keys.
	t.cfg.Organisations = nil
	problems := slices.Concat(cfg.Problems, rejected)
	for i := range cfg.Routes {
		route := &cfg.Routes[i]
		err := route.check()
		if err != nil {
			problems = append(problems, fmt.Errorf("route %q: %w", route.Name, err))
			if !route.hasPrefix() {
				continue
			}
			unusable := *route
			unusable.Target = &Unusable{}
			route = &unusable
		}
		prefixes := t.byHost[route.Host]
		if prefixes == nil {
			prefixes = make(map[string]*Route)
			t.byHost[route.Host] = prefixes
		}
		prefixes[route.Prefix] = route
	}
	return t, errors.Join(problems...)
}

// hasPrefix reports whether the route has a prefix that paths can match.
func (r *Route) hasPrefix() bool {
	return strings.HasPrefix(r.Prefix, "/") && strings.HasSuffix(r.Prefix, "/")
}

func (r *Route) check() error {
	if !r.hasPrefix() {
		return fmt.Errorf("path prefix %q must begin and end with a slash", r.Prefix)
	}
	switch target := r.Target.(type) {
	case *Single:
		if target.Service == "" {
			return errors.New("no service")
		}
	case *Weighted:
		total := 0.0
		for _, service := range target.Services {
			total += service.Weight
		}
		if total <= 0 {
			return errors.New("the sum of the weights is not above zero")
		}
		if math.IsInf(total, 0) {
			return errors.New("the sum of the weights is too large")
		}
	case *Sharded:
		if len(target.Services) == 0 {
			return errors.New("no shards")
		}
		if target.MinCoverage < 0 || target.MinCoverage > 1 {
			return fmt.Errorf("coverage %v is not between 0 and 1", target.MinCoverage)
		}
	default:
		return errors.New("no target")
	}
	return nil
}

// Match returns the route under a host name whose prefix is the longest match for the path.
func (t *Table) Match(host, path string) (*Route, bool) {
	prefixes := t.byHost[host]
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		route, ok := prefixes[path[:end+1]]
		if ok {
			return route, true
		}
	}
	return nil, false
}

// Service returns the settings of a service.
func (t *Table) Service(name string) (Service, bool) {
	service, ok := t.services[name]
	return service, ok
}

// Revision returns the version that the store assigned to the configuration.
func (t *Table) Revision() storer.Version { return t.cfg.Revision }

// Version returns the number that the operators gave the configuration.
func (t *Table) Version() uint64 { return t.cfg.Version }

// Limits returns the limits on callers' requests.
func (t *Table) Limits() Limits { return t.cfg.Limits }

// RouteCount returns the number of configured routes, including invalid ones.
func (t *Table) RouteCount() int { return len(t.cfg.Routes) }
