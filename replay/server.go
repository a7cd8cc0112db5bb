package replay

import (
	"github.com/azuredeal/azuredeal/board"
)

const (
	failTime   = 5_000_000 // Nanoseconds until a flapping server answers 500.
	coldFactor = 3         // Slowdown of a cold server that accepts work.
	never      = int64(-1)
)

// phase is what a window does to its server.
type phase uint8

const (
	phaseRate   phase = iota // Work runs at a rate below 1.
	phaseFail                // Fails fast in the first half of each period.
	phaseWrong               // A share of answers belongs to other requests.
	phaseDrain               // Refuses as draining.
	phaseDown                // Accepts no connection.
	phaseCold                // Refuses as cold.
	phaseSilent              // Answers do not reach one VM.
)

// window is one fault at one server.
type window struct {
	phase    phase
	from, to int64
	rate     float64
	period   int64
	share    float64
	vm       int
	sick     bool // The server is unhealthy: a decision against it is right.
	absent   bool // The process goes away: an ejection is no error.

	first    int64 // First affected request.
	detected int64 // First decision that reduces the share.
	spread   int64 // The same on half of the VMs.
}

func (w *window) active(t int64) bool { return t >= w.from && t < w.to }

// touch notes that a request is affected from t on.
func (w *window) touch(t int64) {
	t = max(t, w.from)
	if w.first == never || t < w.first {
		w.first = t
	}
}

// server is a fake backend server: slots, a bounded queue and fault windows.
type server struct {
	sim     *sim
	service *service
	index   int
	addr    string
	zone    int
	busy    int
	queue   []*attempt
	windows []*window
}

// find returns the active window of that phase.
func (v *server) find(t int64, p phase) *window {
	for _, w := range v.windows {
		if w.phase == p && w.active(t) {
			return w
		}
	}
	return nil
}

// work returns when need nanoseconds of work that start at t are done.
func (v *server) work(t, need int64) int64 {
	left := float64(need)
	for {
		rate, until := 1.0, int64(1<<62)
		for _, w := range v.windows {
			if w.phase != phaseRate || w.to <= t {
				continue
			}
			if w.from > t {
				until = min(until, w.from)
				continue
			}
			rate, until = min(rate, w.rate), min(until, w.to)
			w.touch(t)
		}
		if done := left / max(rate, 1e-12); rate > 0 && float64(until-t) >= done {
			return t + int64(done)
		}
		left -= float64(until-t) * rate
		t = until
	}
}

// refusal returns how the server refuses work at t, if it does.
func (v *server) refusal(t int64) (board.Outcome, bool) {
	if len(v.windows) == 0 {
		return 0, false
	}
	switch {
	case v.find(t, phaseDown) != nil:
		return board.Unreachable, true
	case v.find(t, phaseDrain) != nil:
		return board.Draining, true
	case v.find(t, phaseCold) != nil:
		return board.Cold, true
	default:
		return 0, false
	}
}

// arrive takes in an attempt.
func (v *server) arrive(a *attempt) {
	t := v.sim.now
	if a.over {
		return
	}
	if out, refused := v.refusal(t); refused {
		v.answer(a, out)
		return
	}
	if w := v.find(t, phaseFail); w != nil && (t-w.from)%w.period < w.period/2 {
		w.touch(t)
		v.sim.at(t+failTime, func() { v.answer(a, board.Failure) })
		return
	}
	if v.busy < v.service.Slots {
		v.start(a)
		return
	}
	v.purge()
	if len(v.queue) >= v.service.MaxQueued {
		v.answer(a, board.Shed)
		return
	}
	v.queue = append(v.queue, a)
}

// purge drops attempts whose VM has closed the connection.
func (v *server) purge() {
	kept := v.queue[:0]
	for _, a := range v.queue {
		if !a.over {
			kept = append(kept, a)
		}
	}
	clear(v.queue[len(kept):])
	v.queue = kept
}

func (v *server) start(a *attempt) {
	v.busy++
	need := v.sim.serviceTime(v.service, a.id)
	v.sim.at(v.work(v.sim.now, need), func() { v.finish(a) })
}

func (v *server) finish(a *attempt) {
	v.busy--
	v.answer(a, v.result(a))
	for len(v.queue) > 0 && v.busy < v.service.Slots {
		next := v.queue[0]
		v.queue = v.queue[1:]
		if !next.over {
			v.start(next)
		}
	}
}

// result says how work that has been done ends.
func (v *server) result(a *attempt) board.Outcome {
	s := v.sim
	if w := v.find(s.now, phaseWrong); w != nil && uniform(s.seed, streamWrong, a.id) < w.share {
		w.touch(s.now)
		return board.Mismatch
	}
	if uniform(s.seed, streamError, a.id) < v.service.ErrorRate {
		return board.Failure
	}
	return board.Success
}

// answer sends the outcome back unless the answer is lost on its way.
func (v *server) answer(a *attempt, out board.Outcome) {
	s := v.sim
	if w := v.find(s.now, phaseSilent); w != nil && w.vm == a.req.vm.index {
		w.touch(s.now)
		return
	}
	s.at(s.now+s.delay(v.zone, a.req.vm.zone), func() { s.deliver(a, out) })
}
