package replay

import (
	"github.com/azuredeal/azuredeal/board"
)

const (
	failFastNanos = 5_000_000 // Time until a flapping server responds with status 500.
	coldSlowdown  = 3         // Slowdown of a server that accepts requests after its cold start.
	never         = int64(-1)
)

// effect is what a fault window does to its server.
type effect uint8

const (
	effectSlow      effect = iota // Work runs at a rate below 1; 0 is a stall.
	effectFailFast                // Requests fail fast in the first half of each period.
	effectCrossed                 // A share of the responses belongs to other requests.
	effectDraining                // Refuses requests as draining.
	effectDown                    // Accepts no connections.
	effectCold                    // Refuses requests as cold.
	effectPartition               // Responses do not reach one VM.
)

// faultWindow is a time span in which a fault affects a server.
type faultWindow struct {
	effect    effect
	from, to  int64
	rate      float64 // Work per unit of time; 1 is normal.
	period    int64   // Of effectFailFast, in nanoseconds.
	share     float64 // Of effectCrossed, as a fraction of the responses.
	vm        int     // Index of the VM that effectPartition cuts off.
	unhealthy bool    // The server is unhealthy, so reducing its share is right.
	absent    bool    // The process is stopped, so an ejection is not a false one.

	firstAffected int64 // Time of the first affected request.
	detected      int64 // Time of the first decision that reduces the share.
	halfFleet     int64 // Time at which half of the VMs have reduced the share.
}

func (w *faultWindow) active(t int64) bool { return t >= w.from && t < w.to }

// markAffected records that a request is affected from t on.
func (w *faultWindow) markAffected(t int64) {
	t = max(t, w.from)
	if w.firstAffected == never || t < w.firstAffected {
		w.firstAffected = t
	}
}

// server simulates a backend server with slots, a bounded queue and fault windows.
type server struct {
	sim     *sim
	service *service
	index   int
	addr    string
	zone    int
	busy    int // Slots in use.
	queue   []*attempt
	windows []*faultWindow
}

// activeWindow returns the first window with that effect that is active at t, or nil.
func (srv *server) activeWindow(t int64, e effect) *faultWindow {
	for _, w := range srv.windows {
		if w.effect == e && w.active(t) {
			return w
		}
	}
	return nil
}

// finishTime returns when need nanoseconds of work that start at t are done. It marks the
// windows that slow the work down.
func (srv *server) finishTime(t, need int64) int64 {
	left := float64(need)
	for {
		rate, until := 1.0, int64(1<<62)
		for _, w := range srv.windows {
			if w.effect != effectSlow || w.to <= t {
				continue
			}
			if w.from > t {
				until = min(until, w.from)
				continue
			}
			rate, until = min(rate, w.rate), min(until, w.to)
			w.markAffected(t)
		}
		if done := left / max(rate, 1e-12); rate > 0 && float64(until-t) >= done {
			return t + int64(done)
		}
		left -= float64(until-t) * rate
		t = until
	}
}

// refusal reports whether the server refuses requests at t, and with which outcome.
func (srv *server) refusal(t int64) (board.Outcome, bool) {
	if len(srv.windows) == 0 {
		return 0, false
	}
	switch {
	case srv.activeWindow(t, effectDown) != nil:
		return board.Unreachable, true
	case srv.activeWindow(t, effectDraining) != nil:
		return board.Draining, true
	case srv.activeWindow(t, effectCold) != nil:
		return board.Cold, true
	default:
		return 0, false
	}
}

// receive handles an attempt that reaches the server: it refuses, fails, starts or queues
// it.
func (srv *server) receive(a *attempt) {
	t := srv.sim.now
	if a.ended {
		return
	}
	if out, refused := srv.refusal(t); refused {
		srv.respond(a, out)
		return
	}
	if w := srv.activeWindow(t, effectFailFast); w != nil && (t-w.from)%w.period < w.period/2 {
		w.markAffected(t)
		srv.sim.schedule(t+failFastNanos, func() { srv.respond(a, board.Failure) })
		return
	}
	if srv.busy < srv.service.Slots {
		srv.start(a)
		return
	}
	srv.dropEnded()
	if len(srv.queue) >= srv.service.MaxQueued {
		srv.respond(a, board.Shed)
		return
	}
	srv.queue = append(srv.queue, a)
}

// dropEnded removes the queued attempts whose VM has closed the connection.
func (srv *server) dropEnded() {
	kept := srv.queue[:0]
	for _, a := range srv.queue {
		if !a.ended {
			kept = append(kept, a)
		}
	}
	clear(srv.queue[len(kept):])
	srv.queue = kept
}

// start runs the attempt in a slot.
func (srv *server) start(a *attempt) {
	srv.busy++
	need := srv.sim.serviceTime(srv.service, a.id)
	srv.sim.schedule(srv.finishTime(srv.sim.now, need), func() { srv.finish(a) })
}

// finish frees the slot of the attempt, responds and starts queued attempts.
func (srv *server) finish(a *attempt) {
	srv.busy--
	srv.respond(a, srv.workOutcome(a))
	for len(srv.queue) > 0 && srv.busy < srv.service.Slots {
		next := srv.queue[0]
		srv.queue = srv.queue[1:]
		if !next.ended {
			srv.start(next)
		}
	}
}

// workOutcome returns the outcome of an attempt whose work is done.
func (srv *server) workOutcome(a *attempt) board.Outcome {
	s := srv.sim
	if w := srv.activeWindow(s.now, effectCrossed); w != nil && uniform(s.seed, streamCrossed, a.id) < w.share {
		w.markAffected(s.now)
		return board.Mismatch
	}
	if uniform(s.seed, streamError, a.id) < srv.service.ErrorRate {
		return board.Failure
	}
	return board.Success
}

// respond sends the outcome back to the VM unless a partition drops the response.
func (srv *server) respond(a *attempt, out board.Outcome) {
	s := srv.sim
	if w := srv.activeWindow(s.now, effectPartition); w != nil && w.vm == a.req.vm.index {
		w.markAffected(s.now)
		return
	}
	s.schedule(s.now+s.delay(srv.zone, a.req.vm.zone), func() { s.deliver(a, out) })
}
