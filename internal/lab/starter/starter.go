package starter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
)

const (
	// waitLimit bounds each wait for a condition or for the end of a process.
	waitLimit = 60 * time.Second
	// waitInterval is the time between two checks of a condition.
	waitInterval = 50 * time.Millisecond
	// logLines is the number of log lines of each process that a failed test prints.
	logLines = 8
)

var (
	buildOnce sync.Once
	buildDir  string
	errBuild  error
)

// programs builds the programs on the first call and returns their folder.
func programs(t testing.TB) string {
	t.Helper()
	buildOnce.Do(func() {
		buildDir, errBuild = os.MkdirTemp("", "rhubarbpost-programs")
		if errBuild != nil {
			return
		}
		build := exec.CommandContext(context.Background(), "go", "build", "-o", buildDir,
			"github.com/rhubarbpost/rhubarbpost/cmd/rhubarbpost", "github.com/rhubarbpost/rhubarbpost/cmd/lab")
		out, err := build.CombinedOutput()
		if err != nil {
			errBuild = fmt.Errorf("%w: %s", err, out)
		}
	})
	if errBuild != nil {
		t.Fatal(errBuild)
	}
	return buildDir
}

// Process is one running program.
type Process struct {
	Name string
	cmd  *exec.Cmd
	logs *Buffer
	done chan struct{}
	err  error
}

// Buffer is a buffer for logs that is safe for concurrent use.
type Buffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends to the buffer.
func (b *Buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// String returns all data written so far.
func (b *Buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Start starts a program and kills it at the end of the test if it still runs.
func Start(t testing.TB, name, program string, args ...string) *Process {
	t.Helper()
	return run(t, name, exec.CommandContext(context.Background(), filepath.Join(programs(t), program), args...))
}

// StartLimited starts a program as Start does, with a limit on its open descriptors.
func StartLimited(t testing.TB, descriptors int, name, program string, args ...string) *Process {
	t.Helper()
	// The shell becomes the program, with the same process ID.
	shell := []string{"-c", `ulimit -n "$0" && exec "$@"`, strconv.Itoa(descriptors), filepath.Join(programs(t), program)}
	return run(t, name, exec.CommandContext(context.Background(), "sh", append(shell, args...)...))
}

func run(t testing.TB, name string, cmd *exec.Cmd) *Process {
	t.Helper()
	p := &Process{Name: name, cmd: cmd, logs: &Buffer{}, done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p.logs, p.logs
	err := p.cmd.Start()
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("%s:\n%s", p.Name, lastLines(p.Logs()))
		}
	})
	return p
}

// lastLines returns the last logLines lines of a log.
func lastLines(logs string) string {
	lines := strings.Split(logs, "\n")
	return strings.Join(lines[max(0, len(lines)-logLines):], "\n")
}

// Signal sends a signal to the process.
func (p *Process) Signal(t testing.TB, signal syscall.Signal) {
	t.Helper()
	err := p.cmd.Process.Signal(signal)
	if err != nil && !errors.Is(err, os.ErrProcessDone) {
		t.Fatal(err)
	}
}

// Wait waits until the process has ended and returns its exit code.
func (p *Process) Wait(t testing.TB) int {
	t.Helper()
	select {
	case <-p.done:
	case <-time.After(waitLimit):
		t.Fatalf("%s has not ended", p.Name)
	}
	return p.cmd.ProcessState.ExitCode()
}

// Stop sends SIGTERM to the process, waits until it has ended and returns its exit code.
func (p *Process) Stop(t testing.TB) int {
	t.Helper()
	p.Signal(t, syscall.SIGTERM)
	return p.Wait(t)
}

// Logs returns what the process has written to standard output and standard error.
func (p *Process) Logs() string {
	return p.logs.String()
}

// Eventually polls a condition and fails the test if it is not met within waitLimit.
func Eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		if condition() {
			return
		}
		time.Sleep(waitInterval)
	}
	t.Fatalf("timed out waiting until %s", what)
}

// read decodes a JSON file with comments.
func read[T any](t testing.TB, file string) T {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	value, err := decoder.Document[T](file, data)
	if err != nil {
		t.Fatal(err)
	}
	return value
}

func glob(t testing.TB, dir, pattern string) []string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, pattern))
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// moduleDir returns the nearest folder with a go.mod at or above the working directory.
func moduleDir(t testing.TB) string {
	t.Helper()
	dir, err := os.Getwd()
	if err != nil {
		t.Fatal(err)
	}
	for {
		_, err = os.Stat(filepath.Join(dir, "go.mod"))
		if err == nil {
			return dir
		}
		if dir == filepath.Dir(dir) {
			t.Fatal("no go.mod in the working directory or above")
		}
		dir = filepath.Dir(dir)
	}
}
