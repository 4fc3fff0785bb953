package hedger

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestDelayIsBounded observes random latencies of several shards.
func TestDelayIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig(0.05)
		h := New(cfg)
		for range rapid.IntRange(0, 300).Draw(t, "samples") {
			shard := rapid.IntRange(0, 3).Draw(t, "shard")
			h.ObserveLatency(shard, time.Duration(rapid.IntRange(0, 1000).Draw(t, "millis"))*time.Millisecond)
		}
		for shard := range 4 {
			delay := h.Delay(shard)
			if delay < cfg.MinDelay || delay > cfg.MaxDelay {
				t.Fatalf("shard %d has a delay of %v", shard, delay)
			}
		}
	})
}

// TestSlowShardHasLongerDelay gives one shard three times the latency of the others.
func TestSlowShardHasLongerDelay(t *testing.T) {
	is := is.New(t)
	h := New(DefaultConfig(0.05))
	for n := range 2000 {
		shard := n % 20
		latency := time.Duration(8+n%7) * time.Millisecond
		if shard == 0 {
			latency *= 3
		}
		h.ObserveLatency(shard, latency)
	}
	is.True(h.Delay(0) > 2*h.Delay(1))
}

// TestHedgesStayWithinTheRatio spends all tokens that the primary sub-requests earn.
func TestHedgesStayWithinTheRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig(rapid.Float64Range(0, 0.5).Draw(t, "ratio"))
		h := New(cfg)
		earned, spent := 0, 0
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			n := rapid.IntRange(0, 20).Draw(t, "primary")
			h.Earn(n)
			earned += n
			for h.Spend() {
				spent++
			}
		}
		if float64(spent) > 1+cfg.Ratio*float64(earned)+1e-6 {
			t.Fatalf("%d hedges for %d primary sub-requests at %.3f", spent, earned, cfg.Ratio)
		}
	})
}
