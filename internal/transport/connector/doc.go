// Package connector provides the HTTP client for calls between the system's own processes.
package connector
