package reviewer

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// Kind is the kind of a finding.
type Kind string

// Kinds of findings.
const (
	// Rejected means that hosts leave the entry out.
	Rejected Kind = "error"
	// NoEffect means that no request or caller can meet the entry.
	NoEffect Kind = "noEffect"
	// Contradiction means that two limits can't both hold.
	Contradiction Kind = "contradiction"
)

// Finding is one remark on a configuration.
type Finding struct {
	Kind Kind
	// Place names the entry, such as route "r".
	Place string
	Text  string
}

// String returns the finding as a line.
func (f Finding) String() string { return fmt.Sprintf("%s: %s: %s", f.Kind, f.Place, f.Text) }

// HostLimits are what hosts accept at most, whatever a configuration allows.
type HostLimits struct {
	HeaderBytes int
	BodyBytes   int64
	IdleTimeout time.Duration
}

// review collects the findings on one configuration.
type review struct {
	table    *matcher.Table
	findings []Finding
}

func (r *review) add(kind Kind, place, format string, args ...any) {
	r.findings = append(r.findings, Finding{kind, place, fmt.Sprintf(format, args...)})
}

// Review returns the findings on a configuration, apart from what matcher.New rejects.
func Review(table *matcher.Table, limits HostLimits) []Finding {
	r := &review{table: table}
	r.reviewRoutes()
	r.reviewServices()
	r.reviewOrganisations()
	r.reviewLimits(limits)
	return r.findings
}

func routePlace(route *matcher.Route) string { return fmt.Sprintf("route %q", route.Name) }
func servicePlace(name string) string        { return fmt.Sprintf("service %q", name) }
func organisationPlace(name string) string   { return fmt.Sprintf("organisation %q", name) }

func (r *review) reviewRoutes() {
	type key struct{ host, prefix string }
	last := make(map[key]string)
	for _, route := range slices.Backward(r.table.Routes()) {
		k := key{route.Host, route.Prefix}
		later, taken := last[k]
		if taken {
			r.add(NoEffect, routePlace(&route), "route %q has the same host name and prefix and comes later", later)
		} else {
			last[k] = route.Name
		}
		r.reviewRoute(&route)
	}
	slices.Reverse(r.findings)
}

func (r *review) reviewRoute(route *matcher.Route) {
	place := routePlace(route)
	switch {
	case route.Host == "":
		r.add(NoEffect, place, "requests without a host name are rejected")
	case strings.ContainsAny(route.Host, ":/ "):
		r.add(NoEffect, place, "host name %q has a port or a character that no host name has", route.Host)
	}
	if strings.ContainsAny(route.Prefix, "?# ") || strings.Contains(route.Prefix, "//") {
		r.add(NoEffect, place, "no path of a request begins with %q", route.Prefix)
	}
	if route.Public && !r.table.HasOrganisations() {
		r.add(NoEffect, place, "is public, but callers need no keys")
	}
	if route.Timeout > 0 && route.Timeout < route.Objective {
		r.add(Contradiction, place, "the timeout %v ends requests before their latency objective %v", route.Timeout, route.Objective)
	}
	if route.Timeout <= 0 {
		r.add(Contradiction, place, "a timeout of %v ends each request at once", route.Timeout)
	}
	r.reviewTarget(place, route)
}

func (r *review) reviewTarget(place string, route *matcher.Route) {
	switch target := route.Target.(type) {
	case *matcher.Single:
		r.reviewService(place, target.Service)
	case *matcher.Weighted:
		for _, service := range target.Services {
			r.reviewService(place, service.Service)
			if service.Weight <= 0 {
				r.add(NoEffect, place, "service %q has the weight %v and gets no requests", service.Service, service.Weight)
			}
		}
		if len(target.Services) == 1 {
			r.add(NoEffect, place, "the weight of its only service has no effect")
		}
	case *matcher.Sharded:
		seen := make(map[string]bool, len(target.Services))
		for _, service := range target.Services {
			r.reviewService(place, service)
			if seen[service] {
				r.add(Contradiction, place, "service %q is two shards, so that its rows count twice", service)
			}
			seen[service] = true
		}
		if target.Rows <= 0 {
			r.add(Contradiction, place, "answers have %d rows", target.Rows)
		}
	case *matcher.Unusable:
	}
}

func (r *review) reviewService(place, name string) {
	_, ok := r.table.Service(name)
	if !ok {
		r.add(NoEffect, place, "service %q isn't among the services, so that its servers have no bound of connections", name)
	}
}

// usedServices returns the services that routes name.
func (r *review) usedServices() map[string]bool {
	used := make(map[string]bool)
	for _, route := range r.table.Routes() {
		switch target := route.Target.(type) {
		case *matcher.Single:
			used[target.Service] = true
		case *matcher.Weighted:
			for _, service := range target.Services {
				used[service.Service] = true
			}
		case *matcher.Sharded:
			for _, service := range target.Services {
				used[service] = true
			}
		case *matcher.Unusable:
		}
	}
	return used
}

func (r *review) reviewServices() {
	used := r.usedServices()
	seen := make(map[string]bool)
	for _, service := range r.table.Services() {
		place := servicePlace(service.Name)
		if !used[service.Name] {
			r.add(NoEffect, place, "no route names it")
		}
		if seen[service.Name] {
			r.add(Contradiction, place, "is there twice, the last one holds")
		}
		seen[service.Name] = true
		if service.MaxConnections < 0 {
			r.add(Contradiction, place, "allows %d connections", service.MaxConnections)
		}
	}
}

func (r *review) reviewOrganisations() {
	keys := r.table.KeyCounts()
	for _, o := range r.table.Organisations() {
		place := organisationPlace(o.Name)
		if keys[o.Name] == 0 {
			r.add(NoEffect, place, "has no key, so that nobody can call for it")
		}
		switch {
		case o.Quota.Rate == 0 && o.Quota.Burst > 0:
			r.add(NoEffect, place, "a burst of %g without a rate bounds nothing", o.Quota.Burst)
		case o.Quota.Limited() && o.Quota.Burst < 1:
			r.add(Contradiction, place, "a burst of %g admits no whole request beyond its rate", o.Quota.Burst)
		}
	}
}

func (r *review) reviewLimits(host HostLimits) {
	limits := r.table.Limits()
	const place = "limits"
	if limits.HeaderBytes > host.HeaderBytes {
		r.add(Contradiction, place, "headers of %d bytes are allowed, hosts take %d", limits.HeaderBytes, host.HeaderBytes)
	}
	if limits.BodyBytes > host.BodyBytes {
		r.add(Contradiction, place, "bodies of %d bytes are allowed, hosts take %d", limits.BodyBytes, host.BodyBytes)
	}
	if limits.IdleTimeout > host.IdleTimeout {
		r.add(Contradiction, place, "connections may be idle for %v, hosts close them after %v", limits.IdleTimeout, host.IdleTimeout)
	}
	if limits.HeaderTimeout > 0 && limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		r.add(Contradiction, place, "a header may take %v, but a connection is idle after %v", limits.HeaderTimeout, limits.IdleTimeout)
	}
}
