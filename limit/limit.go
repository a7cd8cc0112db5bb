// Package limit decides what may start: a bounded queue per service, request
// rates per account, and a budget for retries.
package limit

import (
	"context"
	"time"
)

// Class orders requests in a queue.
type Class uint8

// The classes, from first to last served.
const (
	Urgent Class = iota
	Normal
	Bulk
)

// Ask describes a request that wants to start.
type Ask struct {
	Class    Class
	Account  string
	Deadline time.Time
}

// Queue admits requests of one service on this VM.
type Queue struct{}

// NewQueue returns a queue that lets room requests run at once and depth wait.
func NewQueue(_, _ int) *Queue { return &Queue{} }

// SetRoom changes how many requests may run at once.
func (q *Queue) SetRoom(_ int) {}

// Enter waits for room. It returns a function that gives the room back, or a
// fault of kind QueueFull, DeadlineShort or Canceled.
func (q *Queue) Enter(_ context.Context, _ Ask) (leave func(), err error) {
	return func() {}, nil
}

// Budget bounds retries and hedges to a share of requests.
type Budget struct{}

// NewBudget returns a budget of ratio retries per request with a small burst.
func NewBudget(_ float64, _ int) *Budget { return &Budget{} }

// Earn counts a request that a caller sent.
func (b *Budget) Earn() {}

// Spend reports whether one more retry or hedge may be sent, and counts it.
func (b *Budget) Spend() bool { return false }

// Rates holds the token buckets of accounts.
type Rates struct{}

// NewRates returns an empty set of buckets.
func NewRates() *Rates { return &Rates{} }

// Allow reports whether account may send one more request now.
// rate is in requests a second.
func (r *Rates) Allow(_ time.Time, _ string, _ float64, _ int) bool { return true }
