// Package sleeper waits for a time that may be cut short.
package sleeper
