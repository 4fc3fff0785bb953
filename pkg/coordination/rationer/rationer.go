package rationer

import (
	"maps"
	"math"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
)

const (
	// TickInterval is how often a rationer is told the time; maxTickGap is the time without
	// it that shows that the process stood still, while another host may have taken over.
	TickInterval = 500 * time.Millisecond
	maxTickGap   = TickInterval + 100*time.Millisecond
	// substituteIdle is how long a substitute that nobody asks keeps what it has gathered.
	substituteIdle = time.Second
	// bucketLife is how long an unused bucket is kept, sweepInterval how often they are looked at.
	bucketLife    = 10 * time.Minute
	sweepInterval = 10 * time.Second
)

// Subject is an organisation with its quota in a version of the configuration.
type Subject struct {
	Organisation string `json:"organisation"`
	Version      uint64 `json:"version"`
	Quota        Quota  `json:"quota"`
}

// Ask asks for tokens of an organisation.
type Ask struct {
	Subject

	// Waiting is the number of requests that wait, Ahead that of the tokens which those that
	// are expected soon need.
	Waiting int `json:"waiting"`
	Ahead   int `json:"ahead"`
	// Wanted counts the requests since the last ask, Returned the tokens that were not used.
	Wanted   int `json:"wanted"`
	Returned int `json:"returned"`
}

// Grant is the answer to an Ask.
type Grant struct {
	Tokens int `json:"tokens"`
	// WaitMillis is the time until the next token if there are too few for those that wait.
	WaitMillis int64 `json:"waitMillis"`
	// Left is what the bucket holds then, Quota the quota that it goes by.
	Left  float64 `json:"left"`
	Quota Quota   `json:"quota"`
	// By is the host that keeps the bucket.
	By string `json:"by"`
}

// bucket has the tokens of one organisation that are not granted yet.
type bucket struct {
	version    uint64
	quota      Quota
	terms      terms
	level      float64
	refilledAt time.Time
	askedAt    time.Time
	demand     allotter.Demand
	// lenders is when domains that had no token to lend may be asked again, nil before any was
	// asked; next is the domain that is asked first.
	lenders map[string]time.Time
	next    string
}

// refill adds the tokens for the time since the last refill.
func (b *bucket) refill(now time.Time) {
	b.level = min(b.level+b.terms.rate*max(now.Sub(b.refilledAt), 0).Seconds(), b.terms.capacity)
	b.refilledAt = now
}

// take takes up to n whole tokens.
func (b *bucket) take(n int) int {
	n = max(0, min(n, int(math.Floor(b.level))))
	b.level -= float64(n)
	return n
}

// untilLevel returns the time until the bucket holds a number of tokens.
func (b *bucket) untilLevel(level float64) time.Duration {
	return time.Duration(max(0, (level-b.level)/b.terms.rate) * float64(time.Second))
}

// Rationer has the buckets that one host keeps for its failure domain.
type Rationer struct {
	rule     Rule
	buckets  map[string]*bucket
	tickedAt time.Time
	sweptAt  time.Time
}

// New returns a rationer without buckets.
func New(rule Rule) *Rationer {
	return &Rationer{rule: rule, buckets: make(map[string]*bucket)}
}

// Knows reports whether there is a bucket of an organisation.
func (r *Rationer) Knows(organisation string) bool { return r.buckets[organisation] != nil }

// Len returns the number of buckets.
func (r *Rationer) Len() int { return len(r.buckets) }

// Tick tells the time, each TickInterval, and reports whether the process stood still before.
// The buckets gain nothing for that time.
func (r *Rationer) Tick(now time.Time) bool {
	before := r.tickedAt
	stood := !before.IsZero() && now.Sub(before) > maxTickGap
	r.tickedAt = now
	if stood {
		for _, b := range r.buckets {
			b.refill(before)
			b.refilledAt = now
		}
	}
	if now.Sub(r.sweptAt) >= sweepInterval {
		r.sweptAt = now
		maps.DeleteFunc(r.buckets, func(_ string, b *bucket) bool { return now.Sub(b.askedAt) >= bucketLife })
	}
	return stood
}

// Forget drops the bucket of an organisation which another host keeps.
func (r *Rationer) Forget(organisation string) {
	delete(r.buckets, organisation)
}

// Allot answers an ask of a host of the own domain.
func (r *Rationer) Allot(now time.Time, p Position, ask Ask) Grant {
	b := r.bucket(now, p, ask.Subject)
	b.level = min(b.level+float64(max(ask.Returned, 0)), max(b.level, b.terms.capacity))
	b.demand.Add(now, max(ask.Wanted, 0))
	waiting := max(ask.Waiting, 0)
	n := b.take(waiting)
	g := Grant{Tokens: n, Quota: b.quota}
	if n < waiting {
		g.WaitMillis = b.wait(now).Milliseconds() + 1
	} else {
		// The rest of the bucket is for requests that come to other hosts.
		g.Tokens += b.take(min(ask.Ahead, int(b.level/2)))
	}
	g.Left = b.level
	return g
}

// bucket returns the bucket of an organisation, refilled, by the newest quota.
func (r *Rationer) bucket(now time.Time, p Position, s Subject) *bucket {
	r.Tick(now)
	b := r.buckets[s.Organisation]
	if b == nil {
		b = &bucket{version: s.Version, quota: s.Quota, refilledAt: now, askedAt: now}
		b.terms = r.rule.terms(s.Quota, p)
		if !p.Substitute {
			b.level = b.terms.initial
		}
		r.buckets[s.Organisation] = b
	}
	if s.Version > b.version {
		b.version, b.quota = s.Version, s.Quota
	}
	b.refill(now)
	b.terms = r.rule.terms(b.quota, p)
	b.level = min(b.level, b.terms.capacity)
	if p.Substitute && now.Sub(b.askedAt) > substituteIdle {
		b.level = min(b.level, b.terms.initial)
	}
	b.askedAt = now
	return b
}

// wait returns the time until the bucket has a token or another domain may lend one.
func (b *bucket) wait(now time.Time) time.Duration {
	wait := b.untilLevel(1)
	for _, at := range b.lenders {
		if at.After(now) {
			wait = min(wait, at.Sub(now))
		}
	}
	return wait
}
