// Package placer chooses the backend server of each sub-request by its expected
// latency, which it estimates from the requests in flight, recent latencies, the
// reported load, failures and the failure domain.
//
// It does no I/O and reads no clock: the caller passes the current time.
package placer
