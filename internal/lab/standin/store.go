package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

const defaultPageItems = 500

// StoreFaults are the faults of the store, all off when zero.
type StoreFaults struct {
	// Status answers every call with a status.
	Status int
	// Silent holds every call until its connection ends.
	Silent bool
	// LoseWrites does writes and ends the connection without an answer.
	LoseWrites bool
	// History is the revision before which watches find the history gone.
	History uint64
}

// Store plays the platform's store.
type Store struct {
	// PageItems is the most items of a page.
	PageItems int

	server   *httptest.Server
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]*storeObject
	events   []storeEvent
	changed  chan struct{}
	faults   StoreFaults
	// healed is closed when the faults change.
	healed chan struct{}
	calls  map[string]int
}

type storeMeta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type storeObject struct {
	Meta storeMeta       `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type storeEvent struct {
	kind     string
	revision uint64
	Object   *storeObject `json:"object"`
	Removed  bool         `json:"removed"`
}

// NewStore starts an empty store on loopback.
func NewStore() *Store {
	s := &Store{PageItems: defaultPageItems, kinds: make(map[string]map[string]*storeObject), changed: make(chan struct{}), healed: make(chan struct{}), calls: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.serveKind)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("POST /-/objects/{kind}", s.serveWrite)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.serveWrite)
	mux.HandleFunc("DELETE /-/objects/{kind}/{name}", s.serveDelete)
	s.server = httptest.NewServer(s.withFaults(mux))
	return s
}

// Address returns the address with its port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close ends all calls.
func (s *Store) Close() {
	s.SetFaults(StoreFaults{})
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetFaults replaces the faults; connections that are open are cut.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	s.faults = faults
	close(s.healed)
	s.healed = make(chan struct{})
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// Calls returns how many calls of a method there were.
func (s *Store) Calls(method string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// Put writes an object whatever its revision and returns the new one.
func (s *Store) Put(kind, name string, spec any) uint64 {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.write(kind, name, data).Meta.Revision
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(kind, name)
}

func (s *Store) write(kind, name string, spec json.RawMessage) *storeObject {
	s.revision++
	o := &storeObject{Meta: storeMeta{Name: name, Revision: s.revision}, Spec: spec}
	if s.kinds[kind] == nil {
		s.kinds[kind] = make(map[string]*storeObject)
	}
	s.kinds[kind][name] = o
	s.publish(storeEvent{kind: kind, revision: s.revision, Object: o})
	return o
}

func (s *Store) remove(kind, name string) {
	o := s.kinds[kind][name]
	if o == nil {
		return
	}
	s.revision++
	delete(s.kinds[kind], name)
	s.publish(storeEvent{kind: kind, revision: s.revision, Object: o, Removed: true})
}

func (s *Store) publish(e storeEvent) {
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults, healed := s.faults, s.healed
		s.calls[r.Method]++
		s.mu.Unlock()
		switch {
		case faults.Silent:
			// The end of a connection is not seen before a body is read.
			select {
			case <-r.Context().Done():
			case <-healed:
			}
			panic(http.ErrAbortHandler)
		case faults.Status != 0:
			w.WriteHeader(faults.Status)
		case faults.LoseWrites && r.Method != http.MethodGet:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

func (s *Store) serveKind(w http.ResponseWriter, r *http.Request) {
	watch := r.URL.Query().Get("watch")
	if watch != "" {
		s.serveWatch(w, r, watch)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	after := r.URL.Query().Get("after")
	var names []string
	for name := range s.kinds[r.PathValue("kind")] {
		if name > after {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	page := map[string]any{"at": s.revision, "has_more": len(names) > s.PageItems}
	items := make([]*storeObject, 0, len(names))
	for _, name := range names[:min(len(names), s.PageItems)] {
		items = append(items, s.kinds[r.PathValue("kind")][name])
	}
	page["items"] = items
	writeJSON(w, http.StatusOK, page)
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request, watch string) {
	after, _ := strconv.ParseUint(watch, 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	limit := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer limit.Stop()
	for {
		s.mu.Lock()
		if after < s.faults.History {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := s.after(r.PathValue("kind"), after)
		page := map[string]any{"events": events, "at": s.revision}
		changed := s.changed
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-limit.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if expired || len(events) > 0 {
			writeJSON(w, http.StatusOK, page)
			return
		}
	}
}

func (s *Store) after(kind string, revision uint64) []storeEvent {
	events := []storeEvent{}
	for _, e := range s.events {
		if e.kind == kind && e.revision > revision {
			events = append(events, e)
		}
	}
	return events
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	if o == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, o)
}

func (s *Store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var sent storeObject
	err := json.NewDecoder(r.Body).Decode(&sent)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	kind := r.PathValue("kind")
	held := s.kinds[kind][sent.Meta.Name]
	creates := r.Method == http.MethodPost
	switch {
	case held == nil && !creates:
		w.WriteHeader(http.StatusNotFound)
	case held != nil && (creates || (sent.Meta.Revision != 0 && sent.Meta.Revision != held.Meta.Revision)):
		writeJSON(w, http.StatusConflict, held)
	default:
		writeJSON(w, http.StatusOK, s.write(kind, sent.Meta.Name, sent.Spec))
	}
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.kinds[r.PathValue("kind")][r.PathValue("name")]
	revision := r.URL.Query().Get("revision")
	switch {
	case held == nil:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != fmt.Sprint(held.Meta.Revision):
		writeJSON(w, http.StatusConflict, held)
	default:
		s.remove(r.PathValue("kind"), r.PathValue("name"))
		writeJSON(w, http.StatusOK, held)
	}
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
