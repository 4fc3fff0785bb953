// Package reviewer checks a configuration before it is put in force: entries that can have no
// effect, limits that contradict each other, and what differs from the one in force.
package reviewer
