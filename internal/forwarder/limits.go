package forwarder

import (
	"fmt"
	"net/http"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/allotter"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
)

// limitHeader has one line for each server because of whose limit a slice lacks a shard:
// the server's start time in milliseconds, its limit in requests a second, the age of
// the limit in milliseconds and the server's ID.
const limitHeader = "X-Rhubarbpost-Limit"

// maxLimitRate bounds the limits that other hosts tell, in requests a second.
const maxLimitRate = 1e9

// tokensAnswered has the answers to the asks of this host.
type tokensAnswered struct {
	grants     []allotter.Grant
	unanswered []allotter.Ask
}

// limitNotice is a limit that a gathering host has told.
type limitNotice struct {
	incarnation allotter.Incarnation
	// rate is in requests per second, age the time since the server announced it.
	rate float64
	age  time.Duration
	// host is the name of the gathering host.
	host string
}

// hostCount is a changed number of hosts.
type hostCount struct{ n int }

func (tokensAnswered) engineEvent() {}
func (limitNotice) engineEvent()    {}
func (hostCount) engineEvent()      {}

// stepLimits handles the events that concern limits.
func (e *engine) stepLimits(now time.Time, item event) {
	switch item := item.(type) {
	case tokensAnswered:
		e.addTokens(now, item)
	case limitNotice:
		e.hearLimit(now, item)
	case hostCount:
		e.machine.SetHosts(item.n)
	}
}

// askForTokens sends the asks that are due, one round at a time.
func (e *engine) askForTokens(now time.Time) {
	if e.asking {
		return
	}
	asks := e.machine.Asks(now)
	if len(asks) == 0 {
		return
	}
	e.asking = true
	e.exchanges.Go(func() {
		grants, unanswered := e.askHosts(e.ctx, asks)
		e.push(tokensAnswered{grants, unanswered})
	})
}

// addTokens applies the answers of other hosts.
func (e *engine) addTokens(now time.Time, item tokensAnswered) {
	e.asking = false
	for _, update := range e.machine.Grant(now, item.grants, item.unanswered) {
		e.limitChanged(update, "peer")
	}
	e.act(e.machine.Step(now, &scatterer.TokensAsked{}))
}

// processLimit records the limit that a server announces in its answer.
func (e *engine) processLimit(server *lister.Server, a *Answer) {
	now := time.Now()
	if a.LimitErr != nil && e.machine.RejectLimit(now, server) {
		e.log.Warn(logger.LimitRejected, "server", server.ID, "domain", server.Domain, "error", a.LimitErr)
	}
	if a.Limit == nil {
		return
	}
	change, usage := e.machine.Limit(now, server, *a.Limit)
	incarnation := allotter.Incarnation{Server: server.ID, StartedAtMillis: server.StartedAtMillis}
	e.limitChanged(allotter.Update{Incarnation: incarnation, Change: change, Limit: *a.Limit, Usage: usage}, "server")
}

// limitsOf returns the limits because of which a slice lacks sub-requests.
func (e *engine) limitsOf(r *arrival, missing []scatterer.MissingSubRequest) []limitNotice {
	if !r.slice {
		return nil
	}
	var notices []limitNotice
	now := time.Now()
	for _, sub := range missing {
		if sub.Code != classifier.LimitReached {
			continue
		}
		for _, server := range e.servers.Servers(sub.Service) {
			limit, age, ok := e.machine.Announced(now, server)
			if ok {
				incarnation := allotter.Incarnation{Server: server.ID, StartedAtMillis: server.StartedAtMillis}
				notices = append(notices, limitNotice{incarnation: incarnation, rate: limit.Rate, age: age})
			}
		}
	}
	return notices
}

// hearLimit records a limit that a gathering host has told.
func (e *engine) hearLimit(now time.Time, item limitNotice) {
	limit := allotter.Limit{Stated: true, Rate: item.rate}
	change, usage := e.machine.HearLimit(now, item.incarnation, limit, item.age)
	e.limitChanged(allotter.Update{Incarnation: item.incarnation, Change: change, Limit: limit, Usage: usage}, item.host)
}

// addLimits adds the limits because of which a slice lacks shards to the headers of its
// answer, so that the other host sends the requests for them by its own tokens.
func addLimits(h http.Header, limits []limitNotice) {
	for _, l := range limits {
		h.Add(limitHeader, fmt.Sprintf("%d %g %d %s", l.incarnation.StartedAtMillis, l.rate, l.age.Milliseconds(), l.incarnation.Server))
	}
}

// takeLimits removes the limits that another host has told from the headers of its answer
// and returns them, and the lines that can't be read.
func takeLimits(h http.Header, host string) (notices []limitNotice, unread []string) {
	for _, line := range h.Values(limitHeader) {
		var ageText string
		l := limitNotice{host: host}
		_, err := fmt.Sscanf(line, "%d %g %s %s", &l.incarnation.StartedAtMillis, &l.rate, &ageText, &l.incarnation.Server)
		if err == nil {
			l.age, err = parseMillis(ageText)
		}
		if err != nil || !(l.rate >= 0) || l.rate > maxLimitRate {
			unread = append(unread, line)
			continue
		}
		notices = append(notices, l)
	}
	h.Del(limitHeader)
	return notices, unread
}

// limitChanged logs a change of a limit; source is who has told it.
func (e *engine) limitChanged(update allotter.Update, source string) {
	event := logger.LimitChanged
	switch update.Change {
	case allotter.Unchanged:
		return
	case allotter.Started:
		event = logger.LimitStarted
	case allotter.Ended:
		event = logger.LimitEnded
	case allotter.Changed:
	}
	e.metrics.limited.Set(float64(e.machine.LimitedServers()))
	e.log.Info(event, "server", update.Server, "born", update.StartedAtMillis, "source", source,
		"perSecond", update.Limit.Rate, "before", update.Usage.Limit.Rate, "attempts", update.Usage.Attempts, "forMillis", update.Usage.For.Milliseconds())
}
