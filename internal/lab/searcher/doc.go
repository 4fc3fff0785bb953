// Package searcher simulates a backend server with slots, a queue, connection limits and
// costs, snapshots, rejections and draining. It is used by tests and the quickstart only.
package searcher
