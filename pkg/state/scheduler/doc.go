// Package scheduler provides a queue of timers ordered by time, from which a state machine
// gets the time at which its caller has to run it next.
package scheduler
