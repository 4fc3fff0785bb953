package forwarder

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

// evacuationsChange holds all failure domains that are evacuated now.
type evacuationsChange struct {
	domains []string
	// confirmedAt is when the store has last confirmed that.
	confirmedAt time.Time
}

func (evacuationsChange) engineEvent() {}

// isEvacuation reports whether an object is an evacuation that this host is to follow.
func (f *Forwarder) isEvacuation(key string) bool {
	return f.cfg.Settings.Bounds.evacuates() && strings.HasPrefix(key, f.cfg.Layout.EvacuationPrefix)
}

// bindsPromptly reports whether a change under a prefix has to be in force within seconds of the
// operators' write.
func (f *Forwarder) bindsPromptly(prefix string) bool {
	return prefix == f.cfg.Layout.ConfigPrefix || prefix == f.cfg.Layout.EvacuationPrefix
}

// knowsEvacuations reports whether this host knows which failure domains are evacuated, without
// which a host that has just started must not send anything.
func (f *Forwarder) knowsEvacuations() bool {
	return !f.cfg.Settings.Bounds.evacuates() || f.evacuationsKnown.Load()
}

// confirmEvacuations records that the store has returned the current state of a prefix, and that
// it is applied.
func (f *Forwarder) confirmEvacuations(prefix string, at time.Time) {
	if prefix == f.cfg.Layout.EvacuationPrefix {
		advance(&f.evacuationsConfirmed, at)
		f.evacuationsKnown.Store(true)
	}
}

// updateEvacuations puts the evacuations in force that the held objects name.
func (f *Forwarder) updateEvacuations() {
	f.evacuationsMu.Lock()
	defer f.evacuationsMu.Unlock()
	var domains []string
	for _, object := range f.objects.List(f.cfg.Layout.EvacuationPrefix) {
		if !object.Deleted {
			domains = append(domains, strings.TrimPrefix(object.Key, f.cfg.Layout.EvacuationPrefix))
		}
	}
	f.engine.push(evacuationsChange{domains: domains, confirmedAt: time.Unix(0, f.evacuationsConfirmed.Load())})
}

// applyEvacuations makes the servers of evacuated failure domains unusable, and those of others
// usable again. Attempts in flight go on.
func (e *engine) applyEvacuations(now time.Time, item evacuationsChange) {
	changed := e.servers.SetEvacuated(item.domains)
	for _, id := range changed {
		if e.servers.IsUsable(id) {
			e.machine.RegistrationChanged(id)
			e.servers.AssumeCold(id, now.Add(returnTime))
			e.updateWarmup(now, id, "evacuation")
		} else {
			e.machine.Forget(now, id)
		}
	}
	e.publishServers()
	reachable := e.servers.ReachableByDomain()
	for _, domain := range slices.Sorted(maps.Keys(e.evacuated)) {
		if !e.servers.Evacuated(domain) {
			e.log.Info(logger.EvacuationEnded, "domain", domain, "forMillis", now.Sub(e.evacuated[domain]).Milliseconds(),
				"servers", len(reachable[domain]), "storeAgeMillis", now.Sub(item.confirmedAt).Milliseconds())
			delete(e.evacuated, domain)
		}
	}
	for _, domain := range item.domains {
		_, known := e.evacuated[domain]
		if !known {
			e.evacuated[domain] = now
			e.log.Warn(logger.EvacuationBegun, "domain", domain, "servers", len(reachable[domain]), "usable", e.servers.UsableCount(),
				"inFlight", e.machine.Len(), "storeAgeMillis", now.Sub(item.confirmedAt).Milliseconds())
			e.checkEvacuation(domain)
		}
	}
	e.metrics.evacuated.Set(float64(len(e.evacuated)))
}

// checkEvacuations logs the evacuated failure domains without servers, once servers are known.
func (e *engine) checkEvacuations() {
	for _, domain := range slices.Sorted(maps.Keys(e.evacuated)) {
		e.checkEvacuation(domain)
	}
}

func (e *engine) checkEvacuation(domain string) {
	select {
	case <-e.listed:
		if len(e.servers.ReachableByDomain()[domain]) == 0 {
			e.log.Warn(logger.EvacuationUnknown, "domain", domain, "known", slices.Sorted(maps.Keys(e.servers.ReachableByDomain())))
		}
	default:
	}
}

// lacksEvacuated reports whether a request may have been refused since its servers are evacuated,
// which is no sign of a partition.
func (e *engine) lacksEvacuated(code classifier.Code) bool {
	return code == classifier.NoServer && len(e.evacuated) > 0
}
