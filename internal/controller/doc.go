// Package controller implements the agent of a host: it watches the store,
// gossips objects between hosts and streams them to the entry on its host.
package controller
