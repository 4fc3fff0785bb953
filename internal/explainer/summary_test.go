package explainer

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const summaryLogs = `
front-1 {"time":"2026-01-01T10:00:00Z","msg":"processStarted","host":"a"}
front-1 {"time":"2026-01-01T10:00:00.5Z","msg":"requestRefused","host":"a","request":"1","result":"notConfigured"}
{"time":"2026-01-01T10:00:05Z","msg":"storeLost","host":"a"}
{"time":"2026-01-01T10:00:05.1Z","msg":"requestRefused","host":"a","request":"2","result":"noServer"}
{"time":"2026-01-01T10:00:05.3Z","msg":"requestRefused","host":"a","request":"4","result":"noServer"}
{"time":"2026-01-01T10:00:05.2Z","msg":"fitnessChanged","host":"a","fit":false}
{"time":"2026-01-01T10:00:06Z","msg":"storeRegained","host":"a"}
{"time":"2026-01-01T10:00:06.1Z","msg":"fitnessChanged","host":"a","fit":true}
{"time":"2026-01-01T10:00:07Z","msg":"requestAnswered","host":"a","request":"5","covered":3,"parts":4}
{"time":"2026-01-01T10:00:07Z","msg":"requestAnswered","host":"a","request":"6","covered":4,"parts":4}
{"time":"2026-01-01T10:00:07Z","msg":"requestRefused","host":"b","request":"7","result":"overloaded"}
{"time":"2026-01-01T10:00:08.1Z","msg":"requestAnswered","host":"b","request":"8","covered":3,"parts":4,"missing":"s=limitReached[]"}
{"time":"2026-01-01T10:00:08.2Z","msg":"requestRefused","host":"b","request":"9","result":"limitReached"}
{"time":"2026-01-01T10:00:10.1Z","msg":"serversLost","host":"b","domain":"d1","isolated":true}
{"time":"2026-01-01T10:00:10.2Z","msg":"requestRefused","host":"b","request":"10","result":"noServer"}
{"time":"2026-01-01T10:00:10.3Z","msg":"serversRegained","host":"b","domain":"d1","isolated":false}
{"time":"2026-01-01T10:00:10.4Z","msg":"requestRefused","host":"b","request":"11","result":"overloaded"}
no line of a log
`

// TestSummaryCountsByCauseAndInterval reads lines that are not sorted by time.
func TestSummaryCountsByCauseAndInterval(t *testing.T) {
	is := is.New(t)
	s, err := Summarize(2*time.Second, strings.NewReader(strings.TrimPrefix(summaryLogs, "\n")))
	is.NoErr(err)
	is.Equal(s.Skipped, 1)
	var text strings.Builder
	s.Write(&text)
	is.Equal(text.String(), `10:00:00.0 1 notConfigured (starting)
10:00:04.0 1 noServer (not ready), 1 noServer (store unreachable)
10:00:06.0 1 incomplete, 1 overloaded
10:00:08.0 1 incomplete (server limit), 1 limitReached
10:00:10.0 1 noServer (no server reachable), 1 overloaded
all 2 overloaded, 1 incomplete, 1 incomplete (server limit), 1 limitReached, 1 noServer (no server reachable), 1 noServer (not ready), 1 noServer (store unreachable), 1 notConfigured (starting)
`)
}
