package forwarder

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/budgeter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/rationer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/sequencer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// counters holds the metrics of a host.
type counters struct {
	set         *metrics.Set
	abandoned   *metrics.Counter
	servers     *metrics.Gauge
	hosts       *metrics.Gauge
	version     *metrics.Gauge
	extraLeft   *metrics.Gauge
	extraDenied *metrics.Counter
	missing     *metrics.Counter
	rewinds     *metrics.Counter
	draining    *metrics.Counter
	pauses      *metrics.Counter
	limited     *metrics.Gauge
	paced       *metrics.Gauge
	evacuated   *metrics.Gauge
	cold        *metrics.Gauge
	unreachable *metrics.Gauge
	suspected   *metrics.Gauge
	blocked     *metrics.Gauge
	// quotaBuckets is the number of organisations for which this host keeps the bucket.
	quotaBuckets *metrics.Gauge
	// organisations is the number of organisations in the configuration in force.
	organisations *metrics.Gauge
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:         set,
		abandoned:   set.NewCounter("rhubarbpost_requests_abandoned_total"),
		servers:     set.NewGauge("rhubarbpost_servers_usable", nil),
		hosts:       set.NewGauge("rhubarbpost_hosts_known", nil),
		version:     set.NewGauge("rhubarbpost_config_version", nil),
		extraLeft:   set.NewGauge("rhubarbpost_extra_attempts_left", nil),
		extraDenied: set.NewCounter("rhubarbpost_extra_attempts_denied_total"),
		missing:     set.NewCounter("rhubarbpost_parts_missing_total"),
		rewinds:     set.NewCounter("rhubarbpost_store_rewinds_total"),
		draining:    set.NewCounter("rhubarbpost_servers_announced_leaving_total"),
		pauses:      set.NewCounter("rhubarbpost_server_pauses_total"),
		limited:     set.NewGauge("rhubarbpost_servers_limited", nil),
		paced:       set.NewGauge("rhubarbpost_servers_paced", nil),
		evacuated:   set.NewGauge("rhubarbpost_domains_evacuated", nil),
		cold:        set.NewGauge("rhubarbpost_servers_cold", nil),
		unreachable: set.NewGauge("rhubarbpost_domains_unreachable", nil),
		suspected:   set.NewGauge("rhubarbpost_requests_suspected", nil),
		blocked:     set.NewGauge("rhubarbpost_requests_blocked", nil),

		quotaBuckets:  set.NewGauge("rhubarbpost_quota_buckets", nil),
		organisations: set.NewGauge("rhubarbpost_organisations", nil),
	}
}

// export adds the metrics whose values are kept outside of counters.
func (c *counters) export(f *Forwarder) {
	gauge := func(name string, value func() float64) { c.set.NewGauge("rhubarbpost_"+name, value) }
	// The metrics library has no counter that is read from a function.
	counter := func(name string, value func() uint64) {
		c.set.NewGauge("rhubarbpost_"+name, func() float64 { return float64(value()) })
	}
	gauge("requests_in_flight", func() float64 { return float64(f.callers.InFlight()) })
	gauge("caller_body_buffer_bytes", func() float64 { return float64(f.bodies.reserved.Load() + f.bodies.medium.Load()) })
	gauge("request_head_bytes", func() float64 { return float64(f.heads.Used()) })
	for _, use := range budgeter.Uses() {
		label := fmt.Sprintf("{use=%q}", use)
		gauge("client_memory_bytes"+label, func() float64 { return float64(f.account.Used(use)) })
		gauge("client_memory_limit_bytes"+label, func() float64 { return float64(f.account.Limit(use)) })
		counter("client_memory_refused_total"+label, func() uint64 { return f.account.Refused(use) })
	}
	gauge("client_connections_open", func() float64 { return float64(f.callers.Connections()) })
	gauge("client_connections_limit", func() float64 { return float64(f.machine.MaxConnections()) })
	gauge("requests_waiting", func() float64 { return float64(f.turns.state().Waiting) })
	gauge("admitted_work_seconds", func() float64 { return f.turns.state().Load.Seconds() })
	gauge("processor_pace", func() float64 { return f.turns.state().Pace })
	gauge("server_connections_open", func() float64 { return float64(f.client.connsOpen.Load()) })
	counter("server_connections_opened_total", f.client.connsOpened.Load)
	gauge("config_age_seconds", func() float64 { return ageSeconds(&f.configConfirmed) })
	gauge("servers_age_seconds", func() float64 { return ageSeconds(&f.serversConfirmed) })
	if f.cfg.LinesDropped != nil {
		counter("log_lines_dropped_total", f.cfg.LinesDropped)
	}
}

// ageSeconds returns the time since a moment given in Unix nanoseconds, or -1 if
// it is unset.
func ageSeconds(at *atomic.Int64) float64 {
	nanos := at.Load()
	if nanos == 0 {
		return -1
	}
	return time.Since(time.Unix(0, nanos)).Seconds()
}

// updateBudget records how many hedges and retries are left for the service that has
// the fewest, and how many were denied in total.
func (c *counters) updateBudget(m *scatterer.Machine) {
	left, ok := m.ExtraBudgetLeft()
	if ok {
		c.extraLeft.Set(left)
	}
	c.extraDenied.Set(m.ExtraBudgetDenied())
}

// answered records an answered request by the kind of its route, with the number of
// missing shards.
func (c *counters) answered(route *matcher.Route, took time.Duration, missing int) {
	c.missing.Add(missing)
	whole := missing == 0
	kind := "single"
	_, ok := route.Target.(*matcher.Sharded)
	if ok {
		kind = "sharded"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_requests_answered_total{kind=%q,whole=\"%t\"}", kind, whole)).Inc()
	c.set.GetOrCreateHistogram(fmt.Sprintf("rhubarbpost_request_duration_seconds{kind=%q}", kind)).Update(took.Seconds())
}

func (c *counters) refused(code classifier.Code) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_requests_refused_total{result=%q}", code)).Inc()
}

// sequenced records a request that was admitted after it had waited, or refused for want of room.
func (c *counters) sequenced(d sequencer.Decision) {
	if d.Admitted {
		c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_requests_admitted_after_waiting_total{rank=%q}", d.Rank)).Inc()
		return
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_requests_without_room_total{reason=%q,rank=%q}", d.Reason, d.Rank)).Inc()
}

// unidentified records a request that was refused because of its key.
func (c *counters) unidentified(reason keyProblem) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_callers_unidentified_total{reason=%q}", reason)).Inc()
}

// headRefused records a head that was refused, by the status of the refusal.
func (c *counters) headRefused(status int) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_heads_refused_total{status=\"%d\"}", status)).Inc()
}

// connectionClosed records a client's connection that was closed for want of room, by whether it had
// waited for a request or was new.
func (c *counters) connectionClosed(waited bool) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_client_connections_closed_total{waited=\"%t\"}", waited)).Inc()
}

// sent records an attempt by its reason and by whether the server is in the host's
// own failure domain.
func (c *counters) sent(reason scatterer.Reason, own bool) {
	domain := "other"
	if own {
		domain = "own"
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_attempts_sent_total{reason=%q,domain=%q}", reason, domain)).Inc()
}

// sentToLimited records an attempt at a server that has announced a limit.
func (c *counters) sentToLimited(reason scatterer.Reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_limited_attempts_total{reason=%q}", reason)).Inc()
}

func (c *counters) attempt(code classifier.Code) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_attempts_ended_total{result=%q}", code)).Inc()
}

// brokenOff records an attempt whose connection has ended before the answer was complete.
func (c *counters) brokenOff(end serverEnd) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_attempts_broken_off_total{server=%q}", end)).Inc()
}

// verdict records a changed verdict on a request.
func (c *counters) verdict(after vetter.Verdict) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_verdicts_total{verdict=%q}", after)).Inc()
}

// recordCall records a message with records that this host has sent.
func (c *counters) recordCall(err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_record_calls_total{ok=\"%t\"}", err == nil)).Inc()
}

func (c *counters) storeCall(call string, err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_store_calls_total{call=%q,ok=\"%t\"}", call, err == nil)).Inc()
}

func (c *counters) peerCall(err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_peer_calls_total{ok=\"%t\"}", err == nil)).Inc()
}

// tokenAsk records an ask of this host for tokens.
func (c *counters) tokenAsk(err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_token_asks_total{ok=\"%t\"}", err == nil)).Inc()
}

// quotaSpent records a request that was charged to a quota.
func (c *counters) quotaSpent(charge rationer.Charge) {
	result := "admitted"
	if charge.Alone() {
		result = "admittedAlone"
	}
	c.quotaRequest(result)
}

// quotaDenied records a request that was refused for its quota.
func (c *counters) quotaDenied(denial *rationer.Denial) {
	result := "refused"
	if denial.Unanswered {
		result = "unanswered"
	}
	c.quotaRequest(result)
}

// quotaReturned records a request that has not run.
func (c *counters) quotaReturned(inTime bool) {
	result := "returned"
	if !inTime {
		result = "returnedLate"
	}
	c.quotaRequest(result)
}

func (c *counters) quotaRequest(result string) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_quota_requests_total{result=%q}", result)).Inc()
}

// quotaAsk records an ask of this host for tokens of a quota.
func (c *counters) quotaAsk(err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_quota_asks_total{ok=\"%t\"}", err == nil)).Inc()
}

// quotaTokens records tokens of quotas that this host has granted, lent or borrowed.
func (c *counters) quotaTokens(what string, n float64) {
	if n > 0 {
		c.set.GetOrCreateFloatCounter(fmt.Sprintf("rhubarbpost_quota_tokens_total{what=%q}", what)).Add(n)
	}
}

// relayed records the end of a relay of this host.
func (c *counters) relayed(err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_relays_sent_total{ok=\"%t\"}", err == nil)).Inc()
}

// relayAccepted records a request of another host if it is a relay.
func (c *counters) relayAccepted(terms relayTerms, accepted bool) {
	if !terms.relayed {
		return
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_relays_received_total{accepted=\"%t\"}", accepted)).Inc()
}

// pathProbed records the result of a probe of the path to a failure domain.
func (c *counters) pathProbed(result detector.ProbeResult) {
	name := "silent"
	switch result {
	case detector.Connected:
		name = "connected"
	case detector.Refused:
		name = "refused"
	case detector.Silent:
	}
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_path_probes_total{result=%q}", name)).Inc()
}

func (c *counters) delegated(err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_queries_handed_over_total{ok=\"%t\"}", err == nil)).Inc()
}
