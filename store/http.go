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
	defaultTimeout = 2 * time.Second  // The platform answers in milliseconds.
	defaultWait    = 10 * time.Second // What a watch asks the server to wait.
	readTries      = 2                // A write is never repeated here: it may have taken effect.
	repeatPause    = 100 * time.Millisecond
	maxListing     = 8 << 20 // Bytes of a listing or the list of VMs.
	maxIdleConns   = 16
)

// Option changes a client of NewHTTP.
type Option func(*remote)

// WithTimeout bounds each call; a watch gets it on top of its wait.
func WithTimeout(d time.Duration) Option { return func(r *remote) { r.timeout = d } }

// WithWait sets how long a watch asks the server to wait.
func WithWait(d time.Duration) Option { return func(r *remote) { r.wait = d } }

// WithRand replaces the source of jitter, which returns numbers in [0, 1).
func WithRand(unit func() float64) Option { return func(r *remote) { r.unit = unit } }

// remote reaches the platform over HTTP.
type remote struct {
	base    string
	client  *http.Client
	timeout time.Duration
	wait    time.Duration
	unit    func() float64
}

// NewHTTP returns a client of the object API at base, such as
// "http://127.0.0.1:7000". A nil client gets a transport of its own. Reads that
// fail are repeated once after a jittered pause; writes and watches are not.
func NewHTTP(base string, client *http.Client, opts ...Option) *Client {
	r := &remote{
		base:    strings.TrimSuffix(base, "/"),
		client:  client,
		timeout: defaultTimeout,
		wait:    defaultWait,
		unit:    rand.Float64,
	}
	if r.client == nil {
		r.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}
	}
	for _, o := range opts {
		o(r)
	}
	return &Client{Get: r.get, Put: r.put, Delete: r.remove, List: r.list, Watch: r.watch, ListVMs: r.vms}
}

func (r *remote) get(ctx context.Context, name string) (Object, error) {
	path, err := objectPath(name)
	if err != nil {
		return Object{}, err
	}
	var o Object
	err = r.repeat(ctx, func() error {
		o, err = r.object(ctx, path, r.timeout)
		return err
	})
	return o, err
}

func (r *remote) watch(ctx context.Context, name string, after Version) (Object, error) {
	path, err := objectPath(name)
	if err != nil {
		return Object{}, err
	}
	query := url.Values{"watch": {strconv.FormatUint(uint64(after), 10)}, "wait": {r.wait.String()}}
	return r.object(ctx, path+"?"+query.Encode(), r.wait+r.timeout)
}

// object reads one object; one that does not exist has version 0.
func (r *remote) object(ctx context.Context, path string, timeout time.Duration) (Object, error) {
	got, err := r.call(ctx, ask{method: http.MethodGet, path: path, timeout: timeout, limit: MaxValueBytes})
	if err != nil || got.status == http.StatusNotFound {
		return Object{}, err
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
	got, err := r.call(ctx, ask{
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
	_, err = r.call(ctx, ask{method: http.MethodDelete, path: path, timeout: r.timeout, write: true, cond: cond})
	return err
}

func (r *remote) list(ctx context.Context, prefix string) ([]ObjectInfo, error) {
	var rows []struct {
		Name    string  `json:"name"`
		Version Version `json:"version"`
	}
	if err := r.table(ctx, "/v1/objects?"+url.Values{"prefix": {prefix}}.Encode(), &rows); err != nil {
		return nil, err
	}
	out := make([]ObjectInfo, 0, len(rows))
	for _, row := range rows {
		out = append(out, ObjectInfo{Name: row.Name, Version: row.Version})
	}
	return out, nil
}

func (r *remote) vms(ctx context.Context) ([]VM, error) {
	var out []VM
	err := r.table(ctx, "/v1/vms", &out)
	return out, err
}

// table reads a JSON listing.
func (r *remote) table(ctx context.Context, path string, into any) error {
	return r.repeat(ctx, func() error {
		got, err := r.call(ctx, ask{method: http.MethodGet, path: path, timeout: r.timeout, limit: maxListing})
		if err != nil {
			return err
		}
		if got.status != http.StatusOK {
			return fault.New(fault.PlatformDown, "listing answered with status %d", got.status)
		}
		return fault.Wrap(fault.PlatformDown, json.Unmarshal(got.body, into), "listing")
	})
}

// repeat runs a read once more when the platform did not answer. The pause is
// spread, so that clients that failed together do not return together.
func (r *remote) repeat(ctx context.Context, read func() error) error {
	var err error
	for try := range readTries {
		if try > 0 && !sleep.For(ctx, time.Duration((0.5+r.unit())*float64(repeatPause))) {
			return err
		}
		if err = read(); fault.KindOf(err) != fault.PlatformDown || ctx.Err() != nil {
			return err
		}
	}
	return err
}

// ask is one call of the object API.
type ask struct {
	method  string
	path    string // With the query.
	timeout time.Duration
	limit   int // Bytes of the answer's body.
	write   bool
	cond    Version // Of a write.
	value   []byte
}

// reply is a whole answer of the platform.
type reply struct {
	status int
	tag    string
	body   []byte
}

// call sends one call and reads the whole answer. Whatever leaves open what
// happened is PlatformDown.
func (r *remote) call(ctx context.Context, a ask) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, a.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, a.method, r.base+a.path, bytes.NewReader(a.value))
	if err != nil {
		return reply{}, fault.Wrap(fault.Internal, err, "platform request")
	}
	if a.write {
		setCondition(req, a.cond)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return reply{}, fault.Wrap(fault.PlatformDown, err, "platform call")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(a.limit)+1))
	if err != nil {
		return reply{}, fault.Wrap(fault.PlatformDown, err, "platform answer")
	}
	if err := refusal(resp.StatusCode, a.write); err != nil {
		return reply{}, err
	}
	if len(body) > a.limit {
		return reply{}, fault.New(fault.PlatformDown, "platform answer exceeds %d bytes", a.limit)
	}
	return reply{status: resp.StatusCode, tag: resp.Header.Get("ETag"), body: body}, nil
}

func setCondition(req *http.Request, cond Version) {
	if cond == 0 {
		req.Header.Set("If-None-Match", "*")
		return
	}
	req.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(cond), 10)))
}

// refusal returns the fault that a status stands for, or nil.
func refusal(status int, write bool) error {
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

// version returns the version that the ETag holds.
func (r reply) version() (Version, error) {
	v, err := strconv.ParseUint(strings.Trim(r.tag, `"`), 10, 64)
	if err != nil || v == 0 {
		return 0, fault.New(fault.PlatformDown, "platform answer has ETag %q", r.tag)
	}
	return Version(v), nil
}

// objectPath returns the path of an object. Names that a server would rewrite
// are refused, because they would reach another object.
func objectPath(name string) (string, error) {
	parts := strings.Split(name, "/")
	for i, p := range parts {
		if p == "" || p == "." || p == ".." {
			return "", fault.New(fault.Invalid, "object name %q has an empty or dotted part", name)
		}
		parts[i] = url.PathEscape(p)
	}
	return "/v1/objects/" + strings.Join(parts, "/"), nil
}
