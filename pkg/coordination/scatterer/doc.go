// Package scatterer is the state machine that takes each request from its arrival
// to its only answer. It sends one sub-request to every shard, or one to a single
// service, hedges and retries within a budget, answers early once enough shards have
// answered, and fails a request as soon as it can't be answered any more.
//
// The machine has no clock and no I/O: it takes events with the current time and
// returns actions.
package scatterer
