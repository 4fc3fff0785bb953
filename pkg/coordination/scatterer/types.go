package scatterer

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/detector"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// Config holds the settings of a scatterer.
type Config struct {
	Placer placer.Config
	// Detector holds the settings by which the failure domains that can't be reached are
	// detected.
	Detector detector.Config
	// AnswerMargin is how long before the latency objective of a route an incomplete
	// answer is sent, to allow for its transfer to the caller.
	AnswerMargin time.Duration
	// SubRequestMargin is added to AnswerMargin for each sub-request, for the time to read
	// and merge its answer.
	SubRequestMargin time.Duration
	// HedgeFraction is the fraction of the latency objective after which an unanswered
	// sub-request is hedged; 0 disables hedging.
	HedgeFraction float64
	// Retries lets a failed sub-request be sent to another server.
	Retries bool
	// LateFactor refuses an idempotent request whose expected latency is more than this
	// multiple of the time left to its latency objective; 0 refuses none.
	LateFactor float64
	// Relays lets requests whose servers can't be reached be sent through a peer.
	Relays bool
	// Hosts is the number of hosts that are assumed to share the limits of servers until
	// SetHosts is called.
	Hosts int
	// Vetting holds back requests under which servers have ended; VettingSeed seeds the IDs of
	// their trials.
	Vetting     bool
	VettingSeed uint64
	// Extra bounds the hedges and retries.
	Extra ExtraBudget
	// MinSliceSubRequests is the least number of sub-requests that are sent together, as
	// a slice, to a host of the failure domain of their servers; 0 disables slices.
	MinSliceSubRequests int
	// SliceFactor is the fraction of the time left to the latency objective within which
	// the answers that the request needs must be expected for a slice to be sent.
	SliceFactor float64
}

// ExtraBudget bounds the hedges and retries that all hosts together may send to a service
// in any span of one Window: Ratio times its requests, plus Burst.
type ExtraBudget struct {
	Ratio  float64
	Burst  float64
	Window time.Duration
}

// Directory lists the backend servers that accept new requests, by service and by failure
// domain.
type Directory interface {
	detector.Directory
	Servers(service string) []*lister.Server
}

// Event is an input of the machine.
type Event interface{ scattererEvent() }

// Arrived is a caller's request on a route.
type Arrived struct {
	Request uint64
	Route   *matcher.Route
	// CallerTimeLeft is how much longer the caller waits for its answer.
	CallerTimeLeft time.Duration
	// ObjectiveSpent is how much of the route's latency objective is not available here:
	// the time that has passed, and the transit time through another host.
	ObjectiveSpent time.Duration
	// BudgetShare is this host's fraction of the hedges and retries that all hosts together
	// may send to the services of the route.
	BudgetShare float64
	// Slice means that the request is a slice sent by another host. It is not divided
	// into slices again and is never refused for being late.
	Slice bool
	// Unconfirmed means that the host that sent the slice may still send the sub-requests
	// itself: until a Confirmed event each may run at one server only.
	Unconfirmed bool
	// Forwarded means that another host has sent the request, so that it isn't sent through
	// a peer again.
	Forwarded bool
	// Domains has the failure domains whose servers may run the request, nil for all.
	Domains map[string]bool
	// MaxAttempts is the number of servers that may still run each sub-request, 0 for the
	// attempts of the route.
	MaxAttempts int
	// Repeat means that the other host has counted the request for the budget of extra
	// attempts.
	Repeat bool
	// Fingerprint identifies what the request asks for. Method and Target, its path and query,
	// tell operators.
	Fingerprint vetter.Fingerprint
	Method      string
	Target      string
}

// Confirmed means that the host that sent a slice waits for its answer.
type Confirmed struct {
	Request uint64
}

// AttemptEnded reports the end of one attempt.
type AttemptEnded struct {
	Attempt uint64
	// Code is classifier.OK for a complete answer.
	Code classifier.Code
	// FinalResponse means that a failure is the server's own response. If no other attempt
	// is left, it is returned to the caller unchanged, unless the route is sharded.
	FinalResponse bool
	// ConnectionRefused means that nothing listens at the server's address.
	ConnectionRefused bool
	// Exhausted means that another host may have used all attempts of the sub-request.
	Exhausted bool
	// ServerEnded means that the server has ended while it ran the attempt.
	ServerEnded bool
	// Doubted means that another host has given the sub-request up since servers may have ended
	// under it.
	Doubted bool
	// Unacknowledged means that another host has not acknowledged the sub-request: most
	// likely it has sent it to no server, and it has sent it to one at most.
	Unacknowledged bool
	// Evidence is what the end tells about the path to the server.
	Evidence detector.Evidence
	// Load is the server's report of its load, nil without one.
	Load *placer.Load
}

// ProbeEnded reports the result of a probe of a failure domain.
type ProbeEnded struct {
	Domain string
	Result detector.ProbeResult
}

// SliceEnded reports the end of all attempts of a slice together. The rows of its
// sub-requests arrive merged, so an answer contains all of them or none.
type SliceEnded struct {
	Ends []*AttemptEnded
}

// RelayOutcome is what the end of a relay tells about the peers of this host.
type RelayOutcome int

const (
	// RelayFailed means that a peer took the request and failed to serve it.
	RelayFailed RelayOutcome = iota
	// RelayServed means that a peer got the answers.
	RelayServed
	// RelayUnserved means that a peer took the request and reaches no server for it either.
	RelayUnserved
	// RelayNoPeer means that no peer took the request.
	RelayNoPeer
	// RelayCanceled means that this host canceled the relay.
	RelayCanceled
)

// RelayEnded reports the end of a relay, with one attempt for each of its sub-requests.
type RelayEnded struct {
	Request uint64
	Ends    []*AttemptEnded
	Outcome RelayOutcome
	// RetryAfter is when the peer expects to be able to serve the request, 0 if it doesn't
	// tell.
	RetryAfter time.Duration
}

// TokensAsked means that an ask for tokens has been answered, or will not be.
type TokensAsked struct{}

// Abandoned means that the caller has disconnected.
type Abandoned struct {
	Request uint64
}

// Stopped means that the host stops: all requests in flight end now.
type Stopped struct{}

// TimerFired means that the time returned by NextTimer has been reached.
type TimerFired struct{}

func (*Arrived) scattererEvent()      {}
func (*Confirmed) scattererEvent()    {}
func (*AttemptEnded) scattererEvent() {}
func (*SliceEnded) scattererEvent()   {}
func (*RelayEnded) scattererEvent()   {}
func (*Abandoned) scattererEvent()    {}
func (*Stopped) scattererEvent()      {}
func (*TokensAsked) scattererEvent()  {}
func (*TimerFired) scattererEvent()   {}
func (*ProbeEnded) scattererEvent()   {}

// Reason is why an attempt is sent.
type Reason string

// Reasons of attempts.
const (
	ReasonFirst Reason = "first"
	ReasonHedge Reason = "late"
	ReasonRetry Reason = "retry"
)

// Action is an output of the machine.
type Action interface{ scattererAction() }

// Send sends a sub-request to a server.
type Send struct {
	Request    uint64
	Attempt    uint64
	SubRequest int
	Server     *lister.Server
	// Limited means that the server has announced a limit.
	Limited bool
	Reason  Reason
	// Expected is the latency that was expected of the server.
	Expected time.Duration
	Deadline time.Time
}

// SendSlice sends several sub-requests together to a host of another failure domain.
type SendSlice struct {
	Request uint64
	// Attempts has one attempt for each of SubRequests, in the same order; each ends
	// separately.
	Attempts    []uint64
	SubRequests []int
	Domain      string
	// Needed is how many of these sub-requests must be answered for the whole request to
	// succeed if all sub-requests that are sent separately are answered.
	Needed   int
	Deadline time.Time
}

// SendRelay sends sub-requests whose servers this host can't reach through a peer.
type SendRelay struct {
	Request uint64
	// Attempts has one attempt for each of SubRequests, in the same order.
	Attempts    []uint64
	SubRequests []int
	// Whole means that the peer serves the whole request, so that its response is the answer.
	Whole bool
	// Needed is, for a part of a request, how many of its sub-requests must be answered.
	Needed int
	// MaxAttempts is the number of servers that may still run each sub-request.
	MaxAttempts int
	// Repeat means that this host has counted the sub-requests for the budget of extra attempts.
	Repeat   bool
	Deadline time.Time
}

// AskTokens asks for tokens on behalf of a request that waits for a TokensAsked event, at
// most askWait.
type AskTokens struct {
	Request uint64
}

// ProbePath opens and closes a connection to each of some servers; a ProbeEnded event is to
// follow.
type ProbePath struct {
	detector.Probe
}

// ReachChanged means that a failure domain can no longer be reached, or can be again.
type ReachChanged struct {
	detector.Change
}

// Cancel cancels an attempt whose answer is no longer needed.
type Cancel struct {
	Attempt uint64
	// Await requests an AttemptEnded event, which shows whether the attempt may have run.
	Await bool
}

// MissingSubRequest is a sub-request without an answer, with the reason.
type MissingSubRequest struct {
	Service string
	// Code is the result of the last attempt that has ended, 0 if none has; it is NoServer
	// if no attempt could be sent.
	Code classifier.Code
	// Tried lists the IDs of the servers that this host sent the sub-request to, in order.
	Tried []string
}

// Complete answers a request from the given attempts, one for each sub-request; 0
// stands for a missing one.
type Complete struct {
	Request  uint64
	Attempts []uint64
	Missing  []MissingSubRequest
	// Early means that the answer is sent, for the sake of the latency objective, before all
	// sub-requests are done.
	Early bool
	// Took is the time since the arrival of the request.
	Took time.Duration
}

// Refuse ends a request without an answer from a backend server.
type Refuse struct {
	Request uint64
	Failure *classifier.Failure
	Missing []MissingSubRequest
	// Took is the time since the arrival of the request.
	Took time.Duration
}

func (*SendSlice) scattererAction()    {}
func (*SendRelay) scattererAction()    {}
func (*AskTokens) scattererAction()    {}
func (*Send) scattererAction()         {}
func (*ProbePath) scattererAction()    {}
func (*ReachChanged) scattererAction() {}
func (*Cancel) scattererAction()       {}
func (*Complete) scattererAction()     {}
func (*Refuse) scattererAction()       {}
