package objapi

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/sleep"
	"github.com/azuredeal/azuredeal/store"
)

// Values of Faults.Outage.
const (
	OutageNone   = ""       // Calls are served.
	OutageDrop   = "drop"   // Connections are closed without a response.
	OutageRefuse = "refuse" // Calls get a response with status 503.
	OutageHang   = "hang"   // Calls get no response until the client cancels them.
)

// Faults configures the faults that tests inject into the platform.
type Faults struct {
	Latency int    `json:"latency"` // Added before each call, in milliseconds.
	Outage  string `json:"outage"`
	// Lost drops the response of one in every Lost writes that took effect; 0 drops none.
	Lost int    `json:"lost"`
	Seed uint64 `json:"seed"` // Selects which write of each Lost loses its response.
}

// responseLoss selects one write of each n for which the response is dropped.
type responseLoss struct {
	source    *rand.Rand
	writes    int // Writes that took effect.
	lostIndex int // Index of the selected write among the current n.
}

// Faults returns the current faults.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults and restarts the selection of lost responses. If the new
// faults include an outage, waiting watches are aborted.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.responseLoss = responseLoss{source: rand.New(rand.NewPCG(f.Seed, 0))}
	if f.Outage != OutageNone {
		close(s.outageStarted)
		s.outageStarted = make(chan struct{})
	}
}

// Copy makes a copy of all objects, from which Restore comes back.
func (s *Server) Copy() {
	copied := s.memory.Copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = copied
}

// Restore makes the platform come back from the last copy, in another era. Without a copy it
// comes back empty.
func (s *Server) Restore() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.memory.Restore(s.copied)
}

// Era returns the current era.
func (s *Server) Era() uint64 { return s.memory.Era() }

// losesResponse counts a write that took effect and reports whether its response is
// dropped.
func (s *Server) losesResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.faults.Lost
	if n <= 0 {
		return false
	}
	if s.responseLoss.writes%n == 0 {
		s.responseLoss.lostIndex = s.responseLoss.source.IntN(n)
	}
	lost := s.responseLoss.writes%n == s.responseLoss.lostIndex
	s.responseLoss.writes++
	return lost
}

// onOutage calls fn when an outage begins, unless stop is called first.
func (s *Server) onOutage(fn func()) (stop func()) {
	s.mu.Lock()
	outageStarted := s.outageStarted
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		select {
		case <-outageStarted:
			fn()
		case <-done:
		}
	}()
	return func() { close(done) }
}

// injectFaults applies the latency and the outage to a call and reports whether the call
// is to be served.
func (s *Server) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	f := s.Faults()
	if f.Latency > 0 {
		sleep.For(r.Context(), time.Duration(f.Latency)*time.Millisecond)
	}
	switch f.Outage {
	case OutageDrop:
		abort()
	case OutageRefuse:
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	case OutageHang:
		// net/http detects that the client closed the connection only after the body has
		// been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		abort()
	}
	return true
}

// abort closes the connection without a response.
func abort() { panic(http.ErrAbortHandler) }

// maxControlBytes is the maximum size of the body of a control call.
const maxControlBytes = 1 << 20

// handleControl registers the paths by which tests control the server over HTTP.
func (s *Server) handleControl() {
	s.mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Faults())
	})
	s.mux.HandleFunc("PUT /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if decodeControl(w, r, &f) {
			s.SetFaults(f)
		}
	})
	s.mux.HandleFunc("PUT /control/copy", func(w http.ResponseWriter, _ *http.Request) {
		s.Copy()
		w.WriteHeader(http.StatusNoContent)
	})
	s.mux.HandleFunc("PUT /control/restore", func(w http.ResponseWriter, _ *http.Request) {
		s.Restore()
		w.WriteHeader(http.StatusNoContent)
	})
	s.mux.HandleFunc("PUT /control/vms", func(w http.ResponseWriter, r *http.Request) {
		var vms []store.VM
		if decodeControl(w, r, &vms) {
			s.memory.SetVMs(vms)
		}
	})
	s.mux.HandleFunc("GET /control/rates", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, s.Rates())
	})
}

// decodeControl decodes the body of a control call, sends the response and reports
// whether the body was valid.
func decodeControl(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControlBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		writeError(w, fault.Wrap(fault.BadRequest, err, "body"))
		return false
	}
	if f, ok := into.(*Faults); ok && !f.valid() {
		writeError(w, fault.New(fault.BadRequest, "outage %q is not drop, refuse or hang", f.Outage))
		return false
	}
	w.WriteHeader(http.StatusNoContent)
	return true
}

// valid reports whether the kind of outage is known.
func (f Faults) valid() bool {
	switch f.Outage {
	case OutageNone, OutageDrop, OutageRefuse, OutageHang:
		return true
	}
	return false
}
