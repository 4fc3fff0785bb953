// Package reserver counts the memory that clients make a process hold, for all goroutines that serve
// them.
package reserver
