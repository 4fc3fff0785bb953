package rationer

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
)

const (
	// aheadTime is for how long of its demand a host asks for tokens ahead.
	aheadTime = 200 * time.Millisecond
	// returnTime is how long a token that has expired unused may be given back.
	returnTime = 300 * time.Millisecond
	// maxDenial is how long a host goes by a denial, since other hosts may give tokens back,
	// unansweredDenial how long by an ask that nobody has answered.
	maxDenial        = 100 * time.Millisecond
	unansweredDenial = 100 * time.Millisecond
	// accountLife is how long the account of an organisation without requests is kept.
	accountLife = 10 * time.Second
)

// Charge is what one request has taken from the quota of its organisation.
type Charge struct {
	Subject

	// askedAt is when the token was asked for; zero if a host that nobody answers has admitted
	// the request.
	askedAt time.Time
}

// Alone reports whether a host that nobody answers has admitted the request.
func (c Charge) Alone() bool { return c.askedAt.IsZero() }

// Denial says why a request can't be admitted.
type Denial struct {
	// Wait is the time until the next token can be had.
	Wait time.Duration
	// At is when the denial was given, Grant what it says of the bucket.
	At    time.Time
	Grant Grant
	// Unanswered means that no host has answered.
	Unanswered bool
}

// batch is a number of tokens that were asked for together.
type batch struct {
	tokens  int
	askedAt time.Time
}

// account has the tokens and the demand of a host for one organisation.
type account struct {
	subject Subject
	batches []batch
	demand  allotter.Demand
	rate    float64
	// wanted counts the requests since the last ask.
	wanted int
	usedAt time.Time
	// denial counts until deniedUntil.
	denial      Denial
	deniedUntil time.Time
	// aloneAt is when alone, the fraction of a token that a host gains which nobody answers,
	// was last added to; zero while it gets answers.
	aloneAt time.Time
	alone   float64
}

// Purse has the tokens of one host. It is the side that asks.
type Purse struct {
	rule     Rule
	hosts    int
	accounts map[string]*account
	sweptAt  time.Time
}

// NewPurse returns a purse without tokens.
func NewPurse(rule Rule) *Purse {
	return &Purse{rule: rule, hosts: 1, accounts: make(map[string]*account)}
}

// SetHosts sets the number of hosts that share the quotas.
func (p *Purse) SetHosts(n int) { p.hosts = n }

// Want counts a request of an organisation.
func (p *Purse) Want(now time.Time, s Subject) {
	p.sweep(now)
	a := p.accounts[s.Organisation]
	if a == nil {
		a = &account{subject: s}
		p.accounts[s.Organisation] = a
	}
	if s.Version > a.subject.Version {
		if s.Quota.Rate < a.subject.Quota.Rate || s.Quota.Burst < a.subject.Quota.Burst {
			a.batches = nil
		}
		a.subject, a.deniedUntil = s, time.Time{}
	}
	a.usedAt = now
	a.wanted++
	a.rate = a.demand.Add(now, 1)
}

// sweep drops the accounts that are not in use.
func (p *Purse) sweep(now time.Time) {
	if now.Sub(p.sweptAt) < accountLife {
		return
	}
	p.sweptAt = now
	maps.DeleteFunc(p.accounts, func(_ string, a *account) bool { return now.Sub(a.usedAt) >= accountLife })
}

// Spend takes a token for a request that was counted by Want; false without one.
func (p *Purse) Spend(now time.Time, organisation string) (Charge, bool) {
	a := p.accounts[organisation]
	if a == nil {
		return Charge{}, false
	}
	for i := range a.batches {
		b := &a.batches[i]
		if b.tokens > 0 && now.Sub(b.askedAt) < TokenLife {
			b.tokens--
			return Charge{a.subject, b.askedAt}, true
		}
	}
	if a.aloneAt.IsZero() {
		return Charge{}, false
	}
	a.alone = min(1, a.alone+p.rule.aloneRate(a.subject.Quota, p.hosts)*now.Sub(a.aloneAt).Seconds())
	a.aloneAt = now
	if a.alone < 1 {
		return Charge{}, false
	}
	a.alone = 0
	return Charge{Subject: a.subject}, true
}

// Denied returns the denial that still counts for an organisation.
func (p *Purse) Denied(now time.Time, organisation string) (Denial, bool) {
	a := p.accounts[organisation]
	if a == nil || !now.Before(a.deniedUntil) {
		return Denial{}, false
	}
	d := a.denial
	d.Wait = max(d.Wait-now.Sub(d.At), time.Millisecond)
	return d, true
}

// Ask returns what to ask for on behalf of requests that wait.
func (p *Purse) Ask(now time.Time, organisation string, waiting int) (Ask, bool) {
	a := p.accounts[organisation]
	if a == nil {
		return Ask{}, false
	}
	ask := Ask{Subject: a.subject, Waiting: waiting, Ahead: int(a.rate * aheadTime.Seconds()), Wanted: a.wanted}
	for _, b := range a.batches {
		if now.Sub(b.askedAt) < TokenLife+returnTime {
			ask.Returned += b.tokens
		}
	}
	a.batches, a.wanted = nil, 0
	return ask, true
}

// Grant puts the tokens of an answer into the purse. The life of the tokens begins when they
// were asked for.
func (p *Purse) Grant(now, askedAt time.Time, ask Ask, g Grant) {
	a := p.accounts[ask.Organisation]
	if a == nil {
		return
	}
	a.aloneAt, a.alone = time.Time{}, 0
	if a.subject.Version == ask.Version {
		a.add(min(g.Tokens, ask.Waiting+ask.Ahead), askedAt)
	}
	if g.Tokens < ask.Waiting {
		wait := max(time.Duration(g.WaitMillis)*time.Millisecond, time.Millisecond)
		a.denial = Denial{Wait: wait, At: now, Grant: g}
		a.deniedUntil = now.Add(min(wait, maxDenial))
	}
}

// add adds tokens that were asked for at one time.
func (a *account) add(n int, askedAt time.Time) {
	i := slices.IndexFunc(a.batches, func(b batch) bool { return b.askedAt.Equal(askedAt) })
	if i < 0 {
		a.batches = append(a.batches, batch{askedAt: askedAt})
		i = len(a.batches) - 1
	}
	a.batches[i].tokens += n
}

// Unanswered records that no host has answered an ask.
func (p *Purse) Unanswered(now time.Time, ask Ask) {
	a := p.accounts[ask.Organisation]
	if a == nil {
		return
	}
	if a.aloneAt.IsZero() {
		a.aloneAt = now
	}
	a.wanted += ask.Wanted
	a.denial = Denial{Wait: unansweredDenial, At: now, Grant: Grant{Quota: ask.Quota}, Unanswered: true}
	a.deniedUntil = now.Add(unansweredDenial)
}

// Return gives back the token of a request that has not run, and reports whether it can be
// used again.
func (p *Purse) Return(now time.Time, c Charge) bool {
	a := p.accounts[c.Organisation]
	if a == nil || c.Alone() || a.subject.Version != c.Version || now.Sub(c.askedAt) >= TokenLife {
		return false
	}
	a.add(1, c.askedAt)
	a.deniedUntil = time.Time{}
	return true
}
