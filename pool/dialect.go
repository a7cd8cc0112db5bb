package pool

import (
	"net/http"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
)

// Dialect defines the header fields that callers, entry VMs and backend servers
// exchange, and how a backend server signals that it refused a request. Names are
// in the canonical form of net/http.
type Dialect struct {
	// ID carries the request id. Backend servers echo it in their responses.
	ID string
	// DeadlineHeader carries the time until the deadline of the request, in milliseconds.
	DeadlineHeader string
	// ExpectedInstanceHeader carries the id of the server process that the request is
	// meant for. When it is empty, the id is not sent.
	ExpectedInstanceHeader string
	// KeepRequestID makes all attempts carry the id of the caller's request. Otherwise
	// each attempt has an id of its own.
	KeepRequestID bool
	// IdempotencyKeyHeader carries the idempotency key of a request. It is empty where
	// requests have no such key.
	IdempotencyKeyHeader string
	// RefusalOutcome returns the outcome for a response in which the backend server
	// states that it refused the request before starting it. It reports false for
	// every other response.
	RefusalOutcome func(status int, h http.Header) (board.Outcome, bool)
}

// Header names of the default dialect.
const (
	HeaderDeadline       = "Azuredeal-Deadline" // Milliseconds until the deadline.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// DefaultDialect returns the dialect with the header names of azuredeal.
func DefaultDialect() *Dialect {
	return &Dialect{ID: fault.HeaderRequestID, DeadlineHeader: HeaderDeadline, IdempotencyKeyHeader: HeaderIdempotencyKey, RefusalOutcome: defaultRefusalOutcome}
}

// defaultRefusalOutcome reads the refusal from the HeaderRefused field of a 503 response.
func defaultRefusalOutcome(status int, h http.Header) (board.Outcome, bool) {
	if status != http.StatusServiceUnavailable {
		return 0, false
	}
	switch h.Get(HeaderRefused) {
	case "shed":
		return board.Shed, true
	case "cold":
		return board.Cold, true
	case "draining":
		return board.Draining, true
	}
	return 0, false
}
