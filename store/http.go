package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/sleep"
)

const (
	defaultTimeout   = 2 * time.Second  // The platform usually responds within milliseconds.
	defaultWatchWait = 10 * time.Second // Wait that a watch requests from the server.
	maxReadAttempts  = 2                // Writes are never retried here, because a failed one may have taken effect.
	retryPause       = 100 * time.Millisecond
	maxListingBytes  = 8 << 20 // For listings of objects and of VMs.
	maxIdleConns     = 16
	maxHeaderBytes   = 64 << 10 // Of a response.
)

// EraHeader states the era of the platform in each response, and in a write the era in which
// its condition was read.
const EraHeader = "Azuredeal-Era"

// Option configures the client that NewHTTP returns.
type Option func(*remote)

// WithTimeout sets the timeout of each call. The timeout of a watch is its wait plus d.
// The default is 2 s.
func WithTimeout(d time.Duration) Option { return func(r *remote) { r.timeout = d } }

// WithWait sets how long a watch asks the server to wait for a change. The default is
// 10 s.
func WithWait(d time.Duration) Option { return func(r *remote) { r.wait = d } }

// WithRand sets the random source of the retry jitter. It must return numbers in [0, 1).
func WithRand(randFloat func() float64) Option { return func(r *remote) { r.randFloat = randFloat } }

// remote is the HTTP implementation of Client.
type remote struct {
	base      string
	client    *http.Client
	timeout   time.Duration
	wait      time.Duration
	randFloat func() float64
}

// NewHTTP returns a client of the object API at base, such as
// "http://127.0.0.1:7000". If client is nil, a client with a new transport is
// used. A read that fails with PlatformDown is retried once after a jittered pause;
// writes and watches are not.
func NewHTTP(base string, client *http.Client, opts ...Option) *Client {
	r := &remote{
		base:      strings.TrimSuffix(base, "/"),
		client:    client,
		timeout:   defaultTimeout,
		wait:      defaultWatchWait,
		randFloat: rand.Float64,
	}
	if r.client == nil {
		r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxHeaderBytes}}
	}
	for _, o := range opts {
		o(r)
	}
	return &Client{Get: r.get, Put: r.put, Delete: r.remove, List: r.list, Watch: r.watch, ListVMs: r.listVMs}
}

func (r *remote) get(ctx context.Context, name string) (Object, error) {
	path, err := objectPath(name)
	if err != nil {
		return Object{}, err
	}
	var o Object
	err = r.retryRead(ctx, func() error {
		o, err = r.readObject(ctx, path, r.timeout)
		return err
	})
	return o, err
}

func (r *remote) watch(ctx context.Context, name string, after Version) (Object, error) {
	path, err := objectPath(name)
	if err != nil {
		return Object{}, err
	}
	query := url.Values{
		"watch": {strconv.FormatUint(after.Number(), 10)}, "era": {strconv.FormatUint(after.Era(), 10)}, "wait": {r.wait.String()},
	}
	return r.readObject(ctx, path+"?"+query.Encode(), r.wait+r.timeout)
}

// readObject reads one object. The version of one that does not exist has number 0.
func (r *remote) readObject(ctx context.Context, path string, timeout time.Duration) (Object, error) {
	got, err := r.call(ctx, apiRequest{method: http.MethodGet, path: path, timeout: timeout, limit: MaxValueBytes})
	if err != nil {
		return Object{}, err
	}
	if got.status == http.StatusNotFound {
		version, err := NewVersion(got.era, 0)
		return Object{Version: version}, err
	}
	version, err := got.version()
	if err != nil {
		return Object{}, err
	}
	return Object{Value: got.body, Version: version}, nil
}

func (r *remote) put(ctx context.Context, name string, value []byte, cond Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, fault.New(fault.Invalid, "value of %d bytes exceeds %d", len(value), MaxValueBytes)
	}
	path, err := objectPath(name)
	if err != nil {
		return 0, err
	}
	got, err := r.call(ctx, apiRequest{
		method: http.MethodPut, path: path, timeout: r.timeout, write: true, cond: cond, value: value,
	})
	if err != nil {
		return 0, err
	}
	return got.version()
}

func (r *remote) remove(ctx context.Context, name string, cond Version) error {
	path, err := objectPath(name)
	if err != nil {
		return err
	}
	_, err = r.call(ctx, apiRequest{method: http.MethodDelete, path: path, timeout: r.timeout, write: true, cond: cond})
	return err
}

func (r *remote) list(ctx context.Context, prefix string) ([]ObjectInfo, error) {
	var rows []struct {
		Name   string `json:"name"`
		Number uint64 `json:"version"`
	}
	era, err := r.readListing(ctx, "/v1/objects?"+url.Values{"prefix": {prefix}}.Encode(), &rows)
	if err != nil {
		return nil, err
	}
	out := make([]ObjectInfo, 0, len(rows))
	for _, row := range rows {
		version, err := NewVersion(era, row.Number)
		if err != nil {
			return nil, err
		}
		out = append(out, ObjectInfo{Name: row.Name, Version: version})
	}
	return out, nil
}

func (r *remote) listVMs(ctx context.Context) ([]VM, error) {
	var out []VM
	_, err := r.readListing(ctx, "/v1/vms", &out)
	return out, err
}

// readListing reads a JSON listing into the value that into points to, and returns its era.
func (r *remote) readListing(ctx context.Context, path string, into any) (era uint64, err error) {
	err = r.retryRead(ctx, func() error {
		got, err := r.call(ctx, apiRequest{method: http.MethodGet, path: path, timeout: r.timeout, limit: maxListingBytes})
		if err != nil {
			return err
		}
		if got.status != http.StatusOK {
			return fault.New(fault.PlatformDown, "listing answered with status %d", got.status)
		}
		era = got.era
		return fault.Wrap(fault.PlatformDown, json.Unmarshal(got.body, into), "listing")
	})
	return era, err
}

// retryRead retries a read once when it fails with PlatformDown. The pause has jitter, so
// that clients whose reads failed at the same time do not retry at the same time.
func (r *remote) retryRead(ctx context.Context, read func() error) error {
	var err error
	for attempt := range maxReadAttempts {
		if attempt > 0 && !sleep.For(ctx, time.Duration((0.5+r.randFloat())*float64(retryPause))) {
			return err
		}
		if err = read(); fault.KindOf(err) != fault.PlatformDown || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// apiRequest is one request to the object API.
type apiRequest struct {
	method  string
	path    string // Including the query.
	timeout time.Duration
	limit   int // Largest accepted response body, in bytes.
	write   bool
	cond    Version // Expected version of the object, for a write.
	value   []byte
}

// apiResponse is a complete response of the platform.
type apiResponse struct {
	status int
	etag   string
	era    uint64
	body   []byte
}

// call sends one request and reads the complete response. When it is unknown whether the
// request took effect, the error is PlatformDown.
func (r *remote) call(ctx context.Context, a apiRequest) (apiResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, r.base+a.path, bytes.NewReader(a.value))
	if err != nil {
		return apiResponse{}, fault.Wrap(fault.Internal, err, "platform request")
	}
	if a.write {
		setCondition(req, a.cond)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return apiResponse{}, fault.Wrap(fault.PlatformDown, err, "platform call")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(a.limit)+1))
	if err != nil {
		return apiResponse{}, fault.Wrap(fault.PlatformDown, err, "platform answer")
	}
	if err := statusError(resp.StatusCode, a.write); err != nil {
		return apiResponse{}, err
	}
	era, err := parseEra(resp.Header.Values(EraHeader))
	if err != nil {
		return apiResponse{}, err
	}
	if len(body) > a.limit {
		return apiResponse{}, fault.New(fault.PlatformDown, "platform answer exceeds %d bytes", a.limit)
	}
	return apiResponse{status: resp.StatusCode, etag: resp.Header.Get("ETag"), era: era, body: body}, nil
}

// setCondition adds the headers that make a write conditional on the version cond and its era.
func setCondition(req *http.Request, cond Version) {
	req.Header.Set(EraHeader, strconv.FormatUint(cond.Era(), 10))
	if !cond.Exists() {
		req.Header.Set("If-None-Match", "*")
		return
	}
	req.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(cond.Number(), 10)))
}

// parseEra returns the era that a response states; a platform that states none has never come
// back from a copy.
func parseEra(values []string) (uint64, error) {
	if len(values) == 0 {
		return FirstEra, nil
	}
	era, err := strconv.ParseUint(values[0], 10, 64)
	if err != nil || len(values) > 1 || era < FirstEra {
		return 0, fault.New(fault.PlatformDown, "platform states era %q", values)
	}
	return era, nil
}

// statusError returns the error for a response status, or nil if the call succeeded. The
// status 404 of a read is no error.
func statusError(status int, write bool) error {
	switch {
	case status == http.StatusOK, status == http.StatusNoContent:
		return nil
	case status == http.StatusNotFound && !write:
		return nil
	case status == http.StatusPreconditionFailed:
		return fault.New(fault.Conflict, "object is not at the expected version")
	case status == http.StatusRequestEntityTooLarge:
		return fault.New(fault.Invalid, "value is too large for the platform")
	case status >= http.StatusInternalServerError, status == http.StatusTooManyRequests:
		return fault.New(fault.PlatformDown, "platform answered with status %d", status)
	default:
		return fault.New(fault.Internal, "platform refused with status %d", status)
	}
}

// version returns the version in the ETag of the response.
func (r apiResponse) version() (Version, error) {
	v, err := strconv.ParseUint(strings.Trim(r.etag, `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, fault.New(fault.PlatformDown, "platform answer has ETag %q", r.etag)
	}
	return NewVersion(r.era, v)
}

// objectPath returns the URL path of an object. It returns an Invalid error for a name
// that a server would normalize, because the request would reach another object.
func objectPath(name string) (string, error) {
	segments := strings.Split(name, "/")
	for i, segment := range segments {
		if segment == "" || segment == "." || segment == ".." {
			return "", fault.New(fault.Invalid, "object name %q has an empty or dotted part", name)
		}
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/objects/" + strings.Join(segments, "/"), nil
}
