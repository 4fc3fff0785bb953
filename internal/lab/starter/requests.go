package starter

import (
	"context"
	"io"
	"net/http"
	"strings"
	"time"
)

var client = &http.Client{Timeout: 20 * time.Second}

// Get returns the status and body of a GET, or status 0 if there was no response.
func Get(address, path string) (status int, body []byte) {
	return call(http.MethodGet, address, path, "", nil)
}

// Status returns the status of a GET, or 0 if there was no response.
func Status(address, path string) int {
	status, _ := Get(address, path)
	return status
}

// Post returns the status of a POST, or 0 if there was no response.
func Post(address, path, body string) int {
	status, _ := call(http.MethodPost, address, path, body, nil)
	return status
}

// Send returns the status and body of a POST with headers, or status 0 if
// there was no response.
func Send(address, path, body string, header http.Header) (status int, answer []byte) {
	return call(http.MethodPost, address, path, body, header)
}

func call(method, address, path, body string, header http.Header) (status int, answer []byte) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	if header != nil {
		r.Header = header
	}
	response, err := client.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}
