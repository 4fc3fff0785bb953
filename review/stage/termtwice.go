package main

import (
	"context"
	"syscall"
	"time"
)

// secondTermAfter is how long after the first SIGTERM the second one comes.
const secondTermAfter = 400 * time.Millisecond

// runTermTwice stops a host by SIGTERM while it serves requests. With trouble, SIGTERM comes once
// more 0.4 s later. Each request has to be answered.
func runTermTwice(ctx context.Context, s *stage, trouble bool) (bool, error) {
	return s.runStop(ctx, func(host *hostProcess) error {
		if !trouble {
			return nil
		}
		err := sleep(ctx, secondTermAfter)
		if err != nil {
			return err
		}
		s.notef("SIGTERM to %s again", host.name)
		return host.command.Process.Signal(syscall.SIGTERM)
	})
}
