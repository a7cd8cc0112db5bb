package limit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/board"
)

const (
	minRateBurst = 1.5                    // Requests.
	rateBurst    = 250 * time.Millisecond // Requests of so long may be sent at once.
	// grantTime is how long a grant may be used. Grants that were kept would let many VMs send
	// their requests at the same moment.
	grantTime = 200 * time.Millisecond
	// noWait is the result of Wait when no request will be allowed.
	noWait = time.Duration(math.MaxInt64)
)

// Rate bounds the requests per second of this VM at one backend server. It is a token bucket
// with room for little more than one request, as the bursts of all VMs add up at the server.
// The zero value allows all requests. It is safe for concurrent use.
type Rate struct {
	limited atomic.Bool
	hold    Hold

	mu           sync.Mutex
	perSecond    float64
	tokens       float64
	updatedAt    time.Time
	grantedUntil time.Time // Until then one request is allowed without a token.
}

// Set changes the rate, in requests per second; board.Unlimited allows all requests. A rate
// that becomes limited starts without a token, since unlimited requests have just been sent.
func (r *Rate) Set(now time.Time, perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if perSecond == board.Unlimited {
		r.limited.Store(false)
		return
	}
	if !r.limited.Load() {
		r.tokens, r.updatedAt, r.grantedUntil = 0, now, time.Time{}
	}
	r.refill(now)
	r.perSecond = perSecond
	r.limited.Store(true)
}

// Hold returns what keeps all requests from the server, whatever the rate.
func (r *Rate) Hold() *Hold { return &r.hold }

// Limited reports whether there is a bound.
func (r *Rate) Limited() bool { return r.limited.Load() }

// PerSecond returns the rate, in requests per second.
func (r *Rate) PerSecond() float64 {
	if !r.limited.Load() {
		return board.Unlimited
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.perSecond
}

// Grant allows one request beyond the rate within grantTime.
func (r *Rate) Grant(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.grantedUntil = now.Add(grantTime)
}

// Ready reports whether Take would succeed.
func (r *Rate) Ready() bool {
	if r.hold.isClear() && !r.limited.Load() {
		return true
	}
	now := time.Now()
	if !r.hold.ready(now) {
		return false
	}
	if !r.limited.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(now)
	return r.tokens >= 1 || now.Before(r.grantedUntil)
}

// Take reports whether a request may be sent now, and counts it if so.
func (r *Rate) Take() bool {
	if r.hold.isClear() && !r.limited.Load() {
		return true
	}
	now := time.Now()
	if !r.hold.take(now) {
		return false
	}
	if !r.limited.Load() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(now)
	switch {
	case r.tokens >= 1:
		r.tokens--
	case now.Before(r.grantedUntil):
		r.grantedUntil = time.Time{}
	default:
		return false
	}
	return true
}

// Return gives back what Take counted for a request that is not sent.
func (r *Rate) Return() {
	if !r.limited.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.tokens = min(r.tokens+1, r.burst())
}

// Wait returns the time until the next request is allowed if no other is sent before it.
func (r *Rate) Wait() time.Duration {
	now := time.Now()
	left, returns := r.hold.wait(now)
	switch {
	case !returns:
		return noWait
	case !r.limited.Load():
		return left
	}
	return max(left, r.waitForToken(now))
}

func (r *Rate) waitForToken(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(now)
	switch {
	case r.tokens >= 1:
		return 0
	case r.perSecond <= 0:
		return noWait
	}
	seconds := (1 - r.tokens) / r.perSecond
	if seconds > noWait.Seconds()/2 {
		return noWait
	}
	return time.Duration(seconds*float64(time.Second)) + 1
}

// refill adds the tokens since the last call. It needs the lock.
func (r *Rate) refill(now time.Time) {
	if elapsed := now.Sub(r.updatedAt); elapsed > 0 {
		r.tokens = min(r.tokens+r.perSecond*elapsed.Seconds(), r.burst())
		r.updatedAt = now
	}
}

// burst returns the most tokens that the bucket holds. It needs the lock.
func (r *Rate) burst() float64 { return max(minRateBurst, r.perSecond*rateBurst.Seconds()) }
