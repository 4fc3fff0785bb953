// Package dialer sends requests to backend servers over HTTP, with a hard limit
// on the connections to each server.
package dialer
