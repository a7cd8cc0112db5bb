package proxy

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/idem"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/internal/fleet/crash"
	"github.com/azuredeal/azuredeal/limit"
)

// call is one request that was read in full, with the data its attempts need.
type call struct {
	handler *Handler
	service *service
	route   *Route
	// repeatable is set when the request may run more than once.
	repeatable bool
	account    string
	caller     string // IP address of the caller; empty when another VM has read the request.
	class      limit.Class
	deadline   time.Time
	id         string // Request ID in the response to the caller.
	proto      int    // Major HTTP version of the caller.
	key        string // Idempotency key; set on non-idempotent routes only.
	method     string
	host       string
	target     string // Path and query.
	header     http.Header
	body       []byte
	heldBody   *memory.Body // Whose data is body; nil when another VM has read the request.
	generation uint64
	status     int           // Of the response; 0 when the call failed.
	queueTime  time.Duration // Time spent waiting in the queue.
	attempts   []attemptLog
	stop       stopLog

	digestOnce  sync.Once
	knownDigest crash.Digest // Valid once digestOnce is done.
	isTrial     bool         // The request is in quarantine and sent nevertheless.
	endedWell   atomic.Bool  // One of its attempts did.
}

// prepareCall validates a request, charges its account and reads its body. An error
// comes with a non-nil call when the service was already known.
func (h *Handler) prepareCall(w http.ResponseWriter, r *http.Request, id string) (*call, error) {
	start := time.Now()
	st := h.state.Load()
	if st == nil {
		return nil, fault.New(fault.NotReady, "no release")
	}
	c, err := h.routeCall(st, r.Host, r.URL, r.Method)
	if err != nil {
		return nil, err
	}
	c.id, c.proto = id, r.ProtoMajor
	c.caller, _, _ = net.SplitHostPort(r.RemoteAddr)
	c.header = r.Header
	if err := c.admitAccount(st, start); err != nil {
		return c, err
	}
	if err := c.setKey(); err != nil {
		return c, err
	}
	if err := c.setDeadline(start); err != nil {
		return c, err
	}
	if err := c.admitBeforeStop(start); err != nil {
		return c, err
	}
	c.header = forwardable(r.Header)
	return c, c.readBody(w, r)
}

// routeCall finds the route and the service of a request and returns a new call for them.
func (h *Handler) routeCall(st *state, host string, u *url.URL, method string) (*call, error) {
	route, err := findRoute(st, host, u, method)
	if err != nil {
		return nil, err
	}
	c, err := h.newCall(st, route, route.nextService())
	if err != nil {
		return nil, err
	}
	c.method, c.host, c.target = method, host, u.RequestURI()
	return c, nil
}

func findRoute(st *state, host string, u *url.URL, method string) (*Route, error) {
	if ambiguous(u) {
		return nil, fault.New(fault.BadRequest, "the path can be read in more than one way")
	}
	route := st.table.Find(host, u.Path, method)
	if route == nil {
		return nil, fault.New(fault.NoRoute, "no route for %s", method)
	}
	return route, nil
}

func (h *Handler) newCall(st *state, route *Route, service string) (*call, error) {
	s := st.services[service]
	if s == nil {
		return nil, fault.New(fault.NoRoute, "route %s leads to no service %q", route.name, service)
	}
	return &call{
		handler: h, service: s, route: route, repeatable: route.idempotent, generation: st.generation, class: route.class,
	}, nil
}

// ambiguous reports whether a backend server could normalize the path to one that
// matches another route. A non-idempotent request could then be treated as an
// idempotent one and be retried.
func ambiguous(u *url.URL) bool {
	if !strings.HasPrefix(u.Path, "/") || strings.ContainsAny(u.Path, "\\\x00") {
		return true
	}
	if strings.Contains(u.Path, "//") || strings.Contains(u.Path, "/.") && dotSegment(u.Path) {
		return true
	}
	return u.RawPath != "" && strings.Contains(strings.ToLower(u.RawPath), "%2f")
}

func dotSegment(path string) bool {
	for segment := range strings.SplitSeq(path, "/") {
		segment, _, _ = strings.Cut(segment, ";") // Some servers strip path parameters before resolving dot segments.
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// admitAccount finds the account of the request and charges its token bucket.
func (c *call) admitAccount(st *state, now time.Time) error {
	h := c.handler
	if err := c.findAccount(st); err != nil {
		return err
	}
	rate, burst := h.opts.AnonymousRate, h.opts.AnonymousBurst
	if a := st.accounts.byName[c.account]; a != nil {
		rate, burst = a.rate, a.burst
	}
	if !h.tokenBuckets.Allow(now, c.account, rate, burst) {
		return fault.New(fault.AccountLimited, "account %q", c.account)
	}
	return nil
}

// findAccount sets the account of the request, if it has one.
func (c *call) findAccount(st *state) error {
	token := c.header.Get(HeaderAccount)
	if token == "" {
		return nil
	}
	a := st.accounts.byToken(token)
	if a == nil {
		return fault.New(fault.UnknownAccount, "no account matches the token")
	}
	c.setAccount(a)
	return nil
}

func (c *call) setAccount(a *account) {
	c.account = a.name
	c.class = max(c.class, a.class)
}

// setKey sets the idempotency key of a request that must not run twice.
func (c *call) setKey() error {
	if c.repeatable || c.handler.opts.Dialect.IdempotencyKeyHeader == "" {
		return nil
	}
	keys := c.header[c.handler.opts.Dialect.IdempotencyKeyHeader]
	if len(keys) > 1 {
		return fault.New(fault.KeyInvalid, "%d idempotency keys", len(keys))
	}
	if len(keys) == 1 {
		if keys[0] == "" {
			return fault.New(fault.KeyInvalid, "empty idempotency key")
		}
		c.key = keys[0]
	}
	if c.key == "" && c.route.requiresKey {
		return fault.New(fault.KeyMissing, "route %s", c.route.name)
	}
	return nil
}

// setDeadline applies the shorter of the timeouts of the route and of the caller.
func (c *call) setDeadline(start time.Time) error {
	remaining := c.service.deadline(c.route)
	if text := c.header.Get(c.handler.opts.Dialect.DeadlineHeader); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return fault.Wrap(fault.BadRequest, err, "parse deadline header")
		}
		remaining = min(remaining, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = start.Add(remaining)
	return nil
}

const (
	fleetHeaderPrefix = "Azuredeal-"
	addedHeaderFields = 3 // Request ID, deadline and User-Agent, which each attempt adds.
)

// forwardable returns a copy of the header without the fields meant for the fleet,
// such as the account token. The value slices are shared with in and among the
// attempts, so they must not be modified in place.
func forwardable(in http.Header) http.Header {
	out := make(http.Header, len(in)+addedHeaderFields)
	for name, values := range in {
		if !strings.HasPrefix(name, fleetHeaderPrefix) && name != fault.HeaderRequestID {
			out[name] = slices.Clip(values)
		}
	}
	return out
}

// limitBody sets the read deadline for the body. It is set before the request is
// checked, because net/http reads part of the body before it writes an error
// response.
func (h *Handler) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.opts.BodyReadTimeout))
	}
}

// readBody reads the whole request body within its size and time limits, unless the server of the
// connection has done so.
func (c *call) readBody(w http.ResponseWriter, r *http.Request) error {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil
	}
	maxBytes := c.service.maxBodyBytes()
	if r.ContentLength > maxBytes {
		return fault.New(fault.BodyTooLarge, "%d bytes", r.ContentLength)
	}
	body, ok := r.Body.(*memory.Body)
	if !ok {
		var err error
		if body, err = c.receiveBody(w, r, maxBytes); err != nil {
			return err
		}
		c.heldBody = body
	} else if body.Retain() {
		c.heldBody = body
	}
	var err error
	c.body, err = body.Bytes()
	return err
}

// receiveBody reads the body from the connection.
func (c *call) receiveBody(w http.ResponseWriter, r *http.Request, maxBytes int64) (*memory.Body, error) {
	rc := http.NewResponseController(w)
	if time.Until(c.deadline) < c.handler.opts.BodyReadTimeout {
		_ = rc.SetReadDeadline(c.deadline)
	}
	body, err := memory.ReadBody(r.Context(), http.MaxBytesReader(w, r.Body, maxBytes), r.ContentLength, maxBytes, c.hold(memory.Bodies))
	var large *http.MaxBytesError
	switch kind := fault.KindOf(err); {
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{})
		return body, nil
	case kind == fault.MemoryFull, kind == fault.BodyTooLarge:
		return nil, err
	case errors.As(err, &large):
		return nil, fault.Wrap(fault.BodyTooLarge, err, "request body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.Wrap(fault.BodyTimeout, err, "request body")
	default:
		return nil, fault.Wrap(fault.BadRequest, err, "request body")
	}
}

// releaseBody ends the use of the body by the call.
func (c *call) releaseBody() {
	if c.heldBody != nil {
		c.heldBody.Release()
	}
}

// AdmitBody decides on a request of which only the header has been read, before its body is, and
// returns the hold for the body. Its errors are those that the handler would find afterwards.
func (h *Handler) AdmitBody(r *http.Request) (memory.Hold, error) {
	st := h.state.Load()
	if st == nil {
		return memory.Hold{}, fault.New(fault.NotReady, "no release")
	}
	route, err := findRoute(st, r.Host, r.URL, r.Method)
	if err != nil {
		return memory.Hold{}, err
	}
	c, err := h.newCall(st, route, route.anyService())
	if err != nil {
		return memory.Hold{}, err
	}
	if maxBytes := c.service.maxBodyBytes(); r.ContentLength > maxBytes {
		return memory.Hold{}, fault.New(fault.BodyTooLarge, "%d bytes, %d are allowed", r.ContentLength, maxBytes)
	}
	c.header = r.Header
	c.caller, _, _ = net.SplitHostPort(r.RemoteAddr)
	if err := c.findAccount(st); err != nil {
		return memory.Hold{}, err
	}
	now := time.Now()
	if err := c.setDeadline(now); err != nil {
		return memory.Hold{}, err
	}
	if err := c.checkStop(now); err != nil {
		return memory.Hold{}, err
	}
	hold := c.hold(memory.Bodies)
	if r.ContentLength > 0 && !hold.HasRoom(r.ContentLength) {
		return memory.Hold{}, fault.New(fault.MemoryFull, "no room for a body of %d bytes", r.ContentLength)
	}
	return hold, nil
}

const maxCallerIDBytes = 128 // Longest request ID of a caller that is accepted.

// callerID returns the request ID from the header when it is valid, so that the
// caller can match the response to its request, and a new ID otherwise. Attempts
// use it only with Dialect.KeepRequestID: with other dialects callers may reuse an
// ID.
func (h *Handler) callerID(r *http.Request) string {
	id := r.Header.Get(h.opts.Dialect.ID)
	if id == "" || len(id) > maxCallerIDBytes {
		return h.newRequestID()
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return h.newRequestID()
		}
	}
	return id
}

// hold returns an empty hold of memory for the call. Callers without an account are told apart by
// their addresses.
func (c *call) hold(use memory.Use) memory.Hold {
	return c.handler.opts.Memory.Hold(use, cmp.Or(c.account, c.caller), c.class)
}

// idem converts the call to the form that is forwarded to other VMs.
func (c *call) idem() idem.Call {
	return idem.Call{
		Account: c.account, Key: c.key, Method: c.method, Host: c.host,
		Target: c.target, Header: c.header, Body: c.body, ID: c.id,
	}
}

// newForwardedCall returns the call for a request that a peer read and authenticated.
func (h *Handler) newForwardedCall(ctx context.Context, in idem.Call) (*call, error) {
	st := h.state.Load()
	if st == nil {
		return nil, fault.New(fault.NotReady, "no release")
	}
	u, err := url.ParseRequestURI(in.Target)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "target")
	}
	c, err := h.routeCall(st, in.Host, u, in.Method)
	if err != nil {
		return nil, err
	}
	if in.Account != "" {
		a := st.accounts.byName[in.Account]
		if a == nil {
			return nil, fault.New(fault.UnknownAccount, "account %s", in.Account)
		}
		c.setAccount(a)
	}
	c.id, c.key, c.body = in.ID, in.Key, in.Body
	// The peer handled the request as one that must not run twice. The release on
	// this VM may say otherwise, but that must not weaken the guarantee given to the
	// caller.
	c.repeatable = false
	c.header = forwardable(in.Header)
	c.deadline = time.Now().Add(c.service.deadline(c.route))
	if until, ok := ctx.Deadline(); ok && until.Before(c.deadline) {
		c.deadline = until
	}
	if err := c.admitBeforeStop(time.Now()); err != nil {
		return nil, err
	}
	return c, nil
}
