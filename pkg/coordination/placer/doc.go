// Package placer chooses the backend server of each sub-request by the time in
// which it expects an answer: from what it has in flight there, recent
// latencies, reported load, failures and the failure domain.
//
// It is pure: times come in with each call.
package placer
