package watcher

import (
	"errors"
	"time"

	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

// Config holds the times of a watcher.
type Config struct {
	// RetryMin and RetryMax bound the delay after a failed call, which doubles with
	// each failure.
	RetryMin time.Duration
	RetryMax time.Duration
	// WatchDelay is the delay of the next watch after a page with changes, so that
	// changes in quick succession arrive in one page, and after an answer with an
	// older version than a previous one.
	WatchDelay time.Duration
}

// DefaultWatchDelay is the default of Config.WatchDelay.
const DefaultWatchDelay = 300 * time.Millisecond

// DefaultConfig returns delays that detect the recovery of the store well within
// the time in which a change must take effect.
func DefaultConfig() Config {
	return Config{RetryMin: 100 * time.Millisecond, RetryMax: 800 * time.Millisecond, WatchDelay: DefaultWatchDelay}
}

// Event is an input of the machine.
type Event interface{ watcherEvent() }

// Listed is the result of a List.
type Listed struct {
	Page storer.Page
	Err  error
}

// Changed is the result of a Watch.
type Changed struct {
	Page storer.Page
	Err  error
}

// Rewound reports that the store was restored from an older copy: objects read
// before may no longer exist, and revisions are assigned again.
type Rewound struct{}

// TimerFired reports that the delay of a Wait has passed. It is also the first event.
type TimerFired struct{}

func (*Listed) watcherEvent()     {}
func (*Changed) watcherEvent()    {}
func (*Rewound) watcherEvent()    {}
func (*TimerFired) watcherEvent() {}

// Action is an output of the machine.
type Action interface{ watcherAction() }

// List lists all objects under the prefix.
type List struct {
	// First is set if there was no list before. A stale list suffices then, because
	// the watch continues from it; a later list has to include the missed changes.
	First bool
}

// Watch waits for changes after a version.
type Watch struct {
	After storer.Version
}

// Wait delays the next call.
type Wait struct {
	Delay time.Duration
	// Retry is set if the last call failed.
	Retry bool
}

// Replace replaces the whole content by a page.
type Replace struct {
	Page storer.Page
	// Outage is how long the store was unreachable before, or 0.
	Outage time.Duration
	// Rewound is set if the store was rewound since the last list.
	Rewound bool
}

// Merge applies a page of changes to the content.
type Merge struct {
	Page storer.Page
}

// Lost reports the first failed call of an outage of the store.
type Lost struct {
	Err error
}

func (*List) watcherAction()    {}
func (*Watch) watcherAction()   {}
func (*Wait) watcherAction()    {}
func (*Replace) watcherAction() {}
func (*Merge) watcherAction()   {}
func (*Lost) watcherAction()    {}

// Machine follows one prefix.
type Machine struct {
	cfg Config
	// after is the newest version that a list or watch has returned.
	after storer.Version
	// listed is set while the content is complete up to the version after.
	listed bool
	// everListed is set once a list has succeeded.
	everListed bool
	// historyGone is set from a watch that failed for lack of history in the store
	// until the next successful watch.
	historyGone bool
	retryDelay  time.Duration
	// lostAt is the time of the first failed call of an outage, or zero.
	lostAt time.Time
}

// New returns a machine whose first call is a list; the first event must be TimerFired.
func New(cfg Config) *Machine {
	return &Machine{cfg: cfg}
}

// Step applies an event and returns the actions in order; the last one is the next call or a wait.
func (m *Machine) Step(now time.Time, event Event) []Action {
	switch e := event.(type) {
	case *Listed:
		if e.Err != nil {
			return m.onFailed(now, e.Err)
		}
		return m.onListed(now, e.Page)
	case *Changed:
		if e.Err != nil {
			return m.onFailed(now, e.Err)
		}
		return m.onChanged(e.Page)
	case *Rewound:
		return m.onRewound()
	}
	return []Action{m.next()}
}

func (m *Machine) next() Action {
	if m.listed {
		return &Watch{After: m.after}
	}
	return &List{First: !m.everListed}
}

func (m *Machine) onListed(now time.Time, page storer.Page) []Action {
	if page.Version.Era() < m.after.Era() {
		return m.onRewound()
	}
	replace := &Replace{Page: page, Rewound: m.everListed && page.Version.Era() > m.after.Era()}
	if !m.lostAt.IsZero() {
		replace.Outage = now.Sub(m.lostAt)
	}
	gone := m.historyGone
	m.recordSuccess(page)
	m.historyGone = gone
	m.listed, m.everListed = true, true
	return []Action{replace, m.next()}
}

func (m *Machine) onChanged(page storer.Page) []Action {
	if page.Version.Era() != m.after.Era() {
		return m.onRewound()
	}
	// A lagging replica of the store may answer immediately when asked to watch after
	// a version that it has not reached yet, so the next watch is delayed.
	lags := page.Version < m.after
	m.recordSuccess(page)
	if (len(page.Objects) > 0 || lags) && m.cfg.WatchDelay > 0 {
		return []Action{&Merge{Page: page}, &Wait{Delay: m.cfg.WatchDelay}}
	}
	return []Action{&Merge{Page: page}, m.next()}
}

// onRewound lists again after a delay, because a lagging replica of the store may
// not have the new era yet.
func (m *Machine) onRewound() []Action {
	m.listed = false
	return []Action{&Wait{Delay: m.cfg.RetryMin}}
}

func (m *Machine) recordSuccess(page storer.Page) {
	m.lostAt = time.Time{}
	m.historyGone = false
	m.retryDelay = 0
	m.after = max(m.after, page.Version)
}

// onFailed schedules a list. It is immediate if the store no longer has the history
// for the watch, unless an earlier watch failed for this reason and none has succeeded
// since; in all other cases it is delayed. A lost connection needs a list too, because
// registrations may have expired in the meantime.
func (m *Machine) onFailed(now time.Time, err error) []Action {
	m.listed = false
	if errors.Is(err, storer.ErrHistoryGone) && !m.historyGone {
		m.historyGone = true
		return []Action{m.next()}
	}
	var actions []Action
	if m.lostAt.IsZero() {
		m.lostAt = now
		actions = append(actions, &Lost{Err: err})
	}
	m.retryDelay = min(max(2*m.retryDelay, m.cfg.RetryMin), m.cfg.RetryMax)
	return append(actions, &Wait{Delay: m.retryDelay, Retry: true})
}
