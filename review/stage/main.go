package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseLimit is the longest time that a case may run.
const caseLimit = 100 * time.Second

// cases has the cases by name. Each reports whether the rule held; with trouble it includes the
// disruption.
var cases = map[string]func(ctx context.Context, s *stage, trouble bool) (held bool, err error){
	"order-twice":    runOrderTwice,
	"reload-at-stop": runReloadAtStop,
	"term-twice":     runTermTwice,
	"deadly-restart": runDeadlyRestart,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run runs the case args[0] and writes its record to the file args[1].
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage CASE RECORD")
		return exitFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	s, err := newStage(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer s.close()
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	s.notef("case %s, trouble %v", args[0], trouble)
	held, err := cases[args[0]](ctx, s, trouble)
	switch {
	case err != nil:
		s.notef("the case could not run: %v", err)
		return exitFailed
	case !held:
		s.notef("result: the rule was broken")
		return exitBroken
	}
	s.notef("result: the rule held")
	return exitHeld
}
