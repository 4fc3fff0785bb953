// Package delegator decides which hosts gather queries over many shards. If the
// hosts need more connections than a backend server accepts, direct fan-out opens
// a new connection for nearly every sub-request. In that case a few large hosts of
// each failure domain gather queries for the others over persistent connections.
package delegator
