package messenger

import (
	"fmt"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// RefusalError is the error of a request that a backend server rejected.
type RefusalError struct {
	Refusal ServerRefusal
}

// Error returns the id of the server and the name of the result code.
func (e *RefusalError) Error() string {
	return fmt.Sprintf("server %s refused: %s", e.Refusal.Server.ID, classifier.Code(e.Refusal.Code))
}

// Failure returns a failure that wraps the error, with its code and Retry-After.
func (e *RefusalError) Failure() *classifier.Failure {
	retryAfter := time.Duration(e.Refusal.RetryAfterMillis) * time.Millisecond
	return classifier.NewFailure(classifier.Code(e.Refusal.Code), "").WithCause(e).WithRetryAfter(retryAfter)
}
