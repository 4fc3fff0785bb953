package forwarder

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// TestNotReadyHostDelaysRetries checks the Retry-After of a partitioned host: a
// refused request that has not run is retried once the balancer has stopped
// sending callers to the host. A request that may have run gets none.
func TestNotReadyHostDelaysRetries(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	refusal := classifier.NewFailure(classifier.NoServer, "0 of 30 parts").WithRetryAfter(500 * time.Millisecond)
	e := &engine{notReadySince: start}
	is.Equal(e.delayRetry(start, refusal).RetryAfter, 500*time.Millisecond) // ready again
	e.notReady.Store(true)
	is.Equal(e.delayRetry(start.Add(300*time.Millisecond), refusal).RetryAfter, balancerReactionTime-300*time.Millisecond)
	is.Equal(e.delayRetry(start.Add(balancerReactionTime), refusal).RetryAfter, 500*time.Millisecond)
	failed := classifier.NewFailure(classifier.ServerFailed, "19 of 30 parts")
	is.Equal(e.delayRetry(start, failed).RetryAfter, time.Duration(0))
}
