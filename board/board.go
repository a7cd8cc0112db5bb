// Package board runs the control loop of an entry VM. A single goroutine owns all control
// state and runs the controllers. Traffic goroutines post samples to it without blocking and
// read the results of the controllers through atomic pointers.
package board

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

//go:generate stringer -type=Outcome -output=board_string.go

// Outcome is the result of one attempt at a backend server.
type Outcome uint8

// The outcomes.
const (
	// Success means a complete response with a status below 500.
	Success Outcome = iota
	// Failure means a complete response with a status of 500 or above.
	Failure
	// Late means that the deadline passed before the response was complete.
	Late
	// Reset means that the connection failed after bytes were sent.
	Reset
	// Truncated means that the response ended before it was complete.
	Truncated
	// Mismatch means that the response carried the id of another request.
	Mismatch
	// Shed means that the backend server refused the request because of load.
	Shed
	// Draining means that the backend server refused the request because it is shutting down.
	Draining
	// Cold means that the backend server refused the request because it is starting up.
	Cold
	// Unreachable means that no connection could be opened.
	Unreachable
	// Canceled means that the attempt was canceled by the caller, or because a hedged
	// request finished first. Its only information about the backend server is that the
	// response takes longer than the attempt did.
	Canceled
)

// Sample describes one finished attempt at a backend server.
type Sample struct {
	Service string
	Server  string // Address, "ip:port".
	Start   time.Time
	Took    time.Duration
	Outcome Outcome
}

// InflightStats describes the in-flight attempts of this VM at one backend server.
type InflightStats struct {
	Service     string
	Server      string
	Count       int
	OldestStart time.Time // Start of the oldest attempt; zero when Count is 0.
}

// Unlimited is the request rate of a backend server that states no limit.
var Unlimited = math.Inf(1)

// StatedRate is what a response says of the request rate that its backend server accepts
// from all VMs together.
type StatedRate struct {
	Service   string
	Server    string // Address, "ip:port".
	Instance  string // Id of the server process; empty when it is not known.
	PerSecond float64
	At        time.Time // Arrival of the response.
}

// Controller is one task of the control loop. Its functions run on the control goroutine, so
// they need no locks for state that only controllers access.
type Controller struct {
	Name string
	// Sample handles one sample; nil when the controller does not use samples.
	Sample func(now time.Time, s Sample)
	// Rate handles one stated rate; nil when the controller does not use them.
	Rate func(now time.Time, r StatedRate)
	// Step runs once per tick of 100 ms; nil when the controller has no periodic work.
	Step func(now time.Time)
}

const (
	tickInterval = 100 * time.Millisecond
	sampleBuffer = 8192 // Maximum number of samples that wait for the control loop.
	rateBuffer   = 1024 // Maximum number of stated rates that wait for the control loop.
	callBuffer   = 256
)

// Board passes samples and calls to the control loop. It is safe for concurrent use.
type Board struct {
	controllers []Controller
	samples     chan Sample
	rates       chan StatedRate
	calls       chan func(now time.Time)
	stopped     chan struct{} // Closed when Run returns.
	dropped     atomic.Uint64
	steps       atomic.Uint64
}

// New returns a board whose control loop calls the controllers in the given order.
func New(controllers ...Controller) *Board {
	return &Board{
		controllers: controllers,
		samples:     make(chan Sample, sampleBuffer),
		rates:       make(chan StatedRate, rateBuffer),
		calls:       make(chan func(time.Time), callBuffer),
		stopped:     make(chan struct{}),
	}
}

// Post passes a sample to the control loop without blocking. When the buffer is full, it
// drops and counts the sample and returns false.
func (b *Board) Post(s Sample) bool {
	select {
	case b.samples <- s:
		return true
	default:
		b.dropped.Add(1)
		return false
	}
}

// PostRate is Post for a stated rate. A dropped one counts as a dropped sample.
func (b *Board) PostRate(r StatedRate) bool {
	select {
	case b.rates <- r:
		return true
	default:
		b.dropped.Add(1)
		return false
	}
}

// DroppedSamples returns how many samples and stated rates were dropped because a buffer was
// full.
func (b *Board) DroppedSamples() uint64 { return b.dropped.Load() }

// Steps returns how many ticks the control loop has processed.
func (b *Board) Steps() uint64 { return b.steps.Load() }

// errStopped is the error of Do after Run has returned.
var errStopped = errors.New("the control loop has ended")

// Do runs fn on the control goroutine and waits for it, so that other goroutines can read or
// change control state without locks. It returns the error of ctx when that ends first; fn
// may still run then. After Run has returned, it returns an error immediately.
func (b *Board) Do(ctx context.Context, fn func(now time.Time)) error {
	done := make(chan struct{})
	call := func(now time.Time) {
		fn(now)
		close(done)
	}
	select {
	case b.calls <- call:
	case <-b.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-done:
		return nil
	case <-b.stopped:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Run runs the control loop until ctx ends, and returns its error. It must be called once
// only.
func (b *Board) Run(ctx context.Context) error {
	defer close(b.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case call := <-b.calls:
			call(time.Now())
		case s := <-b.samples:
			b.drainSamples(time.Now(), s)
		case r := <-b.rates:
			b.handleRate(time.Now(), r)
		case <-ticker.C:
			b.runSteps(time.Now())
		}
	}
}

// drainSamples passes s and the buffered samples to the controllers. The number per call is
// bounded, so that a high rate of samples cannot starve the ticks.
func (b *Board) drainSamples(now time.Time, s Sample) {
	for range sampleBuffer {
		for _, c := range b.controllers {
			if c.Sample != nil {
				c.Sample(now, s)
			}
		}
		select {
		case s = <-b.samples:
		default:
			return
		}
	}
}

// handleRate passes a stated rate to the controllers.
func (b *Board) handleRate(now time.Time, r StatedRate) {
	for _, c := range b.controllers {
		if c.Rate != nil {
			c.Rate(now, r)
		}
	}
}

// runSteps runs the steps of all controllers for one tick.
func (b *Board) runSteps(now time.Time) {
	for _, c := range b.controllers {
		if c.Step != nil {
			c.Step(now)
		}
	}
	b.steps.Add(1)
}
