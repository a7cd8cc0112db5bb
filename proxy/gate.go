package proxy

import "sync/atomic"

// gate ensures that a request that was reported as "not run" is never sent. Each
// attempt calls trySend before its first byte, and tryRefuse must succeed before
// "not run" is reported. Only one of the two can succeed.
//
// state is the number of attempts that may have run, or gateRefused once "not run"
// was decided.
type gate struct{ state atomic.Int64 }

const gateRefused = -1

// trySend reports whether an attempt may send its first byte, and counts it if so. An
// exclusive attempt succeeds only while no other attempt may have run.
func (g *gate) trySend(exclusive bool) bool {
	if exclusive {
		return g.state.CompareAndSwap(0, 1)
	}
	for {
		n := g.state.Load()
		if n == gateRefused {
			return false
		}
		if g.state.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// isUnused reports whether no attempt may have run so far.
func (g *gate) isUnused() bool { return g.state.Load() == 0 }

// undoSend removes the count of an attempt that is known not to have run.
func (g *gate) undoSend() { g.state.Add(-1) }

// tryRefuse closes the gate for further attempts. It returns false, and leaves the
// gate open, when an attempt may have run.
func (g *gate) tryRefuse() bool {
	return g.state.CompareAndSwap(0, gateRefused) || g.state.Load() == gateRefused
}
