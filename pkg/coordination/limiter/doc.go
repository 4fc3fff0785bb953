// Package limiter limits concurrent requests by measured queueing delay, and
// limits retries and hedges to a fraction of the primary sub-requests.
package limiter
