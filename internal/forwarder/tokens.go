package forwarder

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
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
	// maxIdleConnsPerAllotter is the number of idle connections kept to each host.
	maxIdleConnsPerAllotter = 2
)

// tokenAsk asks a host for tokens.
type tokenAsk struct {
	// Host is the name of the host that needs the tokens.
	Host string                     `json:"host"`
	Asks decoder.List[allotter.Ask] `json:"asks"`
	// Relayed means that another host passes the ask on, so that it isn't passed on again.
	Relayed bool `json:"relayed,omitempty"`
}

// tokenGrant is the answer to a tokenAsk.
type tokenGrant struct {
	Grants decoder.List[allotter.Grant] `json:"grants"`
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
			answer, err := f.tokensOf(ctx, allotters.Preference(group), tokenAsk{Host: f.Settings().Name, Asks: decoder.NewList(groups[group])})
			f.metrics.tokenAsk(err)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				unanswered = append(unanswered, groups[group]...)
				f.cfg.Logger.Info(logger.TokensMissed, "servers", len(groups[group]), "error", err)
				return
			}
			f.logRejected("tokens", answer.Grants.Rejected)
			grants = append(grants, answer.Grants.Elements...)
		})
	}
	calls.Wait()
	return grants, unanswered
}

// tokensOf gets tokens from the first of the hosts that answers, which may be this one.
func (f *Forwarder) tokensOf(ctx context.Context, hosts []delegator.Host, ask tokenAsk) (tokenGrant, error) {
	self := f.Settings().Name
	err := errCallRejected
	tried := 0
	for _, host := range hosts {
		if host.Name == self {
			return tokenGrant{decoder.NewList(f.tokens.allot(ask.Host, ask.Asks.Elements))}, nil
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
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	return postJSON[tokenGrant](ctx, b.client, "http://"+address+tokensPath, ask, maxAskBytes)
}

// serveTokens answers an ask of another host. That host has found those preferred to this
// one unreachable; if they are not, the ask is passed on, so that a single host allots.
func (f *Forwarder) serveTokens(w http.ResponseWriter, r *http.Request) {
	ask, err := decoder.Body[tokenAsk](r.Body, maxAskBytes)
	if err != nil || ask.Host == "" || len(ask.Asks.Elements) == 0 {
		http.Error(w, fmt.Sprintf("not an ask for tokens: %v", err), http.StatusBadRequest)
		return
	}
	f.logRejected(ask.Host, ask.Asks.Rejected)
	answer, err := f.answerAsk(r.Context(), ask)
	answerJSON(w, answer, err)
}

func (f *Forwarder) answerAsk(ctx context.Context, ask tokenAsk) (tokenGrant, error) {
	allotters := f.delegate.listedAllotters()
	hosts := allotters.Preference(allotters.Group(ask.Asks.Elements[0].Server))
	switch {
	case len(hosts) == 0:
		return tokenGrant{}, errCallRejected
	case ask.Relayed:
		return tokenGrant{decoder.NewList(f.tokens.allot(ask.Host, ask.Asks.Elements))}, nil
	}
	ask.Relayed = true
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return f.tokensOf(ctx, hosts, ask)
}
