// Package pooler provides a pool of reusable records with generational ids: the id of
// a freed record never refers to a later record in the same slot.
package pooler
