package claimer

import (
	"encoding/json"
	"errors"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/ticketer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// maxStoreCalls is the limit of calls to the store to obtain a claim.
	maxStoreCalls = 4
	// retryAfter is the Retry-After of a refusal.
	retryAfter = time.Second
)

// State is the state of a claim.
type State string

// The states of a claim.
const (
	// StateHeld means that the holder of the claim may have sent the order.
	StateHeld State = "held"
	// StateNotRun means that the order has not run; the key may be claimed again.
	StateNotRun State = "notRun"
	// StateDone means that the order has run.
	StateDone State = "done"
	// StateUnknown means that the order may have run.
	StateUnknown State = "unknown"
)

// Record is the value of a claim in the store. ClaimID identifies the submission that
// holds the claim, Order is the hash of the order, and after Expires the record may be deleted.
type Record struct {
	ClaimID string          `json:"claimId"`
	State   State           `json:"state"`
	Order   uint64          `json:"order"`
	Expires time.Time       `json:"expires"`
	Result  json.RawMessage `json:"result,omitempty"`
}

// Event is an input of the Machine.
type Event interface{ claimerEvent() }

// Started starts the machine.
type Started struct{}

// PutEnded reports the end of a Put; Err is nil or an error of package storer.
type PutEnded struct {
	Object storer.Object
	Err    error
}

// GetEnded reports the end of a Get; Err is nil or an error of package storer.
type GetEnded struct {
	Object storer.Object
	Err    error
}

// OrderEnded reports the result of an order that was sent because of a SendOrder action.
type OrderEnded struct {
	Result ticketer.Result
}

func (*Started) claimerEvent()    {}
func (*PutEnded) claimerEvent()   {}
func (*GetEnded) claimerEvent()   {}
func (*OrderEnded) claimerEvent() {}

// Action is an output of the Machine; each step returns one.
type Action interface{ claimerAction() }

// Put writes the claim on condition that it still has Version, or that there is none
// if Version is storer.Absent.
type Put struct {
	Record  Record
	Version storer.Version
}

// Get reads the claim.
type Get struct{}

// SendOrder sends the order; the submission is known to hold the claim.
type SendOrder struct{}

// Finish ends the submission with its result. If Record is set, it is then
// written to the claim on condition that the claim still has Version.
type Finish struct {
	Result  ticketer.Result
	Record  *Record
	Version storer.Version
}

func (*Put) claimerAction()       {}
func (*Get) claimerAction()       {}
func (*SendOrder) claimerAction() {}
func (*Finish) claimerAction()    {}

// Machine is the state machine that obtains the claim for one submission.
type Machine struct {
	record  Record
	version storer.Version
	// calls is the number of calls to the store so far.
	calls int
}

// New returns the Machine of one submission; claimID must never have been used before,
// and order is the hash of the order.
func New(claimID string, order uint64, expires time.Time) *Machine {
	return &Machine{record: Record{ClaimID: claimID, State: StateHeld, Order: order, Expires: expires}}
}

// Step applies an event and returns the next action.
func (m *Machine) Step(event Event) Action {
	switch e := event.(type) {
	case *Started:
		return m.put(storer.Absent)
	case *PutEnded:
		return m.putEnded(e)
	case *GetEnded:
		return m.getEnded(e)
	case *OrderEnded:
		return m.orderEnded(e)
	}
	return nil
}

func (m *Machine) put(version storer.Version) Action {
	m.calls++
	if m.calls > maxStoreCalls {
		return refuse(classifier.ClaimUnsettled)
	}
	return &Put{Record: m.record, Version: version}
}

func (m *Machine) putEnded(e *PutEnded) Action {
	switch {
	case e.Err == nil:
		m.version = e.Object.Version
		return &SendOrder{}
	case errors.Is(e.Err, storer.ErrConflict), errors.Is(e.Err, storer.ErrUnsettled):
		return m.get()
	case m.calls > 1:
		return refuse(classifier.ClaimUnsettled)
	default:
		return refuse(classifier.PlatformUnavailable)
	}
}

func (m *Machine) get() Action {
	m.calls++
	if m.calls > maxStoreCalls {
		return refuse(classifier.ClaimUnsettled)
	}
	return &Get{}
}

func (m *Machine) getEnded(e *GetEnded) Action {
	if errors.Is(e.Err, storer.ErrNotFound) {
		return m.put(storer.Absent)
	}
	if e.Err != nil {
		return refuse(classifier.ClaimUnsettled)
	}
	var held Record
	err := json.Unmarshal(e.Object.Value, &held)
	if err != nil {
		return &Finish{Result: ticketer.Result{Code: classifier.ClaimTaken, Detail: "the claim is unreadable"}}
	}
	if held.ClaimID == m.record.ClaimID {
		m.version = e.Object.Version
		return &SendOrder{}
	}
	return m.heldByOther(held, e.Object.Version)
}

// heldByOther decides by the state of a claim that another submission holds: only if
// its order has not run, the claim is taken over.
func (m *Machine) heldByOther(held Record, version storer.Version) Action {
	if held.Order != m.record.Order {
		return refuse(classifier.ClaimMismatch)
	}
	switch held.State {
	case StateDone:
		return &Finish{Result: ticketer.Result{Code: classifier.OrderRepeated, Answer: held.Result}}
	case StateNotRun:
		return m.put(version)
	case StateUnknown:
		return &Finish{Result: ticketer.Result{Code: classifier.OrderUnknown, Detail: "an earlier submission may have run"}}
	case StateHeld:
	}
	return &Finish{Result: ticketer.Result{Code: classifier.ClaimTaken, RetryAfter: retryAfter}}
}

func refuse(code classifier.Code) Action {
	return &Finish{Result: ticketer.Result{Code: code, RetryAfter: retryAfter}}
}

// orderEnded ends the submission and has its outcome written to the claim.
func (m *Machine) orderEnded(e *OrderEnded) Action {
	record := m.record
	record.State = claimState(e.Result.Code)
	record.Result = e.Result.Answer
	return &Finish{Result: e.Result, Record: &record, Version: m.version}
}

func claimState(code classifier.Code) State {
	switch code.Definition().Outcome {
	case classifier.Done:
		return StateDone
	case classifier.NotRun:
		return StateNotRun
	case classifier.Unknown:
	}
	return StateUnknown
}
