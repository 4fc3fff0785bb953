package hedger

import (
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/limiter"
)

const (
	// shardSamples and serviceSamples are the window sizes of a shard and of the service.
	shardSamples   = 64
	serviceSamples = 512
	// samplesPerRefresh is the number of samples between two computations of the quantiles.
	samplesPerRefresh = 16
	// minServiceSamples is the number of samples of the service below which FirstDelay applies.
	minServiceSamples = 32
	// shardRatioMin and shardRatioMax bound the ratio of a shard's median latency to that
	// of the service, by which the hedge delay is scaled.
	shardRatioMin = 0.5
	shardRatioMax = 8
)

// Config holds the settings of a hedger.
type Config struct {
	// Quantile is the quantile of the latency that serves as the hedge delay.
	Quantile float64
	// MinDelay and MaxDelay bound the delay; FirstDelay is used while there are few samples.
	MinDelay   time.Duration
	MaxDelay   time.Duration
	FirstDelay time.Duration
	// Ratio is the number of hedges allowed per primary sub-request.
	Ratio float64
	// Burst is the number of tokens that the hedge budget can hold; a hedge takes one.
	Burst float64
}

// DefaultConfig returns the settings for the given ratio of hedges.
func DefaultConfig(ratio float64) Config {
	return Config{
		Quantile:   0.975,
		MinDelay:   time.Millisecond,
		MaxDelay:   100 * time.Millisecond,
		FirstDelay: 30 * time.Millisecond,
		Ratio:      ratio,
		Burst:      16,
	}
}

// window holds the most recent latencies of a shard or of the whole service.
type window struct {
	samples []time.Duration
	// size is the greatest number of samples, count the number of all samples so far.
	size  int
	count int
	// median and tail (the quantile of Config) are as of the last refresh.
	median time.Duration
	tail   time.Duration
}

// observe adds a sample and reports whether the quantiles are due for a refresh.
func (w *window) observe(latency time.Duration) bool {
	if len(w.samples) < w.size {
		w.samples = append(w.samples, latency)
	} else {
		w.samples[w.count%w.size] = latency
	}
	w.count++
	return w.count%samplesPerRefresh == 0
}

// refresh computes the median and the tail quantile in a scratch buffer.
func (w *window) refresh(scratch []time.Duration, quantile float64) {
	sorted := scratch[:len(w.samples)]
	copy(sorted, w.samples)
	slices.Sort(sorted)
	w.median = sorted[len(sorted)/2]
	w.tail = sorted[min(int(quantile*float64(len(sorted))), len(sorted)-1)]
}

// Hedger holds recent latencies and the hedge budget. The tail latency is measured
// over all shards, since a single shard has too few samples; for each shard it is
// scaled by the ratio of the shard's median to that of the service.
type Hedger struct {
	cfg     Config
	budget  limiter.Budget
	service window
	shards  []window
	scratch [serviceSamples]time.Duration
}

// New returns a hedger without samples.
func New(cfg Config) *Hedger {
	return &Hedger{
		cfg:     cfg,
		budget:  limiter.NewBudget(cfg.Ratio, cfg.Burst),
		service: window{size: serviceSamples},
	}
}

// ObserveLatency records the latency of a sub-request to a shard, or the time until it was canceled.
func (h *Hedger) ObserveLatency(shard int, latency time.Duration) {
	if h.service.observe(latency) {
		h.service.refresh(h.scratch[:], h.cfg.Quantile)
	}
	w := h.shardWindow(shard)
	if w.observe(latency) {
		w.refresh(h.scratch[:], h.cfg.Quantile)
	}
}

func (h *Hedger) shardWindow(shard int) *window {
	for len(h.shards) <= shard {
		h.shards = append(h.shards, window{size: shardSamples})
	}
	return &h.shards[shard]
}

// Delay returns the time after which a sub-request to the shard is hedged.
func (h *Hedger) Delay(shard int) time.Duration {
	if h.service.count < minServiceSamples {
		return h.cfg.FirstDelay
	}
	delay := time.Duration(float64(h.service.tail) * h.shardRatio(shard))
	return min(max(delay, h.cfg.MinDelay), h.cfg.MaxDelay)
}

// shardRatio returns the median latency of a shard relative to that of the service.
func (h *Hedger) shardRatio(shard int) float64 {
	w := h.shardWindow(shard)
	if w.median == 0 || h.service.median == 0 {
		return 1
	}
	ratio := float64(w.median) / float64(h.service.median)
	return min(max(ratio, shardRatioMin), shardRatioMax)
}

// Earn adds the tokens for n primary sub-requests to the budget.
func (h *Hedger) Earn(n int) {
	h.budget.Earn(n)
}

// SetRatio changes the number of hedges allowed per primary sub-request.
func (h *Hedger) SetRatio(ratio float64) {
	h.budget = h.budget.WithRatio(ratio)
}

// Spend takes a token for one hedge and reports whether there was one.
func (h *Hedger) Spend() bool {
	return h.budget.Spend()
}
