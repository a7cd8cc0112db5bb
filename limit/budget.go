package limit

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/sleep"
)

const (
	defaultWindow = 5 * time.Second
	windowSlots   = 10 // Number of slots that a window is divided into.
)

// RetryBudget limits retries and hedged requests to a ratio of the requests, both within a
// sliding window and over the lifetime of the process. A burst on top of the ratio allows
// retries to a service with little traffic. It is safe for concurrent use.
type RetryBudget struct {
	ratio  float64
	burst  float64
	slot   time.Duration
	refill float64 // Fraction of the burst that is refilled per second; 0 for no refill.

	mu         sync.Mutex
	slots      [windowSlots]slotCounts
	tokens     float64 // Deposits and refills that were not withdrawn; starts at the burst.
	refilledAt time.Time
}

// slotCounts holds the counts of one slot of the sliding window.
type slotCounts struct {
	index       int64 // Number of the slot since the Unix epoch.
	deposits    int
	withdrawals int
}

// NewRetryBudget returns a budget that allows ratio retries per request, and burst retries
// on top of that. refill is the time in which the whole burst is refilled, and also the
// length of the sliding window. With a refill of 0 the burst is not refilled, and the window
// has 5 s.
func NewRetryBudget(ratio float64, burst int, refill time.Duration) *RetryBudget {
	b := &RetryBudget{
		ratio: ratio, burst: float64(burst), slot: defaultWindow / windowSlots,
		tokens: float64(burst), refilledAt: time.Now(),
	}
	if refill > 0 {
		b.slot, b.refill = refill/windowSlots, 1/refill.Seconds()
	}
	return b
}

// Configure changes the ratio, the burst and the refill of NewRetryBudget. What was withdrawn
// still counts: otherwise each change would bring another burst.
func (b *RetryBudget) Configure(ratio float64, burst int, refill time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := NewRetryBudget(ratio, burst, refill)
	if next.slot == b.slot {
		next.slots = b.slots
	}
	next.tokens, next.refilledAt = b.tokens, b.refilledAt
	b.ratio, b.burst, b.slot, b.refill = next.ratio, next.burst, next.slot, next.refill
	b.slots, b.tokens, b.refilledAt = next.slots, next.tokens, next.refilledAt
}

// Deposit counts a request of a caller, which raises the number of allowed retries by the
// ratio.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot, _, _ := b.window()
	slot.deposits++
	b.tokens += b.ratio
}

// TryWithdraw reports whether one more retry or hedged request may be sent, and counts it if
// so.
func (b *RetryBudget) TryWithdraw() bool {
	const epsilon = 1e-9 // Tolerance for the rounding errors of repeated additions.
	b.mu.Lock()
	defer b.mu.Unlock()
	slot, deposits, withdrawals := b.window()
	if b.refill > 0 {
		now := time.Now()
		b.tokens += now.Sub(b.refilledAt).Seconds() * b.refill * b.burst
		b.refilledAt = now
	}
	if b.tokens+epsilon < 1 || float64(withdrawals+1) > b.burst+b.ratio*float64(deposits)+epsilon {
		return false
	}
	slot.withdrawals++
	b.tokens--
	return true
}

// Available reports whether TryWithdraw would succeed now.
func (b *RetryBudget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, deposits, withdrawals := b.window()
	return b.tokens >= 1 && float64(withdrawals+1) <= b.burst+b.ratio*float64(deposits)
}

// window returns the current slot, which it clears when a window has passed since its last
// use, and the sums over the window. It needs the lock.
func (b *RetryBudget) window() (slot *slotCounts, deposits, withdrawals int) {
	now := time.Now().UnixNano() / int64(b.slot)
	slot = &b.slots[now%windowSlots]
	if slot.index != now {
		*slot = slotCounts{index: now}
	}
	for _, s := range b.slots {
		if s.index > now-windowSlots {
			deposits += s.deposits
			withdrawals += s.withdrawals
		}
	}
	return slot, deposits, withdrawals
}

// Backoff is an exponential backoff with jitter. Each delay is random between half the
// initial ceiling and the current ceiling, and the ceiling doubles with each delay up to a
// maximum, so that VMs whose attempts failed at the same time do not retry at the same time.
// It is not safe for concurrent use.
type Backoff struct {
	initial time.Duration
	maximum time.Duration
	ceiling time.Duration
	random  *rand.Rand
}

// NewBackoff returns a backoff whose ceiling grows from initial to maximum. VMs need
// different seeds so that their delays differ.
func NewBackoff(initial, maximum time.Duration, seed uint64) *Backoff {
	return &Backoff{initial: initial, maximum: maximum, ceiling: initial, random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the delay before the next attempt and doubles the ceiling, up to the maximum.
func (b *Backoff) Next() time.Duration {
	low := b.initial / 2
	delay := low + time.Duration(b.random.Int64N(int64(b.ceiling-low)+1))
	b.ceiling = min(b.maximum, 2*b.ceiling)
	return delay
}

// Reset sets the ceiling back to its initial value; call it after a success.
func (b *Backoff) Reset() { b.ceiling = b.initial }

// Wait sleeps for the next delay. It returns the error of ctx when that ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	if !sleep.For(ctx, b.Next()) {
		return ctx.Err()
	}
	return nil
}
