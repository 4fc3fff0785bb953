package messenger

// ServerState is the state in the registration of a backend server.
type ServerState string

// The states of a backend server; a registration writes the draining state as "leaving".
const (
	ServerLive     ServerState = "live"
	ServerDraining ServerState = "leaving"
)

// Server is the registration of a backend server in the store.
type Server struct {
	ID      string `json:"id"`
	Service string `json:"service"`
	Address string `json:"address"`
	// Domain is the failure domain of the server.
	Domain string      `json:"domain"`
	State  ServerState `json:"state"`
	// Incarnation identifies one run of the server process.
	Incarnation uint64 `json:"incarnation"`
	// Slots is the number of requests that the server runs concurrently.
	Slots    int       `json:"slots"`
	Holdings []Holding `json:"holdings,omitempty"`
}

// WithState returns a copy with another state.
func (s Server) WithState(state ServerState) Server {
	s.State = state
	return s
}

// HTTP headers between callers, entries and backend servers.
const (
	// HeaderRequestID carries the request id, which each answer echoes.
	HeaderRequestID = "X-Request-Id"
	// HeaderDeadline carries the time left for the request, in milliseconds.
	HeaderDeadline = "X-Deadline-Ms"
	// HeaderCaller identifies the caller whose share of the concurrency limit applies.
	HeaderCaller = "X-Caller"
	// HeaderOrderKey carries the order id to a backend server. The standard
	// Idempotency-Key is not used there: net/http retries a POST that has it.
	HeaderOrderKey = "X-Order-Key"
	// HeaderIdempotencyKey carries the key that the caller chose for an order.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// HTTP paths of a backend server.
const (
	PathSearch = "/search"
	PathOrder  = "/order"
	PathStatus = "/status"
)
