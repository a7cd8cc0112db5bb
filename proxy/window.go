package proxy

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	windowSize  = 64 // Times kept for a route.
	windowStep  = 16 // Times after which the percentile is computed anew.
	percentile  = 95
	hedgeLeast  = time.Millisecond
	hedgeFactor = 4 // A hedge waits for a quarter of the time left at most.
)

// window holds the recent response times of one route.
type window struct {
	times [windowSize]atomic.Int64 // Nanoseconds.
	next  atomic.Uint64
	p95   atomic.Int64 // 0 until enough times are known.
}

// add takes in one response time. A nil window ignores it.
func (w *window) add(took time.Duration) {
	if w == nil {
		return
	}
	n := w.next.Add(1)
	w.times[n%windowSize].Store(max(1, took.Nanoseconds()))
	if n%windowStep != 0 {
		return
	}
	list := make([]int64, 0, windowSize)
	for i := range w.times {
		if t := w.times[i].Load(); t > 0 {
			list = append(list, t)
		}
	}
	slices.Sort(list)
	w.p95.Store(list[(len(list)*percentile-1)/100])
}

// delay returns how long to wait for a response before a hedge is sent: the
// recent p95, bounded by a share of the time left so that the hedge can end. It
// is never shorter than hedgeLeast: repeated without a budget, a share of the time
// left comes to nothing before the deadline does.
func (w *window) delay(left time.Duration) time.Duration {
	most := max(left/hedgeFactor, hedgeLeast)
	p95 := time.Duration(w.p95.Load())
	if p95 == 0 {
		return most
	}
	return min(max(p95, hedgeLeast), most)
}

// windows holds the windows of a service by route name. They outlive releases,
// which rebuild the routes.
type windows struct{ byRoute sync.Map }

func (w *windows) of(route string) *window {
	if found, ok := w.byRoute.Load(route); ok {
		return found.(*window)
	}
	found, _ := w.byRoute.LoadOrStore(route, new(window))
	return found.(*window)
}
