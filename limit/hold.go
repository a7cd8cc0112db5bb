package limit

import (
	"sync/atomic"
	"time"
)

const (
	// returnTime is how long after a hold the requests of a VM return one by one. A server
	// that had too much to do would otherwise get all of them at the same moment.
	returnTime = time.Second
	// returnInterval is the least time between two requests meanwhile.
	returnInterval = 100 * time.Millisecond
	// returnSpread is the share of a hold by which the VMs return at different times, and
	// maxReturnSpread bounds that.
	returnSpread    = 0.25
	maxReturnSpread = 500 * time.Millisecond
	// MaxHold bounds a hold. The value comes from the server, which may be wrong.
	MaxHold = time.Hour
)

// Hold keeps the requests of this VM from one process of a backend server: for good once it
// has stated that it leaves, and for the time for which it has asked for no requests. The zero
// value holds nothing. It is safe for concurrent use.
type Hold struct {
	leaving atomic.Bool
	until   atomic.Pointer[time.Time] // Nil while there was no hold.
	next    atomic.Pointer[time.Time] // The next request after a hold, nil for the first.
}

// Leave holds all requests from now on. It reports whether it was the first call.
func (h *Hold) Leave() bool { return !h.leaving.Swap(true) }

// TakeOver holds the requests as long as other does, which belongs to the same process.
func (h *Hold) TakeOver(other *Hold) {
	if other.leaving.Load() {
		h.leaving.Store(true)
	}
	h.until.CompareAndSwap(nil, other.until.Load())
}

// IsLeaving reports whether the process has stated that it leaves.
func (h *Hold) IsLeaving() bool { return h.leaving.Load() }

// StayAway holds all requests for d, at most MaxHold, and a little longer: spread, 0 to 1, is
// the part of the spread between VMs. A hold that ends later stays. It reports whether the
// requests were not held before, and when the hold ends.
func (h *Hold) StayAway(now time.Time, d time.Duration, spread float64) (begins bool, end time.Time) {
	d = min(d, MaxHold)
	d += time.Duration(spread * float64(min(time.Duration(returnSpread*float64(d)), maxReturnSpread)))
	end = now.Add(d)
	for {
		before := h.until.Load()
		if before != nil && !end.After(*before) {
			return false, *before
		}
		if h.until.CompareAndSwap(before, &end) {
			return before == nil || !now.Before(*before), end
		}
	}
}

// Left returns the time until requests return, 0 when they are not held. It reports false
// when they never do.
func (h *Hold) Left(now time.Time) (time.Duration, bool) {
	if h.leaving.Load() {
		return 0, false
	}
	until := h.until.Load()
	if until == nil {
		return 0, true
	}
	return max(0, until.Sub(now)), true
}

// Allows reports whether no hold is in effect.
func (h *Hold) Allows(now time.Time) bool {
	left, returns := h.Left(now)
	return returns && left == 0
}

// isClear reports whether there was never a hold, which is the usual case and the cheap one.
func (h *Hold) isClear() bool { return h.until.Load() == nil && !h.leaving.Load() }

// ready reports whether take would succeed.
func (h *Hold) ready(now time.Time) bool {
	next := h.next.Load()
	return h.Allows(now) && (!h.isReturning(now) || next == nil || !now.Before(*next))
}

// take reports whether a request may be sent now. After a hold it admits one at a time.
func (h *Hold) take(now time.Time) bool {
	if !h.Allows(now) {
		return false
	}
	if !h.isReturning(now) {
		return true
	}
	next, following := h.next.Load(), now.Add(returnInterval)
	return (next == nil || !now.Before(*next)) && h.next.CompareAndSwap(next, &following)
}

// wait returns the time until take would succeed, if no other request is sent before. It
// reports false when it never does.
func (h *Hold) wait(now time.Time) (time.Duration, bool) {
	left, returns := h.Left(now)
	if next := h.next.Load(); next != nil && h.isReturning(now) {
		left = max(left, next.Sub(now))
	}
	return left, returns
}

// isReturning reports whether a hold has ended less than returnTime ago.
func (h *Hold) isReturning(now time.Time) bool {
	until := h.until.Load()
	return until != nil && now.Before(until.Add(returnTime))
}
