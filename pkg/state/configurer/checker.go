package configurer

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
)

// Limits of the values in a document. MaxConcurrency also limits claimsPerSecond;
// maxRequestDeadline limits the setting maxDeadline, maxClaimLife the setting claimLife,
// and maxDuration all other durations.
const (
	MaxConnections     = 100_000
	MaxHosts           = 10_000
	MaxConcurrency     = 1_000_000
	MaxTickets         = 10_000_000
	maxDuration        = 24 * time.Hour
	maxRequestDeadline = 4 * time.Minute
	maxClaimLife       = 30 * maxDuration
)

var serviceName = regexp.MustCompile(`^[a-z][a-z0-9-]{0,62}$`)

// Errors lists all problems of one document.
type Errors []*decoder.PositionError

// Error returns one line for each problem.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Parse decodes and checks a file that holds one document or a list of documents;
// the error is a *decoder.PositionError if decoding fails, otherwise Errors.
func Parse(file string, data []byte) ([]Document, error) {
	if !strings.HasPrefix(skipComments(data), "[") {
		document, err := ParseOne(file, data)
		return []Document{document}, err
	}
	documents, err := decoder.Document[[]Document](file, data)
	if err != nil {
		return nil, err
	}
	var problems Errors
	seen := make(map[string]bool)
	for i, document := range documents {
		c := newChecker(file, data, i)
		c.check(document)
		if seen[document.Service] {
			c.fail("service", "named twice in the file", "one document for each service")
		}
		seen[document.Service] = true
		problems = append(problems, c.problems...)
	}
	return documents, problems.orNil()
}

// ParseOne decodes and checks one document; it returns the same kinds of error as Parse.
func ParseOne(file string, data []byte) (Document, error) {
	document, err := decoder.Document[Document](file, data)
	if err != nil {
		return Document{}, err
	}
	c := newChecker(file, data)
	c.check(document)
	return document, c.problems.orNil()
}

func (e Errors) orNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}

// skipComments returns the document without leading white space and comments.
func skipComments(data []byte) string {
	text := string(data)
	for {
		text = strings.TrimSpace(text)
		switch {
		case strings.HasPrefix(text, "//"):
			_, text, _ = strings.Cut(text, "\n")
		case strings.HasPrefix(text, "/*"):
			_, text, _ = strings.Cut(text, "*/")
		default:
			return text
		}
	}
}

type checker struct {
	file     string
	data     []byte
	root     []any
	problems Errors
}

func newChecker(file string, data []byte, root ...any) *checker {
	return &checker{file: file, data: data, root: root}
}

func (c *checker) check(d Document) {
	c.require(serviceName.MatchString(d.Service), "service", "invalid name "+quote(d.Service), "a-z, 0-9 and -, at most 63, first a letter")
	c.oneOf("kind", string(d.Kind), string(KindQuery), string(KindOrder))
	c.oneOf("carrier", string(d.Carrier), string(CarrierHTTP1), string(CarrierHTTP2))
	c.duration("deadline", d.Deadline, time.Millisecond, maxDuration)
	c.duration("maxDeadline", d.MaxDeadline, time.Millisecond, maxRequestDeadline)
	c.notAfter("deadline", d.Deadline, "maxDeadline", d.MaxDeadline)
	c.checkConnections(d.Connections)
	c.checkAdmission(d.Admission)
	c.checkClasses(d.Classes)
	c.checkKind(d)
	c.duration("drain.notice", d.Drain.Notice, 0, maxDuration)
	c.duration("drain.limit", d.Drain.Limit, time.Millisecond, maxDuration)
	c.notAfter("maxDeadline", d.MaxDeadline, "drain.limit", d.Drain.Limit)
}

func (c *checker) checkKind(d Document) {
	switch d.Kind {
	case KindQuery:
		c.require(d.Query != nil, "query", "missing", "an object, for kind query")
		c.require(d.Order == nil, "order", "not allowed", "only for kind order")
	case KindOrder:
		c.require(d.Order != nil, "order", "missing", "an object, for kind order")
		c.require(d.Query == nil, "query", "not allowed", "only for kind query")
	}
	if d.Query != nil {
		c.checkQuery(d, *d.Query)
	}
	if d.Order != nil {
		c.checkOrder(d, *d.Order)
	}
}

func (c *checker) checkConnections(n Connections) {
	c.between("connections.perServer", float64(n.PerServer), 1, MaxConnections)
	c.between("connections.reserve", float64(n.Reserve), 0, MaxConnections)
	c.between("connections.hosts", float64(n.Hosts), 1, MaxHosts)
	if n.Hosts < 1 || n.Quota() >= 1 {
		return
	}
	c.fail("connections.hosts",
		fmt.Sprintf("the quota (perServer %d - reserve %d) / hosts %d is below 1 connection", n.PerServer, n.Reserve, n.Hosts),
		fmt.Sprintf("hosts at most %d", max(n.PerServer-n.Reserve, 0)))
}

func (c *checker) checkAdmission(a Admission) {
	c.between("admission.minLimit", float64(a.MinLimit), 1, MaxConcurrency)
	c.between("admission.maxLimit", float64(a.MaxLimit), float64(a.MinLimit), MaxConcurrency)
	c.between("admission.initialLimit", float64(a.InitialLimit), float64(a.MinLimit), float64(a.MaxLimit))
	c.duration("admission.queueTarget", a.QueueTarget, time.Microsecond, maxDuration)
	c.share("admission.callerShare", a.CallerShare)
}

func (c *checker) checkClasses(classes []Class) {
	seen := make(map[string]bool)
	for i, class := range classes {
		field := fmt.Sprintf("classes.%d", i)
		c.require(serviceName.MatchString(class.Name), field+".name", "invalid name "+quote(class.Name), "a-z, 0-9 and -")
		c.require(!seen[class.Name], field+".name", "named twice", "one entry for each class")
		c.share(field+".share", class.Share)
		seen[class.Name] = true
	}
}

func (c *checker) checkQuery(d Document, q Query) {
	c.oneOf("query.placement", string(q.Placement), string(PlacementDirect), string(PlacementOwner))
	c.share("query.earlyAnswer.minCoverage", q.EarlyAnswer.MinCoverage)
	c.duration("query.earlyAnswer.softDeadline", q.EarlyAnswer.SoftDeadline, time.Millisecond, maxDuration)
	c.notAfter("query.earlyAnswer.softDeadline", q.EarlyAnswer.SoftDeadline, "deadline", d.Deadline)
	c.between("query.extraLoad.hedge", q.ExtraLoad.Hedge, 0, 1)
	c.between("query.extraLoad.retry", q.ExtraLoad.Retry, 0, 1)
}

func (c *checker) checkOrder(d Document, o Order) {
	c.oneOf("order.policy", string(o.Policy), string(PolicyTicket), string(PolicyClaim))
	c.duration("order.ticketLife", o.TicketLife, time.Millisecond, maxDuration)
	c.notAfter("order.ticketLife", o.TicketLife, "drain.limit", d.Drain.Limit)
	c.between("order.maxTickets", float64(o.MaxTickets), 1, MaxTickets)
	c.between("order.claimsPerSecond", o.ClaimsPerSecond, 0.01, MaxConcurrency)
	c.duration("order.claimLife", o.ClaimLife, time.Minute, maxClaimLife)
	// A claim must outlive every order that may still be sent under it, so maxDeadline
	// is at most half of claimLife.
	c.notAfter("maxDeadline", d.MaxDeadline, "order.claimLife", decoder.NewDuration(o.ClaimLife.Value()/2))
}

func (c *checker) require(ok bool, field, problem, allowed string) {
	if !ok {
		c.fail(field, problem, allowed)
	}
}

func (c *checker) oneOf(field, value string, allowed ...string) {
	for _, name := range allowed {
		if value == name {
			return
		}
	}
	c.fail(field, "invalid value "+quote(value), strings.Join(allowed, ", "))
}

func (c *checker) between(field string, value, low, high float64) {
	if value >= low && value <= high {
		return
	}
	c.fail(field, fmt.Sprintf("%v is out of range", value), fmt.Sprintf("%v to %v", low, high))
}

func (c *checker) share(field string, value float64) {
	if value > 0 && value <= 1 {
		return
	}
	c.fail(field, fmt.Sprintf("%v is out of range", value), "above 0, at most 1")
}

func (c *checker) duration(field string, d decoder.Duration, low, high time.Duration) {
	if d.Invalid() != "" {
		c.fail(field, "invalid duration "+quote(d.Invalid()), `a number with a unit ns, us, ms, s, m or h, such as "400ms"`)
		return
	}
	if d.Value() >= low && d.Value() <= high {
		return
	}
	c.fail(field, d.String()+" is out of range", fmt.Sprintf("%v to %v", low, high))
}

func (c *checker) notAfter(field string, d decoder.Duration, otherField string, other decoder.Duration) {
	if d.Invalid() != "" || other.Invalid() != "" || d.Value() <= other.Value() {
		return
	}
	c.fail(field, fmt.Sprintf("%v is longer than %s %v", d, otherField, other), "at most "+other.String())
}

func (c *checker) fail(field, problem, allowed string) {
	line, column := decoder.Locate(c.data, c.path(field)...)
	c.problems = append(c.problems, &decoder.PositionError{
		File: c.file, Line: line, Column: column, Field: field, Problem: problem, Allowed: allowed,
	})
}

func (c *checker) path(field string) []any {
	path := append([]any(nil), c.root...)
	for _, part := range strings.Split(field, ".") {
		var n int
		_, err := fmt.Sscanf(part, "%d", &n)
		if err == nil {
			path = append(path, n)
			continue
		}
		path = append(path, part)
	}
	return path
}

func quote(text string) string {
	return fmt.Sprintf("%q", text)
}
