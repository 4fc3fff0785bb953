// Package cacher caches the newest version of each object of the store that a
// process has received. A merge keeps the greater version, so it is commutative
// and idempotent.
package cacher
