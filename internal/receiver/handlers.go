package receiver

import (
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/querier"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

const (
	maxBodyBytes = 1 << 20
	// anonymousCaller replaces a missing or too long caller name.
	anonymousCaller = "anonymous"
	maxCallerBytes  = 128
	// notConfiguredRetryAfter is the Retry-After of requests that arrive before
	// the first configuration.
	notConfiguredRetryAfter = time.Second
)

func (r *Receiver) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/services/{service}/query", r.serveQuery)
	mux.HandleFunc("POST /v1/services/{service}/orders", r.serveOrder)
	mux.HandleFunc("POST /v1/services/{service}/tickets", r.serveTicket)
	mux.HandleFunc("GET /v1/services/{service}", r.serveStatus)
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", r.serveReady)
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		r.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return mux
}

func (r *Receiver) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !r.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// callerRequest holds the fields that all requests of callers have in common.
type callerRequest struct {
	requestID string
	caller    string
	deadline  time.Time
	service   service
}

// parseRequest reads the headers of a request, looks up its service and sets the
// request ID of the response.
func (r *Receiver) parseRequest(w http.ResponseWriter, request *http.Request) (callerRequest, *classifier.Failure) {
	c := callerRequest{requestID: listener.RequestID(request), caller: callerOf(request)}
	w.Header().Set(messenger.HeaderRequestID, c.requestID)
	if !r.follower.Synced() {
		return c, classifier.NewFailure(classifier.NotConfigured, "").WithRetryAfter(notConfiguredRetryAfter)
	}
	name := request.PathValue("service")
	c.service = r.service(name)
	if c.service == nil {
		return c, classifier.NewFailure(classifier.UnknownService, "%q", name)
	}
	budget, failure := deadlineOf(request, c.service.document())
	c.deadline = time.Now().Add(budget)
	return c, failure
}

func callerOf(request *http.Request) string {
	caller := request.Header.Get(messenger.HeaderCaller)
	if caller == "" || len(caller) > maxCallerBytes {
		return anonymousCaller
	}
	return caller
}

// deadlineOf returns the time limit that the caller set, capped at the maximum
// of the service, or the default of the service if the caller set none.
func deadlineOf(request *http.Request, document configurer.Document) (time.Duration, *classifier.Failure) {
	text := request.Header.Get(messenger.HeaderDeadline)
	if text == "" {
		return document.Deadline.Value(), nil
	}
	millis, err := strconv.ParseInt(text, 10, 32)
	if err != nil || millis <= 0 {
		return 0, classifier.NewFailure(classifier.InvalidRequest, "header %s: %q is no positive number of milliseconds", messenger.HeaderDeadline, text)
	}
	return min(time.Duration(millis)*time.Millisecond, document.MaxDeadline.Value()), nil
}

func (r *Receiver) serveQuery(w http.ResponseWriter, request *http.Request) {
	c, failure := r.parseRequest(w, request)
	if failure != nil {
		r.refuse(w, c, failure)
		return
	}
	queries, ok := c.service.(*queryService)
	if !ok {
		r.refuse(w, c, classifier.NewFailure(classifier.InvalidRequest, "the service takes no queries"))
		return
	}
	body, failure := listener.ReadBody[messenger.QueryRequest](request, maxBodyBytes)
	if failure == nil && len(body.Query) == 0 {
		failure = classifier.NewFailure(classifier.InvalidRequest, "body: field query: missing")
	}
	if failure != nil {
		r.refuse(w, c, failure)
		return
	}
	answer, err := queries.engine.Query(request.Context(), querier.Request{
		RequestID: c.requestID, Caller: c.caller, Class: body.Class, Deadline: c.deadline, Query: body.Query,
	})
	if err != nil {
		r.refuse(w, c, classifier.FailureOf(err, classifier.ServerFailed))
		return
	}
	r.log.Debug(logger.QueryAnswered, "requestId", c.requestID, "covered", answer.Coverage.ShardsCovered, "shards", answer.Coverage.ShardsTotal)
	listener.WriteJSON(w, http.StatusOK, answer)
}

// refuse logs a failure and writes it as the response.
func (r *Receiver) refuse(w http.ResponseWriter, c callerRequest, failure *classifier.Failure) {
	r.log.Debug(logger.QueryRefused, "requestId", c.requestID, "code", int(failure.Code), "error", failure)
	listener.WriteFailure(w, c.requestID, failure)
}

func (r *Receiver) serveStatus(w http.ResponseWriter, request *http.Request) {
	c, failure := r.parseRequest(w, request)
	if failure != nil {
		r.refuse(w, c, failure)
		return
	}
	status, err := statusOf(request, c.service)
	if err != nil {
		r.refuse(w, c, classifier.FailureOf(err, classifier.Stopping))
		return
	}
	status.Revision = c.service.revision()
	listener.WriteJSON(w, http.StatusOK, status)
}

func statusOf(request *http.Request, s service) (messenger.ServiceStatus, error) {
	switch s := s.(type) {
	case *queryService:
		return s.engine.Status(request.Context())
	case *orderService:
		return s.engine.Status(), nil
	}
	return messenger.ServiceStatus{}, nil
}
