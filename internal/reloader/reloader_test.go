package reloader

import (
	"context"
	"os"
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
	ctx, cancel := context.WithCancel(context.Background())
	contents := make(chan string, 8)
	done := make(chan struct{})
	go func() {
		defer close(done)
		Watch(ctx, file, []byte("one"), func(data []byte, err error) {
			if err == nil {
				contents <- string(data)
			}
		})
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
	cancel()
	<-done
}
