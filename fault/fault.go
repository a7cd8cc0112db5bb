// Package fault holds the closed list of error kinds and the table that gives
// each kind its HTTP answer. Every refusal that a caller or an operator sees
// comes from this table, so what it says about whether a request ran is decided
// in one place.
package fault

import (
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Kind,Ran -output=fault_string.go

// Kind is one of the closed list of error kinds.
type Kind uint8

// The kinds, grouped by who has to act on them.
const (
	// Internal marks an error that no other kind covers.
	Internal Kind = iota
	// NotReady: this VM has no release in effect yet.
	NotReady
	// Stopping: this VM is shutting down and did not start the request.
	Stopping
	// NoRoute: no route matches the host, path and method.
	NoRoute
	// BadRequest: the request is malformed.
	BadRequest
	// HeaderTooLarge: the request header exceeds the limit.
	HeaderTooLarge
	// BodyTooLarge: the request body exceeds the limit of its service.
	BodyTooLarge
	// BodyTimeout: the caller sent its body too slowly.
	BodyTimeout
	// UnknownAccount: the account token is not in the release.
	UnknownAccount
	// AccountLimited: the account is over its request rate.
	AccountLimited
	// QueueFull: the bounded queue of the service is full.
	QueueFull
	// DeadlineShort: the request could not have ended before its deadline.
	DeadlineShort
	// NoServer: the service has no usable backend server.
	NoServer
	// Unreachable: no connection to a backend server could be opened.
	Unreachable
	// ServerRefused: the backend server refused before starting.
	ServerRefused
	// KeyMissing: a non-idempotent route needs an Idempotency-Key.
	KeyMissing
	// KeyInvalid: the key is malformed or its signature is wrong.
	KeyInvalid
	// KeyReused: the key was used before with another request.
	KeyReused
	// KeyExpired: the key is older than its lifetime.
	KeyExpired
	// OwnerLost: the VM that alone may run this key cannot be asked.
	OwnerLost
	// ClaimFailed: the platform cannot confirm who owns the key.
	ClaimFailed
	// AnswerDropped: the request ran, and its answer is no longer kept.
	AnswerDropped
	// Interrupted: the connection failed after bytes were sent.
	Interrupted
	// Timeout: the deadline passed after bytes were sent.
	Timeout
	// Truncated: the answer of the backend server ended early.
	Truncated
	// Mismatch: the answer belongs to another request.
	Mismatch
	// AnswerTooLarge: the answer exceeds the limit of its service.
	AnswerTooLarge
	// Canceled: the caller went away after bytes were sent.
	Canceled
	// Conflict: another release was accepted first.
	Conflict
	// Invalid: a release note or settings file has problems.
	Invalid
	// PlatformDown: the platform did not answer.
	PlatformDown
	// Unauthorized: a peer or operator did not prove who it is.
	Unauthorized

	kindCount
)

// Ran says whether the request of a refused caller ran.
type Ran uint8

// The values of Ran. Unknown is the zero value, so a kind that is missing from
// the table never claims "not run".
const (
	Unknown Ran = iota
	No
	Yes
)

// Token returns the value of the Azuredeal-Ran header.
func (r Ran) Token() string {
	switch r {
	case No:
		return "no"
	case Yes:
		return "yes"
	default:
		return "unknown"
	}
}

// Response is what a caller is told about a kind.
type Response struct {
	status int
	ran    Ran
	retry  bool
	text   string
}

// Status returns the HTTP status code.
func (a Response) Status() int { return a.status }

// Ran returns whether the request ran.
func (a Response) Ran() Ran { return a.ran }

// Retryable reports whether a repeat of the same request, with the same key where
// it has one, can succeed.
func (a Response) Retryable() bool { return a.retry }

// Text returns one sentence for people.
func (a Response) Text() string { return a.text }

const statusClientClosed = 499 // De facto code for a caller that went away.

var answers = [kindCount]Response{
	Internal:       {http.StatusInternalServerError, Unknown, true, "internal error"},
	NotReady:       {http.StatusServiceUnavailable, No, true, "no release is in effect on this VM yet"},
	Stopping:       {http.StatusServiceUnavailable, No, true, "this VM is shutting down"},
	NoRoute:        {http.StatusNotFound, No, false, "no route matches the request"},
	BadRequest:     {http.StatusBadRequest, No, false, "the request is malformed"},
	HeaderTooLarge: {http.StatusRequestHeaderFieldsTooLarge, No, false, "the request header is too large"},
	BodyTooLarge:   {http.StatusRequestEntityTooLarge, No, false, "the request body is too large"},
	BodyTimeout:    {http.StatusRequestTimeout, No, true, "the request body arrived too slowly"},
	UnknownAccount: {http.StatusUnauthorized, No, false, "the account token is unknown"},
	AccountLimited: {http.StatusTooManyRequests, No, true, "the account is over its request rate"},
	QueueFull:      {http.StatusServiceUnavailable, No, true, "the queue of the service is full"},
	DeadlineShort:  {http.StatusServiceUnavailable, No, true, "the request cannot end before its deadline"},
	NoServer:       {http.StatusServiceUnavailable, No, true, "no backend server is usable"},
	Unreachable:    {http.StatusServiceUnavailable, No, true, "no backend server could be reached"},
	ServerRefused:  {http.StatusServiceUnavailable, No, true, "the backend server refused before starting"},
	KeyMissing:     {http.StatusPreconditionRequired, No, false, "the route needs an Idempotency-Key"},
	KeyInvalid:     {http.StatusBadRequest, No, false, "the Idempotency-Key is malformed"},
	KeyReused:      {http.StatusUnprocessableEntity, No, false, "the Idempotency-Key was used with another request"},
	KeyExpired:     {http.StatusGone, Unknown, false, "the Idempotency-Key has expired"},
	OwnerLost:      {http.StatusBadGateway, Unknown, true, "the VM that owns the Idempotency-Key cannot be asked"},
	ClaimFailed:    {http.StatusBadGateway, Unknown, true, "the owner of the Idempotency-Key cannot be confirmed"},
	AnswerDropped:  {http.StatusConflict, Yes, false, "the request ran and its answer is no longer kept"},
	Interrupted:    {http.StatusBadGateway, Unknown, true, "the connection to the backend server failed"},
	Timeout:        {http.StatusGatewayTimeout, Unknown, true, "the deadline passed"},
	Truncated:      {http.StatusBadGateway, Unknown, true, "the answer of the backend server ended early"},
	Mismatch:       {http.StatusBadGateway, Unknown, true, "the backend server answered another request"},
	AnswerTooLarge: {http.StatusBadGateway, Unknown, false, "the answer of the backend server is too large"},
	Canceled:       {statusClientClosed, Unknown, true, "the caller went away"},
	Conflict:       {http.StatusConflict, No, false, "another release was accepted first"},
	Invalid:        {http.StatusUnprocessableEntity, No, false, "the input has problems"},
	PlatformDown:   {http.StatusServiceUnavailable, Unknown, true, "the platform did not answer"},
	Unauthorized:   {http.StatusUnauthorized, No, false, "authentication failed"},
}

// Response returns the row of the table for k. A value outside the list gets the
// row of Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		k = Internal
	}
	return answers[k]
}

// Kinds returns every kind in order, for tables in docs and tests.
func Kinds() []Kind {
	out := make([]Kind, 0, kindCount)
	for k := range kindCount {
		out = append(out, k)
	}
	return out
}

// ParseKind returns the kind with the given name, or Internal when there is none.
func ParseKind(name string) Kind {
	for k := range kindCount {
		if k.String() == name {
			return k
		}
	}
	return Internal
}

// Error is an error with a kind.
type Error struct {
	kind  Kind
	cause error
}

// Kind returns the kind of the error.
func (e *Error) Kind() Kind { return e.kind }

// Error implements error.
func (e *Error) Error() string { return e.kind.String() + ": " + e.cause.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }

// New returns an error of kind k with a formatted message.
func New(k Kind, format string, args ...any) error {
	return &Error{kind: k, cause: errors.NewWithDepthf(1, format, args...)}
}

// Wrap returns err with kind k and a message in front. It returns nil for a nil err.
func Wrap(k Kind, err error, msg string) error {
	if err == nil {
		return nil
	}
	return &Error{kind: k, cause: errors.WrapWithDepth(1, err, msg)}
}

// KindOf returns the kind of the outermost fault in the chain of err, or Internal
// when there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

// Header names of a refusal.
const (
	HeaderError     = "Azuredeal-Error"
	HeaderRan       = "Azuredeal-Ran"
	HeaderRequestID = "X-Request-Id"
)

// WriteResponse answers a request with the row of err's kind as problem details
// (RFC 9457). Only the text of the table reaches the caller: messages of wrapped
// errors may hold addresses of backend servers.
func WriteResponse(w http.ResponseWriter, err error, id string) {
	write(w, KindOf(err), KindOf(err).Response().ran, id)
}

// WriteRanUnknown is Write for a request whose key may have run before: it says
// "unknown" in place of "not run", as the VM that refuses does not know what
// became of earlier requests with the same key.
func WriteRanUnknown(w http.ResponseWriter, err error, id string) {
	ran := KindOf(err).Response().ran
	if ran == No {
		ran = Unknown
	}
	write(w, KindOf(err), ran, id)
}

func write(w http.ResponseWriter, kind Kind, ran Ran, id string) {
	a := kind.Response()
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderError, kind.String())
	h.Set(HeaderRan, ran.Token())
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	if a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests {
		h.Set("Retry-After", "1")
	}
	w.WriteHeader(a.status)
	_, _ = fmt.Fprintf(w, "{\"type\":\"about:blank\",\"status\":%d,\"title\":%q,\"kind\":%q,\"ran\":%q}\n",
		a.status, a.text, kind.String(), ran.Token())
}
