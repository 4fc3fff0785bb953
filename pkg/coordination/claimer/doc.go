// Package claimer decides which submission of an order (a request of a caller to run
// it) may run: the one that holds the claim, a record in the store that is written
// before the order is sent.
//
// The Machine is a pure state machine: Step takes an event and returns the next action.
package claimer
