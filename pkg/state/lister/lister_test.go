package lister

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testRetention = 2 * time.Second

var start = time.Unix(100, 0)

func live(id string, revision uint64) Entry {
	return Entry{ID: id, Revision: revision, Server: &Server{ID: id, Service: "s", Address: "1.2.3.4:5", Domain: "d", Slots: 2}}
}

func draining(id string, revision uint64) Entry {
	entry := live(id, revision)
	entry.Server.Draining = true
	return entry
}

func TestDrainingAndRemovedServersGetNoWork(t *testing.T) {
	is := is.New(t)
	l := New(Config{Retention: testRetention})
	l.Apply(start, []Entry{live("a", 1), live("b", 2), live("c", 3)})
	is.Equal(len(l.Servers("s")), 3)
	is.Equal(l.Apply(start, []Entry{draining("a", 4), {ID: "b", Revision: 5}}), []string{"a", "b"})
	is.Equal(len(l.Servers("s")), 1)
	is.Equal(l.Servers("s")[0].ID, "c")
}

// TestRemovalWithTheRevisionOfTheLastWrite is a removal whose event bears the
// object as it was last written, in one page with that write.
func TestRemovalWithTheRevisionOfTheLastWrite(t *testing.T) {
	is := is.New(t)
	l := New(Config{Retention: testRetention})
	l.Apply(start, []Entry{live("a", 7), {ID: "a", Revision: 7}})
	is.Equal(l.Usable(), 0)
	l.Apply(start, []Entry{live("a", 7)})
	is.Equal(l.Usable(), 0) // the write does not come back
	l.Apply(start, []Entry{live("a", 9)})
	is.Equal(l.Usable(), 1)
}

// TestLapsedEntriesAreKeptForTheRetention lets a list after an outage lack two
// servers, of which one comes back.
func TestLapsedEntriesAreKeptForTheRetention(t *testing.T) {
	is := is.New(t)
	l := New(Config{Retention: testRetention})
	l.Apply(start, []Entry{live("a", 1), live("b", 2)})
	l.StoreReturned(start)
	l.Apply(start, []Entry{{ID: "a", Revision: 10}, {ID: "b", Revision: 10}})
	is.Equal(l.Usable(), 2)
	l.Apply(start.Add(time.Second), []Entry{live("a", 11)})
	is.Equal(len(l.Expire(start.Add(testRetention-1))), 0)
	is.Equal(l.Usable(), 2)
	is.Equal(l.Expire(start.Add(testRetention)), []string{"b"})
	is.Equal(l.Usable(), 1)
	is.Equal(l.Apply(start.Add(3*time.Second), []Entry{{ID: "a", Revision: 12}}), []string{"a"})
	is.Equal(l.Usable(), 0) // a removal after that time holds at once
}

// TestDrainingInAnOutageHoldsAtOnce tells a lapse from a server's own word.
func TestDrainingInAnOutageHoldsAtOnce(t *testing.T) {
	is := is.New(t)
	l := New(Config{Retention: testRetention})
	l.Apply(start, []Entry{live("a", 1)})
	l.StoreReturned(start)
	l.Apply(start, []Entry{draining("a", 5)})
	is.Equal(l.Usable(), 0)
}

// TestOrderOfChangesDoesNotMatter applies the same changes in any order and
// number and expects the state of the greatest revisions.
func TestOrderOfChangesDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var entries []Entry
		newest := make(map[string]Entry)
		for revision := range uint64(rapid.IntRange(1, 20).Draw(t, "changes")) {
			id := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "id"))
			entry := rapid.SampledFrom([]Entry{live(id, revision+1), draining(id, revision+1), {ID: id, Revision: revision + 1}}).Draw(t, "entry")
			entries = append(entries, entry)
			newest[id] = entry
		}
		l := New(Config{Retention: testRetention})
		for _, entry := range rapid.Permutation(append(entries, entries...)).Draw(t, "order") {
			l.Apply(start, []Entry{entry})
		}
		for id, entry := range newest {
			usable := entry.Server != nil && !entry.Server.Draining
			if l.Held(id) != usable {
				t.Fatalf("server %s: usable %v, expected %v", id, l.Held(id), usable)
			}
		}
	})
}
