package idem

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/sleep"
	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	claimShards         = 256 // Must be equal on all VMs.
	claimBatchSize      = 512
	maxWaitingClaims    = 4096 // Most requests that wait for a claim on one VM.
	maxPlatformCalls    = 16   // Most concurrent calls to the platform.
	maxWriteAttempts    = 6    // Most attempts to write one batch.
	platformCallTimeout = 2 * time.Second
	maxCachedClaims     = 32_768 // Most claims in each of the two halves of the cache.
	maxShardBytes       = store.MaxValueBytes - 64<<10

	// claimGrace is how long the platform keeps a claim after its expiry. It covers a run
	// of up to maxRunTime that began just before the expiry, and a clock difference
	// between VMs of up to the rest.
	claimGrace = 10 * time.Minute

	// eraName is the object that tells when the current era of the platform was first seen.
	eraName = "claim/era"

	minBackoff = 100 * time.Millisecond // Backoff after the first failed call.
	maxBackoff = 5 * time.Second
)

// Claims records in the platform which VM owns a key that a caller chose. Requests for
// keys of one shard share a write: requests that arrive while the shard is being read
// or written are batched for its next write.
type Claims struct {
	baseCtx   context.Context
	client    *store.Client
	self      Owner
	batch     int // Most claims in one batch.
	callSlots chan struct{}

	mu           sync.Mutex
	era          uint64    // The era of the platform that settledAt is of.
	settledAt    time.Time // From then on, no claim that was lost before that era is still valid.
	shards       []shard
	waiting      int
	recent       map[digest]claim // Newer half of the cache of confirmed claims.
	older        map[digest]claim
	backoff      *limit.Backoff
	backoffUntil time.Time // After a failed call, new claims fail without a call until this time.
}

// shard holds the requests that wait for one object of the platform.
type shard struct {
	busy    bool
	pending []*pending
}

// pending is one request that waits for its claim. The result is written before done is
// closed.
type pending struct {
	key     digest
	request digest
	done    chan struct{}
	claim   claim
	isLost  bool // A claim on the key may have been lost.
	err     error
}

// claim is a claim on a key as stored in the platform.
type claim struct {
	owner   Owner
	request digest
	expiry  time.Time
}

// NewClaims returns the claims of the VM self. Its goroutines end when ctx does.
func NewClaims(ctx context.Context, client *store.Client, self Owner) *Claims {
	return &Claims{
		baseCtx: ctx, client: client, self: self,
		batch:     claimBatchSize,
		shards:    make([]shard, claimShards),
		callSlots: make(chan struct{}, maxPlatformCalls),
		recent:    map[digest]claim{},
		backoff:   limit.NewBackoff(minBackoff, maxBackoff, rand.Uint64()),
	}
}

// claim returns the claim on a key. When there is none, it claims the key for this VM.
// The error is ClaimFailed, or Timeout or Canceled when ctx ends; with each of them it
// is unknown whether the key has run.
func (c *Claims) claim(ctx context.Context, key, request digest) (claim, error) {
	if ctx.Err() != nil {
		return claim{}, contextError(ctx, "claim a key")
	}
	p := &pending{key: key, request: request, done: make(chan struct{})}
	if got, ok, err := c.cachedOrEnqueue(time.Now(), p); ok || err != nil {
		return got, err
	}
	select {
	case <-p.done:
		return p.claim, p.err
	case <-ctx.Done():
		return claim{}, contextError(ctx, "wait for a claim")
	}
}

// cachedOrEnqueue returns the claim when it is cached, and otherwise adds p to its shard.
func (c *Claims) cachedOrEnqueue(now time.Time, p *pending) (claim, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, ok := c.cachedClaim(p.key); ok && now.Before(got.expiry) {
		return got, true, nil
	}
	if now.Before(c.backoffUntil) {
		return claim{}, false, fault.New(fault.ClaimFailed, "the platform failed and is not asked again yet")
	}
	if c.waiting >= maxWaitingClaims {
		return claim{}, false, fault.New(fault.ClaimFailed, "%d requests wait for claims", c.waiting)
	}
	c.waiting++
	n := int(binary.BigEndian.Uint16(p.key[:])) % len(c.shards)
	s := &c.shards[n]
	s.pending = append(s.pending, p)
	if !s.busy {
		s.busy = true
		go c.serveShard(n)
	}
	return claim{}, false, nil
}

// serveShard processes batches of a shard until no request waits for it.
func (c *Claims) serveShard(n int) {
	name := fmt.Sprintf("claim/%03x", n)
	for c.hasPending(n) {
		c.callSlots <- struct{}{}
		batch, err := c.write(name, n)
		<-c.callSlots
		c.completeBatch(batch, err)
	}
}

// hasPending reports whether requests wait for the shard. If none do, it marks the shard
// as not busy.
func (c *Claims) hasPending(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.shards[n]
	s.busy = len(s.pending) > 0
	return s.busy
}

// fillBatch moves waiting requests of the shard to the batch, up to c.batch in total.
func (c *Claims) fillBatch(n int, batch []*pending) []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.shards[n]
	count := min(len(s.pending), c.batch-len(batch))
	batch = append(batch, s.pending[:count]...)
	s.pending = append([]*pending(nil), s.pending[count:]...)
	return batch
}

// write reads the shard, adds the missing claims and writes it with a compare-and-swap.
// After a conflict or a lost response it reads the shard again, so a claim is used only
// after the platform has confirmed the write or returned the claim in a read.
func (c *Claims) write(name string, n int) (batch []*pending, err error) {
	for attempt := range maxWriteAttempts {
		if attempt > 0 && !c.waitBeforeRetry(attempt) {
			return batch, c.baseCtx.Err()
		}
		var object store.Object
		object, err = c.read(name)
		batch = c.fillBatch(n, batch)
		if err != nil && attempt == 0 {
			return batch, err
		}
		if err != nil {
			continue
		}
		var settled bool
		if settled, err = c.isSettled(object.Version.Era()); err != nil {
			continue
		}
		var value []byte
		value, err = c.merge(time.Now(), object.Value, batch, settled)
		if err != nil || value == nil {
			return batch, err
		}
		if err = c.put(name, value, object.Version); err == nil {
			return batch, nil
		}
	}
	return batch, err
}

// waitBeforeRetry waits for a random delay, so that VMs whose writes conflicted do not
// write at the same time again. The delay range doubles with each attempt. It returns
// false when the context ends first.
func (c *Claims) waitBeforeRetry(attempt int) bool {
	const base = 2 * time.Millisecond
	return sleep.For(c.baseCtx, time.Duration(rand.Int64N(int64(base)<<attempt)))
}

func (c *Claims) read(name string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(c.baseCtx, platformCallTimeout)
	defer cancel()
	return c.client.Get(ctx, name)
}

func (c *Claims) put(name string, value []byte, version store.Version) error {
	ctx, cancel := context.WithTimeout(c.baseCtx, platformCallTimeout)
	defer cancel()
	_, err := c.client.Put(ctx, name, value, version)
	return err
}

// isSettled reports whether all claims that the platform may have lost before an era have
// expired. When it comes back from a copy, claims on keys that have run are gone, and their
// owners may be gone as well, so that nobody knows which keys may run: until then, no key
// is claimed anew. The first VM that sees an era stores when that was, for VMs that start later.
func (c *Claims) isSettled(era uint64) (bool, error) {
	if era <= store.FirstEra {
		return true, nil
	}
	c.mu.Lock()
	known, settledAt := c.era == era, c.settledAt
	c.mu.Unlock()
	if known {
		return !time.Now().Before(settledAt), nil
	}
	seen, err := c.eraSeen(era)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.era, c.settledAt = era, seen.Add(KeyTTL+claimGrace)
	return !time.Now().Before(c.settledAt), nil
}

// eraSeen returns when a VM first saw an era, which is now when none has stored it.
func (c *Claims) eraSeen(era uint64) (time.Time, error) {
	object, err := c.read(eraName)
	if err != nil {
		return time.Time{}, err
	}
	var stored wire.Era
	if err := proto.Unmarshal(object.Value, &stored); err != nil {
		return time.Time{}, fault.Wrap(fault.ClaimFailed, err, "decode the era of the claims")
	}
	if stored.GetNumber() == era {
		return time.Unix(stored.GetSeen(), 0), nil
	}
	now := time.Now()
	value, err := proto.Marshal(&wire.Era{Number: era, Seen: now.Unix()})
	if err != nil {
		return time.Time{}, fault.Wrap(fault.Internal, err, "encode the era of the claims")
	}
	// After a conflict, another VM has stored it or the platform has begun another era.
	return now, c.put(eraName, value, object.Version)
}

// merge sets the claim of each request in the batch and drops claims that expired more
// than claimGrace ago. It returns the new value of the shard, or nil when there is no
// claim to add. The claim of a request that no longer fits into the shard stays empty, and so
// does one on a key without a stored claim while not all lost claims have expired.
func (c *Claims) merge(now time.Time, value []byte, batch []*pending, settled bool) ([]byte, error) {
	var stored wire.Claims
	if err := proto.Unmarshal(value, &stored); err != nil {
		return nil, fault.Wrap(fault.ClaimFailed, err, "decode claims")
	}
	live := make([]*wire.Claim, 0, len(stored.GetClaims())+len(batch))
	byKey := map[digest]*wire.Claim{}
	for _, w := range stored.GetClaims() {
		if len(w.GetKey()) == len(digest{}) && now.Before(time.Unix(w.GetExpiry(), 0).Add(claimGrace)) {
			live = append(live, w)
			byKey[digest(w.GetKey())] = w
		}
	}
	size, changed := proto.Size(&wire.Claims{Claims: live}), false
	for _, p := range batch {
		w := byKey[p.key]
		if p.isLost = w == nil && !settled; p.isLost {
			p.claim = claim{}
			continue
		}
		if w == nil {
			w = c.newClaim(now, p)
			const framing = 4 // Tag and length prefix of one claim, in bytes.
			if size += proto.Size(w) + framing; size > maxShardBytes {
				p.claim = claim{}
				continue
			}
			live, changed = append(live, w), true
			byKey[p.key] = w
		}
		p.claim = parseClaim(w)
	}
	if !changed {
		return nil, nil
	}
	return proto.Marshal(&wire.Claims{Claims: live})
}

func (c *Claims) newClaim(now time.Time, p *pending) *wire.Claim {
	return &wire.Claim{
		Key:    p.key[:],
		Body:   p.request[:],
		Owner:  c.self.incarnation,
		Peer:   c.self.peerAddr,
		Expiry: now.Add(KeyTTL).Unix(),
	}
}

func parseClaim(w *wire.Claim) claim {
	var request digest
	copy(request[:], w.GetBody())
	return claim{
		owner:   NewOwner(w.GetOwner(), w.GetPeer()),
		request: request,
		expiry:  time.Unix(w.GetExpiry(), 0),
	}
}

// completeBatch sets the result of each request in the batch and wakes its waiter.
func (c *Claims) completeBatch(batch []*pending, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting -= len(batch)
	c.updateBackoff(err)
	for _, p := range batch {
		switch {
		case err != nil:
			p.claim, p.err = claim{}, fault.Wrap(fault.ClaimFailed, err, "write claims")
		case p.isLost:
			p.err = fault.New(fault.ClaimFailed, "the platform has come back from a copy, which may lack a claim on the key")
		case p.claim.expiry.IsZero():
			p.err = fault.New(fault.ClaimFailed, "the shard of the key is full")
		default:
			c.cacheClaim(p.key, p.claim)
		}
		close(p.done)
	}
}

// updateBackoff starts a backoff when the platform did not respond or refused the call,
// and resets it after a success. A conflict or a shard that cannot be decoded affects
// one shard only and starts no backoff.
func (c *Claims) updateBackoff(err error) {
	switch {
	case err == nil:
		c.backoff.Reset()
	case fault.KindOf(err) == fault.PlatformDown || fault.KindOf(err) == fault.Internal:
		c.backoffUntil = time.Now().Add(c.backoff.Next())
	}
}

// cachedClaim and cacheClaim use a cache of confirmed claims, which never change before
// they expire. The older half is dropped when the newer one is full.

func (c *Claims) cachedClaim(key digest) (claim, bool) {
	if got, ok := c.recent[key]; ok {
		return got, true
	}
	got, ok := c.older[key]
	return got, ok
}

func (c *Claims) cacheClaim(key digest, got claim) {
	if len(c.recent) >= maxCachedClaims {
		c.recent, c.older = map[digest]claim{}, c.recent
	}
	c.recent[key] = got
}
