// Package storer defines the narrow interface to the store, which is the object API
// of the platform: objects with versions, conditional updates and watches.
package storer
