package main

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/standin"
)

const (
	// orderServers is the number of servers of the order service, of which two crash: less
	// than 0.15 of them.
	orderServers  = 14
	orderCrashes  = 2
	orderWork     = 300 * time.Millisecond
	orderDeadline = 5 * time.Second
	orderPath     = "/orders/slot-1830"
	orderBody     = `{"slot":"2026-12-12T18:30","party":2}`
	orderGap      = 500 * time.Millisecond
	// crashDelay is how long a server has worked on an order when it crashes.
	crashDelay = 50 * time.Millisecond
	// lateRun is how long after the last answer runs are counted.
	lateRun = 2 * time.Second
)

var errNoRun = errors.New("no server has begun to run the order")

// runOrderTwice sends three orders that ask for the same, each with its own ID and once. Orders
// are not idempotent. The service answers this order with a failure of its own. With trouble, the
// servers that run the first two crash meanwhile. No order may run more than once.
func runOrderTwice(ctx context.Context, s *stage, trouble bool) (bool, error) {
	s.configure("non_idempotent", "/orders/", "counter", orderDeadline, 500*time.Millisecond)
	err := s.addServers("counter", orderServers, standin.Behaviour{Delay: orderWork, Status: http.StatusInternalServerError, DownTime: time.Hour})
	if err != nil {
		return false, err
	}
	err = s.startHosts(ctx)
	if err != nil {
		return false, err
	}
	ids := []string{"order-a", "order-b", "order-c"}
	for i, id := range ids {
		err = s.order(ctx, id, trouble && i < orderCrashes)
		if err != nil {
			return false, err
		}
		err = sleep(ctx, orderGap)
		if err != nil {
			return false, err
		}
	}
	err = sleep(ctx, lateRun)
	if err != nil {
		return false, err
	}
	held := true
	for _, id := range ids {
		runs := 0
		for _, server := range s.servers {
			for _, arrival := range server.Arrivals() {
				if arrival.ID == id {
					runs++
					s.notef("%s ran %s (%s %s), begun at %.3f s", server.ID, id, arrival.Method, arrival.Path, arrival.At.Sub(s.begun).Seconds())
				}
			}
		}
		s.notef("%s: sent once, run %d times", id, runs)
		held = held && runs <= 1
	}
	return held, nil
}

// order sends an order, and crashes the server that runs it if it is to.
func (s *stage) order(ctx context.Context, id string, crash bool) error {
	c, err := dial(ctx, s.hosts[0])
	if err != nil {
		return err
	}
	defer c.close()
	result := make(chan answer, 1)
	s.notef("%s sent to %s: POST %s %s", id, s.hosts[0].name, orderPath, orderBody)
	go func() { result <- c.call(http.MethodPost, orderPath, id, orderBody, orderDeadline) }()
	if crash {
		server, err := s.runner(ctx, id)
		if err != nil {
			return err
		}
		err = sleep(ctx, crashDelay)
		if err != nil {
			return err
		}
		s.notef("%s crashes while it runs %s", server.ID, id)
		server.Crash()
	}
	s.notef("%s answered: %v", id, <-result)
	return nil
}

// runner waits for the server that runs a request.
func (s *stage) runner(ctx context.Context, id string) (*standin.Server, error) {
	for end := time.Now().Add(orderDeadline); time.Now().Before(end); {
		for _, server := range s.servers {
			for _, arrival := range server.Arrivals() {
				if arrival.ID == id {
					return server, nil
				}
			}
		}
		err := sleep(ctx, pollTime)
		if err != nil {
			return nil, err
		}
	}
	return nil, errNoRun
}
