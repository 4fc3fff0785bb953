package ticketer

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"pgregory.net/rapid"
)

// TestTicketRunsAtMostOnce checks that a ticket runs at most once and not after
// its expiry when tickets are submitted, finished and aged in any order.
func TestTicketRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		table := New(Config{Service: "s", Home: "h", Incarnation: 1, Lifetime: 10 * time.Second, MaxTickets: 8})
		runs := make(map[string]int)
		var tickets []Ticket
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "millis")) * time.Millisecond)
			if len(tickets) == 0 || rapid.Bool().Draw(t, "issue") {
				ticket, failure := table.Issue(now, fmt.Sprint(len(tickets)))
				if failure == nil {
					tickets = append(tickets, ticket)
				}
				continue
			}
			ticket := rapid.SampledFrom(tickets).Draw(t, "ticket")
			if rapid.Bool().Draw(t, "finish") {
				table.Finish(ticket.ID, Result{Code: rapid.SampledFrom([]classifier.Code{
					classifier.OrderDone, classifier.OrderNotRun, classifier.OrderUnknown,
				}).Draw(t, "code")})
				continue
			}
			checkSubmit(t, table, now, ticket, runs)
		}
	})
}

func checkSubmit(t *rapid.T, table *Table, now time.Time, ticket Ticket, runs map[string]int) {
	order := rapid.Uint64Range(1, 2).Draw(t, "order")
	switch d := table.Submit(now, ticket, order).(type) {
	case *Run:
		runs[ticket.ID]++
		if runs[ticket.ID] > 1 {
			t.Fatalf("ticket %s runs twice", ticket.ID)
		}
		if !now.Before(ticket.Expires) {
			t.Fatalf("ticket %s runs after its expiry", ticket.ID)
		}
	case *Resolved:
		unused := d.Result.Code == classifier.TicketUnused
		if unused && runs[ticket.ID] > 0 {
			t.Fatalf("ticket %s is reported as unused after its order ran", ticket.ID)
		}
	case *Wait:
		if runs[ticket.ID] != 1 {
			t.Fatalf("ticket %s returns Wait but its order is not running", ticket.ID)
		}
	}
}

// TestTicketFromBeforeRestart checks that a restarted home refuses a ticket of
// its former process with a code that does not state that the order has not run.
func TestTicketFromBeforeRestart(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	before := New(Config{Service: "s", Incarnation: 1, Lifetime: time.Minute, MaxTickets: 1})
	ticket, failure := before.Issue(now, "1")
	is.True(failure == nil)
	after := New(Config{Service: "s", Incarnation: 2, Lifetime: time.Minute, MaxTickets: 1})
	result, ok := after.Submit(now, ticket, 1).(*Resolved)
	is.True(ok)
	is.Equal(result.Result.Code, classifier.TicketHomeGone)
	is.True(!result.Result.Code.NotRun()) // the order may have run before the restart
}
