package allotter

import "time"

// account is what a host knows of the limit of one server.
type account struct {
	incarnation Incarnation
	limit       Limit
	// since is when this host learnt that the server has a limit, attempts the number of
	// attempts that it has sent there since then.
	since    time.Time
	attempts int
}

// Ledger holds the limits of the servers of one host.
type Ledger struct {
	accounts map[string]*account
}

// NewLedger returns a ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[string]*account)}
}

// Len returns the number of servers with a limit.
func (l *Ledger) Len() int {
	return len(l.accounts)
}

// Usage describes how a host has used a server with a limit.
type Usage struct {
	Limit Limit
	// Attempts is the number of attempts in the time For that the limit has been known.
	Attempts int
	For      time.Duration
}

// Observe records what an answer of a server says of its limit. The usage is that under
// the limit known before.
func (l *Ledger) Observe(now time.Time, server Incarnation, limit Limit) (Change, Usage) {
	a := l.accounts[server.Server]
	if a != nil && a.incarnation != server {
		delete(l.accounts, server.Server)
		a = nil
	}
	if a == nil {
		if limit.Stated {
			l.accounts[server.Server] = &account{incarnation: server, limit: limit, since: now}
		}
		return changeOf(Limit{}, limit), Usage{}
	}
	usage := Usage{Limit: a.limit, Attempts: a.attempts, For: now.Sub(a.since)}
	change := changeOf(a.limit, limit)
	a.limit = limit
	if change == Ended {
		delete(l.accounts, server.Server)
	}
	return change, usage
}

// Sent records an attempt and reports whether its server has a limit.
func (l *Ledger) Sent(server Incarnation) bool {
	a := l.accounts[server.Server]
	if a == nil || a.incarnation != server {
		return false
	}
	a.attempts++
	return true
}

// Forget drops what is known of a server.
func (l *Ledger) Forget(server string) {
	delete(l.accounts, server)
}
