package allotter

import (
	"slices"
	"time"
)

const (
	// AskInterval is how often a host asks for tokens while it has requests for a server
	// with a limit. It is short against the span of seconds over which servers count.
	AskInterval = 300 * time.Millisecond
	// minAskInterval is the least time from an ask on behalf of a request that waits, which
	// brought no token, to the next one.
	minAskInterval = 100 * time.Millisecond
	// tokenLife is how long a token may be used; with the pool of an Allotter it bounds
	// what a server can get in a span.
	tokenLife = time.Second
	// unallottedShare is the part of the equal share of a limit that a host uses while no
	// host allots tokens to it. Other hosts may be allotted the whole limit meanwhile.
	unallottedShare = 0.25
	// askLife is how long an ask counts as outstanding.
	askLife = time.Second
	// endReportTime is how long a host tells the end of a limit to the host that allots.
	endReportTime = 2 * time.Second
	// accountLife is how long a limit holds that is not announced again: many hosts send
	// requests to a server only now and then.
	accountLife = 10 * time.Minute
)

// batch is a number of tokens that expire together.
type batch struct {
	tokens  int
	expires time.Time
	// urgent means that a request waited for the tokens.
	urgent bool
}

// account is what a host knows of the limit of one server, and its tokens.
type account struct {
	incarnation Incarnation
	limit       Limit
	// heardAt is when the server has announced the limit.
	heardAt time.Time
	// since is when this host learnt that the server has a limit, attempts the number of
	// attempts that it has sent there since then.
	since    time.Time
	attempts int
	// wanted counts the requests for the server since askedAt.
	wanted  int
	askedAt time.Time
	// urgent means that a request waits for a token. An ask on behalf of such a request last
	// brought none at deniedAt.
	urgent   bool
	deniedAt time.Time
	// returning is the number of tokens to give back with the next ask.
	returning int
	// asking means that the answer to the last ask is outstanding.
	asking bool
	// batches holds the tokens, those that expire first in front.
	batches []batch
	// nextTokenAt is when the next token can be expected.
	nextTokenAt time.Time
	// unallottedSince is when an ask first stayed without an answer since the last grant,
	// zero if none did; unallotted is the fraction of a token gained since then.
	unallottedSince time.Time
	unallotted      float64
	// unreadable means that the server announces a limit that can't be read.
	unreadable bool
	// warmup is the limit while the server warms up, until warmUntil.
	warmup    Limit
	warmUntil time.Time
}

// bound returns the limit in force.
func (a *account) bound() Limit {
	return lower(a.limit, a.warmup)
}

// Ledger holds the limits of the servers that a host uses, and its tokens for them.
type Ledger struct {
	// hosts is the number of hosts that share the limits.
	hosts    int
	accounts map[string]*account
	// limited is the number of accounts with a limit, warming that of those whose servers warm up.
	limited int
	warming int
}

// NewLedger returns a ledger without limits for a host that assumes a number of hosts.
func NewLedger(hosts int) *Ledger {
	return &Ledger{hosts: hosts, accounts: make(map[string]*account)}
}

// SetHosts sets the number of hosts that share the limits, at least 1.
func (l *Ledger) SetHosts(n int) {
	l.hosts = max(n, 1)
}

// Len returns the number of servers with a limit.
func (l *Ledger) Len() int {
	return l.limited
}

// Usage describes how a host has used a server with a limit.
type Usage struct {
	Limit Limit
	// Attempts is the number of attempts in the time For that the limit has been known.
	Attempts int
	For      time.Duration
}

// Observe records what an answer of a server says of its limit, unless a later incarnation
// is known. The usage is that under the limit known before.
func (l *Ledger) Observe(now time.Time, server Incarnation, limit Limit) (Change, Usage) {
	a := l.accounts[server.Server]
	if (a == nil && !limit.Stated) || (a != nil && a.incarnation.StartedAtMillis > server.StartedAtMillis) {
		return Unchanged, Usage{}
	}
	if a == nil || a.incarnation != server {
		l.Forget(server.Server)
		a = &account{incarnation: server}
		l.accounts[server.Server] = a
	}
	return l.set(now, a, limit, now)
}

// Hear records a limit that another host has told and the server had announced to it at
// heardAt, unless this host knows of a newer announcement.
func (l *Ledger) Hear(now time.Time, server Incarnation, limit Limit, heardAt time.Time) (Change, Usage) {
	a := l.accounts[server.Server]
	if a != nil && a.incarnation == server && !heardAt.After(a.heardAt) {
		return Unchanged, Usage{}
	}
	change, usage := l.Observe(now, server, limit)
	a = l.accounts[server.Server]
	if a != nil && a.incarnation == server {
		a.heardAt = heardAt
	}
	return change, usage
}

// Announced returns the limit of a server with the time of its announcement, and false if
// the server has none.
func (l *Ledger) Announced(server Incarnation) (limit Limit, heardAt time.Time, ok bool) {
	a := l.limitedAccount(server)
	if a == nil || !a.limit.Stated {
		return Limit{}, time.Time{}, false
	}
	return a.limit, a.heardAt, true
}

// RejectLimit records that a limit which a server announces can't be read, and reports
// whether that is new. What was known of the limit holds on.
func (l *Ledger) RejectLimit(now time.Time, server Incarnation) bool {
	a := l.accounts[server.Server]
	if a == nil || a.incarnation != server {
		l.Forget(server.Server)
		a = &account{incarnation: server}
		l.accounts[server.Server] = a
	}
	known := a.unreadable
	a.unreadable, a.heardAt = true, now
	return !known
}

// set replaces the limit of an account by one that the server announced at heardAt.
func (l *Ledger) set(now time.Time, a *account, limit Limit, heardAt time.Time) (Change, Usage) {
	usage := Usage{Limit: a.limit, Attempts: a.attempts, For: now.Sub(a.since)}
	change, bounded := changeOf(a.limit, limit), a.bound().Stated
	a.limit, a.heardAt, a.unreadable = limit, heardAt, false
	if change != Unchanged {
		a.deniedAt = time.Time{}
	}
	if change != Unchanged && !a.asking {
		a.askedAt = time.Time{}
	}
	switch change {
	case Started:
		a.since, a.attempts = now, 0
		// The first request that finds no token need not wait for its own ask.
		a.wanted = 1
		usage = Usage{}
	case Ended:
	case Changed:
		if limit.Rate < usage.Limit.Rate {
			// What was gained under the greater limit is more than this one allows.
			a.returning, a.batches, a.unallotted = 0, nil, 0
		}
	case Unchanged:
	}
	l.count(a, bounded)
	return change, usage
}

// count counts an account that has got its first limit or lost its last one.
func (l *Ledger) count(a *account, bounded bool) {
	switch {
	case !bounded && a.bound().Stated:
		l.limited++
	case bounded && !a.bound().Stated:
		l.limited--
		a.wanted, a.returning, a.batches, a.unallottedSince = 0, 0, nil, time.Time{}
	}
}

// Forget drops what is known of a server.
func (l *Ledger) Forget(server string) {
	a := l.accounts[server]
	if a != nil && a.bound().Stated {
		l.limited--
	}
	if a != nil && a.warmup.Stated {
		l.warming--
	}
	delete(l.accounts, server)
}

// limitedAccount returns the account of a server, nil if it has no limit.
func (l *Ledger) limitedAccount(server Incarnation) *account {
	a := l.accounts[server.Server]
	if a == nil || a.incarnation != server || !a.bound().Stated {
		return nil
	}
	return a
}

// Limited reports whether a server has a limit.
func (l *Ledger) Limited(server Incarnation) bool {
	return l.limitedAccount(server) != nil
}

// Want records a request that would be sent to a server if it had no limit.
func (l *Ledger) Want(server Incarnation) {
	a := l.limitedAccount(server)
	if a != nil {
		a.wanted++
	}
}

// Allows reports whether a server may get a request after which a number of tokens are
// left; it is true for a server without a limit.
func (l *Ledger) Allows(now time.Time, server Incarnation, left int) bool {
	a := l.limitedAccount(server)
	return a == nil || l.tokens(now, a) > left
}

// Sent spends a token on an attempt and reports whether its server has a limit.
func (l *Ledger) Sent(now time.Time, server Incarnation) bool {
	a := l.limitedAccount(server)
	if a == nil {
		return false
	}
	a.attempts++
	l.tokens(now, a)
	switch {
	case len(a.batches) > 0:
		a.batches[0].tokens--
	case !a.unallottedSince.IsZero():
		a.unallotted = max(a.unallotted-1, 0)
	}
	return true
}

// tokens returns the number of tokens left, after dropping those that have expired.
func (l *Ledger) tokens(now time.Time, a *account) int {
	a.batches = slices.DeleteFunc(a.batches, func(b batch) bool { return b.tokens <= 0 || !now.Before(b.expires) })
	n := 0
	for _, b := range a.batches {
		n += b.tokens
	}
	if a.unallottedSince.IsZero() {
		return n
	}
	rate := a.bound().rate() * unallottedShare / float64(l.hosts)
	a.unallotted = min(1, a.unallotted+rate*now.Sub(a.unallottedSince).Seconds())
	a.unallottedSince = now
	return n + int(a.unallotted)
}

// MayAsk reports whether an ask that is due or outstanding may bring a token for a server
// that has none.
func (l *Ledger) MayAsk(now time.Time, server Incarnation) bool {
	a := l.limitedAccount(server)
	return a != nil && (a.outstanding(now) || a.mayAskUrgently(now))
}

// Await records that a request waits for a token of a server.
func (l *Ledger) Await(server Incarnation) {
	a := l.limitedAccount(server)
	if a != nil {
		a.urgent = true
	}
}

// Release gives back the tokens of a server for which a request has waited.
func (l *Ledger) Release(now time.Time, server Incarnation) {
	a := l.limitedAccount(server)
	if a == nil {
		return
	}
	l.tokens(now, a)
	for i := range a.batches {
		if a.batches[i].urgent {
			a.returning += a.batches[i].tokens
			a.batches[i].tokens = 0
		}
	}
}

// Wait returns the time until a server may get a request, 0 if it may get one now.
func (l *Ledger) Wait(now time.Time, server Incarnation) time.Duration {
	a := l.limitedAccount(server)
	switch {
	case a == nil || l.tokens(now, a) > 0:
		return 0
	case a.unallottedSince.IsZero():
		return max(a.nextTokenAt.Sub(now), 0)
	}
	rate := a.bound().rate() * unallottedShare / float64(l.hosts)
	return time.Duration((1 - a.unallotted) / rate * float64(time.Second))
}

// outstanding reports whether the last ask may still be answered.
func (a *account) outstanding(now time.Time) bool {
	return a.asking && now.Sub(a.askedAt) < askLife
}

// expired reports whether nothing is left to remember of a server.
func (a *account) expired(now time.Time) bool {
	life := accountLife
	if a.warmup.Stated {
		return false
	}
	if !a.limit.Stated && !a.unreadable {
		life = endReportTime
	}
	return now.Sub(a.heardAt) > life
}

// mayAskUrgently reports whether an ask on behalf of a request that waits is allowed.
func (a *account) mayAskUrgently(now time.Time) bool {
	return now.Sub(a.deniedAt) >= minAskInterval
}

// due reports whether an ask is due: at once for requests that wait and for tokens to give
// back, otherwise after AskInterval.
func (a *account) due(now time.Time) bool {
	if a.outstanding(now) {
		return false
	}
	ended := !a.bound().Stated && !a.unreadable
	return a.returning > 0 || (a.urgent && a.mayAskUrgently(now)) || ((a.wanted > 0 || ended) && now.Sub(a.askedAt) >= AskInterval)
}

// Asks returns the asks that are due, in the order of the servers.
func (l *Ledger) Asks(now time.Time) []Ask {
	var asks []Ask
	for id, a := range l.accounts {
		if a.expired(now) {
			l.Forget(id)
			continue
		}
		if !a.due(now) {
			continue
		}
		asks = append(asks, Ask{
			Incarnation: a.incarnation, Limit: a.limit, AgeMillis: now.Sub(a.heardAt).Milliseconds(), Wanted: a.wanted, Urgent: a.urgent, Returned: a.returning, Held: l.tokens(now, a),
			WarmupRate: a.warmup.Rate, WarmupMillis: a.warmupLeft(now).Milliseconds(),
		})
		a.wanted, a.urgent, a.returning, a.askedAt, a.asking = 0, false, 0, now, true
	}
	slices.SortFunc(asks, func(a, b Ask) int { return compare(a.Incarnation, b.Incarnation) })
	return asks
}

// Update is a change of a limit that another host has told.
type Update struct {
	Incarnation

	Change Change
	Limit  Limit
	Usage  Usage
}

// Grant adds the tokens of the grants, and returns the limits that they change.
func (l *Ledger) Grant(now time.Time, grants []Grant) []Update {
	var updates []Update
	for _, g := range grants {
		a := l.accounts[g.Server]
		if a == nil || a.incarnation != g.Incarnation {
			continue
		}
		// The age is counted from the ask on and rounded up, so that an old limit doesn't
		// replace one that the server has announced while the ask was answered.
		heardAt := a.askedAt.Add(-time.Duration(g.AgeMillis+1) * time.Millisecond)
		change, usage := l.Hear(now, g.Incarnation, g.Limit, heardAt)
		if change != Unchanged {
			updates = append(updates, Update{Incarnation: g.Incarnation, Change: change, Limit: g.Limit, Usage: usage})
		}
		a.unallottedSince, a.unallotted, a.asking = time.Time{}, 0, false
		a.nextTokenAt = now.Add(time.Duration(g.WaitMillis) * time.Millisecond)
		if g.Urgent && g.Tokens == 0 {
			a.deniedAt = now
		}
		if g.Tokens > 0 && a.bound().Stated {
			a.batches = append(a.batches, batch{g.Tokens, now.Add(tokenLife), g.Urgent})
		}
	}
	return updates
}

// Unanswered records that no host has answered some asks.
func (l *Ledger) Unanswered(now time.Time, asks []Ask) {
	for _, ask := range asks {
		a := l.accounts[ask.Server]
		if a == nil || a.incarnation != ask.Incarnation {
			continue
		}
		a.asking = false
		if a.bound().Stated && a.unallottedSince.IsZero() {
			a.unallottedSince = now.Add(-AskInterval)
		}
	}
}
