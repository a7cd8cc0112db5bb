package proxy

import (
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
	result string // Status of the response, or the kind of the fault.
	status int
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
	b := d.begun[r.index]
	a := attemptLog{
		server: d.tried[r.index].Addr(), weight: b.weight,
		begun: b.start.Sub(d.start), took: time.Since(b.start),
	}
	if r.reply != nil {
		a.status = r.reply.status
	} else {
		a.result = fault.Of(r.err).String()
	}
	d.call.attempts = append(d.call.attempts, a)
}

// logRequest writes the line of a request. A request that its first attempt
// answered with success is written at level debug only, which bounds the volume to
// what went wrong.
func (h *Handler) logRequest(id string, start time.Time, c *call, err error) {
	event := h.opts.Log.Debug()
	switch {
	case err != nil, c.status >= 500, len(c.attempts) > 1:
		event = h.opts.Log.Info()
	}
	event = event.Str("id", id).Dur("took", time.Since(start))
	if c != nil {
		event = event.Str("route", c.route.name).Str("service", c.service.note.Name).Str("method", c.method).
			Uint64("generation", c.generation).Dur("limit", c.deadline.Sub(start)).Dur("waited", c.waited).
			Array("attempts", attemptLogs(c.attempts))
	}
	if err != nil {
		event.Stringer("fault", fault.Of(err)).Err(err).Msg("request refused")
		return
	}
	event.Int("status", c.status).Msg("request answered")
}
