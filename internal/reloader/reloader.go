package reloader

import (
	"bytes"
	"os"
	"time"
)

// pollInterval is how often the modification time is checked, short enough for a
// change to take effect within seconds.
const pollInterval = 2 * time.Second

// Config describes the file to watch.
type Config struct {
	// File is the path of the file, Content its last known content.
	File    string
	Content []byte
	// Hangups has a value after SIGHUP.
	Hangups <-chan os.Signal
	// Changed is called with the new content, or with the error if the file can't be read.
	Changed func(data []byte, err error)
}

// Watch reads the file when its modification time has changed, and immediately upon
// SIGHUP, until stopped is closed. It reports the content if that is not empty and differs
// from the last known one.
func Watch(stopped <-chan struct{}, cfg Config) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	w := &watcher{file: cfg.File, changed: cfg.Changed, data: cfg.Content, modTime: modificationTime(cfg.File)}
	for {
		select {
		case <-cfg.Hangups:
			w.reload(stopped)
		case <-ticker.C:
			modTime := modificationTime(cfg.File)
			if !modTime.Equal(w.modTime) {
				w.modTime = modTime
				w.reload(stopped)
			}
		case <-stopped:
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

// reload reports the content of the file if it has changed, but not once stopped is closed: a
// signal to stop takes precedence over one that arrived with it.
func (w *watcher) reload(stopped <-chan struct{}) {
	select {
	case <-stopped:
		return
	default:
	}
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
