// Package receiver runs an entry, the process that serves callers. It runs one
// engine for each configured service and shuts down gracefully.
package receiver
