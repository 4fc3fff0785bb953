// Package scheduler provides a queue of timers ordered by time. The earliest timer is the
// time at which a state machine has to run next.
package scheduler
