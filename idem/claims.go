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
	claimShards = 256 // The same on all VMs.
	claimBatch  = 512
	claimWait   = 4096            // Requests that wait for a claim on one VM at most.
	claimCalls  = 16              // Calls to the platform at once.
	claimTries  = 6               // Writes of one batch at most.
	claimCall   = 2 * time.Second // Longest call to the platform.
	claimKnown  = 32_768          // Claims that are remembered, in each of two halves.
	shardMost   = store.MaxValueBytes - 64<<10

	// claimGrace is how long after its expiry a claim is kept. It covers a run
	// that began just before, of up to runMost, and clocks that differ by the rest.
	claimGrace = 10 * time.Minute

	downFirst = 100 * time.Millisecond // First pause after a call that failed.
	downMost  = 5 * time.Second
)

// Claims records in the platform which VM owns a caller's own key. Requests for
// keys of one shard share a write: those that arrive while the shard is being
// read or written are gathered for it.
type Claims struct {
	base   context.Context
	client *store.Client
	self   Owner
	batch  int // Claims that one write adds at most.
	calls  chan struct{}

	mu      sync.Mutex
	shards  []shard
	waiting int
	recent  map[digest]claim // The newer half of the claims known.
	older   map[digest]claim
	backoff *limit.Backoff
	until   time.Time // No calls before this time, after one that failed.
}

// shard holds the requests that wait for one object.
type shard struct {
	busy    bool
	pending []*pending
}

type pending struct {
	key   digest
	body  digest
	done  chan struct{}
	claim claim
	err   error
}

// claim is a claim that the platform has confirmed.
type claim struct {
	owner  Owner
	body   digest
	expiry time.Time
}

// NewClaims returns the claims of one VM. Its work ends with ctx.
func NewClaims(ctx context.Context, client *store.Client, self Owner) *Claims {
	return &Claims{
		base: ctx, client: client, self: self,
		batch:   claimBatch,
		shards:  make([]shard, claimShards),
		calls:   make(chan struct{}, claimCalls),
		recent:  map[digest]claim{},
		backoff: limit.NewBackoff(downFirst, downMost, rand.Uint64()),
	}
}

// claim returns the claim on a key, which it makes for this VM when there is
// none. Every error leaves open whether the key has run: ClaimFailed, or Timeout
// or Canceled when ctx ends.
func (c *Claims) claim(ctx context.Context, key, body digest) (claim, error) {
	if ctx.Err() != nil {
		return claim{}, ended(ctx, "claim a key")
	}
	p := &pending{key: key, body: body, done: make(chan struct{})}
	if got, ok, err := c.join(time.Now(), p); ok || err != nil {
		return got, err
	}
	select {
	case <-p.done:
		return p.claim, p.err
	case <-ctx.Done():
		return claim{}, ended(ctx, "wait for a claim")
	}
}

// join returns the claim when it is known, and otherwise adds p to its shard.
func (c *Claims) join(now time.Time, p *pending) (claim, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, ok := c.lookup(p.key); ok && now.Before(got.expiry) {
		return got, true, nil
	}
	if now.Before(c.until) {
		return claim{}, false, fault.New(fault.ClaimFailed, "the platform failed and is not asked again yet")
	}
	if c.waiting >= claimWait {
		return claim{}, false, fault.New(fault.ClaimFailed, "%d requests wait for claims", c.waiting)
	}
	c.waiting++
	n := int(binary.BigEndian.Uint16(p.key[:])) % len(c.shards)
	s := &c.shards[n]
	s.pending = append(s.pending, p)
	if !s.busy {
		s.busy = true
		go c.work(n)
	}
	return claim{}, false, nil
}

// work serves a shard until nothing waits for it.
func (c *Claims) work(n int) {
	name := fmt.Sprintf("claim/%03x", n)
	for c.hasPending(n) {
		c.calls <- struct{}{}
		batch, err := c.write(name, n)
		<-c.calls
		c.settle(batch, err)
	}
}

// hasPending reports whether requests wait for the shard; when not, the shard
// becomes idle.
func (c *Claims) hasPending(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.shards[n]
	s.busy = len(s.pending) > 0
	return s.busy
}

// take moves the waiting requests of the shard to the batch.
func (c *Claims) take(n int, batch []*pending) []*pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := &c.shards[n]
	count := min(len(s.pending), c.batch-len(batch))
	batch = append(batch, s.pending[:count]...)
	s.pending = append([]*pending(nil), s.pending[count:]...)
	return batch
}

// write reads the shard, adds what is missing and writes it on the condition
// that it has not changed. After a conflict or a lost answer it reads again, so
// a claim counts only once the platform has confirmed or returned it.
func (c *Claims) write(name string, n int) (batch []*pending, err error) {
	for try := range claimTries {
		if try > 0 && !c.pause(try) {
			return batch, c.base.Err()
		}
		var object store.Object
		object, err = c.read(name)
		batch = c.take(n, batch)
		if err != nil && try == 0 {
			return batch, err
		}
		if err != nil {
			continue
		}
		var value []byte
		value, err = c.merge(time.Now(), object.Value, batch)
		if err != nil || value == nil {
			return batch, err
		}
		if err = c.put(name, value, object.Version); err == nil {
			return batch, nil
		}
	}
	return batch, err
}

// pause spreads out the writers that met in a conflict.
func (c *Claims) pause(try int) bool {
	const unit = 2 * time.Millisecond
	return sleep.For(c.base, time.Duration(rand.Int64N(int64(unit)<<try)))
}

func (c *Claims) read(name string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(c.base, claimCall)
	defer cancel()
	return c.client.Get(ctx, name)
}

func (c *Claims) put(name string, value []byte, version store.Version) error {
	ctx, cancel := context.WithTimeout(c.base, claimCall)
	defer cancel()
	_, err := c.client.Put(ctx, name, value, version)
	return err
}

// merge gives each request of the batch its claim, and returns the new value of
// the shard, or nil when that stays as it is. Claims for which there is no space
// stay empty.
func (c *Claims) merge(now time.Time, value []byte, batch []*pending) ([]byte, error) {
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
		if w == nil {
			w = c.newClaim(now, p)
			const framing = 4 // Tag and length of an element, in bytes.
			if size += proto.Size(w) + framing; size > shardMost {
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
		Body:   p.body[:],
		Owner:  c.self.incarnation,
		Peer:   c.self.peer,
		Expiry: now.Add(KeyTTL).Unix(),
	}
}

func parseClaim(w *wire.Claim) claim {
	var body digest
	copy(body[:], w.GetBody())
	return claim{
		owner:  NewOwner(w.GetOwner(), w.GetPeer()),
		body:   body,
		expiry: time.Unix(w.GetExpiry(), 0),
	}
}

// settle ends the wait of a batch.
func (c *Claims) settle(batch []*pending, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting -= len(batch)
	c.note(err)
	for _, p := range batch {
		switch {
		case err != nil:
			p.claim, p.err = claim{}, fault.Wrap(fault.ClaimFailed, err, "write claims")
		case p.claim.expiry.IsZero():
			p.err = fault.New(fault.ClaimFailed, "the shard of the key is full")
		default:
			c.remember(p.key, p.claim)
		}
		close(p.done)
	}
}

// note makes a pause after a call that failed. A conflict or a shard that cannot
// be decoded concerns one shard only.
func (c *Claims) note(err error) {
	switch {
	case err == nil:
		c.backoff.Reset()
	case fault.KindOf(err) == fault.PlatformDown || fault.KindOf(err) == fault.Internal:
		c.until = time.Now().Add(c.backoff.Next())
	}
}

// lookup and remember keep the claims that are known, which never change before
// they expire. The older half is dropped when the newer one is full.

func (c *Claims) lookup(key digest) (claim, bool) {
	if got, ok := c.recent[key]; ok {
		return got, true
	}
	got, ok := c.older[key]
	return got, ok
}

func (c *Claims) remember(key digest, got claim) {
	if len(c.recent) >= claimKnown {
		c.recent, c.older = map[digest]claim{}, c.recent
	}
	c.recent[key] = got
}
