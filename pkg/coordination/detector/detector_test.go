package detector

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

var start = time.Unix(1000, 0)

type directory map[string][]*lister.Server

func (d directory) InDomain(domain string) []*lister.Server { return d[domain] }

func (d directory) Domains() []string {
	var names []string
	for _, name := range []string{"a", "b", "c"} {
		if len(d[name]) > 0 {
			names = append(names, name)
		}
	}
	return names
}

func newDirectory(servers int) directory {
	d := make(directory)
	for _, domain := range []string{"a", "b", "c"} {
		for i := range servers {
			d[domain] = append(d[domain], &lister.Server{ID: fmt.Sprint(domain, i), Domain: domain})
		}
	}
	return d
}

func after(d time.Duration) time.Time { return start.Add(d * time.Millisecond) }

// probed returns the domains whose probes are due, and ends these probes.
func probed(d *Detector, now, ended time.Time, result ProbeResult) (domains []string, changes []Change) {
	for _, probe := range d.Probes(now) {
		domains = append(domains, probe.Domain)
		change, ok := d.ProbeEnded(ended, probe.Domain, result)
		if ok {
			changes = append(changes, change)
		}
	}
	return domains, changes
}

func TestSilentDomainIsUnreachableAfterAProbe(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(4)
	d := New(DefaultConfig(), servers)
	d.Sent(after(-5), servers["a"][0])
	_, changed := d.Ended(start, servers["a"][0], Response)
	is.True(!changed)
	for _, server := range servers["a"] {
		d.Sent(after(1), server)
	}
	is.Equal(len(d.Probes(after(40))), 0) // too soon for a doubt
	at, ok := d.NextTimer()
	is.True(ok)
	is.Equal(at, after(41))
	probes := d.Probes(after(41))
	is.Equal(len(probes), 3) // of all domains, which have been silent too
	is.Equal(len(probes[0].Servers), DefaultConfig().Targets)
	is.Equal(probes[0].Servers[0].ID, "a0") // the last one that responded
	is.Equal(len(d.Probes(after(400))), 0)  // one probe at a time
	change, changed := d.ProbeEnded(after(81), "a", Silent)
	is.True(changed)
	is.Equal(change, Change{Domain: "a", For: 81 * time.Millisecond})
	is.True(d.Unreachable("a"))
	is.True(!d.Isolated())
}

func TestOtherDomainsAreProbedOnceOneIsUnreachable(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(4)
	d := New(DefaultConfig(), servers)
	d.Sent(start, servers["a"][0])
	_, changes := probed(d, after(60), after(120), Silent)
	is.Equal(len(changes), 1)
	domains, changes := probed(d, after(121), after(181), Silent)
	is.Equal(domains, []string{"b", "c"})
	is.Equal(len(changes), 2)
	is.True(d.Isolated())
}

func TestSlowServersThatAcceptConnectionsAreReachable(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(4)
	d := New(DefaultConfig(), servers)
	for _, server := range servers["a"][1:] {
		d.Sent(start, server)
	}
	domains, changes := probed(d, after(60), after(63), Connected)
	is.Equal(domains, []string{"a"})
	is.Equal(len(changes), 0)
	is.Equal(len(d.Probes(after(200))), 0) // the next one is due 200 ms after the first
	domains, _ = probed(d, after(260), after(263), Connected)
	is.Equal(domains, []string{"a"})
}

// TestDoubtSpreadsToSilentDomainsOnly has one of the other domains respond after the attempts
// were sent.
func TestDoubtSpreadsToSilentDomainsOnly(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(4)
	d := New(DefaultConfig(), servers)
	d.Sent(start, servers["b"][0])
	for _, server := range servers["a"] {
		d.Sent(start, server)
	}
	d.Ended(after(10), servers["b"][0], Response)
	domains, _ := probed(d, after(40), after(41), Connected)
	is.Equal(domains, []string{"a", "c"})
}

func TestProbeOfAStalledHostDoesNotCount(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(4)
	d := New(DefaultConfig(), servers)
	d.Sent(start, servers["a"][0])
	_, changes := probed(d, after(60), after(360), Silent)
	is.Equal(len(changes), 0)
	is.True(!d.Unreachable("a"))
}

func TestRefusedConnectionsCountDespiteResponsesOnOpenOnes(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(6)
	d := New(DefaultConfig(), servers)
	for i := range 3 {
		d.Sent(after(time.Duration(i)), servers["a"][i])
		d.Ended(after(time.Duration(i)), servers["a"][i], NoConnection)
	}
	d.Sent(after(3), servers["a"][5])
	d.Ended(after(4), servers["a"][5], Response)
	_, changes := probed(d, after(5), after(6), Silent)
	is.Equal(len(changes), 1)
	is.True(changes[0].NewRefused)
	d.Sent(after(7), servers["a"][5])
	_, changed := d.Ended(after(8), servers["a"][5], Response) // on a kept connection
	is.True(!changed)
	is.True(d.Unreachable("a"))
	d.Sent(after(9), servers["a"][4])
	change, changed := d.Ended(after(10), servers["a"][4], Connection)
	is.True(changed)
	is.True(change.Reachable)
}

// TestRefusedProbeIsNotOutweighedByOpenConnections has other domains refuse new connections
// while attempts on kept ones still succeed there.
func TestRefusedProbeIsNotOutweighedByOpenConnections(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(6)
	d := New(DefaultConfig(), servers)
	d.Sent(start, servers["a"][0])
	probed(d, after(60), after(61), Refused)
	d.Sent(after(61), servers["b"][0])
	d.Ended(after(63), servers["b"][0], Response)
	_, changes := probed(d, after(62), after(64), Refused)
	is.Equal(len(changes), 2)
	is.True(d.Isolated())
	d.Sent(after(65), servers["b"][0])
	_, changed := d.Ended(after(66), servers["b"][0], Response)
	is.True(!changed)
}

func TestCrashedServersLeaveTheirDomainReachable(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(6)
	d := New(DefaultConfig(), servers)
	d.Sent(start, servers["a"][5])
	d.Ended(start, servers["a"][5], Response)
	for i := range 4 {
		d.Sent(after(1), servers["a"][i])
		d.Ended(after(2), servers["a"][i], NoConnection)
	}
	probes := d.Probes(after(3))
	is.Equal(len(probes), 1)
	is.Equal(probes[0].Servers[0].ID, "a5") // still running
	_, changed := d.ProbeEnded(after(4), "a", Connected)
	is.True(!changed)
	is.Equal(len(d.Probes(after(300))), 0)
}

func TestEndOfAPartitionIsNoticedByProbesAlone(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(4)
	d := New(DefaultConfig(), servers)
	d.Sent(start, servers["a"][0])
	probed(d, after(60), after(120), Silent)
	d.Ended(after(130), servers["a"][0], None)
	domains, changes := probed(d, after(260), after(320), Silent)
	is.Equal(domains, []string{"a", "b", "c"})
	is.Equal(len(changes), 2)
	domains, changes = probed(d, after(460), after(461), Connected)
	is.Equal(len(domains), 3)
	is.Equal(changes[0], Change{Domain: "a", Reachable: true, For: 341 * time.Millisecond})
	is.True(!d.Isolated())
	is.Equal(d.Ramp(after(461), "a"), 0.0)
	is.Equal(d.Ramp(after(711), "a"), 0.5)
	is.Equal(d.Ramp(after(961), "a"), 1.0)
	is.Equal(d.Ramp(after(461), "elsewhere"), 1.0)
}

func TestLateResponseShowsTheEndOfAPartition(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(4)
	d := New(DefaultConfig(), servers)
	d.Sent(start, servers["a"][0])
	probed(d, after(60), after(120), Silent)
	change, changed := d.Ended(after(150), servers["a"][0], Response)
	is.True(changed)
	is.True(change.Reachable)
}

func TestDisabledDetectorProbesNothing(t *testing.T) {
	is := is.New(t)
	servers := newDirectory(4)
	cfg := DefaultConfig()
	cfg.DoubtAfter = 0
	d := New(cfg, servers)
	d.Sent(start, servers["a"][0])
	_, ok := d.NextTimer()
	is.True(!ok)
	is.Equal(len(d.Probes(after(1000))), 0)
}
