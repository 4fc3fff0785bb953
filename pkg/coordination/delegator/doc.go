// Package delegator decides which hosts gather queries over many shards. Where
// there are more hosts than a backend server takes connections, direct fan-out
// opens a new connection for nearly each sub-request; then a few large hosts of
// each failure domain gather for the others, with connections that stay warm.
package delegator
