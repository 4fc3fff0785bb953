// Package allotter keeps the request rates that backend servers announce as their
// limit for all hosts together.
package allotter
