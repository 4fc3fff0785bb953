package drainer

import (
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
)

// Config holds the settings of a drainer.
type Config struct {
	// ProbeInterval is the time without a status after which a server is probed.
	ProbeInterval time.Duration
	// StatusTimeout is the time without a status after which a server gets no new requests.
	StatusTimeout time.Duration
}

// DefaultConfig returns settings that stop new requests to a server within 3 s of
// the start of its draining.
func DefaultConfig() Config {
	return Config{ProbeInterval: time.Second, StatusTimeout: 2900 * time.Millisecond}
}

// Drainer tracks the availability of the backend servers of one service by index.
type Drainer struct {
	cfg       Config
	servers   []Availability
	listed    []bool
	lastProbe []time.Time
	// usable holds the result of the last Refresh for each server.
	usable []bool
}

// New returns a drainer without servers.
func New(cfg Config) *Drainer {
	return &Drainer{cfg: cfg}
}

// Listed records the registration of a server in the platform's list.
func (d *Drainer) Listed(server int, incarnation uint64, state messenger.ServerState, now time.Time) {
	draining := state == messenger.ServerDraining
	if server < len(d.servers) {
		d.listed[server] = true
		d.servers[server] = d.servers[server].WithRegistration(incarnation, draining)
		return
	}
	d.servers = append(d.servers, NewAvailability(incarnation, draining, now))
	d.listed = append(d.listed, true)
	d.lastProbe = append(d.lastProbe, time.Time{})
	d.usable = append(d.usable, false)
}

// Unlisted records that a server is no longer in the platform's list. It counts as
// draining until it reports a status of a newer incarnation.
func (d *Drainer) Unlisted(server int) {
	if server >= len(d.servers) {
		return
	}
	d.listed[server] = false
	d.servers[server] = d.servers[server].WithRegistration(d.servers[server].incarnation, true)
}

// ObserveStatus records a status that a server has reported.
func (d *Drainer) ObserveStatus(server int, status messenger.ServerStatus, now time.Time) {
	d.servers[server] = d.servers[server].WithStatus(status.Incarnation, status.Draining, now)
}

// Refresh recomputes which servers are usable and calls changed for each server
// whose result has changed.
func (d *Drainer) Refresh(now time.Time, changed func(server int, usable bool)) {
	for i := range d.servers {
		usable := d.Usable(i, now)
		if usable == d.usable[i] {
			continue
		}
		d.usable[i] = usable
		changed(i, usable)
	}
}

// Usable reports whether a server may get new requests.
func (d *Drainer) Usable(server int, now time.Time) bool {
	return d.servers[server].Usable(now, d.cfg.StatusTimeout)
}

// Probes calls probe for each listed server that is due for a probe. Draining
// servers are probed too, because only a status of their own ends the draining.
func (d *Drainer) Probes(now time.Time, probe func(server int)) {
	for i := range d.servers {
		if !d.listed[i] || !d.due(i, now) {
			continue
		}
		d.lastProbe[i] = now
		probe(i)
	}
}

// due reports whether a server has never been probed, or has neither been probed
// nor reported a status for the probe interval.
func (d *Drainer) due(server int, now time.Time) bool {
	if d.lastProbe[server].IsZero() {
		return true
	}
	sinceStatus := now.Sub(d.servers[server].lastStatus)
	sinceProbe := now.Sub(d.lastProbe[server])
	return min(sinceStatus, sinceProbe) >= d.cfg.ProbeInterval
}
