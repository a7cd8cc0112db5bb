package limit

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	rateShards = 64
	sweepEvery = 10 * time.Second // Between two searches of a shard for idle buckets.
)

// TokenBuckets holds the token buckets of accounts. A bucket that is full again is
// dropped, as a new one would be the same, so memory follows the accounts that
// are active.
type TokenBuckets struct {
	seed   maphash.Seed
	shards [rateShards]rateShard
}

type rateShard struct {
	mu      sync.Mutex
	buckets map[string]bucket
	swept   time.Time
}

// bucket holds the tokens at a time, and when it will be full.
type bucket struct {
	tokens float64
	at     int64 // Unix time in nanoseconds, as is full.
	full   int64
}

// NewTokenBuckets returns an empty set of buckets.
func NewTokenBuckets() *TokenBuckets {
	r := &TokenBuckets{seed: maphash.MakeSeed()}
	for i := range r.shards {
		r.shards[i].buckets = map[string]bucket{}
	}
	return r
}

// Allow reports whether account may send one more request now. rate is in
// requests a second; a rate or burst of 0 or less allows none.
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
	b.full = b.at + int64(missing/rate*float64(time.Second))
	s.buckets[account] = b
	return allowed
}

// Len returns how many buckets are kept.
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

// refilled returns the bucket of account with the tokens that it has now. A time
// before that of the bucket adds none.
func (s *rateShard) refilled(now time.Time, account string, rate, burst float64) bucket {
	b, ok := s.buckets[account]
	if !ok {
		return bucket{tokens: burst, at: now.UnixNano()}
	}
	if passed := now.UnixNano() - b.at; passed > 0 {
		b.tokens += rate * time.Duration(passed).Seconds()
		b.at = now.UnixNano()
	}
	b.tokens = min(b.tokens, burst)
	return b
}

func (s *rateShard) sweep(now time.Time) {
	if now.Sub(s.swept) < sweepEvery {
		return
	}
	s.swept = now
	for account, b := range s.buckets {
		if b.full <= now.UnixNano() {
			delete(s.buckets, account)
		}
	}
}
