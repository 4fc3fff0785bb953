package watcher

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

var start = time.Unix(100, 0)

// last returns the last action, which is the next call or a wait.
func last(actions []Action) Action {
	return actions[len(actions)-1]
}

func TestListThenWatchFromTheList(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	is.Equal(m.Step(start, &TimerFired{}), []Action{&List{First: true}})
	page := storer.Page{Version: 7}
	is.Equal(m.Step(start, &Listed{Page: page}), []Action{&Replace{Page: page}, &Watch{After: 7}})
	page = storer.Page{Version: 9}
	is.Equal(m.Step(start, &Changed{Page: page}), []Action{&Merge{Page: page}, &Watch{After: 9}})
	page = storer.Page{Version: 8}
	is.Equal(last(m.Step(start, &Changed{Page: page})), &Wait{Delay: DefaultConfig().WatchDelay}) // from a lagging replica
	is.Equal(m.Step(start, &TimerFired{}), []Action{&Watch{After: 9}})                            // the version never decreases
}

// TestWatchIsDelayedAfterChanges checks that the next watch is delayed after a
// change, so that changes in quick succession arrive in one page.
func TestWatchIsDelayedAfterChanges(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	m.Step(start, &TimerFired{})
	m.Step(start, &Listed{Page: storer.Page{Version: 7}})
	page := storer.Page{Version: 9, Objects: []storer.Object{{Key: "a", Version: 9}}}
	is.Equal(m.Step(start, &Changed{Page: page}), []Action{&Merge{Page: page}, &Wait{Delay: DefaultConfig().WatchDelay}})
	is.Equal(m.Step(start, &TimerFired{}), []Action{&Watch{After: 9}})
}

// TestMissingHistoryDoesNotCauseListLoop guards against a loop of lists without a
// delay when every watch fails for lack of history.
func TestMissingHistoryDoesNotCauseListLoop(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	m.Step(start, &TimerFired{})
	m.Step(start, &Listed{Page: storer.Page{Version: 7}})
	is.Equal(m.Step(start, &Changed{Err: storer.ErrHistoryGone}), []Action{&List{}})
	is.Equal(last(m.Step(start, &Listed{Page: storer.Page{Version: 8}})), &Watch{After: 8})
	_, waits := last(m.Step(start, &Changed{Err: storer.ErrHistoryGone})).(*Wait)
	is.True(waits)
}

// TestOutageIsReportedWithDuration checks that an outage is reported with its
// duration and that the retry delay doubles up to its maximum.
func TestOutageIsReportedWithDuration(t *testing.T) {
	is := is.New(t)
	m := New(Config{RetryMin: 100 * time.Millisecond, RetryMax: 300 * time.Millisecond})
	m.Step(start, &TimerFired{})
	m.Step(start, &Listed{Page: storer.Page{Version: 7}})
	lost := errors.New("reset")
	is.Equal(m.Step(start, &Changed{Err: lost}), []Action{&Lost{Err: lost}, &Wait{Delay: 100 * time.Millisecond, Retry: true}})
	is.Equal(m.Step(start, &TimerFired{}), []Action{&List{}}) // registrations may have expired
	is.Equal(m.Step(start, &Listed{Err: lost}), []Action{&Wait{Delay: 200 * time.Millisecond, Retry: true}})
	m.Step(start, &TimerFired{})
	is.Equal(m.Step(start, &Listed{Err: lost}), []Action{&Wait{Delay: 300 * time.Millisecond, Retry: true}})
	m.Step(start, &TimerFired{})
	page := storer.Page{Version: 20}
	is.Equal(m.Step(start.Add(time.Second), &Listed{Page: page})[0], &Replace{Page: page, Outage: time.Second})
	is.Equal(m.Step(start, &Changed{Err: lost})[1], &Wait{Delay: 100 * time.Millisecond, Retry: true}) // the delay restarts at its minimum
}

// versionIn returns the version of a revision in an era.
func versionIn(t *testing.T, era, revision uint64) storer.Version {
	t.Helper()
	version, err := storer.NewVersion(era, revision)
	if err != nil {
		t.Fatal(err)
	}
	return version
}

// TestRewoundStoreIsListedAgain guards against merging changes across a
// rewind: a watch is answered in the next era, with a revision that the store has
// assigned before.
func TestRewoundStoreIsListedAgain(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	m.Step(start, &TimerFired{})
	m.Step(start, &Listed{Page: storer.Page{Version: 70}})
	page := storer.Page{Version: versionIn(t, 1, 71), Objects: []storer.Object{{Key: "a", Version: versionIn(t, 1, 71)}}}
	is.Equal(m.Step(start, &Changed{Page: page}), []Action{&Wait{Delay: DefaultConfig().RetryMin}}) // the page lacks earlier changes of the era
	is.Equal(m.Step(start, &TimerFired{}), []Action{&List{}})
	old := storer.Page{Version: 72}
	page = storer.Page{Version: versionIn(t, 1, 40)}
	is.Equal(m.Step(start, &Listed{Page: page}), []Action{&Replace{Page: page, Rewound: true}, &Watch{After: versionIn(t, 1, 40)}})
	m.Step(start, &Rewound{})
	is.Equal(m.Step(start, &TimerFired{}), []Action{&List{}})
	is.Equal(m.Step(start, &Listed{Page: old}), []Action{&Wait{Delay: DefaultConfig().RetryMin}}) // from a lagging replica
	is.Equal(m.Step(start, &TimerFired{}), []Action{&List{}})
}

// TestFirstListIsNoRewind checks that a first list in a later era is not reported
// as a rewind.
func TestFirstListIsNoRewind(t *testing.T) {
	is := is.New(t)
	m := New(DefaultConfig())
	m.Step(start, &TimerFired{})
	page := storer.Page{Version: versionIn(t, 3, 40)}
	is.Equal(m.Step(start, &Listed{Page: page})[0], &Replace{Page: page})
}
