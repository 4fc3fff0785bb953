package forwarder

import (
	"maps"
	"slices"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

// region returns the region of a failure domain, empty if it isn't known.
func (s Settings) region(domain string) string {
	region, ok := s.Regions[domain]
	if !ok && domain == s.Domain {
		return s.Region
	}
	return region
}

// domainsIn returns the failure domains in all of some sets of regions, of which an empty one allows
// every region; nil if all are empty.
func (s Settings) domainsIn(sets ...[]string) map[string]bool {
	if !slices.ContainsFunc(sets, func(regions []string) bool { return len(regions) > 0 }) {
		return nil
	}
	domains := make(map[string]bool)
	for _, domain := range append(slices.Collect(maps.Keys(s.Regions)), s.Domain) {
		region := s.region(domain)
		domains[domain] = region != "" && !slices.ContainsFunc(sets, func(regions []string) bool {
			return len(regions) > 0 && !slices.Contains(regions, region)
		})
	}
	return domains
}

// setHomes sets the failure domains whose servers may run a request.
func (f *Forwarder) setHomes(a *arrival) {
	var organisation []string
	if a.organisation != nil {
		organisation = a.organisation.Regions
	}
	if len(a.route.Regions) > 0 || len(organisation) > 0 {
		a.domains = f.Settings().domainsIn(a.route.Regions, organisation)
	}
}

// foreignHosts returns the names of the hosts that must not get a request: those that are neither
// in a region where it may be served nor in that of this host, to which its client has connected.
// A seed of which no more is known than its address, which is its name then, is one of them.
func (f *Forwarder) foreignHosts(a *arrival) []string {
	if a.domains == nil {
		return nil
	}
	s := f.Settings()
	names := f.otherSeeds()
	for _, host := range f.delegate.listedHosts() {
		region := s.region(host.Domain)
		if !a.domains[host.Domain] && (region == "" || region != s.region(s.Domain)) {
			names = append(names, host.Name)
		}
	}
	return names
}

// checkRegions logs the regions of a configuration in which no failure domain is known.
func (f *Forwarder) checkRegions(table *matcher.Table) {
	s := f.Settings()
	known := append(slices.Collect(maps.Values(s.Regions)), s.Region)
	places := table.Homes()
	for _, region := range slices.Sorted(maps.Keys(places)) {
		if region == "" || !slices.Contains(known, region) {
			f.cfg.Logger.Error(logger.RegionUnknown, "region", region, "version", table.Version(), "places", len(places[region]), "first", places[region][0])
		}
	}
}
