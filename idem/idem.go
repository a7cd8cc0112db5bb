// Package idem executes a request with an idempotency key at most once across the
// fleet. Each key has one owner, the only incarnation of a VM that may dispatch it.
// An issued key names its owner. For a key that the caller chose itself, the owner
// is decided by a claim stored in the platform. The owner's ledger keeps the state
// of each key until the key expires.
package idem

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

// Response is a complete response that can be sent to a caller more than once.
type Response struct {
	status int
	header http.Header
	body   []byte
}

// NewResponse returns a response. It retains header and body, so the caller must not
// change them afterwards.
func NewResponse(status int, header http.Header, body []byte) *Response {
	return &Response{status: status, header: header, body: body}
}

// Status returns the HTTP status code.
func (r *Response) Status() int { return r.status }

// Header returns the header fields; they must not be changed.
func (r *Response) Header() http.Header { return r.header }

// Body returns the body; it must not be changed.
func (r *Response) Body() []byte { return r.body }

// Call is one request with an idempotency key.
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

// RunFunc dispatches the request to a backend server. If it returns an error
// whose kind says that the request did not run, the key can be used again. After any
// other error the key never runs again.
type RunFunc func(ctx context.Context) (*Response, error)

// size returns the approximate memory use of the response in bytes.
func (r *Response) size() int64 {
	n := len(r.body)
	for name, values := range r.header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return int64(n)
}

// digest is a SHA-256 hash truncated to 128 bits.
type digest [16]byte

// newDigest hashes fields, each prefixed with its length, so that no two lists of
// fields give the same hash input.
func newDigest(fields ...[]byte) digest {
	h := sha256.New()
	var length [8]byte
	for _, field := range fields {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(field)
	}
	return digest(h.Sum(nil)[:len(digest{})])
}

// keyDigest identifies the key. It covers the account, so equal keys of different
// accounts have different digests.
func (c *Call) keyDigest() digest { return newDigest([]byte(c.Account), []byte(c.Key)) }

// requestDigest identifies the request. It leaves out the host, because a
// caller that repeats its request at another VM may send the host name of that VM.
func (c *Call) requestDigest() digest {
	return newDigest([]byte(c.Method), []byte(c.Target), c.Body)
}

// Owner is the only incarnation of a VM that may dispatch a key.
type Owner struct {
	incarnation uint64
	peerAddr    string
}

// NewOwner returns the owner with the given incarnation and address for
// connections between VMs, "ip:port".
func NewOwner(incarnation uint64, peerAddr string) Owner {
	return Owner{incarnation: incarnation, peerAddr: peerAddr}
}

// Incarnation returns the number that identifies one start of a VM.
func (o Owner) Incarnation() uint64 { return o.incarnation }

// PeerAddr returns the address for connections between VMs, "ip:port".
func (o Owner) PeerAddr() string { return o.peerAddr }

// KeyTTL is how long a key is valid and the ledger of its owner keeps it.
const KeyTTL = time.Hour

// contextError returns the error for a caller whose context ended while its request may be
// running.
func contextError(ctx context.Context, msg string) error {
	return fault.Wrap(fault.ContextKind(ctx), ctx.Err(), msg)
}
