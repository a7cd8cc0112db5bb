package pool

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/limit"
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
	// ProofHeader is the response header field without which a success is none: only the backend
	// server that ran the request can set it. It is empty where servers give no such proof.
	ProofHeader string
	// Unframed allows responses that have neither length nor chunked framing and are complete when
	// their connection ends in order.
	Unframed bool
	// RateLimitHeader is the response header field in which a backend server states how many
	// requests per second it accepts from all VMs together, as a decimal number.
	RateLimitHeader string
	// LeavingHeader is the response header field with which a backend server states, by the
	// value 1, that it leaves.
	LeavingHeader string
	// RefusalOutcome returns the outcome for a response in which the backend server
	// states that it refused the request before starting it. It reports false for
	// every other response.
	RefusalOutcome func(status int, h http.Header) (board.Outcome, bool)
}

// Header names of the default dialect.
const (
	HeaderDeadline       = "Azuredeal-Deadline"   // Milliseconds until the deadline.
	HeaderRateLimit      = "Azuredeal-Rate-Limit" // Requests per second that the server accepts.
	HeaderLeaving        = "Azuredeal-Leaving"    // 1 when the server leaves.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// DefaultDialect returns the dialect with the header names of azuredeal.
func DefaultDialect() *Dialect {
	return &Dialect{
		ID: fault.HeaderRequestID, DeadlineHeader: HeaderDeadline, IdempotencyKeyHeader: HeaderIdempotencyKey,
		RateLimitHeader: HeaderRateLimit, LeavingHeader: HeaderLeaving, RefusalOutcome: defaultRefusalOutcome,
	}
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

// Stated is what a response says of the server process that sent it.
type Stated struct {
	Leaving bool // It wants no new requests any more.
	// StayAway is the time for which it wants no requests from this VM; 0 when it does not say.
	StayAway time.Duration
}

// stated returns what a response says of the server process. Values that are malformed say
// nothing.
func (d *Dialect) stated(status int, h http.Header) Stated {
	if status == http.StatusMisdirectedRequest { // From another process than the intended one.
		return Stated{}
	}
	s := Stated{Leaving: slices.ContainsFunc(h[d.LeavingHeader], func(v string) bool { return strings.TrimSpace(v) == "1" })}
	if status == http.StatusServiceUnavailable {
		s.StayAway = longestDelay(h["Retry-After"])
	}
	return s
}

// longestDelay returns the longest of the delays in the values of a header field, in seconds.
// A date says nothing, as the time of day of a VM can be wrong.
func longestDelay(values []string) time.Duration {
	var longest time.Duration
	for _, value := range values {
		if seconds, ok := parseRate(strings.TrimSpace(value)); ok {
			longest = max(longest, time.Duration(min(seconds, limit.MaxHold.Seconds())*float64(time.Second)))
		}
	}
	return longest
}

// statedRate returns the rate that a response states, in requests per second. That of a server
// that leaves is 0, which other VMs are told. Without the
// field it is Unlimited, if the status says that the request was served: refusals and errors
// may come from a place in the server that does not know of a limit. It reports false for a
// response that says nothing about the rate.
func (d *Dialect) statedRate(status int, h http.Header) (perSecond float64, ok bool) {
	values := h[d.RateLimitHeader]
	if d.stated(status, h).Leaving {
		return 0, true
	}
	switch {
	case status == http.StatusMisdirectedRequest: // From another process than the intended one.
		return 0, false
	case len(values) == 0:
		return board.Unlimited, isSuccess(status)
	}
	return lowestRate(values)
}

// lowestRate returns the lowest of the rates in the values of a header field, which may
// occur more than once. It skips values that are not a decimal number of 0 or more, and
// reports false when there is no other value.
func lowestRate(values []string) (perSecond float64, ok bool) {
	perSecond = board.Unlimited
	for _, value := range values {
		for text := range strings.SplitSeq(value, ",") {
			rate, valid := parseRate(strings.TrimSpace(text))
			if valid {
				perSecond, ok = min(perSecond, rate), true
			}
		}
	}
	return perSecond, ok
}

func parseRate(text string) (float64, bool) {
	if strings.Trim(text, "0123456789.") != "" {
		return 0, false // ParseFloat also accepts exponents, hexadecimal numbers and names.
	}
	rate, err := strconv.ParseFloat(text, 64)
	if math.IsInf(rate, 1) {
		return board.Unlimited, true // More digits than a float64 can hold.
	}
	return rate, err == nil
}
