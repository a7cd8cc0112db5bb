package pool

import (
	"net/http"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
)

// Dialect names the header fields that callers, entry VMs and backend servers
// exchange, and says how a backend server refuses. Names are in the canonical
// form of net/http.
type Dialect struct {
	// ID carries the request id. Backend servers repeat it.
	ID string
	// DeadlineHeader carries the time left, in milliseconds.
	DeadlineHeader string
	// ExpectedInstanceHeader carries the id of the process that a request is meant for; empty
	// sends none.
	ExpectedInstanceHeader string
	// KeepRequestID is set when attempts carry the id of the caller's request unchanged.
	// Otherwise each attempt has an id of its own.
	KeepRequestID bool
	// IdempotencyKeyHeader carries the idempotency key of a request; empty where requests have none.
	IdempotencyKeyHeader string
	// RefusalOutcome returns the outcome of a response in which the backend server says
	// that it did not start the request.
	RefusalOutcome func(status int, h http.Header) (board.Outcome, bool)
}

// Header names of the own dialect.
const (
	HeaderDeadline       = "Azuredeal-Deadline" // Milliseconds left.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// DefaultDialect returns the dialect of azuredeal itself.
func DefaultDialect() *Dialect {
	return &Dialect{ID: fault.HeaderRequestID, DeadlineHeader: HeaderDeadline, IdempotencyKeyHeader: HeaderIdempotencyKey, RefusalOutcome: ownRefusal}
}

// ownRefusal reads the field HeaderRefused of a 503.
func ownRefusal(status int, h http.Header) (board.Outcome, bool) {
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
