package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

const (
	// sliceHeader lists the shards of a query that another host is to gather, as
	// indexes into the services of the route. In an answer it lists the covered
	// ones, as indexes into the slice.
	sliceHeader = "X-Rhubarbpost-Slice"
	// neededHeader states how many shards of the slice must answer for the query to
	// succeed.
	neededHeader = "X-Rhubarbpost-Needed"
	// proofHeader has one line with the proof of each covered shard.
	proofHeader = "X-Rhubarbpost-Proof"
	// notRunHeader marks the refusal of a query or slice of which no server has run a part.
	notRunHeader = "X-Rhubarbpost-Not-Run"
	// sliceReserve is how much of the latency objective is reserved for the exchange
	// of a slice: delegationReserve, and 3 ms to merge the slice with the other answers.
	sliceReserve = 5 * time.Millisecond
	// sliceReceiptTimeout is how long another host may take to confirm the receipt
	// of a slice, about twenty times the round trip. A host that takes longer is taken
	// to be stopped or unreachable.
	sliceReceiptTimeout = 30 * time.Millisecond
)

var errSliceRefused = errors.New("the gathering host refused the slice, which has not run")

var errSliceDoubted = errors.New("the gathering host gave the slice up, as servers may have ended under it")

var errNoHost = errors.New("no usable gathering host is listed in the failure domain")

// delegateSlice has a host of another failure domain gather the shards of a slice
// and returns one answer for each shard.
func (f *Forwarder) delegateSlice(ctx context.Context, r *arrival, s *scatterer.SendSlice) []*Answer {
	connections, _ := f.connections(r.route)
	host := f.delegate.chooseInDomain(f.self(), s.Domain, connections, r.route.Objective)
	if host == nil {
		return failedSlice(s.SubRequests, &Answer{Code: classifier.NotSent, Err: errNoHost})
	}
	sent := time.Now()
	answers, err := f.exchangeSlice(ctx, r, s, host)
	f.recordDelegation(ctx, r, host, sent, err, "domain", s.Domain, "parts", len(s.SubRequests))
	failed := &Answer{Code: classifier.NotSent, Err: err}
	switch {
	case err == nil:
		return answers
	case ctx.Err() != nil:
		failed.Code = classifier.CodeOf(ctx.Err(), classifier.Canceled)
	case errors.Is(err, errNoReceipt):
		failed.Code, failed.Unacknowledged = classifier.ServerFailed, true
	case mayHaveGathered(err):
		failed.Code, failed.Exhausted = classifier.ServerFailed, true
	}
	return failedSlice(s.SubRequests, failed)
}

// failedSlice returns answers that report the same failure for each sub-request of a
// slice.
func failedSlice(subRequests []int, a *Answer) []*Answer {
	answers := make([]*Answer, len(subRequests))
	for i := range answers {
		answers[i] = a
	}
	return answers
}

// exchangeSlice sends a slice and reads the answer.
func (f *Forwarder) exchangeSlice(ctx context.Context, r *arrival, s *scatterer.SendSlice, host *lister.Server) ([]*Answer, error) {
	answer, err := f.exchangeWithGatherer(ctx, r, host, sliceReceiptTimeout, sliceHeaders(s.SubRequests, s.Needed))
	if err != nil {
		return nil, err
	}
	return sliceAnswers(s.SubRequests, answer)
}

// sliceHeaders returns the headers that name the shards of a slice and how many of them must
// answer.
func sliceHeaders(subRequests []int, needed int) map[string]string {
	return map[string]string{sliceHeader: joinInts(subRequests), neededHeader: strconv.Itoa(needed)}
}

// sliceAnswers returns one answer for each shard of a slice from that of the other host.
func sliceAnswers(subRequests []int, answer *Answer) ([]*Answer, error) {
	doubted := answer.Header.Get(doubtHeader) != ""
	switch {
	case answer.Header.Get(notRunHeader) != "":
		return failedSlice(subRequests, &Answer{Code: classifier.NotSent, Err: errSliceRefused, Doubted: doubted}), nil
	case doubted:
		// The other host has sent each sub-request to one server at most.
		return failedSlice(subRequests, &Answer{Code: classifier.ServerFailed, Err: errSliceDoubted, Doubted: true}), nil
	case answer.Status != http.StatusOK:
		// The other host has run the slice and reports a failure.
		return failedSlice(subRequests, &Answer{Code: classifier.ServerFailed, Exhausted: true}), nil
	}
	return readSlice(subRequests, answer.Header, answer.Body)
}

// readSlice returns one answer for each shard of a slice. The answer of the first
// covered shard holds the merged rows of all covered shards; shards that are not
// covered have timed out.
func readSlice(subRequests []int, h http.Header, body []byte) ([]*Answer, error) {
	covered, err := splitInts(h.Get(sliceHeader), len(subRequests))
	if err != nil {
		return nil, err
	}
	proofs := h.Values(proofHeader)
	if len(proofs) != len(covered) {
		return nil, fmt.Errorf("slice answer has %d proofs for %d covered shards", len(proofs), len(covered))
	}
	answers := failedSlice(subRequests, &Answer{Code: classifier.DeadlineExceeded, Exhausted: true})
	for i, index := range covered {
		answers[index] = &Answer{Code: classifier.OK, Proof: proofs[i]}
		if i == 0 {
			answers[index].Body = body
		}
	}
	return answers, nil
}

// runUnconfirmed serves a request without waiting for the proceed byte, since the
// round trip would delay the attempts. Until the byte arrives, each sub-request may
// run at one server only.
func (f *Forwarder) runUnconfirmed(w http.ResponseWriter, r *http.Request, a *arrival, body io.Reader) {
	a.unconfirmed = true
	f.begin(a)
	err := readProceedByte(body)
	if err != nil {
		// The delegating host has canceled the request.
		f.engine.push(abandonment{a.id})
		return
	}
	f.engine.push(confirmation{a.id})
	f.awaitReply(w, r, a)
}

// restrictTo restricts a request to the shards whose indexes are given. The indexes
// are valid only in the version of the configuration from which they were taken.
func (a *arrival) restrictTo(indexText, neededText string, version uint64) error {
	target, ok := a.route.Target.(*matcher.Sharded)
	if !ok || a.version != version {
		return fmt.Errorf("slice by version %d, here %d", version, a.version)
	}
	indexes, err := splitInts(indexText, len(target.Services))
	if err != nil {
		return err
	}
	needed, err := strconv.Atoi(neededText)
	if err != nil || needed < 0 || needed > len(indexes) {
		return fmt.Errorf("slice of places %q of which %q are needed", indexText, neededText)
	}
	restricted := &matcher.Sharded{Rows: target.Rows, MinCoverage: float64(needed) / float64(len(indexes))}
	for _, index := range indexes {
		restricted.Services = append(restricted.Services, target.Services[index])
	}
	route := *a.route
	route.Target = restricted
	a.route, a.slice, a.objectiveSpent = &route, true, sliceReserve
	return nil
}

// writeSlice writes the answer of a slice: the greatest rows of its shards, the
// list of the covered shards and their proofs.
func (f *Forwarder) writeSlice(w http.ResponseWriter, target *matcher.Sharded, answers []*Answer) {
	var covered []int
	var bodies [][]byte
	for index, a := range answers {
		if a != nil {
			covered = append(covered, index)
			bodies = append(bodies, a.Body)
			w.Header().Add(proofHeader, a.Proof)
		}
	}
	w.Header().Set(sliceHeader, joinInts(covered))
	f.writeRows(w, bodies, target.Rows)
}

func joinInts(list []int) string {
	texts := make([]string, len(list))
	for i, n := range list {
		texts[i] = strconv.Itoa(n)
	}
	return strings.Join(texts, ",")
}

// splitInts parses a strictly increasing list of indexes below limit.
func splitInts(text string, limit int) ([]int, error) {
	var list []int
	last := -1
	for field := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(field)
		if err != nil || n <= last || n >= limit {
			return nil, fmt.Errorf("places %q of %d parts", text, limit)
		}
		list = append(list, n)
		last = n
	}
	return list, nil
}
