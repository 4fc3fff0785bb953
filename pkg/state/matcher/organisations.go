package matcher

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"strings"
	"unicode"
)

const (
	// maxQuota bounds rates and bursts, far above what hosts can serve.
	maxQuota = 1e9
	// fingerprintBytes is the length of a key's fingerprint, enough to tell the keys of a
	// deployment apart and too little to find a key by.
	fingerprintBytes = 4
)

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
	// Place is where the configuration has the organisation, for error messages.
	Place string
	// Keys are the keys of its callers. They must not be logged or sent to other processes; those
	// of a table have none.
	Keys []string
	// Priority is its rank, which goes before that of the route; 0 is the most urgent.
	Priority int
	Quota    Quota
	// Regions are those in which its requests may be served; all if there are none.
	Regions []string
}

// KeyDigest stands for a key, so that neither tables nor requests hold keys.
type KeyDigest [sha256.Size]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Fingerprint returns the start of the digest as hexadecimal digits, for logs.
func (d KeyDigest) Fingerprint() string { return hex.EncodeToString(d[:fingerprintBytes]) }

// organisations finds organisations by key and by name.
type organisations struct {
	required bool
	byKey    map[KeyDigest]*Organisation
	byName   map[string]*Organisation
}

// newOrganisations returns the valid ones of the organisations, and an error for each invalid
// entry. A key of two organisations belongs to neither.
func newOrganisations(entries []Organisation, required bool) (organisations, []error) {
	o := organisations{
		required: required || len(entries) > 0,
		byKey:    make(map[KeyDigest]*Organisation), byName: make(map[string]*Organisation, len(entries)),
	}
	var problems []error
	reject := func(entry *Organisation, err error) {
		problems = append(problems, fmt.Errorf("%s: organisation %q: %w", entry.Place, entry.Name, err))
	}
	holders := make(map[KeyDigest]*Organisation)
	for i := range entries {
		entry := &entries[i]
		err := entry.check()
		first, taken := o.byName[entry.Name]
		if err == nil && taken {
			err = fmt.Errorf("another organisation has the name, which is kept (%s)", first.Place)
		}
		usable := err == nil
		if !usable {
			reject(entry, fmt.Errorf("left out, its keys are unknown: %w", err))
		}
		held := *entry
		held.Keys = nil
		if usable {
			o.byName[held.Name] = &held
		}
		for j, key := range entry.Keys {
			digest := DigestOf(key)
			other, shared := holders[digest]
			switch {
			case key == "" || strings.TrimSpace(key) != key:
				reject(entry, fmt.Errorf("key %d is empty or has spaces around it, it is left out", j))
			case !shared:
				holders[digest] = &held
				if usable {
					o.byKey[digest] = &held
				}
			case other != &held:
				reject(entry, fmt.Errorf("key %d is also one of organisation %q (%s) and belongs to neither", j, other.Name, other.Place))
				delete(o.byKey, digest)
			}
		}
	}
	return o, problems
}

// check returns why an organisation can't be used.
func (o *Organisation) check() error {
	switch {
	case o.Name == "":
		return errors.New("no name")
	case strings.TrimSpace(o.Name) != o.Name || strings.ContainsFunc(o.Name, unicode.IsControl):
		// Backend servers get the name in a header.
		return errors.New("the name has spaces around it or control characters")
	case !(o.Quota.Rate >= 0 && o.Quota.Rate <= maxQuota):
		return fmt.Errorf("rate %v is not between 0 and %v", o.Quota.Rate, maxQuota)
	case !(o.Quota.Burst >= 0 && o.Quota.Burst <= maxQuota):
		return fmt.Errorf("burst %v is not between 0 and %v", o.Quota.Burst, maxQuota)
	}
	return nil
}

// HasOrganisations reports whether callers need a key, but for public routes.
func (t *Table) HasOrganisations() bool { return t.organisations.required }

// OrganisationCount returns the number of organisations.
func (t *Table) OrganisationCount() int { return len(t.organisations.byName) }

// OrganisationOf returns the organisation that holds a key.
func (t *Table) OrganisationOf(key string) (*Organisation, bool) {
	return t.Holder(DigestOf(key))
}

// Holder returns the organisation that holds the key of a digest.
func (t *Table) Holder(digest KeyDigest) (*Organisation, bool) {
	o, ok := t.organisations.byKey[digest]
	return o, ok
}

// Organisation returns the organisation with a name.
func (t *Table) Organisation(name string) (*Organisation, bool) {
	o, ok := t.organisations.byName[name]
	return o, ok
}
