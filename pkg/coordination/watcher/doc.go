// Package watcher decides how to follow the objects under one prefix of the
// store: list, watch from the version of the list, list again when the store no
// longer has the history after that version, and retry with exponential backoff
// while the store is unreachable.
//
// The era in a version counts how often the store was restored from an older
// copy. Such a restore is a rewind: revisions go back and are assigned again.
//
// The machine is pure: it takes events with their time and returns actions.
package watcher
