package forwarder

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/placer"
)

const policySettings = `{"name": "h", "domain": "d", "capacity": 1, "seeds": [], "store": "127.0.0.1:1",
  "listen": {"callers": "127.0.0.1:2", "readiness": "127.0.0.1:3", "control": "127.0.0.1:4", "metrics": "127.0.0.1:5"},
  "extra": {"ratio": 0.2, "burst": 50, "window": "10s"}, "grace": "6s",
  "log": {"level": "info", "format": "json", "bytesPerSecond": 1000},
  "policy": {%s}}`

func parsePolicy(policy string) (Settings, error) {
	return ParseSettings("host.jsonc", []byte(strings.Replace(policySettings, "%s", policy, 1)))
}

// TestPolicyHasDefaults checks an empty policy and one that changes one value and
// turns two mechanisms off.
func TestPolicyHasDefaults(t *testing.T) {
	is := is.New(t)
	s, err := parsePolicy("")
	is.NoErr(err)
	cfg := s.scatterer()
	is.Equal(cfg.Placer, placer.DefaultConfig("d"))
	is.Equal(cfg.HedgeFraction, defaultHedgeFraction)
	is.True(cfg.Retries)
	s, err = parsePolicy(`"hedgeFraction": 0, "retries": false, "latencyMemory": "3s"`)
	is.NoErr(err)
	cfg = s.scatterer()
	is.Equal(cfg.HedgeFraction, 0.0)
	is.True(!cfg.Retries)
	is.Equal(cfg.Placer.ObservationMaxAge, 3*time.Second)
	is.Equal(cfg.LateFactor, defaultLateFactor)
}

// TestPolicyErrorsReportPosition checks that errors name the line and the field
// for values out of range, values of a wrong type and an unknown field.
func TestPolicyErrorsReportPosition(t *testing.T) {
	for policy, want := range map[string]string{
		`"hedgeFraction": 1.5`:   "policy.hedgeFraction",
		`"lateFactor": -1`:       "policy.lateFactor",
		`"suspendAfter": -2`:     "policy.suspendAfter",
		`"latencyMemory": "-1s"`: "latencyMemory",
		`"reportLife": "soon"`:   "reportLife",
		`"retries": "no"`:        "retries",
		`"hedge": 1`:             "hedge",
	} {
		is := is.New(t)
		_, err := parsePolicy(policy)
		is.True(err != nil)

		is.True(strings.Contains(err.Error(), "host.jsonc:5:")) // the line
		is.True(strings.Contains(err.Error(), want))
	}
}
