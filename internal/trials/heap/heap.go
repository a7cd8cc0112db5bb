// Package heap measures for tests how far the heap grows.
package heap

import (
	"runtime"
	"sync/atomic"
	"time"
)

const interval = 2 * time.Millisecond // Between two samples.

// Peak begins to sample the bytes of the heap in use, until stop is called, which returns the most
// beyond those at the start.
func Peak() (stop func() uint64) {
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var peak atomic.Uint64
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
			}
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			peak.Store(max(peak.Load(), m.HeapInuse-min(m.HeapInuse, before.HeapInuse)))
		}
	}()
	return func() uint64 {
		close(done)
		<-ended
		return peak.Load()
	}
}
