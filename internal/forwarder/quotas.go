package forwarder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/sleeper"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/rationer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const (
	// quotaObjectiveShare is the part of a latency objective for which a request waits for a
	// token, minQuotaWait the least time: that of one ask at a host that is lost and at another.
	quotaObjectiveShare = 4
	minQuotaWait        = 100 * time.Millisecond
	// quotaAskLimit is how long an ask goes on, also after the requests that waited for it: it
	// finds out which hosts are lost.
	quotaAskLimit = 250 * time.Millisecond
	// keepersPollInterval is how often a host that has just started looks for the hosts that it
	// knows.
	keepersPollInterval = 10 * time.Millisecond
)

// quotas admits requests by the quotas of their organisations.
type quotas struct {
	client *http.Client
	// ctx ends with close; asks counts the asks that run.
	ctx    context.Context
	cancel context.CancelFunc
	asks   sync.WaitGroup

	// mu guards the fields below.
	mu       sync.Mutex
	purse    *rationer.Purse
	rationer *rationer.Rationer
	contacts *rationer.Contacts
	// asking has a channel for each organisation that an ask runs for, which is closed with its
	// end; waiting counts the requests that wait for tokens.
	asking  map[string]chan struct{}
	waiting map[string]int
	// ticker tells the rationer the time while it has buckets.
	ticker *time.Timer
	closed bool
}

func newQuotas(rule rationer.Rule) *quotas {
	q := &quotas{
		purse: rationer.NewPurse(rule), rationer: rationer.New(rule), contacts: rationer.NewContacts(),
		asking: make(map[string]chan struct{}), waiting: make(map[string]int),
		client: &http.Client{Transport: &http.Transport{
			DialContext: Dialer(gathererDialTimeout), DisableCompression: true,
			MaxIdleConnsPerHost: maxIdleConnsPerAllotter, IdleConnTimeout: idleConnTimeout,
		}},
	}
	q.ctx, q.cancel = context.WithCancel(context.Background())
	return q
}

func (q *quotas) close() {
	q.mu.Lock()
	q.closed = true
	if q.ticker != nil {
		q.ticker.Stop()
	}
	q.mu.Unlock()
	q.cancel()
	q.asks.Wait()
	q.client.CloseIdleConnections()
}

// subjectOf returns what the quota of a request is charged to; false if nothing bounds it.
func subjectOf(a *arrival) (rationer.Subject, bool) {
	o := a.organisation
	if o == nil || !o.Quota.Limited() {
		return rationer.Subject{}, false
	}
	return rationer.Subject{Organisation: o.Name, Version: a.version, Quota: rationer.Quota{Rate: o.Quota.Rate, Burst: o.Quota.Burst}}, true
}

// spendQuota charges a request to the quota of its organisation, or returns why it is refused.
func (f *Forwarder) spendQuota(ctx context.Context, a *arrival) *classifier.Failure {
	subject, ok := subjectOf(a)
	if !ok {
		return nil
	}
	limited, cancel := context.WithTimeout(ctx, max(a.route.Objective/quotaObjectiveShare, minQuotaWait))
	defer cancel()
	began := time.Now()
	charge, denial := f.takeToken(limited, subject)
	switch {
	case denial == nil:
		a.charge = charge
		f.metrics.quotaSpent(charge)
		return nil
	case ctx.Err() != nil:
		return classifier.NewFailure(classifier.Canceled, "while the request waited for the quota of %q", subject.Organisation)
	}
	f.metrics.quotaDenied(denial)
	now := time.Now()
	f.cfg.Logger.Info(logger.QuotaReached, "request", a.call.ID, "organisation", subject.Organisation, "version", subject.Version,
		"rate", denial.Grant.Quota.Rate, "burst", denial.Grant.Quota.Burst, "left", denial.Grant.Left, "by", denial.Grant.By,
		"ageMillis", now.Sub(denial.At).Milliseconds(), "unanswered", denial.Unanswered,
		"waitedMillis", now.Sub(began).Milliseconds(), "retryAfterMillis", denial.Wait.Milliseconds())
	if denial.Unanswered {
		return classifier.NewFailure(classifier.QuotaReached, "no host of the failure domain tells what is left of the quota of %q", subject.Organisation).
			WithRetryAfter(denial.Wait)
	}
	return classifier.NewFailure(classifier.QuotaReached, "%q may send %v requests a second", subject.Organisation, denial.Grant.Quota.Rate).
		WithRetryAfter(denial.Wait)
}

// takeToken waits until there is a token for a request, or returns why there is none.
func (f *Forwarder) takeToken(ctx context.Context, s rationer.Subject) (rationer.Charge, *rationer.Denial) {
	q := f.quotas
	q.mu.Lock()
	defer q.mu.Unlock()
	q.purse.Want(time.Now(), s)
	q.waiting[s.Organisation]++
	defer q.leave(s.Organisation)
	for {
		now := time.Now()
		charge, ok := q.purse.Spend(now, s.Organisation)
		if ok {
			return charge, nil
		}
		denial, denied := q.purse.Denied(now, s.Organisation)
		switch {
		case denied:
			return rationer.Charge{}, &denial
		case ctx.Err() != nil || q.closed:
			return rationer.Charge{}, &rationer.Denial{Wait: transientRetryAfter, At: now, Grant: rationer.Grant{Quota: s.Quota}, Unanswered: true}
		}
		done, asking := q.asking[s.Organisation]
		if !asking {
			done = make(chan struct{})
			q.asking[s.Organisation] = done
			q.asks.Go(func() { f.askForQuota(s.Organisation, done) })
		}
		q.mu.Unlock()
		select {
		case <-done:
		case <-ctx.Done():
		}
		q.mu.Lock()
	}
}

// leave ends the wait of a request. The caller holds q.mu.
func (q *quotas) leave(organisation string) {
	q.waiting[organisation]--
	if q.waiting[organisation] == 0 {
		delete(q.waiting, organisation)
	}
}

// askForQuota gets tokens for the requests that wait, and for those expected soon.
func (f *Forwarder) askForQuota(organisation string, done chan struct{}) {
	q := f.quotas
	ctx, cancel := context.WithTimeout(q.ctx, quotaAskLimit)
	defer cancel()
	f.awaitKeepers(ctx, organisation)
	q.mu.Lock()
	q.purse.SetHosts(max(len(f.delegate.listedHosts()), assumedHosts))
	askedAt := time.Now()
	ask, ok := q.purse.Ask(askedAt, organisation, q.waiting[organisation])
	q.mu.Unlock()
	if ok {
		answer, err := f.quotaAnswerFor(ctx, f.Settings().Domain, quotaMessage{Ask: &ask}, quotaAskTimeout)
		f.metrics.quotaAsk(err)
		if err != nil {
			f.cfg.Logger.Info(logger.QuotaUnanswered, "organisation", organisation, "waiting", ask.Waiting, "error", err,
				"tookMillis", time.Since(askedAt).Milliseconds())
		}
		q.mu.Lock()
		if err != nil {
			q.purse.Unanswered(time.Now(), ask)
		} else {
			q.purse.Grant(time.Now(), askedAt, ask, answer.Grant)
		}
		q.mu.Unlock()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.asking, organisation)
	close(done)
}

// awaitKeepers waits a little while a host that has just started knows no others.
func (f *Forwarder) awaitKeepers(ctx context.Context, organisation string) {
	ctx, cancel := context.WithTimeout(ctx, minQuotaWait)
	defer cancel()
	for ctx.Err() == nil && len(f.keepers(f.Settings().Domain, organisation)) == 0 {
		sleeper.Sleep(ctx, keepersPollInterval)
	}
}

// returnQuota gives back what a request that has not run was charged.
func (f *Forwarder) returnQuota(a *arrival) {
	if a.charge.Organisation == "" {
		return
	}
	q := f.quotas
	q.mu.Lock()
	returned := q.purse.Return(time.Now(), a.charge)
	q.mu.Unlock()
	a.charge = rationer.Charge{}
	f.metrics.quotaReturned(returned)
}
