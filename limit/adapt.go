package limit

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/board"
)

const (
	shedCut      = 0.7                    // Factor at a refusal because of load.
	slowCut      = 0.9                    // Factor at a latency well above the baseline.
	slowFactor   = 2.0                    // Recent latency over the baseline that counts as slow.
	cutPause     = 100 * time.Millisecond // Between two cuts: requests in flight do not know of the first.
	growth       = 0.1                    // Added by a success while the limit is in use.
	aboveSlots   = 2                      // Upper bound, as a multiple of the slots.
	recentWeight = 0.1                    // Weight of one more latency in the recent mean.
	baseRise     = 0.005                  // The same in the baseline, when that is exceeded.
	baseFall     = 0.05                   // The same when not, so that a slow period is soon forgotten.
)

// Adaptive limits how many requests this VM has in flight at one backend server.
// Its methods use no locks. A limit that several goroutines change at once may
// miss a change by one of them; it stays within its bounds.
type Adaptive struct {
	most     float64
	inflight atomic.Int64
	limit    number
	recent   number // Mean of recent latencies, in seconds; 0 before the first.
	base     number // Mean over a longer time.
	cutAt    atomic.Int64
}

// number is a float64 that goroutines share.
type number struct{ bits atomic.Uint64 }

func (n *number) load() float64 { return math.Float64frombits(n.bits.Load()) }

// update replaces the value by change of it.
func (n *number) update(change func(float64) float64) {
	for {
		old := n.bits.Load()
		if n.bits.CompareAndSwap(old, math.Float64bits(change(math.Float64frombits(old)))) {
			return
		}
	}
}

// NewAdaptive returns a limit that starts at the slots of the backend server.
func NewAdaptive(slots int) *Adaptive {
	start := float64(max(1, slots))
	a := &Adaptive{most: aboveSlots * start}
	a.limit.update(func(float64) float64 { return start })
	return a
}

// Limit returns how many requests may be in flight, at least 1.
func (a *Adaptive) Limit() int { return int(a.limit.load()) }

// Inflight returns how many requests have begun and not ended.
func (a *Adaptive) Inflight() int { return int(a.inflight.Load()) }

// Begin reports whether one more request may be sent, and counts it.
func (a *Adaptive) Begin() bool {
	for {
		n := a.inflight.Load()
		if int(n) >= a.Limit() {
			return false
		}
		if a.inflight.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// End counts the end of a request that Begin let through.
func (a *Adaptive) End(now time.Time, took time.Duration, outcome board.Outcome) {
	inUse := int(a.inflight.Add(-1))+1 >= a.Limit()
	switch outcome {
	case board.Shed:
		a.cut(now, shedCut)
		return
	case board.Success, board.Late:
	case board.Canceled:
		// The whole request would have taken longer, so a short time says nothing.
		if took.Seconds() < a.base.load() {
			return
		}
	default:
		return
	}
	switch {
	case a.isSlow(took.Seconds()):
		a.cut(now, slowCut)
	case outcome == board.Success && inUse:
		a.limit.update(func(l float64) float64 { return min(a.most, l+growth) })
	}
}

// isSlow takes in a latency and reports whether recent ones are well above the
// baseline.
func (a *Adaptive) isSlow(took float64) bool {
	a.recent.update(func(mean float64) float64 { return moved(mean, took, recentWeight) })
	recent := a.recent.load()
	a.base.update(func(mean float64) float64 {
		if recent > mean {
			return moved(mean, recent, baseRise)
		}
		return moved(mean, recent, baseFall)
	})
	return recent > slowFactor*a.base.load()
}

// moved returns mean moved towards value by weight; the first value sets it.
func moved(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

func (a *Adaptive) cut(now time.Time, factor float64) {
	last := a.cutAt.Load()
	if last != 0 && now.UnixNano()-last < int64(cutPause) {
		return
	}
	if a.cutAt.CompareAndSwap(last, now.UnixNano()) {
		a.limit.update(func(l float64) float64 { return max(1, l*factor) })
	}
}
