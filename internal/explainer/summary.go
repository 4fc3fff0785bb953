package explainer

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
)

// startupWindow is how long after its start the state of a host is given as "starting".
const startupWindow = time.Second

// Cause is why a request was refused or answered incompletely, and the state of the host.
type Cause struct {
	// Result is the name of a result code, or "incomplete" for an answer that lacks shards.
	Result string
	// State is that of the host at the time: starting, no server reachable, not ready, store
	// unreachable, or empty.
	// An answer that lacks shards because of the limits of servers has "server limit".
	State string
}

// Summary counts refused and incompletely answered requests by interval and cause.
type Summary struct {
	// Interval is the time span that each count covers.
	Interval time.Duration
	counts   map[time.Time]map[Cause]int
	total    map[Cause]int
	// Skipped counts the lines that are not log lines.
	Skipped int
}

// hostState is the state of a host according to its lines so far.
type hostState struct {
	started  time.Time
	notReady bool
	// isolated is set while no backend server can be reached.
	isolated bool
	// lostPrefixes counts the prefixes for which the store does not answer.
	lostPrefixes int
}

// Summarize counts the refused and incompletely answered requests in logs, by
// intervals of a length that must be positive.
func Summarize(interval time.Duration, logs ...io.Reader) (*Summary, error) {
	summary := &Summary{Interval: interval, counts: make(map[time.Time]map[Cause]int), total: make(map[Cause]int)}
	var lines []Line
	skipped, err := scan(logs, func(line Line) { lines = append(lines, line) })
	if err != nil {
		return nil, err
	}
	summary.Skipped = skipped
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	hosts := make(map[string]*hostState)
	for _, line := range lines {
		host := hosts[line.Host]
		if host == nil {
			host = &hostState{}
			hosts[line.Host] = host
		}
		summary.add(host, line)
	}
	return summary, nil
}

// add updates the state of the host from a line, and counts the request if the line
// records a refusal or an incomplete answer.
func (s *Summary) add(host *hostState, line Line) {
	switch line.Event {
	case logger.ProcessStarted.String():
		*host = hostState{started: line.Time}
	case logger.ReadinessChanged.String():
		host.notReady = line.fields["fit"] == false
	case logger.ServersLost.String(), logger.ServersRegained.String():
		host.isolated = line.fields["isolated"] == true
	case logger.StoreLost.String():
		host.lostPrefixes++
	case logger.StoreRegained.String():
		host.lostPrefixes = max(host.lostPrefixes-1, 0)
	case logger.RequestRefused.String():
		s.count(line.Time, Cause{fmt.Sprint(line.fields["result"]), host.label(line.Time)})
	case logger.RequestAnswered.String():
		covered, _ := line.fields["covered"].(float64)
		parts, _ := line.fields["parts"].(float64)
		if covered < parts {
			state := host.label(line.Time)
			if state == "" && line.limitReached() {
				state = "server limit"
			}
			s.count(line.Time, Cause{"incomplete", state})
		}
	}
}

func (h *hostState) label(now time.Time) string {
	switch {
	case now.Sub(h.started) < startupWindow:
		return "starting"
	case h.isolated:
		return "no server reachable"
	case h.notReady:
		return "not ready"
	case h.lostPrefixes > 0:
		return "store unreachable"
	}
	return ""
}

func (s *Summary) count(at time.Time, cause Cause) {
	start := at.Truncate(s.Interval)
	if s.counts[start] == nil {
		s.counts[start] = make(map[Cause]int)
	}
	s.counts[start][cause]++
	s.total[cause]++
}

// Write prints the summary in human-readable form, with the causes of an interval
// sorted by descending count.
func (s *Summary) Write(w io.Writer) {
	var starts []time.Time
	for start := range s.counts {
		starts = append(starts, start)
	}
	slices.SortFunc(starts, time.Time.Compare)
	for _, start := range starts {
		_, _ = fmt.Fprintf(w, "%s %s\n", start.Format("15:04:05.0"), describe(s.counts[start]))
	}
	_, _ = fmt.Fprintf(w, "all %s\n", describe(s.total))
}

func describe(counts map[Cause]int) string {
	var texts []string
	var causes []Cause
	for cause := range counts {
		causes = append(causes, cause)
	}
	slices.SortFunc(causes, func(a, b Cause) int {
		if counts[a] != counts[b] {
			return counts[b] - counts[a]
		}
		return strings.Compare(a.Result+a.State, b.Result+b.State)
	})
	for _, cause := range causes {
		text := fmt.Sprintf("%d %s", counts[cause], cause.Result)
		if cause.State != "" {
			text += " (" + cause.State + ")"
		}
		texts = append(texts, text)
	}
	return strings.Join(texts, ", ")
}
