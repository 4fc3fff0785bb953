// Package bencher benchmarks the query engines against in-memory searchers and a
// simulated network, in virtual time. It is used by tests only.
package bencher
