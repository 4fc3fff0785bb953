package dialer

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

// BenchmarkSearch measures the processor time of one sub-request over loopback,
// of client and server together, for each protocol.
func BenchmarkSearch(b *testing.B) {
	for _, carrier := range []configurer.Carrier{configurer.CarrierHTTP1, configurer.CarrierHTTP2} {
		b.Run(string(carrier), func(b *testing.B) {
			l, err := listener.New(listener.Config{Address: "127.0.0.1:0", Handler: http.HandlerFunc(echo)})
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			d := New(Config{Carrier: carrier, MaxConns: 64})
			defer d.Close()
			server := messenger.Server{ID: "s", Address: l.Address()}
			before := processorTime(b)
			b.SetParallelism(32)
			b.ReportAllocs()
			b.ResetTimer()
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
					_, err := d.Search(ctx, server, &messenger.SubQuery{RequestID: "r", Shards: 400, Query: json.RawMessage(`{"shaft":"1"}`)})
					cancel()
					if err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-us/op")
		})
	}
}

func echo(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	listener.WriteJSON(w, http.StatusOK, messenger.SubAnswer{
		RequestID: "r", RowCount: 2, Rows: []json.RawMessage{[]byte(`{"id":"1"}`), []byte(`{"id":"2"}`)},
		Server: messenger.ServerStatus{ID: "s", Incarnation: 1, Holdings: []messenger.Holding{{Snapshot: 1, Shards: 400}}},
	})
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	if err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
