// Package worker is a stand-in backend server for tests and demos. It runs a few
// requests at once, queues a few more, sheds the rest, starts cold, drains,
// honours deadlines and cancellation, and shows gray failures on demand while its
// health endpoint keeps answering.
package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/sleep"
)

// Options set up a worker.
type Options struct {
	Name  string
	Slots int // Requests that run at once.
	Queue int // Requests that wait for a slot.
	// Median and Sigma describe the lognormal service time.
	Median time.Duration
	Sigma  float64
	// Cold is how long after its start the worker refuses requests.
	Cold time.Duration
	Seed uint64
}

// Headers shared with the proxy.
const (
	headerID       = "X-Request-Id"
	headerRefused  = "Azuredeal-Refused"
	headerDeadline = "Azuredeal-Deadline"
	headerKey      = "Idempotency-Key"
)

// Reasons in the Azuredeal-Refused header.
const (
	refusedShed     = "shed"
	refusedCold     = "cold"
	refusedDraining = "draining"
)

const (
	loadLag   = 5 * time.Second  // Age that the load endpoint may reach.
	stallTime = 10 * time.Minute // A stalled request ends only by its caller.
	maxBody   = 1 << 20
)

// Server is one worker.
type Server struct {
	opts     Options
	started  time.Time
	slots    chan struct{}
	waiting  atomic.Int64
	arrived  atomic.Int64 // Requests, refused ones included; probes are not counted.
	draining atomic.Bool

	mu       sync.Mutex
	behavior Behavior
	since    time.Time
	random   *rand.Rand
	runs     map[string]int
	lastID   string
	load     int
	loadAt   time.Time
}

// New returns a worker whose cold start begins now.
func New(opts Options) *Server {
	return &Server{
		opts:    opts,
		started: time.Now(),
		slots:   make(chan struct{}, opts.Slots),
		random:  rand.New(rand.NewPCG(opts.Seed, 1)),
		runs:    map[string]int{},
	}
}

// Drain makes the worker refuse new requests; those that run go on.
func (s *Server) Drain() { s.draining.Store(true) }

// SetBehavior changes how the worker behaves from now on.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
	s.since = time.Now()
}

// RunsByKey returns how often the action of each idempotency key was started.
func (s *Server) RunsByKey() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]int, len(s.runs))
	for key, n := range s.runs {
		out[key] = n
	}
	return out
}

// Handler returns the HTTP handler. Paths under /standin/ control the worker;
// /healthz and /load are its health and load endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /standin/runs", s.serveRuns)
	mux.HandleFunc("GET /standin/arrived", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintln(w, s.arrived.Load())
	})
	mux.HandleFunc("PUT /standin/behavior", s.serveBehavior)
	mux.HandleFunc("POST /standin/drain", func(http.ResponseWriter, *http.Request) { s.Drain() })
	mux.HandleFunc("/", s.serve)
	return mux
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.RunsByKey())
}

func (s *Server) serveBehavior(w http.ResponseWriter, r *http.Request) {
	var b Behavior
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBehavior(b)
}

// serveLoad answers a number that can be several seconds old, as load endpoints
// of real backend servers are.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	if now := time.Now(); now.Sub(s.loadAt) > loadLag {
		s.load, s.loadAt = len(s.slots), now
	}
	load := s.load
	s.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%d\n", load)
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(headerRefused, reason)
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.arrived.Add(1)
	w.Header().Set(headerID, r.Header.Get(headerID))
	switch {
	case s.draining.Load():
		refuse(w, refusedDraining)
		return
	case time.Since(s.started) < s.opts.Cold:
		refuse(w, refusedCold)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !s.enter(ctx) {
		refuse(w, refusedShed)
		return
	}
	defer func() { <-s.slots }()
	b, id := s.begin(r)
	if !sleep.For(ctx, s.duration(b)) {
		// Returning without a status would end as an empty answer with status 200.
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	s.answer(w, r, b, id, body)
}

func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(left)*time.Millisecond)
}

// enter waits for a slot. It reports false when the queue is full or the
// deadline passed first, so nothing was started.
func (s *Server) enter(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > int64(s.opts.Queue) {
		return false
	}
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// begin counts the action as run and returns the behavior of this request and
// the request id that a crossed answer would carry.
func (s *Server) begin(r *http.Request) (b Behavior, previous string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.runs[r.Header.Get(headerKey)]++
	}
	previous, s.lastID = s.lastID, r.Header.Get(headerID)
	b = s.behavior
	if !b.active(time.Since(s.since)) || s.random.Float64() >= b.share() {
		b = Behavior{}
	}
	return b, previous
}

func (s *Server) duration(b Behavior) time.Duration {
	s.mu.Lock()
	normal := s.random.NormFloat64()
	s.mu.Unlock()
	took := time.Duration(float64(s.opts.Median) * math.Exp(s.opts.Sigma*normal))
	switch b.Mode {
	case Stall:
		return stallTime
	case Slow:
		return time.Duration(float64(took) * b.factor())
	default:
		return took
	}
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, b Behavior, previous string, body []byte) {
	text := fmt.Sprintf("%s %s %s %d %s\n", s.opts.Name, r.Method, r.URL.Path, len(body), r.Header.Get(headerID))
	switch b.Mode {
	case Reset:
		panic(http.ErrAbortHandler)
	case Crossed:
		w.Header().Set(headerID, previous+"-crossed")
	case Wrong:
		w.WriteHeader(http.StatusInternalServerError)
	case Truncate:
		w.Header().Set("Content-Length", strconv.Itoa(2*len(text)))
		_, _ = io.WriteString(w, text)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}
