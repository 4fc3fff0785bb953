package main

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// pageItems is the number of items of a page of a list.
	pageItems = 500
	// headTimeout bounds the time to read the head of a call.
	headTimeout = 5 * time.Second
	// keyName is the name of a host, route or service in settings and configurations.
	keyName = "name"
)

// change is one change of an object.
type change struct {
	kind, name string
	spec       json.RawMessage
	removed    bool
	at         time.Time
}

// store is a stand-in of the platform's store. Writes and linearizable reads go to the current state.
// Serializable reads may go to a replica that lags.
type store struct {
	address string

	mu sync.Mutex
	// changes has all changes; the revision of a change is its index + 1.
	changes []change
	// changed is closed and replaced with each change.
	changed chan struct{}
	// lag returns how far behind the replica is that serves a serializable read.
	lag func(r *http.Request) time.Duration
	// stale counts the reads that a lagging replica has served.
	stale int
}

type wireMeta struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
}

type wireObject struct {
	Meta wireMeta        `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type wireEvent struct {
	Object  wireObject `json:"object"`
	Removed bool       `json:"removed"`
}

// newStore starts a store on a free port of loopback.
func newStore() (*store, error) {
	socket, err := listen("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: socket.Addr().String(), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/objects/{kind}", s.serveKind)
	mux.HandleFunc("GET /-/objects/{kind}/{name}", s.serveGet)
	mux.HandleFunc("POST /-/objects/{kind}", s.serveWrite)
	mux.HandleFunc("PUT /-/objects/{kind}/{name}", s.serveWrite)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout}
	go func() { _ = server.Serve(socket) }()
	return s, nil
}

func listen(address string) (net.Listener, error) {
	var sockets net.ListenConfig
	return sockets.Listen(context.Background(), "tcp", address)
}

// setLag sets which serializable reads a replica serves that lags, and by how much.
func (s *store) setLag(lag func(r *http.Request) time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = lag
}

// put writes an object, as the operator and the servers do.
func (s *store) put(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.add(change{kind: kind, name: name, spec: data})
}

func (s *store) add(c change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(c)
}

// append adds a change. The caller holds s.mu.
func (s *store) append(c change) uint64 {
	c.at = time.Now()
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return uint64(len(s.changes))
}

// visible returns the revision up to which a read sees changes. The caller holds s.mu.
func (s *store) visible(r *http.Request) uint64 {
	at := len(s.changes)
	if s.lag == nil || r.URL.Query().Get("serializable") != "1" {
		return uint64(at)
	}
	lag := s.lag(r)
	if lag > 0 {
		s.stale++
	}
	for at > 0 && time.Since(s.changes[at-1].at) < lag {
		at--
	}
	return uint64(at)
}

// newest returns the newest object of a name as of a revision. The caller holds s.mu.
func (s *store) newest(kind, name string, at uint64) (wireObject, bool) {
	for revision := at; revision > 0; revision-- {
		c := s.changes[revision-1]
		if c.kind == kind && c.name == name {
			return wireObject{Meta: wireMeta{name, revision}, Spec: c.spec}, !c.removed
		}
	}
	return wireObject{}, false
}

// list returns the objects of a kind as of a revision, by name. The caller holds s.mu.
func (s *store) list(kind string, at uint64) []wireObject {
	held := make(map[string]wireObject)
	for i, c := range s.changes[:at] {
		if c.kind != kind {
			continue
		}
		held[c.name] = wireObject{Meta: wireMeta{c.name, uint64(i + 1)}, Spec: c.spec}
		if c.removed {
			delete(held, c.name)
		}
	}
	objects := make([]wireObject, 0, len(held))
	for _, o := range held {
		objects = append(objects, o)
	}
	slices.SortFunc(objects, func(a, b wireObject) int {
		if a.Meta.Name < b.Meta.Name {
			return -1
		}
		return 1
	})
	return objects
}

func (s *store) serveKind(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("watch") {
		s.serveWatch(w, r)
		return
	}
	s.mu.Lock()
	at := s.visible(r)
	objects := s.list(r.PathValue("kind"), at)
	s.mu.Unlock()
	after := query.Get("after")
	objects = slices.DeleteFunc(objects, func(o wireObject) bool { return after != "" && o.Meta.Name <= after })
	more := len(objects) > pageItems
	if more {
		objects = objects[:pageItems]
	}
	reply(w, http.StatusOK, map[string]any{"items": objects, "has_more": more, "at": at})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(query.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		at, changed := s.visible(r), s.changed
		events := s.events(r.PathValue("kind"), after, at)
		s.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-time.After(lagStep):
		case <-ctx.Done():
		}
	}
}

// lagStep is how often a watch looks for changes that a lagging replica gets.
const lagStep = 20 * time.Millisecond

// events returns the changes of a kind between two revisions. The caller holds s.mu.
func (s *store) events(kind string, after, at uint64) []wireEvent {
	events := []wireEvent{}
	for revision := after + 1; revision <= at; revision++ {
		c := s.changes[revision-1]
		if c.kind == kind {
			events = append(events, wireEvent{Object: wireObject{Meta: wireMeta{c.name, revision}, Spec: c.spec}, Removed: c.removed})
		}
	}
	return events
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	o, ok := s.newest(r.PathValue("kind"), r.PathValue("name"), s.visible(r))
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

var errConflict = errors.New("conflict")

func (s *store) serveWrite(w http.ResponseWriter, r *http.Request) {
	var sent wireObject
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<20)).Decode(&sent)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	written, err := s.write(r.PathValue("kind"), sent, r.Method == http.MethodPost)
	if err != nil {
		reply(w, http.StatusConflict, written)
		return
	}
	reply(w, http.StatusOK, written)
}

// write creates or replaces an object if its condition holds.
func (s *store) write(kind string, sent wireObject, create bool) (wireObject, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.newest(kind, sent.Meta.Name, uint64(len(s.changes)))
	if create == ok || (!create && sent.Meta.Revision != 0 && sent.Meta.Revision != held.Meta.Revision) {
		return held, errConflict
	}
	revision := s.append(change{kind: kind, name: sent.Meta.Name, spec: sent.Spec})
	return wireObject{Meta: wireMeta{sent.Meta.Name, revision}, Spec: sent.Spec}, nil
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
