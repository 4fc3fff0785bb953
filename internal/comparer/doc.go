// Package comparer brings the objects of two hosts together: one side answers
// comparisons, the other fetches what it lacks.
package comparer
