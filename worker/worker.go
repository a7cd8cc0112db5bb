// Package worker implements a stand-in backend server for tests and demos. It limits
// concurrent and queued requests and sheds the rest, refuses requests during a cold
// start and while it drains, honors deadlines and cancellation, and simulates gray
// failures on demand while its health check endpoint still responds.
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
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/sleep"
)

// Options configures a worker.
type Options struct {
	Name  string
	Slots int // Maximum number of requests that run concurrently.
	Queue int // Maximum number of requests that wait for a slot.
	// Median and Sigma are the parameters of the lognormal service time; Sigma is the
	// standard deviation of its natural logarithm.
	Median time.Duration
	Sigma  float64
	// Cold is the time after the start during which the worker refuses requests.
	Cold time.Duration
	// Leave is the time after the start from which the worker states that it leaves; 0 for never.
	Leave time.Duration
	// Away is the time for which a worker that is full wants no requests; 0 when it does not say.
	Away time.Duration
	// Deadly is the path prefix of requests that end the process once they run; empty for none.
	// End ends it.
	Deadly string
	End    func()
	Seed   uint64 // Of the random service times and the share of affected requests.
}

// Headers that the proxy uses as well.
const (
	headerID       = "X-Request-Id"
	headerRefused  = "Azuredeal-Refused"
	headerRate     = "Azuredeal-Rate-Limit"
	headerLeaving  = "Azuredeal-Leaving"
	headerAway     = "Retry-After"
	headerDeadline = "Azuredeal-Deadline"
	headerKey      = "Idempotency-Key"
)

// Values of the Azuredeal-Refused header.
const (
	refusedShed     = "shed"
	refusedCold     = "cold"
	refusedDraining = "draining"
)

const (
	loadMaxAge   = 5 * time.Second  // Maximum age of the number that /load returns.
	stallTime    = 10 * time.Minute // Long enough that only the sender ends a stalled request.
	maxBodyBytes = 1 << 20
)

// Server is a worker. It is safe for concurrent use.
type Server struct {
	opts     Options
	started  time.Time
	slots    chan struct{}
	waiting  atomic.Int64
	arrived  atomic.Int64 // Requests received, refused ones included; health checks are not counted.
	draining atomic.Bool

	mu       sync.Mutex
	behavior Behavior
	since    time.Time // When behavior was set.
	random   *rand.Rand
	runs     map[string]int // Actions started, by idempotency key.
	lastID   string         // ID of the last request that was started.
	load     int            // Running requests at loadAt.
	loadAt   time.Time
}

// New returns a worker; its cold start begins with the call.
func New(opts Options) *Server {
	return &Server{
		opts:    opts,
		started: time.Now(),
		slots:   make(chan struct{}, opts.Slots),
		random:  rand.New(rand.NewPCG(opts.Seed, 1)),
		runs:    map[string]int{},
	}
}

// Drain makes the worker refuse new requests; running requests continue.
func (s *Server) Drain() { s.draining.Store(true) }

// SetBehavior replaces the behavior for requests that start after the call and
// restarts the flapping period.
func (s *Server) SetBehavior(b Behavior) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behavior = b
	s.since = time.Now()
}

// state writes what the worker states of itself, whatever it does with the request, and returns
// for how long it wants no requests, 0 when it takes them.
func (s *Server) state(h http.Header) (away time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rate := s.behavior.Rate; rate > 0 {
		h.Set(headerRate, strconv.FormatFloat(rate, 'f', -1, 64))
	}
	if s.behavior.Leaving || s.opts.Leave > 0 && time.Since(s.started) >= s.opts.Leave {
		h.Set(headerLeaving, "1")
	}
	return s.behavior.Away
}

// RunsByKey returns the number of times that the action of each idempotency key was
// started.
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
// /healthz is the health check endpoint and /load returns the current load.
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
	dec := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetBehavior(b)
}

// serveLoad returns the number of running requests. It can be several seconds old, as
// with the load endpoints of real backend servers.
func (s *Server) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	if now := time.Now(); now.Sub(s.loadAt) > loadMaxAge {
		s.load, s.loadAt = len(s.slots), now
	}
	load := s.load
	s.mu.Unlock()
	_, _ = fmt.Fprintf(w, "%d\n", load)
}

// refuse refuses a request. away is the time for which the worker wants no others, 0 when it
// does not say.
func refuse(w http.ResponseWriter, reason string, away time.Duration) {
	w.Header().Set(headerRefused, reason)
	if away > 0 {
		w.Header().Set(headerAway, strconv.FormatFloat(away.Seconds(), 'f', -1, 64))
	}
	http.Error(w, reason, http.StatusServiceUnavailable)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.arrived.Add(1)
	w.Header().Set(headerID, r.Header.Get(headerID))
	away := s.state(w.Header())
	switch {
	case s.draining.Load():
		refuse(w, refusedDraining, away)
		return
	case time.Since(s.started) < s.opts.Cold:
		refuse(w, refusedCold, away)
		return
	case away > 0:
		refuse(w, refusedShed, away)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return // The sender closed the connection.
	}
	ctx, cancel := requestContext(r)
	defer cancel()
	if !s.acquireSlot(ctx) {
		refuse(w, refusedShed, s.opts.Away)
		return
	}
	defer func() { <-s.slots }()
	b, previousID := s.startAction(r)
	if s.opts.Deadly != "" && strings.HasPrefix(r.URL.Path, s.opts.Deadly) {
		s.opts.End()
		return
	}
	if !sleep.For(ctx, s.serviceTime(b)) {
		// A handler that returns without a status sends an empty response with status 200.
		http.Error(w, "deadline passed", http.StatusGatewayTimeout)
		return
	}
	s.respond(w, r, b, previousID, body)
}

// requestContext returns the context of the request, limited by the time in its
// deadline header, in milliseconds.
func requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	millis, err := strconv.Atoi(r.Header.Get(headerDeadline))
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(millis)*time.Millisecond)
}

// acquireSlot waits for a slot. It returns false if the queue is full or if the
// request ends first; the action has not been started then.
func (s *Server) acquireSlot(ctx context.Context) bool {
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

// startAction counts the action as started and returns the behavior for this request
// and the ID of the previous request, which a crossed response is based on.
func (s *Server) startAction(r *http.Request) (b Behavior, previousID string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		s.runs[r.Header.Get(headerKey)]++
	}
	previousID, s.lastID = s.lastID, r.Header.Get(headerID)
	b = s.behavior
	if !b.active(time.Since(s.since)) || s.random.Float64() >= b.share() {
		b = Behavior{}
	}
	return b, previousID
}

// serviceTime draws the service time of a request with this behavior.
func (s *Server) serviceTime(b Behavior) time.Duration {
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

// respond writes the response. It panics with http.ErrAbortHandler to close the
// connection early.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, b Behavior, previousID string, body []byte) {
	text := fmt.Sprintf("%s %s %s %d %s\n", s.opts.Name, r.Method, r.URL.Path, len(body), r.Header.Get(headerID))
	switch b.Mode {
	case Reset:
		panic(http.ErrAbortHandler)
	case Crossed:
		w.Header().Set(headerID, previousID+"-crossed")
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
