package starter

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/exiter"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/standin"
)

// signalAt is a signal at a time after the first request was sent.
type signalAt struct {
	after  time.Duration
	signal syscall.Signal
}

const (
	hangupWork     = 1200 * time.Millisecond
	hangupLongWork = 5200 * time.Millisecond // ends in the last second of the grace period
	hangupCallers  = 4
	// ignoredHangup is the log event of a SIGHUP that has no effect.
	ignoredHangup = "hangupIgnored"
)

// TestSIGHUPNeverEndsAHostsRequests guards against a SIGHUP that ends a host while it drains: the
// requests in flight were cut off. It judges processes from outside, for SIGHUP alone, in series
// and together with SIGTERM, from the start of a host to the last second of its grace period.
func TestSIGHUPNeverEndsAHostsRequests(t *testing.T) {
	const begun, drains, lastSecond = 300 * time.Millisecond, 700 * time.Millisecond, 5 * time.Second
	cases := map[string]struct {
		signals []signalAt
		work    time.Duration
	}{
		"Serving":        {[]signalAt{{begun, syscall.SIGHUP}, {drains, syscall.SIGTERM}}, hangupWork},
		"ServingTwice":   {[]signalAt{{begun, syscall.SIGHUP}, {begun, syscall.SIGHUP}, {drains, syscall.SIGTERM}}, hangupWork},
		"Draining":       {[]signalAt{{begun, syscall.SIGTERM}, {drains, syscall.SIGHUP}}, hangupWork},
		"DrainingTwice":  {[]signalAt{{begun, syscall.SIGTERM}, {drains, syscall.SIGHUP}, {drains, syscall.SIGHUP}}, hangupWork},
		"DrainingSeries": {[]signalAt{{begun, syscall.SIGTERM}, {drains, syscall.SIGHUP}, {drains + 400*time.Millisecond, syscall.SIGHUP}, {2 * time.Second, syscall.SIGHUP}}, hangupWork},
		"HUPThenTERM":    {[]signalAt{{begun, syscall.SIGHUP}, {begun + time.Millisecond, syscall.SIGTERM}}, hangupWork},
		"TERMThenHUP":    {[]signalAt{{begun, syscall.SIGTERM}, {begun + time.Millisecond, syscall.SIGHUP}}, hangupWork},
		"AtOnce":         {[]signalAt{{begun, syscall.SIGTERM}, {begun, syscall.SIGHUP}}, hangupWork},
		"LastSecond":     {[]signalAt{{begun, syscall.SIGTERM}, {lastSecond, syscall.SIGHUP}}, hangupLongWork},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testHangups(t, c.signals, c.work)
		})
	}
}

// testHangups sends signals to a host that serves requests which take a time. The settings file
// changes with each SIGHUP, at times to a grace period of a second. Each request has to be served,
// and the host has to end as after SIGTERM alone.
func testHangups(t *testing.T, signals []signalAt, work time.Duration) {
	is := is.New(t)
	s := emptySoak(t, 1)
	for i := range hangupCallers {
		server := s.addServer(fmt.Sprint("c", i), "c", "d1")
		server.Behave(standin.Behaviour{Delay: work})
		s.register(server)
	}
	s.store.Put("config", "main", map[string]any{"version": 1, "services": []any{}, "routes": []any{map[string]any{
		"name": "s", "hostname": soakHostname, "path_prefix": "/s/", "kind": "idempotent", "service": "c",
		"timeout_ms": 9000, "target_latency_ms": 2000, "attempts": 2, "priority": 1,
	}}})
	s.addHost(s.store.Address())
	s.waitReady()
	statuses := make([]int, hangupCallers)
	var calls sync.WaitGroup
	for i := range statuses {
		calls.Go(func() { statuses[i] = s.slowCall(fmt.Sprint("call", i)) })
	}
	begun, stopped := time.Now(), false
	for i, next := range signals {
		time.Sleep(time.Until(begun.Add(next.after)))
		if next.signal == syscall.SIGHUP {
			s.shortenGrace(t, stopped, i)
		}
		s.hosts[0].Signal(t, next.signal)
		stopped = stopped || next.signal == syscall.SIGTERM
	}
	if stopped && signals[len(signals)-1].after < work {
		time.Sleep(50 * time.Millisecond)
		is.True(!s.ready(0)) // the host has not become ready again
	}
	calls.Wait()
	is.Equal(s.hosts[0].Wait(t), int(exiter.OK))
	for _, status := range statuses {
		is.Equal(status, http.StatusOK) // no request was cut off
	}
}

// shortenGrace rewrites the settings of host 0, to a grace period of a second if it has been
// stopped.
func (s *soak) shortenGrace(t *testing.T, stopped bool, n int) {
	s.writeSettings(0, 51+n)
	if !stopped {
		return
	}
	content, err := os.ReadFile(s.settingsFiles[0])
	if err != nil {
		t.Fatal(err)
	}
	err = os.WriteFile(s.settingsFiles[0], []byte(strings.Replace(string(content), `"grace": "6s"`, `"grace": "1s"`, 1)), 0o600)
	if err != nil {
		t.Fatal(err)
	}
}

// slowCall sends a request of its own connection to host 0 and returns the status of the answer, 0
// if there is none.
func (s *soak) slowCall(id string) int {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, fmt.Sprintf("http://127.0.0.1:%d/s/%s", s.basePorts[0], id), http.NoBody)
	if err != nil {
		s.fail("%v", err)
		return 0
	}
	r.Host = soakHostname
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", "9000")
	caller := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := caller.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// TestSIGHUPBeforeTheSettingsAreRead guards against a SIGHUP that ends a process which has just been
// started: here a host that still waits for its settings, which come through a pipe.
func TestSIGHUPBeforeTheSettingsAreRead(t *testing.T) {
	is := is.New(t)
	s := emptySoak(t, 1)
	s.store.Configure(1, soakHostname)
	s.addHost(s.store.Address())
	s.waitReady()
	is.Equal(s.hosts[0].Stop(t), int(exiter.OK))
	content, err := os.ReadFile(s.settingsFiles[0])
	is.NoErr(err)
	pipe := filepath.Join(t.TempDir(), "settings")
	is.NoErr(syscall.Mkfifo(pipe, 0o600))
	host := Start(t, "h0", "rhubarbpost", "host", "--settings", pipe)
	writer, err := os.OpenFile(pipe, os.O_WRONLY, 0) // returns once the host reads
	is.NoErr(err)
	host.Signal(t, syscall.SIGHUP)
	// The host polls the file from now on, which must not be a pipe then.
	is.NoErr(os.WriteFile(pipe+".new", content, 0o600))
	is.NoErr(os.Rename(pipe+".new", pipe))
	_, err = writer.Write(content)
	is.NoErr(err)
	is.NoErr(writer.Close())
	Eventually(t, "the host is ready", func() bool { return s.ready(0) })
	is.Equal(host.Stop(t), int(exiter.OK))
}

// TestSIGHUPDoesNotEndEntryAgentOrConsole guards against processes that SIGHUP ends, although they
// read their settings only when they start.
func TestSIGHUPDoesNotEndEntryAgentOrConsole(t *testing.T) {
	is := is.New(t)
	f := StartFleet(t, FleetConfig{Organisation: "kitanoiri", HostsPerDomain: 1})
	host := f.Hosts[0].Name
	address := fmt.Sprint("127.0.0.1:", freeBlock(t))
	console := Start(t, "console", "rhubarbpost", "console", "--settings", filepath.Join(f.Dir, host+".entry.jsonc"), "--listen", address)
	Eventually(t, "the console serves", func() bool { return Status(address, "/") != 0 })
	_ = ticket(t, f.ListenAddresses[host]) // the entry drains until the ticket has lapsed
	for _, p := range []*Process{f.Entries[host], f.Agents[host], console} {
		p.Signal(t, syscall.SIGHUP)
		Eventually(t, "SIGHUP is logged", func() bool { return strings.Contains(p.Logs(), ignoredHangup) })
		p.Signal(t, syscall.SIGTERM)
		p.Signal(t, syscall.SIGHUP)
		is.Equal(p.Wait(t), int(exiter.OK))
	}
}
