// Package lister holds the backend servers that are registered in the store, by
// service, and retains registrations that lapse during a short outage of the store.
package lister
