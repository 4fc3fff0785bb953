package logger

import "testing"

// sink discards its input. The log library skips formatting if the writer is io.Discard.
type sink struct{}

func (sink) Write(p []byte) (int, error) { return len(p), nil }

// BenchmarkLine measures the line of an attempt: written, below the log level, and
// through the limiter, which drops most of them for exceeding the byte rate.
func BenchmarkLine(b *testing.B) {
	pairs := []any{"request", "81b5f2d0c9a14e77", "server", "i-7e5f7a9e8c", "domain", "east", "part", 5, "reason", "late", "expectedMillis", int64(52)}
	cfg := Config{Level: "info", Format: FormatJSON, Process: "host", Host: "host1"}
	b.Run("written", func(b *testing.B) {
		l := New(sink{}, cfg)
		b.ReportAllocs()
		for b.Loop() {
			l.Info(AttemptSent, pairs...)
		}
	})
	b.Run("below the level", func(b *testing.B) {
		l := New(sink{}, Config{Level: "error", Format: FormatJSON})
		b.ReportAllocs()
		for b.Loop() {
			l.Info(AttemptSent, pairs...)
		}
	})
	b.Run("to the limiter", func(b *testing.B) {
		w := NewLimiter(sink{}, 1<<16)
		defer w.Close()
		l := New(w, cfg)
		b.ReportAllocs()
		for b.Loop() {
			l.Info(AttemptSent, pairs...)
		}
	})
}
