// Package objapi simulates the platform: an HTTP server of the object API over an
// in-memory store, with fault injection for tests.
//
//	GET    /v1/objects/{name}                    value; ETag is the version
//	GET    /v1/objects/{name}?watch=7&era=1&wait=10s
//	                                             the same, once the version is above 7 or the era 1
//	PUT    /v1/objects/{name}                    If-Match: "7", or If-None-Match: *
//	DELETE /v1/objects/{name}                    If-Match: "7"
//	GET    /v1/objects?prefix=release/           names and versions, JSON
//	GET    /v1/vms                               list of entry VMs, which may be outdated, JSON
//
// Azuredeal-Era states the era in each response: it rises by one each time the platform comes
// back from a copy, and then gives out versions again. In a write it states the era in which
// the condition was read; without it the write goes to any era.
//
// The paths below /control/ are for tests and remain available during an outage.
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
	maxWatchWait = 10 * time.Second // Maximum duration of a long poll.
	maxNameBytes = 512              // Maximum length of an object name.
)

// Server is the simulated platform. It implements http.Handler.
type Server struct {
	memory *store.Memory
	client *store.Client
	mux    *http.ServeMux
	rates  rates

	mu            sync.Mutex
	copied        store.Copy // For Restore.
	faults        Faults
	outageStarted chan struct{} // Closed when an outage begins, to abort waiting watches, and then replaced.
	responseLoss  responseLoss
}

// New returns a server over memory, without faults.
func New(memory *store.Memory) *Server {
	s := &Server{
		memory:        memory,
		client:        memory.Client(),
		mux:           http.NewServeMux(),
		outageStarted: make(chan struct{}),
	}
	s.mux.Handle("GET /v1/objects/{name...}", s.read(s.get))
	s.mux.Handle("PUT /v1/objects/{name...}", s.write(s.put))
	s.mux.Handle("DELETE /v1/objects/{name...}", s.write(s.remove))
	s.mux.Handle("GET /v1/objects", s.read(s.list))
	s.mux.Handle("GET /v1/vms", s.read(s.vms))
	s.handleControl()
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// read wraps the handler of a read: it counts the read and injects the faults first.
func (s *Server) read(next http.HandlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.rates.read(time.Now())
		if s.injectFaults(w, r) {
			setEra(w, s.memory.Era())
			next(w, r)
		}
	})
}

// write wraps the handler of a write: it counts the write, injects the faults first, and
// afterwards drops the response if the write is selected for that.
func (s *Server) write(next func(r *http.Request) (store.Version, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.rates.write(time.Now())
		if !s.injectFaults(w, r) {
			return
		}
		setEra(w, s.memory.Era())
		version, err := next(r)
		if err != nil {
			writeError(w, err)
			return
		}
		if s.losesResponse() {
			abort()
		}
		if version.Exists() {
			setEra(w, version.Era())
			setVersion(w, version)
		}
		w.WriteHeader(http.StatusNoContent)
	})
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	name, err := objectName(r)
	if err != nil {
		writeError(w, err)
		return
	}
	o, err := s.readObject(r, name)
	setEra(w, o.Version.Era())
	switch {
	case err != nil:
		writeError(w, err)
	case !o.Version.Exists():
		w.WriteHeader(http.StatusNotFound)
	default:
		setVersion(w, o.Version)
		w.Header().Set("Content-Type", "application/octet-stream")
		w.Header().Set("Content-Length", strconv.Itoa(len(o.Value)))
		_, _ = w.Write(o.Value)
	}
}

// readObject returns the object. For a watch it first waits until the version is above
// the one in the query.
func (s *Server) readObject(r *http.Request, name string) (store.Object, error) {
	query := r.URL.Query()
	if !query.Has("watch") {
		return s.client.Get(r.Context(), name)
	}
	after, err := s.parseVersion(query.Get("watch"), query.Get("era"))
	if err != nil {
		return store.Object{}, err
	}
	wait := maxWatchWait
	if text := query.Get("wait"); text != "" {
		if wait, err = time.ParseDuration(text); err != nil {
			return store.Object{}, fault.Wrap(fault.BadRequest, err, "wait")
		}
	}
	return s.wait(r.Context(), name, after, min(wait, maxWatchWait))
}

// wait is the long poll of a watch: it returns when the object has a version above after
// or the wait is over, and aborts the connection when an outage begins.
func (s *Server) wait(ctx context.Context, name string, after store.Version, wait time.Duration) (store.Object, error) {
	s.rates.addWatches(time.Now(), 1)
	defer func() { s.rates.addWatches(time.Now(), -1) }()
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
	name, ifVersion, err := s.writeTarget(r)
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
	return s.client.Put(r.Context(), name, value, ifVersion)
}

func (s *Server) remove(r *http.Request) (store.Version, error) {
	name, ifVersion, err := s.writeTarget(r)
	if err != nil {
		return 0, err
	}
	return 0, s.client.Delete(r.Context(), name, ifVersion)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	entries, err := s.client.List(r.Context(), r.URL.Query().Get("prefix"))
	if err != nil {
		writeError(w, err)
		return
	}
	out := make([]listEntry, 0, len(entries))
	for _, e := range entries {
		setEra(w, e.Version.Era())
		out = append(out, listEntry{Name: e.Name, Number: e.Version.Number()})
	}
	writeJSON(w, out)
}

func (s *Server) vms(w http.ResponseWriter, r *http.Request) {
	vms, err := s.client.ListVMs(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, vms)
}

// listEntry is one row of a listing.
type listEntry struct {
	Name   string `json:"name"`
	Number uint64 `json:"version"`
}

// writeTarget returns the object name of a write and the version that the object must
// have; version 0 means that it must not exist.
func (s *Server) writeTarget(r *http.Request) (string, store.Version, error) {
	name, err := objectName(r)
	if err != nil {
		return "", 0, err
	}
	era := r.Header.Get(store.EraHeader)
	if r.Header.Get("If-None-Match") == "*" {
		version, err := s.parseVersion("0", era)
		return name, version, err
	}
	tag := r.Header.Get("If-Match")
	if tag == "" {
		return "", 0, fault.New(fault.KeyMissing, "a write needs If-Match or If-None-Match")
	}
	version, err := s.parseVersion(strings.Trim(tag, `"`), era)
	if err != nil || !version.Exists() {
		return "", 0, fault.New(fault.BadRequest, "If-Match %q in era %q is not a version", tag, era)
	}
	return name, version, nil
}

// parseVersion parses a version of an era; an empty era is the current one.
func (s *Server) parseVersion(number, era string) (store.Version, error) {
	n, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return 0, fault.Wrap(fault.BadRequest, err, "version")
	}
	inEra := s.memory.Era()
	if era != "" {
		if inEra, err = strconv.ParseUint(era, 10, 64); err != nil {
			return 0, fault.Wrap(fault.BadRequest, err, "era")
		}
	}
	v, err := store.NewVersion(inEra, n)
	return v, fault.Wrap(fault.BadRequest, err, "version")
}

// setEra states the era of the response.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(store.EraHeader, strconv.FormatUint(era, 10))
}

func objectName(r *http.Request) (string, error) {
	name := r.PathValue("name")
	if name == "" || len(name) > maxNameBytes {
		return "", fault.New(fault.BadRequest, "object name of %d bytes is not 1 to %d", len(name), maxNameBytes)
	}
	return name, nil
}

// setVersion sends the version of an object as its ETag.
func setVersion(w http.ResponseWriter, v store.Version) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(v.Number(), 10)))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

// writeError sends an error response with the status for the kind of the error.
func writeError(w http.ResponseWriter, err error) {
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
