// Package scatterer carries each request from its arrival to its one answer: it
// sends one sub-request to every shard, or one to a single service, adds second
// attempts within a budget, answers early once enough shards are in, and fails
// a request as soon as it can't be served any more.
//
// The machine is pure: events go in with the time, actions come out.
package scatterer
