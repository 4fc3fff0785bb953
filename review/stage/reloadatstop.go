package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/standin"
)

const (
	fetchServers  = 5
	fetchCallers  = 6
	fetchWork     = 1200 * time.Millisecond
	fetchDeadline = 5 * time.Second
	// fetchBefore is how long before SIGTERM the requests are sent, reloadAfter how long after
	// it the settings file changes.
	fetchBefore = 300 * time.Millisecond
	reloadAfter = 400 * time.Millisecond
)

// runReloadAtStop stops a host by SIGTERM while it serves requests. With trouble, its settings
// file changes 0.4 s later, which SIGHUP announces. Each request has to be answered.
func runReloadAtStop(ctx context.Context, s *stage, trouble bool) (bool, error) {
	return s.runStop(ctx, func(host *hostProcess) error {
		if !trouble {
			return nil
		}
		return s.reload(ctx, host)
	})
}

// runStop stops a host by SIGTERM while it serves requests, calls a function, and reports whether
// each request that was passed on to a server has been answered.
func (s *stage) runStop(ctx context.Context, stopped func(host *hostProcess) error) (bool, error) {
	s.configure("idempotent", "/bookings/", "counter", fetchDeadline, 2*time.Second)
	err := s.addServers("counter", fetchServers, standin.Behaviour{Delay: fetchWork})
	if err != nil {
		return false, err
	}
	err = s.startHosts(ctx)
	if err != nil {
		return false, err
	}
	host := s.hosts[0]
	callers := make([]*caller, fetchCallers)
	for i := range callers {
		callers[i], err = dial(ctx, host)
		if err != nil {
			return false, err
		}
		defer callers[i].close()
	}
	answers := make([]answer, len(callers))
	var calls sync.WaitGroup
	for i, c := range callers {
		calls.Go(func() {
			id := fmt.Sprint("fetch-", i)
			s.notef("%s sent to %s", id, host.name)
			answers[i] = c.call(http.MethodGet, "/bookings/"+fmt.Sprint(i), id, "", fetchDeadline)
			s.notef("%s answered: %v", id, answers[i])
		})
	}
	err = sleep(ctx, fetchBefore)
	if err != nil {
		return false, err
	}
	s.notef("SIGTERM to %s", host.name)
	err = host.command.Process.Signal(syscall.SIGTERM)
	if err != nil {
		return false, err
	}
	err = stopped(host)
	if err != nil {
		return false, err
	}
	calls.Wait()
	held := true
	for i, a := range answers {
		id := fmt.Sprint("fetch-", i)
		passedOn := false
		for _, server := range s.servers {
			for _, arrival := range server.Arrivals() {
				passedOn = passedOn || arrival.ID == id
			}
		}
		s.notef("%s: passed on to a server: %v, answered: %v", id, passedOn, a.err == nil)
		held = held && (a.err == nil || !passedOn)
	}
	return held, nil
}

// reload changes the settings file of a host and sends SIGHUP.
func (s *stage) reload(ctx context.Context, host *hostProcess) error {
	err := sleep(ctx, reloadAfter)
	if err != nil {
		return err
	}
	changed := strings.Replace(host.settings, `"burst": 56`, `"burst": 60`, 1)
	err = os.WriteFile(host.file, []byte(changed), 0o600)
	if err != nil {
		return err
	}
	s.notef("the settings file of %s changes: SIGHUP", host.name)
	return host.command.Process.Signal(syscall.SIGHUP)
}
