package forwarder

import (
	"net/http"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// organisationHeader names the organisation of a request that another host has identified; it is
// empty for a caller without one on a public route.
const organisationHeader = "X-Rhubarbpost-Organisation"

// sender is who sends a request: a caller, or a host that has identified the caller.
type sender struct {
	// identified is set if another host has identified the caller.
	identified   bool
	organisation string
}

// takeSender removes organisationHeader from a request of another host and returns what it states.
// A host whose configuration has no organisations states none and sends the caller's credentials.
func takeSender(h http.Header) sender {
	values, ok := h[organisationHeader]
	if !ok {
		return sender{}
	}
	h.Del(organisationHeader)
	return sender{identified: true, organisation: values[0]}
}

// identity is how the organisation of a request was found.
type identity struct {
	// applies is set if organisations are configured, so that servers get the organisation's name
	// instead of the caller's credentials.
	applies bool
	// table is the configuration by which the caller's key was taken, digest that of the key;
	// table is nil if the request depends on no key.
	table  *matcher.Table
	digest matcher.KeyDigest
	// refusedKey is the fingerprint of a key because of which the request is refused.
	refusedKey string
}

// setHeader states the organisation of a request to another host.
func (i identity) setHeader(h http.Header, organisation string) {
	if i.applies {
		h.Set(organisationHeader, organisation)
	}
}

// keyProblem is why a caller's key is refused.
type keyProblem string

const (
	keyMissing keyProblem = "missing"
	keyUnknown keyProblem = "unknown"
	// keyUndecided means that this host's configuration may be out of date.
	keyUndecided keyProblem = "undecided"
	// keyWithdrawn means that the key was taken away while the request waited.
	keyWithdrawn keyProblem = "withdrawn"
)

// identify sets the organisation of a request, or returns why its caller is refused.
func (f *Forwarder) identify(r *http.Request, table *matcher.Table, a *arrival, from sender) *classifier.Failure {
	if from.identified {
		a.identity.applies = true
		a.organisation = namedOrganisation(table, from.organisation)
		return nil
	}
	if !table.HasOrganisations() {
		return nil
	}
	a.identity.applies = true
	key := f.cfg.Dialect.Key(r.Header)
	digest := matcher.DigestOf(key)
	organisation, known := table.Holder(digest)
	switch {
	case known:
		a.organisation = organisation
		a.identity.table, a.identity.digest = table, digest
		return nil
	case a.route.Public:
		return nil
	case key == "":
		f.metrics.unidentified(keyMissing)
		return classifier.NewFailure(classifier.UnknownKey, "no key, route %q needs one, version %d", a.route.Name, table.Version())
	}
	a.identity.refusedKey = digest.Fingerprint()
	return f.unknownKey(table, a, keyUnknown)
}

// namedOrganisation returns the organisation with a name that another host states, nil without a
// name. A host with another configuration may have admitted an organisation that this one lacks.
func namedOrganisation(table *matcher.Table, name string) *matcher.Organisation {
	if name == "" {
		return nil
	}
	organisation, ok := table.Organisation(name)
	if !ok {
		return &matcher.Organisation{Name: name}
	}
	return organisation
}

// unknownKey returns the failure for a key that no organisation of a configuration holds. If that
// may be out of date, the failure leaves open whether one does.
func (f *Forwarder) unknownKey(table *matcher.Table, a *arrival, problem keyProblem) *classifier.Failure {
	if time.Since(f.confirmedAt()) > configStaleAge {
		f.metrics.unidentified(keyUndecided)
		return classifier.NewFailure(classifier.StaleRoutes, "%s key, route %q, version %d", problem, a.route.Name, table.Version()).
			WithRetryAfter(transientRetryAfter)
	}
	f.metrics.unidentified(problem)
	return classifier.NewFailure(classifier.UnknownKey, "%s key, route %q, version %d", problem, a.route.Name, table.Version())
}

// tableChanged reports that another configuration is in force.
type tableChanged struct{ table *matcher.Table }

func (tableChanged) engineEvent() {}

// withdrawKeys has requests in flight whose keys a configuration has taken away sent to no further
// server.
func (e *engine) withdrawKeys(now time.Time, table *matcher.Table) {
	for id, r := range e.requests {
		if r.identifiedBy(table) {
			continue
		}
		e.metrics.unidentified(keyWithdrawn)
		e.log.Info(logger.KeyWithdrawn, "request", r.call.ID, "organisation", r.organisation.Name, "key", r.identity.digest.Fingerprint(),
			"accepted", r.version, "version", table.Version())
		e.act(e.machine.Step(now, &scatterer.Withdrawn{Request: id}))
	}
}

// identifiedBy reports whether a configuration finds the same organisation for the key of a
// request, if the request has been identified by one.
func (a *arrival) identifiedBy(table *matcher.Table) bool {
	if a.identity.table == nil || a.identity.table == table || !table.HasOrganisations() {
		return true
	}
	organisation, known := table.Holder(a.identity.digest)
	return known && organisation.Name == a.organisation.Name
}

// recheck returns why the caller of a request that has waited is refused by a configuration that
// has come into force in the meantime, nil if it isn't.
func (f *Forwarder) recheck(a *arrival) *classifier.Failure {
	table := f.table.Load()
	if a.identifiedBy(table) {
		return nil
	}
	a.identity.refusedKey = a.identity.digest.Fingerprint()
	_, known := table.Holder(a.identity.digest)
	if !known && !a.route.Public {
		return f.unknownKey(table, a, keyWithdrawn)
	}
	// The next attempt is served for the organisation that holds the key now, or for none.
	f.metrics.unidentified(keyWithdrawn)
	return classifier.NewFailure(classifier.StaleRoutes, "the key no longer belongs to the organisation, version %d", table.Version()).
		WithRetryAfter(transientRetryAfter)
}

// organisationName returns the name of a request's organisation, empty without one.
func (a *arrival) organisationName() string {
	if a.organisation == nil {
		return ""
	}
	return a.organisation.Name
}

// callerIdentity returns what tells the callers of equal requests apart, which is the same on
// each host that a request passes.
func (a *arrival) callerIdentity() string {
	if a.identity.applies {
		return a.organisationName()
	}
	return a.call.Caller
}

// withIdentity adds what log lines tell of a request's caller to their pairs.
func (a *arrival) withIdentity(pairs ...any) []any {
	if a.organisation != nil {
		pairs = append(pairs, "organisation", a.organisation.Name)
	}
	if a.identity.refusedKey != "" {
		pairs = append(pairs, "key", a.identity.refusedKey)
	}
	return pairs
}
