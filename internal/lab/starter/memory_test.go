package starter

import (
	"context"
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/layouter"
	"github.com/rhubarbpost/rhubarbpost/internal/loader"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
	"github.com/rhubarbpost/rhubarbpost/platform/adapter"
)

var agentMetric = regexp.MustCompile(`(?m)^(rhubarbpost_agent_objects|process_resident_memory_bytes|process_cpu_seconds_total) (\S+)`)

func agentMetrics(address string) map[string]float64 {
	_, body := Get(address, "/metrics")
	values := make(map[string]float64)
	for _, match := range agentMetric.FindAllSubmatch(body, -1) {
		value, err := strconv.ParseFloat(string(match[2]), 64)
		if err == nil {
			values[string(match[1])] = value
		}
	}
	return values
}

// BenchmarkAgent measures the resident memory and the CPU share of one idle agent
// process against the number of backend servers registered on the platform.
func BenchmarkAgent(b *testing.B) {
	for _, servers := range []int{50, 10_000, 53_000} {
		b.Run(fmt.Sprint(servers, "Servers"), func(b *testing.B) {
			dir := b.TempDir()
			err := layouter.Write(layouter.Config{Organisation: layouter.Organisations["kitanoiri"], Dir: dir, BasePort: freeBlock(b), HostsPerDomain: 1})
			if err != nil {
				b.Fatal(err)
			}
			file := glob(b, dir, "*.agent.jsonc")[0]
			settings, err := loader.Load(file, loader.Overrides{})
			if err != nil {
				b.Fatal(err)
			}
			Start(b, "platform", "lab", "platform", "--listen", settings.Platform)
			Start(b, "agent", "rhubarbpost", "agent", "--settings", file)
			registerServers(b, settings.Platform, servers)
			Eventually(b, "the agent holds all registrations", func() bool {
				return agentMetrics(settings.Control)["rhubarbpost_agent_objects"] >= float64(servers)
			})
			before := agentMetrics(settings.Control)
			const idle = 10 * time.Second // CPU time is measured over this period
			time.Sleep(idle)
			after := agentMetrics(settings.Control)
			b.ReportMetric(after["process_resident_memory_bytes"]/(1<<20), "MiB")
			b.ReportMetric(100*(after["process_cpu_seconds_total"]-before["process_cpu_seconds_total"])/idle.Seconds(), "%core")
		})
	}
}

// registerServers writes the registrations of backend servers to the platform.
func registerServers(b *testing.B, platform string, servers int) {
	b.Helper()
	store := adapter.OpenStore(platform, nil)
	defer store.Close()
	Eventually(b, "the platform serves", func() bool {
		_, err := store.List(context.Background(), configurer.ServerPrefix)
		return err == nil
	})
	var workers sync.WaitGroup
	const writers = 16
	for writer := range writers {
		workers.Go(func() {
			for n := writer; n < servers; n += writers {
				value, err := json.Marshal(messenger.Server{
					ID: fmt.Sprint("s", n), Service: "bay-console", Address: "10.20.30.40:8080", Domain: "sapporo",
					State: messenger.ServerLive, Incarnation: uint64(n), Slots: 2,
					Holdings: []messenger.Holding{{Snapshot: 1, Shard: n % 400, Shards: 400}},
				})
				if err == nil {
					_, err = store.Put(context.Background(), fmt.Sprint(configurer.ServerPrefix, "bay-console/s", n), value, storer.Absent)
				}
				if err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	workers.Wait()
}
