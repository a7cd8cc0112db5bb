package limit

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	rateShards    = 64
	sweepInterval = 10 * time.Second // Interval at which a shard is searched for full buckets.
)

// TokenBuckets is a rate limiter with one token bucket per account. A bucket that is full
// again is dropped, as it equals a new one, so memory use is proportional to the number of
// recently active accounts. It is safe for concurrent use.
type TokenBuckets struct {
	seed   maphash.Seed
	shards [rateShards]rateShard
}

type rateShard struct {
	mu      sync.Mutex
	buckets map[string]bucket
	sweptAt time.Time
}

// bucket is the token bucket of one account.
type bucket struct {
	tokens    float64
	updatedAt int64 // Unix time in nanoseconds at which it had tokens.
	fullAt    int64 // Unix time in nanoseconds at which it will be full.
}

// NewTokenBuckets returns an empty set of buckets.
func NewTokenBuckets() *TokenBuckets {
	r := &TokenBuckets{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].buckets = map[string]bucket{}
	}
	return r
}

// Allow reports whether account may send one more request now, and takes a token if so. The
// rate is in requests per second; a rate or burst of 0 or less allows no request.
func (r *TokenBuckets) Allow(now time.Time, account string, rate float64, burst int) bool {
	if rate <= 0 || burst <= 0 {
		return false
	}
	s := &r.shards[maphash.String(r.seed, account)%rateShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	b := s.refilled(now, account, rate, float64(burst))
	allowed := b.tokens >= 1
	if allowed {
		b.tokens--
	}
	missing := float64(burst) - b.tokens
	b.fullAt = b.updatedAt + int64(missing/rate*float64(time.Second))
	s.buckets[account] = b
	return allowed
}

// Len returns the number of buckets in memory.
func (r *TokenBuckets) Len() int {
	n := 0
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		n += len(s.buckets)
		s.mu.Unlock()
	}
	return n
}

// refilled returns the bucket of account with the tokens added since its last update, which
// are none when now is before that. A new bucket is full. It needs the lock.
func (s *rateShard) refilled(now time.Time, account string, rate, burst float64) bucket {
	b, ok := s.buckets[account]
	if !ok {
		return bucket{tokens: burst, updatedAt: now.UnixNano()}
	}
	if elapsed := now.UnixNano() - b.updatedAt; elapsed > 0 {
		b.tokens += rate * time.Duration(elapsed).Seconds()
		b.updatedAt = now.UnixNano()
	}
	b.tokens = min(b.tokens, burst)
	return b
}

// sweep drops full buckets, at most once per sweepInterval. It needs the lock.
func (s *rateShard) sweep(now time.Time) {
	if now.Sub(s.sweptAt) < sweepInterval {
		return
	}
	s.sweptAt = now
	for account, b := range s.buckets {
		if b.fullAt <= now.UnixNano() {
			delete(s.buckets, account)
		}
	}
}
