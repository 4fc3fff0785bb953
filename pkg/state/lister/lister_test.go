package lister

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
	"pgregory.net/rapid"
)

const testRetention = 2 * time.Second

var start = time.Unix(100, 0)

func live(id string, revision storer.Version) Registration {
	return Registration{ID: id, Revision: revision, Server: &Server{ID: id, Service: "s", Address: "1.2.3.4:5", Domain: "d", Slots: 2}}
}

func draining(id string, revision storer.Version) Registration {
	registration := live(id, revision)
	registration.Server.Draining = true
	return registration
}

func TestDrainingAndRemovedServersGetNoRequests(t *testing.T) {
	is := is.New(t)
	l := New(Config{Retention: testRetention})
	l.Apply(start, []Registration{live("a", 1), live("b", 2), live("c", 3)})
	is.Equal(len(l.Servers("s")), 3)
	is.Equal(l.Apply(start, []Registration{draining("a", 4), {ID: "b", Revision: 5}}), []string{"a", "b"})
	is.Equal(len(l.Servers("s")), 1)
	is.Equal(l.Servers("s")[0].ID, "c")
}

// TestRemovalWithTheRevisionOfTheLastWrite applies a removal whose event has the
// revision of the last write, in one page with that write.
func TestRemovalWithTheRevisionOfTheLastWrite(t *testing.T) {
	is := is.New(t)
	l := New(Config{Retention: testRetention})
	l.Apply(start, []Registration{live("a", 7), {ID: "a", Revision: 7}})
	is.Equal(l.UsableCount(), 0)
	l.Apply(start, []Registration{live("a", 7)})
	is.Equal(l.UsableCount(), 0) // the repeated write does not undo the removal
	l.Apply(start, []Registration{live("a", 9)})
	is.Equal(l.UsableCount(), 1)
}

// TestLapsedRegistrationsAreKeptForTheRetentionPeriod removes the registrations of two
// servers in the list after an outage; one of them is written again within the
// retention.
func TestLapsedRegistrationsAreKeptForTheRetentionPeriod(t *testing.T) {
	is := is.New(t)
	l := New(Config{Retention: testRetention})
	l.Apply(start, []Registration{live("a", 1), live("b", 2)})
	l.StoreRecovered(start)
	l.Apply(start, []Registration{{ID: "a", Revision: 10}, {ID: "b", Revision: 10}})
	is.Equal(l.UsableCount(), 2)
	l.Apply(start.Add(time.Second), []Registration{live("a", 11)})
	is.Equal(len(l.Expire(start.Add(testRetention-1))), 0)
	is.Equal(l.UsableCount(), 2)
	is.Equal(l.Expire(start.Add(testRetention)), []string{"b"})
	is.Equal(l.UsableCount(), 1)
	is.Equal(l.Apply(start.Add(3*time.Second), []Registration{{ID: "a", Revision: 12}}), []string{"a"})
	is.Equal(l.UsableCount(), 0) // a removal after the retention takes effect immediately
}

// TestDrainingAfterOutageTakesEffectImmediately marks a server as draining within
// the retention, which must not be taken for a lapse of its registration.
func TestDrainingAfterOutageTakesEffectImmediately(t *testing.T) {
	is := is.New(t)
	l := New(Config{Retention: testRetention})
	l.Apply(start, []Registration{live("a", 1)})
	l.StoreRecovered(start)
	l.Apply(start, []Registration{draining("a", 5)})
	is.Equal(l.UsableCount(), 0)
}

// TestOrderOfChangesDoesNotMatter applies the same changes twice in any order and
// expects the state of the greatest revisions.
func TestOrderOfChangesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var registrations []Registration
		newest := make(map[string]Registration)
		for revision := range storer.Version(rapid.IntRange(1, 20).Draw(t, "changes")) {
			id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id"))
			registration := rapid.SampledFrom([]Registration{live(id, revision+1), draining(id, revision+1), {ID: id, Revision: revision + 1}}).Draw(t, "entry")
			registrations = append(registrations, registration)
			newest[id] = registration
		}
		l := New(Config{Retention: testRetention})
		for _, registration := range rapid.Permutation(append(registrations, registrations...)).Draw(t, "order") {
			l.Apply(start, []Registration{registration})
		}
		for id, registration := range newest {
			usable := registration.Server != nil && !registration.Server.Draining
			if l.IsUsable(id) != usable {
				t.Fatalf("server %s: usable %v, expected %v", id, l.IsUsable(id), usable)
			}
		}
	})
}

const testQuarantine = 4 * time.Second

// newWithQuarantine returns a lister for the tests of rewinds.
func newWithQuarantine() *Lister {
	return New(Config{Retention: testRetention, Quarantine: testQuarantine})
}

// inEra returns a registration with its revision moved to an era.
func inEra(t *testing.T, era uint64, registration Registration) Registration {
	t.Helper()
	version, err := storer.NewVersion(era, registration.Revision.Revision())
	if err != nil {
		t.Fatal(err)
	}
	registration.Revision = version
	return registration
}

// TestRegistrationsLostInARewindAreKeptForTheRetentionPeriod rewinds the store to a
// copy without the registrations of two servers; one of them writes it again.
func TestRegistrationsLostInARewindAreKeptForTheRetentionPeriod(t *testing.T) {
	is := is.New(t)
	l := newWithQuarantine()
	l.Apply(start, []Registration{live("a", 101), live("b", 102), live("c", 3)})
	is.Equal(len(l.Apply(start, []Registration{inEra(t, 1, Registration{ID: "a", Revision: 50}), inEra(t, 1, Registration{ID: "b", Revision: 50}), inEra(t, 1, live("c", 3))})), 0)
	is.Equal(l.UsableCount(), 3)
	l.Apply(start.Add(time.Second), []Registration{inEra(t, 1, live("a", 51))}) // a revision below the one lost in the rewind
	is.Equal(l.Expire(start.Add(testRetention)), []string{"b"})
	is.Equal(l.UsableCount(), 2)
	is.Equal(l.Apply(start.Add(3*time.Second), []Registration{inEra(t, 1, Registration{ID: "a", Revision: 52})}), []string{"a"})
}

// TestDrainingServerStaysDrainingAfterARewind rewinds the store to a copy from before a
// server was marked as draining.
func TestDrainingServerStaysDrainingAfterARewind(t *testing.T) {
	is := is.New(t)
	l := newWithQuarantine()
	l.Apply(start, []Registration{draining("a", 101)})
	l.Apply(start, []Registration{inEra(t, 1, live("a", 3))})
	is.True(!l.IsUsable("a"))
	restarted := live("a", 60)
	restarted.Server.StartedAtMillis = 7
	l.Apply(start, []Registration{inEra(t, 1, restarted)})
	is.True(l.IsUsable("a")) // another incarnation
}

// TestRemovedServerIsQuarantinedAfterARewind rewinds the store to a copy that still has
// the registrations of removed servers. They are quarantined, since the servers may
// have stopped or be running.
func TestRemovedServerIsQuarantinedAfterARewind(t *testing.T) {
	is := is.New(t)
	l := newWithQuarantine()
	for _, id := range []string{"a", "b", "c"} {
		l.Apply(start, []Registration{live(id, 1), {ID: id, Revision: 100}})
		l.Apply(start, []Registration{inEra(t, 1, live(id, 1))})
		is.True(!l.IsUsable(id))
	}
	is.Equal(l.Apply(start, []Registration{inEra(t, 1, Registration{ID: "a", Revision: 55})}), []string{"a"})
	l.Apply(start, []Registration{inEra(t, 1, live("b", 56))}) // it has written its registration again
	is.True(l.IsUsable("b"))
	is.Equal(len(l.Expire(start.Add(testQuarantine-1))), 0)
	is.Equal(l.Expire(start.Add(testQuarantine)), []string{"c"})
	is.True(l.IsUsable("c"))
	is.True(!l.IsUsable("a"))
}

// TestServerThatAnnouncesDrainingGetsNoRequests marks a server as draining by its own
// announcement while its registration still shows it as live.
func TestServerThatAnnouncesDrainingGetsNoRequests(t *testing.T) {
	is := is.New(t)
	l := newWithQuarantine()
	l.Apply(start, []Registration{live("a", 1), live("b", 2)})
	is.True(l.MarkDraining("a", 0))
	is.True(!l.MarkDraining("a", 0))
	is.True(!l.MarkDraining("b", 7)) // not the registered incarnation
	is.True(!l.MarkDraining("x", 0))
	is.Equal(l.UsableCount(), 1)
	l.Apply(start, []Registration{live("a", 3)})
	l.Apply(start, []Registration{inEra(t, 1, live("a", 2))})
	is.True(!l.IsUsable("a"))
	restarted := live("a", 9)
	restarted.Server.StartedAtMillis = 7
	l.Apply(start, []Registration{inEra(t, 1, restarted)})
	is.True(l.IsUsable("a"))
}

func TestEvacuatedServersGetNoRequests(t *testing.T) {
	is := is.New(t)
	l := New(Config{Retention: testRetention})
	far := live("c", 3)
	far.Server.Domain = "e"
	l.Apply(start, []Registration{live("a", 1), draining("b", 2), far})
	is.Equal(l.SetEvacuated([]string{"e", "unknown"}), []string{"c"})
	is.Equal(len(l.Servers("s")), 1)
	is.Equal(l.Domains(), []string{"d"})
	is.Equal(len(l.InDomain("e")), 0)
	is.Equal(len(l.ReachableByDomain()["e"]), 1)
	is.True(!l.IsUsable("c"))

	// A server that is registered meanwhile, or has changed, gets none either.
	moved := live("a", 4)
	moved.Server.Domain = "e"
	is.Equal(l.Apply(start, []Registration{moved}), []string{"a"})
	is.Equal(l.UsableCount(), 0)
	is.Equal(len(l.SetEvacuated([]string{"e"})), 0)

	is.Equal(l.SetEvacuated([]string{"d"}), []string{"a", "c"})
	is.Equal(len(l.Servers("s")), 2)
	is.True(!l.Evacuated("e"))
}
