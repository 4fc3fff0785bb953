// Package ticketer ensures that an order with a ticket runs at most once, at the
// home of the ticket: the entry (a process that serves callers) that issued it.
//
// The Table is pure: time is passed in, and it has no goroutine, clock or socket.
package ticketer
