// Package memory bounds the bytes that a VM holds for others: request bodies until they have been
// sent, answers until their callers have read them, and messages of other VMs.
//
// Small holds may use all of the budget. Larger ones share a part of it, and the more of that is in
// use, the less may one owner hold: what any number of them leaves is enough for the next one to
// begin with. Nothing that was granted is taken back.
package memory

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/sleep"
)

//go:generate stringer -type=Use -output=memory_string.go

// Use tells what bytes are held for.
type Use uint8

// The uses of the budget.
const (
	Bodies   Use = iota // Request bodies of callers.
	Answers             // Responses of backend servers.
	Messages            // Messages of other VMs.

	useCount
)

const (
	// SmallBytes is the size up to which a hold is small.
	SmallBytes = 256 << 10
	// largeShare is the part of the budget that holds above SmallBytes may use together.
	largeShare = 0.75
	// startShare is the part of that up to which holds of unknown size become larger than
	// SmallBytes, where each that has done so and still grows counts for growingShare more. The rest is
	// for these to end, so that they do not all wait for each other.
	startShare   = 0.5
	growingShare = 1.0 / 16
	// waitInterval is the time between two attempts of GrowWait.
	waitInterval = 10 * time.Millisecond
)

// ownerShares bounds what one owner may hold beyond SmallBytes each, by class, as a multiple of the
// room that is left for such holds: a single owner gets at most share/(1+share) of it.
var ownerShares = [...]float64{limit.Urgent: 4, limit.Normal: 2, limit.Bulk: 0.5}

// Budget is the bound on the bytes that a VM holds for others. It is safe for concurrent use.
type Budget struct {
	limit int64
	total atomic.Int64
	peak  atomic.Int64
	held  [useCount]atomic.Int64

	mu      sync.Mutex
	large   int64            // Bytes of the large holds.
	growing int              // Holds of unknown size that have become large.
	byOwner map[string]int64 // The same by owner.

	refused [useCount]*metrics.Counter
}

// New returns a budget of limit bytes, and registers its metrics in set, which may be nil.
func New(limit int64, set *metrics.Set) *Budget {
	if set == nil {
		set = metrics.NewSet()
	}
	b := &Budget{limit: limit, byOwner: map[string]int64{}}
	set.NewGauge("azuredeal_memory_limit_bytes", func() float64 { return float64(b.limit) })
	set.NewGauge("azuredeal_memory_peak_bytes", func() float64 { return float64(b.peak.Load()) })
	for u := range useCount {
		set.NewGauge(fmt.Sprintf("azuredeal_memory_held_bytes{use=%q}", u), func() float64 { return float64(b.held[u].Load()) })
		b.refused[u] = set.GetOrCreateCounter(fmt.Sprintf("azuredeal_memory_refused_total{use=%q}", u))
	}
	return b
}

// Limit returns the size of the budget in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Held returns the bytes that are held.
func (b *Budget) Held() int64 { return b.total.Load() }

// Peak returns the most bytes that were ever held.
func (b *Budget) Peak() int64 { return b.peak.Load() }

// Hold is a part of the budget. The zero value belongs to no budget and grows without a bound. A
// Hold must not be copied while it is in use, and is used by one goroutine at a time.
type Hold struct {
	budget *Budget
	use    Use
	class  limit.Class
	owner  string
	bytes  int64
	// growing is set while the hold counts as growing.
	growing bool
}

// Hold returns an empty hold for an owner, such as the account of a caller. A nil budget returns
// the zero value.
func (b *Budget) Hold(use Use, owner string, class limit.Class) Hold {
	return Hold{budget: b, use: use, owner: owner, class: min(class, limit.Bulk)}
}

// Bytes returns the size of the hold.
func (h *Hold) Bytes() int64 { return h.bytes }

// HasRoom reports whether Grow would add n bytes now.
func (h *Hold) HasRoom(n int64) bool {
	if !h.Grow(n) {
		return false
	}
	h.Shrink(n)
	return true
}

// Grow adds n bytes to the hold, or reports that there is no room for them.
func (h *Hold) Grow(n int64) bool {
	if h.budget != nil && !h.tryGrow(n) {
		h.budget.refused[h.use].Inc()
		return false
	}
	return true
}

// start reports whether a hold of unknown size may grow by n bytes when it becomes larger than
// SmallBytes by that. It then counts as growing until Settle.
func (h *Hold) start(n int64) bool {
	b := h.budget
	if h.growing || h.bytes > SmallBytes || h.bytes+n <= SmallBytes {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	room := largeShare * float64(b.limit)
	if float64(b.large)+float64(b.growing)*growingShare*room > startShare*room {
		return false
	}
	h.growing = true
	b.growing++
	return true
}

// Settle tells that the hold does not grow any more. Further calls do nothing.
func (h *Hold) Settle() {
	if h.growing {
		h.growing = false
		h.budget.mu.Lock()
		h.budget.growing--
		h.budget.mu.Unlock()
	}
}

// GrowWait is Grow for a hold of unknown size, until Settle. It waits for room until ctx ends, and
// returns fault.MemoryFull without room.
func (h *Hold) GrowWait(ctx context.Context, n int64) error {
	for h.budget != nil && (!h.start(n) || !h.tryGrow(n)) {
		if !sleep.For(ctx, waitInterval) {
			h.budget.refused[h.use].Inc()
			return fault.New(fault.MemoryFull, "no room for %d bytes", h.bytes+n)
		}
	}
	return nil
}

func (h *Hold) tryGrow(n int64) bool {
	b := h.budget
	if h.bytes+n > SmallBytes && !h.growLarge(n) {
		return false
	}
	total := b.total.Add(n)
	if total > b.limit {
		b.total.Add(-n)
		if h.bytes+n > SmallBytes {
			h.shrinkLarge(h.bytes+n, h.bytes)
		}
		return false
	}
	for peak := b.peak.Load(); total > peak && !b.peak.CompareAndSwap(peak, total); peak = b.peak.Load() {
	}
	b.held[h.use].Add(n)
	h.bytes += n
	return true
}

// growLarge enters a hold that becomes larger than SmallBytes, or grows beyond, with its owner.
func (h *Hold) growLarge(n int64) bool {
	b := h.budget
	if h.bytes <= SmallBytes {
		n += h.bytes // It counts as a whole from now on.
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	room := int64(largeShare*float64(b.limit)) - b.large - n
	if room < 0 || float64(b.byOwner[h.owner]+n) > ownerShares[h.class]*float64(room) {
		return false
	}
	b.large += n
	b.byOwner[h.owner] += n
	return true
}

// shrinkLarge takes back what growLarge has entered for a hold that shrinks from one size to
// another.
func (h *Hold) shrinkLarge(from, to int64) {
	if to <= SmallBytes {
		to = 0
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.large -= from - to
	if b.byOwner[h.owner] -= from - to; b.byOwner[h.owner] == 0 {
		delete(b.byOwner, h.owner)
	}
}

// Shrink gives back n bytes.
func (h *Hold) Shrink(n int64) {
	if h.budget == nil || n == 0 {
		return
	}
	if h.bytes > SmallBytes {
		h.shrinkLarge(h.bytes, h.bytes-n)
	}
	h.bytes -= n
	h.budget.total.Add(-n)
	h.budget.held[h.use].Add(-n)
}

// Release gives all bytes back. Further calls do nothing.
func (h *Hold) Release() {
	h.Settle()
	h.Shrink(h.bytes)
}
