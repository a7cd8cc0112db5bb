// Package proxy implements the request path of an entry VM: it finds the route,
// admits the request, sends attempts to backend servers, and returns either the
// complete response or an error that states accurately whether the request ran.
package proxy

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/idem"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/internal/fleet/crash"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/pool"
)

// Names of request headers.
const (
	HeaderAccount        = "Azuredeal-Account" // Token of the account of the caller.
	HeaderIdempotencyKey = pool.HeaderIdempotencyKey
)

// Default values of Options fields.
const (
	defaultAnonymousRate   = 50 // Requests per second on one VM.
	defaultAnonymousBurst  = 100
	defaultBodyReadTimeout = 10 * time.Second
	defaultMemoryBytes     = 128 << 20
)

// Options configures a Handler. Zero values take defaults.
type Options struct {
	Dialect *pool.Dialect // pool.DefaultDialect by default.
	Zone    string        // Availability zone of this VM.
	Seed    uint64        // Seeds the random choice of backend servers.
	// AnonymousRate, in requests per second, and AnonymousBurst configure the one
	// token bucket that all requests without an account share. A rate of 0 selects
	// the defaults, 50 and 100.
	AnonymousRate   float64
	AnonymousBurst  int
	BodyReadTimeout time.Duration  // Time limit for reading a request body, 10 s by default.
	Memory          *memory.Budget // Of what is held for callers; one of 128 MiB by default.
	IdleTimeout     time.Duration  // See pool.Options.
	ConnectTimeout  time.Duration  // See pool.Options.
	Dial            func(ctx context.Context, network, address string) (net.Conn, error)
	// Subset returns the backend servers of a service that this VM uses; all by
	// default. It is called on the goroutine that calls SetRelease.
	Subset func(s note.Service, all []*pick.Target) []*pick.Target
	// Sample receives the outcome of each attempt. It must not block.
	Sample func(board.Sample)
	// StatedRate receives the request rates that backend servers state, and Unlimited when
	// one that has stated a rate no longer does. It must not block.
	StatedRate func(board.StatedRate)
	// Crashes knows the requests that may crash the servers that run them. Nil means that they
	// are not looked for.
	Crashes *crash.Table
	// Hasher computes the digests by which requests are known; its secret is the same on all VMs
	// of the fleet. Required with Crashes.
	Hasher *crash.Hasher
	// Background ends the checks of backend servers that outlive requests; never by default.
	Background context.Context //nolint:containedctx // The handler has no other lifetime.
	// RunOnce runs a request with an idempotency key at most once. The default runs
	// every request.
	RunOnce func(ctx context.Context, c idem.Call, run idem.RunFunc) (*idem.Response, error)
	Metrics *metrics.Set // A new set by default.
	// Log receives an info line for each request that failed or needed more than one
	// attempt, and a debug line for every other request.
	Log zerolog.Logger
}

// Handler is the HTTP handler for the requests of callers.
type Handler struct {
	opts         Options
	mu           sync.Mutex // Serializes SetRelease, SetWeights, SetRate, SetPreferred and Close.
	state        atomic.Pointer[state]
	tokenBuckets *limit.TokenBuckets
	counters     *requestCounters // For requests that match no service.
	idPrefix     string           // Prefix of every request ID that this process generates.
	seq          atomic.Uint64
	stop         atomic.Pointer[plannedStop] // Nil while no stop is planned.

	pickTarget   func(p *pick.Picker, tried []*pick.Target) *pick.Target
	pickReliable func(p *pick.Picker, tried []*pick.Target) *pick.Target // For retries, hedges and requests that must not run twice.
	tryWithdraw  func(b *limit.RetryBudget) bool
}

// state is the routing state built from one release. It is immutable.
type state struct {
	generation uint64
	table      *RouteTable
	services   map[string]*service
	accounts   *accounts
}

// New returns a handler without a release. It rejects requests with NotReady
// until SetRelease is called.
func New(opts Options) *Handler {
	if opts.AnonymousRate == 0 {
		opts.AnonymousRate, opts.AnonymousBurst = defaultAnonymousRate, defaultAnonymousBurst
	}
	if opts.BodyReadTimeout <= 0 {
		opts.BodyReadTimeout = defaultBodyReadTimeout
	}
	if opts.Dialect == nil {
		opts.Dialect = pool.DefaultDialect()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	if opts.Background == nil {
		opts.Background = context.Background()
	}
	if opts.Memory == nil {
		opts.Memory = memory.New(defaultMemoryBytes, opts.Metrics)
	}
	if opts.RunOnce == nil {
		opts.RunOnce = func(ctx context.Context, _ idem.Call, run idem.RunFunc) (*idem.Response, error) { return run(ctx) }
	}
	h := &Handler{
		opts:         opts,
		tokenBuckets: limit.NewTokenBuckets(),
		counters:     newRequestCounters(opts.Metrics, ""),
		idPrefix:     newIDPrefix(),
		pickTarget:   (*pick.Picker).Pick,
		pickReliable: (*pick.Picker).PickReliable,
		tryWithdraw:  (*limit.RetryBudget).TryWithdraw,
	}
	return h
}

const idPrefixBytes = 6

// newIDPrefix returns a random prefix for request IDs. IDs must be unique across
// all processes; otherwise a response to another request could be accepted as the
// right one.
func newIDPrefix() string {
	var b [idPrefixBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:]) + "-"
}

func (h *Handler) newRequestID() string {
	const base = 36
	var b [2*idPrefixBytes + 1 + 13]byte // A uint64 has at most 13 digits in base 36.
	return string(strconv.AppendUint(append(b[:0], h.idPrefix...), h.seq.Add(1), base))
}

// SetRelease puts a release into effect. Connections, queues and retry budgets
// whose configuration did not change are kept. Requests in flight continue with
// the release they started under, but their further attempts avoid backend servers
// that are leaving.
func (h *Handler) SetRelease(rel *note.Release) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.state.Load()
	next := &state{
		generation: rel.Generation(),
		table:      NewRouteTable(rel),
		services:   map[string]*service{},
		accounts:   newAccounts(rel.Accounts()),
	}
	for _, n := range rel.Services() {
		var prev *service
		if old != nil {
			prev = old.services[n.Name]
		}
		next.services[n.Name] = h.newService(n, prev)
	}
	h.state.Store(next)
	if old == nil {
		return
	}
	for name, s := range old.services {
		if next.services[name] == nil {
			s.picker.SetTargets(nil)
		}
		s.closeUnusedPools(next.services[name])
	}
}

// serviceByName returns a service of the release in effect, or nil.
func (h *Handler) serviceByName(name string) *service {
	if st := h.state.Load(); st != nil {
		return st.services[name]
	}
	return nil
}

// serverByAddr returns a server of a service of the release in effect, or nil.
func (h *Handler) serverByAddr(name, addr string) *server {
	if s := h.serviceByName(name); s != nil {
		return s.servers[addr]
	}
	return nil
}

// SetWeights sets the weights, 0 to 1, of backend servers of a service, by address.
// Servers that are not listed keep their weight.
func (h *Handler) SetWeights(name string, weights map[string]float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.serviceByName(name)
	if s == nil {
		return
	}
	for addr, w := range weights {
		if v := s.servers[addr]; v != nil {
			v.target.SetWeight(w)
		}
	}
	s.updateMaxRunning()
}

// SetPreferred sets the backend servers of a service, by address, that this VM
// sends requests to first.
func (h *Handler) SetPreferred(name string, addrs []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.serviceByName(name); s != nil {
		s.picker.SetPreferred(addrs)
	}
}

// SetPeerInflight sets the estimated number of requests that other VMs have in
// flight at backend servers of a service, by address.
func (h *Handler) SetPeerInflight(name string, others map[string]float64) {
	s := h.serviceByName(name)
	if s == nil {
		return
	}
	for addr, n := range others {
		if v := s.servers[addr]; v != nil {
			v.target.SetPeerInflight(n)
		}
	}
}

// SetRate sets the bound on the rate of attempts of this VM, per second, at a backend server
// of a service. board.Unlimited removes it.
func (h *Handler) SetRate(name, addr string, perSecond float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.serviceByName(name)
	if s == nil {
		return
	}
	if v := s.servers[addr]; v != nil {
		v.target.Rate().Set(time.Now(), perSecond)
		s.updateMaxRunning()
	}
}

// IsLimited reports whether a backend server states a rate limit.
func (h *Handler) IsLimited(name, addr string) bool {
	v := h.serverByAddr(name, addr)
	return v != nil && v.target.Rate().Limited()
}

// GrantTrial allows one attempt at a backend server beyond the bound on its rate.
func (h *Handler) GrantTrial(name, addr string) {
	if v := h.serverByAddr(name, addr); v != nil {
		v.target.Rate().Grant(time.Now())
	}
}

// Inflight returns the exchanges in flight for each backend server that has any.
func (h *Handler) Inflight() []board.InflightStats {
	st := h.state.Load()
	if st == nil {
		return nil
	}
	var out []board.InflightStats
	for _, s := range st.services {
		out = s.appendInflight(out)
	}
	return out
}

// Generation returns the generation of the release in effect, 0 before the first.
func (h *Handler) Generation() uint64 {
	if st := h.state.Load(); st != nil {
		return st.generation
	}
	return 0
}

// Close closes the idle connections to backend servers. It does not interrupt
// requests in flight.
func (h *Handler) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if st := h.state.Load(); st != nil {
		for _, s := range st.services {
			s.closeUnusedPools(nil)
		}
	}
}

// serverFor returns the server that belongs to a target of the picker of s. The
// target may be missing in s: the picker is updated in place, so it may already
// follow a newer release than the one the request started under. The result is nil
// when the newest release has no such server either.
func (h *Handler) serverFor(s *service, t *pick.Target) *server {
	if v := s.servers[t.Addr()]; v != nil && v.target == t {
		return v
	}
	if latest := h.state.Load().services[s.note.Name]; latest != nil {
		return latest.servers[t.Addr()]
	}
	return nil
}

const (
	// defaultUsers is the number of VMs that use a server where it is not known, and the least.
	defaultUsers = 18
	// usedConns is the share of the connections that a server accepts that the VMs use. The
	// rest is for health checks and replacement VMs.
	usedConns = 0.75
)

// connsPerVM returns how many of the connections that a server accepts from all VMs each one
// of its users may open, at least 1.
func connsPerVM(all, users int) int { return max(1, int(usedConns*float64(all))/users) }

// SetUsers sets the number of VMs that use the servers of a service, this one included.
func (h *Handler) SetUsers(name string, users int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.serviceByName(name)
	if s == nil {
		return
	}
	s.users = max(defaultUsers, users)
	for _, v := range s.servers {
		v.pool.SetMaxConns(connsPerVM(v.note.Conns, s.users))
	}
}

func (h *Handler) recordSample(s board.Sample) {
	if st := h.state.Load(); st != nil {
		if v := st.services[s.Service]; v != nil {
			v.counters.outcome(s.Outcome)
		}
	}
	if h.opts.Sample != nil {
		h.opts.Sample(s)
	}
}

// ServeHTTP serves one request of a caller. It writes the response of a backend
// server, or an error response when the request fails.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := h.callerID(r)
	start := time.Now()
	counters := h.counters
	h.limitBody(w, r)
	c, err := h.prepareCall(w, r, id)
	if c != nil {
		counters = c.service.counters
		defer c.releaseBody()
	}
	writeError := fault.WriteResponse
	switch {
	case err == nil:
		err = h.serveCall(w, r, c)
	case h.mayHaveRun(r, err):
		writeError = fault.WriteRanUnknown
	}
	if err == nil {
		counters.responses.Inc()
	} else {
		counters.fault(fault.KindOf(err))
		writeError(w, err, id)
	}
	counters.duration.UpdateDuration(start)
	if stop := h.stop.Load(); stop != nil {
		stop.counts.count(err)
	}
	h.logRequest(id, start, c, err)
}

// mayHaveRun reports whether an earlier request with the same idempotency key may
// have run, given that r was rejected with err before its key was looked up. No
// request runs under a missing or malformed key.
func (h *Handler) mayHaveRun(r *http.Request, err error) bool {
	key := h.opts.Dialect.IdempotencyKeyHeader
	if key == "" || r.Header.Get(key) == "" || r.Method == http.MethodGet || r.Method == http.MethodHead {
		return false
	}
	return fault.KindOf(err) != fault.KeyInvalid
}

// serveCall executes an admitted call and writes its response. When it returns an
// error, nothing has been written yet.
func (h *Handler) serveCall(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.key != "" {
		a, err := h.opts.RunOnce(ctx, c.idem(), c.runHolding)
		if err != nil {
			return err
		}
		writeComplete(w, c, a.Status(), a.Header(), a.Body())
		return nil
	}
	// An HTTP/1.0 caller cannot distinguish an aborted stream from a complete one unless it
	// knows the length.
	mode := bufferStart
	if !r.ProtoAtLeast(1, 1) {
		mode = bufferUnframed
	}
	resp, err := c.execute(ctx, mode)
	if err != nil {
		return err
	}
	defer resp.close()
	resp.write(w, c)
	return nil
}

// DispatchForwarded executes a request that a peer forwarded to this VM because it
// owns the idempotency key. Queueing and attempts are the same as for a direct
// request; the rate limit of the account is skipped, because the peer has already
// charged it. DispatchForwarded does not consult the ledger; the calling code must
// hold the key.
func (h *Handler) DispatchForwarded(ctx context.Context, in idem.Call) (*idem.Response, error) {
	c, err := h.newForwardedCall(ctx, in)
	if err != nil {
		return nil, err
	}
	return c.runKeyed(ctx)
}
