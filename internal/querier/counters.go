package querier

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Counters are the metrics of one query service.
type Counters struct {
	Queries *metrics.Counter
	Refused *metrics.Counter
	// Partial counts the answers that don't cover all shards.
	Partial *metrics.Counter
	// Primary counts the shards of all completed queries: one sub-request for each,
	// without hedges and retries.
	Primary *metrics.Counter
	// Sent counts the attempts that this entry sent to servers, Hedges those of them
	// that are hedges, and Failures those that failed without having been canceled.
	Sent     *metrics.Counter
	Hedges   *metrics.Counter
	Failures *metrics.Counter
	// Latency holds the latencies of the answered queries.
	Latency *metrics.Histogram
}

// NewCounters registers the counters of a service in a set. If the set is nil, the
// counters work but are not exported.
func NewCounters(set *metrics.Set, service string) *Counters {
	if set == nil {
		set = metrics.NewSet()
	}
	name := func(metric string) string {
		return fmt.Sprintf("rhubarbpost_%s{service=%q}", metric, service)
	}
	return &Counters{
		Queries:  set.GetOrCreateCounter(name("queries_total")),
		Refused:  set.GetOrCreateCounter(name("queries_refused_total")),
		Partial:  set.GetOrCreateCounter(name("queries_partial_total")),
		Primary:  set.GetOrCreateCounter(name("subrequests_primary_total")),
		Sent:     set.GetOrCreateCounter(name("subrequests_sent_total")),
		Hedges:   set.GetOrCreateCounter(name("subrequests_hedged_total")),
		Failures: set.GetOrCreateCounter(name("subrequests_failed_total")),
		Latency:  set.GetOrCreateHistogram(name("query_duration_seconds")),
	}
}
