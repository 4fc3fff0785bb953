package matcher

import "crypto/sha256"

// Quota bounds the requests of an organisation over all hosts together.
type Quota struct {
	// Rate is in requests per second; 0 means that there is no bound.
	Rate float64
	// Burst is the number of requests beyond the rate that may come at once.
	Burst float64
}

// Limited reports whether the quota bounds anything.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Organisation is a customer whose callers identify themselves by keys.
type Organisation struct {
	Name string
	// Keys are the keys of its callers. They must not be logged or sent to other processes.
	Keys []string
	// Priority is its rank, which goes before that of the route; 0 is the most urgent.
	Priority int
	Quota    Quota
	// Regions are those in which its requests may be served; all if there are none.
	Regions []string
}

// keyDigest stands for a key, so that the table holds no keys.
type keyDigest [sha256.Size]byte

// organisations finds organisations by key and by name.
type organisations struct {
	byKey  map[keyDigest]*Organisation
	byName map[string]*Organisation
}

// HasOrganisations reports whether callers need a key, but for public routes.
func (t *Table) HasOrganisations() bool { return len(t.organisations.byName) > 0 }

// OrganisationOf returns the organisation that holds a key.
func (t *Table) OrganisationOf(key string) (*Organisation, bool) {
	o, ok := t.organisations.byKey[sha256.Sum256([]byte(key))]
	return o, ok
}

// Organisation returns the organisation with a name.
func (t *Table) Organisation(name string) (*Organisation, bool) {
	o, ok := t.organisations.byName[name]
	return o, ok
}
