package messenger

import "encoding/json"

// QueryRequest is the body of a caller's query.
type QueryRequest struct {
	// Class is the name of a class in the document of the service, or empty.
	Class string          `json:"class,omitempty"`
	Query json.RawMessage `json:"query"`
}

// QueryAnswer is the answer to a caller's query. Its rows come from one snapshot, a
// numbered version of the service's data.
type QueryAnswer struct {
	RequestID string            `json:"requestId"`
	Service   string            `json:"service"`
	Snapshot  uint64            `json:"snapshot"`
	Code      int               `json:"code"`
	Coverage  Coverage          `json:"coverage"`
	RowCount  int               `json:"rowCount"`
	Rows      []json.RawMessage `json:"rows"`
}

// Coverage is the number of shards that an answer covers, and the missing ones.
type Coverage struct {
	ShardsTotal   int            `json:"shardsTotal"`
	ShardsCovered int            `json:"shardsCovered"`
	Missing       []MissingShard `json:"missing,omitempty"`
}

// MissingShard is a shard that an answer lacks, with the result code of its sub-request.
type MissingShard struct {
	Shard int    `json:"shard"`
	Code  int    `json:"code"`
	Name  string `json:"name"`
}

// SubQuery is the sub-request for one shard, sent to a backend server.
type SubQuery struct {
	RequestID string `json:"requestId"`
	// Attempt identifies this attempt; the answer echoes it.
	Attempt  uint64 `json:"attempt"`
	Service  string `json:"service"`
	Snapshot uint64 `json:"snapshot"`
	Shard    int    `json:"shard"`
	// Shards is the number of shards of the snapshot.
	Shards int             `json:"shards"`
	Query  json.RawMessage `json:"query"`
}

// SubAnswer is the answer of a backend server for one shard.
type SubAnswer struct {
	RequestID string            `json:"requestId"`
	Attempt   uint64            `json:"attempt"`
	Snapshot  uint64            `json:"snapshot"`
	Shard     int               `json:"shard"`
	Shards    int               `json:"shards"`
	RowCount  int               `json:"rowCount"`
	Rows      []json.RawMessage `json:"rows"`
	Server    ServerStatus      `json:"server"`
}

// Holding is one shard of one snapshot that a backend server holds; Shards is the number
// of shards of the snapshot.
type Holding struct {
	Snapshot uint64 `json:"snapshot"`
	Shard    int    `json:"shard"`
	Shards   int    `json:"shards"`
}

// ServerStatus is the state that a backend server reports with each answer and to
// each status request.
type ServerStatus struct {
	ID string `json:"id"`
	// Incarnation identifies one run of the server process.
	Incarnation uint64 `json:"incarnation"`
	Draining    bool   `json:"draining"`
	// Running and Waiting are the numbers of requests that run and that wait in the server's queue.
	Running  int       `json:"running"`
	Waiting  int       `json:"waiting"`
	Holdings []Holding `json:"holdings,omitempty"`
}

// ServerRejection is the response body of a backend server that rejected a request;
// NotRun is set if the request certainly has not run.
type ServerRejection struct {
	Code             int          `json:"code"`
	NotRun           bool         `json:"notRun"`
	RetryAfterMillis int64        `json:"retryAfterMillis,omitempty"`
	Server           ServerStatus `json:"server"`
}
