package publisher

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// maxSteps is the limit of events of one change, after which it ends as unsettled.
const maxSteps = 12

// AnyRevision as the Base of a Change applies the change to any revision in force.
const AnyRevision = ^uint64(0)

// Event is an input of the Machine: its start or the end of a call to the store.
type Event interface{ publisherEvent() }

// Started starts the machine.
type Started struct{}

// GetEnded reports the end of a Get; Err is nil or an error of package storer.
type GetEnded struct {
	Object storer.Object
	Err    error
}

// PutEnded reports the end of a Put; Err is nil or an error of package storer.
type PutEnded struct {
	Object storer.Object
	Err    error
}

func (*Started) publisherEvent()  {}
func (*GetEnded) publisherEvent() {}
func (*PutEnded) publisherEvent() {}

// Action is an output of the Machine: the next call to the store, or the end.
type Action interface{ publisherAction() }

// Get reads an object.
type Get struct {
	Key string
}

// Put writes an object on condition that it still has Version, or that there is none
// if Version is storer.Absent.
type Put struct {
	Key     string
	Value   []byte
	Version storer.Version
}

// Finish ends the change. The code is OK, ConfigConflict, ConfigUnreachable,
// ConfigUnsettled or ConfigInvalid.
type Finish struct {
	Code classifier.Code
	// Changed is set if the change was accepted. It is false with the code OK if the
	// document was already in force.
	Changed bool
	// Envelope is the accepted revision or the one in force, empty if none was read.
	// With ConfigUnsettled it is the revision that may have been accepted, with
	// ConfigInvalid it is empty.
	Envelope configurer.Envelope
}

func (*Get) publisherAction()    {}
func (*Put) publisherAction()    {}
func (*Finish) publisherAction() {}

// Change is a change of one service's configuration.
type Change struct {
	ChangeID string
	Author   string
	// Time is the time of the change in the format of RFC 3339.
	Time     string
	Reason   string
	Document configurer.Document
	// Base is the revision that the author edited, or AnyRevision.
	Base uint64
}

// phase is the call to the store that is outstanding; the two resolve phases read
// whether a write took effect.
type phase int

const (
	readCurrent phase = iota
	writeHistory
	writeConfig
	resolveFromConfig
	resolveFromHistory
)

// Machine is the state machine that writes one change.
type Machine struct {
	change       Change
	phase        phase
	steps        int
	version      storer.Version
	current      configurer.Envelope
	currentValue []byte
	next         configurer.Envelope
}

// New returns a Machine that writes one change.
func New(change Change) *Machine {
	return &Machine{change: change}
}

// Step applies an event and returns the next action.
func (m *Machine) Step(event Event) Action {
	m.steps++
	if m.steps > maxSteps {
		return &Finish{Code: classifier.ConfigUnsettled, Envelope: m.next}
	}
	switch e := event.(type) {
	case *Started:
		return m.read(readCurrent, m.configKey())
	case *GetEnded:
		return m.getEnded(e)
	case *PutEnded:
		return m.putEnded(e)
	}
	return nil
}

func (m *Machine) configKey() string {
	return configurer.ConfigPrefix + m.change.Document.Service
}

// HistoryKey returns the store's key of a past revision of a service.
func HistoryKey(service string, revision uint64) string {
	return fmt.Sprintf("%s%s/%020d", configurer.HistoryPrefix, service, revision)
}

func (m *Machine) read(next phase, key string) Action {
	m.phase = next
	return &Get{Key: key}
}

func (m *Machine) getEnded(e *GetEnded) Action {
	switch m.phase {
	case readCurrent:
		return m.currentRead(e)
	case resolveFromConfig:
		return m.resolveWrite(e)
	case resolveFromHistory:
		return m.historyRead(e)
	case writeHistory, writeConfig:
	}
	return nil
}

func (m *Machine) currentRead(e *GetEnded) Action {
	if e.Err != nil && !errors.Is(e.Err, storer.ErrNotFound) {
		return &Finish{Code: classifier.ConfigUnreachable}
	}
	action := m.setCurrent(e)
	if action != nil {
		return action
	}
	if m.current.Revision > 0 && sameDocument(m.current.Document, m.change.Document) {
		return &Finish{Code: classifier.OK, Envelope: m.current}
	}
	if m.change.Base != AnyRevision && m.change.Base != m.current.Revision {
		return m.conflict()
	}
	return m.prepare()
}

// setCurrent records the revision in force, if there is one. It returns an action only
// if that revision is unreadable.
func (m *Machine) setCurrent(e *GetEnded) Action {
	m.version, m.current, m.currentValue = storer.Absent, configurer.Envelope{}, nil
	if e.Err != nil {
		return nil
	}
	err := json.Unmarshal(e.Object.Value, &m.current)
	if err != nil {
		return &Finish{Code: classifier.ConfigInvalid}
	}
	m.version, m.currentValue = e.Object.Version, e.Object.Value
	return nil
}

// prepare builds the next envelope. If there is a current revision, it is copied to
// the history first; otherwise the next one is written immediately.
func (m *Machine) prepare() Action {
	document, err := json.Marshal(m.change.Document)
	if err != nil {
		return &Finish{Code: classifier.ConfigInvalid}
	}
	m.next = configurer.Envelope{
		Revision: m.current.Revision + 1, ChangeID: m.change.ChangeID, Author: m.change.Author,
		Time: m.change.Time, Reason: m.change.Reason, PreviousHash: hash(m.currentValue), Document: document,
	}
	if m.current.Revision == 0 {
		return m.writeNext()
	}
	m.phase = writeHistory
	return &Put{Key: HistoryKey(m.change.Document.Service, m.current.Revision), Value: m.currentValue, Version: storer.Absent}
}

func hash(data []byte) string {
	if len(data) == 0 {
		return ""
	}
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}

func (m *Machine) writeNext() Action {
	value, err := json.Marshal(m.next)
	if err != nil {
		return &Finish{Code: classifier.ConfigInvalid}
	}
	m.phase = writeConfig
	return &Put{Key: m.configKey(), Value: value, Version: m.version}
}

func (m *Machine) putEnded(e *PutEnded) Action {
	if m.phase == writeHistory {
		return m.historyWritten(e)
	}
	switch {
	case e.Err == nil:
		return m.accepted()
	case errors.Is(e.Err, storer.ErrUnavailable) && m.phase == writeConfig:
		return &Finish{Code: classifier.ConfigUnreachable, Envelope: m.current}
	default:
		return m.read(resolveFromConfig, m.configKey())
	}
}

// historyWritten writes the next revision once the current one is known to be in the
// history: it was written now, or ErrConflict shows that it was there before. After a
// lost answer (ErrUnsettled) the write to the history is repeated.
func (m *Machine) historyWritten(e *PutEnded) Action {
	switch {
	case e.Err == nil, errors.Is(e.Err, storer.ErrConflict):
		return m.writeNext()
	case errors.Is(e.Err, storer.ErrUnsettled):
		return m.prepare()
	}
	return &Finish{Code: classifier.ConfigUnreachable, Envelope: m.current}
}

func (m *Machine) accepted() Action {
	return &Finish{Code: classifier.OK, Changed: true, Envelope: m.next}
}

// resolveWrite finds out by the change ID whether a write took effect, after its
// answer was lost or the store reported another version. If the object still has the
// version from before, the write is repeated.
func (m *Machine) resolveWrite(e *GetEnded) Action {
	if e.Err != nil && !errors.Is(e.Err, storer.ErrNotFound) {
		return &Finish{Code: classifier.ConfigUnsettled, Envelope: m.next}
	}
	before := m.version
	action := m.setCurrent(e)
	switch {
	case action != nil:
		return action
	case m.current.ChangeID == m.change.ChangeID:
		return m.accepted()
	case m.version == before:
		return m.writeNext()
	case m.current.Revision > m.next.Revision:
		return m.read(resolveFromHistory, HistoryKey(m.change.Document.Service, m.next.Revision))
	}
	return m.conflict()
}

// historyRead finds out from the history whether the change was accepted before
// a later one replaced it.
func (m *Machine) historyRead(e *GetEnded) Action {
	var past configurer.Envelope
	switch {
	case errors.Is(e.Err, storer.ErrNotFound):
		return m.conflict()
	case e.Err != nil:
		return &Finish{Code: classifier.ConfigUnsettled, Envelope: m.next}
	}
	err := json.Unmarshal(e.Object.Value, &past)
	if err == nil && past.ChangeID == m.change.ChangeID {
		return m.accepted()
	}
	return m.conflict()
}

func (m *Machine) conflict() Action {
	return &Finish{Code: classifier.ConfigConflict, Envelope: m.current}
}

// sameDocument reports whether a stored document has the same settings as another.
func sameDocument(stored json.RawMessage, document configurer.Document) bool {
	parsed, err := configurer.ParseOne("stored", stored)
	if err != nil {
		return false
	}
	return len(configurer.Diff(parsed, document)) == 0
}
