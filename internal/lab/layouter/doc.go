// Package layouter writes the settings files of all processes of one example
// deployment on loopback, for the quickstart and for tests.
package layouter
