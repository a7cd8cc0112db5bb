package limit

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/board"
)

const (
	shedDecreaseFactor  = 0.7                    // Factor on the limit after a request that the server shed.
	slowDecreaseFactor  = 0.9                    // Factor on the limit when recent latency is well above the baseline.
	slowLatencyRatio    = 2.0                    // Ratio of recent to baseline latency above which the server is slow.
	minDecreaseInterval = 100 * time.Millisecond // Between decreases, as requests in flight do not reflect the previous one.
	limitIncrement      = 0.1                    // Added to the limit by a success while the limit is reached.
	maxLimitPerSlot     = 2                      // Upper bound of the limit, as a multiple of the slots.
	recentLatencyWeight = 0.1                    // Weight of a new latency in the moving average of recent latencies.
	baselineRiseWeight  = 0.005                  // Weight of recent latency in the baseline while it is above that.
	baselineFallWeight  = 0.05                   // The same otherwise; higher, so that the baseline recovers soon after a slow period.
)

// Adaptive limits the in-flight requests of this VM at one backend server, with additive
// increase and multiplicative decrease. It is safe for concurrent use and takes no locks.
// Concurrent changes of the limit may overlap, so that one of them has no effect; the limit
// stays within its bounds.
type Adaptive struct {
	maxLimit        float64
	inflight        atomic.Int64
	limit           atomicFloat64
	recentLatency   atomicFloat64 // Moving average of recent latencies, in seconds; 0 before the first.
	baselineLatency atomicFloat64 // Moving average over a longer time, in seconds; 0 before the first.
	decreasedAt     atomic.Int64  // Unix time of the last decrease in nanoseconds; 0 before the first.
}

// atomicFloat64 is a float64 with atomic access.
type atomicFloat64 struct{ bits atomic.Uint64 }

func (n *atomicFloat64) load() float64 { return math.Float64frombits(n.bits.Load()) }

// update replaces the value by the result of change in a compare-and-swap loop, so change
// may be called several times.
func (n *atomicFloat64) update(change func(float64) float64) {
	for {
		old := n.bits.Load()
		if n.bits.CompareAndSwap(old, math.Float64bits(change(math.Float64frombits(old)))) {
			return
		}
	}
}

// NewAdaptive returns a limit that starts at the number of requests that the backend server
// processes concurrently, and at least 1.
func NewAdaptive(slots int) *Adaptive {
	start := float64(max(1, slots))
	a := &Adaptive{maxLimit: maxLimitPerSlot * start}
	a.limit.update(func(float64) float64 { return start })
	return a
}

// Limit returns how many requests may be in flight, at least 1.
func (a *Adaptive) Limit() int { return int(a.limit.load()) }

// Latency returns the moving average of recent latencies, 0 before the first.
func (a *Adaptive) Latency() time.Duration {
	return time.Duration(a.recentLatency.load() * float64(time.Second))
}

// Inflight returns the number of in-flight requests.
func (a *Adaptive) Inflight() int { return int(a.inflight.Load()) }

// Begin reports whether one more request may be sent, and counts it as in flight if so.
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

// End records the end of a request that Begin allowed, and adjusts the limit by its latency
// and outcome.
func (a *Adaptive) End(now time.Time, latency time.Duration, outcome board.Outcome) {
	inUse := int(a.inflight.Add(-1))+1 >= a.Limit()
	switch outcome {
	case board.Shed:
		a.decrease(now, shedDecreaseFactor)
		return
	case board.Success, board.Late:
	case board.Canceled:
		// The complete request would have taken longer, so a latency below the baseline
		// carries no information.
		if latency.Seconds() < a.baselineLatency.load() {
			return
		}
	default:
		return
	}
	switch {
	case a.recordLatency(latency.Seconds()):
		a.decrease(now, slowDecreaseFactor)
	case outcome == board.Success && inUse:
		a.limit.update(func(l float64) float64 { return min(a.maxLimit, l+limitIncrement) })
	}
}

// recordLatency adds a latency in seconds to the moving averages. It reports whether recent
// latency is well above the baseline.
func (a *Adaptive) recordLatency(latency float64) bool {
	a.recentLatency.update(func(mean float64) float64 { return movingAverage(mean, latency, recentLatencyWeight) })
	recentLatency := a.recentLatency.load()
	a.baselineLatency.update(func(mean float64) float64 {
		if recentLatency > mean {
			return movingAverage(mean, recentLatency, baselineRiseWeight)
		}
		return movingAverage(mean, recentLatency, baselineFallWeight)
	})
	return recentLatency > slowLatencyRatio*a.baselineLatency.load()
}

// movingAverage returns the exponentially weighted moving average after one more value. A
// mean of 0 counts as unset and is replaced by the value.
func movingAverage(mean, value, weight float64) float64 {
	if mean == 0 {
		return value
	}
	return mean + weight*(value-mean)
}

// decrease multiplies the limit by factor, unless it was decreased less than
// minDecreaseInterval ago.
func (a *Adaptive) decrease(now time.Time, factor float64) {
	last := a.decreasedAt.Load()
	if last != 0 && now.UnixNano()-last < int64(minDecreaseInterval) {
		return
	}
	if a.decreasedAt.CompareAndSwap(last, now.UnixNano()) {
		a.limit.update(func(l float64) float64 { return max(1, l*factor) })
	}
}
