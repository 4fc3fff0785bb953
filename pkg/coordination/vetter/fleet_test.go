package vetter

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/delegator"
)

const (
	// hopTime is the time of a message between two hosts, with the work at both.
	hopTime = 4 * time.Millisecond
	// compareInterval is how often hosts compare their records, as a host does.
	compareInterval = 500 * time.Millisecond
	// learnTarget is the stated time within which all hosts know what one has learnt.
	learnTarget = time.Second
)

// fleetEvent is something that happens at a host.
type fleetEvent struct {
	at   time.Time
	seq  int
	step func()
}

type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || (q[i].at.Equal(q[j].at) && q[i].seq < q[j].seq)
}
func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// fleet runs hosts that exchange records on virtual time.
type fleet struct {
	now     time.Time
	queue   fleetQueue
	seq     int
	random  *rand.Rand
	hosts   []delegator.Host
	vetters map[string]*Vetter
	// loss is the fraction of messages that are lost, cut the hosts that get and send none.
	loss     float64
	cut      map[string]bool
	messages int
	bytes    int
}

func newFleet(n, domains int, loss float64) *fleet {
	f := &fleet{now: start, random: rand.New(rand.NewPCG(1, uint64(n))), vetters: make(map[string]*Vetter), loss: loss, cut: make(map[string]bool)}
	for i := range n {
		f.add(i, domains)
	}
	return f
}

// add starts a host, which compares its records from then on.
func (f *fleet) add(i, domains int) delegator.Host {
	host := delegator.Host{Name: fmt.Sprint("h", i), Address: fmt.Sprint("h", i), Domain: fmt.Sprint("d", i%domains)}
	f.hosts = append(f.hosts, host)
	f.vetters[host.Name] = newVetter(uint64(i))
	f.schedule(time.Duration(f.random.Int64N(int64(compareInterval))), func() { f.compare(host, 0) })
	return host
}

func (f *fleet) schedule(after time.Duration, step func()) {
	f.seq++
	heap.Push(&f.queue, fleetEvent{f.now.Add(after), f.seq, step})
}

func (f *fleet) runUntil(at time.Time) {
	for len(f.queue) > 0 && !f.queue[0].at.After(at) {
		e := heap.Pop(&f.queue).(fleetEvent)
		f.now = e.at
		e.step()
	}
	f.now = at
}

// send delivers a message between two hosts unless it is lost.
func (f *fleet) send(from, to delegator.Host, message any, deliver func()) {
	data, _ := json.Marshal(message)
	f.messages++
	f.bytes += len(data)
	if !f.cut[from.Name] && !f.cut[to.Name] && f.random.Float64() >= f.loss {
		f.schedule(hopTime, deliver)
	}
}

// spread sends what has changed at a host.
func (f *fleet) spread(host delegator.Host) {
	records := f.vetters[host.Name].Changed(f.now)
	if len(records) == 0 {
		return
	}
	for _, target := range Targets(f.random, host, f.hosts) {
		f.send(host, target, records, func() { f.merge(target, records) })
	}
}

func (f *fleet) merge(host delegator.Host, records []Record) {
	f.vetters[host.Name].Merge(f.now, records)
	f.spread(host)
}

// compare compares the records of a host with those of a partner, and again later.
func (f *fleet) compare(host delegator.Host, turn int) {
	f.schedule(compareInterval, func() { f.compare(host, turn+1) })
	partners := Partners(host, f.hosts)
	if len(partners) == 0 {
		return
	}
	partner := partners[turn%len(partners)]
	v, other := f.vetters[host.Name], f.vetters[partner.Name]
	f.send(host, partner, v.Digest(), func() {
		if v.Digest() == other.Digest() {
			return
		}
		f.send(partner, host, false, func() {
			f.send(host, partner, v.Summary(), func() {
				records, wanted := other.Compare(f.now, v.Summary())
				f.send(partner, host, records, func() {
					f.merge(host, records)
					missing := v.Records(f.now, wanted)
					f.send(host, partner, missing, func() { f.merge(partner, missing) })
				})
			})
		})
	})
}

// knowing returns the number of hosts that block a request.
func (f *fleet) knowing(fingerprint Fingerprint) int {
	n := 0
	for _, v := range f.vetters {
		if v.Judge(f.now, fingerprint) == Blocked {
			n++
		}
	}
	return n
}

// TestFleetLearnsWithinASecond has three hosts of fleets of different sizes see one end each, and a
// host that was cut off or has just started learn of it.
func TestFleetLearnsWithinASecond(t *testing.T) {
	for _, c := range []struct {
		hosts, domains int
		loss           float64
	}{{8, 3, 0}, {8, 3, 0.1}, {82, 3, 0}, {295, 5, 0.1}, {3400, 13, 0}, {3400, 13, 0.1}} {
		t.Run(fmt.Sprintf("%d-%v", c.hosts, c.loss), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(c.hosts, c.domains, c.loss)
			away := f.hosts[1]
			f.cut[away.Name] = true
			f.runUntil(start.Add(time.Second))
			idle, idleBytes := f.messages, f.bytes
			begun := f.now
			s := subject(1)
			for i := range blockingEnds {
				host := f.hosts[(2+i*c.hosts/4)%c.hosts]
				f.vetters[host.Name].ServerEnded(f.now, s, End(i+1), true)
				f.spread(host)
			}
			known := map[float64]time.Duration{}
			for f.now.Sub(begun) < learnTarget {
				f.runUntil(f.now.Add(time.Millisecond))
				n := f.knowing(s.Fingerprint)
				for _, share := range []float64{0.5, 0.99, 1} {
					if known[share] == 0 && float64(n) >= share*float64(c.hosts-1) {
						known[share] = f.now.Sub(begun)
					}
				}
			}
			is.Equal(f.knowing(s.Fingerprint), c.hosts-1)
			t.Logf("known to 50%%, 99%%, all after %v, %v, %v; messages a host and second: %.1f idle, %.1f more for an entry; bytes %.0f, %.0f more",
				known[0.5], known[0.99], known[1], float64(idle)/float64(c.hosts), float64(f.messages-2*idle)/float64(c.hosts),
				float64(idleBytes)/float64(c.hosts), float64(f.bytes-2*idleBytes)/float64(c.hosts))

			f.cut[away.Name] = false
			joined := f.add(c.hosts, c.domains)
			f.runUntil(f.now.Add(learnTarget))
			if c.loss == 0 {
				is.Equal(f.vetters[away.Name].Judge(f.now, s.Fingerprint), Blocked)
				is.Equal(f.vetters[joined.Name].Judge(f.now, s.Fingerprint), Blocked)
			}
		})
	}
}
