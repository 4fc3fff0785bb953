package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/classifier"
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
