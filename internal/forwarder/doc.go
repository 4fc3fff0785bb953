// Package forwarder serves callers by the routes of the platform's configuration:
// it follows the store, chooses backend servers, forwards requests to them and
// merges the answers of shards.
package forwarder
