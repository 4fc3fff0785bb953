// Package listener serves HTTP with limits on the size of bodies and headers and
// on the time of a request, and counts the requests in flight for a graceful
// shutdown.
package listener
