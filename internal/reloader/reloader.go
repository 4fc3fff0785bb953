package reloader

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is how often the file is looked at, well within the seconds in
// which a change must be in force.
const pollInterval = 2 * time.Second

// Watch calls changed with the content of the file each time that it differs
// from the one before, at first from the given content, until the context ends, or with the error of a look that
// found no content. SIGHUP makes it look at once.
func Watch(ctx context.Context, file string, content []byte, changed func(data []byte, err error)) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	w := &watcher{file: file, changed: changed, seen: modified(file)}
	w.data = content
	for {
		select {
		case <-hangup:
			w.look()
		case <-ticker.C:
			at := modified(file)
			if !at.Equal(w.seen) {
				w.seen = at
				w.look()
			}
		case <-ctx.Done():
			return
		}
	}
}

type watcher struct {
	file    string
	changed func(data []byte, err error)
	data    []byte
	seen    time.Time
}

func (w *watcher) look() {
	data, err := os.ReadFile(w.file)
	if err == nil && len(data) == 0 {
		// The file is being written.
		return
	}
	if err != nil {
		w.changed(nil, err)
		return
	}
	if bytes.Equal(data, w.data) {
		return
	}
	w.data = data
	w.changed(data, nil)
}

// modified returns the modification time of a file, or zero if there is none to be had.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
