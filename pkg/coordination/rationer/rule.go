package rationer

import "time"

const (
	// TokenLife is how long a token may be used or given back, by the clock of its holder.
	TokenLife = 400 * time.Millisecond
	// lateness is the time from the admission of a request until a backend server gets it.
	lateness = 400 * time.Millisecond
	// aloneFraction is the part of the overshoot that hosts use to which nobody grants tokens.
	aloneFraction = 0.5
	// startFraction is the part of the slack with which the buckets of all domains begin.
	// spareFraction is what is held back for them: it bears that all hosts start anew, and that
	// a host which was thought lost comes back beside the one that has taken over.
	startFraction = 0.25
	spareFraction = 0.5
	// substituteFraction is the part of a bucket's capacity at a host that has taken over.
	substituteFraction = 0.5
)

// Quota is the rate of requests per second that an organisation has, and the number of requests
// that it may send at once beyond it.
type Quota struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
}

// Rule is what a deployment allows all hosts together: in any Window as many requests as the
// quota gives, times 1 + Overshoot, and Slack more.
type Rule struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// Allowed returns the number of requests of an organisation that all hosts may admit in a window.
func (r Rule) Allowed(q Quota) float64 {
	return (q.Rate*r.Window.Seconds()+q.Burst)*(1+r.Overshoot) + r.Slack
}

// Position tells for whom a rationer keeps a bucket.
type Position struct {
	// Domains is the number of failure domains that share the quota.
	Domains int
	// Substitute means that another host of the domain keeps the bucket while it can be reached;
	// it may be alive and grant tokens to others.
	Substitute bool
}

// terms are the terms of one bucket: tokens per second, the most that it holds, and the number
// with which it begins.
type terms struct{ rate, capacity, initial float64 }

// terms divides a quota so that the buckets of all domains, tokens that are used late and hosts
// that nobody answers stay within what is allowed.
func (r Rule) terms(q Quota, p Position) terms {
	n := float64(max(p.Domains, 1))
	all := q.Rate * (1 + aloneFraction*r.Overshoot)
	capacity := r.Allowed(q) - all*(r.Window+TokenLife+lateness).Seconds() - spareFraction*r.Slack
	t := terms{rate: q.Rate / n, capacity: max(capacity/n, 1)}
	if p.Substitute {
		t.capacity = max(min(t.capacity*substituteFraction, startFraction*r.Slack), 1)
	}
	t.initial = min(startFraction*r.Slack/n, t.capacity)
	return t
}

// aloneRate is the rate of requests per second of a host that nobody answers.
func (r Rule) aloneRate(q Quota, hosts int) float64 {
	return q.Rate * aloneFraction * r.Overshoot / float64(max(hosts, 1))
}
