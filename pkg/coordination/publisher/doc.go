// Package publisher writes one change of a configuration to the store: it
// copies the current revision to the history, writes the new one by a conditional
// update and, if the answer to a write is lost, finds out whether it took effect.
//
// The Machine is a pure state machine: Step takes an event and returns the next action.
package publisher
