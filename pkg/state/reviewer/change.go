package reviewer

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// Change is one difference between two configurations.
type Change struct {
	Place string
	Text  string
}

// String returns the change as a line.
func (c Change) String() string { return c.Place + ": " + c.Text }

// field is a part of an entry that two configurations are compared by.
type field struct {
	name  string
	value any
}

// Compare returns what differs in a configuration from the one in force. Keys aren't shown.
func Compare(inForce, next *matcher.Table) []Change {
	changes := compareEntries(routesByPlace(inForce), routesByPlace(next))
	changes = append(changes, compareEntries(servicesByPlace(inForce), servicesByPlace(next))...)
	changes = append(changes, compareEntries(organisationsByPlace(inForce), organisationsByPlace(next))...)
	changes = append(changes, compareKeys(inForce, next)...)
	changes = append(changes, compareEntries(limitsByPlace(inForce), limitsByPlace(next))...)
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.Place, b.Place) })
	if next.Version() <= inForce.Version() {
		changes = slices.Insert(changes, 0, Change{"version", fmt.Sprintf("%d isn't above %d, which is in force, so that hosts leave it out", next.Version(), inForce.Version())})
	}
	return changes
}

// compareEntries compares the fields of entries with the same place.
func compareEntries(before, after map[string][]field) []Change {
	var changes []Change
	for _, place := range slices.Sorted(maps.Keys(after)) {
		old, ok := before[place]
		if !ok {
			changes = append(changes, Change{place, "added"})
			continue
		}
		for i, f := range after[place] {
			if !reflect.DeepEqual(old[i].value, f.value) {
				changes = append(changes, Change{place, fmt.Sprintf("%s: %v -> %v", f.name, old[i].value, f.value)})
			}
		}
	}
	for _, place := range slices.Sorted(maps.Keys(before)) {
		_, ok := after[place]
		if !ok {
			changes = append(changes, Change{place, "removed"})
		}
	}
	return changes
}

func routesByPlace(t *matcher.Table) map[string][]field {
	entries := make(map[string][]field)
	for _, route := range t.Routes() {
		entries[fmt.Sprintf("route %s%s", route.Host, route.Prefix)] = []field{
			{"name", route.Name}, {"idempotent", route.Idempotent}, {"attempts", route.Attempts}, {"timeout", route.Timeout},
			{"objective", route.Objective}, {"priority", route.Priority}, {"public", route.Public}, {"regions", route.Regions},
			{"target", describeTarget(route.Target)},
		}
	}
	return entries
}

// describeTarget describes a target in a line that differs if the target does.
func describeTarget(target matcher.Target) string {
	switch target := target.(type) {
	case *matcher.Single:
		return "service " + target.Service
	case *matcher.Weighted:
		return fmt.Sprintf("weights %v", target.Services)
	case *matcher.Sharded:
		return fmt.Sprintf("%d shards %v, coverage %g, %d rows", len(target.Services), target.Services, target.MinCoverage, target.Rows)
	case *matcher.Unusable:
		return "unusable"
	}
	return "none"
}

func servicesByPlace(t *matcher.Table) map[string][]field {
	entries := make(map[string][]field)
	for _, service := range t.Services() {
		entries[servicePlace(service.Name)] = []field{{"healthPath", service.HealthPath}, {"connections", service.MaxConnections}, {"warmupRate", service.WarmupRate}}
	}
	return entries
}

func organisationsByPlace(t *matcher.Table) map[string][]field {
	entries := make(map[string][]field)
	for _, o := range t.Organisations() {
		entries[organisationPlace(o.Name)] = []field{
			{"priority", o.Priority}, {"rate", o.Quota.Rate}, {"burst", o.Quota.Burst}, {"regions", o.Regions},
		}
	}
	return entries
}

// compareKeys returns the organisations that both configurations have and whose keys differ.
func compareKeys(inForce, next *matcher.Table) []Change {
	added, removed := next.KeysBeyond(inForce), inForce.KeysBeyond(next)
	var changes []Change
	for _, o := range next.Organisations() {
		_, held := inForce.Organisation(o.Name)
		if held && added[o.Name]+removed[o.Name] > 0 {
			changes = append(changes, Change{organisationPlace(o.Name), fmt.Sprintf("keys: %d added, %d removed", added[o.Name], removed[o.Name])})
		}
	}
	return changes
}

func limitsByPlace(t *matcher.Table) map[string][]field {
	l := t.Limits()
	return map[string][]field{"limits": {
		{"headerBytes", l.HeaderBytes}, {"bodyBytes", l.BodyBytes}, {"headerTimeout", l.HeaderTimeout}, {"idleTimeout", l.IdleTimeout},
		{"callersNeedKeys", t.HasOrganisations()},
	}}
}
