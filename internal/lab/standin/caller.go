package standin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// callTimeout is the time-out of a call and the deadline that it sends.
	callTimeout = 2 * time.Second
	// readinessInterval is the time between two readiness checks of a host.
	readinessInterval = 50 * time.Millisecond
	// requestsPerOrder is the period of orders: the last of every 10 requests is an order.
	requestsPerOrder = 10
)

// ErrWrongAnswers is the error of a run in which a call got no answer or a wrong one.
var ErrWrongAnswers = errors.New("a request was not answered or got a wrong answer")

// CallSummary holds the results of the calls to a site.
type CallSummary struct {
	Queries int
	Orders  int
	// Failures describes each call without an answer or with a wrong one.
	Failures []string
	// Latencies holds the latencies of all calls in ascending order.
	Latencies []time.Duration
}

// CallSite waits until all hosts of a site are ready and sends requests to the hosts
// in turn, one at a time; each tenth request is an order.
func CallSite(ctx context.Context, site SiteFile, requests int) (*CallSummary, error) {
	for _, address := range site.Readiness {
		err := waitReady(ctx, address)
		if err != nil {
			return nil, err
		}
	}
	var want strings.Builder
	for _, row := range site.Rows {
		want.Write(Record(row))
	}
	s := &CallSummary{}
	for i := range requests {
		id := fmt.Sprint("call-", i)
		method, path := http.MethodGet, queryPath+"1"
		if i%requestsPerOrder == requestsPerOrder-1 {
			method, path = http.MethodPost, orderPath+"1"
			s.Orders++
		} else {
			s.Queries++
		}
		start := time.Now()
		status, body, err := callHost(ctx, site.Callers[i%len(site.Callers)], site.Host, method, path, id)
		s.Latencies = append(s.Latencies, time.Since(start))
		correct := method == http.MethodPost || body == want.String()
		if err != nil || status != http.StatusOK || !correct {
			s.Failures = append(s.Failures, fmt.Sprintf("%s %s %s: status %d, error %v", id, method, path, status, err))
		}
	}
	slices.Sort(s.Latencies)
	return s, nil
}

// Print writes the failures and then the summary.
func (s *CallSummary) Print(w io.Writer) error {
	median, longest := time.Duration(0), time.Duration(0)
	if len(s.Latencies) > 0 {
		median, longest = s.Latencies[len(s.Latencies)/2], s.Latencies[len(s.Latencies)-1]
	}
	for _, text := range s.Failures {
		_, _ = fmt.Fprintln(w, text)
	}
	_, err := fmt.Fprintf(w, "queries             %d\norders              %d\nwrong or lost       %d\np50 / longest       %v / %v\n",
		s.Queries, s.Orders, len(s.Failures), median, longest)
	return err
}

func waitReady(ctx context.Context, address string) error {
	for {
		status, _, err := callHost(ctx, address, address, http.MethodGet, "/-/ready", "")
		if err == nil && status == http.StatusOK {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: status %d, %w", address, status, errors.Join(err, ctx.Err()))
		case <-time.After(readinessInterval):
		}
	}
}

func callHost(ctx context.Context, address, host, method, path, id string) (status int, body string, err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, http.NoBody)
	if err != nil {
		return 0, "", err
	}
	r.Host = host
	if id != "" {
		r.Header.Set("X-Request-Id", id)
		r.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, string(data), err
}
