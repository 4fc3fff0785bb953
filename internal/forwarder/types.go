package forwarder

import (
	"net/http"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// Call holds what a caller's request states in its headers.
type Call struct {
	// ID is the caller's identifier of its attempt.
	ID string
	// Host is the requested host name, by which the route is found.
	Host string
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// Caller holds the caller's credentials, empty without any.
	Caller string
}

// Answer is the whole answer of a backend server to one attempt.
type Answer struct {
	// Code is classifier.OK for a usable answer.
	Code classifier.Code
	// FinalResponse is true if a failure comes from the server itself and may be
	// passed to the caller.
	FinalResponse bool
	// Proof is the server's signature of the answer.
	Proof string
	// Load is the server's report of its load, nil without one.
	Load *placer.Load
	// Draining is true if the server announces that it is draining.
	Draining bool
	// Pause is the Retry-After of a server that has rejected the request: it is to
	// get no requests until then.
	Pause time.Duration
	// Limit is the request rate that the server takes from all hosts together, nil if
	// the answer doesn't tell. LimitErr is why an announced limit can't be read.
	Limit    *allotter.Limit
	LimitErr error
	Status   int
	Header   http.Header
	Body     []byte
	// Err is the reason for a missing answer.
	Err error
	// Evidence is what the exchange tells about the path to the server.
	Evidence detector.Evidence
	// BrokenOff means that the connection ended after the request was sent and before the
	// answer was complete, Ended what a new connection has shown then.
	BrokenOff bool
	Ended     serverEnd
	// RetryAfter is when another host that refused the request expects to be able to serve it.
	RetryAfter time.Duration
	// Whole means that a peer has served the whole request; the answer goes to the caller as
	// it is.
	Whole bool
	// Exhausted is true if a gathering host may have used all attempts of the
	// sub-request. Unacknowledged is true if that host did not confirm the receipt;
	// it may then have used one attempt.
	Exhausted      bool
	Unacknowledged bool
	// Doubted is true if another host has given the sub-request up since servers may have
	// ended under it.
	Doubted bool
}

// Dialect translates between the headers of a platform and the types of this
// package.
type Dialect interface {
	// Call parses the headers of a caller's request.
	Call(r *http.Request) (Call, error)
	// Key returns the key by which a caller identifies itself, empty without one.
	Key(h http.Header) string
	// SetOrganisation removes the caller's credentials from the headers of a request, and sets
	// the header that names its organisation or, if the name is empty, removes it.
	SetOrganisation(h http.Header, name string)
	// SetChallenge sets the header that tells a caller without a valid key how to identify itself.
	SetChallenge(h http.Header)
	// SetRemaining sets the header that states how long the caller still waits.
	SetRemaining(h http.Header, remaining time.Duration)
	// SetTarget sets the headers that direct a request to one incarnation of a server.
	SetTarget(h http.Header, server *lister.Server, remaining time.Duration)
	// Classify sets the code, proof, load, pause, limit and draining mark of an answer
	// from its status and headers.
	Classify(call Call, a *Answer)
	// SetCoverage sets the headers that state which shards a merged answer covers and how
	// many are missing.
	SetCoverage(h http.Header, proofs []string, missing int)
	// SetRetryAfter sets the headers that state when a refused caller may retry.
	SetRetryAfter(h http.Header, retryAfter time.Duration)
}

// Documents decodes the objects of a platform's store.
type Documents interface {
	// Table decodes a configuration. If parts of it are invalid, Table may return both
	// an error and a table, which is then put in force.
	Table(object storer.Object) (*matcher.Table, error)
	// Server decodes the registration of a backend server. With an error, the
	// registration returned names no server.
	Server(object storer.Object) (lister.Registration, error)
}

// Merger merges the bodies of the shards' answers into one body with the n greatest
// rows.
type Merger interface {
	Merge(bodies [][]byte, n int) []byte
}

// Layout names the objects of the store that a host follows.
type Layout struct {
	// ConfigPrefix is the prefix of configuration objects; ConfigKey is the key of
	// the one in use.
	ConfigPrefix string
	ConfigKey    string
	// ServerPrefix and HostPrefix are the prefixes of the registrations of backend
	// servers and of this system's hosts.
	ServerPrefix string
	HostPrefix   string
	// EvidencePrefix is the prefix of what each host keeps of the requests under which
	// servers have ended.
	EvidencePrefix string
}

// whole reports whether there is an answer of a peer that served the whole request.
func (a *Answer) whole() bool {
	return a != nil && a.Whole
}
