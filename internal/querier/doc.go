// Package querier executes the queries of one service. A single goroutine feeds
// events to the state machines (gatherer, dispatcher, router) and executes the
// actions that they return.
//
// An entry is a process that serves callers; each runs one engine per query service.
// With the placement "owner", the sub-requests of all entries for a shard wait at one
// entry, the owner of the shard, for a free slot of a server. While the load is low,
// most queries bypass the owners and go to the servers directly.
package querier
