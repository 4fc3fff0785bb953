package starter

import (
	"encoding/json"
	"net/http"
	"os"
	"path/filepath"
	"testing"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/generator"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/layouter"
	"github.com/rhubarbpost/rhubarbpost/internal/loader"
	"github.com/rhubarbpost/rhubarbpost/platform/adapter"
)

// Fleet holds the running processes of one example organisation of package layouter: the
// platform, and the entries, agents and searchers.
type Fleet struct {
	// owner is the test at whose end the processes are killed.
	owner testing.TB
	// Dir is the folder of the settings files.
	Dir string
	// Platform is the address of the platform's store.
	Platform string
	Hosts    []loader.Host
	// ListenAddresses (the addresses for callers), Entries and Agents are keyed by the
	// name of the host.
	ListenAddresses map[string]string
	Entries         map[string]*Process
	Agents          map[string]*Process
	Searchers       []*Process
	Store           *adapter.Store
}

// FleetConfig describes a fleet.
type FleetConfig struct {
	Organisation string
	// HostsPerDomain is the number of entry hosts in each of the three failure domains.
	HostsPerDomain int
	// Edit, if set, changes the text of the declarations before they are applied.
	Edit func(declarations string) string
}

// StartFleet starts all processes of an organisation, applies the declarations and waits
// until each entry is ready.
func StartFleet(t testing.TB, cfg FleetConfig) *Fleet {
	t.Helper()
	f := &Fleet{
		owner: t, Dir: t.TempDir(), ListenAddresses: make(map[string]string),
		Entries: make(map[string]*Process), Agents: make(map[string]*Process),
	}
	err := layouter.Write(layouter.Config{
		Organisation: layouter.Organisations[cfg.Organisation], Dir: f.Dir, BasePort: freeBlock(t), HostsPerDomain: cfg.HostsPerDomain,
	})
	if err != nil {
		t.Fatal(err)
	}
	addresses := read[map[string]string](t, filepath.Join(f.Dir, "addresses.json"))
	f.Platform = addresses["platform"]
	f.Store = adapter.OpenStore(f.Platform, nil)
	t.Cleanup(f.Store.Close)
	Start(t, "platform", "lab", "platform", "--listen", f.Platform)
	f.startHosts(t)
	for _, settings := range glob(t, f.Dir, "*.searchers.jsonc") {
		f.Searchers = append(f.Searchers, Start(t, filepath.Base(settings), "lab", "searcher", "--settings", settings))
	}
	f.Apply(t, cfg)
	for name := range f.Entries {
		f.WaitReady(t, name)
	}
	return f
}

func (f *Fleet) startHosts(t testing.TB) {
	t.Helper()
	for _, settings := range glob(t, f.Dir, "*.entry.jsonc") {
		parsed, err := loader.Load(settings, loader.Overrides{})
		if err != nil {
			t.Fatal(err)
		}
		f.Hosts = parsed.Hosts
		f.ListenAddresses[parsed.Name] = parsed.Listen
		f.StartAgent(t, parsed.Name)
		f.StartEntry(t, parsed.Name)
	}
}

// StartEntry starts the entry of a host.
func (f *Fleet) StartEntry(t testing.TB, host string) {
	t.Helper()
	f.Entries[host] = Start(f.owner, host+".entry", "rhubarbpost", "entry", "--settings", filepath.Join(f.Dir, host+".entry.jsonc"))
}

// StartAgent starts the agent of a host.
func (f *Fleet) StartAgent(t testing.TB, host string) {
	t.Helper()
	f.Agents[host] = Start(f.owner, host+".agent", "rhubarbpost", "agent", "--settings", filepath.Join(f.Dir, host+".agent.jsonc"))
}

// Apply applies the declarations of an organisation, and retries until the platform accepts them.
func (f *Fleet) Apply(t testing.TB, cfg FleetConfig) {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(moduleDir(t), "examples", cfg.Organisation+".jsonc"))
	if err != nil {
		t.Fatal(err)
	}
	declarations := string(data)
	if cfg.Edit != nil {
		declarations = cfg.Edit(declarations)
	}
	file := filepath.Join(f.Dir, "declarations.jsonc")
	err = os.WriteFile(file, []byte(declarations), 0o600)
	if err != nil {
		t.Fatal(err)
	}
	Eventually(t, "the declarations are applied", func() bool {
		p := Start(t, "apply", "rhubarbpost", "config", "apply", file, "--platform", f.Platform, "--reason", "test")
		return p.Wait(t) == 0
	})
}

// WaitReady waits until the entry of a host is ready and has live servers of the
// query service and of the order service.
func (f *Fleet) WaitReady(t testing.TB, host string) {
	t.Helper()
	load := f.Load(t)
	Eventually(t, host+" is ready", func() bool {
		if Status(f.ListenAddresses[host], "/readyz") != http.StatusOK {
			return false
		}
		return f.serversLive(host, load.QueryService) > 0 && f.serversLive(host, load.OrderService) > 0
	})
}

func (f *Fleet) serversLive(host, service string) int {
	var status struct {
		ServersLive int `json:"serversLive"`
	}
	_, body := Get(f.ListenAddresses[host], "/v1/services/"+service)
	err := json.Unmarshal(body, &status)
	if err != nil {
		return 0
	}
	return status.ServersLive
}

// Load returns the settings of the load generator for the fleet.
func (f *Fleet) Load(t testing.TB) generator.Config {
	t.Helper()
	return read[generator.Config](t, filepath.Join(f.Dir, "load.jsonc"))
}

// SetFaults replaces the injected faults of the platform by those of a JSON document.
func (f *Fleet) SetFaults(t testing.TB, faults string) {
	t.Helper()
	status := Post(f.Platform, "/faults", faults)
	if status != http.StatusOK {
		t.Fatalf("setting the faults of the platform: status %d", status)
	}
}
