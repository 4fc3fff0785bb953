// Package lister holds the backend servers that the store lists, by service,
// and keeps the entries that lapse while the store is away for a short time.
package lister
