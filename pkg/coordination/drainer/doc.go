// Package drainer decides which backend servers may get new requests, from three
// signals: the status that the server reports, its registration in the platform's
// list and the time since its last status.
package drainer
