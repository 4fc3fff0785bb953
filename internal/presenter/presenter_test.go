package presenter

import (
	"context"
	"html"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/applier"
	"github.com/rhubarbpost/rhubarbpost/internal/lab/provider"
	"github.com/rhubarbpost/rhubarbpost/internal/loader"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/configurer"
)

const trusted = "127.0.0.1"

type console struct {
	t       *testing.T
	handler http.Handler
	applier *applier.Applier
	remote  string
	origin  string
}

func newConsole(t *testing.T) *console {
	t.Helper()
	a := applier.New(provider.NewStore())
	document := configurer.Template(configurer.KindQuery)
	document.Service = "portal"
	_, err := a.Apply(context.Background(), applier.Request{Document: document, Author: "first", Reason: "begin"})
	if err != nil {
		t.Fatal(err)
	}
	settings := loader.Defaults()
	settings.Console.TrustedProxies = []string{trusted}
	handler, err := New(Config{Applier: a, Settings: settings, Client: http.DefaultClient, Logger: logger.Discard()})
	if err != nil {
		t.Fatal(err)
	}
	return &console{t: t, handler: handler, applier: a, remote: trusted}
}

func (c *console) do(method, path string, values url.Values) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(values.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	r.Header.Set("X-Operator", "mika")
	if c.origin != "" {
		r.Header.Set("Origin", c.origin)
	}
	r.RemoteAddr = c.remote + ":1234"
	w := httptest.NewRecorder()
	c.handler.ServeHTTP(w, r)
	return w
}

var input = regexp.MustCompile(`name="([^"]+)" value="([^"]*)"`)

// inputs returns the values of all form inputs of a page.
func inputs(w *httptest.ResponseRecorder) url.Values {
	values := url.Values{}
	for _, match := range input.FindAllStringSubmatch(w.Body.String(), -1) {
		values.Set(match[1], html.UnescapeString(match[2]))
	}
	return values
}

// TestAcceptedFormCreatesRevision submits a form, reviews and accepts it, and
// checks that a repeat, a change based on an old revision and a restore are
// handled.
func TestAcceptedFormCreatesRevision(t *testing.T) {
	is := is.New(t)
	c := newConsole(t)
	form := inputs(c.do(http.MethodGet, "/services/portal", nil))
	form.Set("field.deadline", "700ms")
	form.Set("reason", "faster <b>answers</b>")

	page := c.do(http.MethodPost, "/review", form)
	is.Equal(page.Code, http.StatusOK)
	is.True(strings.Contains(page.Body.String(), "700ms"))
	is.True(!strings.Contains(page.Body.String(), "<b>answers")) // input of operators is escaped
	accepted := c.do(http.MethodPost, "/accept", inputs(page))
	is.Equal(accepted.Code, http.StatusSeeOther)
	current, err := c.applier.Current(context.Background(), "portal")
	is.NoErr(err)
	is.Equal(current.Revision, uint64(2))
	is.Equal(current.Author, "mika")

	repeated := c.do(http.MethodPost, "/accept", inputs(page))
	is.Equal(repeated.Code, http.StatusSeeOther) // accepting the same document again makes no revision
	form.Set("field.deadline", "800ms")
	conflicting := c.do(http.MethodPost, "/accept", inputs(c.do(http.MethodPost, "/review", form)))
	is.Equal(conflicting.Code, http.StatusConflict) // based on revision 1

	old := c.do(http.MethodGet, "/services/portal/history/1", nil)
	restored := c.do(http.MethodPost, "/accept", inputs(c.do(http.MethodPost, "/review", inputs(old))))
	is.Equal(restored.Code, http.StatusSeeOther)
	current, err = c.applier.Current(context.Background(), "portal")
	is.NoErr(err)
	is.Equal(current.Revision, uint64(3)) // a restored document is a new revision
}

func TestInvalidFormNamesTheField(t *testing.T) {
	is := is.New(t)
	c := newConsole(t)
	form := inputs(c.do(http.MethodGet, "/services/portal", nil))
	form.Set("field.deadline", "soon")
	page := c.do(http.MethodPost, "/review", form)
	is.Equal(page.Code, http.StatusUnprocessableEntity)
	is.True(strings.Contains(page.Body.String(), "invalid duration"))
	is.Equal(inputs(page).Get("field.deadline"), "soon") // the form keeps the invalid input
}

func TestUntrustedRequestsChangeNothing(t *testing.T) {
	is := is.New(t)
	c := newConsole(t)
	page := c.do(http.MethodPost, "/review", inputs(c.do(http.MethodGet, "/services/portal", nil)))
	c.remote = "192.0.2.7"
	is.Equal(c.do(http.MethodPost, "/accept", inputs(page)).Code, http.StatusUnauthorized) // the operator header is trusted only from trusted proxies
	c.remote, c.origin = trusted, "http://elsewhere.example"
	is.Equal(c.do(http.MethodPost, "/accept", inputs(page)).Code, http.StatusForbidden) // a cross-site request
}
