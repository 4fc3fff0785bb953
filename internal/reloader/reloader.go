package reloader

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// pollInterval is how often the modification time is checked, short enough for a
// change to take effect within seconds.
const pollInterval = 2 * time.Second

// Watch reads the file when its modification time has changed, and immediately upon
// SIGHUP, until the context ends. It calls changed with the new content if that is not
// empty and differs from the last known content, initially the parameter content, or with
// the error if the file can't be read.
func Watch(ctx context.Context, file string, content []byte, changed func(data []byte, err error)) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	w := &watcher{file: file, changed: changed, modTime: modificationTime(file)}
	w.data = content
	for {
		select {
		case <-hangups:
			w.reload()
		case <-ticker.C:
			modTime := modificationTime(file)
			if !modTime.Equal(w.modTime) {
				w.modTime = modTime
				w.reload()
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
	modTime time.Time
}

func (w *watcher) reload() {
	data, err := os.ReadFile(w.file)
	if err == nil && len(data) == 0 {
		// The file has been truncated and is being written.
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

// modificationTime returns the modification time of a file, or the zero time if it
// can't be read.
func modificationTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
