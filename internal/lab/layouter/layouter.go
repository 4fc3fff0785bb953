package layouter

import (
	"cmp"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/generator"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/searcher"
	"github.com/rhubarbpost/rhubarbpost/internal/loader"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

const (
	initialSnapshot       = 1
	defaultHostsPerDomain = 3
	// readyTimeoutMillis bounds the load generator's wait for all entries to be ready.
	readyTimeoutMillis = 30_000
	// searcherQueue is the queue length of a searcher, in requests.
	searcherQueue = 64
	// stragglerRate is the fraction of requests whose service time is multiplied
	// by stragglerFactor.
	stragglerRate   = 0.01
	stragglerFactor = 10
	// serviceSigma is the sigma of the log-normal service times.
	serviceSigma = 0.4
	rowsPerShard = 2
	// clusterKey authenticates the processes to each other.
	clusterKey = "loopback-only-key-0001"
)

// Organisation describes an organisation that uses the system, with the failure domains
// and sizes of its deployment.
type Organisation struct {
	Name    string
	Domains []string
	Queries SearcherGroup
	Orders  SearcherGroup
	// Ticketed is whether orders are submitted with tickets instead of idempotency keys.
	Ticketed bool
}

// SearcherGroup describes the searchers of one service; Shards is 0 for a service without shards.
type SearcherGroup struct {
	Service string
	Shards  int
	// Replicas is the number of searchers of each shard, or of a service without shards.
	Replicas int
	// Slots is the number of requests that a searcher runs concurrently, Connections the
	// number of connections that it accepts.
	Slots       int
	Connections int
	// ConnectionCost is the time to open a connection.
	ConnectionCost time.Duration
	// ServiceMedian is the median of the service times.
	ServiceMedian time.Duration
}

// Organisations holds the two organisations by name, with one query and one order service each.
var Organisations = map[string]Organisation{
	"kitanoiri": {
		Name: "kitanoiri", Domains: []string{"sapporo", "asahikawa", "hakodate"}, Ticketed: true,
		Queries: SearcherGroup{Service: "bay-console", Shards: 20, Replicas: 2, Slots: 2, Connections: 25, ConnectionCost: 6 * time.Millisecond, ServiceMedian: 8 * time.Millisecond},
		Orders:  SearcherGroup{Service: "order-desk", Replicas: 10, Slots: 2, Connections: 110, ConnectionCost: time.Millisecond, ServiceMedian: 8 * time.Millisecond},
	},
	"crumb-tier": {
		Name: "crumb-tier", Domains: []string{"hobart", "launceston", "devonport"}, Ticketed: true,
		Queries: SearcherGroup{Service: "portal", Shards: 20, Replicas: 2, Slots: 2, Connections: 25, ConnectionCost: 6 * time.Millisecond, ServiceMedian: 8 * time.Millisecond},
		Orders:  SearcherGroup{Service: "counter", Replicas: 5, Slots: 3, Connections: 40, ConnectionCost: time.Millisecond, ServiceMedian: 8 * time.Millisecond},
	},
}

// SearcherSettings holds the settings of a process that runs several searchers.
type SearcherSettings struct {
	Platform string `json:"platform"`
	// Notice is how long a draining searcher keeps serving requests.
	Notice    decoder.Duration  `json:"notice"`
	Searchers []searcher.Config `json:"searchers"`
}

// Config describes the deployment of one organisation whose settings are written.
type Config struct {
	Organisation Organisation
	Dir          string
	// BasePort is the port below the first that is allocated.
	BasePort int
	// HostsPerDomain is the number of entry hosts in each failure domain; 0 means 3.
	HostsPerDomain int

	// Queries and Orders are the numbers that the load generator sends.
	Queries int
	Orders  int
}

// layout allocates ports, writes files and keeps the first error.
type layout struct {
	cfg  Config
	port int
	err  error
}

// Write writes the settings files of all processes into cfg.Dir.
func Write(cfg Config) error {
	l := &layout{cfg: cfg, port: cfg.BasePort}
	platform := l.address()
	console := l.address()
	hosts, callerAddresses := l.hosts()
	for i, host := range hosts {
		l.write(host.Name+".entry.jsonc", l.settings(hosts, host, callerAddresses[i], host.Entry, platform))
		l.write(host.Name+".agent.jsonc", l.settings(hosts, host, callerAddresses[i], host.Agent, platform))
	}
	settings := l.settings(hosts, hosts[0], console, hosts[0].Agent, platform)
	settings.Console = loader.Console{OperatorHeader: "X-Operator", TrustedProxies: []string{"127.0.0.1"}}
	l.write("console.jsonc", settings)
	for _, group := range []SearcherGroup{cfg.Organisation.Queries, cfg.Organisation.Orders} {
		for d, domain := range cfg.Organisation.Domains {
			l.write(fmt.Sprintf("%s-%s.searchers.jsonc", group.Service, domain), l.searchers(group, d, platform))
		}
	}
	l.write("load.jsonc", generator.Config{
		Entries: callerAddresses, Platform: platform, QueryService: cfg.Organisation.Queries.Service, OrderService: cfg.Organisation.Orders.Service,
		Ticketed: cfg.Organisation.Ticketed, Queries: cfg.Queries, Orders: cfg.Orders,
		RatePerSecond: 40, WaitMillis: readyTimeoutMillis, Seed: 1,
	})
	l.write("addresses.json", map[string]string{"platform": platform, "console": console})
	return l.err
}

// address allocates the next port and returns its loopback address.
func (l *layout) address() string {
	l.port++
	return fmt.Sprintf("127.0.0.1:%d", l.port)
}

// hosts returns the entry hosts and, for each, the address on which it serves callers.
func (l *layout) hosts() (hosts []loader.Host, callerAddresses []string) {
	for _, domain := range l.cfg.Organisation.Domains {
		for n := range cmp.Or(l.cfg.HostsPerDomain, defaultHostsPerDomain) {
			hosts = append(hosts, loader.Host{
				Name: fmt.Sprintf("%s-%d", domain, n+1), Domain: domain, Agent: l.address(), Entry: l.address(),
			})
			callerAddresses = append(callerAddresses, l.address())
		}
	}
	return hosts, callerAddresses
}

func (l *layout) settings(hosts []loader.Host, host loader.Host, listen, control, platform string) loader.Settings {
	return loader.Settings{
		Name: host.Name, Domain: host.Domain, Listen: listen, Control: control, Platform: platform,
		Hosts: hosts, Keys: []string{clusterKey}, Log: logger.Config{Level: "info", Format: logger.FormatText},
	}
}

// searchers returns the settings of the searchers of a group in one failure domain.
func (l *layout) searchers(group SearcherGroup, domain int, platform string) SearcherSettings {
	settings := SearcherSettings{Platform: platform, Notice: decoder.NewDuration(time.Second)}
	for shard := range max(group.Shards, 1) {
		for replica := range group.Replicas {
			if (shard+replica)%len(l.cfg.Organisation.Domains) == domain {
				settings.Searchers = append(settings.Searchers, l.searcher(group, domain, shard, replica))
			}
		}
	}
	return settings
}

func (l *layout) searcher(group SearcherGroup, domain, shard, replica int) searcher.Config {
	cfg := searcher.Config{
		ID: fmt.Sprintf("%s-%d-%d", group.Service, shard, replica), Service: group.Service,
		Address: l.address(), Domain: l.cfg.Organisation.Domains[domain], Slots: group.Slots, Queue: searcherQueue,
		Rows: rowsPerShard, ConnectionLimit: group.Connections,
		ConnectionCost: decoder.NewDuration(group.ConnectionCost),
		ServiceMedian:  decoder.NewDuration(group.ServiceMedian), ServiceSigma: serviceSigma,
		StragglerRate: stragglerRate, StragglerFactor: stragglerFactor, Seed: uint64(l.port),
	}
	if group.Shards > 0 {
		cfg.Holdings = []messenger.Holding{{Snapshot: initialSnapshot, Shard: shard, Shards: group.Shards}}
	}
	return cfg
}

// write writes a value as a JSON file, unless an earlier write failed.
func (l *layout) write(name string, value any) {
	if l.err != nil {
		return
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		l.err = err
		return
	}
	l.err = os.WriteFile(filepath.Join(l.cfg.Dir, name), append(data, '\n'), 0o600)
}
