// Package planner tracks which shards of which snapshots each backend server
// holds and selects the snapshot that a query is answered from.
package planner
