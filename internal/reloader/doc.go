// Package reloader reports changes of a settings file, upon a signal or a change of
// its modification time.
package reloader
