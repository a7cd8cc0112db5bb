package proxy

import (
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/fault"
)

// attemptLog is what the log tells of one attempt.
type attemptLog struct {
	server string
	weight float64       // Share of work of the server when it was chosen.
	begun  time.Duration // After the request was read.
	took   time.Duration
	status int    // Of the response; 0 when there is none.
	result string // In place of the status: the kind of the fault, or "abandoned".
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (a attemptLog) MarshalZerologObject(e *zerolog.Event) {
	e.Str("server", a.server).Float64("weight", a.weight).Dur("begun", a.begun).Dur("took", a.took)
	if a.status > 0 {
		e.Int("status", a.status)
		return
	}
	e.Str("fault", a.result)
}

type attemptLogs []attemptLog

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (l attemptLogs) MarshalZerologArray(a *zerolog.Array) {
	for _, one := range l {
		a.Object(one)
	}
}

// note keeps how an attempt ended for the log.
func (d *dispatch) note(r result) {
	a := d.describe(r.index, fault.KindOf(r.err).String())
	if r.reply != nil {
		a.status = r.reply.status
	}
	d.call.attempts = append(d.call.attempts, a)
}

// describe returns the log of an attempt as of now.
func (d *dispatch) describe(index int, result string) attemptLog {
	b := d.begun[index]
	return attemptLog{
		server: d.tried[index].Addr(), weight: b.weight,
		begun: b.start.Sub(d.start), took: time.Since(b.start), result: result,
	}
}

// logRequest writes the line of a request. A request that its first attempt
// answered with success is written at level debug only, which bounds the volume to
// what went wrong.
func (h *Handler) logRequest(id string, start time.Time, c *call, err error) {
	event := h.opts.Log.Debug()
	switch {
	case err != nil, c.status >= http.StatusInternalServerError, len(c.attempts) > 1:
		event = h.opts.Log.Info()
	}
	event = event.Str("id", id).Dur("took", time.Since(start))
	if c != nil {
		event = event.Str("route", c.route.name).Str("service", c.service.note.Name).Str("method", c.method).
			Uint64("generation", c.generation).Dur("limit", c.deadline.Sub(start)).Dur("waited", c.waited).
			Array("attempts", attemptLogs(c.attempts))
	}
	if err != nil {
		event.Stringer("fault", fault.KindOf(err)).Err(err).Msg("request refused")
		return
	}
	event.Int("status", c.status).Msg("request answered")
}
