package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/idem"
	"github.com/azuredeal/azuredeal/limit"
)

// call is one request, whole and accepted, with what its attempts need.
type call struct {
	handler *Handler
	service *service
	route   *Route
	// repeatable says that the call may run more than once.
	repeatable bool
	account    string
	class      limit.Class
	deadline   time.Time
	id         string // What the caller sees.
	proto      int    // Major version of HTTP that the caller speaks.
	key        string // Only on a non-idempotent route.
	method     string
	host       string
	target     string // Path and query.
	header     http.Header
	body       []byte
	held       int64 // Bytes counted for body.
	generation uint64
	status     int           // Of the response; 0 for a refusal.
	waited     time.Duration // For room in the queue.
	attempts   []attemptLog
}

// accept checks a request and reads its body. The call is returned together
// with an error when the service is known.
func (h *Handler) accept(w http.ResponseWriter, r *http.Request, id string) (*call, error) {
	start := time.Now()
	st := h.state.Load()
	if st == nil {
		return nil, fault.New(fault.NotReady, "no release")
	}
	c, err := h.find(st, r.Host, r.URL, r.Method)
	if err != nil {
		return nil, err
	}
	c.id, c.proto = id, r.ProtoMajor
	c.header = r.Header
	if err := c.identify(st, start); err != nil {
		return c, err
	}
	if err := c.setKey(); err != nil {
		return c, err
	}
	if err := c.setDeadline(start); err != nil {
		return c, err
	}
	c.header = forwardable(r.Header)
	c.body, err = c.readBody(w, r)
	return c, err
}

// find returns the call for the route of a request.
func (h *Handler) find(st *state, host string, u *url.URL, method string) (*call, error) {
	if ambiguous(u) {
		return nil, fault.New(fault.BadRequest, "the path can be read in more than one way")
	}
	route := st.table.Find(host, u.Path, method)
	if route == nil {
		return nil, fault.New(fault.NoRoute, "no route for %s", method)
	}
	name := route.next()
	s := st.services[name]
	if s == nil {
		return nil, fault.New(fault.NoRoute, "route %s leads to no service %q", route.name, name)
	}
	return &call{
		handler: h, service: s, route: route, repeatable: route.idempotent,
		generation: st.generation, class: route.class, method: method, host: host, target: u.RequestURI(),
	}, nil
}

// ambiguous reports whether a backend server could read the path as one that
// has another route: an approval could then pass for a lookup, and be retried.
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
	for part := range strings.SplitSeq(path, "/") {
		part, _, _ = strings.Cut(part, ";") // Some servers drop path parameters first.
		if part == "." || part == ".." {
			return true
		}
	}
	return false
}

// identify finds the account and charges its rate.
func (c *call) identify(st *state, now time.Time) error {
	h := c.handler
	token := c.header.Get(HeaderAccount)
	if token == "" {
		if !h.rates.Allow(now, "", h.opts.AnonymousRate, h.opts.AnonymousBurst) {
			return fault.New(fault.AccountLimited, "anonymous callers")
		}
		return nil
	}
	a := st.accounts.byToken(token)
	if a == nil {
		return fault.New(fault.UnknownAccount, "no account has this token")
	}
	c.setAccount(a)
	if !h.rates.Allow(now, a.name, a.rate, a.burst) {
		return fault.New(fault.AccountLimited, "account %s", a.name)
	}
	return nil
}

func (c *call) setAccount(a *account) {
	c.account = a.name
	c.class = max(c.class, a.class)
}

// setKey takes the key of a request that must not run twice.
func (c *call) setKey() error {
	if c.repeatable || c.handler.opts.Dialect.IdempotencyKeyHeader == "" {
		return nil
	}
	keys := c.header[c.handler.opts.Dialect.IdempotencyKeyHeader]
	if len(keys) > 1 {
		return fault.New(fault.KeyInvalid, "%d keys", len(keys))
	}
	if len(keys) == 1 {
		if keys[0] == "" {
			return fault.New(fault.KeyInvalid, "empty key")
		}
		c.key = keys[0]
	}
	if c.key == "" && c.route.keyed {
		return fault.New(fault.KeyMissing, "route %s", c.route.name)
	}
	return nil
}

// setDeadline takes the shorter of the route's time and the caller's.
func (c *call) setDeadline(start time.Time) error {
	left := c.service.deadline(c.route)
	if text := c.header.Get(c.handler.opts.Dialect.DeadlineHeader); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return fault.Wrap(fault.BadRequest, err, "deadline")
		}
		left = min(left, time.Duration(ms)*time.Millisecond)
	}
	c.deadline = start.Add(left)
	return nil
}

const (
	ownPrefix = "Azuredeal-"
	ownFields = 3 // Request id, deadline and User-Agent, which an attempt adds.
)

// forwardable returns a copy of the header without what is meant for the
// fleet, such as the token of the account. The values are shared with in and
// among the attempts, so they must not be changed in place.
func forwardable(in http.Header) http.Header {
	out := make(http.Header, len(in)+ownFields)
	for name, values := range in {
		if !strings.HasPrefix(name, ownPrefix) && name != fault.HeaderRequestID {
			out[name] = slices.Clip(values)
		}
	}
	return out
}

// limitBody sets the time limit to read the body. It holds before the request
// is accepted, because the server reads some of the body before it writes a
// refusal.
func (h *Handler) limitBody(w http.ResponseWriter, r *http.Request) {
	if r.Body != nil && r.Body != http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.opts.BodyReadTimeout))
	}
}

// readBody reads the whole request body within the limits of size and time.
func (c *call) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return nil, nil
	}
	most := c.service.bodyLimit()
	if r.ContentLength > most {
		return nil, fault.New(fault.BodyTooLarge, "%d bytes", r.ContentLength)
	}
	rc := http.NewResponseController(w)
	if time.Until(c.deadline) < c.handler.opts.BodyReadTimeout {
		_ = rc.SetReadDeadline(c.deadline)
	}
	body, err := c.readAll(http.MaxBytesReader(w, r.Body, most), r.ContentLength)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		_ = rc.SetReadDeadline(time.Time{})
		return body, nil
	case fault.KindOf(err) == fault.QueueFull:
		return nil, err
	case errors.As(err, &large):
		return nil, fault.Wrap(fault.BodyTooLarge, err, "request body")
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, fault.Wrap(fault.BodyTimeout, err, "request body")
	default:
		return nil, fault.Wrap(fault.BadRequest, err, "request body")
	}
}

const bodyStart = 16 << 10 // Bytes allocated before any of the body has arrived.

// readAll reads to the end. It does not trust the announced length beyond a
// small buffer, which a caller that sends nothing could use to hold memory.
func (c *call) readAll(r io.Reader, length int64) ([]byte, error) {
	size := int64(bodyStart)
	if length >= 0 {
		size = min(size, length+1)
	}
	if !c.hold(size) {
		return nil, errBodyRoom
	}
	body := make([]byte, 0, size)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		if len(body) == cap(body) {
			if !c.hold(int64(cap(body))) {
				return nil, errBodyRoom
			}
			body = slices.Grow(body, len(body))
		}
	}
}

var errBodyRoom = fault.New(fault.QueueFull, "no room for request bodies")

// hold counts n bytes of body against the room of all callers.
func (c *call) hold(n int64) bool {
	c.held += n
	return c.handler.held.Add(n) <= c.handler.opts.MaxTotalBodyBytes
}

// drop gives back what the body held.
func (c *call) drop() { c.handler.held.Add(-c.held) }

const idLength = 128 // Longest request id of a caller that is repeated to it.

// callerID returns the caller's own request id when it has a sound one, so that
// the caller can match its response, or a new one. Attempts use it only where
// the dialect says so: elsewhere callers may repeat an id.
func (h *Handler) callerID(r *http.Request) string {
	id := r.Header.Get(h.opts.Dialect.ID)
	if id == "" || len(id) > idLength {
		return h.newID()
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return h.newID()
		}
	}
	return id
}

// idem returns the call in the form that other VMs understand.
func (c *call) idem() idem.Call {
	return idem.Call{
		Account: c.account, Key: c.key, Method: c.method, Host: c.host,
		Target: c.target, Header: c.header, Body: c.body, ID: c.id,
	}
}

// forwarded returns the call of a request that a peer has read and authenticated.
func (h *Handler) forwarded(ctx context.Context, in idem.Call) (*call, error) {
	st := h.state.Load()
	if st == nil {
		return nil, fault.New(fault.NotReady, "no release")
	}
	u, err := url.ParseRequestURI(in.Target)
	if err != nil {
		return nil, fault.Wrap(fault.BadRequest, err, "target")
	}
	c, err := h.find(st, in.Host, u, in.Method)
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
	// The peer took the request for one that must not run twice. A release that
	// says otherwise here does not change what the caller was promised.
	c.repeatable = false
	c.header = forwardable(in.Header)
	c.deadline = time.Now().Add(c.service.deadline(c.route))
	if until, ok := ctx.Deadline(); ok && until.Before(c.deadline) {
		c.deadline = until
	}
	return c, nil
}
