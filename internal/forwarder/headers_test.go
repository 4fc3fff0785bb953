package forwarder

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/scatterer"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/lister"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/matcher"
)

func TestUnreadableHeadersOfPeersAreReturned(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	for _, line := range []string{"12 s1", "x s2"} {
		h.Add(drainingHeader, line)
	}
	servers, unread := takeDraining(h, "peer")
	is.Equal(servers, []drainNotice{{id: "s1", startedAtMillis: 12, host: "peer"}})
	is.Equal(unread, []string{"x s2"})
	for _, line := range []string{"1 2.5 30 s1", "1 -2 30 s2", "many"} {
		h.Add(limitHeader, line)
	}
	limits, unread := takeLimits(h, "peer")
	is.Equal(len(limits), 1)
	is.Equal(limits[0].age, 30*time.Millisecond)
	is.Equal(unread, []string{"1 -2 30 s2", "many"})
	for _, line := range []string{"40 h1", "-1 h2", "h3"} {
		h.Add(isolatedHeader, line)
	}
	d := newDelegate(Config{})
	is.Equal(d.takeIsolated(h), []string{"-1 h2", "h3"})
	is.True(d.peers.Avoided(time.Now(), "h1"))
}

func TestTermsOfARelayPassBetweenHosts(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	want := relayTerms{relayed: true, maxAttempts: 3, repeat: true}
	h.Set(relayHeader, want.String())
	got, err := takeRelayTerms(h)
	is.NoErr(err)
	is.Equal(got, want)
	got, err = takeRelayTerms(h) // taken out
	is.NoErr(err)
	is.True(!got.relayed)
	setResult(h, classifier.NewFailure(classifier.NoServer, "").WithRetryAfter(700*time.Millisecond))
	code, retryAfter := takeResult(h)
	is.Equal(code, classifier.NoServer)
	is.Equal(retryAfter, 700*time.Millisecond)
	code, _ = takeResult(h)
	is.Equal(code, classifier.Code(0))
	h.Set(spentHeader, "35")
	is.Equal(takeSpent(h), 35*time.Millisecond)
	is.Equal(takeSpent(h), time.Duration(0)) // a host of an older build
}

// TestOddTimesOfPeersAreRejected checks times and limits that other hosts state.
func TestOddTimesOfPeersAreRejected(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "-1", "9223372036854775807", "1e3", "86400001", "x"} {
		age, err := parseMillis(text)
		is.True(err != nil)
		is.Equal(age, time.Duration(0))
	}
	h := http.Header{}
	lines := []string{"1 +Inf 30 s1", "1 NaN 30 s1", "1 1e300 30 s1", "1 5 -30 s1", "1 5 9223372036854775807 s1"}
	for _, line := range lines {
		h.Add(limitHeader, line)
	}
	limits, unread := takeLimits(h, "peer")
	is.Equal(len(limits), 0)
	is.Equal(unread, lines)
	for _, text := range []string{"1000 5", "0 5", "x 5", "99999999999999999999 5"} {
		h.Set(resultHeader, text)
		code, _ := takeResult(h)
		is.Equal(code, classifier.Code(0)) // no failure
	}
	for _, c := range []registration{
		{Domain: "d", Control: "127.0.0.1:99999", Capacity: 1}, {Domain: "d", Control: "127.0.0.1:80", Capacity: -1},
		{Domain: "d", Control: "127.0.0.1:80", Capacity: 1e300}, {Domain: "d", Control: "127.0.0.1:80", Capacity: 1, Link: -3}, {Control: "127.0.0.1:80", Capacity: 1},
	} {
		is.True(c.check() != nil)
	}
	is.NoErr(registration{Domain: "d", Control: "127.0.0.1:80", Capacity: 1}.check())
}

// sliceArrival returns a query over some shards that another host has sent.
func sliceArrival(shards int) *arrival {
	target := &matcher.Sharded{MinCoverage: 0.5, Rows: 3}
	for i := range shards {
		target.Services = append(target.Services, fmt.Sprint("s", i))
	}
	return &arrival{id: 1, version: 3, route: &matcher.Route{
		Name: "r", Idempotent: true, Attempts: 2, Timeout: time.Second, Objective: 100 * time.Millisecond, Target: target,
	}}
}

// noServers lists no backend server.
type noServers struct{}

func (noServers) Servers(string) []*lister.Server  { return nil }
func (noServers) InDomain(string) []*lister.Server { return nil }
func (noServers) Domains() []string                { return nil }

// TestSliceThatNeedsMoreThanItsShardsIsDeclined guards against a header of another host that ends
// the process.
func TestSliceThatNeedsMoreThanItsShardsIsDeclined(t *testing.T) {
	is := is.New(t)
	for needed, valid := range map[string]bool{"0": true, "2": true, "3": false, "100": false, "-1": false, "": false, "1e9": false} {
		a := sliceArrival(5)
		err := a.restrictTo("1,3", needed, 3)
		is.Equal(err == nil, valid)
	}
}

// FuzzPeerHeaders reads the headers of another host, and runs the slice that they make.
func FuzzPeerHeaders(f *testing.F) {
	f.Add("0,1,2", "2", "2 1", "30", "12 s1", "1 2.5 30 s2", "40 h1", "1300 500")
	f.Add("4", "100", "0 0", "-1", "x", "1 NaN 1 s", "-9 h", "1000 -1")
	f.Fuzz(func(t *testing.T, indexes, needed, relay, spent, draining, limit, isolated, result string) {
		h := http.Header{relayHeader: {relay}, spentHeader: {spent}, drainingHeader: {draining}, limitHeader: {limit}, isolatedHeader: {isolated}, resultHeader: {result}}
		terms, _ := takeRelayTerms(h)
		if takeSpent(h) < 0 {
			t.Fatal("negative time")
		}
		takeDraining(h, "peer")
		limits, _ := takeLimits(h, "peer")
		for _, l := range limits {
			if !(l.rate >= 0) || l.age < 0 {
				t.Fatalf("limit %v of age %v", l.rate, l.age)
			}
		}
		newDelegate(Config{}).takeIsolated(h)
		code, retryAfter := takeResult(h)
		if (code != 0 && code.Definition().Status < http.StatusBadRequest) || retryAfter < 0 {
			t.Fatalf("result %v, Retry-After %v", code, retryAfter)
		}
		a := sliceArrival(5)
		if a.restrictTo(indexes, needed, 3) != nil {
			return
		}
		m := scatterer.New(Settings{Domain: "d"}.scatterer(), noServers{})
		m.Step(time.Unix(100, 0), &scatterer.Arrived{Request: 1, Route: a.route, CallerTimeLeft: time.Second, Slice: true, MaxAttempts: terms.maxAttempts})
		if m.Len() != 0 {
			t.Fatal("a slice without servers isn't refused")
		}
	})
}
