package forwarder

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/rationer"
)

func TestQuotaSettings(t *testing.T) {
	is := is.New(t)
	parse := func(quota string) (Settings, error) {
		return ParseSettings("host.jsonc", []byte(strings.Replace(policySettings, `"policy": {%s}`, `"quota": `+quota, 1)))
	}
	s, err := parse("{}")
	is.NoErr(err)
	is.Equal(s.Quota.rule(), rationer.Rule{Window: defaultQuotaWindow})
	s, err = parse(`{"window": "3s", "overshoot": 0.2, "slack": 9, "domains": ["d1", "d2"]}`)
	is.NoErr(err)
	is.Equal(s.Quota.rule(), rationer.Rule{Window: 3 * time.Second, Overshoot: 0.2, Slack: 9})
	for quota, field := range map[string]string{
		`{"window": "soon"}`: "quota.window", `{"window": "-1s"}`: "quota.window", `{"overshoot": -1}`: "quota.overshoot",
		`{"slack": -1}`: "quota.slack", `{"domains": [""]}`: "quota.domains",
	} {
		_, err = parse(quota)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "host.jsonc:5:") && strings.Contains(err.Error(), field))
	}
}

func TestMessagesOfQuotasAreChecked(t *testing.T) {
	is := is.New(t)
	subject := rationer.Subject{Organisation: "o", Quota: rationer.Quota{Rate: 1}}
	is.True(quotaMessage{Ask: &rationer.Ask{Subject: subject}}.valid())
	is.True(quotaMessage{Loan: &rationer.LoanAsk{Subject: subject}}.valid())
	is.True(!quotaMessage{}.valid())
	is.True(!quotaMessage{Ask: &rationer.Ask{Subject: subject}, Loan: &rationer.LoanAsk{Subject: subject}}.valid())
	is.True(!quotaMessage{Ask: &rationer.Ask{Subject: rationer.Subject{Organisation: "o"}}}.valid())
}

// TestQuotasAreDividedAmongAllDomains checks that domains without a listed host count.
func TestQuotasAreDividedAmongAllDomains(t *testing.T) {
	is := is.New(t)
	d := newDelegate(Config{})
	d.setHosts(func() []delegator.Host {
		return []delegator.Host{{Name: "h1", Domain: "d2"}, {Name: "h2", Domain: "d1"}}
	})
	is.Equal(d.domainsWith([]string{"d3", "d1"}), []string{"d1", "d2", "d3"})
	is.Equal(len(d.keepersOf("d2").Preference(0)), 1)
	is.Equal(len(d.keepersOf("d3").Preference(0)), 0)
}
