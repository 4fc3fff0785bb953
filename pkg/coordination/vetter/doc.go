// Package vetter decides which requests may be sent to backend servers, by whether servers
// have ended while they ran the same request.
package vetter
