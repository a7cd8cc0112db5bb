package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/sleep"
)

const (
	budgetWindow = 5 * time.Second
	budgetSlots  = 10 // Parts of a window.
)

// RetryBudget bounds retries and hedges to a share of requests, both within a sliding
// window and over the whole run of the process. The burst lets a service with
// little traffic retry at all.
type RetryBudget struct {
	ratio  float64
	burst  float64
	slot   time.Duration
	refill float64 // Share of the burst that comes back in a second.

	mu     sync.Mutex
	slots  [budgetSlots]budgetCount
	tokens float64 // What requests have earned and retries have not spent.
	filled time.Time
}

// budgetCount counts what happened in one slot of time.
type budgetCount struct {
	at     int64 // Number of the slot since the Unix epoch.
	earned int
	spent  int
}

// NewRetryBudget returns a budget of ratio retries per request with a small burst.
// refill is the time in which the whole burst comes back, and then the window of
// the budget; with 0 it does not, and the window has 5 s.
func NewRetryBudget(ratio float64, burst int, refill time.Duration) *RetryBudget {
	b := &RetryBudget{
		ratio: ratio, burst: float64(burst), slot: budgetWindow / budgetSlots,
		tokens: float64(burst), filled: time.Now(),
	}
	if refill > 0 {
		b.slot, b.refill = refill/budgetSlots, 1/refill.Seconds()
	}
	return b
}

// Deposit counts a request that a caller sent.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot, _, _ := b.window()
	slot.earned++
	b.tokens += b.ratio
}

// TryWithdraw reports whether one more retry or hedge may be sent, and counts it.
func (b *RetryBudget) TryWithdraw() bool {
	const grain = 1e-9 // Above the rounding of repeated additions.
	b.mu.Lock()
	defer b.mu.Unlock()
	slot, earned, spent := b.window()
	if b.refill > 0 {
		now := time.Now()
		b.tokens += now.Sub(b.filled).Seconds() * b.refill * b.burst
		b.filled = now
	}
	if b.tokens+grain < 1 || float64(spent+1) > b.burst+b.ratio*float64(earned)+grain {
		return false
	}
	slot.spent++
	b.tokens--
	return true
}

// window returns the current slot and the sums over the window.
func (b *RetryBudget) window() (slot *budgetCount, earned, spent int) {
	now := time.Now().UnixNano() / int64(b.slot)
	slot = &b.slots[now%budgetSlots]
	if slot.at != now {
		*slot = budgetCount{at: now}
	}
	for _, s := range b.slots {
		if s.at > now-budgetSlots {
			earned += s.earned
			spent += s.spent
		}
	}
	return slot, earned, spent
}

// Backoff spaces out attempts at something that is down. Each pause is random
// between half the first ceiling and the current one, and the ceiling doubles,
// so that those who failed at the same time do not return at the same time. It
// is not safe for concurrent use.
type Backoff struct {
	first  time.Duration
	most   time.Duration
	ceil   time.Duration
	source *rand.Rand
}

// NewBackoff returns a backoff whose ceiling grows from first to most. VMs need
// different seeds.
func NewBackoff(first, most time.Duration, seed uint64) *Backoff {
	return &Backoff{first: first, most: most, ceil: first, source: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the pause before the next attempt.
func (b *Backoff) Next() time.Duration {
	low := b.first / 2
	pause := low + time.Duration(b.source.Int64N(int64(b.ceil-low)+1))
	b.ceil = min(b.most, 2*b.ceil)
	return pause
}

// Reset starts over after a success.
func (b *Backoff) Reset() { b.ceil = b.first }

// Wait sleeps for the next pause. It returns the error of ctx when that ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	if !sleep.For(ctx, b.Next()) {
		return ctx.Err()
	}
	return nil
}
