// Package watcher decides how to follow the objects under one prefix of the
// store: list, watch from the list's version, list again when the history is
// gone, and retry with a growing delay while the store is away.
//
// The machine is pure: events go in with the time, actions come out.
package watcher
