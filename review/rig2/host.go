package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// program is the program of the deploy file, started in the root of the project.
const program = "target/rhubarbpost"

// defaultMemory is the memory in MB of a machine.
const defaultMemory = 284

// bounds are those of a site that the command and the settings of a host hold.
type bounds struct {
	configApply, drain string
	retrySlack         int
}

// grownBound is config_apply_ms and drain_ms of the grown sites.
const grownBound = "5000ms"

var (
	smallSite = bounds{"3000ms", "3000ms", 58}
	grownSite = bounds{grownBound, grownBound, 204}
)

// host is a process of the system.
type host struct {
	name, zone   string
	ports        [4]string
	settingsPath string
	logPath      string
	bounds       bounds
	// memory is that of the machine in MB.
	memory  int
	process *exec.Cmd
	ended   chan struct{}
}

const (
	// lowestPort and highestPort bound the ports of hosts. Ports for outgoing connections are usually
	// above them.
	lowestPort  = 12000
	highestPort = 31000
	portTries   = 100
)

var errNoPort = errors.New("no free port")

// freeAddress returns an address of loopback that was free a moment ago and is none of those taken.
func freeAddress(taken map[string]bool) (string, error) {
	for range portTries {
		address := fmt.Sprintf("127.0.0.1:%d", lowestPort+rand.IntN(highestPort-lowestPort))
		if taken[address] {
			continue
		}
		socket, err := listen(address)
		if err == nil {
			taken[address] = true
			return address, socket.Close()
		}
	}
	return "", errNoPort
}

// newHosts returns hosts, some a zone, that are not started yet.
func newHosts(dir string, zones []string, perZone int, b bounds) ([]*host, error) {
	var hosts []*host
	taken := make(map[string]bool)
	for i := range perZone * len(zones) {
		h := &host{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], bounds: b, memory: defaultMemory}
		h.settingsPath, h.logPath = filepath.Join(dir, h.name+".jsonc"), filepath.Join(dir, h.name+".log")
		for j := range h.ports {
			address, err := freeAddress(taken)
			if err != nil {
				return nil, err
			}
			h.ports[j] = address
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

func (h *host) callers() string   { return h.ports[0] }
func (h *host) readiness() string { return h.ports[1] }
func (h *host) control() string   { return h.ports[2] }

// writeSettings writes what the template of the deploy file gives.
func (h *host) writeSettings(storeAddress string, zones, seeds []string, first bool) error {
	regions := make(map[string]string)
	for _, zone := range zones {
		regions[zone] = "region"
	}
	settings := map[string]any{
		keyName: h.name, "domain": h.zone, "region": "region", "regions": regions, "capacity": 0.4, "link": 1000.0, "memory": h.memory,
		"listen": map[string]string{"callers": h.callers(), "readiness": h.readiness(), "control": h.control(), "metrics": h.ports[3]},
		"seeds":  seeds, "firstStart": first, "store": storeAddress,
		"extra": map[string]any{"ratio": 0.2, "burst": h.bounds.retrySlack, "window": "10s"},
		"terms": []string{"base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"},
		"grace": "6s", "log": map[string]any{"level": "info", "format": "json", "bytesPerSecond": 65536},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(h.settingsPath, data, 0o600)
}

// start starts the process with the command of the deploy file.
func (h *host) start() error {
	log, err := os.OpenFile(h.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	h.process = exec.CommandContext(context.Background(), program, "host", "--configApply", h.bounds.configApply, "--drain", h.bounds.drain)
	h.process.Env = append(os.Environ(), "RHUBARBPOST_BOOT="+h.settingsPath)
	h.process.Stdout, h.process.Stderr = log, log
	err = h.process.Start()
	if err != nil {
		return err
	}
	process, ended := h.process, make(chan struct{})
	h.ended = ended
	go func() {
		_ = process.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// kill ends the process at once and waits for its end.
func (h *host) kill() {
	if h.process == nil || h.process.Process == nil {
		return
	}
	_ = h.process.Process.Signal(syscall.SIGKILL)
	<-h.ended
}

// alive reports whether the process runs.
func (h *host) alive() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// ready reports whether the host counts as ready.
func (h *host) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.readiness()+"/-/ready", http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func awaitReady(hosts []*host, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, h := range hosts {
		for !h.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
