package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/standin"
)

const (
	// deadlyServers is the number of servers of the service; one that has crashed is back after
	// deadlyDown.
	deadlyServers  = 12
	deadlyWork     = 60 * time.Millisecond
	deadlyDown     = 3 * time.Second
	deadlyDeadline = 2 * time.Second
	deadlyPath     = "/bookings/deadly"
	deadlyGap      = 500 * time.Millisecond
	// deadlyCopies is how often the request comes in each of deadlyRounds rounds.
	deadlyCopies = 5
	deadlyRounds = 3
	// restartDelay is how long after its end a process is started again.
	restartDelay = 500 * time.Millisecond
	// contact is the platform's contact_ms: a host is in touch so long after its start.
	contact = 4 * time.Second
	// mostRetries is how often the request may reach servers later than contact after it has
	// crashed the third.
	mostRetries   = 3
	crashesBefore = 3
)

// runDeadlyRestart sends a request again and again that crashes each server that begins to run
// it. With trouble, all hosts are killed at once and started again between the rounds.
func runDeadlyRestart(ctx context.Context, s *stage, trouble bool) (bool, error) {
	s.configure("idempotent", "/bookings/", "counter", deadlyDeadline, 400*time.Millisecond)
	err := s.addServers("counter", deadlyServers, standin.Behaviour{Delay: deadlyWork, Deadly: "deadly", DownTime: deadlyDown})
	if err != nil {
		return false, err
	}
	err = s.startHosts(ctx)
	if err != nil {
		return false, err
	}
	for round := range deadlyRounds {
		if round > 0 && trouble {
			err = s.killAll(ctx)
			if err != nil {
				return false, err
			}
		}
		err = sleep(ctx, contact+time.Second)
		if err != nil {
			return false, err
		}
		err = s.sendDeadly(ctx, round)
		if err != nil {
			return false, err
		}
	}
	return s.judgeDeadly(), nil
}

// sendDeadly sends copies of the request to the hosts in turn.
func (s *stage) sendDeadly(ctx context.Context, round int) error {
	for i := range deadlyCopies {
		c, err := dial(ctx, s.hosts[i%len(s.hosts)])
		if err != nil {
			return err
		}
		id := fmt.Sprintf("deadly-%d-%d", round, i)
		s.notef("%s sent to %s", id, s.hosts[i%len(s.hosts)].name)
		s.notef("%s answered: %v", id, c.call(http.MethodGet, deadlyPath, id, "", deadlyDeadline))
		c.close()
		err = sleep(ctx, deadlyGap)
		if err != nil {
			return err
		}
	}
	return nil
}

// killAll kills all hosts at once and starts them again.
func (s *stage) killAll(ctx context.Context) error {
	s.notef("all hosts are killed")
	hosts := s.hosts
	s.hosts = nil
	for _, h := range hosts {
		err := h.command.Process.Signal(syscall.SIGKILL)
		if err != nil {
			return err
		}
	}
	for _, h := range hosts {
		<-h.ended
	}
	err := sleep(ctx, restartDelay)
	if err != nil {
		return err
	}
	for _, h := range hosts {
		err = s.start(&hostProcess{
			name: h.name, settings: h.settings, callers: h.callers, ready: h.ready, ended: make(chan struct{}),
		})
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
	return nil
}

// judgeDeadly counts the requests that have reached servers later than contact after the third
// crash. All were sent by hosts that had been in touch by then.
func (s *stage) judgeDeadly() bool {
	var runs []standin.Arrival
	for _, server := range s.servers {
		for _, arrival := range server.Arrivals() {
			runs = append(runs, arrival)
			s.notef("%s ran %s, begun at %.3f s, and crashed", server.ID, arrival.ID, arrival.At.Sub(s.begun).Seconds())
		}
	}
	slices.SortFunc(runs, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	if len(runs) < crashesBefore {
		return true
	}
	third := runs[crashesBefore-1].At.Add(deadlyWork)
	retries := make(map[string]bool)
	for _, run := range runs {
		if run.At.Sub(third) > contact {
			retries[run.ID] = true
		}
	}
	s.notef("%d runs, %d requests reached servers later than %v after the third crash (at most %d may)", len(runs), len(retries), contact, mostRetries)
	return len(retries) <= mostRetries
}
