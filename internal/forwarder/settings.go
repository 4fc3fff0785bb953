package forwarder

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/rationer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/watcher"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
)

const (
	// answerMargin is the time before a limit (the latency objective of a route or
	// the caller's time-out) that is reserved for an answer to reach the farthest
	// callers (3 ms each way, with a new connection) and for merging and writing
	// it.
	answerMargin = 14 * time.Millisecond
	// subRequestMargin is the processor time to read and merge the answer of one shard on
	// the smallest planned hosts, which have a fifth of a core.
	subRequestMargin = 100 * time.Microsecond
	// plannedExtraShare is the fraction of the hedges and retries that the listed hosts
	// divide among themselves; the rest is left for hosts that are not listed yet.
	plannedExtraShare = 0.8
	// retention is how long a server stays usable if its registration is missing
	// when the store returns from an outage or a rewind. Within this time, live
	// servers write expired registrations again.
	retention = 2 * time.Second
	// quarantine is how long a server gets no requests if a rewind of the store
	// brings back its removed registration. It exceeds three heartbeats of a server
	// at 1.2 s each; the store removes the registration of a server that sends none
	// for this long.
	quarantine = 4 * time.Second
	// StoreCallTimeout limits one call to the store. It is hundreds of times the
	// store's typical latency, and a retry still fits into the time within which a
	// configuration has to be in force.
	StoreCallTimeout = 900 * time.Millisecond
	// WatchWait is how long a watch may wait for changes. Together with
	// StoreCallTimeout it bounds how long a dead connection goes unnoticed. The sum
	// of both is well within the 4 s after which a host must be up to date again.
	WatchWait = 2200 * time.Millisecond
)

// Settings are the settings of a host that forwards by the platform's
// configuration.
type Settings struct {
	// Name is the name of the host and Domain that of its failure domain.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Region is that of the failure domain, and Regions the region of each domain.
	Region  string            `json:"region"`
	Regions map[string]string `json:"regions"`
	// Capacity is the host's processor capacity in cores.
	Capacity float64 `json:"capacity"`
	// Link is the bandwidth of the host's link in Mbit/s, 0 if unknown.
	Link float64 `json:"link"`
	// Memory is the memory that the process may use in MB, 0 if unknown.
	Memory float64 `json:"memory"`
	// Descriptors is the number of descriptors that the process may open, 0 for the limit of the
	// operating system.
	Descriptors int    `json:"descriptors"`
	Listen      Listen `json:"listen"`
	// Seeds are control addresses of hosts that may be running.
	Seeds []string `json:"seeds"`
	// Translate has the IP addresses of backend servers that this host reaches at other
	// addresses, as behind a router that translates addresses.
	Translate map[string]string `json:"translate"`
	// FirstStart is set if all hosts start for the first time, before any callers.
	FirstStart bool `json:"firstStart"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	Extra Extra  `json:"extra"`
	// Policy holds the parameters of routing decisions that differ from their
	// defaults.
	Policy Policy `json:"policy"`
	// Terms are the names of the terms that the deployment's operators hold the system to;
	// unknown ones have no effect.
	Terms []string `json:"terms"`
	// Bounds are the times within which changes have to be in force.
	Bounds Bounds `json:"bounds"`
	// Quota is how strictly the quotas of organisations are kept.
	Quota Quota `json:"quota"`
	// Grace is the time from SIGTERM until the platform kills the process.
	Grace decoder.Duration `json:"grace"`
	Log   Log              `json:"log"`
}

// Bounds are the times within which a change has to be in force on all hosts after the store has
// acknowledged it; ConfigApply and Drain are DefaultBound if they are 0.
type Bounds struct {
	// ConfigApply is that of a configuration, Drain that of a backend server that drains.
	ConfigApply decoder.Duration `json:"configApply"`
	Drain       decoder.Duration `json:"drain"`
	// Evacuate is that of an evacuation of a failure domain; 0 if there are none.
	Evacuate decoder.Duration `json:"evacuate"`
}

const (
	// DefaultBound is that of the platform's smallest sites.
	DefaultBound = 3 * time.Second
	// minBound leaves time for one call to the store.
	minBound = time.Second
)

// least returns the shortest of the bounds.
func (b Bounds) least() time.Duration {
	least := time.Duration(0)
	for _, bound := range []time.Duration{b.ConfigApply.Value(), b.Drain.Value()} {
		if bound == 0 {
			bound = DefaultBound
		}
		if least == 0 || bound < least {
			least = bound
		}
	}
	if b.evacuates() {
		least = min(least, b.Evacuate.Value())
	}
	return least
}

// evacuates reports whether failure domains may be evacuated.
func (b Bounds) evacuates() bool {
	return b.Evacuate.Value() > 0
}

// check records bounds that can't be kept.
func (b Bounds) check(c *settingsChecker) {
	c.requireBound(b.ConfigApply, "configApply")
	c.requireBound(b.Drain, "drain")
	c.require(b.Evacuate.Value() == 0 || b.Evacuate.Value() >= minBound, "a bound of "+b.Evacuate.Value().String()+" can't be kept",
		fmt.Sprintf("%v or more, 0s if there are no evacuations", minBound), "bounds", "evacuate")
}

func (c *settingsChecker) requireBound(bound decoder.Duration, field string) {
	c.require(bound.Value() == 0 || bound.Value() >= minBound, "a bound of "+bound.Value().String()+" can't be kept",
		fmt.Sprintf("%v or more, 0s for %v", minBound, DefaultBound), "bounds", field)
}

// WithBounds returns the settings with bounds in place of those that are not 0.
func (s Settings) WithBounds(configApply, drain time.Duration) (Settings, error) {
	if configApply != 0 {
		s.Bounds.ConfigApply = decoder.NewDuration(configApply)
	}
	if drain != 0 {
		s.Bounds.Drain = decoder.NewDuration(drain)
	}
	c := &settingsChecker{file: "flags"}
	s.Bounds.check(c)
	return s, errors.Join(c.problems...)
}

// Quota is what all hosts together may admit of the requests of an organisation, by default not
// more than its quota.
type Quota struct {
	// Window is the time in which requests are counted, defaultQuotaWindow if it is 0.
	Window decoder.Duration `json:"window"`
	// Overshoot is a fraction of the quota, Slack a number of requests, that may be admitted on top
	// in a window.
	Overshoot float64 `json:"overshoot"`
	Slack     float64 `json:"slack"`
	// Domains are the failure domains that share the quotas, beside those of the hosts listed.
	Domains []string `json:"domains"`
}

// defaultQuotaWindow is the time in which the requests of an organisation are counted.
const defaultQuotaWindow = 5 * time.Second

func (q Quota) check(c *settingsChecker) {
	c.require(q.Window.Invalid() == "" && q.Window.Value() >= 0, "not a duration", `a duration such as "5s", 0s for `+defaultQuotaWindow.String(), "quota", "window")
	c.require(q.Overshoot >= 0, "negative", "0 or more", "quota", "overshoot")
	c.require(q.Slack >= 0, "negative", "0 or more", "quota", "slack")
	c.require(!slices.Contains(q.Domains, ""), "an empty name", "names of failure domains", "quota", "domains")
}

func (q Quota) rule() rationer.Rule {
	return rationer.Rule{Window: cmp.Or(q.Window.Value(), defaultQuotaWindow), Overshoot: q.Overshoot, Slack: q.Slack}
}

// sourceConfig returns the times that follow from the bounds.
func (s Settings) sourceConfig() watcher.SourceConfig {
	return watcher.SourceConfig{Bound: s.Bounds.least(), WatchWait: WatchWait, CompareInterval: compareInterval}
}

// Listen holds the addresses of a host, each an IP address with a port.
type Listen struct {
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Control   string `json:"control"`
	Metrics   string `json:"metrics"`
}

// Extra bounds the hedges and retries of all hosts together.
type Extra struct {
	// Ratio is the number of hedges and retries allowed per request to a service;
	// Burst is a number allowed in addition within any span of one Window.
	Ratio float64 `json:"ratio"`
	Burst float64 `json:"burst"`
	// Window is the length of the time span to which Ratio and Burst apply.
	Window decoder.Duration `json:"window"`
}

// planned returns the bounds that the listed hosts divide among themselves.
func (e Extra) planned() scatterer.ExtraBudget {
	return scatterer.ExtraBudget{Ratio: plannedExtraShare * e.Ratio, Burst: plannedExtraShare * e.Burst, Window: e.Window.Value()}
}

// Log holds the settings of the log on standard output.
type Log struct {
	logger.Config
	// BytesPerSecond limits the volume of the log.
	BytesPerSecond int `json:"bytesPerSecond"`
}

// ParseSettings decodes and checks settings.
func ParseSettings(file string, data []byte) (Settings, error) {
	s, err := decoder.Document[Settings](file, data)
	if err != nil {
		return Settings{}, err
	}
	c := &settingsChecker{file: file, data: data}
	c.check(s)
	return s, errors.Join(c.problems...)
}

// settingsChecker collects the problems of the settings in a file.
type settingsChecker struct {
	file     string
	data     []byte
	problems []error
}

func (c *settingsChecker) check(s Settings) {
	c.require(s.Name != "", "missing", "a name", "name")
	c.require(s.Domain != "", "missing", "a name", "domain")
	c.require(s.Capacity > 0, "not positive", "more than 0", "capacity")
	c.require(s.Link >= 0, "negative", "0 or more", "link")
	c.require(s.Memory >= 0, "negative", "0 or more", "memory")
	c.require(s.Descriptors >= 0, "negative", "0 or more", "descriptors")
	c.address(s.Listen.Callers, "listen", "callers")
	c.address(s.Listen.Readiness, "listen", "readiness")
	c.address(s.Listen.Control, "listen", "control")
	c.address(s.Listen.Metrics, "listen", "metrics")
	c.address(s.Store, "store")
	for from, to := range s.Translate {
		c.require(isIP(from) && isIP(to), strconv.Quote(from+": "+to)+" is not a pair of addresses", "IP addresses", "translate")
	}
	c.require(s.Extra.Ratio >= 0 && s.Extra.Ratio <= 1, "out of range", "0 to 1", "extra", "ratio")
	c.require(s.Extra.Burst >= 0, "negative", "0 or more", "extra", "burst")
	c.require(s.Extra.Window.Value() > 0, "not a positive duration", `a duration such as "10s"`, "extra", "window")
	c.require(s.Grace.Value() > 0, "not a positive duration", `a duration such as "6s"`, "grace")
	c.require(s.Log.BytesPerSecond > 0, "not positive", "1 or more", "log", "bytesPerSecond")
	s.Bounds.check(c)
	s.Quota.check(c)
	s.Policy.check(c)
	err := s.Log.Check()
	if err != nil {
		c.require(false, err.Error(), "", "log")
	}
}

func isIP(text string) bool {
	_, err := netip.ParseAddr(text)
	return err == nil
}

func (c *settingsChecker) address(value string, path ...any) {
	c.require(listener.CheckAddress(value) == nil, strconv.Quote(value)+" is not an address",
		"an IP address with a port, such as 127.0.0.1:8080", path...)
}

// require records a problem with the field at path unless ok; allowed describes the
// valid values.
func (c *settingsChecker) require(ok bool, problem, allowed string, path ...any) {
	if ok {
		return
	}
	line, column := decoder.Locate(c.data, path...)
	c.problems = append(c.problems, &decoder.PositionError{
		File: c.file, Line: line, Column: column, Field: decoder.FieldPath(path...), Problem: problem, Allowed: allowed,
	})
}
