package scatterer

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/limiter"
)

// ExtraBudgetLeft returns the remaining hedges and retries of the service that has the
// fewest left, and false if no service has had requests.
func (m *Machine) ExtraBudgetLeft() (left float64, ok bool) {
	for _, b := range m.budgets {
		if !ok || b.Left() < left {
			left, ok = b.Left(), true
		}
	}
	return left, ok
}

// ExtraBudgetDenied returns how many hedges and retries were not sent because the budget of
// their service was used up.
func (m *Machine) ExtraBudgetDenied() uint64 {
	return m.extraDenied
}

// earnExtra adds the sub-requests to the budgets of their services, also if the request is
// then refused; those of a slice or relay are counted by the other host, and those of a
// repeated request have been counted by the host that sent it.
func (m *Machine) earnExtra(now time.Time, r *request, e *Arrived, planned *slice) {
	for i := range r.subRequests {
		b := m.budget(now, r.subRequests[i].service, e.BudgetShare)
		if !planned.contains(i) && !r.subRequests[i].relayed && !e.Repeat {
			b.Earn(1)
		}
	}
}

// spendExtra takes one hedge or retry from the budget of a service and reports whether
// one was left.
func (m *Machine) spendExtra(now time.Time, service string) bool {
	b := m.budgets[service]
	if b != nil {
		b.refill(now, m.cfg.Extra)
		if b.Spend() {
			return true
		}
	}
	m.extraDenied++
	return false
}

// budget holds the hedges and retries that this host may send to one service.
type budget struct {
	limiter.Budget

	// share is this host's fraction of the hedges and retries of all hosts together.
	share float64
	// refilled is when the budget was last refilled for the passage of time.
	refilled time.Time
}

// refill adds the tokens for the time since the last refill.
func (b *budget) refill(now time.Time, extra ExtraBudget) {
	if extra.Window > 0 {
		windows := now.Sub(b.refilled).Seconds() / extra.Window.Seconds()
		b.Refill(windows * (1 - burstCapacityFraction) * extra.Burst * b.share)
	}
	b.refilled = now
}

// capacity returns how many hedges and retries beyond the ratio a host may send in one
// burst; share is its fraction of the hedges and retries of all hosts.
func (e ExtraBudget) capacity(share float64) float64 {
	return burstCapacityFraction * e.Burst * share
}

// budget returns the budget of a service, adjusted to this host's share.
func (m *Machine) budget(now time.Time, service string, share float64) *budget {
	extra := m.cfg.Extra
	b := m.budgets[service]
	if b == nil {
		b = &budget{limiter.NewBudget(extra.Ratio, extra.capacity(share)), share, now}
		m.budgets[service] = b
		return b
	}
	b.refill(now, extra)
	if b.share != share {
		b.Budget, b.share = b.WithCapacity(extra.capacity(share)), share
	}
	return b
}
