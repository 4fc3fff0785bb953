// Package hedger decides when a sub-request is hedged: after a delay that follows
// a latency quantile for its shard, within a budget for the extra load.
package hedger
