package generator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// maxLatency is the highest latency that the histogram can record.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of the histogram.
	latencyDigits = 3
	// readyPollInterval is the time between two checks while waiting for the entries.
	readyPollInterval = 100 * time.Millisecond
)

// Config describes one run of the load generator.
type Config struct {
	Entries      []string `json:"entries"`
	Platform     string   `json:"platform"`
	QueryService string   `json:"queryService"`
	OrderService string   `json:"orderService"`
	// Ticketed is whether orders are submitted with tickets instead of idempotency keys.
	Ticketed bool `json:"ticketed"`
	Queries  int  `json:"queries"`
	Orders   int  `json:"orders"`
	// RatePerSecond is the open-loop rate of queries and orders together.
	RatePerSecond float64 `json:"ratePerSecond"`
	// WaitMillis bounds the wait for all entries to be ready, in milliseconds.
	WaitMillis int64  `json:"waitMillis"`
	Seed       uint64 `json:"seed"`
}

// Summary holds the counts and measurements of one run, as the callers saw it.
type Summary struct {
	Queries int
	Failed  int
	Refused int
	// Refusals counts the refused queries by their result code.
	Refusals      map[classifier.Code]int
	Latency       *hdrhistogram.Histogram
	ShardsCovered int
	ShardsTotal   int
	MinCoverage   float64
	Wrong         int
	OrdersDone    int
	OrdersNotRun  int
	OrdersUnknown int
	// OrdersRun counts the orders that the searchers ran during the load, OrdersRunTwice
	// those of them that ran more than once.
	OrdersRun      int
	OrdersRunTwice int
	// ExtraLoad is the ratio of all sub-requests sent to the primary ones (those that
	// are neither hedges nor retries), minus 1.
	ExtraLoad float64
	// CPUPerSubRequest is the CPU time of all entries divided by the number of
	// sub-requests sent. MaxEntryMemory is the largest resident memory of an entry, in
	// bytes.
	CPUPerSubRequest time.Duration
	MaxEntryMemory   float64
	SampleAnswer     *messenger.QueryAnswer
}

// Run waits until all entries are ready, sends the load and returns its summary.
func Run(ctx context.Context, cfg Config, store storer.Store) (*Summary, error) {
	b := newBalancer(cfg.Entries, cfg.Seed)
	watchCtx, stop := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	defer watcher.Wait()
	defer stop()
	watcher.Go(func() { b.watch(watchCtx) })
	err := waitReady(ctx, b, cfg)
	if err != nil {
		return nil, err
	}
	before := b.readEntryMetrics(ctx, cfg.QueryService)
	ranBefore, err := orderRuns(ctx, b, store, cfg.OrderService)
	if err != nil {
		return nil, err
	}
	s := &Summary{Latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits), MinCoverage: 1, Refusals: make(map[classifier.Code]int)}
	send(ctx, b, cfg, s)
	after := b.readEntryMetrics(ctx, cfg.QueryService)
	s.ExtraLoad = before.extraLoad(after)
	s.CPUPerSubRequest = before.cpuPerSubRequest(after)
	s.MaxEntryMemory = after.memory
	ran, err := orderRuns(ctx, b, store, cfg.OrderService)
	s.countRuns(ranBefore, ran)
	return s, err
}

func waitReady(ctx context.Context, b *balancer, cfg Config) error {
	deadline := time.Now().Add(time.Duration(cfg.WaitMillis) * time.Millisecond)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if allReady(ctx, b, cfg) {
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	return errors.New("not all entries became ready with servers of both services within waitMillis")
}

// allReady reports whether each entry is ready and has live servers of both services.
func allReady(ctx context.Context, b *balancer, cfg Config) bool {
	b.mu.Lock()
	ready := len(b.ready)
	b.mu.Unlock()
	if ready < len(cfg.Entries) {
		return false
	}
	for _, entry := range cfg.Entries {
		for _, service := range []string{cfg.QueryService, cfg.OrderService} {
			status, err := b.status(ctx, entry, service)
			if err != nil || status.ServersLive == 0 {
				return false
			}
		}
	}
	return true
}

func (b *balancer) status(ctx context.Context, entry, service string) (messenger.ServiceStatus, error) {
	var status messenger.ServiceStatus
	answer, err := b.get(ctx, entry, "/v1/services/"+service)
	if err != nil {
		return status, err
	}
	err = json.Unmarshal(answer.body, &status)
	return status, err
}

// send sends queries and orders in random order, as a Poisson process of the
// configured rate, and waits for their responses.
func send(ctx context.Context, b *balancer, cfg Config, s *Summary) {
	random := rand.New(rand.NewPCG(cfg.Seed, cfg.Seed+1))
	queries, orders := cfg.Queries, cfg.Orders
	var mu sync.Mutex
	var workers sync.WaitGroup
	defer workers.Wait()
	for n := 0; queries+orders > 0 && ctx.Err() == nil; n++ {
		interval := random.ExpFloat64() / cfg.RatePerSecond
		time.Sleep(time.Duration(interval * float64(time.Second)))
		if random.IntN(queries+orders) < queries {
			queries--
			workers.Go(func() { s.runQuery(ctx, b, cfg.QueryService, n, &mu) })
			continue
		}
		orders--
		workers.Go(func() { s.runOrder(ctx, b, cfg, n, &mu) })
	}
}

func (s *Summary) runQuery(ctx context.Context, b *balancer, service string, n int, mu *sync.Mutex) {
	start := time.Now()
	answer, code, err := b.query(ctx, service, n)
	latency := time.Since(start)
	mu.Lock()
	defer mu.Unlock()
	s.Queries++
	switch {
	case err != nil:
		s.Failed++
	case answer == nil && code.Definition().Status == http.StatusServiceUnavailable:
		s.Refused++
		s.Refusals[code]++
	case answer == nil:
		s.Failed++
	default:
		_ = s.Latency.RecordValue(latency.Microseconds())
		s.addAnswer(answer, n)
	}
}

func (s *Summary) addAnswer(answer *messenger.QueryAnswer, n int) {
	s.ShardsCovered += answer.Coverage.ShardsCovered
	s.ShardsTotal += answer.Coverage.ShardsTotal
	coverage := float64(answer.Coverage.ShardsCovered) / float64(max(answer.Coverage.ShardsTotal, 1))
	s.MinCoverage = math.Min(s.MinCoverage, coverage)
	if !consistent(answer, n) {
		s.Wrong++
	}
	s.SampleAnswer = answer
}

// consistent reports whether an answer is for its request, its row and shard
// counts agree with its content, and all rows are from its snapshot.
func consistent(answer *messenger.QueryAnswer, n int) bool {
	if answer.RequestID != "load-"+strconv.Itoa(n) || answer.RowCount != len(answer.Rows) {
		return false
	}
	if answer.Coverage.ShardsCovered+len(answer.Coverage.Missing) != answer.Coverage.ShardsTotal {
		return false
	}
	for _, row := range answer.Rows {
		var r struct {
			Snapshot uint64 `json:"snapshot"`
		}
		err := json.Unmarshal(row, &r)
		if err != nil || r.Snapshot != answer.Snapshot {
			return false
		}
	}
	return true
}

func (s *Summary) runOrder(ctx context.Context, b *balancer, cfg Config, n int, mu *sync.Mutex) {
	code := b.order(ctx, cfg, n)
	mu.Lock()
	defer mu.Unlock()
	switch code.Definition().Outcome {
	case classifier.Done:
		s.OrdersDone++
	case classifier.NotRun:
		s.OrdersNotRun++
	case classifier.Unknown:
		s.OrdersUnknown++
	}
}

// entryMetrics sums up the metrics of all entries: the sub-requests of one
// service, and the use of CPU and memory.
type entryMetrics struct {
	// primary counts sub-requests without hedges and retries, sent counts all.
	primary float64
	sent    float64
	// cpuSeconds is the CPU time of all entries; memory is the largest resident
	// memory of an entry, in bytes.
	cpuSeconds float64
	memory     float64
}

// cpuPerSubRequest returns the CPU time per sub-request sent between s and later.
func (s entryMetrics) cpuPerSubRequest(later entryMetrics) time.Duration {
	sent := later.sent - s.sent
	if sent <= 0 {
		return 0
	}
	return time.Duration((later.cpuSeconds - s.cpuSeconds) / sent * float64(time.Second))
}

// extraLoad returns the ratio of all sub-requests sent between s and later to
// the primary ones, minus 1.
func (s entryMetrics) extraLoad(later entryMetrics) float64 {
	primary := later.primary - s.primary
	if primary <= 0 {
		return 0
	}
	return (later.sent-s.sent)/primary - 1
}

var processMetric = regexp.MustCompile(`(?m)^process_(cpu_seconds_total|resident_memory_bytes) (\S+)`)

var subRequestMetric = regexp.MustCompile(`(?m)^rhubarbpost_subrequests_(primary|sent)_total\{service="([^"]+)"\} (\d+)`)

// readEntryMetrics reads the metrics of all entries; one that does not respond is left out.
func (b *balancer) readEntryMetrics(ctx context.Context, service string) entryMetrics {
	var total entryMetrics
	for _, entry := range b.entries {
		answer, err := b.get(ctx, entry, "/metrics")
		if err != nil {
			continue
		}
		total.addProcessMetrics(answer.body)
		for _, match := range subRequestMetric.FindAllSubmatch(answer.body, -1) {
			value, err := strconv.ParseFloat(string(match[3]), 64)
			if err != nil || string(match[2]) != service {
				continue
			}
			if string(match[1]) == "primary" {
				total.primary += value
			} else {
				total.sent += value
			}
		}
	}
	return total
}

// countRuns compares two results of orderRuns. It sets OrdersRun to the number of
// orders that ran between the two, and OrdersRunTwice to how many of these have run
// more than once.
func (s *Summary) countRuns(before, after map[string]int) {
	for id, n := range after {
		if before[id] == n {
			continue
		}
		s.OrdersRun++
		if n > 1 {
			s.OrdersRunTwice++
		}
	}
}

// addProcessMetrics adds the CPU time of one entry from its metrics, and takes its
// resident memory if it is the largest so far.
func (s *entryMetrics) addProcessMetrics(body []byte) {
	for _, match := range processMetric.FindAllSubmatch(body, -1) {
		value, err := strconv.ParseFloat(string(match[2]), 64)
		switch {
		case err != nil:
		case string(match[1]) == "cpu_seconds_total":
			s.cpuSeconds += value
		default:
			s.memory = max(s.memory, value)
		}
	}
}

// orderRuns returns how often each order id has run, summed over all searchers
// of a service.
func orderRuns(ctx context.Context, b *balancer, store storer.Store, service string) (map[string]int, error) {
	addresses, err := b.searchers(ctx, store, service)
	if err != nil {
		return nil, err
	}
	runs := make(map[string]int)
	for _, address := range addresses {
		answer, err := b.get(ctx, address, "/orders")
		if err != nil {
			return nil, err
		}
		var counts map[string]int
		err = json.Unmarshal(answer.body, &counts)
		if err != nil {
			return nil, err
		}
		for id, n := range counts {
			runs[id] += n
		}
	}
	return runs, nil
}

// searchers returns the addresses of a service's searchers. They are listed once,
// since the platform may be unavailable later in the run.
func (b *balancer) searchers(ctx context.Context, store storer.Store, service string) ([]string, error) {
	if b.searcherAddresses != nil {
		return b.searcherAddresses, nil
	}
	page, err := store.List(ctx, configurer.ServerPrefix+service+"/")
	if err != nil {
		return nil, err
	}
	for _, object := range page.Objects {
		var server messenger.Server
		err = json.Unmarshal(object.Value, &server)
		if err != nil {
			return nil, err
		}
		b.searcherAddresses = append(b.searcherAddresses, server.Address)
	}
	return b.searcherAddresses, nil
}

// Passed reports whether no query failed, no answer was wrong and no order ran
// more than once.
func (s *Summary) Passed() bool {
	return s.Wrong == 0 && s.OrdersRunTwice == 0 && s.Failed == 0
}

// Print writes a sample answer in full and the summary as a table.
func (s *Summary) Print(w io.Writer) error {
	if s.SampleAnswer != nil {
		data, err := json.MarshalIndent(s.SampleAnswer, "", "  ")
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(w, "%s\n\n", data)
	}
	coverage := float64(s.ShardsCovered) / float64(max(s.ShardsTotal, 1))
	_, err := fmt.Fprintf(w, `queries             %d (refused %d, failed %d, wrong %d)
p50 / p99           %v / %v
coverage            mean %.4f, least %.4f
extra load          %.2f%%
entries             %v of processor time a sub-request, %.0f MiB
orders              done %d, not run %d, unknown %d
double runs         %d
`, s.Queries, s.Refused, s.Failed, s.Wrong, s.quantile(50), s.quantile(99), coverage, s.MinCoverage,
		100*s.ExtraLoad, s.CPUPerSubRequest, s.MaxEntryMemory/(1<<20), s.OrdersDone, s.OrdersNotRun, s.OrdersUnknown, s.OrdersRunTwice)
	return err
}

func (s *Summary) quantile(q float64) time.Duration {
	return time.Duration(s.Latency.ValueAtQuantile(q)) * time.Microsecond
}
