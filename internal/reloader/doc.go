// Package reloader tells when a settings file has changed, by signal or by its
// modification time.
package reloader
