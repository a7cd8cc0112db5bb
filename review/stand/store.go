package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeLatency is how long the store takes for an answer.
const storeLatency = 4 * time.Millisecond

// object is one object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name           string   `json:"name"`
	Revision       uint64   `json:"revision"`
	CreateRevision uint64   `json:"create-revision"`
	Finalizers     []string `json:"finalizers"`
	Deleting       bool     `json:"deleting"`
}

type storeEvent struct {
	kind     string
	revision uint64
	Removed  bool   `json:"removed"`
	Object   object `json:"object"`
}

// store stands in for the platform's metadata store.
type store struct {
	mu       sync.Mutex
	revision uint64
	kinds    map[string]map[string]object
	events   []storeEvent
	changed  chan struct{} // Closed and replaced at every change.
}

func newStore() *store {
	return &store{revision: 6, kinds: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes the spec of an object; create refuses when it exists. It reports false on a
// conflict and returns the object as it is.
func (s *store) put(kind, name string, spec json.RawMessage, create bool) (object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.kinds[kind][name]
	if known && create {
		return old, false
	}
	s.revision++
	o := object{Metadata: metadata{Name: name, Revision: s.revision, CreateRevision: s.revision, Finalizers: []string{}}, Spec: spec}
	if known {
		o.Metadata.CreateRevision = old.Metadata.CreateRevision
	}
	if s.kinds[kind] == nil {
		s.kinds[kind] = map[string]object{}
	}
	s.kinds[kind][name] = o
	s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
	return o, true
}

// set is put for the stand-ins of operators and workers.
func (s *store) set(kind, name string, spec any) {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.put(kind, name, data, false)
}

// remove removes an object, as the platform does when a worker has been silent.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.kinds[kind][name]
	if !known {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.kinds[kind], name)
	s.events = append(s.events, storeEvent{kind: kind, revision: s.revision, Removed: true, Object: o})
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.kinds[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]object, 0, len(s.kinds[kind]))
	for _, o := range s.kinds[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "more": false, wire.Revision: revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				ended = true
			}
		}
		if len(events) > 0 || ended {
			reply(w, http.StatusOK, map[string]any{"events": events, wire.Revision: revision})
			return
		}
	}
}

func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	data, err := io.ReadAll(r.Body)
	var in object
	if err != nil || json.Unmarshal(data, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	create := r.Method == http.MethodPost
	if create {
		name = in.Metadata.Name
	}
	o, ok := s.put(kind, name, in.Spec, create)
	if !ok {
		reply(w, http.StatusConflict, o)
		return
	}
	reply(w, http.StatusOK, o)
}
