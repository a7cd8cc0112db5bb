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
	OutageNone   = ""       // The platform answers.
	OutageDrop   = "drop"   // Connections end without an answer.
	OutageRefuse = "refuse" // Calls are answered 503.
	OutageHang   = "hang"   // Calls get no answer until the client gives up.
)

// Faults are the faults of the platform that tests switch on.
type Faults struct {
	Latency int    `json:"latency"` // Added before each call, in milliseconds.
	Outage  string `json:"outage"`
	// Lost is n to lose the answer of one in every n writes that took effect; 0
	// loses none.
	Lost int    `json:"lost"`
	Seed uint64 `json:"seed"` // Fixes which write of each n loses its answer.
}

// loss chooses one write of every group of n.
type loss struct {
	source *rand.Rand
	seen   int
	victim int
}

// Faults returns the faults in effect.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults and restarts the choice of lost answers. Watches
// that wait end when the new faults include an outage.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.loss = loss{source: rand.New(rand.NewPCG(f.Seed, 0))}
	if f.Outage != OutageNone {
		close(s.broken)
		s.broken = make(chan struct{})
	}
}

// losesAnswer counts a write that took effect and reports whether its answer is
// lost.
func (s *Server) losesAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.faults.Lost
	if n <= 0 {
		return false
	}
	if s.loss.seen%n == 0 {
		s.loss.victim = s.loss.source.IntN(n)
	}
	lost := s.loss.seen%n == s.loss.victim
	s.loss.seen++
	return lost
}

// onOutage calls fn when an outage begins, until stop is called.
func (s *Server) onOutage(fn func()) (stop func()) {
	s.mu.Lock()
	broken := s.broken
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		select {
		case <-broken:
			fn()
		case <-done:
		}
	}()
	return func() { close(done) }
}

// delay applies latency and outage; it reports whether the call goes on.
func (s *Server) delay(w http.ResponseWriter, r *http.Request) bool {
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
		// The body has to be read, or the server does not notice that the
		// client has gone.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		abort()
	}
	return true
}

// abort ends the connection without an answer.
func abort() { panic(http.ErrAbortHandler) }

// maxControl bounds the body of a control call, in bytes.
const maxControl = 1 << 20

// control adds the paths by which tests steer the server over HTTP.
func (s *Server) control() {
	s.mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, s.Faults())
	})
	s.mux.HandleFunc("PUT /control/faults", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if steer(w, r, &f) {
			s.SetFaults(f)
		}
	})
	s.mux.HandleFunc("PUT /control/vms", func(w http.ResponseWriter, r *http.Request) {
		var vms []store.VM
		if steer(w, r, &vms) {
			s.memory.SetVMs(vms)
		}
	})
	s.mux.HandleFunc("GET /control/rates", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, s.Rates())
	})
}

// steer parses the body of a control call and answers it.
func steer(w http.ResponseWriter, r *http.Request, into any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxControl))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		fail(w, fault.Wrap(fault.BadRequest, err, "body"))
		return false
	}
	if f, ok := into.(*Faults); ok && !f.known() {
		fail(w, fault.New(fault.BadRequest, "outage %q is not drop, refuse or hang", f.Outage))
		return false
	}
	w.WriteHeader(http.StatusNoContent)
	return true
}

func (f Faults) known() bool {
	switch f.Outage {
	case OutageNone, OutageDrop, OutageRefuse, OutageHang:
		return true
	}
	return false
}
