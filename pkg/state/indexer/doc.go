// Package indexer assigns each backend server of a service a small index, by which
// the state machines refer to it instead of its id.
package indexer
