package forwarder

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// relayTerms are the terms on which a host sends on a request for another one.
type relayTerms struct {
	// relayed is false for a request that was not sent on.
	relayed     bool
	maxAttempts int
	repeat      bool
}

// String returns the value of relayHeader.
func (t relayTerms) String() string {
	repeat := 0
	if t.repeat {
		repeat = 1
	}
	return fmt.Sprintf("%d %d", t.maxAttempts, repeat)
}

// takeRelayTerms removes relayHeader and returns the terms that it states.
func takeRelayTerms(h http.Header) (relayTerms, error) {
	text := h.Get(relayHeader)
	if text == "" {
		return relayTerms{}, nil
	}
	h.Del(relayHeader)
	var repeat int
	t := relayTerms{relayed: true}
	_, err := fmt.Sscanf(text, "%d %d", &t.maxAttempts, &repeat)
	if err != nil || t.maxAttempts < 1 {
		return t, fmt.Errorf("%s %q doesn't state the terms of a relay", relayHeader, text)
	}
	t.repeat = repeat != 0
	return t, nil
}

// takeSpent removes spentHeader and returns how much of the latency objective is over; a host
// of an older build doesn't tell.
func takeSpent(h http.Header) time.Duration {
	spent, _ := parseMillis(h.Get(spentHeader))
	h.Del(spentHeader)
	return spent
}

// maxHeaderTime bounds the times that other hosts state.
const maxHeaderTime = 24 * time.Hour

// parseMillis reads a time in milliseconds that another host states, 0 if it can't be read.
func parseMillis(text string) (time.Duration, error) {
	millis, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, err
	}
	if millis < 0 || millis > maxHeaderTime.Milliseconds() {
		return 0, fmt.Errorf("%d ms is not from 0 to %v", millis, maxHeaderTime)
	}
	return time.Duration(millis) * time.Millisecond, nil
}

// setResult states why a relay was not served.
func setResult(h http.Header, failure *classifier.Failure) {
	h.Set(resultHeader, fmt.Sprintf("%d %d", failure.Code, failure.RetryAfter.Milliseconds()))
}

// takeResult removes resultHeader and returns what it states, 0 without one.
func takeResult(h http.Header) (code classifier.Code, retryAfter time.Duration) {
	number, text, _ := strings.Cut(h.Get(resultHeader), " ")
	h.Del(resultHeader)
	n, err := strconv.Atoi(number)
	if err != nil {
		return 0, 0
	}
	code = classifier.Code(n)
	if code.Definition().Status < http.StatusBadRequest {
		// Only a failure has this header.
		return 0, 0
	}
	retryAfter, _ = parseMillis(text)
	return code, retryAfter
}
