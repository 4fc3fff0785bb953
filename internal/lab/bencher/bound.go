package bencher

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LowerBound returns the latencies of a scheduler that knows all service times in
// advance: each sub-request goes to the slot that completes it first, without
// network delay, admission control, hedges or retries.
func LowerBound(s Scenario) *hdrhistogram.Histogram {
	latency := hdrhistogram.New(1, maxLatency.Microseconds(), latencyDigits)
	random := rand.New(rand.NewPCG(s.Seed, s.Seed+2))
	free := make([][]float64, s.Shards)
	for shard := range free {
		free[shard] = make([]float64, s.Replicas*s.Slots)
	}
	now := 0.0
	for range s.Queries {
		now += random.ExpFloat64() / s.Rate()
		last := 0.0
		for shard := range free {
			last = max(last, assign(free[shard], s, now, random)-now)
		}
		_ = latency.RecordValue(time.Duration(last * float64(time.Second)).Microseconds())
	}
	return latency
}

// assign gives a sub-request to the slot that completes it first, and returns
// the completion time. Times are in seconds.
func assign(free []float64, s Scenario, now float64, random *rand.Rand) float64 {
	best, end := 0, math.Inf(1)
	for replica := range s.Replicas {
		service := drawService(s.Fault, random)
		for slot := range s.Slots {
			i := replica*s.Slots + slot
			completed := max(now, free[i]) + service
			if completed < end {
				best, end = i, completed
			}
		}
	}
	free[best] = end
	return end
}

// drawService draws a service time in seconds.
func drawService(f Fault, random *rand.Rand) float64 {
	t := serviceMedian.Seconds() * math.Exp(serviceSigma*random.NormFloat64())
	if f != NoFault && random.Float64() < stragglerRate {
		t *= stragglerFactor
	}
	return t
}
