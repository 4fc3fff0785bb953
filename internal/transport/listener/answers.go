package listener

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

const (
	// maxRequestIDLength bounds the IDs of requests that are taken over, in bytes.
	maxRequestIDLength = 128
	// problemTypePrefix is the prefix of problem types; the number of the code follows.
	problemTypePrefix = "urn:rhubarbpost:code:"
)

// RequestID returns the caller's request ID, or a new one if it is missing or
// invalid.
func RequestID(r *http.Request) string {
	id := r.Header.Get(messenger.HeaderRequestID)
	if id == "" || len(id) > maxRequestIDLength || !printable(id) {
		return uuid.NewString()
	}
	return id
}

// printable reports whether a text consists of visible ASCII characters.
func printable(text string) bool {
	for _, c := range []byte(text) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// WriteJSON writes a response with a status and a value as its JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteFailure writes a failure as problem details (RFC 9457), with a Retry-After
// header if it has one.
func WriteFailure(w http.ResponseWriter, requestID string, failure *classifier.Failure) {
	definition := failure.Code.Definition()
	problem := messenger.Problem{
		Type:             problemTypePrefix + strconv.Itoa(int(failure.Code)),
		Title:            definition.Title,
		Status:           definition.Status,
		Detail:           failure.Detail,
		RequestID:        requestID,
		Code:             int(failure.Code),
		Name:             definition.Name,
		Outcome:          definition.Outcome.String(),
		RetryAfterMillis: failure.RetryAfter.Milliseconds(),
	}
	if failure.RetryAfter > 0 {
		seconds := int64((failure.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(definition.Status)
	_ = json.NewEncoder(w).Encode(problem)
}

// ReadBody decodes the body of a request, which may have at most limit bytes.
func ReadBody[T any](r *http.Request, limit int64) (T, *classifier.Failure) {
	value, err := decoder.Body[T](r.Body, limit)
	if err == nil {
		return value, nil
	}
	if errors.Is(err, decoder.ErrTooLarge) {
		return value, classifier.NewFailure(classifier.BodyTooLarge, "the limit is %d bytes", limit)
	}
	return value, classifier.NewFailure(classifier.InvalidRequest, "body: %v", err)
}
