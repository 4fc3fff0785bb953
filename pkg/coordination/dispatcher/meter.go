package dispatcher

import (
	"math"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
)

// rateTimeConstant is the time constant of the exponential smoothing of a shard's rate.
const rateTimeConstant = 2 * time.Second

// meter measures the rate of the sub-requests to a shard with exponential smoothing.
type meter struct {
	// sum is the sum of all weights, each decayed by its age at the last update.
	sum     float64
	started time.Time
	updated time.Time
}

func (m *Machine) meter(shard int) *meter {
	for len(m.meters) <= shard {
		m.meters = append(m.meters, meter{})
	}
	return &m.meters[shard]
}

func (r *meter) add(now time.Time, weight int) {
	if r.started.IsZero() {
		r.started = now
	}
	r.sum = r.sum*decay(now.Sub(r.updated)) + float64(weight)
	r.updated = now
}

func decay(age time.Duration) float64 {
	return math.Exp(-age.Seconds() / rateTimeConstant.Seconds())
}

// perSecond returns the rate. Soon after the start, the sum covers only part of
// the smoothing window and is scaled up accordingly.
func (r *meter) perSecond(now time.Time) float64 {
	coverage := 1 - decay(now.Sub(r.started))
	if coverage <= 0 {
		return 0
	}
	return r.sum * decay(now.Sub(r.updated)) / (rateTimeConstant.Seconds() * coverage)
}

// load returns the fraction of a shard's slots that its sub-requests keep busy,
// or 1 if the capacity of its replicas is unknown.
func (m *Machine) load(now time.Time, layout planner.Layout, shard int) float64 {
	rate := m.slotRate(layout, shard)
	if rate == 0 {
		return 1
	}
	return m.meter(shard).perSecond(now) / rate
}

// slotRate returns how many sub-requests per second the usable replicas of
// a shard can run, or 0 if no latency has been measured.
func (m *Machine) slotRate(layout planner.Layout, shard int) float64 {
	rate := 0.0
	for _, i := range m.replicas.Replicas(layout, shard) {
		s := m.server(i)
		if s.latency > 0 {
			rate += float64(s.slots) / time.Duration(s.latency).Seconds()
		}
	}
	return rate
}
