package orderer

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/provider"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/ticketer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

// backend runs each order for serviceTime, or rejects all orders.
type backend struct {
	serviceTime time.Duration
	rejects     bool
	runs        map[string]int
}

// Order counts the order.
func (b *backend) Order(ctx context.Context, server messenger.Server, order *messenger.ServerOrder) (*messenger.ServerOrderAnswer, error) {
	if b.rejects {
		return nil, classifier.NewFailure(classifier.ServerRejected, "").WithRetryAfter(time.Second)
	}
	b.runs[order.OrderID]++
	select {
	case <-time.After(b.serviceTime):
	case <-ctx.Done():
		return nil, classifier.NewFailure(classifier.OrderUnknown, "").WithCause(ctx.Err())
	}
	return &messenger.ServerOrderAnswer{OrderID: order.OrderID, Server: messenger.ServerStatus{ID: server.ID, Incarnation: 1}}, nil
}

// Probe returns a healthy status.
func (b *backend) Probe(_ context.Context, server messenger.Server) (messenger.ServerStatus, error) {
	return messenger.ServerStatus{ID: server.ID, Incarnation: 1}, nil
}

func newEngine(policy configurer.Policy, b *backend, store *provider.Store) *Engine {
	document := configurer.Template(configurer.KindOrder)
	document.Service = "order-desk"
	document.Connections.Hosts = 1
	document.Order.Policy = policy
	document.Order.ClaimsPerSecond = 1000
	document.Order.ClaimLife = decoder.NewDuration(10 * time.Minute)
	e := New(Config{Document: document, Backend: b, Store: store, Home: "h", Incarnation: 1})
	e.SetServers([]messenger.Server{{ID: "s", State: messenger.ServerLive, Incarnation: 1}})
	return e
}

func order(life time.Duration) Order {
	return Order{RequestID: "r", Caller: "c", Deadline: time.Now().Add(life), Body: json.RawMessage(`{}`)}
}

// TestOutageOfTenMinutes submits one order per second by ticket during a store
// outage of ten minutes. All must run exactly once, since tickets don't need the
// store; an order by claim must fail without being sent.
func TestOutageOfTenMinutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := provider.NewStore()
		store.SetFaults(provider.Faults{Outage: true})
		b := &backend{serviceTime: 10 * time.Millisecond, runs: make(map[string]int)}
		e := newEngine(configurer.PolicyTicket, b, store)
		defer e.Close()
		done := 0
		for range 600 {
			ticket, failure := e.Issue()
			is.True(failure == nil)
			if e.SubmitTicket(context.Background(), ticket, order(time.Second)).Code == classifier.OrderDone {
				done++
			}
			time.Sleep(time.Second)
		}
		is.Equal(done, 600) // all are served
		is.Equal(e.SubmitClaim(context.Background(), "k", order(time.Second)).Code, classifier.PlatformUnavailable)
		for id, n := range b.runs {
			is.Equal(n, 1)
			is.True(!strings.HasPrefix(id, configurer.ClaimPrefix)) // the claim was not sent
		}
	})
}

// TestOutcomes checks that each failure mode gives the right one of the three
// outcomes within the deadline.
func TestOutcomes(t *testing.T) {
	for name, c := range map[string]struct {
		backend backend
		life    time.Duration
		wanted  classifier.Code
	}{
		"done":                           {backend{serviceTime: time.Millisecond}, time.Second, classifier.OrderDone},
		"refused":                        {backend{rejects: true}, time.Second, classifier.OrderNotRun},
		"late":                           {backend{serviceTime: time.Minute}, time.Second, classifier.OrderUnknown},
		"deadline passed before sending": {backend{}, -time.Second, classifier.OrderNotRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := &c.backend
				b.runs = make(map[string]int)
				e := newEngine(configurer.PolicyTicket, b, provider.NewStore())
				defer e.Close()
				ticket, failure := e.Issue()
				is.True(failure == nil)
				started := time.Now()
				result := e.SubmitTicket(context.Background(), ticket, order(c.life))
				is.Equal(result.Code, c.wanted)
				is.True(time.Since(started) <= time.Second) // the result arrives by the deadline
				if c.wanted.NotRun() {
					is.Equal(len(b.runs), 0)
				}
			})
		})
	}
}

// TestLastServerDraining checks that an order fails immediately, with a
// Retry-After, when the only backend server is draining.
func TestLastServerDraining(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		e := newEngine(configurer.PolicyTicket, &backend{runs: make(map[string]int)}, provider.NewStore())
		defer e.Close()
		e.SetServers([]messenger.Server{{ID: "s", State: messenger.ServerDraining, Incarnation: 1}})
		ticket, failure := e.Issue()
		is.True(failure == nil)
		started := time.Now()
		result := e.SubmitTicket(context.Background(), ticket, order(time.Minute))
		is.Equal(result.Code, classifier.OrderNotRun)
		is.True(result.RetryAfter > 0)
		is.Equal(time.Since(started), time.Duration(0))
	})
}

// TestExpiredClaimsAreRemoved checks that claims are removed after they expire, and
// none before.
func TestExpiredClaimsAreRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := provider.NewStore()
		e := newEngine(configurer.PolicyClaim, &backend{serviceTime: time.Millisecond, runs: make(map[string]int)}, store)
		defer e.Close()
		for n := range 50 {
			result := e.SubmitClaim(context.Background(), string(rune('a'+n)), order(time.Second))
			is.Equal(result.Code, classifier.OrderDone)
		}
		count := func() int {
			page, err := store.List(context.Background(), configurer.ClaimPrefix)
			is.NoErr(err)
			return len(page.Objects)
		}
		time.Sleep(5 * time.Minute)
		is.Equal(count(), 50) // none has expired yet
		time.Sleep(time.Hour)
		is.Equal(count(), 0)
	})
}

// TestRepeatedOrderWaitsForResult submits the same order twice simultaneously. It
// must run once, and the second submission waits for the result of the first.
func TestRepeatedOrderWaitsForResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := &backend{serviceTime: time.Second, runs: make(map[string]int)}
		e := newEngine(configurer.PolicyTicket, b, provider.NewStore())
		defer e.Close()
		ticket, failure := e.Issue()
		is.True(failure == nil)
		results := make(chan ticketer.Result, 2)
		for range 2 {
			go func() { results <- e.SubmitTicket(context.Background(), ticket, order(5*time.Second)).Result }()
		}
		codes := map[classifier.Code]int{}
		for range 2 {
			codes[(<-results).Code]++
		}
		is.Equal(codes[classifier.OrderDone], 1)
		is.Equal(codes[classifier.OrderRepeated], 1)
		is.Equal(b.runs[ticket.ID], 1)
	})
}
