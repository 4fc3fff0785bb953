package forwarder

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// counters are the metrics of a host.
type counters struct {
	set       *metrics.Set
	abandoned *metrics.Counter
	servers   *metrics.Gauge
	hosts     *metrics.Gauge
	version   *metrics.Gauge
}

func newCounters() *counters {
	set := metrics.NewSet()
	return &counters{
		set:       set,
		abandoned: set.NewCounter("rhubarbpost_requests_abandoned_total"),
		servers:   set.NewGauge("rhubarbpost_servers_usable", nil),
		hosts:     set.NewGauge("rhubarbpost_hosts_known", nil),
		version:   set.NewGauge("rhubarbpost_config_version", nil),
	}
}

// answered notes an answered request by the kind of its route.
func (c *counters) answered(route *matcher.Route, took time.Duration, whole bool) {
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

func (c *counters) sent(reason scatterer.Reason) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_attempts_sent_total{reason=%q}", reason)).Inc()
}

func (c *counters) attempt(code classifier.Code) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_attempts_ended_total{result=%q}", code)).Inc()
}

func (c *counters) storeCall(call string, err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_store_calls_total{call=%q,ok=\"%t\"}", call, err == nil)).Inc()
}

func (c *counters) peerCall(err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_peer_calls_total{ok=\"%t\"}", err == nil)).Inc()
}

func (c *counters) handedOver(err error) {
	c.set.GetOrCreateCounter(fmt.Sprintf("rhubarbpost_queries_handed_over_total{ok=\"%t\"}", err == nil)).Inc()
}
