// Package applier reads and writes configuration in the store. The console and
// the command line both write through it.
package applier
