package forwarder

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/sequencer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

const (
	// defaultHedgeFraction is the fraction of the latency objective after which a hedge
	// of a late shard still has time to answer.
	defaultHedgeFraction = 0.33
	// defaultLateFactor is above 1 to allow for errors of the expected latency and of
	// a route's typical latency, which is a mean and rises with queueing.
	defaultLateFactor = 1.5
	// defaultSliceParts is the least number of shards of another failure domain for
	// which a host there gathers a slice. With fewer, the call between the hosts
	// costs more than it saves.
	defaultSliceParts = 3
	// defaultSliceFactor is less than defaultHedgeFraction: slices are sent only while
	// servers are expected to answer before a late shard would be hedged.
	defaultSliceFactor = 0.3
	// defaultAdmissionDepth is about the work of two queries on the smallest planned hosts.
	defaultAdmissionDepth = 80 * time.Millisecond
)

// Policy holds the parameters of routing decisions. An absent parameter has its
// default; 0 turns off the mechanism that a parameter controls.
type Policy struct {
	// HedgeFraction is the fraction of the latency objective after which a late
	// sub-request is hedged.
	HedgeFraction *float64 `json:"hedgeFraction"`
	// Retries allows a failed sub-request to be retried at another server.
	Retries *bool `json:"retries"`
	// LateFactor is the multiple of the time left to the latency objective above which
	// the expected latency of an idempotent request causes its refusal.
	LateFactor *float64 `json:"lateFactor"`
	// SliceParts is the least number of sub-requests that a host of another failure
	// domain gathers as a slice; SliceFactor is the fraction of the time left to
	// the latency objective within which the answers that a query requires must be
	// expected for slices to be used.
	SliceParts  *int     `json:"sliceParts"`
	SliceFactor *float64 `json:"sliceFactor"`
	// LatencyMemory is how long the observed latencies and failures of a server count
	// in the choice of servers.
	LatencyMemory *decoder.Duration `json:"latencyMemory"`
	// ReportLife is how long a load report of a server counts in the choice of
	// servers.
	ReportLife *decoder.Duration `json:"reportLife"`
	// QueueCost is the cost that each request ahead adds at a server with two slots,
	// as a multiple of the typical latency.
	QueueCost *float64 `json:"queueCost"`
	// ForeignCost is the fraction by which a server of another failure domain must
	// be faster to be preferred.
	ForeignCost *float64 `json:"foreignCost"`
	// FailureCost is the cost added for a failure rate of 1, as a multiple of the
	// typical latency.
	FailureCost *float64 `json:"failureCost"`
	// AgeCost adds the age of the oldest outstanding request to the cost of its
	// server once that age exceeds twice the expected latency.
	AgeCost *bool `json:"ageCost"`
	// SuspectAfter is how long a server must have been slow to become a suspect: once
	// its observed latencies no longer count, only a few requests probe it.
	SuspectAfter *decoder.Duration `json:"suspectAfter"`
	// SuspendAfter is the number of consecutive failures after which a server is
	// suspended.
	SuspendAfter *int `json:"suspendAfter"`
	// DomainSilence is how long attempts at the servers of a failure domain must have
	// stayed unanswered until the domain is taken to be unreachable.
	DomainSilence *decoder.Duration `json:"domainSilence"`
	// PathDoubt is how long attempts at the servers of a failure domain may stay unanswered
	// until the path to it is probed; 0 turns off what depends on these probes.
	PathDoubt *decoder.Duration `json:"pathDoubt"`
	// Relays lets requests whose servers can't be reached be sent through another host.
	Relays *bool `json:"relays"`
	// VetRequests holds back requests under which backend servers have ended.
	VetRequests *bool `json:"vetRequests"`
	// AdmissionDepth is how much work, as time of the host, is admitted before requests wait
	// for their turn. Without it, they do so only if the configuration has organisations.
	AdmissionDepth *decoder.Duration `json:"admissionDepth"`
	// PauseMemory is how long after a pause (Retry-After) a server without a free slot
	// is avoided if another server is available, as it may reject requests.
	PauseMemory *decoder.Duration `json:"pauseMemory"`
	// Pace raises the share of requests that a server gets after it has started or recovered by
	// how it answers. By default it is on where the terms of the deployment have "health".
	Pace *bool `json:"pace"`
}

// valueOr returns the value of a setting, or its default.
func valueOr[T any](value *T, otherwise T) T {
	if value == nil {
		return otherwise
	}
	return *value
}

func durationOr(value *decoder.Duration, otherwise time.Duration) time.Duration {
	if value == nil {
		return otherwise
	}
	return value.Value()
}

// scatterer returns the settings of the scatterer.
func (s Settings) scatterer() scatterer.Config {
	p := s.Policy
	reach := detector.DefaultConfig()
	reach.DoubtAfter = durationOr(p.PathDoubt, reach.DoubtAfter)
	return scatterer.Config{
		Placer:              s.placer(),
		Detector:            reach,
		Relays:              valueOr(p.Relays, true),
		Vetting:             valueOr(p.VetRequests, true),
		VettingSeed:         rand.Uint64(),
		AnswerMargin:        answerMargin,
		SubRequestMargin:    subRequestMargin,
		HedgeFraction:       valueOr(p.HedgeFraction, defaultHedgeFraction),
		Retries:             valueOr(p.Retries, true),
		LateFactor:          valueOr(p.LateFactor, defaultLateFactor),
		Hosts:               assumedHosts,
		Extra:               s.Extra.planned(),
		MinSliceSubRequests: valueOr(p.SliceParts, defaultSliceParts),
		SliceFactor:         valueOr(p.SliceFactor, defaultSliceFactor),
	}
}

func (s Settings) placer() placer.Config {
	p, cfg := s.Policy, placer.DefaultConfig(s.Domain)
	if s.paces() {
		cfg.Pace, cfg.Host = true, s.Name
	}
	cfg.ObservationMaxAge = durationOr(p.LatencyMemory, cfg.ObservationMaxAge)
	cfg.LoadReportMaxAge = durationOr(p.ReportLife, cfg.LoadReportMaxAge)
	cfg.QueueCost = valueOr(p.QueueCost, cfg.QueueCost)
	cfg.CrossDomainPenalty = valueOr(p.ForeignCost, cfg.CrossDomainPenalty)
	cfg.FailurePenalty = valueOr(p.FailureCost, cfg.FailurePenalty)
	cfg.OverduePenalty = valueOr(p.AgeCost, cfg.OverduePenalty)
	cfg.SuspectAfter = durationOr(p.SuspectAfter, cfg.SuspectAfter)
	cfg.SuspendAfter = valueOr(p.SuspendAfter, cfg.SuspendAfter)
	cfg.UnreachableAfter = durationOr(p.DomainSilence, cfg.UnreachableAfter)
	cfg.OverloadMaxAge = durationOr(p.PauseMemory, cfg.OverloadMaxAge)
	return cfg
}

// sequencer returns the settings of the admission of callers' requests at a host.
func (p Policy) sequencer(self delegator.Host) sequencer.Config {
	depth := durationOr(p.AdmissionDepth, defaultAdmissionDepth)
	if depth == 0 {
		// Nothing arrives any more, but what waits is admitted.
		depth = defaultAdmissionDepth
	}
	return sequencer.Config{
		ProcessorRate: self.ProcessorRate(), LinkRate: self.LinkRate(),
		Depth: depth,
	}
}

// sequences reports whether requests wait for their turn while the host is short of room.
func (p Policy) sequences(table *matcher.Table) bool {
	if p.AdmissionDepth == nil {
		return table.HasOrganisations()
	}
	return p.AdmissionDepth.Value() > 0
}

// check records the problems of a policy.
func (p Policy) check(c *settingsChecker) {
	fraction := func(value *float64, name string) {
		c.require(valueOr(value, 0) >= 0 && valueOr(value, 0) <= 1, "out of range", "0 to 1", "policy", name)
	}
	atLeast0 := func(value float64, name string) {
		c.require(value >= 0, "negative", "0 or more", "policy", name)
	}
	fraction(p.HedgeFraction, "hedgeFraction")
	fraction(p.SliceFactor, "sliceFactor")
	atLeast0(valueOr(p.LateFactor, 0), "lateFactor")
	atLeast0(float64(valueOr(p.SliceParts, 0)), "sliceParts")
	atLeast0(valueOr(p.QueueCost, 0), "queueCost")
	atLeast0(valueOr(p.ForeignCost, 0), "foreignCost")
	atLeast0(valueOr(p.FailureCost, 0), "failureCost")
	atLeast0(float64(valueOr(p.SuspendAfter, 0)), "suspendAfter")
	duration := func(d *decoder.Duration, name string) {
		c.require(valueOr(d, decoder.Duration{}).Invalid() == "" && durationOr(d, 0) >= 0, "not a duration", `a duration such as "500ms", or "0s"`, "policy", name)
	}
	duration(p.LatencyMemory, "latencyMemory")
	duration(p.ReportLife, "reportLife")
	duration(p.SuspectAfter, "suspectAfter")
	duration(p.DomainSilence, "domainSilence")
	duration(p.PathDoubt, "pathDoubt")
	duration(p.PauseMemory, "pauseMemory")
	duration(p.AdmissionDepth, "admissionDepth")
}
