package allotter

import (
	"cmp"
	"maps"
	"math"
	"time"
)

const (
	// poolTime is the time for which tokens that nobody takes are kept. It exceeds
	// AskInterval, so that a single host can use the whole limit.
	poolTime = 400 * time.Millisecond
	// minDepth is the least number of tokens that are kept, for low limits: requests come
	// unevenly.
	minDepth = 3
	// demandTime is the time constant with which the demand of a host is averaged.
	demandTime = time.Second
	// askerLife is how long a host that doesn't ask is remembered.
	askerLife = 5 * time.Second
	// creditTime is the time for which a host may save its share of a limit.
	creditTime = time.Second
	// horizon is the time for which a host gets tokens ahead: the interval of its asks and
	// what they may be late.
	horizon = AskInterval * 3 / 2
	// settleTime is the time in which a new pool gets half of the limit, and one that was not
	// asked for over unaskedTime. Another host may have allotted the tokens before, and may
	// still do so for some hosts.
	settleTime  = time.Second
	unaskedTime = 2 * AskInterval
	// poolLife is how long an unused pool is kept.
	poolLife = 30 * time.Second
	// maxWarmup bounds the warm-up that a host may tell.
	maxWarmup = 24 * time.Hour
)

// Demand is a count of wanted requests that decays with a time constant of a second.
type Demand struct {
	count float64
	at    time.Time
}

// Add adds requests and returns the rate per second.
func (d *Demand) Add(now time.Time, n int) float64 {
	d.count = d.count*math.Exp(-now.Sub(d.at).Seconds()/demandTime.Seconds()) + float64(n)
	d.at = now
	return d.count / demandTime.Seconds()
}

// asker is what is known of one host that asks for the tokens of a server.
type asker struct {
	Demand

	// credit is what the host may still get of its share of the limit, in tokens.
	credit float64
}

// pool has the tokens of one server that are not allotted yet.
type pool struct {
	limit   Limit
	heardAt time.Time
	// warmup is the limit while the server warms up, until warmUntil.
	warmup     Limit
	warmUntil  time.Time
	settledAt  time.Time
	tokens     float64
	refilledAt time.Time
	// demand is that of all hosts together.
	demand Demand
	askers map[string]*asker
}

// bound returns the limit in force.
func (p *pool) bound() Limit {
	return lower(p.limit, p.warmup)
}

// warm applies what an ask tells of the warm-up of the server.
func (p *pool) warm(now time.Time, ask Ask) {
	if p.warmup.Stated && !now.Before(p.warmUntil) {
		p.warmup = Limit{}
	}
	if ask.WarmupMillis > 0 {
		p.warmup = Limit{Stated: true, Rate: max(ask.WarmupRate, 0)}
		p.warmUntil = now.Add(time.Duration(min(ask.WarmupMillis, maxWarmup.Milliseconds())) * time.Millisecond)
	}
}

// refill adds the tokens for the time since the last refill.
func (p *pool) refill(now time.Time) {
	gained := now.Sub(p.refilledAt)
	unsettled := min(gained, max(p.settledAt.Sub(p.refilledAt), 0))
	p.tokens += p.bound().rate() * (gained - unsettled/2).Seconds()
	p.refilledAt = now
}

// settle makes the pool begin like a new one, but with a token for a host that asks rarely.
func (p *pool) settle(now time.Time) {
	p.tokens = min(p.tokens, 1)
	p.refilledAt, p.settledAt = now.Add(-AskInterval), now.Add(settleTime)
}

// depth returns the number of tokens that the pool holds at most.
func (p *pool) depth() float64 {
	return max(minDepth, p.bound().rate()*poolTime.Seconds())
}

// Allotter allots the tokens of the servers for which its host is responsible.
type Allotter struct {
	pools   map[Incarnation]*pool
	sweptAt time.Time
}

// New returns an allotter without tokens.
func New() *Allotter {
	return &Allotter{pools: make(map[Incarnation]*pool)}
}

// Allot answers the asks of a host.
func (a *Allotter) Allot(now time.Time, host string, asks []Ask) []Grant {
	a.sweep(now)
	grants := make([]Grant, 0, len(asks))
	for _, ask := range asks {
		// Another build of this program may send anything.
		ask.Wanted, ask.Held, ask.Returned = max(ask.Wanted, 0), max(ask.Held, 0), max(ask.Returned, 0)
		ask.AgeMillis = max(ask.AgeMillis, 0)
		grants = append(grants, a.pool(now, ask).allot(now, host, ask))
	}
	return grants
}

// sweep drops the pools and hosts that have not been asked for, or have not asked, lately.
func (a *Allotter) sweep(now time.Time) {
	if now.Sub(a.sweptAt) < askerLife {
		return
	}
	a.sweptAt = now
	for server, p := range a.pools {
		if now.Sub(p.refilledAt) >= poolLife {
			delete(a.pools, server)
		}
		maps.DeleteFunc(p.askers, func(_ string, h *asker) bool { return now.Sub(h.at) >= askerLife })
	}
}

// pool returns the pool of a server, refilled, with the newest limit that a host has told.
func (a *Allotter) pool(now time.Time, ask Ask) *pool {
	p := a.pools[ask.Incarnation]
	if p == nil {
		// The pool holds what the host would have gained since an ask before.
		p = &pool{limit: ask.Limit, refilledAt: now.Add(-AskInterval), settledAt: now.Add(settleTime), demand: Demand{at: now}, askers: make(map[string]*asker)}
		a.pools[ask.Incarnation] = p
	}
	if now.Sub(p.refilledAt) > unaskedTime {
		p.settle(now)
	}
	p.warm(now, ask)
	p.refill(now)
	heardAt := now.Add(-time.Duration(ask.AgeMillis) * time.Millisecond)
	if heardAt.After(p.heardAt) {
		p.limit, p.heardAt = ask.Limit, heardAt
	}
	p.tokens = min(p.tokens, p.depth())
	return p
}

func (p *pool) allot(now time.Time, host string, ask Ask) Grant {
	g := Grant{Incarnation: ask.Incarnation, Urgent: ask.Urgent, Limit: p.limit, AgeMillis: now.Sub(p.heardAt).Milliseconds()}
	if !p.bound().Stated {
		return g
	}
	h := p.askers[host]
	if h == nil {
		h = &asker{Demand: Demand{at: now}, credit: 1}
		p.askers[host] = h
	}
	since := now.Sub(h.at).Seconds()
	rate, share, total := p.bound().rate(), h.Add(now, ask.Wanted), p.demand.Add(now, ask.Wanted)
	scarce := total > rate
	if scarce {
		share *= rate / total
	}
	returned := float64(ask.Returned)
	p.tokens = min(p.tokens+returned, p.depth())
	h.credit = min(h.credit+returned+share*since, max(1, share*creditTime.Seconds()))
	need := math.Floor(share * horizon.Seconds())
	if ask.Urgent {
		need = max(need, 1)
	}
	need -= float64(ask.Held)
	available := p.tokens
	if scarce {
		// What fills more than half of the pool is not used by the hosts to which it is due.
		available = min(p.tokens, max(h.credit, p.tokens-p.depth()/2))
	}
	n := math.Floor(max(0, min(need, available)))
	p.tokens -= n
	h.credit = max(h.credit-n, -1)
	g.Tokens = int(n)
	g.WaitMillis = int64(1000 * max(p.wait(now), p.creditWait(h, share, scarce)))
	return g
}

// wait returns the seconds until the pool has a token.
func (p *pool) wait(now time.Time) float64 {
	needed := max(0, (1-p.tokens)/p.bound().rate())
	return needed + min(needed, max(0, p.settledAt.Sub(now).Seconds()/2))
}

// creditWait returns the seconds until a host has the credit for a token.
func (p *pool) creditWait(h *asker, share float64, scarce bool) float64 {
	if !scarce || share <= 0 {
		return 0
	}
	return max(0, (1-h.credit)/share)
}

// compare orders incarnations.
func compare(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Server, b.Server), cmp.Compare(a.StartedAtMillis, b.StartedAtMillis))
}
