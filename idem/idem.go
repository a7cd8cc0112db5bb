// Package idem runs a keyed request at most once across the fleet. Each key has
// one owner, the incarnation of a VM that alone may dispatch it: an issued key
// names its owner, and a caller's own key gets one by a claim in the platform.
// The owner's ledger remembers what became of each key until the key expires.
package idem

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/azuredeal/azuredeal/fault"
)

// Response is a whole response that can be given again.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// NewResponse returns an answer; it keeps header and body.
func NewResponse(status int, header http.Header, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the HTTP status code.
func (a *Response) Status() int { return a.status }

// Header returns the header fields; they must not be changed.
func (a *Response) Header() http.Header { return a.header }

// Body returns the body; it must not be changed.
func (a *Response) Body() []byte { return a.body }

// Call is one keyed request.
type Call struct {
	Account string
	Key     string // Value of Idempotency-Key.
	Method  string
	Host    string
	Target  string // Path and query.
	Header  http.Header
	Body    []byte
	ID      string // Request id of the caller's request.
}

// RunFunc dispatches the request to a backend server. An error whose kind says that
// the request did not run lets the key be used again; after any other error the
// key never runs again.
type RunFunc func(ctx context.Context) (*Response, error)

// size returns about how much memory the answer takes, in bytes.
func (a *Response) size() int64 {
	n := len(a.body)
	for name, values := range a.header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// digest is the first half of a SHA-256.
type digest [16]byte

// newDigest hashes parts so that no two lists of parts give the same input.
func newDigest(parts ...[]byte) digest {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
	return digest(h.Sum(nil)[:len(digest{})])
}

// keyDigest identifies the key. Keys of different accounts differ.
func (c *Call) keyDigest() digest { return newDigest([]byte(c.Account), []byte(c.Key)) }

// bodyDigest identifies the request. The host is left out: a caller that repeats
// its request at another VM may name that one.
func (c *Call) bodyDigest() digest {
	return newDigest([]byte(c.Method), []byte(c.Target), c.Body)
}

// Owner is the one VM that may dispatch a key.
type Owner struct {
	incarnation uint64
	peer        string
}

// NewOwner returns the owner with the given incarnation and address for links
// between VMs, "ip:port".
func NewOwner(incarnation uint64, peer string) Owner {
	return Owner{incarnation: incarnation, peer: peer}
}

// Incarnation returns the number that each start of a VM gets anew.
func (o Owner) Incarnation() uint64 { return o.incarnation }

// PeerAddr returns the address for links between VMs, "ip:port".
func (o Owner) PeerAddr() string { return o.peer }

// KeyTTL is how long a key is valid and remembered.
const KeyTTL = time.Hour

// ended returns the fault for a caller whose context ended while the request may
// run.
func ended(ctx context.Context, msg string) error {
	kind := fault.Canceled
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		kind = fault.Timeout
	}
	return fault.Wrap(kind, ctx.Err(), msg)
}
