// Package objapi is the stand-in for the platform: an HTTP server of the object
// API over a store in memory, with faults that tests switch on and off.
//
//	GET    /v1/objects/{name}                    value; ETag is the version
//	GET    /v1/objects/{name}?watch=7&wait=10s   the same, once the version is above 7
//	PUT    /v1/objects/{name}                    If-Match: "7", or If-None-Match: *
//	DELETE /v1/objects/{name}                    If-Match: "7"
//	GET    /v1/objects?prefix=release/           names and versions, JSON
//	GET    /v1/vms                               lagging list of entry VMs, JSON
//
// The paths below /control/ belong to tests and stay reachable in an outage.
package objapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/store"
)

const (
	maxWait = 10 * time.Second // Longest wait of a watch.
	maxName = 512              // Bytes of an object name.
)

// Server is the stand-in platform. It implements http.Handler.
type Server struct {
	memory *store.Memory
	client *store.Client
	mux    *http.ServeMux
	rates  rates

	mu     sync.Mutex
	faults Faults
	broken chan struct{} // Closed when the faults change, which ends waiting watches in an outage.
	loss   loss
}

// New returns a server over memory. Its faults are off.
func New(memory *store.Memory) *Server {
	s := &Server{
		memory: memory,
		client: memory.Client(),
		mux:    http.NewServeMux(),
		broken: make(chan struct{}),
	}
	s.mux.Handle("GET /v1/objects/{name...}", s.read(s.get))
	s.mux.Handle("PUT /v1/objects/{name...}", s.write(s.put))
	s.mux.Handle("DELETE /v1/objects/{name...}", s.write(s.remove))
	s.mux.Handle("GET /v1/objects", s.read(s.list))
	s.mux.Handle("GET /v1/vms", s.read(s.vms))
	s.control()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// read counts a read and applies the faults that come before it.
func (s *Server) read(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.rates.read(time.Now())
		if s.delay(w, r) {
			next(w, r)
		}
	})
}

// write counts a write and applies the faults that come before and after it.
func (s *Server) write(next func(r *http.Request) (store.Version, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.rates.write(time.Now())
		if !s.delay(w, r) {
			return
		}
		version, err := next(r)
		if err != nil {
			fail(w, err)
			return
		}
		if s.losesAnswer() {
			abort()
		}
		if version != 0 {
			setVersion(w, version)
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		fail(w, err)
		return
	}
	o, err := s.find(r, name)
	switch {
	case err != nil:
		fail(w, err)
	case o.Version == 0:
		w.WriteHeader(http.StatusNotFound)
	default:
		setVersion(w, o.Version)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(o.Value)))
		_, _ = w.Write(o.Value)
	}
}

// find reads the object, after waiting for a change when the request is a watch.
func (s *Server) find(r *http.Request, name string) (store.Object, error) {
	query := r.URL.Query()
	if !query.Has("watch") {
		return s.client.Get(r.Context(), name)
	}
	after, err := strconv.ParseUint(query.Get("watch"), 10, 64)
	if err != nil {
		return store.Object{}, fault.Wrap(fault.BadRequest, err, "watch")
	}
	wait := maxWait
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return store.Object{}, fault.Wrap(fault.BadRequest, err, "wait")
		}
	}
	return s.wait(r.Context(), name, store.Version(after), min(wait, maxWait))
}

// wait holds a watch open until the object changes, the wait is over or an
// outage begins.
func (s *Server) wait(ctx context.Context, name string, after store.Version, wait time.Duration) (store.Object, error) {
	s.rates.hold(time.Now(), 1)
	defer func() { s.rates.hold(time.Now(), -1) }()
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	stop := s.onOutage(cancel)
	defer stop()
	o, err := s.client.Watch(ctx, name, after)
	if s.Faults().Outage != OutageNone {
		abort()
	}
	if err != nil {
		return s.client.Get(ctx, name)
	}
	return o, nil
}

func (s *Server) put(r *http.Request) (store.Version, error) {
	name, cond, err := target(r)
	if err != nil {
		return 0, err
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		return 0, fault.Wrap(fault.BadRequest, err, "body")
	}
	if len(value) > store.MaxValueBytes {
		return 0, fault.New(fault.BodyTooLarge, "value exceeds %d bytes", store.MaxValueBytes)
	}
	return s.client.Put(r.Context(), name, value, cond)
}

func (s *Server) remove(r *http.Request) (store.Version, error) {
	name, cond, err := target(r)
	if err != nil {
		return 0, err
	}
	return 0, s.client.Delete(r.Context(), name, cond)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	entries, err := s.client.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		fail(w, err)
		return
	}
	out := make([]entry, 0, len(entries))
	for _, e := range entries {
		out = append(out, entry{Name: e.Name, Version: e.Version})
	}
	answer(w, out)
}

func (s *Server) vms(w http.ResponseWriter, r *http.Request) {
	vms, err := s.client.ListVMs(r.Context())
	if err != nil {
		fail(w, err)
		return
	}
	answer(w, vms)
}

// entry is one row of a listing.
type entry struct {
	Name    string        `json:"name"`
	Version store.Version `json:"version"`
}

// target returns the object name and the condition of a write.
func target(r *http.Request) (string, store.Version, error) {
	name, err := objectName(r)
	if err != nil {
		return "", 0, err
	}
	if r.Header.Get("If-None-Match") == "*" {
		return name, 0, nil
	}
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return "", 0, fault.New(fault.KeyMissing, "a write needs If-Match or If-None-Match")
	}
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil || version == 0 {
		return "", 0, fault.New(fault.BadRequest, "If-Match %q is not a version", tag)
	}
	return name, store.Version(version), nil
}

func objectName(r *http.Request) (string, error) {
	name := r.PathValue("name")
	if name == "" || len(name) > maxName {
		return "", fault.New(fault.BadRequest, "object name of %d bytes is not 1 to %d", len(name), maxName)
	}
	return name, nil
}

func setVersion(w http.ResponseWriter, v store.Version) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(v), 10)))
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// fail answers with the status that the object API has for the error.
func fail(w http.ResponseWriter, err error) {
	status := http.StatusInternalServerError
	switch fault.KindOf(err) {
	case fault.Conflict:
		status = http.StatusPreconditionFailed
	case fault.BodyTooLarge, fault.Invalid:
		status = http.StatusRequestEntityTooLarge
	case fault.BadRequest:
		status = http.StatusBadRequest
	case fault.KeyMissing:
		status = http.StatusPreconditionRequired
	}
	http.Error(w, err.Error(), status)
}
