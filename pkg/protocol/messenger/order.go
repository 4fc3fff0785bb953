package messenger

import "encoding/json"

// OrderRequest is the body of a caller's order.
type OrderRequest struct {
	Ticket string          `json:"ticket,omitempty"`
	Order  json.RawMessage `json:"order"`
}

// OrderAnswer is the answer to a caller's order that has run.
type OrderAnswer struct {
	RequestID string          `json:"requestId"`
	Service   string          `json:"service"`
	OrderID   string          `json:"orderId"`
	Outcome   string          `json:"outcome"`
	Code      int             `json:"code"`
	Result    json.RawMessage `json:"result,omitempty"`
}

// TicketAnswer is the answer to a caller's request for a ticket.
type TicketAnswer struct {
	RequestID string `json:"requestId"`
	Service   string `json:"service"`
	Ticket    string `json:"ticket"`
	// ExpiresInMillis is the time until the ticket expires, in milliseconds.
	ExpiresInMillis int64 `json:"expiresInMillis"`
}

// ServerOrder is an order as sent to a backend server.
type ServerOrder struct {
	RequestID string          `json:"requestId"`
	Service   string          `json:"service"`
	OrderID   string          `json:"orderId"`
	Order     json.RawMessage `json:"order"`
}

// ServerOrderAnswer is the answer of a backend server to an order that has run.
type ServerOrderAnswer struct {
	RequestID string          `json:"requestId"`
	OrderID   string          `json:"orderId"`
	Result    json.RawMessage `json:"result"`
	Server    ServerStatus    `json:"server"`
}

// ServiceStatus is the answer to a caller's status request.
type ServiceStatus struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	// Revision is that of the service's document in force.
	Revision uint64 `json:"revision"`
	// Snapshot is the version of the data that queries currently use, Shards its number of
	// shards; both are 0 for an order service.
	Snapshot uint64 `json:"snapshot"`
	Shards   int    `json:"shards"`
	// ServersLive is the number of backend servers that may get new requests.
	ServersLive int `json:"serversLive"`
	// InFlight is the number of requests in progress, Limit the current limit on it.
	InFlight int `json:"inFlight"`
	Limit    int `json:"limit"`
}

// Problem is the body of a refusal or failure, in the format of RFC 9457 problem details.
type Problem struct {
	Type             string `json:"type"`
	Title            string `json:"title"`
	Status           int    `json:"status"`
	Detail           string `json:"detail,omitempty"`
	RequestID        string `json:"requestId"`
	Code             int    `json:"code"`
	Name             string `json:"name"`
	Outcome          string `json:"outcome"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}
