package rationer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	messageTime = time.Millisecond
	slowTime    = 30 * time.Millisecond
	callLimit   = 40 * time.Millisecond
	relayLimit  = 15 * time.Millisecond
)

var (
	start = time.Unix(1000, 0)
	rule  = Rule{Window: 5 * time.Second, Overshoot: 0.1, Slack: 20}
)

type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)        { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// node is one incarnation of a host.
type node struct {
	rank     int
	key      string
	domain   string
	purse    *Purse
	rationer *Rationer
	down     bool
	frozen   bool
	// behind is what its steady clock lacks.
	behind   time.Duration
	parked   []func()
	contacts *Contacts
	asking   bool
	waiting  []func()
}

// fleet simulates hosts of several failure domains that admit requests of one organisation.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	queue   events
	domains []string
	nodes   map[string][]*node
	subject Subject
	loss    float64
	cut     string
	// slow is a host whose messages take slowTime.
	slow *node
	// disagree makes half of the hosts lack the newest hosts in their lists, and the others
	// those that have left, which are the oldest.
	disagree bool
	sent     []time.Time
	refused  int
}

func newFleet(seed uint64, domains, hosts int, q Quota) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: start, nodes: make(map[string][]*node), subject: Subject{"o", 1, q}}
	for i := range domains {
		domain := fmt.Sprint("d", i)
		f.domains = append(f.domains, domain)
		for rank := range hosts {
			f.nodes[domain] = append(f.nodes[domain], f.newNode(domain, rank))
		}
	}
	return f
}

func (f *fleet) newNode(domain string, rank int) *node {
	n := &node{rank: rank, key: fmt.Sprint(domain, rank), domain: domain, purse: NewPurse(rule), rationer: New(rule), contacts: NewContacts()}
	n.purse.SetHosts(60)
	f.tick(n)
	return n
}

func (f *fleet) tick(n *node) {
	f.on(n, func() {
		n.rationer.Tick(f.clock(n))
		f.after(TickInterval, func() { f.tick(n) })
	})
}

func (f *fleet) clock(n *node) time.Time { return f.now.Add(-n.behind) }

func (f *fleet) after(d time.Duration, do func()) { heap.Push(&f.queue, event{f.now.Add(d), do}) }

// on does something at a host, when it wakes if it is frozen.
func (*fleet) on(n *node, do func()) {
	switch {
	case n.down:
	case n.frozen:
		n.parked = append(n.parked, do)
	default:
		do()
	}
}

func (f *fleet) message(from, to *node, do func()) {
	if f.rng.Float64() < f.loss || (from.domain != to.domain && (from.domain == f.cut || to.domain == f.cut)) {
		return
	}
	delay := messageTime
	if from == f.slow || to == f.slow {
		delay = slowTime
	}
	f.after(delay, func() { f.on(to, do) })
}

// call has a host serve a call; done gets nil if no answer comes in time.
func (f *fleet) call(from, to *node, limit time.Duration, serve func(reply func(any)), done func(any)) {
	finished := false
	finish := func(answer any) {
		if !finished {
			finished = true
			done(answer)
		}
	}
	if to.down {
		limit = messageTime // the connection is refused
	}
	f.after(limit, func() { f.on(from, func() { finish(nil) }) })
	f.message(from, to, func() { serve(func(answer any) { f.message(to, from, func() { finish(answer) }) }) })
}

// order returns the hosts of a domain in the order in which a host asks them.
func (f *fleet) order(n *node, domain string) []*node {
	if !f.disagree {
		return f.nodes[domain]
	}
	half := len(f.nodes[domain]) / 2
	return slices.DeleteFunc(slices.Clone(f.nodes[domain]), func(other *node) bool {
		return other != n && ((n.rank%2 == 1 && other.rank > half) || (n.rank%2 == 0 && other.down))
	})
}

// first returns the first host of a domain that has not left calls unanswered lately.
func (f *fleet) first(n *node, domain string) *node {
	for _, other := range f.order(n, domain) {
		if other == n || !n.contacts.Avoided(f.clock(n), other.key) {
			return other
		}
	}
	return n
}

func (f *fleet) position(n *node) Position {
	return Position{Domains: len(f.domains), Substitute: f.order(n, n.domain)[0] != n}
}

// answer serves a message at a host unless one of those before it, from a rank on, does.
func (f *fleet) answer(c *node, rank int, serve func(keeper *node, reply func(any)), reply func(any)) {
	for i, before := range f.order(c, c.domain) {
		if before == c {
			break
		}
		if i < rank || c.contacts.Lost(f.clock(c), before.key) {
			continue
		}
		f.call(c, before, relayLimit, func(answer func(any)) { serve(before, answer) }, func(answer any) {
			if answer != nil {
				c.contacts.Answered(before.key)
				c.rationer.Forget(f.subject.Organisation)
				reply(answer)
				return
			}
			c.contacts.Silent(f.clock(c), before.key, before.down)
			f.answer(c, i+1, serve, reply)
		})
		return
	}
	serve(c, reply)
}

func (f *fleet) allot(ask Ask) func(*node, func(any)) {
	return func(c *node, reply func(any)) {
		f.grant(c, ask, c.rationer.Allot(f.clock(c), f.position(c), ask), reply)
	}
}

// grant borrows what a grant lacks.
func (f *fleet) grant(c *node, ask Ask, g Grant, reply func(any)) {
	missing := ask.Waiting - g.Tokens
	others := slices.DeleteFunc(slices.Clone(f.domains), func(d string) bool { return d == c.domain })
	domain, loan, ok := c.rationer.Borrow(f.clock(c), f.position(c), ask.Subject, missing, others)
	if missing <= 0 || !ok {
		reply(g)
		return
	}
	lender := f.first(c, domain)
	lend := func(n *node, reply func(any)) { reply(n.rationer.Lend(f.clock(n), f.position(n), loan)) }
	f.call(c, lender, relayLimit, func(reply func(any)) { f.answer(lender, 0, lend, reply) }, func(answer any) {
		if answer == nil {
			c.contacts.Silent(f.clock(c), lender.key, lender.down)
			c.rationer.NotLent(f.clock(c), ask.Organisation, domain)
		} else {
			c.rationer.Borrowed(f.clock(c), ask.Organisation, domain, answer.(Loan))
		}
		more := c.rationer.Allot(f.clock(c), f.position(c), Ask{Subject: ask.Subject, Waiting: missing})
		more.Tokens += g.Tokens
		f.grant(c, ask, more, reply)
	})
}

func (f *fleet) request(n *node) {
	if n.down || n.frozen {
		return
	}
	n.purse.Want(f.clock(n), f.subject)
	f.try(n)
}

func (f *fleet) try(n *node) {
	_, ok := n.purse.Spend(f.clock(n), f.subject.Organisation)
	if ok {
		f.sent = append(f.sent, f.now)
		return
	}
	_, denied := n.purse.Denied(f.clock(n), f.subject.Organisation)
	if denied {
		f.refused++
		return
	}
	n.waiting = append(n.waiting, func() { f.try(n) })
	if n.asking {
		return
	}
	n.asking = true
	asked := f.clock(n)
	ask, _ := n.purse.Ask(asked, f.subject.Organisation, len(n.waiting))
	f.ask(n, ask, asked, 0)
}

func (f *fleet) ask(n *node, ask Ask, asked time.Time, tried int) {
	end := func(answer any) {
		if answer == nil {
			n.purse.Unanswered(f.clock(n), ask)
		} else {
			n.purse.Grant(f.clock(n), asked, ask, answer.(Grant))
		}
		waiting := n.waiting
		n.asking, n.waiting = false, nil
		for _, retry := range waiting {
			retry()
		}
	}
	to := f.first(n, n.domain)
	switch {
	case tried == 3:
		end(nil)
	case to == n:
		// Nobody may answer: this host doesn't keep the bucket yet.
		f.call(n, n, callLimit, func(reply func(any)) { f.answer(n, 0, f.allot(ask), reply) }, end)
	default:
		f.call(n, to, callLimit, func(reply func(any)) { f.answer(to, 0, f.allot(ask), reply) }, func(answer any) {
			if answer == nil {
				n.contacts.Silent(f.clock(n), to.key, to.down)
				f.ask(n, ask, asked, tried+1)
				return
			}
			n.contacts.Answered(f.order(n, n.domain)[0].key)
			end(answer)
		})
	}
}

// run plays requests at random times with a rate per second, at hosts that pick returns.
func (f *fleet) run(length time.Duration, rate float64, pick func() *node) {
	end := f.now.Add(length)
	var next func()
	next = func() {
		if f.now.After(end) {
			return
		}
		f.request(pick())
		f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	}
	f.after(time.Duration(f.rng.ExpFloat64()/rate*float64(time.Second)), next)
	f.until(end)
}

func (f *fleet) until(end time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(end) {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.do()
	}
	f.now = end
}

func (f *fleet) anywhere() *node { return f.in(f.domains[f.rng.IntN(len(f.domains))]) }

func (f *fleet) in(domain string) *node {
	return f.nodes[domain][f.rng.IntN(len(f.nodes[domain]))]
}

// kill ends a process, which starts again after some time.
func (f *fleet) kill(n *node, longest time.Duration) {
	n.down = true
	next := f.newNode(n.domain, n.rank)
	next.down = true
	f.nodes[n.domain][n.rank] = next
	f.after(time.Duration(f.rng.Int64N(int64(longest))), func() {
		next.down = false
		f.tick(next)
	})
}

// freeze stops a host, and its steady clock too if suspended.
func (f *fleet) freeze(n *node, length time.Duration, suspended bool) {
	n.frozen = true
	f.after(length, func() {
		n.frozen = false
		if suspended {
			n.behind += length
		}
		parked := n.parked
		n.parked = nil
		for _, do := range parked {
			f.on(n, do)
		}
	})
}

// most returns the greatest number of requests in any window.
func most(sent []time.Time) int {
	best, first := 0, 0
	for last, at := range sent {
		for at.Sub(sent[first]) > rule.Window {
			first++
		}
		best = max(best, last-first+1)
	}
	return best
}
