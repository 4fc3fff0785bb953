// Package matcher holds the routing table of one configuration and finds the
// route of a request by its host name and the longest matching path prefix.
package matcher
