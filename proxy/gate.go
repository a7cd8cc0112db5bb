package proxy

import "sync/atomic"

// gate makes "not run" final for one request. An attempt passes it before its
// first byte; whoever answers "not run" closes it. Only one of the two succeeds.
//
// The value is 0 while pending, the number of attempts that may have run once
// some were sent, and refused after the answer "not run".
type gate struct{ state atomic.Int64 }

const refused = -1

// send lets an attempt send its first byte. Only one exclusive attempt at a time passes.
func (g *gate) send(exclusive bool) bool {
	if exclusive {
		return g.state.CompareAndSwap(0, 1)
	}
	for {
		n := g.state.Load()
		if n == refused {
			return false
		}
		if g.state.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// unsend takes back an attempt that is known not to have run.
func (g *gate) unsend() { g.state.Add(-1) }

// refuse closes the gate. It reports false when an attempt may have run.
func (g *gate) refuse() bool {
	return g.state.CompareAndSwap(0, refused) || g.state.Load() == refused
}
