package allotter

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// ruleSpan, ruleFactor and ruleSlack are the platform's rule on limits: no server gets
	// more than ruleFactor times its limit and ruleSlack requests in any ruleSpan.
	ruleSpan   = 4 * time.Second
	ruleFactor = 1.5
	ruleSlack  = 5

	fleetStep = 10 * time.Millisecond
	// fleetRound is the time from an ask to its answer.
	fleetRound = 10 * time.Millisecond
	// fleetTicks is the number of steps after which each host looks for due asks.
	fleetTicks = 5
)

var (
	server = Incarnation{Server: "s1", StartedAtMillis: 1}
	start  = time.Unix(1000, 0)
)

// fleet simulates hosts that send requests to one server with a limit.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	limit   Limit
	ledgers []*Ledger
	// weights are the cumulated shares of the hosts in the demand.
	weights []float64
	allot   *Allotter
	// second, if set, allots to each second host.
	second *Allotter
	// sent has the times of the requests at the server, wanted counts all requests.
	sent    []time.Time
	wanted  int
	answers []fleetAnswer
	// unreachable hosts get no answers to their asks.
	unreachable func(host int) bool
	// waiting has the requests that wait for an answer, by host.
	waiting map[int]int
}

type fleetAnswer struct {
	due    time.Time
	host   int
	grants []Grant
	lost   []Ask
}

func newFleet(seed uint64, hosts int, skewed bool, limit float64) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, limit: Limit{true, limit}, allot: New(), waiting: make(map[int]int),
		unreachable: func(int) bool { return false },
	}
	total := 0.0
	for i := range hosts {
		l := NewLedger(hosts)
		l.Observe(start, server, f.limit)
		f.ledgers = append(f.ledgers, l)
		weight := 1.0
		if skewed {
			weight = 1 / float64(i+1)
		}
		total += weight
		f.weights = append(f.weights, total)
	}
	return f
}

func (f *fleet) pick() int {
	at := f.rng.Float64() * f.weights[len(f.weights)-1]
	return min(sort.SearchFloat64s(f.weights, at), len(f.weights)-1)
}

// run plays a demand in requests per second.
func (f *fleet) run(length time.Duration, demand float64) {
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		f.deliver()
		for range f.arrivals(demand) {
			f.request(f.pick(), true)
		}
		for i := int(f.now.UnixMilli()/fleetStep.Milliseconds()) % fleetTicks; i < len(f.ledgers); i += fleetTicks {
			f.ask(i)
		}
	}
}

// arrivals returns the number of requests in a step.
func (f *fleet) arrivals(demand float64) int {
	mean := demand * fleetStep.Seconds()
	if mean > 50 {
		return int(mean)
	}
	n := 0
	for p := f.rng.Float64(); p > math.Exp(-mean); n++ {
		p *= f.rng.Float64()
	}
	return n
}

func (f *fleet) request(host int, first bool) {
	l := f.ledgers[host]
	if first {
		f.wanted++
		l.Want(server)
	}
	switch {
	case l.Allows(f.now, server, 0):
		l.Sent(f.now, server)
		f.sent = append(f.sent, f.now)
		l.Observe(f.now, server, f.limit)
	case first && l.MayAsk(f.now, server):
		f.waiting[host]++
		l.Await(server)
		f.ask(host)
	}
}

func (f *fleet) ask(host int) {
	asks := f.ledgers[host].Asks(f.now)
	if len(asks) == 0 {
		return
	}
	answer := fleetAnswer{due: f.now.Add(fleetRound), host: host}
	if f.unreachable(host) {
		answer.lost = asks
	} else {
		allot := f.allot
		if f.second != nil && host%2 == 1 {
			allot = f.second
		}
		answer.grants = allot.Allot(f.now, fmt.Sprint(host), asks)
	}
	f.answers = append(f.answers, answer)
}

func (f *fleet) deliver() {
	for len(f.answers) > 0 && !f.now.Before(f.answers[0].due) {
		a := f.answers[0]
		f.answers = f.answers[1:]
		f.ledgers[a.host].Unanswered(f.now, a.lost)
		f.ledgers[a.host].Grant(f.now, a.grants)
		for range f.waiting[a.host] {
			f.request(a.host, false)
		}
		delete(f.waiting, a.host)
	}
}

// most returns the greatest number of requests in any ruleSpan.
func most(sent []time.Time) int { return mostIn(sent, ruleSpan) }

// mostIn returns the greatest number of requests in any span.
func mostIn(sent []time.Time, span time.Duration) int {
	best, first := 0, 0
	for last, at := range sent {
		for at.Sub(sent[first]) > span {
			first++
		}
		best = max(best, last-first+1)
	}
	return best
}

func allowed(limit float64) int {
	return int(ruleFactor*limit*ruleSpan.Seconds()) + ruleSlack
}

// equalShares returns the requests that pass if each host has an equal share of the limit.
func equalShares(seed uint64, hosts int, skewed bool, limit, demand float64, length time.Duration) []time.Time {
	f := newFleet(seed, hosts, skewed, limit)
	tokens, at := make([]float64, hosts), make([]time.Time, hosts)
	for i := range tokens {
		tokens[i], at[i] = 1, f.now
	}
	var passed []time.Time
	for end := f.now.Add(length); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		for range f.arrivals(demand) {
			i := f.pick()
			share := limit / float64(hosts)
			tokens[i] = min(max(1, share*poolTime.Seconds()), tokens[i]+share*f.now.Sub(at[i]).Seconds())
			at[i] = f.now
			if tokens[i] >= 1 {
				tokens[i]--
				passed = append(passed, f.now)
			}
		}
	}
	return passed
}

// TestFleetKeepsToTheLimitAndUsesIt plays fleets from 8 to 3,400 hosts. The limit must hold in
// any span, and hosts of unequal load must use more of it than with equal shares.
func TestFleetKeepsToTheLimitAndUsesIt(t *testing.T) {
	const length = 20 * time.Second
	t.Log("| hosts | limit | demand | skewed | used | in 4 s | equal shares: used | in 4 s | allowed in 4 s |")
	for _, hosts := range []int{8, 82, 295, 3400} {
		for _, limit := range []float64{0.5, 4, 25, 200} {
			for _, factor := range []float64{0.6, 2, 10} {
				for _, skewed := range []bool{false, true} {
					name := fmt.Sprintf("%d hosts, %v a second, demand times %v, skewed %t", hosts, limit, factor, skewed)
					t.Run(name, func(t *testing.T) {
						is := is.New(t)
						f := newFleet(1, hosts, skewed, limit)
						f.run(length, limit*factor)
						usable := min(limit*length.Seconds(), float64(f.wanted))
						used := float64(len(f.sent)) / usable
						passed := equalShares(1, hosts, skewed, limit, limit*factor, length)
						equal := float64(len(passed)) / usable
						t.Logf("| %d | %v | %v | %t | %.2f | %d | %.2f | %d | %d |", hosts, limit, factor, skewed, used, most(f.sent), equal, most(passed), allowed(limit))
						is.True(most(f.sent) <= allowed(limit))
						if skewed && factor == 2 && limit >= 4 && equal <= 1 {
							is.True(used > equal)
						}
					})
				}
			}
		}
	}
}

// TestHostsThatAllotByTurnsKeepToTheLimit guards against tokens that a host has kept since it allotted last.
func TestHostsThatAllotByTurnsKeepToTheLimit(t *testing.T) {
	for seed := range uint64(40) {
		is := is.New(t)
		f := newFleet(seed, 6, true, 12)
		first, second := New(), New()
		f.allot = first
		for range 12 {
			f.run(time.Duration(700+f.rng.IntN(1800))*time.Millisecond, 300)
			// Some hosts find out sooner that the other one allots now.
			f.second = second
			f.run(time.Duration(f.rng.IntN(600))*time.Millisecond, 300)
			first, second = second, first
			f.allot, f.second = first, nil
		}
		is.True(most(f.sent) <= allowed(12))
		if most(f.sent) > 70 {
			t.Logf("seed %d: %d of %d", seed, most(f.sent), allowed(12))
		}
	}
}
