package standin

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
)

const (
	// Routes of a site: queries over all shards, and orders.
	queryPath = "/query/"
	orderPath = "/order/"
	siteHost  = "shop.example"

	orderService = "orders"
	siteReplicas = 2
	// siteRows is how many rows a query returns, rowsPerShard how many a shard has.
	siteRows     = 5
	rowsPerShard = 3
	// hostPorts are the callers', readiness, control and metrics port of a host.
	hostPorts = 4
)

// SiteConfig describes a site of one machine.
type SiteConfig struct {
	// Dir gets the settings files of the hosts and site.json.
	Dir string
	// BasePort is the first port of the hosts.
	BasePort int
	// Hosts is the number of hosts in each of the Domains.
	Hosts   int
	Domains []string
	Shards  int
}

// Site is a store with a configuration and backend servers, for hosts to serve.
type Site struct {
	store   *Store
	servers []*Server
}

// SiteFile tells callers of a site where its hosts are and what they answer.
type SiteFile struct {
	Host string `json:"host"`
	// Callers, Readiness and Settings are the addresses and the settings file of each host.
	Callers   []string `json:"callers"`
	Readiness []string `json:"readiness"`
	Settings  []string `json:"settings"`
	// Rows are the greatest rows over all shards, greatest first.
	Rows []uint64 `json:"rows"`
}

// StartSite starts the store and the servers, and writes the settings of the hosts.
func StartSite(cfg SiteConfig) (*Site, error) {
	s := &Site{store: NewStore()}
	file := SiteFile{Host: siteHost}
	shards := make([]string, cfg.Shards)
	for shard := range cfg.Shards {
		shards[shard] = fmt.Sprint("shard", shard)
		rows := make([]uint64, rowsPerShard)
		for i := range rows {
			rows[i] = uint64(1 + shard + i*cfg.Shards)
		}
		file.Rows = append(file.Rows, rows...)
		for replica := range siteReplicas {
			err := s.add(shards[shard], cfg.Domains[(shard+replica)%len(cfg.Domains)], rows)
			if err != nil {
				s.Close()
				return nil, err
			}
		}
	}
	for _, domain := range cfg.Domains {
		err := s.add(orderService, domain, nil)
		if err != nil {
			s.Close()
			return nil, err
		}
	}
	slices.SortFunc(file.Rows, func(a, b uint64) int { return cmp.Compare(b, a) })
	file.Rows = file.Rows[:min(siteRows, len(file.Rows))]
	s.configure(shards)
	err := s.writeSettings(cfg, &file)
	if err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// Close ends the servers and the store.
func (s *Site) Close() {
	for _, server := range s.servers {
		server.Close()
	}
	s.store.Close()
}

func (s *Site) add(service, domain string, rows []uint64) error {
	server, err := NewServer(fmt.Sprintf("%s-%s", service, domain), service, domain)
	if err != nil {
		return err
	}
	server.Rows = rows
	s.servers = append(s.servers, server)
	s.store.Put("servers", server.ID, server.Entry("ready"))
	return nil
}

func (s *Site) configure(shards []string) {
	route := func(own map[string]any) map[string]any {
		for name, value := range map[string]any{"hostname": siteHost, "timeout_ms": 1500, "target_latency_ms": 200, "attempts": 2, "priority": 1} {
			own[name] = value
		}
		return own
	}
	s.store.Put("config", "main", map[string]any{"version": 1, "services": []any{}, "routes": []any{
		route(map[string]any{"name": "query", "path_prefix": queryPath, "kind": "idempotent", "gather": shards, "top_k": siteRows, "min_coverage": 1}),
		route(map[string]any{"name": "order", "path_prefix": orderPath, "kind": "non_idempotent", "service": orderService}),
	}})
}

func (s *Site) writeSettings(cfg SiteConfig, file *SiteFile) error {
	port := cfg.BasePort
	address := func(offset int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port+offset)) }
	seed := address(2)
	for i := range cfg.Hosts * len(cfg.Domains) {
		name := fmt.Sprint("host", i)
		data, err := json.MarshalIndent(map[string]any{
			"name": name, "domain": cfg.Domains[i%len(cfg.Domains)], "capacity": 1,
			"listen": map[string]any{"callers": address(0), "readiness": address(1), "control": address(2), "metrics": address(3)},
			"seeds":  []string{seed}, "store": s.store.Address(), "extra": map[string]any{"ratio": 0.2, "burst": 50},
			"grace": "6s", "log": map[string]any{"level": "info", "format": "json", "bytesPerSecond": 65536},
		}, "", "  ")
		if err != nil {
			return err
		}
		path := filepath.Join(cfg.Dir, name+".host.jsonc")
		err = os.WriteFile(path, data, 0o600)
		if err != nil {
			return err
		}
		file.Settings = append(file.Settings, path)
		file.Callers = append(file.Callers, address(0))
		file.Readiness = append(file.Readiness, address(1))
		port += hostPorts
	}
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(cfg.Dir, "site.json"), data, 0o600)
}
