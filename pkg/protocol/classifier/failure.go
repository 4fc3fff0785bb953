package classifier

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// Failure is the error of a request that ended with a result code.
type Failure struct {
	Code Code
	// Detail describes the failure for humans; it may be empty.
	Detail string
	// RetryAfter is the time after which the caller may retry, 0 if none is given.
	RetryAfter time.Duration
	cause      error
}

// NewFailure returns a failure with a code and a formatted, human-readable detail.
func NewFailure(code Code, format string, args ...any) *Failure {
	return &Failure{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// WithCause returns a copy that wraps err as the cause of the failure.
func (f *Failure) WithCause(err error) *Failure {
	clone := *f
	clone.cause = err
	return &clone
}

// WithRetryAfter returns a copy with the time after which the caller may retry.
func (f *Failure) WithRetryAfter(d time.Duration) *Failure {
	clone := *f
	clone.RetryAfter = d
	return &clone
}

// Error returns the code, its name, the detail and the cause.
func (f *Failure) Error() string {
	text := fmt.Sprintf("%d %s", int(f.Code), f.Code)
	if f.Detail != "" {
		text += ": " + f.Detail
	}
	if f.cause != nil {
		text += ": " + f.cause.Error()
	}
	return text
}

// Unwrap returns the cause, which may be nil.
func (f *Failure) Unwrap() error {
	return f.cause
}

// CodeOf returns the result code that err carries, DeadlineExceeded or Canceled for a
// context error, and fallback for any other error.
func CodeOf(err error, fallback Code) Code {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure.Code
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return DeadlineExceeded
	}
	if errors.Is(err, context.Canceled) {
		return Canceled
	}
	return fallback
}

// FailureOf returns the failure that err carries; without one, it returns a new failure
// that wraps err and has the code that CodeOf returns.
func FailureOf(err error, fallback Code) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return NewFailure(CodeOf(err, fallback), "").WithCause(err)
}
