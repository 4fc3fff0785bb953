package bencher

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/searcher"
	"github.com/rhubarbpost/rhubarbpost/internal/querier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

const (
	// serviceMedian and serviceSigma describe the log-normal service time of a searcher.
	serviceMedian = 8 * time.Millisecond
	serviceSigma  = 0.4
	// searcherQueue is the queue length of a searcher, in sub-requests.
	searcherQueue = 64
	// maxLatency is the highest latency that the histograms can record.
	maxLatency = time.Minute
	// latencyDigits is the number of significant digits of the histograms.
	latencyDigits = 3
	// sameDomainDelay is the one-way network delay within a failure domain.
	sameDomainDelay = 100 * time.Microsecond
	initialSnapshot = 1
)

// Fault is the kind of fault or change that a run injects.
type Fault string

// The faults and changes. All runs but NoFault have stragglers, also before the fault.
const (
	NoFault           Fault = "calm"
	Stragglers        Fault = "stragglers"    // nothing but the stragglers
	SlowReplica       Fault = "slowReplica"   // one searcher is slow
	SlowShard         Fault = "slowShard"     // all searchers of one shard are slow
	ReplicaLost       Fault = "replicaLost"   // one searcher refuses connections
	DomainPartitioned Fault = "domainCut"     // one failure domain is partitioned from the others
	VersionSwitch     Fault = "versionSwitch" // the searchers switch to the next snapshot
	Repartition       Fault = "repartition"   // the same with another number of shards, and back
	Drain             Fault = "drain"         // some searchers drain
	FalseReports      Fault = "falseReports"  // the searchers report a false load
	OwnerKilled       Fault = "ownerKilled"   // one entry refuses connections
	OwnerFrozen       Fault = "ownerFrozen"   // one entry stops answering, with its connections open
)

// Scenario describes the system, load and fault of one run.
type Scenario struct {
	Document configurer.Document
	Domains  []string
	// CrossDomainDelay is the one-way network delay between failure domains.
	CrossDomainDelay time.Duration
	// ConnectionCost is the time to open a connection.
	ConnectionCost time.Duration
	Shards         int
	// Replicas is the number of searchers of each shard, Slots the number of requests
	// that each runs concurrently.
	Replicas int
	Slots    int
	// Entries is the number of simulated processes that serve callers.
	Entries int
	// Load is the query rate as a fraction of the capacity of the searchers' slots.
	Load    float64
	Queries int
	Fault   Fault
	Tuning  querier.Tuning
	Seed    uint64
	// Skew is the ratio of the first entry's traffic to that of each other entry; 0 means 1.
	Skew float64
}

// Result holds the counts and measurements of one run, as the callers saw it.
type Result struct {
	Latency  *hdrhistogram.Histogram
	Answered int
	// Refused counts failures whose code says that the query has not run, or that a
	// shard is overloaded; Failed counts all others.
	Refused int
	Failed  int
	// Late counts answers after their deadline. Wrong counts answers to another
	// request, with rows of several snapshots, or with rows or counts that
	// contradict the stated coverage.
	Late  int
	Wrong int
	// Incomplete counts answers that lack a reachable shard, to queries that began
	// more than partitionDetectionTime after a partition.
	Incomplete int
	// CoverageMean and CoverageMin are the fractions of the shards that an answer covers.
	CoverageMean float64
	CoverageMin  float64
	// ExtraLoad is the ratio of all sub-requests sent to the primary ones (those that
	// are neither hedges nor retries), minus 1.
	ExtraLoad float64
	// MaxRefusalLatency is the longest time until a caller got a refusal.
	MaxRefusalLatency time.Duration
	// Goodput is the number of answers within their deadline per second.
	Goodput float64
	// Entries holds the counts of each entry.
	Entries []EntryCounts
}

// EntryCounts counts the queries that one entry received and answered.
type EntryCounts struct {
	Queries  int
	Answered int
}

// AnsweredShare returns the fraction of the queries that were answered.
func (c EntryCounts) AnsweredShare() float64 {
	return float64(c.Answered) / float64(max(c.Queries, 1))
}

// Quantile returns the latency at a percentile q from 0 to 100.
func (r *Result) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// MeanService returns the mean service time of a searcher, with the stragglers
// that all runs but NoFault have.
func MeanService(f Fault) time.Duration {
	mean := float64(serviceMedian) * math.Exp(serviceSigma*serviceSigma/2)
	if f != NoFault {
		mean *= 1 + stragglerRate*(stragglerFactor-1)
	}
	return time.Duration(mean)
}

// stragglerRate is the fraction of requests whose service time is multiplied by
// stragglerFactor.
const (
	stragglerRate   = 0.01
	stragglerFactor = 10
)

// Rate returns the query rate of a scenario, per second.
func (s Scenario) Rate() float64 {
	capacity := float64(s.Replicas*s.Slots) / MeanService(s.Fault).Seconds()
	return s.Load * capacity
}

type run struct {
	scenario Scenario
	nodes    []*node
	networks []*network
	engines  []*querier.Engine
	counters []*querier.Counters

	mu sync.Mutex
	// killed and frozen hold the entries that OwnerKilled and OwnerFrozen have stopped.
	killed map[int]bool
	frozen map[int]bool
	result *Result
	// coverageSum is the sum of the coverage of all answers.
	coverageSum float64
	start       time.Time
	// measureFrom is the time from which queries count.
	measureFrom time.Time
}

// Run runs a scenario; within a synctest bubble the time is virtual.
func Run(s Scenario) *Result {
	r := &run{scenario: s, killed: make(map[int]bool), frozen: make(map[int]bool), result: &Result{
		Latency: hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits), CoverageMin: 1,
		Entries: make([]EntryCounts, s.Entries),
	}}
	r.build()
	time.Sleep(time.Second)
	r.start = time.Now()
	r.measureFrom = r.start.Add(warmUp)
	var faults sync.WaitGroup
	faults.Go(r.inject)
	r.send()
	faults.Wait()
	r.finish()
	for _, engine := range r.engines {
		engine.Close()
	}
	// Canceled sub-requests end at the searchers with some delay; wait for them.
	time.Sleep(s.Document.MaxDeadline.Value())
	return r.result
}

// partitionDetectionTime is the time after a partition by which all entries have
// detected which servers they can reach.
const partitionDetectionTime = 4 * time.Second

// warmUp is how long a run lasts before queries count: 2 s before the fault and 2 s after it.
const warmUp = 4 * time.Second

func (r *run) build() {
	s := r.scenario
	nodes := make(map[string]*node)
	var servers []messenger.Server
	for shard := range s.Shards {
		for replica := range s.Replicas {
			n := r.newNode(shard, replica)
			r.nodes = append(r.nodes, n)
			nodes[n.server.ID] = n
			servers = append(servers, n.server)
		}
	}
	for i := range s.Entries {
		n := &network{
			domain: s.Domains[i%len(s.Domains)], crossDomainDelay: s.CrossDomainDelay, sameDomainDelay: sameDomainDelay, connectionCost: s.ConnectionCost,
			carrier: s.Document.Carrier, quota: s.Document.Connections.Quota(), nodes: nodes,
			partitioned: make(map[string]bool), pools: make(map[string]*pool),
		}
		counters := querier.NewCounters(nil, s.Document.Service)
		engine := querier.New(querier.Config{
			Document: s.Document, Backend: n, Seed: s.Seed + uint64(i), Tuning: s.Tuning, Counters: counters,
			Peers: r.peersOf(i),
		})
		engine.SetServers(servers)
		r.networks = append(r.networks, n)
		r.engines = append(r.engines, engine)
		r.counters = append(r.counters, counters)
	}
}

func (r *run) newNode(shard, replica int) *node {
	s := r.scenario
	cfg := searcher.Config{
		ID: fmt.Sprintf("%d-%d", shard, replica), Service: s.Document.Service, Slots: s.Slots, Queue: searcherQueue,
		Rows: 1, ServiceMedian: decoder.NewDuration(serviceMedian), ServiceSigma: serviceSigma,
		Seed:     s.Seed*1000 + uint64(shard*s.Replicas+replica),
		Holdings: []messenger.Holding{{Snapshot: initialSnapshot, Shard: shard, Shards: s.Shards}},
	}
	if s.Fault != NoFault {
		cfg.StragglerRate, cfg.StragglerFactor = stragglerRate, stragglerFactor
	}
	engine := searcher.NewEngine(cfg)
	return &node{engine: engine, server: messenger.Server{
		ID: cfg.ID, Service: cfg.Service, Domain: s.Domains[(shard+replica)%len(s.Domains)],
		State: messenger.ServerLive, Incarnation: engine.Incarnation(), Slots: cfg.Slots, Holdings: cfg.Holdings,
	}}
}

// send sends the queries as a Poisson process, each to a random entry, and waits
// for their responses.
func (r *run) send() {
	random := rand.New(rand.NewPCG(r.scenario.Seed, r.scenario.Seed+1))
	var workers sync.WaitGroup
	defer workers.Wait()
	rate := r.scenario.Rate()
	for n := range r.scenario.Queries {
		time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		entry := r.pickEntry(random)
		workers.Go(func() { r.query(entry, n) })
	}
}

// pickEntry simulates the balancer, which sends no requests to a killed or frozen entry.
func (r *run) pickEntry(random *rand.Rand) int {
	for {
		entry := r.drawEntry(random)
		if !r.isKilled(entry) && !r.isFrozen(entry) {
			return entry
		}
	}
}

func (r *run) drawEntry(random *rand.Rand) int {
	entries := r.scenario.Entries
	skew := max(r.scenario.Skew, 1)
	pick := random.Float64() * (skew + float64(entries-1))
	if pick < skew {
		return 0
	}
	return min(1+int(pick-skew), entries-1)
}

func (r *run) query(entry, n int) {
	start := time.Now()
	deadline := start.Add(r.scenario.Document.Deadline.Value())
	id := fmt.Sprint(n)
	answer, err := r.engines[entry].Query(context.Background(), querier.Request{
		RequestID: id, Caller: "caller", Deadline: deadline, Query: json.RawMessage(`{}`),
	})
	if start.Before(r.measureFrom) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	latency := time.Since(start)
	r.result.Entries[entry].Queries++
	if err != nil {
		r.addFailure(err, latency)
		return
	}
	r.addAnswer(entry, id, answer, latency, time.Now().After(deadline))
	if r.scenario.Fault == DomainPartitioned && start.After(r.start.Add(faultDelay+partitionDetectionTime)) && !r.coversAllReachable(entry, answer) {
		r.result.Incomplete++
	}
}

func (r *run) addFailure(err error, latency time.Duration) {
	code := classifier.CodeOf(err, classifier.ServerFailed)
	if code.NotRun() || code == classifier.ShardOverloaded {
		r.result.Refused++
		r.result.MaxRefusalLatency = max(r.result.MaxRefusalLatency, latency)
		return
	}
	r.result.Failed++
}

func (r *run) addAnswer(entry int, id string, answer *messenger.QueryAnswer, latency time.Duration, late bool) {
	r.result.Answered++
	r.result.Entries[entry].Answered++
	_ = r.result.Latency.RecordValue(latency.Microseconds())
	coverage := float64(answer.Coverage.ShardsCovered) / float64(answer.Coverage.ShardsTotal)
	r.coverageSum += coverage
	r.result.CoverageMin = min(r.result.CoverageMin, coverage)
	if late {
		r.result.Late++
	}
	if !r.consistent(entry, id, answer) {
		r.result.Wrong++
	}
}

// consistent reports whether an answer is for its request, all its rows are of
// one snapshot, and they match its stated coverage.
func (r *run) consistent(entry int, id string, answer *messenger.QueryAnswer) bool {
	c := answer.Coverage
	if answer.RequestID != id || c.ShardsCovered+len(c.Missing) != c.ShardsTotal || answer.RowCount != c.ShardsCovered {
		return false
	}
	present := make(map[string]bool)
	suffix := fmt.Sprintf(`"snapshot":%d}`, answer.Snapshot)
	for _, row := range answer.Rows {
		if !strings.HasSuffix(string(row), suffix) {
			return false
		}
		present[shardOfRow(row)] = true
	}
	for _, missing := range c.Missing {
		if present[fmt.Sprint(missing.Shard)] {
			return false
		}
	}
	return len(present) == c.ShardsCovered && r.coveragePossible(entry, answer)
}

// shardOfRow returns the shard that is part of the row's id, or "" if the row is invalid.
func shardOfRow(row json.RawMessage) string {
	var fields struct {
		ID string `json:"id"`
	}
	err := json.Unmarshal(row, &fields)
	if err != nil {
		return ""
	}
	shard, _, _ := strings.Cut(fields.ID, "-")
	return shard
}

// reachable returns the number of shards with a replica that an entry can reach.
func (r *run) reachable(entry int) int {
	shards := make(map[int]bool)
	for i, n := range r.nodes {
		if !r.networks[entry].isPartitioned(n.server.Domain) {
			shards[i/r.scenario.Replicas] = true
		}
	}
	return len(shards)
}

// coversAllReachable reports whether an answer covers every shard that its entry
// can reach, except those left out by the service's early-answer rule.
func (r *run) coversAllReachable(entry int, answer *messenger.QueryAnswer) bool {
	covered := answer.Coverage.ShardsCovered
	for _, missing := range answer.Coverage.Missing {
		if missing.Code == int(classifier.EarlyAnswer) {
			covered++
		}
	}
	return covered == r.reachable(entry)
}

// coveragePossible reports whether an answer covers no more shards than its entry can reach.
func (r *run) coveragePossible(entry int, answer *messenger.QueryAnswer) bool {
	return r.scenario.Fault != DomainPartitioned || answer.Coverage.ShardsCovered <= r.reachable(entry)
}

func (r *run) finish() {
	primary, sent := 0.0, 0.0
	for _, c := range r.counters {
		primary += float64(c.Primary.Get())
		sent += float64(c.Sent.Get())
	}
	r.result.ExtraLoad = sent/max(primary, 1) - 1
	r.result.CoverageMean = r.coverageSum / float64(max(r.result.Answered, 1))
	inTime := float64(r.result.Answered - r.result.Late)
	r.result.Goodput = inTime / time.Since(r.measureFrom).Seconds()
}
