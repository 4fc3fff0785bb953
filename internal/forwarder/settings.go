package forwarder

import (
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
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
	// Capacity is the host's processor capacity in cores.
	Capacity float64 `json:"capacity"`
	// Link is the bandwidth of the host's link in Mbit/s, 0 if unknown.
	Link float64 `json:"link"`
	// Memory is the memory that the process may use in MB, 0 if unknown.
	Memory float64 `json:"memory"`
	Listen Listen  `json:"listen"`
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
	// Bounds are the times within which changes have to be in force.
	Bounds Bounds `json:"bounds"`
	// Grace is the time from SIGTERM until the platform kills the process.
	Grace decoder.Duration `json:"grace"`
	Log   Log              `json:"log"`
}

// Bounds are the times within which a change has to be in force on all hosts after the store has
// acknowledged it, DefaultBound if they are 0.
type Bounds struct {
	// ConfigApply is that of a configuration, Drain that of a backend server that drains.
	ConfigApply decoder.Duration `json:"configApply"`
	Drain       decoder.Duration `json:"drain"`
}

const (
	// DefaultBound is that of the platform's smallest sites.
	DefaultBound = 3 * time.Second
	// minBound leaves time for one call to the store.
	minBound = time.Second
)

// least returns the shorter of the bounds.
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
	return least
}

// check records bounds that can't be kept.
func (b Bounds) check(c *settingsChecker) {
	c.requireBound(b.ConfigApply, "configApply")
	c.requireBound(b.Drain, "drain")
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
