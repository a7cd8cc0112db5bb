package proxy

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/fault"
)

// attemptLog is the log record of one attempt.
type attemptLog struct {
	server   string
	weight   float64       // Weight of the server when it was picked.
	launched time.Duration // Launch time, since the start of the dispatch.
	took     time.Duration
	status   int    // Of the response; 0 when there is none.
	result   string // Logged when there is no status: the error kind, or "abandoned".
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attemptLog) MarshalZerologObject(e *zerolog.Event) {
	e.Str("server", a.server).Float64("weight", a.weight).Dur("begun", a.launched).Dur("took", a.took)
	if a.status > 0 {
		e.Int("status", a.status)
		return
	}
	e.Str("fault", a.result)
}

type attemptLogs []attemptLog

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l attemptLogs) MarshalZerologArray(a *zerolog.Array) {
	for _, attempt := range l {
		a.Object(attempt)
	}
}

// note records the end of an attempt for the log.
func (d *dispatch) note(r result) {
	a := d.describe(r.index, fault.KindOf(r.err).String())
	if r.response != nil {
		a.status = r.response.status
	}
	d.call.attempts = append(d.call.attempts, a)
}

// describe returns the log record of an attempt, with the time it took so far.
func (d *dispatch) describe(index int, result string) attemptLog {
	attempt := d.launched[index]
	return attemptLog{
		server: d.tried[index].Addr(), weight: attempt.weight,
		launched: attempt.start.Sub(d.start), took: time.Since(attempt.start), result: result,
	}
}

// logRequest logs the end of a request. A request whose first attempt got a response
// without a server error is logged at debug level only, which keeps the log volume
// proportional to the failures.
func (h *Handler) logRequest(id string, start time.Time, c *call, err error) {
	event := h.opts.Log.Debug()
	switch {
	case err != nil, c.status >= http.StatusInternalServerError, len(c.attempts) > 1:
		event = h.opts.Log.Info()
	}
	event = event.Str("id", id).Dur("took", time.Since(start))
	if c != nil {
		event = event.Str("route", c.route.name).Str("service", c.service.note.Name).Str("method", c.method).
			Uint64("generation", c.generation).Dur("limit", c.deadline.Sub(start)).Dur("waited", c.queueTime).
			Array("attempts", attemptLogs(c.attempts))
	}
	if c != nil && c.stop.planned {
		event = event.Object("stop", c.stop)
	}
	if c != nil && h.opts.Crashes != nil && (err != nil && len(c.attempts) > 0 || fault.KindOf(err) == fault.Quarantined) {
		event = event.Stringer("request", c.digest())
	}
	if err != nil {
		event.Stringer("fault", fault.KindOf(err)).Err(err).Msg("request refused")
		return
	}
	event.Int("status", c.status).Msg("request completed")
}
