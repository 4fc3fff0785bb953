package forwarder

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbpost/rhubarbpost/internal/logger"
	"github.com/rhubarbpost/rhubarbpost/pkg/coordination/vetter"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/queuer"
)

// TestHostWithoutRecordsAsksForAll guards against a host that has just started and learns the
// records only when another one compares with it.
func TestHostWithoutRecordsAsksForAll(t *testing.T) {
	is := is.New(t)
	v := vetter.New(rand.New(rand.NewPCG(1, 1)))
	data, err := json.Marshal(recordsMessage{Summary: v.Summary()})
	is.NoErr(err)
	var message recordsMessage
	is.NoErr(json.Unmarshal(data, &message))
	is.True(message.Summary != nil)
}

// TestCallsOfRecordsFailOnceTheEngineHasStopped guards against answers that no engine has given.
func TestCallsOfRecordsFailOnceTheEngineHasStopped(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	f := &Forwarder{cfg: Config{Logger: logger.New(io.Discard, logger.Config{})}, engine: &engine{queue: queuer.New[event](3), ctx: ctx}}
	calls := http.NewServeMux()
	calls.HandleFunc("POST "+recordsPath, f.serveRecords)
	calls.HandleFunc("GET "+verdictsPath, f.serveVerdicts)
	calls.HandleFunc("POST "+verdictsPath, f.serveDecision)
	for _, r := range []*http.Request{
		httptest.NewRequest(http.MethodPost, recordsPath, strings.NewReader(`{"digest":1}`)),
		httptest.NewRequest(http.MethodGet, verdictsPath, http.NoBody),
		httptest.NewRequest(http.MethodPost, verdictsPath, strings.NewReader(`{"decision":"lift"}`)),
	} {
		w := httptest.NewRecorder()
		calls.ServeHTTP(w, r)
		is.Equal(w.Code, http.StatusServiceUnavailable)
	}
	is.True(f.compareRecordsWith(t.Context(), "192.0.2.1:1") != nil)
}

// FuzzRecordsMessage decodes messages of other hosts: what can be used is, whatever else is in
// them, and the sets stay bounded.
func FuzzRecordsMessage(f *testing.F) {
	sender := vetter.New(rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(100, 0)
	s := vetter.NewSubject(vetter.Identity{Target: "/a"}.Fingerprint(), "r", "s", "GET", "/a")
	for end := range vetter.End(3) {
		sender.ServerEnded(now, s, end, true)
	}
	valid, err := json.Marshal(recordsMessage{Records: decoder.NewList(sender.All(now)), Summary: sender.Summary()})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(valid)
	f.Add([]byte(`{"records":[{"fingerprint":"zz"}]}`))
	f.Add([]byte(`{"records":[{"fingerprint":"4faab99b342a00dd049397876b2dcf5f","ends":[3,1,1],"endedMillisAgo":-1}],"digest":1e400}`))
	f.Add([]byte(`{"summary":{"4faab99b342a00dd049397876b2dcf5f":18446744073709551615,"":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var message recordsMessage
		err := json.Unmarshal(data, &message)
		if err != nil {
			return
		}
		v := vetter.New(rand.New(rand.NewPCG(1, 1)))
		rejected := v.Merge(now, message.Records.Elements)
		if len(rejected)+v.Len() > len(message.Records.Elements) {
			t.Fatalf("%d rejected and %d kept of %d records", len(rejected), v.Len(), len(message.Records.Elements))
		}
		again := vetter.New(rand.New(rand.NewPCG(1, 1)))
		if len(again.Merge(now, v.All(now))) > 0 {
			t.Fatal("a record that was taken is rejected when it is sent on")
		}
		v.Compare(now, message.Summary)
		v.Expire(now.Add(time.Hour))
	})
}
