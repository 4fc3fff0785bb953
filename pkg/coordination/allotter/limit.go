package allotter

// Limit is the rate at which a backend server takes requests from all hosts together.
type Limit struct {
	// Stated is false if the server announces no limit.
	Stated bool
	// Rate is in requests per second, at least 0.
	Rate float64
}

// Incarnation identifies one run of a backend server.
type Incarnation struct {
	Server          string
	StartedAtMillis int64
}

// Change is how an announcement changes what is known of the limit of a server.
type Change int

const (
	// Unchanged means that the announcement repeats the limit that is known.
	Unchanged Change = iota
	// Started means that the server had no limit before.
	Started
	// Raised means that the limit has grown.
	Raised
	// Lowered means that the limit has shrunk.
	Lowered
	// Ended means that the server announces no limit any more.
	Ended
)

// String returns the name of the change, as written in logs.
func (c Change) String() string {
	switch c {
	case Started:
		return "started"
	case Raised:
		return "raised"
	case Lowered:
		return "lowered"
	case Ended:
		return "ended"
	case Unchanged:
	}
	return "unchanged"
}

// changeOf compares two limits.
func changeOf(before, after Limit) Change {
	switch {
	case !before.Stated && !after.Stated:
		return Unchanged
	case !before.Stated:
		return Started
	case !after.Stated:
		return Ended
	case after.Rate > before.Rate:
		return Raised
	case after.Rate < before.Rate:
		return Lowered
	}
	return Unchanged
}
