package proxy

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	windowSize        = 64 // Response times kept per route.
	recomputeInterval = 16 // Number of added times between updates of the percentile.
	hedgePercentile   = 95
	minHedgeDelay     = time.Millisecond
	hedgeDelayDivisor = 4 // A hedge is delayed by at most a quarter of the remaining time.
)

// latencyWindow holds the most recent response times of one route.
type latencyWindow struct {
	times [windowSize]atomic.Int64 // Nanoseconds.
	count atomic.Uint64
	p95   atomic.Int64 // Nanoseconds; 0 until recomputeInterval times were added.
}

// add records one response time.
func (w *latencyWindow) add(took time.Duration) {
	n := w.count.Add(1)
	w.times[n%windowSize].Store(max(1, took.Nanoseconds()))
	if n%recomputeInterval != 0 {
		return
	}
	sorted := make([]int64, 0, windowSize)
	for i := range w.times {
		if t := w.times[i].Load(); t > 0 {
			sorted = append(sorted, t)
		}
	}
	slices.Sort(sorted)
	w.p95.Store(sorted[(len(sorted)*hedgePercentile-1)/100])
}

// usual returns the recent p95, 0 while it is unknown.
func (w *latencyWindow) usual() time.Duration { return time.Duration(w.p95.Load()) }

// hedgeDelay returns how long to wait for a response before sending a hedge: the
// recent p95, bounded by a share of the remaining time so that the hedge can
// complete. It is at least minHedgeDelay: while the retry budget is exhausted the
// delay is computed again and again, and a share of the remaining time would shrink
// to nothing before the deadline.
func (w *latencyWindow) hedgeDelay(remaining time.Duration) time.Duration {
	maxDelay := max(remaining/hedgeDelayDivisor, minHedgeDelay)
	p95 := w.usual()
	if p95 == 0 {
		return maxDelay
	}
	return min(max(p95, minHedgeDelay), maxDelay)
}

// latencyWindows holds the windows of a service by route name. It is kept across
// releases, which rebuild the routes.
type latencyWindows struct{ byRoute sync.Map }

func (w *latencyWindows) forRoute(route string) *latencyWindow {
	if found, ok := w.byRoute.Load(route); ok {
		return found.(*latencyWindow)
	}
	found, _ := w.byRoute.LoadOrStore(route, new(latencyWindow))
	return found.(*latencyWindow)
}
