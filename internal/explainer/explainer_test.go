package explainer

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

const limitLogs = `
{"time":"2026-01-01T10:00:00Z","msg":"limitStarted","host":"a","server":"s1","perSecond":20}
{"time":"2026-01-01T10:00:01Z","msg":"limitChanged","host":"a","server":"s1","perSecond":5}
{"time":"2026-01-01T10:00:01Z","msg":"limitStarted","host":"a","server":"s2","perSecond":7}
{"time":"2026-01-01T10:00:01Z","msg":"limitStarted","host":"b","server":"s1","perSecond":20}
{"time":"2026-01-01T10:00:02Z","msg":"storeLost","host":"a"}
{"time":"2026-01-01T10:00:29Z","msg":"limitChanged","host":"a","server":"s2","perSecond":6}
{"time":"2026-01-01T10:00:30Z","msg":"requestRefused","host":"a","request":"1","result":"limitReached"}
{"time":"2026-01-01T10:00:30Z","msg":"requestAnswered","host":"a","request":"2","covered":3,"parts":4,"missing":"s=limitReached[]"}
{"time":"2026-01-01T10:00:30Z","msg":"requestRefused","host":"a","request":"3","result":"noServer"}
`

// TestLimitsOfARefusedRequestAreFound checks that the lines on the limits which a request met are
// printed, though they were written long before it.
func TestLimitsOfARefusedRequestAreFound(t *testing.T) {
	is := is.New(t)
	explain := func(request string) string {
		found, err := Read(request, strings.NewReader(limitLogs))
		is.NoErr(err)
		var text strings.Builder
		found.Write(&text)
		return text.String()
	}
	for _, request := range []string{"1", "2"} {
		text := explain(request)
		is.True(strings.Contains(text, "10:00:01.000 a limitChanged perSecond=5 server=s1"))
		is.True(strings.Contains(text, "10:00:01.000 a limitStarted perSecond=7 server=s2"))
		is.True(strings.Contains(text, "10:00:29.000 a limitChanged perSecond=6 server=s2"))
		is.True(!strings.Contains(text, "perSecond=20"))
		is.True(!strings.Contains(text, "storeLost"))
	}
	is.True(!strings.Contains(explain("3"), "server=s1"))
}

const reachLogs = `
{"time":"2026-01-01T10:00:00Z","msg":"serversLost","host":"a","domain":"d1","isolated":false}
{"time":"2026-01-01T10:00:00Z","msg":"serversLost","host":"a","domain":"d2","isolated":true}
{"time":"2026-01-01T10:00:01Z","msg":"serversRegained","host":"a","domain":"d2","isolated":false}
{"time":"2026-01-01T10:00:00Z","msg":"serversLost","host":"b","domain":"d3","isolated":false}
{"time":"2026-01-01T10:00:30Z","msg":"requestRelayed","host":"a","request":"1","peer":"b","status":200}
{"time":"2026-01-01T10:00:30Z","msg":"requestRefused","host":"a","request":"2","result":"noServer"}
{"time":"2026-01-01T10:00:30Z","msg":"requestAnswered","host":"a","request":"3","covered":3,"parts":4,"missing":"s=serverUnreachable[]"}
{"time":"2026-01-01T10:00:30Z","msg":"requestRefused","host":"a","request":"4","result":"overloaded"}
`

// TestReachOfAHostIsFoundForItsRequests checks that the lines on failure domains that a host can't
// reach are printed with the requests that met that, though they were written long before.
func TestReachOfAHostIsFoundForItsRequests(t *testing.T) {
	is := is.New(t)
	for request, want := range map[string]bool{"1": true, "2": true, "3": true, "4": false} {
		found, err := Read(request, strings.NewReader(reachLogs))
		is.NoErr(err)
		var text strings.Builder
		found.Write(&text)
		is.Equal(strings.Contains(text.String(), "10:00:00.000 a serversLost domain=d1"), want)
		is.Equal(strings.Contains(text.String(), "10:00:01.000 a serversRegained domain=d2"), want)
		is.True(!strings.Contains(text.String(), "d3"))
	}
}

const verdictLogs = `
{"time":"2026-01-01T10:00:00Z","msg":"requestSuspected","host":"a","fingerprint":"f1","serverEnds":2}
{"time":"2026-01-01T10:00:01Z","msg":"requestBlocked","host":"a","fingerprint":"f1","serverEnds":6}
{"time":"2026-01-01T10:00:01Z","msg":"requestBlocked","host":"a","fingerprint":"f2","serverEnds":3}
{"time":"2026-01-01T10:00:30Z","msg":"requestRefused","host":"a","request":"1","result":"requestBlocked","fingerprint":"f1"}
{"time":"2026-01-01T10:00:30Z","msg":"requestRefused","host":"a","request":"2","result":"overloaded","fingerprint":"f1"}
`

// TestVerdictOnARequestIsFound checks that the evidence against a refused request is printed with it.
func TestVerdictOnARequestIsFound(t *testing.T) {
	is := is.New(t)
	for request, want := range map[string]bool{"1": true, "2": false} {
		found, err := Read(request, strings.NewReader(verdictLogs))
		is.NoErr(err)
		var text strings.Builder
		found.Write(&text)
		is.Equal(strings.Contains(text.String(), "10:00:01.000 a requestBlocked fingerprint=f1 serverEnds=6"), want)
		is.True(!strings.Contains(text.String(), "fingerprint=f2"))
	}
}
