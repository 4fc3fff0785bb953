package explainer

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
)

const (
	// maxLineBytes bounds a line, far above the longest one that a host writes.
	maxLineBytes = 1 << 20
	// contextWindow is how long before and after the lines of a request other
	// lines of the same host, such as changes of its state, are included.
	contextWindow = 3 * time.Second
)

// hiddenFields are not printed among the fields of a line: its prefix has the time,
// host and event, and the others add nothing about the request.
var hiddenFields = []string{"time", "level", "msg", "event", "process", "host", "request"}

// Line is one log line.
type Line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Event   string    `json:"msg"`
	Host    string    `json:"host"`
	Request string    `json:"request"`
	// fields holds all fields of the line by name, including those above.
	fields map[string]any
}

// RequestLog holds the log lines that concern one request.
type RequestLog struct {
	// Lines are those of the request; Context are those of the same hosts at about
	// the same time that belong to no request, and earlier ones on limits that it met, on
	// failure domains that couldn't be reached and on verdicts on the request. Both are sorted
	// by time.
	Lines   []Line
	Context []Line
	// Skipped counts the lines that are not log lines.
	Skipped int
}

// Read finds the lines of a request in logs; text before the first brace of a line
// is ignored.
func Read(request string, logs ...io.Reader) (RequestLog, error) {
	var found RequestLog
	var others []Line
	var err error
	found.Skipped, err = scan(logs, func(line Line) {
		switch line.Request {
		case request:
			found.Lines = append(found.Lines, line)
		case "":
			others = append(others, line)
		}
	})
	if err != nil {
		return found, err
	}
	found.Context = slices.Concat(found.earlier(others, limitChanges), found.earlier(others, reachChanges), found.earlier(others, verdictChanges), found.contextOf(others))
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(found.Lines, byTime)
	slices.SortStableFunc(found.Context, byTime)
	return found, nil
}

// scan calls handle for each log line and counts the other lines.
func scan(logs []io.Reader, handle func(Line)) (skipped int, err error) {
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			line, ok := parseLine(s.Bytes())
			if !ok {
				skipped++
				continue
			}
			handle(line)
		}
		err = s.Err()
		if err != nil {
			return skipped, err
		}
	}
	return skipped, nil
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var line Line
	err := json.Unmarshal(text[start:], &line)
	if err != nil || line.Event == "" {
		return Line{}, false
	}
	err = json.Unmarshal(text[start:], &line.fields)
	return line, err == nil
}

// contextOf returns the other lines that are at most contextWindow before or after a
// line of the request in the log of the same host.
func (l *RequestLog) contextOf(others []Line) []Line {
	var nearby []Line
	for _, other := range others {
		if slices.ContainsFunc(l.Lines, func(line Line) bool {
			return line.Host == other.Host && other.Time.Sub(line.Time).Abs() <= contextWindow
		}) {
			nearby = append(nearby, other)
		}
	}
	return nearby
}

// stateChanges are lines that change the state of a host which lasts until the next such line.
type stateChanges struct {
	// concerns reports whether such a state is behind what a line of a request says.
	concerns func(line Line) bool
	events   []logger.Event
	// subject is the field that names what the state is about; with same, only lines count in
	// which it is the same as in the line of the request.
	subject string
	same    bool
}

var (
	limitChanges = stateChanges{
		concerns: Line.limitReached, events: []logger.Event{logger.LimitStarted, logger.LimitChanged, logger.LimitEnded}, subject: "server",
	}
	reachChanges = stateChanges{
		concerns: Line.unreachable, events: []logger.Event{logger.ServersLost, logger.ServersRegained}, subject: "domain",
	}
	verdictChanges = stateChanges{
		concerns: Line.heldBack, events: []logger.Event{logger.RequestSuspected, logger.RequestBlocked, logger.RequestCleared, logger.VerdictDecided},
		subject: "fingerprint", same: true,
	}
)

// earlier returns, if the state of a host is behind the outcome of the request, the last line
// on each part of that state which the host had written long before.
func (l *RequestLog) earlier(others []Line, changes stateChanges) []Line {
	var found []Line
	for _, line := range l.Lines {
		if !changes.concerns(line) {
			continue
		}
		last := make(map[string]Line)
		for _, other := range others {
			if other.Host == line.Host && other.isOneOf(changes.events) && line.Time.Sub(other.Time) > contextWindow {
				subject := fmt.Sprint(other.fields[changes.subject])
				if changes.same && subject != fmt.Sprint(line.fields[changes.subject]) {
					continue
				}
				if !other.Time.Before(last[subject].Time) {
					last[subject] = other
				}
			}
		}
		for _, subject := range slices.Sorted(maps.Keys(last)) {
			found = append(found, last[subject])
		}
		break
	}
	return found
}

// limitReached reports whether a request or a part of it was refused because of limits.
func (l Line) limitReached() bool {
	name := classifier.LimitReached.String()
	return l.fields["result"] == name || strings.Contains(fmt.Sprint(l.fields["missing"]), "="+name)
}

// unreachable reports whether a request or a part of it had no server within reach, or was sent
// through a peer for that.
func (l Line) unreachable() bool {
	if l.Event == logger.RequestRelayed.String() {
		return true
	}
	for _, code := range []classifier.Code{classifier.NoServer, classifier.ServerUnreachable} {
		if l.fields["result"] == code.String() || strings.Contains(fmt.Sprint(l.fields["missing"]), "="+code.String()) {
			return true
		}
	}
	return false
}

// heldBack reports whether a request was refused or given up since servers have ended under it.
func (l Line) heldBack() bool {
	return slices.ContainsFunc([]classifier.Code{classifier.RequestBlocked, classifier.RequestSuspected, classifier.RequestCrashed}, func(code classifier.Code) bool {
		return l.fields["result"] == code.String()
	})
}

func (l Line) isOneOf(events []logger.Event) bool {
	return slices.ContainsFunc(events, func(event logger.Event) bool { return l.Event == event.String() })
}

// Write prints the lines in human-readable form.
func (l *RequestLog) Write(w io.Writer) {
	for _, line := range l.Lines {
		_, _ = fmt.Fprintln(w, line)
	}
	if len(l.Context) > 0 {
		_, _ = fmt.Fprintf(w, "\nother lines of the same hosts, within %v:\n", contextWindow)
	}
	for _, line := range l.Context {
		_, _ = fmt.Fprintln(w, line)
	}
}

// String returns the line with its fields sorted by name.
func (l Line) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.Time.Format("15:04:05.000"), l.Host, l.Event)
	var names []string
	for name := range l.fields {
		if !slices.Contains(hiddenFields, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if l.fields[name] != nil && l.fields[name] != "" {
			fmt.Fprintf(&b, " %s=%v", name, l.fields[name])
		}
	}
	return b.String()
}
