package proxy

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/fault"
)

// plannedStop is the end of the VM that operators or the platform have asked for.
type plannedStop struct {
	begunAt    time.Time
	serveUntil time.Time // Until then callers may not know that the VM stops.
	cutAt      time.Time // When running requests are cut off.
	counts     stopCounts
}

// stopCounts counts the requests that ended during a planned stop.
type stopCounts struct{ served, failed, refused, cutOff atomic.Uint64 }

// StopStats tells what became of the requests that ended during a planned stop.
type StopStats struct {
	Served  uint64 // With the response of a backend server.
	Failed  uint64 // With an error that has nothing to do with the stop.
	Refused uint64 // Since the VM stops; they have not run.
	CutOff  uint64 // Since the VM stopped while they ran.
}

// SetStop begins a planned stop that cuts off running requests at cutAt. From now on a request is
// rejected with Stopping unless its deadline comes first. Until serveUntil, while callers may not
// know that the VM stops, it is also admitted when requests of its route usually take half of the
// time that is left, or less.
func (h *Handler) SetStop(serveUntil, cutAt time.Time) {
	h.stop.Store(&plannedStop{begunAt: time.Now(), serveUntil: serveUntil, cutAt: cutAt})
}

// StopStats returns what became of the requests that ended since SetStop.
func (h *Handler) StopStats() StopStats {
	stop := h.stop.Load()
	if stop == nil {
		return StopStats{}
	}
	c := &stop.counts
	return StopStats{Served: c.served.Load(), Failed: c.failed.Load(), Refused: c.refused.Load(), CutOff: c.cutOff.Load()}
}

// count records the end of a request with err, which may be nil.
func (c *stopCounts) count(err error) {
	switch kind := fault.KindOf(err); {
	case err == nil:
		c.served.Add(1)
	case kind == fault.Stopping:
		c.refused.Add(1)
	case kind == fault.CutOff:
		c.cutOff.Add(1)
	default:
		c.failed.Add(1)
	}
}

// stopLog is the log record of the decision on a request during a planned stop.
type stopLog struct {
	planned bool
	since   time.Duration // Since the stop began.
	left    time.Duration // Until running requests are cut off.
	usual   time.Duration // Usual response time of the route, 0 if unknown.
}

// MarshalZerologObject implements zerolog.LogObjectMarshaler.
func (l stopLog) MarshalZerologObject(e *zerolog.Event) {
	e.Dur("since", l.since).Dur("left", l.left).Dur("usual", l.usual)
}

// stopFactor is how many times the usual response time has to be left before a stop for a request
// to be expected to end in time.
const stopFactor = 2

// admitBeforeStop is checkStop for a request that has just arrived. It records the decision.
func (c *call) admitBeforeStop(now time.Time) error {
	stop := c.handler.stop.Load()
	if stop == nil {
		return nil
	}
	c.stop = stopLog{planned: true, since: now.Sub(stop.begunAt), left: stop.cutAt.Sub(now), usual: c.usualTime()}
	return c.checkStop(now)
}

// checkStop rejects a request, of which nothing has been sent yet, that a planned stop may cut
// off. The work of one route varies, so that only the deadline bounds how long it can take.
func (c *call) checkStop(now time.Time) error {
	stop := c.handler.stop.Load()
	if stop == nil || !c.deadline.After(stop.cutAt) || now.Before(stop.serveUntil) && c.isExpectedBefore(stop, now) {
		return nil
	}
	return fault.New(fault.Stopping, "%v are left, the request may take %v", stop.cutAt.Sub(now), c.deadline.Sub(now))
}

// mayRepeatBeforeStop reports whether a further attempt is worth its load: it ends before a planned
// stop, as far as can be expected.
func (c *call) mayRepeatBeforeStop(now time.Time) bool {
	stop := c.handler.stop.Load()
	return stop == nil || !c.deadline.After(stop.cutAt) || c.isExpectedBefore(stop, now)
}

func (c *call) isExpectedBefore(stop *plannedStop, now time.Time) bool {
	usual := c.usualTime()
	return usual > 0 && stopFactor*usual <= stop.cutAt.Sub(now)
}

func (c *call) usualTime() time.Duration { return c.service.latencies.forRoute(c.route.name).usual() }
