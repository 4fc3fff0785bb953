package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/standin"
)

const (
	// hostname is the Host header of all requests.
	hostname = "shop.example"
	// heartbeat is how often a server writes its registration, and serverSilence how long one
	// may be silent until the platform removes its registration.
	heartbeat     = 1200 * time.Millisecond
	serverSilence = 3 * heartbeat
	// readyLimit is how long the hosts may take to become ready.
	readyLimit = 15 * time.Second
	// exitLimit is how long a host may take to end after SIGTERM, the grace period of 6 s and
	// a reserve.
	exitLimit = 8 * time.Second
	// settleTime is how long hosts run before the first request, so that they have found
	// each other.
	settleTime = 4 * time.Second
	// portsPerHost are the ports for callers, readiness and control.
	portsPerHost = 3
	// metricsPort is the port for metrics in the template of the settings.
	metricsPort = 9464
	pollTime    = 5 * time.Millisecond
)

// domains are the failure domains.
var domains = []string{"tas-hobart", "tas-launceston", "tas-devonport"}

// stage holds the processes and stand-ins of one case.
type stage struct {
	mu      sync.Mutex
	record  *os.File
	begun   time.Time
	dir     string
	store   *standin.Store
	servers []*standin.Server
	hosts   []*hostProcess
	stop    chan struct{}
	workers sync.WaitGroup
}

// hostProcess is a host that runs as a process of its own.
type hostProcess struct {
	name     string
	file     string
	settings string
	callers  string
	ready    string
	command  *exec.Cmd
	ended    chan struct{}
}

func newStage(path string) (*stage, error) {
	record, err := os.Create(path) //nolint:gosec // the record is named by run.sh
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &stage{record: record, begun: time.Now(), dir: dir, store: standin.NewStore(), stop: make(chan struct{})}, nil
}

// close ends all processes and stand-ins.
func (s *stage) close() {
	for _, h := range s.hosts {
		_ = h.command.Process.Signal(syscall.SIGCONT)
		_ = h.command.Process.Signal(syscall.SIGTERM)
	}
	for _, h := range s.hosts {
		select {
		case <-h.ended:
		case <-time.After(exitLimit):
			_ = h.command.Process.Kill()
			<-h.ended
		}
	}
	close(s.stop)
	s.workers.Wait()
	for _, server := range s.servers {
		server.Close()
	}
	s.store.Close()
	_ = os.RemoveAll(s.dir)
	_ = s.record.Close()
}

// notef writes a line to the record, with the time since the start.
func (s *stage) notef(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(s.begun).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(s.record, line)
	fmt.Println(line)
}

// addServers starts n servers of a service, in the failure domains in turn, which write their
// registrations until the case ends.
func (s *stage) addServers(service string, n int, behaviour standin.Behaviour) error {
	for i := range n {
		server, err := standin.NewServer(fmt.Sprintf("i-%s-%d", service, i), service, domains[i%len(domains)])
		if err != nil {
			return err
		}
		server.Behave(behaviour)
		s.servers = append(s.servers, server)
		s.workers.Go(func() { s.register(server) })
	}
	return nil
}

// register writes the registration of a server each heartbeat while it runs. It is removed once the
// server has been silent for serverSilence.
func (s *stage) register(server *standin.Server) {
	lastSeen := time.Now()
	for sequence := 1; ; sequence++ {
		registration := server.Registration("ready")
		starts := registration["born"].(int64)
		if int64(server.Crashes()) < starts {
			// The server runs: it has started once more than it has crashed.
			registration["sequence"] = sequence
			registration["born"] = s.begun.UnixMilli() + starts
			s.store.Put("servers", server.ID, registration)
			lastSeen = time.Now()
		} else if time.Since(lastSeen) >= serverSilence {
			s.store.Remove("servers", server.ID)
		}
		select {
		case <-s.stop:
			return
		case <-time.After(heartbeat):
		}
	}
}

// configure writes the first configuration with one route to a service.
func (s *stage) configure(kind, prefix, service string, timeout, objective time.Duration) {
	s.store.Put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-" + service, "hostname": hostname, "path_prefix": prefix, "kind": kind, "service": service, "attempts": 2, "priority": 1,
			"timeout_ms": timeout.Milliseconds(), "target_latency_ms": objective.Milliseconds(),
		}},
		"services": []any{map[string]any{"name": service, "health_path": "/health", "max_conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// startHosts starts one host in each failure domain with the settings of the deploy file, and
// waits until all are ready.
func (s *stage) startHosts(ctx context.Context) error {
	template, err := os.ReadFile("deploy/host.jsonc")
	if err != nil {
		return err
	}
	ips := make([]string, len(domains))
	for i := range domains {
		ips[i] = freeIP(ctx, i)
	}
	ports, err := freePorts(ctx, ips)
	if err != nil {
		return err
	}
	var seeds []string
	for _, ip := range ips {
		seeds = append(seeds, strconv.Quote(address(ip, ports[2])))
	}
	for i, domain := range domains {
		h := &hostProcess{
			name: "front-" + domain + "-1", callers: address(ips[i], ports[0]), ready: address(ips[i], ports[1]), ended: make(chan struct{}),
		}
		h.settings = s.fill(string(template), h, ips[i], domain, address(ips[i], ports[2]), strings.Join(seeds, ","))
		err = s.start(h)
		if err != nil {
			return err
		}
	}
	for _, h := range s.hosts {
		err = s.waitReady(ctx, h)
		if err != nil {
			return err
		}
	}
	return sleep(ctx, settleTime)
}

// fill fills in the template of a host's settings as the platform does.
func (s *stage) fill(template string, h *hostProcess, ip, domain, control, seeds string) string {
	return strings.NewReplacer(
		"{{node_name|json}}", strconv.Quote(h.name), "{{zone|json}}", strconv.Quote(domain), "{{#region}}", "", "{{/region}}", "", "{{region|json}}", `"tas"`, "{{zones|json}}", "{}",
		"{{limits.cpu_share}}", "0.4", "{{limits.memory_mb}}", "284", "{{limits.max_fds}}", "4100", "{{limits.link_mbps}}", "1000.0",
		"{{listen_addrs.front|json}}", strconv.Quote(h.callers), "{{listen_addrs.readiness|json}}", strconv.Quote(h.ready),
		"{{listen_addrs.control|json}}", strconv.Quote(control), "{{ip}}", ip, "{{seeds|json}}", "["+seeds+"]",
		"{{bootstrap|json}}", "true", "{{platform.address|json}}", strconv.Quote(s.store.Address()),
		"{{bounds.retry_ratio}}", "0.2", "{{bounds.retry_slack}}", "56", "{{bounds.retry_window_s}}", "10", "{{bounds.grace_s}}", "6",
		// The terms of this site have neither evacuations nor quotas.
		`{{#bounds.evacuate_ms}}"bounds": { "evacuate": "{{bounds.evacuate_ms}}ms" },{{/bounds.evacuate_ms}}`, "",
		"{{invariants|json}}", `["base", "drain", "config"]`,
	).Replace(template)
}

// start starts a host by the command of the deploy file.
func (s *stage) start(h *hostProcess) error {
	h.file = filepath.Join(s.dir, h.name+".jsonc")
	err := os.WriteFile(h.file, []byte(h.settings), 0o600)
	if err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(s.dir, h.name+".log")) //nolint:gosec // a file in the folder of the case
	if err != nil {
		return err
	}
	h.command = exec.Command("target/rhubarbpost", "host") //nolint:noctx // close ends the process
	h.command.Env = []string{"RHUBARBPOST_BOOT=" + h.file, "PATH=" + os.Getenv("PATH")}
	h.command.Stdout, h.command.Stderr = log, log
	err = h.command.Start()
	if err != nil {
		return err
	}
	s.notef("%s started", h.name)
	s.hosts = append(s.hosts, h)
	go func() {
		err := h.command.Wait()
		_ = log.Close()
		s.notef("%s ended: %v", h.name, err)
		close(h.ended)
	}()
	return nil
}

var errNotReady = errors.New("a host did not become ready")

// waitReady asks a host like the balancer until it is ready.
func (s *stage) waitReady(ctx context.Context, h *hostProcess) error {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.ready+"/-/ready", http.NoBody)
		if err != nil {
			return err
		}
		response, err := http.DefaultClient.Do(r)
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		err = sleep(ctx, 100*time.Millisecond)
		if err != nil {
			return err
		}
	}
	return fmt.Errorf("%w: %s", errNotReady, h.name)
}

// sleep waits for a time or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

func address(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// freeIP returns a loopback address on which nothing uses the port for metrics.
func freeIP(ctx context.Context, domain int) string {
	for n := os.Getpid() % 200; ; n++ {
		ip := fmt.Sprintf("127.77.%d.%d", domain+1, n%250+1)
		if free(ctx, ip, metricsPort) {
			return ip
		}
	}
}

var errNoPorts = errors.New("no free ports")

// freePorts returns ports that are free on all addresses. Ports are the same on all hosts.
func freePorts(ctx context.Context, ips []string) ([]int, error) {
	for first := 20000 + os.Getpid()%1000*portsPerHost; first < 30000; first += portsPerHost {
		ports := []int{first, first + 1, first + 2}
		if allFree(ctx, ips, ports) {
			return ports, nil
		}
	}
	return nil, errNoPorts
}

func allFree(ctx context.Context, ips []string, ports []int) bool {
	for _, ip := range ips {
		for _, port := range ports {
			if !free(ctx, ip, port) {
				return false
			}
		}
	}
	return true
}

func free(ctx context.Context, ip string, port int) bool {
	var sockets net.ListenConfig
	socket, err := sockets.Listen(ctx, "tcp", address(ip, port))
	if err != nil {
		return false
	}
	_ = socket.Close()
	return true
}
