// Package comparer implements the anti-entropy comparison between two hosts: one
// answers comparisons, the other fetches the objects that it lacks.
package comparer
