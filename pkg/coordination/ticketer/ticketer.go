package ticketer

import (
	"encoding/json"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// retentionFactor is how long a ticket is kept, as a multiple of the lifetime in
// which it may be submitted, so that a late repeat still gets the recorded result.
const retentionFactor = 2

// Ticket allows its bearer to submit one order to Home, the address of the entry that issued it.
type Ticket struct {
	ID      string
	Service string
	Home    string
	// Incarnation identifies the run of the home's process that issued the ticket.
	Incarnation uint64
	Expires     time.Time
}

// Result is the final result of an order.
type Result struct {
	Code   classifier.Code
	Detail string
	Answer json.RawMessage
	// RetryAfter is the time to wait after a refusal before another submission.
	RetryAfter time.Duration
}

// WithCode returns a copy of the result with another code.
func (r Result) WithCode(code classifier.Code) Result {
	r.Code = code
	return r
}

// Decision is what the caller of Submit must do with a submission.
type Decision interface{ decision() }

// Run requires the caller of Submit to run the order and then to call Finish.
type Run struct{}

// Wait means that the same order is already running; Done is closed when it has ended.
type Wait struct {
	Done <-chan struct{}
}

// Resolved is the decision that the submission must not run; Result is its result.
type Resolved struct {
	Result Result
}

func (*Run) decision()      {}
func (*Wait) decision()     {}
func (*Resolved) decision() {}

type state int

const (
	issued state = iota
	running
	ended
)

type record struct {
	ticket   Ticket
	state    state
	order    uint64 // hash of the order, set when it is submitted
	result   Result
	done     chan struct{}
	deleteAt time.Time
}

// Config holds the settings of a Table.
type Config struct {
	Service     string
	Home        string
	Incarnation uint64
	// Lifetime is the time after issue during which a ticket may be submitted.
	Lifetime time.Duration
	// MaxTickets is the maximum number of tickets that are kept.
	MaxTickets int
}

// Table holds the tickets that one entry has issued for one service.
type Table struct {
	cfg        Config
	records    map[string]*record
	issueOrder []string
}

// New returns an empty table.
func New(cfg Config) *Table {
	return &Table{cfg: cfg, records: make(map[string]*record)}
}

// Reconfigure sets Lifetime and MaxTickets for tickets issued later.
func (t *Table) Reconfigure(lifetime time.Duration, maxTickets int) {
	t.cfg.Lifetime = lifetime
	t.cfg.MaxTickets = maxTickets
}

// Issue returns a new ticket, or a failure if the table is full; id must never have been used before.
func (t *Table) Issue(now time.Time, id string) (Ticket, *classifier.Failure) {
	t.deleteExpired(now)
	if len(t.records) >= t.cfg.MaxTickets {
		return Ticket{}, classifier.NewFailure(classifier.TicketTableFull, "%d tickets", t.cfg.MaxTickets).WithRetryAfter(t.cfg.Lifetime)
	}
	ticket := Ticket{
		ID: id, Service: t.cfg.Service, Home: t.cfg.Home,
		Incarnation: t.cfg.Incarnation, Expires: now.Add(t.cfg.Lifetime),
	}
	t.records[id] = &record{ticket: ticket, deleteAt: now.Add(retentionFactor * t.cfg.Lifetime)}
	t.issueOrder = append(t.issueOrder, id)
	return ticket, nil
}

// deleteExpired deletes tickets whose retention has ended, oldest first, up to
// the first that is still retained or whose order is running.
func (t *Table) deleteExpired(now time.Time) {
	for len(t.issueOrder) > 0 {
		r := t.records[t.issueOrder[0]]
		if now.Before(r.deleteAt) || r.state == running {
			return
		}
		delete(t.records, t.issueOrder[0])
		t.issueOrder = t.issueOrder[1:]
	}
}

// Submit decides what to do with a submission of an order, identified by its hash.
func (t *Table) Submit(now time.Time, ticket Ticket, order uint64) Decision {
	if ticket.Incarnation != t.cfg.Incarnation {
		return resolved(classifier.TicketHomeGone, "the home has restarted")
	}
	r, ok := t.records[ticket.ID]
	if !ok {
		return resolved(classifier.TicketExpired, "the ticket is no longer remembered")
	}
	if r.state != issued && r.order != order {
		return resolved(classifier.TicketMismatch, "")
	}
	switch r.state {
	case running:
		return &Wait{Done: r.done}
	case ended:
		return &Resolved{Result: repeated(r.result)}
	case issued:
	}
	if !now.Before(r.ticket.Expires) {
		return resolved(classifier.TicketUnused, "")
	}
	r.state = running
	r.order = order
	r.done = make(chan struct{})
	return &Run{}
}

func resolved(code classifier.Code, detail string) Decision {
	return &Resolved{Result: Result{Code: code, Detail: detail}}
}

func repeated(result Result) Result {
	if result.Code == classifier.OrderDone {
		return result.WithCode(classifier.OrderRepeated)
	}
	return result
}

// Finish records the result of an order for which Submit returned Run.
func (t *Table) Finish(id string, result Result) {
	r, ok := t.records[id]
	if !ok || r.state != running {
		return
	}
	r.state = ended
	r.result = result
	close(r.done)
}

// OpenTickets returns the number of tickets that may still be submitted or whose order is running.
func (t *Table) OpenTickets(now time.Time) int {
	open := 0
	for _, r := range t.records {
		if r.state == running || (r.state == issued && now.Before(r.ticket.Expires)) {
			open++
		}
	}
	return open
}
