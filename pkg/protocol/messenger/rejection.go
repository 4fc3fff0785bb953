package messenger

import (
	"fmt"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// RejectionError is the error of a request that a backend server rejected.
type RejectionError struct {
	Rejection ServerRejection
}

// Error returns the id of the server and the name of the result code.
func (e *RejectionError) Error() string {
	return fmt.Sprintf("server %s refused: %s", e.Rejection.Server.ID, classifier.Code(e.Rejection.Code))
}

// Failure returns a failure that wraps the error, with its code and Retry-After.
func (e *RejectionError) Failure() *classifier.Failure {
	retryAfter := time.Duration(e.Rejection.RetryAfterMillis) * time.Millisecond
	return classifier.NewFailure(classifier.Code(e.Rejection.Code), "").WithCause(e).WithRetryAfter(retryAfter)
}
