// Package follower keeps an entry's objects up to date from the agent on its
// host, or from agents of other hosts while the local agent is unavailable.
package follower
