package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

const (
	// tokensPath is where a host answers asks for tokens.
	tokensPath = "/tokens"
	// askTimeout limits an ask at one host. It allows for a host that is busy.
	askTimeout = 100 * time.Millisecond
	// allotterRetryDelay is how long a host that has not answered an ask is left out. Two
	// hosts may allot the tokens of a server for as long after a restart of one.
	allotterRetryDelay = time.Second
	// relayTimeout limits the time for which an ask is passed on, so that its answer comes
	// within askTimeout.
	relayTimeout = 40 * time.Millisecond
	// maxAllottersTried is how many hosts are asked for the same tokens.
	maxAllottersTried = 3
	// maxAskBytes bounds an ask and its answer, several times those for all servers of the
	// largest site.
	maxAskBytes = 1 << 20
	// limitHeader has one line for each server because of whose limit a slice lacks a shard:
	// the server's start time in milliseconds, its limit in requests a second, the age of
	// the limit in milliseconds and the server's ID.
	limitHeader = "X-Rhubarbpost-Limit"
	// maxIdleConnsPerAllotter is the number of idle connections kept to each host.
	maxIdleConnsPerAllotter = 2
)

// errNotAllotting means that a host can't allot tokens: it doesn't know the hosts yet, or
// runs a build without limits.
var errNotAllotting = errors.New("the host allots no tokens")

// tokenAsk asks a host for tokens.
type tokenAsk struct {
	// Host is the name of the host that needs the tokens.
	Host string         `json:"host"`
	Asks []allotter.Ask `json:"asks"`
	// Relayed means that another host passes the ask on, so that it isn't passed on again.
	Relayed bool `json:"relayed,omitempty"`
}

// tokenGrant is the answer to a tokenAsk.
type tokenGrant struct {
	Grants []allotter.Grant `json:"grants"`
}

// tokenBroker allots the tokens of servers with a limit, and gets those that other hosts
// allot.
type tokenBroker struct {
	client *http.Client

	// mu guards the fields below.
	mu       sync.Mutex
	allotter *allotter.Allotter
	// failedAt is when a host last did not answer an ask.
	failedAt map[string]time.Time
}

func newTokenBroker() *tokenBroker {
	return &tokenBroker{
		allotter: allotter.New(), failedAt: make(map[string]time.Time),
		client: &http.Client{Transport: &http.Transport{
			DialContext: Dialer(gathererDialTimeout), DisableCompression: true,
			MaxIdleConnsPerHost: maxIdleConnsPerAllotter, IdleConnTimeout: idleConnTimeout,
		}},
	}
}

func (b *tokenBroker) close() {
	b.client.CloseIdleConnections()
}

// allot allots the tokens that this host is responsible for.
func (b *tokenBroker) allot(host string, asks []allotter.Ask) []allotter.Grant {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allotter.Allot(time.Now(), host, asks)
}

// available reports whether a host has not failed to answer an ask lately.
func (b *tokenBroker) available(host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, failed := b.failedAt[host]
	return !failed || time.Since(at) >= allotterRetryDelay
}

// answered records whether a host has answered an ask.
func (b *tokenBroker) answered(host string, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if err == nil {
		delete(b.failedAt, host)
		return
	}
	b.failedAt[host] = time.Now()
}

// askForTokens gets tokens from the hosts that allot them. It returns the asks that no
// host has answered.
func (f *Forwarder) askForTokens(ctx context.Context, asks []allotter.Ask) (grants []allotter.Grant, unanswered []allotter.Ask) {
	allotters := f.delegate.listedAllotters()
	groups := make(map[int][]allotter.Ask)
	for _, ask := range asks {
		group := allotters.Group(ask.Server)
		groups[group] = append(groups[group], ask)
	}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, group := range slices.Sorted(maps.Keys(groups)) {
		calls.Go(func() {
			answer, err := f.tokensOf(ctx, allotters.Preference(group), tokenAsk{Host: f.Settings().Name, Asks: groups[group]})
			f.metrics.tokenAsk(err)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered = append(unanswered, groups[group]...)
				f.cfg.Logger.Info(logger.TokensMissed, "servers", len(groups[group]), "error", err)
				return
			}
			grants = append(grants, answer.Grants...)
		})
	}
	calls.Wait()
	return grants, unanswered
}

// tokensOf gets tokens from the first of the hosts that answers, which may be this one.
func (f *Forwarder) tokensOf(ctx context.Context, hosts []delegator.Host, ask tokenAsk) (tokenGrant, error) {
	self := f.Settings().Name
	err := errNotAllotting
	tried := 0
	for _, host := range hosts {
		if host.Name == self {
			return tokenGrant{f.tokens.allot(ask.Host, ask.Asks)}, nil
		}
		if tried == maxAllottersTried || !f.tokens.available(host.Name) {
			continue
		}
		tried++
		var answer tokenGrant
		answer, err = f.tokens.call(ctx, host.Address, ask)
		f.tokens.answered(host.Name, err)
		if err == nil {
			return answer, nil
		}
		err = fmt.Errorf("%s: %w", host.Name, err)
	}
	return tokenGrant{}, err
}

// call asks one host.
func (b *tokenBroker) call(ctx context.Context, address string, ask tokenAsk) (tokenGrant, error) {
	var answer tokenGrant
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	body, err := json.Marshal(ask)
	if err != nil {
		return answer, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+tokensPath, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	response, err := b.client.Do(r)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, fmt.Errorf("%w: status %d", errNotAllotting, response.StatusCode)
	}
	return answer, json.NewDecoder(io.LimitReader(response.Body, maxAskBytes)).Decode(&answer)
}

// serveTokens answers an ask of another host. That host has found those preferred to this
// one unreachable; if they are not, the ask is passed on, so that a single host allots.
func (f *Forwarder) serveTokens(w http.ResponseWriter, r *http.Request) {
	var ask tokenAsk
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAskBytes)).Decode(&ask)
	if err != nil || ask.Host == "" || len(ask.Asks) == 0 {
		http.Error(w, fmt.Sprintf("not an ask for tokens: %v", err), http.StatusBadRequest)
		return
	}
	answer, err := f.answerAsk(r.Context(), ask)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the other host is gone.
	_ = json.NewEncoder(w).Encode(answer)
}

func (f *Forwarder) answerAsk(ctx context.Context, ask tokenAsk) (tokenGrant, error) {
	allotters := f.delegate.listedAllotters()
	hosts := allotters.Preference(allotters.Group(ask.Asks[0].Server))
	switch {
	case len(hosts) == 0:
		return tokenGrant{}, errNotAllotting
	case ask.Relayed:
		return tokenGrant{f.tokens.allot(ask.Host, ask.Asks)}, nil
	}
	ask.Relayed = true
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return f.tokensOf(ctx, hosts, ask)
}

// tokensAnswered has the answers to the asks of this host.
type tokensAnswered struct {
	grants     []allotter.Grant
	unanswered []allotter.Ask
}

// limitNotice is a limit that a gathering host has told.
type limitNotice struct {
	incarnation allotter.Incarnation
	// rate is in requests per second, age the time since the server announced it.
	rate float64
	age  time.Duration
	// host is the name of the gathering host.
	host string
}

// hostCount is a changed number of hosts.
type hostCount struct{ n int }

func (tokensAnswered) engineEvent() {}
func (limitNotice) engineEvent()    {}
func (hostCount) engineEvent()      {}

// stepLimits handles the events that concern limits.
func (e *engine) stepLimits(now time.Time, item event) {
	switch item := item.(type) {
	case tokensAnswered:
		e.addTokens(now, item)
	case limitNotice:
		e.hearLimit(now, item)
	case hostCount:
		e.machine.SetHosts(item.n)
	}
}

// askForTokens sends the asks that are due, one round at a time.
func (e *engine) askForTokens(now time.Time) {
	if e.asking {
		return
	}
	asks := e.machine.Asks(now)
	if len(asks) == 0 {
		return
	}
	e.asking = true
	e.exchanges.Go(func() {
		grants, unanswered := e.askHosts(e.ctx, asks)
		e.push(tokensAnswered{grants, unanswered})
	})
}

// addTokens applies the answers of other hosts.
func (e *engine) addTokens(now time.Time, item tokensAnswered) {
	e.asking = false
	for _, update := range e.machine.Grant(now, item.grants, item.unanswered) {
		e.limitChanged(update, "peer")
	}
	e.act(e.machine.Step(now, &scatterer.TokensAsked{}))
}

// processLimit records the limit that a server announces in its answer.
func (e *engine) processLimit(server *lister.Server, a *Answer) {
	now := time.Now()
	if a.LimitErr != nil && e.machine.RejectLimit(now, server) {
		e.log.Warn(logger.LimitRejected, "server", server.ID, "domain", server.Domain, "error", a.LimitErr)
	}
	if a.Limit == nil {
		return
	}
	change, usage := e.machine.Limit(now, server, *a.Limit)
	incarnation := allotter.Incarnation{Server: server.ID, StartedAtMillis: server.StartedAtMillis}
	e.limitChanged(allotter.Update{Incarnation: incarnation, Change: change, Limit: *a.Limit, Usage: usage}, "server")
}

// limitsOf returns the limits because of which a slice lacks sub-requests.
func (e *engine) limitsOf(r *arrival, missing []scatterer.MissingSubRequest) []limitNotice {
	if !r.slice {
		return nil
	}
	var notices []limitNotice
	now := time.Now()
	for _, sub := range missing {
		if sub.Code != classifier.LimitReached {
			continue
		}
		for _, server := range e.servers.Servers(sub.Service) {
			limit, age, ok := e.machine.Announced(now, server)
			if ok {
				incarnation := allotter.Incarnation{Server: server.ID, StartedAtMillis: server.StartedAtMillis}
				notices = append(notices, limitNotice{incarnation: incarnation, rate: limit.Rate, age: age})
			}
		}
	}
	return notices
}

// hearLimit records a limit that a gathering host has told.
func (e *engine) hearLimit(now time.Time, item limitNotice) {
	limit := allotter.Limit{Stated: true, Rate: item.rate}
	change, usage := e.machine.HearLimit(now, item.incarnation, limit, item.age)
	e.limitChanged(allotter.Update{Incarnation: item.incarnation, Change: change, Limit: limit, Usage: usage}, item.host)
}

// addLimits adds the limits because of which a slice lacks shards to the headers of its
// answer, so that the other host sends the requests for them by its own tokens.
func addLimits(h http.Header, limits []limitNotice) {
	for _, l := range limits {
		h.Add(limitHeader, fmt.Sprintf("%d %g %d %s", l.incarnation.StartedAtMillis, l.rate, l.age.Milliseconds(), l.incarnation.Server))
	}
}

// takeLimits removes the limits that another host has told from the headers of its answer
// and returns them. Lines that can't be parsed are ignored.
func takeLimits(h http.Header, host string) []limitNotice {
	var notices []limitNotice
	for _, line := range h.Values(limitHeader) {
		var ageMillis int64
		l := limitNotice{host: host}
		_, err := fmt.Sscanf(line, "%d %g %d %s", &l.incarnation.StartedAtMillis, &l.rate, &ageMillis, &l.incarnation.Server)
		if err == nil && l.rate >= 0 {
			l.age = time.Duration(ageMillis) * time.Millisecond
			notices = append(notices, l)
		}
	}
	h.Del(limitHeader)
	return notices
}

// limitChanged logs a change of a limit; source is who has told it.
func (e *engine) limitChanged(update allotter.Update, source string) {
	event := logger.LimitChanged
	switch update.Change {
	case allotter.Unchanged:
		return
	case allotter.Started:
		event = logger.LimitStarted
	case allotter.Ended:
		event = logger.LimitEnded
	case allotter.Changed:
	}
	e.metrics.limited.Set(float64(e.machine.LimitedServers()))
	e.log.Info(event, "server", update.Server, "born", update.StartedAtMillis, "source", source,
		"perSecond", update.Limit.Rate, "before", update.Usage.Limit.Rate, "attempts", update.Usage.Attempts, "forMillis", update.Usage.For.Milliseconds())
}
