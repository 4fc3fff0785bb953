package allotter

// Limit is the rate at which a backend server takes requests from all hosts together.
type Limit struct {
	// Stated is false if the server announces no limit.
	Stated bool `json:"stated"`
	// Rate is in requests per second, at least 0.
	Rate float64 `json:"perSecond"`
}

// probeRate is the least rate, in requests per second, at which tokens are allotted. Only
// an answer shows that a limit has been raised or has ended.
const probeRate = 0.2

// rate returns the rate at which tokens are allotted.
func (l Limit) rate() float64 {
	return max(l.Rate, probeRate)
}

// lower returns the lower one of two limits.
func lower(a, b Limit) Limit {
	if !a.Stated || (b.Stated && b.Rate < a.Rate) {
		return b
	}
	return a
}

// Incarnation identifies one run of a backend server.
type Incarnation struct {
	Server          string `json:"server"`
	StartedAtMillis int64  `json:"born"`
}

// Ask is what a host tells and wants of the limit of one server.
type Ask struct {
	Incarnation

	Limit Limit `json:"limit"`
	// AgeMillis is how long ago the server has announced the limit to the asking host.
	AgeMillis int64 `json:"ageMillis"`
	// Wanted is the number of requests for the server since the last ask.
	Wanted int `json:"wanted"`
	// Urgent means that a request waits for a token.
	Urgent bool `json:"urgent,omitempty"`
	// Returned is the number of tokens that the host gives back, since the request that they
	// were for could not be sent.
	Returned int `json:"returned,omitempty"`
	// Held is the number of tokens that the host has left.
	Held int `json:"held"`
	// WarmupRate bounds the limit for WarmupMillis more, while the server warms up.
	WarmupRate   float64 `json:"warmupPerSecond,omitempty"`
	WarmupMillis int64   `json:"warmupMillis,omitempty"`
}

// Grant is the answer to an Ask.
type Grant struct {
	Incarnation

	// Tokens is the number of requests that the host may send beyond those held; Urgent is
	// that of the ask.
	Tokens int  `json:"tokens"`
	Urgent bool `json:"urgent,omitempty"`
	// Limit is the newest limit that any host has told, AgeMillis ago.
	Limit     Limit `json:"limit"`
	AgeMillis int64 `json:"ageMillis"`
	// WaitMillis is the time after which the host can expect its next token.
	WaitMillis int64 `json:"waitMillis"`
}

// Change is how an announcement changes what is known of the limit of a server.
type Change int

const (
	// Unchanged means that the announcement repeats the limit that is known.
	Unchanged Change = iota
	// Started means that the server had no limit before.
	Started
	// Changed means that the limit has grown or shrunk.
	Changed
	// Ended means that the server announces no limit any more.
	Ended
)

// changeOf compares two limits.
func changeOf(before, after Limit) Change {
	switch {
	case before == after:
		return Unchanged
	case !before.Stated:
		return Started
	case !after.Stated:
		return Ended
	}
	return Changed
}
