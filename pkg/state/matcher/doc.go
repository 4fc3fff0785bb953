// Package matcher holds the routing table of one configuration and finds the
// route of a request by its host and the longest prefix of its path.
package matcher
