package forwarder

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
)

// errCallRejected means that a host rejects a call: it doesn't know the other hosts yet, or runs
// a build without the call.
var errCallRejected = errors.New("the host rejects the call")

// postJSON sends a message to another process of this system and decodes its answer.
func postJSON[A any](ctx context.Context, client *http.Client, url string, message any, limit int64) (A, error) {
	var none A
	body, err := json.Marshal(message)
	if err != nil {
		return none, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return none, err
	}
	return callJSON[A](client, r, limit)
}

// callJSON sends a request and decodes an answer of at most limit bytes.
func callJSON[A any](client *http.Client, r *http.Request, limit int64) (A, error) {
	var none A
	response, err := client.Do(r)
	if err != nil {
		return none, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return none, fmt.Errorf("%w: status %d", errCallRejected, response.StatusCode)
	}
	return decoder.Body[A](response.Body, limit)
}

// answerJSON sends an answer, or why the host can't give one.
func answerJSON(w http.ResponseWriter, answer any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	listener.WriteJSON(w, http.StatusOK, answer)
}
