// Package gatherer handles each query from its admission to its single answer:
// it chooses a snapshot, requests all shards, applies the early-answer rule and
// records the result of each shard.
//
// The Machine is a pure state machine: Step takes the time and an event and
// returns actions.
package gatherer
