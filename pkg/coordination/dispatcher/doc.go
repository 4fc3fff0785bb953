// Package dispatcher decides to which replica each sub-request of a query is
// sent, when it is hedged or retried, and which of its attempts supplies the answer.
//
// The Machine is a pure state machine: Step takes the time and an event and
// returns actions. It has no goroutine, clock, socket or logger.
package dispatcher
