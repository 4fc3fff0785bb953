package starter

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/generator"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

const (
	heavyOrders = 10_000
	heavyRate   = 1000 // orders per second
	// faultDelay is the time from the first order to the fault.
	faultDelay = 2 * time.Second
	// lightOrders at lightRate, in orders per second, stay far below every admission limit.
	lightOrders = 1000
	lightRate   = 200
)

// orderLoad describes the orders that are sent while a fault is injected.
type orderLoad struct {
	seed     uint64
	orders   int
	rate     float64
	ticketed bool
}

func heavyLoad(seed uint64, ticketed bool) orderLoad {
	return orderLoad{seed: seed, orders: heavyOrders, rate: heavyRate, ticketed: ticketed}
}

func lightLoad(seed uint64, ticketed bool) orderLoad {
	return orderLoad{seed: seed, orders: lightOrders, rate: lightRate, ticketed: ticketed}
}

// editForClaims switches the order services of the declarations from tickets to
// claims, at a claim rate that the tests don't reach.
func editForClaims(declarations string) string {
	declarations = strings.ReplaceAll(declarations, `"policy": "ticket"`, `"policy": "claim"`)
	return strings.ReplaceAll(declarations, `"claimsPerSecond": 20`, `"claimsPerSecond": 100000`)
}

// runOrders sends orders, injects a fault meanwhile, and compares the results that
// callers got with the orders that ran.
func runOrders(t *testing.T, f *Fleet, l orderLoad, fault func()) *generator.Summary {
	t.Helper()
	load := f.Load(t)
	load.Queries, load.Orders, load.Seed = 0, l.orders, l.seed
	load.RatePerSecond, load.Ticketed = l.rate, l.ticketed
	var faults sync.WaitGroup
	faults.Go(func() {
		time.Sleep(faultDelay)
		fault()
	})
	s, err := generator.Run(context.Background(), load, f.Store)
	faults.Wait()
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d, %d orders: done %d, not run %d, unknown %d, double runs %d, ran %d",
		load.Seed, load.Orders, s.OrdersDone, s.OrdersNotRun, s.OrdersUnknown, s.OrdersRunTwice, s.OrdersRun)
	if s.OrdersRunTwice > 0 {
		t.Errorf("%d orders ran twice", s.OrdersRunTwice)
	}
	// Each order answered "done" ran, and each order that ran was answered "done" or
	// "unknown", never "not run".
	if s.OrdersRun < s.OrdersDone || s.OrdersRun > s.OrdersDone+s.OrdersUnknown {
		t.Errorf("%d orders ran, but %d were answered done and %d unknown", s.OrdersRun, s.OrdersDone, s.OrdersUnknown)
	}
	return s
}

// killAndRestart kills an entry with SIGKILL and starts it again after a second.
func killAndRestart(t *testing.T, f *Fleet, host string) {
	t.Helper()
	f.Entries[host].Signal(t, syscall.SIGKILL)
	time.Sleep(time.Second)
	f.StartEntry(t, host)
}

// suspendEntry stops an entry with SIGSTOP and continues it after the duration.
func suspendEntry(t *testing.T, f *Fleet, host string, duration time.Duration) {
	t.Helper()
	f.Entries[host].Signal(t, syscall.SIGSTOP)
	time.Sleep(duration)
	f.Entries[host].Signal(t, syscall.SIGCONT)
}

func TestOrdersWithTickets(t *testing.T) {
	f := StartFleet(t, FleetConfig{Organisation: "kitanoiri", HostsPerDomain: 1})
	host := f.Hosts[0].Name
	t.Run("calm", func(t *testing.T) {
		s := runOrders(t, f, heavyLoad(1, true), func() {})
		is.New(t).Equal(s.OrdersUnknown, 0)
	})
	t.Run("home killed", func(t *testing.T) {
		runOrders(t, f, heavyLoad(2, true), func() { killAndRestart(t, f, host) })
	})
	f.WaitReady(t, host)
	t.Run("home suspended for 5 s", func(t *testing.T) {
		runOrders(t, f, heavyLoad(3, true), func() { suspendEntry(t, f, host, 5*time.Second) })
	})
	f.WaitReady(t, host)
	t.Run("platform unavailable", func(t *testing.T) {
		s := runOrders(t, f, lightLoad(4, true), func() { f.SetFaults(t, `{"status": 503}`) })
		f.SetFaults(t, `{}`)
		is.New(t).Equal(s.OrdersDone, lightOrders) // orders with tickets need no platform
	})
}

func TestOrdersWithClaims(t *testing.T) {
	f := StartFleet(t, FleetConfig{Organisation: "kitanoiri", HostsPerDomain: 1, Edit: editForClaims})
	host := f.Hosts[0].Name
	t.Run("calm", func(t *testing.T) {
		s := runOrders(t, f, heavyLoad(1, false), func() {})
		is.New(t).Equal(s.OrdersUnknown, 0)
	})
	t.Run("responses of the platform lost", func(t *testing.T) {
		runOrders(t, f, heavyLoad(2, false), func() { f.SetFaults(t, `{"loseAnswers": 500}`) })
	})
	t.Run("platform unavailable for 2 s", func(t *testing.T) {
		runOrders(t, f, heavyLoad(3, false), func() {
			f.SetFaults(t, `{"status": 503}`)
			time.Sleep(2 * time.Second)
			f.SetFaults(t, `{}`)
		})
	})
	t.Run("entry killed", func(t *testing.T) {
		runOrders(t, f, heavyLoad(4, false), func() { killAndRestart(t, f, host) })
	})
}

// orderOnce submits one order without retries and returns the HTTP status and the
// result code, each 0 if there is none.
func orderOnce(address string, request messenger.OrderRequest, key string) (int, classifier.Code) {
	body, err := json.Marshal(request)
	if err != nil {
		return 0, 0
	}
	header := http.Header{}
	if key != "" {
		header.Set(messenger.HeaderIdempotencyKey, key)
	}
	status, answer := Send(address, "/v1/services/order-desk/orders", string(body), header)
	var result struct {
		Code classifier.Code `json:"code"`
	}
	err = json.Unmarshal(answer, &result)
	if err != nil {
		return status, 0
	}
	return status, result.Code
}

// ticket requests a ticket from an entry.
func ticket(t *testing.T, address string) string {
	t.Helper()
	status, body := Send(address, "/v1/services/order-desk/tickets", "", nil)
	if status != http.StatusCreated {
		t.Fatalf("ticket: status %d: %s", status, body)
	}
	var answer messenger.TicketAnswer
	err := json.Unmarshal(body, &answer)
	if err != nil {
		t.Fatal(err)
	}
	return answer.Ticket
}

// submitEverywhere submits the same order to all entries concurrently.
func submitEverywhere(f *Fleet, request messenger.OrderRequest, key string) []classifier.Code {
	var mu sync.Mutex
	var codes []classifier.Code
	var workers sync.WaitGroup
	for _, address := range f.ListenAddresses {
		workers.Go(func() {
			_, code := orderOnce(address, request, key)
			mu.Lock()
			defer mu.Unlock()
			codes = append(codes, code)
		})
	}
	workers.Wait()
	return codes
}

func count(codes []classifier.Code, want classifier.Code) int {
	n := 0
	for _, code := range codes {
		if code == want {
			n++
		}
	}
	return n
}

func TestOrderRunsOnceAcrossEntries(t *testing.T) {
	f := StartFleet(t, FleetConfig{Organisation: "kitanoiri", HostsPerDomain: 1})
	order := json.RawMessage(`{"build": 1}`)
	t.Run("ticket", func(t *testing.T) {
		is := is.New(t)
		request := messenger.OrderRequest{Ticket: ticket(t, f.ListenAddresses[f.Hosts[0].Name]), Order: order}
		codes := submitEverywhere(f, request, "")
		is.Equal(count(codes, classifier.OrderDone), 1)                // one submission ran the order
		is.Equal(count(codes, classifier.OrderRepeated), len(codes)-1) // the others got the recorded result
	})
	t.Run("forged ticket at another entry", func(t *testing.T) {
		is := is.New(t)
		good := ticket(t, f.ListenAddresses[f.Hosts[0].Name])
		status, code := orderOnce(f.ListenAddresses[f.Hosts[1].Name], messenger.OrderRequest{Ticket: good + "x", Order: order}, "")
		is.Equal(status, http.StatusBadRequest)
		is.Equal(code, classifier.TicketInvalid)
		is.True(code.NotRun())
	})
	t.Run("another order under the same ticket", func(t *testing.T) {
		is := is.New(t)
		used := ticket(t, f.ListenAddresses[f.Hosts[0].Name])
		_, code := orderOnce(f.ListenAddresses[f.Hosts[1].Name], messenger.OrderRequest{Ticket: used, Order: order}, "")
		is.Equal(code, classifier.OrderDone)
		_, code = orderOnce(f.ListenAddresses[f.Hosts[2].Name], messenger.OrderRequest{Ticket: used, Order: json.RawMessage(`{"build": 2}`)}, "")
		is.Equal(code, classifier.TicketMismatch)
	})
	f.Apply(t, FleetConfig{Organisation: "kitanoiri", Edit: editForClaims})
	t.Run("claim", func(t *testing.T) {
		is := is.New(t)
		Eventually(t, "claims are in force", func() bool {
			_, code := orderOnce(f.ListenAddresses[f.Hosts[0].Name], messenger.OrderRequest{Order: order}, "")
			return code == classifier.ClaimKeyMissing
		})
		time.Sleep(2 * time.Second)
		codes := submitEverywhere(f, messenger.OrderRequest{Order: order}, "key")
		is.Equal(count(codes, classifier.OrderDone), 1) // one submission ran the order
		Eventually(t, "a repeated submission gets the recorded result", func() bool {
			_, code := orderOnce(f.ListenAddresses[f.Hosts[1].Name], messenger.OrderRequest{Order: order}, "key")
			return code == classifier.OrderRepeated
		})
	})
}
