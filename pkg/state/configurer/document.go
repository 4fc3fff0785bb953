package configurer

import (
	"encoding/json"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
)

// Kind is the kind of requests that a service runs.
type Kind string

// The kinds of service.
const (
	KindQuery Kind = "query"
	KindOrder Kind = "order"
)

// Carrier is the HTTP version of the connections to backend servers.
type Carrier string

// The carriers.
const (
	CarrierHTTP1 Carrier = "http1"
	CarrierHTTP2 Carrier = "http2"
)

// Policy is the mechanism by which an order runs at most once.
type Policy string

// The order policies.
const (
	PolicyTicket Policy = "ticket"
	PolicyClaim  Policy = "claim"
)

// Placement determines where the sub-requests for a shard wait in a queue.
type Placement string

// The placements of the queue of a shard.
const (
	// PlacementDirect means that sub-requests wait in the queues of the backend servers.
	PlacementDirect Placement = "direct"
	// PlacementOwner means that sub-requests wait in the one entry that owns the shard.
	PlacementOwner Placement = "owner"
)

// Document is the configuration of one service.
type Document struct {
	Service string  `json:"service"`
	Kind    Kind    `json:"kind"`
	Carrier Carrier `json:"carrier"`
	// Deadline is the time limit of a request that states none.
	Deadline decoder.Duration `json:"deadline"`
	// MaxDeadline bounds the time limit that a request states.
	MaxDeadline decoder.Duration `json:"maxDeadline"`
	Connections Connections      `json:"connections"`
	Admission   Admission        `json:"admission"`
	Classes     []Class          `json:"classes,omitempty"`
	Query       *Query           `json:"query,omitempty"`
	Order       *Order           `json:"order,omitempty"`
	Drain       Drain            `json:"drain"`
}

// Connections limits the connections to each backend server.
type Connections struct {
	// PerServer is the number of connections that a backend server accepts.
	PerServer int `json:"perServer"`
	// Reserve is the part of PerServer that is kept free for a new entry process, which
	// starts while the process that it replaces still holds its connections.
	Reserve int `json:"reserve"`
	// Hosts is the number of entry hosts that share the other connections.
	Hosts int `json:"hosts"`
}

// Quota returns the number of connections that one entry may hold to one backend server.
func (c Connections) Quota() int {
	if c.Hosts <= 0 {
		return 0
	}
	return (c.PerServer - c.Reserve) / c.Hosts
}

// Admission limits the concurrent requests of the service in one entry, by a limit that
// adapts between MinLimit and MaxLimit.
type Admission struct {
	InitialLimit int `json:"initialLimit"`
	MinLimit     int `json:"minLimit"`
	MaxLimit     int `json:"maxLimit"`
	// QueueTarget is the queueing delay above which the limit shrinks.
	QueueTarget decoder.Duration `json:"queueTarget"`
	// CallerShare is the fraction of the limit that one caller may use.
	CallerShare float64 `json:"callerShare"`
}

// Class is a class of requests with the fraction of the concurrency limit that it may use.
type Class struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
}

// Query holds the settings of a query service.
type Query struct {
	EarlyAnswer EarlyAnswer `json:"earlyAnswer"`
	ExtraLoad   ExtraLoad   `json:"extraLoad"`
	Placement   Placement   `json:"placement"`
}

// EarlyAnswer is the rule for an answer before all shards have answered.
type EarlyAnswer struct {
	// MinCoverage is the fraction of the shards that an early answer must cover; 1 means
	// that there are no early answers.
	MinCoverage float64 `json:"minCoverage"`
	// SoftDeadline is the time after the start of a query from which it may be answered
	// early.
	SoftDeadline decoder.Duration `json:"softDeadline"`
}

// ExtraLoad limits hedges and retries, each as a fraction of the first attempts.
type ExtraLoad struct {
	Hedge float64 `json:"hedge"`
	Retry float64 `json:"retry"`
}

// Order holds the settings of an order service.
type Order struct {
	Policy Policy `json:"policy"`
	// TicketLife is the time within which an order may be submitted with a ticket.
	TicketLife decoder.Duration `json:"ticketLife"`
	// MaxTickets limits the tickets that one entry holds.
	MaxTickets int `json:"maxTickets"`
	// ClaimsPerSecond limits the rate at which one entry writes claims to the store.
	ClaimsPerSecond float64 `json:"claimsPerSecond"`
	// ClaimLife is the time after which a claim expires.
	ClaimLife decoder.Duration `json:"claimLife"`
}

// Drain holds the durations of a planned stop.
type Drain struct {
	// Notice is how long a stopping entry still accepts requests.
	Notice decoder.Duration `json:"notice"`
	// Limit is the maximum wait for requests in flight.
	Limit decoder.Duration `json:"limit"`
}

// Envelope is a revision of a document as held in the store.
type Envelope struct {
	Revision uint64 `json:"revision"`
	ChangeID string `json:"changeId"`
	Author   string `json:"author"`
	// Time is in the format of RFC 3339.
	Time   string `json:"time"`
	Reason string `json:"reason"`
	// PreviousHash is the hash of the previous revision's envelope.
	PreviousHash string          `json:"previousHash"`
	Document     json.RawMessage `json:"document"`
}

// The prefixes of object keys in the store.
const (
	ConfigPrefix  = "config/"
	HistoryPrefix = "history/"
	ServerPrefix  = "servers/"
	ClaimPrefix   = "claims/"
)
