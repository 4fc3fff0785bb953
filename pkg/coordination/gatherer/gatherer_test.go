package gatherer

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/limiter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/planner"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/messenger"
	"pgregory.net/rapid"
)

type fixedLayout struct {
	layout planner.Layout
}

// Current returns the layout set by the test.
func (p *fixedLayout) Current() (planner.Layout, bool) { return p.layout, true }

func newTestMachine(p LayoutSource, limit int) *Machine {
	return New(Config{
		MinCoverage: 0.5, SoftDeadline: 50 * time.Millisecond,
		Limits: limiter.Config{InitialLimit: limit, MinLimit: 1, MaxLimit: limit, QueueTarget: time.Second, CallerShare: 1},
	}, p)
}

// checker records the groups, results and answers of a Machine and checks each
// action against them.
type checker struct {
	t           *rapid.T
	newestGroup map[uint64]uint64
	layouts     map[uint64]planner.Layout
	codes       map[uint64]map[int]classifier.Code
	answered    map[uint64]bool
}

func (c *checker) apply(actions []Action) {
	for _, action := range actions {
		switch a := action.(type) {
		case *Scatter:
			c.newestGroup[a.Query] = a.Group
			c.layouts[a.Group] = a.Layout
			c.codes[a.Group] = make(map[int]classifier.Code)
		case *CancelGroup:
		case *Complete:
			c.complete(a)
		case *Refuse:
			c.end(a.Query)
		}
	}
}

func (c *checker) end(query uint64) {
	if c.answered[query] {
		c.t.Fatalf("query %d is answered twice", query)
	}
	c.answered[query] = true
}

// complete checks the codes of an answer against the results settled in the
// query's newest group.
func (c *checker) complete(a *Complete) {
	c.end(a.Query)
	if a.Group != c.newestGroup[a.Query] || a.Layout != c.layouts[a.Group] || len(a.Codes) != a.Layout.Shards {
		c.t.Fatalf("query %d is answered from a group or layout other than its newest", a.Query)
	}
	for shard, code := range a.Codes {
		settled, ok := c.codes[a.Group][shard]
		if ok && settled != code {
			c.t.Fatalf("shard %d was settled with code %v, the answer has %v", shard, settled, code)
		}
		if !ok && code == classifier.OK {
			c.t.Fatalf("shard %d is covered by the answer but was never settled", shard)
		}
	}
}

// TestEachQueryAnsweredOnce checks that each query is answered once, with the
// codes of its newest group, when shards of current and past groups settle in any
// order and the layout changes during queries.
func TestEachQueryAnsweredOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &fixedLayout{layout: planner.Layout{Snapshot: 1, Shards: 3, Covered: 3}}
		m := newTestMachine(p, 4)
		c := &checker{
			t: t, newestGroup: make(map[uint64]uint64), layouts: make(map[uint64]planner.Layout),
			codes: make(map[uint64]map[int]classifier.Code), answered: make(map[uint64]bool),
		}
		now := time.Unix(0, 0)
		var queries uint64
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "millis")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				queries++
				c.apply(m.Step(now, &QueryArrived{Query: queries, Caller: "c", Deadline: now.Add(100 * time.Millisecond)}))
			case 1:
				c.apply(m.Step(now, &TimerFired{}))
			case 2:
				p.layout.Snapshot++
				p.layout.Shards = rapid.IntRange(1, 4).Draw(t, "shards")
			default:
				c.settle(m, now)
			}
		}
		now = now.Add(time.Second)
		c.apply(m.Step(now, &TimerFired{}))
		for query := uint64(1); query <= queries; query++ {
			if !c.answered[query] {
				t.Fatalf("query %d has no answer after its deadline", query)
			}
		}
		if m.Len() != 0 || m.Limiter().InFlight() != 0 {
			t.Fatal("queries are left, or the limiter counts some as in flight")
		}
	})
}

// settle settles a random shard of any group, current or past.
func (c *checker) settle(m *Machine, now time.Time) {
	if len(c.layouts) == 0 {
		return
	}
	group := uint64(rapid.IntRange(1, len(c.layouts)).Draw(c.t, "group"))
	shard := rapid.IntRange(0, c.layouts[group].Shards-1).Draw(c.t, "shard")
	code := rapid.SampledFrom([]classifier.Code{
		classifier.OK, classifier.OK, classifier.ServerFailed, classifier.SnapshotGone, classifier.ShardOverloaded,
	}).Draw(c.t, "code")
	_, settled := c.codes[group][shard]
	if !settled {
		c.codes[group][shard] = code
	}
	c.apply(m.Step(now, &ShardSettled{Group: group, Shard: shard, Code: code}))
}

func TestVerifyDetectsMismatchedAnswers(t *testing.T) {
	request := &messenger.SubQuery{RequestID: "r", Attempt: 7, Snapshot: 3, Shard: 1, Shards: 4}
	complete := messenger.SubAnswer{
		RequestID: "r", Attempt: 7, Snapshot: 3, Shard: 1, Shards: 4, RowCount: 1, Rows: []json.RawMessage{[]byte("1")},
	}
	for name, corrupt := range map[string]func(*messenger.SubAnswer){
		"another request":     func(a *messenger.SubAnswer) { a.RequestID = "q" },
		"another attempt":     func(a *messenger.SubAnswer) { a.Attempt++ },
		"another snapshot":    func(a *messenger.SubAnswer) { a.Snapshot++ },
		"another shard":       func(a *messenger.SubAnswer) { a.Shard++ },
		"another shard count": func(a *messenger.SubAnswer) { a.Shards++ },
		"missing rows":        func(a *messenger.SubAnswer) { a.Rows = nil },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			answer := complete
			is.True(Verify(request, &answer) == nil)
			corrupt(&answer)
			is.True(Verify(request, &answer) != nil)
		})
	}
}
