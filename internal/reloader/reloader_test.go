package reloader

import (
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const waitLimit = 20 * time.Second

// TestChangesAreFoundByPollingAndSIGHUP rewrites a file three times: changes must
// be found both by polling and by SIGHUP, and a rewrite with the same content
// ignored.
func TestChangesAreFoundByPollingAndSIGHUP(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(file, []byte("one"), 0o600))
	stopped := make(chan struct{})
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	contents := make(chan string, 8)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Watch(stopped, Config{File: file, Content: []byte("one"), Hangups: hangups, Changed: func(data []byte, err error) {
			if err == nil {
				contents <- string(data)
			}
		}})
	}()
	next := func() string {
		select {
		case text := <-contents:
			return text
		case <-time.After(waitLimit):
			t.Fatal("no change was reported within 20 s")
			return ""
		}
	}
	time.Sleep(50 * time.Millisecond)
	is.NoErr(os.WriteFile(file, []byte("two"), 0o600))
	is.Equal(next(), "two") // found by polling
	is.NoErr(os.WriteFile(file, []byte("two"), 0o600))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	is.NoErr(os.WriteFile(file, []byte("three"), 0o600))
	is.NoErr(syscall.Kill(os.Getpid(), syscall.SIGHUP))
	is.Equal(next(), "three") // the rewrite with the same content is not reported
	close(stopped)
	<-done
}

// TestAStopPrecedesASIGHUPThatCameWithIt guards against settings that a process adopts although it
// has been told to stop: both are pending, and Watch may see either first.
func TestAStopPrecedesASIGHUPThatCameWithIt(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "settings")
	is.NoErr(os.WriteFile(file, []byte("two"), 0o600))
	stopped := make(chan struct{})
	close(stopped)
	for range 100 {
		hangups := make(chan os.Signal, 1)
		hangups <- syscall.SIGHUP
		Watch(stopped, Config{File: file, Content: []byte("one"), Hangups: hangups, Changed: func([]byte, error) {
			t.Fatal("settings were adopted after the stop")
		}})
	}
}
