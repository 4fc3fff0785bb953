// Package loader reads and validates the settings of each process; flags override
// the settings file.
package loader
