package standin

import (
	"bytes"
	"cmp"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rhubarbpost/rhubarbpost/internal/lab/provider"
	"github.com/rhubarbpost/rhubarbpost/pkg/protocol/decoder"
	"github.com/rhubarbpost/rhubarbpost/pkg/state/storer"
)

const (
	// defaultPageItems is the number of items of a page of the platform's store.
	defaultPageItems = 500
	// maxValueBytes is the maximum size of an object, as the platform sets it.
	maxValueBytes = 1 << 20
	maxFaultBytes = 4 << 10
	// headerTimeout is the time-out for reading the headers of a call.
	headerTimeout = 10 * time.Second
)

// StoreFaults are the injected faults of the store; the zero value injects none.
type StoreFaults struct {
	provider.Faults
	// Status, if set, is the status with which every call is answered; no call takes effect.
	Status int `json:"status,omitempty"`
	// Silent holds every call without an answer until the faults change, and then closes
	// its connection.
	Silent bool `json:"silent,omitempty"`
	// Frozen, if set, is the version from which on serializable watches (those that
	// accept stale answers) get no changes.
	Frozen storer.Version `json:"frozen,omitempty"`
	// RewindMillis, if set, restores the state of the store from this long ago when the
	// faults are set. This begins the next era, a counter of such restores.
	RewindMillis int64 `json:"rewindMillis,omitempty"`
}

// Store simulates the platform's store and its HTTP protocol.
type Store struct {
	// PageItems is the maximum number of items of a page.
	PageItems int

	state  *provider.Store
	server *http.Server
	socket net.Listener
	mu     sync.Mutex
	faults StoreFaults
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}
	// calls counts the calls by HTTP method and StaleWatches.
	calls map[string]int
}

// NewStore starts an empty store on a free port of loopback; it panics if it can't listen.
func NewStore() *Store {
	s, err := ListenStore("127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return s
}

// ListenStore starts an empty store on an address, IP:port. A POST of StoreFaults to
// /faults replaces its faults.
func ListenStore(address string) (*Store, error) {
	var sockets net.ListenConfig
	socket, err := sockets.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Store{
		PageItems: defaultPageItems, state: provider.NewStore(), socket: socket,
		faultsChanged: make(chan struct{}), calls: make(map[string]int),
	}
	objects := http.NewServeMux()
	objects.HandleFunc("GET /-/objects/{kind}", s.serveKind)
	objects.HandleFunc("GET /-/objects/{kind}/{name}", s.serveGet)
	objects.HandleFunc("POST /-/objects/{kind}", s.serveWrite)
	objects.HandleFunc("PUT /-/objects/{kind}/{name}", s.serveWrite)
	objects.HandleFunc("DELETE /-/objects/{kind}/{name}", s.serveDelete)
	mux := http.NewServeMux()
	mux.Handle("/", s.withFaults(objects))
	mux.HandleFunc("POST /faults", s.serveFaults)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	go func() { _ = s.server.Serve(socket) }()
	return s, nil
}

// Address returns the address of the store as IP:port.
func (s *Store) Address() string { return s.socket.Addr().String() }

// Close stops the store and closes all connections.
func (s *Store) Close() {
	s.SetFaults(StoreFaults{})
	_ = s.server.Close()
}

// SetFaults replaces the faults, applies RewindMillis, and closes the connections of
// calls that wait.
func (s *Store) SetFaults(faults StoreFaults) {
	s.state.SetFaults(faults.Faults)
	if faults.RewindMillis > 0 {
		s.state.Rewind(time.Duration(faults.RewindMillis) * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := decoder.Body[StoreFaults](r.Body, maxFaultBytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
	writeJSON(w, faults)
}

// StaleWatches is the key under which Calls counts serializable watches, whose answers
// may be stale.
const StaleWatches = "serializable watch"

// Calls returns the number of calls of an HTTP method, or of StaleWatches.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// RewindTo restores the state of the store as of a version, in the next era.
func (s *Store) RewindTo(version storer.Version) {
	s.state.RewindTo(version)
}

// Version returns the version of the last change.
func (s *Store) Version() storer.Version {
	return s.state.Version()
}

// Put writes an object unconditionally and returns its new version.
func (s *Store) Put(kind, name string, spec any) storer.Version {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.PutRaw(kind, name, data)
}

// PutRaw is like Put with the bytes of the value, which need not be JSON that can be decoded.
func (s *Store) PutRaw(kind, name string, spec []byte) storer.Version {
	object, err := s.state.Overwrite(kind+"/"+name, spec)
	if err != nil {
		panic(err)
	}
	return object.Version
}

// Remove removes an object unconditionally.
func (s *Store) Remove(kind, name string) {
	err := s.state.Remove(kind + "/" + name)
	if err != nil {
		panic(err)
	}
}

// eraWriter adds the Store-Era header to each answer, with the era of the store at the
// time of the answer. In era 0, before the first rewind, there is no header.
type eraWriter struct {
	http.ResponseWriter

	state *provider.Store
}

// WriteHeader adds the era, if any, to the headers and writes them.
func (w eraWriter) WriteHeader(status int) {
	era := w.state.Era()
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w = eraWriter{w, s.state}
		s.mu.Lock()
		s.calls[r.Method]++
		if serializable(r) && r.URL.Query().Has("watch") {
			s.calls[StaleWatches]++
		}
		faults, faultsChanged := s.faults, s.faultsChanged
		s.mu.Unlock()
		switch {
		case faults.Silent:
			// net/http cancels the context of a closed connection only after the body
			// is read, so a change of the faults must end the wait as well.
			select {
			case <-r.Context().Done():
			case <-faultsChanged:
			}
			panic(http.ErrAbortHandler)
		case faults.Status != 0:
			w.WriteHeader(faults.Status)
			return
		}
		ctx, cancel := context.WithCancelCause(r.Context())
		defer cancel(nil)
		go func() {
			select {
			case <-faultsChanged:
				cancel(errFaultsChanged)
			case <-ctx.Done():
			}
		}()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

// serializable reports whether a read accepts a stale answer.
func serializable(r *http.Request) bool {
	return r.URL.Query().Get("serializable") == "1"
}

// errFaultsChanged is the cause with which all calls are canceled when the faults change.
var errFaultsChanged = errors.New("the faults changed")

// wireObject is an object in the platform's protocol.
type wireObject struct {
	Meta struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type wireEvent struct {
	Object  wireObject `json:"object"`
	Removed bool       `json:"removed"`
}

func toWire(o storer.Object) wireObject {
	var object wireObject
	_, object.Meta.Name, _ = strings.Cut(o.Key, "/")
	object.Meta.Revision, object.Spec = o.Version.Revision(), encodable(o.Value)
	return object
}

// objectKey returns the key of an object of the kind in the path of a call. Writes take
// the name from the body, other calls from the path; an empty name gives the prefix of the
// kind.
func objectKey(r *http.Request, name string) string {
	return r.PathValue("kind") + "/" + name
}

func (s *Store) serveKind(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Get("watch")
	if watch != "" {
		s.serveWatch(w, r, watch)
		return
	}
	page, err := s.state.List(r.Context(), objectKey(r, ""))
	if err != nil {
		s.fail(w, r, err)
		return
	}
	after := r.URL.Query().Get("after")
	items, more := []wireObject{}, false
	for _, object := range page.Objects {
		item := toWire(object)
		if item.Meta.Name <= after {
			continue
		}
		if len(items) == s.PageItems {
			more = true
			break
		}
		items = append(items, item)
	}
	writeObjects(w, map[string]any{"at": page.Version.Revision(), "has_more": more, "items": items})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, watch string) {
	after, err := s.parseVersion(watch)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	page, err := s.watch(ctx, r, after)
	switch {
	case errors.Is(context.Cause(r.Context()), errFaultsChanged):
		panic(http.ErrAbortHandler)
	case errors.Is(ctx.Err(), context.DeadlineExceeded) && err != nil:
		page = storer.Page{Version: s.state.Version()}
		if frozen, ok := s.frozenVersion(r); ok {
			page.Version = frozen
		}
	case err != nil:
		s.fail(w, r, err)
		return
	}
	events := []wireEvent{}
	for _, object := range page.Objects {
		event := wireEvent{Object: toWire(object), Removed: object.Deleted}
		if object.Deleted {
			// The event of a removal carries the object as it was before, with its old
			// revision.
			previous, _ := s.state.Previous(object.Key)
			event.Object = toWire(previous)
		}
		events = append(events, event)
	}
	writeObjects(w, map[string]any{"at": page.Version.Revision(), "events": events})
}

// parseVersion parses a revision and returns its version in the current era of the
// store; 0 gives storer.Absent.
func (s *Store) parseVersion(text string) (storer.Version, error) {
	revision, err := strconv.ParseUint(text, 10, 64)
	if err != nil || revision == 0 {
		return storer.Absent, err
	}
	return storer.NewVersion(s.state.Era(), revision)
}

// watch waits for changes after a version. A serializable watch at or past the frozen
// version gets none and waits for the end of the context.
func (s *Store) watch(ctx context.Context, r *http.Request, after storer.Version) (storer.Page, error) {
	frozen, ok := s.frozenVersion(r)
	if ok && after >= frozen {
		<-ctx.Done()
		return storer.Page{}, ctx.Err()
	}
	return s.state.Watch(ctx, objectKey(r, ""), after)
}

// frozenVersion returns the version from which on the call gets no changes, and whether
// there is one.
func (s *Store) frozenVersion(r *http.Request) (storer.Version, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults.Frozen, serializable(r) && s.faults.Frozen > 0
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	object, err := s.state.Get(r.Context(), objectKey(r, r.PathValue("name")))
	if err != nil {
		s.fail(w, r, err)
		return
	}
	writeJSON(w, toWire(object))
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var received wireObject
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxValueBytes)).Decode(&received)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	key, condition := objectKey(r, received.Meta.Name), storer.Absent
	if r.Method == http.MethodPut {
		current, ok := s.state.Newest(key)
		if !ok {
			s.fail(w, r, storer.ErrNotFound)
			return
		}
		condition = current.Version
		if received.Meta.Revision != 0 {
			condition, err = storer.NewVersion(s.state.Era(), received.Meta.Revision)
		}
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	object, err := s.state.Put(r.Context(), key, received.Spec, condition)
	if err != nil {
		s.fail(w, r, err)
		return
	}
	writeJSON(w, toWire(object))
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	key := objectKey(r, r.PathValue("name"))
	current, ok := s.state.Newest(key)
	if !ok {
		s.fail(w, r, storer.ErrNotFound)
		return
	}
	condition, err := s.parseVersion(cmp.Or(r.URL.Query().Get("revision"), "0"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	err = s.state.Delete(r.Context(), key, cmp.Or(condition, current.Version))
	if err != nil {
		s.fail(w, r, err)
		return
	}
	writeJSON(w, toWire(current))
}

// fail writes the status of a failed call, or closes the connection if the call has no
// answer.
func (s *Store) fail(w http.ResponseWriter, r *http.Request, err error) {
	switch {
	case errors.Is(err, storer.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, storer.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, storer.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, storer.ErrUnsettled), r.Context().Err() != nil:
		// A lost answer is simulated by closing the connection without one.
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_ = json.NewEncoder(w).Encode(value)
}

// oddSpec stands for a value that encoding/json doesn't encode, in base64.
const oddSpec = "@odd "

// encodable returns a value, or a text that stands for it in the output of the encoder.
func encodable(value json.RawMessage) json.RawMessage {
	if value == nil || json.Valid(value) {
		return value
	}
	return json.RawMessage(strconv.Quote(oddSpec + base64.StdEncoding.EncodeToString(value)))
}

// writeObjects writes a value that contains objects, whatever bytes these have.
func writeObjects(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	for {
		before, rest, odd := bytes.Cut(data, []byte(`"`+oddSpec))
		if !odd {
			break
		}
		text, after, _ := bytes.Cut(rest, []byte(`"`))
		raw, _ := base64.StdEncoding.DecodeString(string(text))
		data = slices.Concat(before, raw, after)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(data)
}
