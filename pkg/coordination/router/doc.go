// Package router decides which entry (a process that serves callers) owns the
// queue of each shard, and skips owners that do not respond. Ownership is a hint
// and not a lock: two entries may own a shard simultaneously.
//
// The machine is pure: it takes events with their time and returns actions.
package router
