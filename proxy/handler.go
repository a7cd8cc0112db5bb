// Package proxy is the request path of an entry VM: it finds the route, admits
// the request, sends attempts to backend servers and gives the caller a whole
// response or an accurate refusal.
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
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/pool"
)

// Header names of requests.
const (
	HeaderAccount        = "Azuredeal-Account" // Token of the caller's account.
	HeaderIdempotencyKey = pool.HeaderIdempotencyKey
)

// Defaults of Options.
const (
	defaultAnonymousRate  = 50 // Requests a second on one VM.
	defaultAnonymousBurst = 100
	defaultBodyTime       = 10 * time.Second
	defaultBodyRoom       = 256 << 20 // Bytes.
)

// Options configures a Handler. Zero values take defaults.
type Options struct {
	Dialect *pool.Dialect // pool.Own by default.
	Zone    string        // Availability zone of this VM.
	Seed    uint64        // Fixes the choice of backend servers.
	// AnonymousRate, in requests a second, and AnonymousBurst bound the requests
	// without an account, taken together. A rate of 0 takes the defaults, 50 and 100.
	AnonymousRate     float64
	AnonymousBurst    int
	BodyReadTimeout   time.Duration // Time limit to read a request body, 10 s by default.
	MaxTotalBodyBytes int64         // Bytes of all request bodies together, 256 MiB by default.
	IdleTimeout       time.Duration // See pool.Options.
	ConnectTimeout    time.Duration // See pool.Options.
	Dial              func(ctx context.Context, network, address string) (net.Conn, error)
	// Conns returns how many of a backend server's connections this VM may use;
	// by default a twenty-fourth: 18 entry VMs then leave a quarter of them to
	// probes and to VMs that replace others.
	Conns func(all int) int
	// Subset returns those of the backend servers of a service that this VM
	// uses; all by default. It may be called on any goroutine that sets releases.
	Subset func(s note.Service, all []*pick.Target) []*pick.Target
	// Sample takes the outcome of each attempt; it must not block.
	Sample func(board.Sample)
	// RunOnce runs a keyed request at most once. By default it runs each request.
	RunOnce func(ctx context.Context, c idem.Call, run idem.RunFunc) (*idem.Response, error)
	Metrics *metrics.Set // By default a set of its own.
	// Log takes a line for each request that was not answered by its first attempt,
	// and at level debug for all others.
	Log zerolog.Logger
}

// Handler serves callers.
type Handler struct {
	opts  Options
	mu    sync.Mutex // Held by SetRelease, SetWeights and SetHome.
	state atomic.Pointer[state]
	rates *limit.TokenBuckets
	count *counters // Of requests that have no service.
	stem  string    // Begins each request id of this process.
	seq   atomic.Uint64
	held  atomic.Int64 // Bytes of request bodies.

	choose func(p *pick.Picker, tried []*pick.Target) *pick.Target
	steady func(p *pick.Picker, tried []*pick.Target) *pick.Target // For requests that must not run twice.
	spend  func(b *limit.RetryBudget) bool
}

// state is what one release needs. It is immutable.
type state struct {
	generation uint64
	table      *RouteTable
	services   map[string]*service
	accounts   *accounts
}

// New returns a handler without a release; it refuses with NotReady until
// SetRelease.
func New(opts Options) *Handler {
	if opts.AnonymousRate == 0 {
		opts.AnonymousRate, opts.AnonymousBurst = defaultAnonymousRate, defaultAnonymousBurst
	}
	if opts.BodyReadTimeout <= 0 {
		opts.BodyReadTimeout = defaultBodyTime
	}
	opts.MaxTotalBodyBytes = orDefault(opts.MaxTotalBodyBytes, defaultBodyRoom)
	if opts.Dialect == nil {
		opts.Dialect = pool.DefaultDialect()
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewSet()
	}
	if opts.RunOnce == nil {
		opts.RunOnce = func(ctx context.Context, _ idem.Call, run idem.RunFunc) (*idem.Response, error) { return run(ctx) }
	}
	h := &Handler{
		opts:   opts,
		rates:  limit.NewTokenBuckets(),
		count:  newCounters(opts.Metrics, ""),
		stem:   newStem(),
		choose: (*pick.Picker).Pick,
		steady: (*pick.Picker).PickReliable,
		spend:  (*limit.RetryBudget).TryWithdraw,
	}
	return h
}

const stemBytes = 6

// newStem returns a random start for request ids: an id must not occur twice
// among all processes, or a crossed response could pass for the right one.
func newStem() string {
	var b [stemBytes]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:]) + "-"
}

func (h *Handler) newID() string {
	const base = 36
	var b [2*stemBytes + 1 + 13]byte // 13 digits are the most that 64 bits take.
	return string(strconv.AppendUint(append(b[:0], h.stem...), h.seq.Add(1), base))
}

// SetRelease puts a release into effect. Connections, queues and budgets of
// what did not change are kept; requests in flight end as they began, but their
// further attempts avoid backend servers that are leaving.
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
		var before *service
		if old != nil {
			before = old.services[n.Name]
		}
		next.services[n.Name] = h.newService(n, before)
	}
	h.state.Store(next)
	if old == nil {
		return
	}
	for name, s := range old.services {
		if next.services[name] == nil {
			s.picker.SetTargets(nil)
		}
		s.retire(next.services[name])
	}
}

// SetWeights sets the shares, 0 to 1, of backend servers of a service, by
// address. Servers that are not named keep theirs.
func (h *Handler) SetWeights(name string, weights map[string]float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	st := h.state.Load()
	if st == nil || st.services[name] == nil {
		return
	}
	s := st.services[name]
	for addr, w := range weights {
		if v := s.servers[addr]; v != nil {
			v.target.SetWeight(w)
		}
	}
	s.makeRoom()
}

// SetPreferred sets the backend servers of a service, by address, that this VM fills first.
func (h *Handler) SetPreferred(name string, addrs []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if st := h.state.Load(); st != nil && st.services[name] != nil {
		st.services[name].picker.SetPreferred(addrs)
	}
}

// SetPeerInflight sets how many requests of other VMs backend servers of a service are
// expected to have in flight, by address.
func (h *Handler) SetPeerInflight(name string, others map[string]float64) {
	st := h.state.Load()
	if st == nil || st.services[name] == nil {
		return
	}
	for addr, n := range others {
		if v := st.services[name].servers[addr]; v != nil {
			v.target.SetPeerInflight(n)
		}
	}
}

// Inflight returns what is in flight; a backend server with nothing is left out.
func (h *Handler) Inflight() []board.InflightStats {
	st := h.state.Load()
	if st == nil {
		return nil
	}
	var out []board.InflightStats
	for _, s := range st.services {
		out = s.flights(out)
	}
	return out
}

// Generation returns the generation in effect, 0 before the first.
func (h *Handler) Generation() uint64 {
	if st := h.state.Load(); st != nil {
		return st.generation
	}
	return 0
}

// Close closes idle connections to backend servers. Requests in flight are not
// interrupted.
func (h *Handler) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if st := h.state.Load(); st != nil {
		for _, s := range st.services {
			s.retire(nil)
		}
	}
}

// current returns the server that a target of s stands for. The picker may be
// ahead of s, when a release has changed the service since the request began.
func (h *Handler) current(s *service, t *pick.Target) *server {
	if v := s.servers[t.Addr()]; v != nil && v.target == t {
		return v
	}
	if now := h.state.Load().services[s.note.Name]; now != nil {
		return now.servers[t.Addr()]
	}
	return nil
}

const fleetShare = 24

func (h *Handler) conns(all int) int {
	if h.opts.Conns != nil {
		return h.opts.Conns(all)
	}
	return max(1, all/fleetShare)
}

func (h *Handler) sample(s board.Sample) {
	if st := h.state.Load(); st != nil {
		if v := st.services[s.Service]; v != nil {
			v.count.outcome(s.Outcome)
		}
	}
	if h.opts.Sample != nil {
		h.opts.Sample(s)
	}
}

// ServeHTTP serves one request of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := h.callerID(r)
	start := time.Now()
	count := h.count
	h.limitBody(w, r)
	c, err := h.accept(w, r, id)
	if c != nil {
		count = c.service.count
		defer c.drop()
	}
	refuse := fault.WriteResponse
	switch {
	case err == nil:
		err = h.answer(w, r, c)
	case h.mayHaveRun(r, err):
		refuse = fault.WriteRanUnknown
	}
	if err == nil {
		count.whole.Inc()
	} else {
		count.fault(fault.KindOf(err))
		refuse(w, err, id)
	}
	count.duration.UpdateDuration(start)
	h.logRequest(id, start, c, err)
}

// mayHaveRun reports whether an earlier request with the key of r may have run,
// when r was refused before its key was looked up. A key that is missing or
// malformed never ran.
func (h *Handler) mayHaveRun(r *http.Request, err error) bool {
	key := h.opts.Dialect.IdempotencyKeyHeader
	if key == "" || r.Header.Get(key) == "" || r.Method == http.MethodGet || r.Method == http.MethodHead {
		return false
	}
	return fault.KindOf(err) != fault.KeyInvalid
}

// answer runs an accepted call and writes its response. An error means that
// nothing has been written yet.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, c *call) error {
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	if c.key != "" {
		a, err := h.opts.RunOnce(ctx, c.idem(), c.run)
		if err != nil {
			return err
		}
		writeWhole(w, c, a.Status(), a.Header(), a.Body())
		return nil
	}
	// A caller with HTTP/1.0 cannot tell an aborted stream from a complete one.
	p, err := c.execute(ctx, !r.ProtoAtLeast(1, 1))
	if err != nil {
		return err
	}
	defer p.close()
	p.write(w, c)
	return nil
}

// DispatchForwarded runs a request that a peer forwarded to this VM as the owner of its
// key: the same admission and attempts as for a caller's own connection, without
// the rate of the account, which the peer has charged. It does not consult the
// ledger; the caller of DispatchForwarded must hold the key.
func (h *Handler) DispatchForwarded(ctx context.Context, in idem.Call) (*idem.Response, error) {
	c, err := h.forwarded(ctx, in)
	if err != nil {
		return nil, err
	}
	return c.run(ctx)
}
