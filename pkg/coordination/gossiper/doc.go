// Package gossiper decides how agents (the processes that keep a copy of the store's
// objects for their host) exchange objects: which peers get a change by gossip, which
// peer is next in the anti-entropy comparison, and which agents watch the store.
//
// The machine is pure: it takes events with their time and returns actions.
package gossiper
