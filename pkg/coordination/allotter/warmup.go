package allotter

import "time"

// warmupShare is the part of a warm-up rate that is allotted: servers count over one second, in
// which the tokens of tokenLife before may be used too.
const warmupShare = 0.7

// Warmup records that a server warms up for a time, in which it takes a rate of requests a second
// from all hosts together; a limit that it announces and that is lower goes before. With a rate
// or time of 0 it has warmed up or has no bound. Warmup reports whether the warm-up is new.
func (l *Ledger) Warmup(now time.Time, server Incarnation, rate float64, left time.Duration) bool {
	a := l.accounts[server.Server]
	ends := rate <= 0 || left <= 0
	switch {
	case a != nil && a.incarnation.StartedAtMillis > server.StartedAtMillis, ends && (a == nil || a.incarnation != server):
		return false
	case a == nil || a.incarnation != server:
		l.Forget(server.Server)
		a = &account{incarnation: server, since: now}
		l.accounts[server.Server] = a
	}
	if ends {
		l.endWarmup(a)
		return false
	}
	before, bounded := a.warmup, a.bound()
	a.warmup, a.warmUntil = Limit{Stated: true, Rate: rate * warmupShare}, now.Add(left)
	if !bounded.Stated || a.bound().Rate < bounded.Rate {
		// What was gained under the greater limit is more than this one allows.
		a.returning, a.batches, a.unallotted = 0, nil, 0
		a.deniedAt = time.Time{}
	}
	if !bounded.Stated {
		// The first request that finds no token need not wait for its own ask.
		a.wanted = 1
	}
	if !before.Stated {
		l.warming++
	}
	l.count(a, bounded.Stated)
	return !before.Stated
}

// ExpireWarmups ends the warm-ups whose time is over.
func (l *Ledger) ExpireWarmups(now time.Time) {
	if l.warming == 0 {
		return
	}
	for _, a := range l.accounts {
		if a.warmup.Stated && !now.Before(a.warmUntil) {
			l.endWarmup(a)
		}
	}
}

func (l *Ledger) endWarmup(a *account) {
	if !a.warmup.Stated {
		return
	}
	a.warmup = Limit{}
	l.warming--
	l.count(a, true)
}

// Warming returns the number of servers that warm up and have a bound for it.
func (l *Ledger) Warming() int {
	return l.warming
}

// warmupLeft returns the time until the server has warmed up, 0 if it has.
func (a *account) warmupLeft(now time.Time) time.Duration {
	if !a.warmup.Stated {
		return 0
	}
	return max(a.warmUntil.Sub(now), 0)
}
