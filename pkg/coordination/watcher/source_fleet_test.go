package watcher

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const (
	fleetWatchWait       = 2200 * time.Millisecond
	fleetCompareInterval = 500 * time.Millisecond
	fleetCompareTimeout  = 400 * time.Millisecond
	fleetCheckInterval   = 200 * time.Millisecond
	// fleetServerDelay is how long followers wait between a change of the servers and the next
	// watch of them.
	fleetServerDelay = 300 * time.Millisecond
	// fleetAnswer is the time of a call to the store or to a peer.
	fleetAnswer    = 10 * time.Millisecond
	fleetFollowers = 2
	// fleetRecovery is the least time between two stalls of a host: it has got an answer of the
	// store in between that was sent after the first one.
	fleetRecovery = 400 * time.Millisecond
	fleetLength   = 16 * time.Second
	fleetQuiet    = 6 * time.Second
)

// stall is a span in which a host neither calls nor answers, or only gets no answers of the store.
type stall struct {
	host        int
	from, until time.Duration
	storeOnly   bool
}

// fleetHost is one host of a failure domain.
type fleetHost struct {
	source *Source
	role   Role
	// config and servers are the newest changes held, confirmedConfig and confirmedServers the
	// times up to which the store has confirmed them.
	config, servers                   int
	confirmedConfig, confirmedServers time.Duration
	busy                              map[int]bool
	turn                              int
	following                         bool
	// late is the longest time from a change to the time at which it is in force.
	late  time.Duration
	calls int
}

// fleetEvent is something that happens at a time.
type fleetEvent struct {
	at time.Duration
	do func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int           { return len(e) }
func (e fleetEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e fleetEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)        { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sourceFleet simulates the hosts of a failure domain on virtual time.
type sourceFleet struct {
	cfg     SourceConfig
	hosts   []*fleetHost
	changes []time.Duration
	stalls  []stall
	now     time.Duration
	events  fleetEvents
}

func newSourceFleet(cfg SourceConfig, n int, changes []time.Duration, stalls []stall, random *rand.Rand) *sourceFleet {
	f := &sourceFleet{cfg: cfg, changes: changes, stalls: stalls}
	for i := range n {
		h := &fleetHost{source: NewSource(cfg), busy: make(map[int]bool), turn: random.IntN(1000), role: Dependent}
		switch {
		case i < fleetFollowers:
			h.role = Direct
		case i < 2*fleetFollowers:
			h.role = Successor
		}
		h.source.SetRole(h.role)
		f.hosts = append(f.hosts, h)
		f.at(time.Duration(random.IntN(int(fleetWatchWait))), func() { f.start(i) })
	}
	return f
}

func (f *sourceFleet) at(at time.Duration, do func()) {
	heap.Push(&f.events, fleetEvent{at, do})
}

func (f *sourceFleet) time(at time.Duration) time.Time { return start.Add(at) }

// stalled returns when a host goes on that is stalled now.
func (f *sourceFleet) stalled(host int, store bool) (time.Duration, bool) {
	for _, s := range f.stalls {
		if s.host == host && f.now >= s.from && f.now < s.until && (store || !s.storeOnly) {
			return s.until, true
		}
	}
	return 0, false
}

// newest returns the number of changes that the store has acknowledged.
func (f *sourceFleet) newest(at time.Duration) int {
	n := 0
	for n < len(f.changes) && f.changes[n] <= at {
		n++
	}
	return n
}

func (f *sourceFleet) run() {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(fleetEvent)
		f.now = e.at
		if f.now > fleetLength {
			break
		}
		e.do()
	}
	// What is still not in force counts up to the end.
	f.now = fleetLength
	for _, h := range f.hosts {
		f.adopt(h, f.newest(f.now), f.newest(f.now))
	}
}

func (f *sourceFleet) start(i int) {
	if f.hosts[i].role == Direct {
		f.follow(i)
		return
	}
	f.compare(i)
	f.check(i)
}

// adopt puts changes in force.
func (f *sourceFleet) adopt(h *fleetHost, config, servers int) {
	for change := min(h.config, h.servers); change < max(config, servers); change++ {
		if (change >= h.config && change < config) || (change >= h.servers && change < servers) {
			h.late = max(h.late, f.now-f.changes[change])
		}
	}
	h.config, h.servers = max(h.config, config), max(h.servers, servers)
}

// follow lists and watches until the host no longer has to.
func (f *sourceFleet) follow(i int) {
	h := f.hosts[i]
	f.call(i, func() {
		f.adopt(h, f.newest(f.now), f.newest(f.now))
		h.confirmedConfig, h.confirmedServers = f.now, f.now
		f.watch(i, false)
		f.watch(i, true)
	})
}

// call has a host call the store; a call of a host that is stalled is answered once it goes on.
func (f *sourceFleet) call(i int, answered func()) {
	f.hosts[i].calls++
	f.at(f.now+fleetAnswer, func() { f.whenRunning(i, answered) })
}

func (f *sourceFleet) whenRunning(i int, do func()) {
	until, stalled := f.stalled(i, true)
	if stalled {
		f.at(until, func() { f.whenRunning(i, do) })
		return
	}
	do()
}

// watch waits for changes of the configuration or of the servers.
func (f *sourceFleet) watch(i int, servers bool) {
	h := f.hosts[i]
	if h.role != Direct && !h.source.FollowsStore(f.time(f.now)) {
		h.following = false
		return
	}
	h.calls++
	begun := f.now
	held, wait := h.config, f.cfg.WatchWait
	if servers {
		held, wait = h.servers, wait-fleetServerDelay
	}
	answer := begun + wait
	if held < len(f.changes) {
		answer = min(answer, max(f.changes[held], begun))
	}
	f.at(answer+fleetAnswer, func() {
		f.whenRunning(i, func() {
			// The answer has what the store held when it was sent.
			seen := f.newest(answer)
			delay := time.Duration(0)
			if servers {
				if seen > h.servers {
					delay = fleetServerDelay
				}
				f.adopt(h, h.config, seen)
				h.confirmedServers = f.now
			} else {
				f.adopt(h, seen, h.servers)
				h.confirmedConfig = f.now
			}
			f.at(f.now+delay, func() { f.whenRunning(i, func() { f.watch(i, servers) }) })
		})
	})
}

// check has a dependent host turn to the store when it has to.
func (f *sourceFleet) check(i int) {
	h := f.hosts[i]
	now := f.time(f.now)
	if !h.following && !h.source.confirmedAt.IsZero() && h.source.FollowsStore(now) {
		h.following = true
		f.whenRunning(i, func() { f.follow(i) })
	}
	delay := max(min(h.source.UntilFollowing(now), fleetCheckInterval), time.Millisecond)
	f.at(f.now+delay, func() { f.check(i) })
}

// compare has a host compare with the next of its peers.
func (f *sourceFleet) compare(i int) {
	until, stalled := f.stalled(i, false)
	if stalled {
		f.at(until, func() { f.compare(i) })
		return
	}
	h := f.hosts[i]
	peers := fleetFollowers
	if h.source.Overdue(f.time(f.now)) {
		peers = min(2*fleetFollowers, len(f.hosts))
	}
	var free []int
	for peer := range peers {
		if peer != i && !h.busy[peer] {
			free = append(free, peer)
		}
	}
	if peers == fleetFollowers && len(free) > 0 {
		free = free[h.turn%len(free):][:1]
		h.turn++
	}
	for _, peer := range free {
		f.ask(i, peer)
	}
	// A peer that has not stalled has answered when the next comparison is scheduled.
	f.at(f.now+2*fleetAnswer, func() {
		f.at(f.now+h.source.CompareDelay(f.time(f.now)), func() { f.compare(i) })
	})
}

func (f *sourceFleet) ask(i, peer int) {
	h, begun := f.hosts[i], f.now
	h.busy[peer] = true
	f.at(f.now+fleetAnswer/2, func() {
		_, stalled := f.stalled(peer, false)
		if stalled {
			f.at(begun+fleetCompareTimeout, func() { h.busy[peer] = false })
			return
		}
		p := f.hosts[peer]
		confirmed := min(p.confirmedConfig, p.confirmedServers)
		config, servers, age, known := p.config, p.servers, f.now-confirmed, confirmed > 0
		f.at(f.now+fleetAnswer/2, func() {
			h.busy[peer] = false
			_, stalled := f.stalled(i, false)
			if stalled || !known {
				return
			}
			f.adopt(h, config, servers)
			h.source.ReceivedFromPeer(f.time(begun), age)
			h.confirmedConfig, h.confirmedServers = max(h.confirmedConfig, begun-age), max(h.confirmedServers, begun-age)
		})
	})
}

// inTouch reports whether nothing ever happens to a host.
func (f *sourceFleet) inTouch(host int) bool {
	for _, s := range f.stalls {
		if s.host == host {
			return false
		}
	}
	return true
}

func fleetConfig(bound time.Duration) SourceConfig {
	return SourceConfig{Bound: bound, WatchWait: fleetWatchWait, CompareInterval: fleetCompareInterval}
}

// TestChangesAreInForceWithinTheBoundWhateverTwoHostsDo guards against a version that is in force too
// late at a host whose two sources have stalled. Any one or two hosts of a failure domain stall or
// lose the store, each twice, at any moment around changes that come alone or in quick succession.
// The others have each change in force within the bound, and only a few of them call the store.
func TestChangesAreInForceWithinTheBoundWhateverTwoHostsDo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.SampledFrom([]time.Duration{2750 * time.Millisecond, 3 * time.Second, 5 * time.Second, 6 * time.Second}).Draw(t, "bound")
		n := rapid.SampledFrom([]int{3, 4, 9, 28}).Draw(t, "hosts")
		millis := func(from, to time.Duration, name string) time.Duration {
			return time.Duration(rapid.Int64Range(from.Milliseconds(), to.Milliseconds()).Draw(t, name)) * time.Millisecond
		}
		var changes []time.Duration
		at := fleetQuiet
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			at += millis(10*time.Millisecond, time.Second, "gap")
			changes = append(changes, at)
		}
		var stalls []stall
		for k := range 2 {
			host := rapid.IntRange(0, min(n, 5)-1).Draw(t, "stalled host")
			storeOnly := rapid.Bool().Draw(t, "only the store")
			first := fleetQuiet + millis(-3*time.Second, 3*time.Second, fmt.Sprint("stall", k))
			length := millis(100*time.Millisecond, 4*time.Second, "length")
			second := first + length + millis(fleetRecovery, 2*time.Second, "pause")
			stalls = append(stalls, stall{host, first, first + length, storeOnly}, stall{host, second, second + length, storeOnly})
		}
		f := newSourceFleet(fleetConfig(bound), n, changes, stalls, rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)))
		f.run()
		for i, h := range f.hosts {
			if f.inTouch(i) && h.late > bound {
				t.Fatalf("host %d: a change is in force after %v, later than %v", i, h.late, bound)
			}
			if f.inTouch(i) && h.role == Dependent && h.calls > 0 {
				t.Fatalf("host %d, which is no successor, has called the store %d times", i, h.calls)
			}
		}
	})
}

// TestStallOfBothFollowersIsNoticedInTime has both followers stall at each moment of a watch, just after
// one change and before another one.
func TestStallOfBothFollowersIsNoticedInTime(t *testing.T) {
	is := is.New(t)
	const step, length = 10 * time.Millisecond, 4 * time.Second
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second} {
		late := time.Duration(0)
		for offset := time.Duration(0); offset < fleetWatchWait; offset += step {
			from := fleetQuiet + offset
			stalls := []stall{{0, from, from + length, false}, {1, from, from + length, false}}
			f := newSourceFleet(fleetConfig(bound), 3, []time.Duration{from - fleetCompareInterval, from + step}, stalls, rand.New(rand.NewPCG(uint64(offset), 1)))
			f.run()
			late = max(late, f.hosts[2].late)
		}
		t.Logf("bound %v: in force after %v at the latest", bound, late)
		is.True(late <= bound)
	}
}

// TestQuietHostsLeaveTheStoreToItsFollowers has nothing stall: no other host may call the store.
func TestQuietHostsLeaveTheStoreToItsFollowers(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(200) {
		f := newSourceFleet(fleetConfig(3*time.Second), 9, []time.Duration{fleetQuiet, fleetQuiet + 220*time.Millisecond}, nil, rand.New(rand.NewPCG(seed, 1)))
		f.run()
		for i, h := range f.hosts {
			is.True(i < fleetFollowers || h.calls == 0)
		}
	}
}

// TestStalledFollowersAreReplacedByFewHosts stalls both followers of failure domains of deployments of 9
// to 3,400 hosts: the number of calls to the store must not grow with the hosts.
func TestStalledFollowersAreReplacedByFewHosts(t *testing.T) {
	is := is.New(t)
	const domains = 3
	for _, bound := range []time.Duration{3 * time.Second, 5 * time.Second} {
		for _, hosts := range []int{9, 82, 300, 3400} {
			changes := []time.Duration{fleetQuiet}
			stalls := []stall{{0, fleetQuiet - 10*time.Millisecond, fleetLength, false}, {1, fleetQuiet - 10*time.Millisecond, fleetLength, false}}
			f := newSourceFleet(fleetConfig(bound), hosts/domains, changes, stalls, rand.New(rand.NewPCG(1, 1)))
			f.run()
			calls, callers, late := 0, 0, time.Duration(0)
			for _, h := range f.hosts[fleetFollowers:] {
				calls += h.calls
				callers += min(h.calls, 1)
				late = max(late, h.late)
			}
			t.Logf("bound %v, %d hosts: %d calls of %d hosts in place of the followers, in force after %v at the latest", bound, hosts, calls, callers, late)
			is.True(callers <= fleetFollowers)
			is.True(late <= bound)
		}
	}
}

// TestBoundsThatPeersCannotKeepAreNoticed checks which bounds let hosts depend on peers.
func TestBoundsThatPeersCannotKeepAreNoticed(t *testing.T) {
	is := is.New(t)
	is.True(!fleetConfig(2700 * time.Millisecond).AllowsPeers())
	is.True(fleetConfig(2750 * time.Millisecond).AllowsPeers())
	is.True(fleetConfig(3 * time.Second).AllowsPeers())
}
