package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"log"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"
)

const (
	// queryPath and orderPath are the path prefixes of the routes of a site: queries over
	// all shards, and orders.
	queryPath    = "/query/"
	orderPath    = "/order/"
	siteHostname = "shop.example"

	orderService = "orders"
	siteReplicas = 2 // servers of each shard
	// siteRows is the number of rows that a query returns; rowsPerShard is the number of
	// rows that each shard holds.
	siteRows     = 5
	rowsPerShard = 3
	// portsPerHost counts the ports of a host: callers, readiness, control and metrics.
	portsPerHost = 4
	// siteBurst is the number of hedges and retries that all hosts of a site together may
	// send beyond the fraction set by extra.ratio.
	siteBurst = 50
	// linksPerNetwork is the number of addresses that LinkIP takes from each /24 network.
	linksPerNetwork = 250
)

// SiteConfig describes a site on one machine.
type SiteConfig struct {
	// Dir is the folder for the settings files of the hosts and for site.json.
	Dir string
	// BasePort is the first port of the hosts.
	BasePort int
	// HostsPerDomain is the number of hosts in each of the failure domains in Domains.
	HostsPerDomain int
	Domains        []string
	Shards         int
	// Limit is the Server-Limit header of all servers, in requests per second; empty for none.
	Limit string
	// Deadly is a text in the path or query of the requests that crash the servers; empty for
	// none.
	Deadly string
	// CutHosts is the number of hosts whose paths to all servers are interrupted, those of
	// the first failure domain first.
	CutHosts int
	// Cut is how the paths are interrupted, CutAfter and CutFor when and for how long.
	Cut      Cut
	CutAfter time.Duration
	CutFor   time.Duration
}

// Site is a store with a configuration, and the backend servers of its routes.
type Site struct {
	store   *Store
	servers []*Server
	// stop ends the goroutine that interrupts paths, done is closed when it has ended.
	stop chan struct{}
	done chan struct{}
}

// SiteFile is the content of site.json, with which callers find the hosts of a site and
// check their answers.
type SiteFile struct {
	Host string `json:"host"`
	// Callers and Readiness hold the addresses of each host for callers and for readiness
	// checks, Settings the path of its settings file.
	Callers   []string `json:"callers"`
	Readiness []string `json:"readiness"`
	Settings  []string `json:"settings"`
	// Rows holds the rows of the right answer to a query: the greatest rows over all
	// shards in descending order.
	Rows []uint64 `json:"rows"`
}

// StartSite starts the store and the servers and writes the settings of the hosts and site.json.
func StartSite(cfg SiteConfig) (*Site, error) {
	s := &Site{store: NewStore(), stop: make(chan struct{}), done: make(chan struct{})}
	err := s.build(cfg)
	if err != nil {
		close(s.done)
		s.Close()
		return nil, err
	}
	go s.cutPaths(cfg)
	return s, nil
}

// cutPaths interrupts the paths of some hosts at the time that the settings name.
func (s *Site) cutPaths(cfg SiteConfig) {
	defer close(s.done)
	hosts := cfg.hostNames()
	for _, step := range []struct {
		after time.Duration
		cut   Cut
	}{{cfg.CutAfter, cfg.Cut}, {cfg.CutFor, CutNone}} {
		select {
		case <-s.stop:
			return
		case <-time.After(step.after):
		}
		for _, host := range hosts[:min(cfg.CutHosts, len(hosts))] {
			s.setCut(host, step.cut)
		}
	}
}

// setCut interrupts or restores the paths of a host to all servers.
func (s *Site) setCut(host string, cut Cut) {
	for _, server := range s.servers {
		err := server.SetCut(host, cut)
		if err != nil {
			log.Printf("path of %s: %v", host, err)
		}
	}
}

// hostNames returns the names of the hosts, those of the first failure domain first.
func (c SiteConfig) hostNames() []string {
	var names []string
	for domain := range c.Domains {
		for i := range c.HostsPerDomain {
			names = append(names, hostName(i*len(c.Domains)+domain))
		}
	}
	return names
}

func hostName(i int) string { return fmt.Sprint("host", i) }

func (s *Site) build(cfg SiteConfig) error {
	file := SiteFile{Host: siteHostname}
	shards := make([]string, cfg.Shards)
	for shard := range cfg.Shards {
		shards[shard] = fmt.Sprint("shard", shard)
		rows := make([]uint64, rowsPerShard)
		for i := range rows {
			rows[i] = uint64(1 + shard + i*cfg.Shards)
		}
		file.Rows = append(file.Rows, rows...)
		for replica := range siteReplicas {
			err := s.addServer(shards[shard], cfg.Domains[(shard+replica)%len(cfg.Domains)], rows)
			if err != nil {
				return err
			}
		}
	}
	for _, domain := range cfg.Domains {
		err := s.addServer(orderService, domain, nil)
		if err != nil {
			return err
		}
	}
	slices.SortFunc(file.Rows, func(a, b uint64) int { return cmp.Compare(b, a) })
	file.Rows = file.Rows[:min(siteRows, len(file.Rows))]
	for _, server := range s.servers {
		server.Behave(Behaviour{Limit: cfg.Limit, Deadly: cfg.Deadly})
	}
	s.configure(shards)
	return s.writeSettings(cfg, &file)
}

// Close stops the servers and the store.
func (s *Site) Close() {
	close(s.stop)
	<-s.done
	for _, server := range s.servers {
		server.Close()
	}
	s.store.Close()
}

func (s *Site) addServer(service, domain string, rows []uint64) error {
	server, err := NewServer(fmt.Sprintf("%s-%s", service, domain), service, domain)
	if err != nil {
		return err
	}
	server.Rows = rows
	s.servers = append(s.servers, server)
	register := func(server *Server) { s.store.Put("servers", server.ID, server.Registration("ready")) }
	server.OnRestart(register)
	register(server)
	return nil
}

func (s *Site) configure(shards []string) {
	s.store.Configure(1, siteHostname,
		map[string]any{"name": "query", "path_prefix": queryPath, "kind": "idempotent", "gather": shards, "top_k": siteRows, "min_coverage": 1},
		map[string]any{"name": "order", "path_prefix": orderPath, "kind": "non_idempotent", "service": orderService})
}

// Configure writes a version of the configuration with routes of one host name. All
// routes have the same time-out, latency objective, attempts and priority.
func (s *Store) Configure(version int, host string, routes ...map[string]any) {
	for _, route := range routes {
		maps.Copy(route, map[string]any{"hostname": host, "timeout_ms": 1500, "target_latency_ms": 200, "attempts": 2, "priority": 1})
	}
	s.Put("config", "main", map[string]any{"version": version, "services": []any{}, "routes": routes})
}

// LinkIP returns the IP address at which the servers serve only host i of a site.
func LinkIP(i int) string {
	return fmt.Sprintf("127.1.%d.%d", i/linksPerNetwork, i%linksPerNetwork+1)
}

// HostSettings holds the settings in which the hosts of a site on loopback differ.
type HostSettings struct {
	Name   string
	Domain string
	// Port is the first of four consecutive ports: callers, readiness, control and metrics.
	Port int
	// Seed is the control port of the host that all hosts have as their seed.
	Seed  int
	Store string
	// Burst is the number of extra attempts (hedges and retries) that all hosts together
	// may send beyond the fraction set by extra.ratio.
	Burst int
	// Link is the IP address at which the host reaches the backend servers, empty for theirs.
	Link string
	// Evacuate is the bound of evacuations, empty if the host doesn't follow any.
	Evacuate string
	// Memory is the memory that the host may use in MB, 0 if unknown.
	Memory int
}

// Write writes the settings file of a host.
func (h HostSettings) Write(path string) error {
	translate := make(map[string]string)
	if h.Link != "" {
		translate["127.0.0.1"] = h.Link
	}
	bounds := make(map[string]string)
	if h.Evacuate != "" {
		bounds["evacuate"] = h.Evacuate
	}
	data, err := json.MarshalIndent(map[string]any{
		"bounds": bounds, "name": h.Name, "translate": translate, "domain": h.Domain, "capacity": 1, "memory": h.Memory,
		"listen": map[string]any{"callers": loopback(h.Port), "readiness": loopback(h.Port + 1), "control": loopback(h.Port + 2), "metrics": loopback(h.Port + 3)},
		"seeds":  []string{loopback(h.Seed)}, "store": h.Store, "extra": map[string]any{"ratio": 0.2, "burst": h.Burst, "window": "10s"},
		"grace": "6s", "log": map[string]any{"level": "info", "format": "json", "bytesPerSecond": 65536},
	}, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, data, 0o600)
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }

func (s *Site) writeSettings(cfg SiteConfig, file *SiteFile) error {
	for i := range cfg.HostsPerDomain * len(cfg.Domains) {
		for _, server := range s.servers {
			err := server.LinkTo(hostName(i), LinkIP(i))
			if err != nil {
				return err
			}
		}
		h := HostSettings{
			Name: hostName(i), Domain: cfg.Domains[i%len(cfg.Domains)], Port: cfg.BasePort + i*portsPerHost,
			Seed: cfg.BasePort + 2, Store: s.store.Address(), Burst: siteBurst, Link: LinkIP(i),
		}
		path := filepath.Join(cfg.Dir, h.Name+".host.jsonc")
		err := h.Write(path)
		if err != nil {
			return err
		}
		file.Settings = append(file.Settings, path)
		file.Callers = append(file.Callers, loopback(h.Port))
		file.Readiness = append(file.Readiness, loopback(h.Port+1))
	}
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(cfg.Dir, "site.json"), data, 0o600)
}
