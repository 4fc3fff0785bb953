package logger

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/charmbracelet/log"
)

// Format is the output format of log lines.
type Format string

// The output formats of log lines.
const (
	FormatText Format = "text"
	FormatJSON Format = "json"
)

// Config holds the settings of a logger.
type Config struct {
	// Level is the lowest level that is written: debug, info, warn or error.
	Level  string `json:"level"`
	Format Format `json:"format"`
	// Process and Host are fields of each line, left out if empty.
	Process string `json:"-"`
	Host    string `json:"-"`
}

// Check validates the settings; its error names the allowed values.
func (c Config) Check() error {
	_, err := log.ParseLevel(c.Level)
	if err != nil {
		return fmt.Errorf("invalid log level %q (allowed: debug, info, warn, error)", c.Level)
	}
	if c.Format != FormatText && c.Format != FormatJSON {
		return fmt.Errorf("invalid log format %q (allowed: text, json)", c.Format)
	}
	return nil
}

// Logger writes numbered events with key and value pairs.
type Logger struct {
	log *log.Logger
}

// New returns a logger that writes to w; an invalid level counts as info.
func New(w io.Writer, cfg Config) *Logger {
	level, err := log.ParseLevel(strings.ToLower(cfg.Level))
	if err != nil {
		level = log.InfoLevel
	}
	options := log.Options{Level: level, ReportTimestamp: true, TimeFormat: time.RFC3339Nano}
	if cfg.Format == FormatJSON {
		options.Formatter = log.JSONFormatter
	}
	l := log.NewWithOptions(w, options)
	if cfg.Process != "" {
		l = l.With("process", cfg.Process)
	}
	if cfg.Host != "" {
		l = l.With("host", cfg.Host)
	}
	return &Logger{log: l}
}

// Discard returns a logger that writes nothing.
func Discard() *Logger {
	return New(io.Discard, Config{Level: "error", Format: FormatText})
}

// Debug writes an event for developers.
func (l *Logger) Debug(event Event, pairs ...any) {
	l.log.Debug(event.String(), withEventNumber(event, pairs)...)
}

// Info writes an event of normal operation.
func (l *Logger) Info(event Event, pairs ...any) {
	l.log.Info(event.String(), withEventNumber(event, pairs)...)
}

// Warn writes an event that needs attention if it persists.
func (l *Logger) Warn(event Event, pairs ...any) {
	l.log.Warn(event.String(), withEventNumber(event, pairs)...)
}

// Error writes an event that needs attention.
func (l *Logger) Error(event Event, pairs ...any) {
	l.log.Error(event.String(), withEventNumber(event, pairs)...)
}

// Output returns a writer that logs each write as a warning of one event, for
// libraries that write their own log lines.
func (l *Logger) Output(event Event) io.Writer {
	return output{log: l, event: event}
}

type output struct {
	log   *Logger
	event Event
}

// Write logs the bytes as one line.
func (o output) Write(p []byte) (int, error) {
	o.log.Warn(o.event, "text", strings.TrimSpace(string(p)))
	return len(p), nil
}

func withEventNumber(event Event, pairs []any) []any {
	line := append([]any{"event", int(event)}, pairs...)
	for i, value := range line {
		err, ok := value.(error)
		if ok {
			// The formatter would print the stack of a wrapped error, over several lines.
			line[i] = err.Error()
		}
	}
	return line
}
