package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// setting is what a case runs with.
type setting struct {
	// trouble is false if the case runs without its disruption.
	trouble bool
	// dir is a temporary folder.
	dir    string
	record *record
	hosts  []*host

	mu sync.Mutex
	// answers has what clients have got, by the id of the request.
	answers map[string]answer
}

// killHosts ends all processes that the case has started.
func (s *setting) killHosts() {
	for _, h := range s.hosts {
		h.kill()
	}
}

// note keeps an answer.
func (s *setting) note(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[a.id] = a
}

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func (r *record) add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, values...))
}

var errUnknownCase = errors.New("unknown case")

// cases are the cases by name; each reports whether the rule was broken.
var cases = map[string]func(s *setting) (broken bool, err error){
	"stale":     staleList,
	"halfclose": halfClose,
	"trailers":  trailers,
	"extra":     extraAnswers,
}

func main() {
	os.Exit(runCase(os.Args[1:]))
}

// runCase runs the case that the arguments name, in its folder.
func runCase(arguments []string) int {
	if len(arguments) != 2 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return exitNotRun
	}
	broken, err := play(arguments[0], arguments[1])
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return exitNotRun
	case broken:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	fmt.Println("the rule held")
	return exitHeld
}

func play(name, folder string) (broken bool, err error) {
	playCase, ok := cases[name]
	if !ok {
		return false, errUnknownCase
	}
	dir, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return false, err
	}
	defer func() { _ = file.Close() }()
	s := &setting{answers: make(map[string]answer), trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: &record{file: file, begun: time.Now()}}
	defer s.killHosts()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.killHosts()
		os.Exit(exitNotRun)
	}()
	broken, err = playCase(s)
	s.record.add("rule broken: %v, error: %v", broken, err)
	return broken, err
}
