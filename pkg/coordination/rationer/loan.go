package rationer

import (
	"math"
	"slices"
	"time"
)

const (
	// loanTime is for how long a domain borrows the tokens that its own part lacks.
	loanTime = 300 * time.Millisecond
	// reserveTime is for how long of its own demand a domain keeps tokens.
	reserveTime = 500 * time.Millisecond
	// minLoan is the least part of a token that is lent.
	minLoan = 0.25
	// minLoanInterval is the least time until a domain without tokens to lend is asked again,
	// silenceTime that for one that has not answered.
	minLoanInterval = 100 * time.Millisecond
	silenceTime     = time.Second
)

// LoanAsk asks another failure domain for tokens.
type LoanAsk struct {
	Subject

	Tokens int `json:"tokens"`
}

// Loan is the answer to a LoanAsk. Its tokens have left the bucket of the lender, so that those
// of an answer that is lost are never used.
type Loan struct {
	// Tokens may have a fraction, so that what is left in several buckets adds up.
	Tokens float64 `json:"tokens"`
	// WaitMillis is when the lender may have a token to lend if it has lent less than asked for.
	WaitMillis int64 `json:"waitMillis"`
}

// Borrow returns what to ask for to serve requests that miss tokens, and which of the other
// domains, in their order; false if none of them may have any.
func (r *Rationer) Borrow(now time.Time, p Position, s Subject, missing int, others []string) (domain string, ask LoanAsk, ok bool) {
	b := r.bucket(now, p, s)
	first := max(slices.Index(others, b.next), 0)
	for i := range others {
		domain = others[(first+i)%len(others)]
		if now.Before(b.lenders[domain]) {
			continue
		}
		b.next = domain
		lacking := max(b.demand.Add(now, 0)-b.terms.rate, 0) * loanTime.Seconds()
		n := min(missing+int(lacking), int(math.Ceil(b.terms.capacity)))
		return domain, LoanAsk{Subject: Subject{s.Organisation, b.version, b.quota}, Tokens: max(n, missing)}, true
	}
	return "", LoanAsk{}, false
}

// Lend answers another domain. What the own domain needs soon stays in the bucket.
func (r *Rationer) Lend(now time.Time, p Position, ask LoanAsk) Loan {
	b := r.bucket(now, p, ask.Subject)
	reserve := min(b.demand.Add(now, 0)*reserveTime.Seconds(), b.terms.capacity/2)
	var loan Loan
	spare := min(float64(ask.Tokens), b.level-reserve)
	if spare >= minLoan {
		loan.Tokens = spare
		b.level -= spare
	}
	if loan.Tokens < float64(ask.Tokens) {
		loan.WaitMillis = max(b.untilLevel(1+reserve), minLoanInterval).Milliseconds()
	}
	return loan
}

// Borrowed adds the tokens of a loan to the bucket of an organisation.
func (r *Rationer) Borrowed(now time.Time, organisation, domain string, loan Loan) {
	b := r.buckets[organisation]
	if b == nil {
		return
	}
	b.level += max(loan.Tokens, 0)
	if loan.WaitMillis > 0 {
		b.leave(domain, now.Add(time.Duration(loan.WaitMillis)*time.Millisecond))
	}
}

// NotLent records that a domain has not answered.
func (r *Rationer) NotLent(now time.Time, organisation, domain string) {
	b := r.buckets[organisation]
	if b != nil {
		b.leave(domain, now.Add(silenceTime))
	}
}

// leave leaves a domain out until a time.
func (b *bucket) leave(domain string, until time.Time) {
	if b.lenders == nil {
		b.lenders = make(map[string]time.Time)
	}
	b.lenders[domain] = until
}
