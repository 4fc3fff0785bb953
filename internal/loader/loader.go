package loader

import (
	"errors"
	"os"
	"strconv"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/internal/transport/listener"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
)

// minKeyLength is the minimum length of a key, in bytes.
const minKeyLength = 16

// Settings are the settings of the entry, the agent and the console of one host.
type Settings struct {
	// Name and Domain name the host and its failure domain.
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Listen is the address for callers, or for operators of the console.
	Listen string `json:"listen"`
	// Control is the address for calls from the system's own processes.
	Control string `json:"control"`
	// Platform is the address of the platform's object API.
	Platform string `json:"platform"`
	// Hosts lists all hosts of the system, including this one.
	Hosts []Host `json:"hosts"`
	// Keys authenticate the system's own processes and sign tickets; the first one is
	// used, and any of them is accepted, so that keys can be rotated.
	Keys []string      `json:"keys"`
	Log  logger.Config `json:"log"`
	// Console holds the settings that only the console uses.
	Console Console `json:"console"`
}

// Host is one entry host of the system.
type Host struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Agent and Entry are the control addresses of the processes on the host.
	Agent string `json:"agent"`
	Entry string `json:"entry"`
}

// Console holds the settings of the console.
type Console struct {
	// OperatorHeader is the HTTP header in which the platform's sign-in names the operator.
	OperatorHeader string `json:"operatorHeader"`
	// TrustedProxies are the IP addresses from which OperatorHeader is accepted.
	TrustedProxies []string `json:"trustedProxies"`
}

// Overrides holds the flags that override the settings file; empty ones are ignored.
type Overrides struct {
	Name      string
	Domain    string
	Listen    string
	Control   string
	Platform  string
	LogLevel  string
	LogFormat string
}

// Defaults returns the values of settings that neither the file nor a flag sets.
func Defaults() Settings {
	return Settings{
		Log:     logger.Config{Level: "info", Format: logger.FormatText},
		Console: Console{OperatorHeader: "X-Operator"},
	}
}

// Load reads a settings file, applies the overrides and checks the result;
// errors name the file, line, column, field and allowed values.
func Load(file string, overrides Overrides) (Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, err
	}
	return Parse(file, data, overrides)
}

// AddressError returns cause as an error at the field of a settings file that holds
// the address, or cause itself if the file can't be read.
func AddressError(file string, settings Settings, address string, cause error) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return cause
	}
	field := "control"
	if address == settings.Listen {
		field = "listen"
	}
	line, column := decoder.Locate(data, field)
	return &decoder.PositionError{
		File: file, Line: line, Column: column, Field: field, Problem: cause.Error(),
		Allowed: "an address of this host with a free port",
	}
}

// Parse decodes settings, applies the defaults and overrides, and checks the result.
func Parse(file string, data []byte, overrides Overrides) (Settings, error) {
	settings, err := decoder.Document[Settings](file, data)
	if err != nil {
		return Settings{}, err
	}
	settings = settings.WithDefaults(Defaults()).WithOverrides(overrides)
	c := &checker{file: file, data: data}
	c.check(settings)
	return settings, errors.Join(c.problems...)
}

// WithDefaults returns a copy in which the defaults replace empty settings.
func (s Settings) WithDefaults(defaults Settings) Settings {
	setFirstNonEmpty(&s.Log.Level, s.Log.Level, defaults.Log.Level)
	format := string(s.Log.Format)
	setFirstNonEmpty(&format, format, string(defaults.Log.Format))
	s.Log.Format = logger.Format(format)
	setFirstNonEmpty(&s.Console.OperatorHeader, s.Console.OperatorHeader, defaults.Console.OperatorHeader)
	return s
}

// WithOverrides returns a copy in which the flags that are set replace settings.
func (s Settings) WithOverrides(o Overrides) Settings {
	setFirstNonEmpty(&s.Name, o.Name, s.Name)
	setFirstNonEmpty(&s.Domain, o.Domain, s.Domain)
	setFirstNonEmpty(&s.Listen, o.Listen, s.Listen)
	setFirstNonEmpty(&s.Control, o.Control, s.Control)
	setFirstNonEmpty(&s.Platform, o.Platform, s.Platform)
	setFirstNonEmpty(&s.Log.Level, o.LogLevel, s.Log.Level)
	format := string(s.Log.Format)
	setFirstNonEmpty(&format, o.LogFormat, format)
	s.Log.Format = logger.Format(format)
	return s
}

// setFirstNonEmpty stores the first of two values that is not empty.
func setFirstNonEmpty(field *string, first, second string) {
	*field = second
	if first != "" {
		*field = first
	}
}

// checker collects the problems of a settings file, each with its position.
type checker struct {
	file     string
	data     []byte
	problems []error
}

func (c *checker) check(s Settings) {
	c.name("name", s.Name)
	c.name("domain", s.Domain)
	c.address("listen", s.Listen)
	c.address("control", s.Control)
	c.address("platform", s.Platform)
	for i, host := range s.Hosts {
		c.host(i, host)
	}
	if len(s.Keys) == 0 {
		c.report("missing", "one or two keys of at least 16 characters", "keys")
	}
	for i, key := range s.Keys {
		if len(key) < minKeyLength {
			c.report("too short", "at least 16 characters", "keys", i)
		}
	}
	err := s.Log.Check()
	if err != nil {
		c.report(err.Error(), "", "log")
	}
}

func (c *checker) host(i int, host Host) {
	c.name("name", host.Name, "hosts", i)
	c.name("domain", host.Domain, "hosts", i)
	c.address("agent", host.Agent, "hosts", i)
	c.address("entry", host.Entry, "hosts", i)
}

func (c *checker) name(field, value string, parents ...any) {
	if value == "" {
		c.report("missing", "a name", append(parents, field)...)
	}
}

func (c *checker) address(field, value string, parents ...any) {
	err := listener.CheckAddress(value)
	if err != nil {
		c.report(strconv.Quote(value)+" is not an address", "an IP address with a port, such as 127.0.0.1:8080", append(parents, field)...)
	}
}

func (c *checker) report(problem, allowed string, path ...any) {
	line, column := decoder.Locate(c.data, path...)
	c.problems = append(c.problems, &decoder.PositionError{
		File: c.file, Line: line, Column: column, Field: decoder.FieldPath(path...), Problem: problem, Allowed: allowed,
	})
}

// AgentAddresses returns the control addresses of all agents: that of this host,
// then those of its failure domain, then the others.
func (s Settings) AgentAddresses() []string {
	var local, sameDomain, remote []string
	for _, host := range s.Hosts {
		switch {
		case host.Name == s.Name:
			local = append(local, host.Agent)
		case host.Domain == s.Domain:
			sameDomain = append(sameDomain, host.Agent)
		default:
			remote = append(remote, host.Agent)
		}
	}
	return append(append(local, sameDomain...), remote...)
}
