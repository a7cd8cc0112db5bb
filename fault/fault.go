// Package fault defines the closed set of error kinds and the table that maps
// each kind to its HTTP response. Every error response to a caller or an operator
// is built from this table, so whether a response reports that the request ran is
// decided in one place.
package fault

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Kind,Ran -output=fault_string.go

// Kind classifies an error. The set of kinds is closed.
type Kind uint8

// The kinds, grouped by who has to act on them.
const (
	// Internal marks an error that no other kind covers.
	Internal Kind = iota
	// NotReady: this VM has not applied a release yet.
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
	// MemoryFull: the memory that this VM has for requests and answers of callers is used up.
	MemoryFull
	// DeadlineShort: the request cannot complete before its deadline.
	DeadlineShort
	// NoServer: the service has no usable backend server.
	NoServer
	// Unreachable: no connection to a backend server could be opened.
	Unreachable
	// ServerRefused: the backend server refused the request before it started it.
	ServerRefused
	// Quarantined: requests like this one have crashed backend servers, and it was not sent.
	Quarantined
	// KeyMissing: the route is not idempotent and the request has no
	// Idempotency-Key.
	KeyMissing
	// KeyInvalid: the idempotency key is malformed or its signature is wrong.
	KeyInvalid
	// KeyReused: the idempotency key was used before with a different request.
	KeyReused
	// KeyExpired: the idempotency key is older than its TTL.
	KeyExpired
	// OwnerLost: the VM that owns the idempotency key, the only one that may run
	// its request, cannot be reached.
	OwnerLost
	// ClaimFailed: the platform cannot confirm which VM owns the idempotency key.
	ClaimFailed
	// AnswerDropped: the request ran, and its response is no longer stored.
	AnswerDropped
	// Interrupted: the connection failed after bytes were sent.
	Interrupted
	// Timeout: the deadline passed after bytes were sent.
	Timeout
	// Truncated: the response of the backend server ended early.
	Truncated
	// Mismatch: the response belongs to another request.
	Mismatch
	// AnswerTooLarge: the response exceeds the limit of its service.
	AnswerTooLarge
	// Canceled: the caller disconnected after bytes were sent.
	Canceled
	// CutOff: this VM ended while the request was running.
	CutOff
	// Conflict: another release was accepted first.
	Conflict
	// Invalid: a release note or settings file has problems.
	Invalid
	// PlatformDown: the platform did not respond.
	PlatformDown
	// Unauthorized: a peer or operator failed to authenticate.
	Unauthorized

	kindCount
)

// Ran tells whether a request that got an error response was run.
type Ran uint8

// Unknown is the zero value of Ran, so a kind that is missing from the table is
// never reported as not run.
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

// Response describes the HTTP response for a kind.
type Response struct {
	status int
	ran    Ran
	retry  bool
	text   string
}

// Status returns the HTTP status code.
func (r Response) Status() int { return r.status }

// Ran returns whether the request ran.
func (r Response) Ran() Ran { return r.ran }

// Retryable reports whether a retry of the same request can succeed, with the same
// idempotency key where the request has one.
func (r Response) Retryable() bool { return r.retry }

// Text returns a one-sentence description for humans.
func (r Response) Text() string { return r.text }

const statusClientClosedRequest = 499 // Non-standard code, introduced by nginx, for a caller that disconnected.

var responses = [kindCount]Response{
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
	MemoryFull:     {http.StatusServiceUnavailable, No, true, "this VM has no memory left for the request"},
	DeadlineShort:  {http.StatusServiceUnavailable, No, true, "the request cannot end before its deadline"},
	NoServer:       {http.StatusServiceUnavailable, No, true, "no backend server is usable"},
	Unreachable:    {http.StatusServiceUnavailable, No, true, "no backend server could be reached"},
	ServerRefused:  {http.StatusServiceUnavailable, No, true, "the backend server refused before starting"},
	Quarantined:    {http.StatusServiceUnavailable, No, false, "requests like this one have crashed backend servers"},
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
	Canceled:       {statusClientClosedRequest, Unknown, true, "the caller went away"},
	CutOff:         {http.StatusBadGateway, Unknown, true, "this VM ended while the request was running"},
	Conflict:       {http.StatusConflict, No, false, "another release was accepted first"},
	Invalid:        {http.StatusUnprocessableEntity, No, false, "the input has problems"},
	PlatformDown:   {http.StatusServiceUnavailable, Unknown, true, "the platform did not answer"},
	Unauthorized:   {http.StatusUnauthorized, No, false, "authentication failed"},
}

// Response returns the table entry for k. An undefined kind gets the entry of
// Internal.
func (k Kind) Response() Response {
	if k >= kindCount {
		k = Internal
	}
	return responses[k]
}

// Kinds returns every kind in order of declaration, for documentation tables, tests
// and per-kind counters.
func Kinds() []Kind {
	out := make([]Kind, 0, kindCount)
	for k := range kindCount {
		out = append(out, k)
	}
	return out
}

// ParseKind returns the kind with the given name, or Internal if there is none. It
// inverts Kind.String.
func ParseKind(name string) Kind {
	for k := range kindCount {
		if k.String() == name {
			return k
		}
	}
	return Internal
}

// Error is an error that carries a Kind.
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

// Wrap returns err with kind k and msg as a prefix of its message. It returns nil if
// err is nil.
func Wrap(k Kind, err error, msg string) error {
	if err == nil {
		return nil
	}
	return &Error{kind: k, cause: errors.WrapWithDepth(1, err, msg)}
}

// KindOf returns the kind of the outermost Error in the chain of err, or Internal
// if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.kind
	}
	return Internal
}

// ContextKind returns the kind for a request that may have run when its context ended:
// Timeout, CutOff when that is the kind of the cause, and otherwise Canceled.
func ContextKind(ctx context.Context) Kind {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Timeout
	case KindOf(context.Cause(ctx)) == CutOff:
		return CutOff
	}
	return Canceled
}

// Header names of an error response.
const (
	HeaderError     = "Azuredeal-Error"
	HeaderRan       = "Azuredeal-Ran"
	HeaderRequestID = "X-Request-Id"
)

// WriteResponse writes the table entry for err's kind as problem details (RFC 9457).
// Only the text of the table reaches the caller, because messages of wrapped errors
// may contain addresses of backend servers.
func WriteResponse(w http.ResponseWriter, err error, id string) {
	writeProblem(w, err, KindOf(err).Response().ran, id)
}

// retryAfter is an error that says when to come back.
type retryAfter struct {
	error
	delay time.Duration
}

// Unwrap returns the error without the delay.
func (e retryAfter) Unwrap() error { return e.error }

// RetryAfter adds to an error the time after which the caller should come back.
func RetryAfter(err error, delay time.Duration) error { return retryAfter{err, delay} }

// defaultRetryAfter is the time after which a caller should come back when an error does not
// say it.
const defaultRetryAfter = time.Second

// retryDelay returns the time after which the caller should come back, in whole seconds. It
// reports false when it should go elsewhere at once.
func retryDelay(err error) (seconds int, ok bool) {
	resp, delay := KindOf(err).Response(), defaultRetryAfter
	var stated retryAfter
	if errors.As(err, &stated) {
		delay = stated.delay
	}
	ok = resp.status == http.StatusServiceUnavailable || resp.status == http.StatusTooManyRequests
	return int(math.Ceil(delay.Seconds())), ok && KindOf(err) != Stopping
}

// WriteRanUnknown is WriteResponse for a request whose idempotency key may have been
// used before. It reports "unknown" instead of "no", because this VM does not know
// whether an earlier request with the same key ran.
func WriteRanUnknown(w http.ResponseWriter, err error, id string) {
	ran := KindOf(err).Response().ran
	if ran == No {
		ran = Unknown
	}
	writeProblem(w, err, ran, id)
}

func writeProblem(w http.ResponseWriter, err error, ran Ran, id string) {
	kind := KindOf(err)
	resp := kind.Response()
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(HeaderError, kind.String())
	h.Set(HeaderRan, ran.Token())
	if id != "" {
		h.Set(HeaderRequestID, id)
	}
	if seconds, ok := retryDelay(err); ok {
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(resp.status)
	_, _ = fmt.Fprintf(w, "{\"type\":\"about:blank\",\"status\":%d,\"title\":%q,\"kind\":%q,\"ran\":%q}\n",
		resp.status, resp.text, kind.String(), ran.Token())
}
