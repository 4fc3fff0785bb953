package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/rationer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
)

const (
	// quotasPath is where a host answers asks for tokens of quotas.
	quotasPath = "/quotas"
	// quotaAskTimeout limits an ask at one host, quotaRelayTimeout the time in which that host
	// passes it on, and loanTimeout the time in which it borrows, so that its answer is in time.
	quotaAskTimeout   = 40 * time.Millisecond
	quotaRelayTimeout = 15 * time.Millisecond
	loanTimeout       = 10 * time.Millisecond
	// maxKeepersTried is how many hosts are asked on behalf of the same requests.
	maxKeepersTried = 3
	// maxQuotaBytes bounds a message, many times its size.
	maxQuotaBytes = 64 << 10
)

// quotaMessage asks the host that keeps the bucket of an organisation for tokens, of which one
// field is set.
type quotaMessage struct {
	// Ask comes from a host of the own failure domain, Loan from another one.
	Ask  *rationer.Ask     `json:"ask,omitempty"`
	Loan *rationer.LoanAsk `json:"loan,omitempty"`
	// Relayed means that another host passes the message on.
	Relayed bool `json:"relayed,omitempty"`
}

func (m quotaMessage) subject() rationer.Subject {
	if m.Loan != nil {
		return m.Loan.Subject
	}
	return m.Ask.Subject
}

// valid reports whether a message of another host can be used.
func (m quotaMessage) valid() bool {
	if (m.Ask == nil) == (m.Loan == nil) {
		return false
	}
	s := m.subject()
	return s.Organisation != "" && s.Quota.Rate > 0 && s.Quota.Burst >= 0
}

// quotaAnswer is the answer to a quotaMessage.
type quotaAnswer struct {
	Grant rationer.Grant `json:"grant"`
	Loan  rationer.Loan  `json:"loan"`
}

// keepers returns the hosts of a failure domain in the order in which they keep the bucket of an
// organisation: each one only while those before it are lost.
func (f *Forwarder) keepers(domain, organisation string) []delegator.Host {
	keepers := f.delegate.keepersOf(domain)
	return keepers.Preference(keepers.Group(organisation))
}

// quotaAnswerFor sends a message to the hosts of a failure domain until one answers, which may
// be this one.
func (f *Forwarder) quotaAnswerFor(ctx context.Context, domain string, m quotaMessage, timeout time.Duration) (quotaAnswer, error) {
	self, err, tried := f.Settings().Name, errCallRejected, 0
	for _, host := range f.keepers(domain, m.subject().Organisation) {
		if host.Name == self {
			return f.answerQuota(ctx, m)
		}
		if tried == maxKeepersTried || !f.quotas.asked(host.Name) {
			continue
		}
		tried++
		var answer quotaAnswer
		answer, err = f.callKeeper(ctx, host, m, timeout)
		if err == nil {
			f.quotas.answered(answer.Grant.By)
			return answer, nil
		}
		err = fmt.Errorf("%s: %w", host.Name, err)
	}
	return quotaAnswer{}, err
}

// asked reports whether a host is asked before those after it.
func (q *quotas) asked(host string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return !q.contacts.Avoided(time.Now(), host)
}

// lost reports whether this host answers in place of one before it without trying that.
func (q *quotas) lost(host string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.contacts.Lost(time.Now(), host)
}

// answered records that a host has answered, directly or through another one.
func (q *quotas) answered(host string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.contacts.Answered(host)
}

// callKeeper sends a message to one host.
func (f *Forwarder) callKeeper(ctx context.Context, host delegator.Host, m quotaMessage, timeout time.Duration) (quotaAnswer, error) {
	limited, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	q := f.quotas
	answer, err := postJSON[quotaAnswer](limited, q.client, "http://"+host.Address+quotasPath, m, maxQuotaBytes)
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case err == nil:
		q.contacts.Answered(host.Name)
	case errors.Is(err, errCallRejected) || errors.Is(ctx.Err(), context.Canceled):
	default:
		q.contacts.Silent(time.Now(), host.Name, errors.Is(err, syscall.ECONNREFUSED))
	}
	return answer, err
}

// serveQuotas answers a message of another host.
func (f *Forwarder) serveQuotas(w http.ResponseWriter, r *http.Request) {
	m, err := decoder.Body[quotaMessage](r.Body, maxQuotaBytes)
	if err != nil || !m.valid() {
		http.Error(w, fmt.Sprintf("not an ask for tokens of a quota: %v", err), http.StatusBadRequest)
		return
	}
	// A host that has given up still lets this one find out which hosts are lost.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), quotaAskTimeout)
	defer cancel()
	answer, err := f.answerQuota(ctx, m)
	answerJSON(w, answer, err)
}

// answerQuota answers a message. It is passed on to the hosts before this one unless they are
// lost, so that a single host keeps the bucket.
func (f *Forwarder) answerQuota(ctx context.Context, m quotaMessage) (quotaAnswer, error) {
	self, organisation := f.Settings(), m.subject().Organisation
	for rank, host := range f.keepers(self.Domain, organisation) {
		if host.Name == self.Name || m.Relayed {
			return f.keepBucket(ctx, rank > 0 || host.Name != self.Name, m), nil
		}
		if f.quotas.lost(host.Name) {
			continue
		}
		relayed := m
		relayed.Relayed = true
		answer, err := f.callKeeper(ctx, host, relayed, quotaRelayTimeout)
		if err == nil {
			f.quotas.mu.Lock()
			f.quotas.rationer.Forget(organisation)
			f.quotas.mu.Unlock()
			return answer, nil
		}
	}
	return quotaAnswer{}, errCallRejected
}

// keepBucket answers a message from the bucket that this host keeps.
func (f *Forwarder) keepBucket(ctx context.Context, substitute bool, m quotaMessage) quotaAnswer {
	q, self := f.quotas, f.Settings()
	domains := f.delegate.domainsWith(slices.Concat(self.Quota.Domains, []string{self.Domain}))
	p := rationer.Position{Domains: len(domains), Substitute: substitute}
	q.mu.Lock()
	known := q.rationer.Knows(m.subject().Organisation)
	q.startTicks(f)
	var answer quotaAnswer
	if m.Loan != nil {
		answer.Loan = q.rationer.Lend(time.Now(), p, *m.Loan)
	} else {
		answer.Grant = q.rationer.Allot(time.Now(), p, *m.Ask)
	}
	q.mu.Unlock()
	if substitute && !known {
		f.cfg.Logger.Info(logger.QuotaTakenOver, "organisation", m.subject().Organisation, "relayed", m.Relayed)
	}
	if m.Loan == nil && answer.Grant.Tokens < m.Ask.Waiting {
		others := slices.DeleteFunc(domains, func(domain string) bool { return domain == self.Domain })
		f.borrow(ctx, p, others, *m.Ask, &answer.Grant)
	}
	answer.Grant.By = self.Name
	f.metrics.quotaTokens("granted", float64(answer.Grant.Tokens))
	f.metrics.quotaTokens("lent", answer.Loan.Tokens)
	return answer
}

// borrow gets tokens of other failure domains for the requests that a grant leaves without.
func (f *Forwarder) borrow(ctx context.Context, p rationer.Position, others []string, ask rationer.Ask, g *rationer.Grant) {
	q := f.quotas
	ctx, cancel := context.WithTimeout(ctx, loanTimeout)
	defer cancel()
	for g.Tokens < ask.Waiting && ctx.Err() == nil {
		missing := ask.Waiting - g.Tokens
		q.mu.Lock()
		domain, loanAsk, ok := q.rationer.Borrow(time.Now(), p, ask.Subject, missing, others)
		q.mu.Unlock()
		if !ok {
			return
		}
		answer, err := f.quotaAnswerFor(ctx, domain, quotaMessage{Loan: &loanAsk}, loanTimeout)
		q.mu.Lock()
		if err == nil {
			q.rationer.Borrowed(time.Now(), ask.Organisation, domain, answer.Loan)
		} else {
			q.rationer.NotLent(time.Now(), ask.Organisation, domain)
		}
		more := q.rationer.Allot(time.Now(), p, rationer.Ask{Subject: ask.Subject, Waiting: missing})
		q.mu.Unlock()
		f.metrics.quotaTokens("borrowed", answer.Loan.Tokens)
		if err != nil {
			f.cfg.Logger.Info(logger.QuotaNotLent, "organisation", ask.Organisation, "domain", domain, "tokens", loanAsk.Tokens, "error", err)
		}
		more.Tokens += g.Tokens
		*g = more
	}
}

// startTicks tells the rationer the time while it has buckets. The caller holds q.mu.
func (q *quotas) startTicks(f *Forwarder) {
	if q.ticker != nil || q.closed {
		return
	}
	q.ticker = time.AfterFunc(rationer.TickInterval, func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		stood := q.rationer.Tick(time.Now())
		if stood {
			f.cfg.Logger.Info(logger.QuotaTimeLost, "buckets", q.rationer.Len())
		}
		f.metrics.quotaBuckets.Set(float64(q.rationer.Len()))
		if q.closed || q.rationer.Len() == 0 {
			q.ticker = nil
			return
		}
		q.ticker.Reset(rationer.TickInterval)
	})
}
