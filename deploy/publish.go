package deploy

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/sleep"
	"github.com/azuredeal/azuredeal/store"
)

const (
	writeTries   = 6
	writeLow     = 50 * time.Millisecond // First pause between tries.
	writeHigh    = 2 * time.Second
	parallel     = 4 // Objects read or written at once, well below the platform's rates.
	collectBound = 2 * time.Second
)

// ConflictError refuses a note whose base is not the current generation. It is a
// fault of kind Conflict.
type ConflictError struct {
	base    uint64
	current uint64
}

// BaseGeneration returns the generation that the note was written against.
func (e *ConflictError) BaseGeneration() uint64 { return e.base }

// CurrentGeneration returns the generation to write the note against.
func (e *ConflictError) CurrentGeneration() uint64 { return e.current }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the note is written against generation %d; the current generation is %d", e.base, e.current)
}

// Unwrap gives the error its kind.
func (e *ConflictError) Unwrap() error { return fault.New(fault.Conflict, "base %d", e.base) }

// Publisher publishes notes. It is safe for use by several goroutines; they
// publish one after the other.
type Publisher struct {
	// CachedRelease returns a release whose chunks need not be read again, such as the
	// one in effect on this VM; nil is allowed, as function and as result.
	CachedRelease func() *note.Release
	// OnCommit is called with the encoded head and the release of each commit;
	// it may be nil. See Follower.Adopt.
	OnCommit func(head []byte, rel *note.Release)
	// Rand returns numbers in [0, 1) for jitter.
	Rand func() float64

	client  *store.Client
	mu      sync.Mutex
	last    *note.Release // The newest release that this publisher has seen.
	counts  publishCounts
	collect collector
}

// PublishStats counts what a publisher did.
type PublishStats struct {
	Accepted        uint64 `json:"accepted"`   // Notes that it committed.
	Duplicates      uint64 `json:"recognised"` // Notes that had been accepted before.
	Refused         uint64 `json:"refused"`    // Conflicts and notes with problems.
	ResolvedCommits uint64 `json:"settled"`    // Lost answers resolved by reading back.
	Objects         uint64 `json:"objects"`    // Objects written besides head.
	Bytes           uint64 `json:"bytes"`      // Bytes of these objects.
	Collected       uint64 `json:"collected"`  // Objects deleted because no release refers to them.
}

type publishCounts struct {
	accepted, recognised, refused, settled, objects, bytes, collected atomic.Uint64
}

// NewPublisher returns a publisher that writes through client.
func NewPublisher(client *store.Client) *Publisher {
	return &Publisher{client: client, Rand: rand.Float64, collect: collector{client: client}}
}

// Stats returns the counts so far. It does not wait for a publication in
// progress.
func (p *Publisher) Stats() PublishStats {
	return PublishStats{
		Accepted:        p.counts.accepted.Load(),
		Duplicates:      p.counts.recognised.Load(),
		Refused:         p.counts.refused.Load(),
		ResolvedCommits: p.counts.settled.Load(),
		Objects:         p.counts.objects.Load(),
		Bytes:           p.counts.bytes.Load(),
		Collected:       p.counts.collected.Load(),
	}
}

// Publish applies the note to the current release and commits the result. It
// returns the generation that holds the note, also when the note had been
// accepted before.
//
// Errors: *ConflictError when the base is not the current generation,
// note.Problems when the note has problems, Invalid when its id was accepted
// with other content, and PlatformDown, after which the note may or may not be
// accepted; publishing it again settles that.
func (p *Publisher) Publish(ctx context.Context, n *note.Note) (uint64, error) {
	digest, err := n.Digest()
	if err != nil {
		return 0, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	generation, err := p.publish(ctx, n, digest)
	switch fault.KindOf(err) {
	case fault.Conflict, fault.Invalid:
		p.counts.refused.Add(1)
	}
	return generation, err
}

func (p *Publisher) publish(ctx context.Context, n *note.Note, digest note.Digest) (uint64, error) {
	old, err := readHead(ctx, p.client)
	if err != nil {
		return 0, err
	}
	if generation, err := p.recognise(old, n.ID, digest); generation != 0 || err != nil {
		return generation, err
	}
	if n.BaseGeneration != old.generation {
		return 0, &ConflictError{base: n.BaseGeneration, current: old.generation}
	}
	rel, err := p.base(ctx, old)
	if err != nil {
		return 0, err
	}
	next, problems := note.Apply(rel, n)
	if err := problems.Err(); err != nil {
		return 0, err
	}
	encoded, err := p.write(ctx, rel, next)
	if err != nil {
		return 0, err
	}
	fresh, err := old.next(encoded.Manifest().Digest(), n.ID, digest)
	if err != nil {
		return 0, err
	}
	generation, own, err := p.commit(ctx, old, fresh, n, digest)
	if err != nil || !own {
		return generation, err
	}
	p.last = next
	p.counts.accepted.Add(1)
	if p.OnCommit != nil {
		p.OnCommit(fresh.data, next)
	}
	p.clean(ctx, next.Generation(), encoded)
	return generation, nil
}

// recognise returns the generation that holds the note already, 0 when none
// does, and an error when its id belongs to another note.
func (p *Publisher) recognise(h *head, id string, digest note.Digest) (uint64, error) {
	a, ok := h.find(id)
	if !ok {
		return 0, nil
	}
	if !bytes.Equal(a.GetDigest(), digest[:]) {
		return 0, fault.New(fault.Invalid, "note id %q was accepted with other content as generation %d",
			id, a.GetGeneration())
	}
	p.counts.recognised.Add(1)
	return a.GetGeneration(), nil
}

// base returns the release of head, which the note is applied to.
func (p *Publisher) base(ctx context.Context, h *head) (*note.Release, error) {
	if h.generation == 0 {
		return note.NewRelease(0, nil, nil, nil), nil
	}
	prev := p.last
	if p.CachedRelease != nil {
		if rel := p.CachedRelease(); rel != nil && (prev == nil || rel.Generation() > prev.Generation()) {
			prev = rel
		}
	}
	rel, err := load(ctx, h, prev, platformSource(p.client))
	if err != nil {
		return nil, err
	}
	p.last = rel
	return rel, nil
}

// write writes the chunks and then the manifest of next, but for what rel has.
func (p *Publisher) write(ctx context.Context, rel, next *note.Release) (*note.EncodedRelease, error) {
	have, err := note.EncodeRelease(rel)
	if err != nil {
		return nil, err
	}
	encoded, err := note.EncodeRelease(next)
	if err != nil {
		return nil, err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(parallel)
	for _, c := range encoded.Chunks() {
		if _, ok := have.Find(c.Digest()); ok && rel.Generation() > 0 {
			continue
		}
		group.Go(func() error { return p.ensure(groupCtx, chunkPrefix, c) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return encoded, p.ensure(ctx, manifestPrefix, encoded.Manifest())
}

// ensure makes the object of a chunk exist. One that exists already may be
// marked as garbage, so it is written again: its new version keeps a collector
// from deleting it.
func (p *Publisher) ensure(ctx context.Context, prefix string, c note.Chunk) error {
	wait := backoff{low: writeLow, high: writeHigh, unit: p.Rand}
	name := prefix + c.Digest().String()
	var cond store.Version
	var err error
	for range writeTries {
		if _, err = p.client.Put(ctx, name, c.Data(), cond); err == nil {
			p.counts.objects.Add(1)
			p.counts.bytes.Add(uint64(len(c.Data())))
			return nil
		}
		if kind := fault.KindOf(err); kind != fault.Conflict && kind != fault.PlatformDown {
			return err
		}
		if fault.KindOf(err) == fault.PlatformDown && !sleep.For(ctx, wait.next()) {
			return err
		}
		o, readErr := p.client.Get(ctx, name)
		if readErr == nil {
			cond = o.Version
		}
	}
	return fault.Wrap(fault.PlatformDown, err, "write "+name)
}

// commit updates head and returns the generation that holds the note. After a
// lost answer it reads back and, while head is unchanged, writes again: the
// condition lets at most one of the writes succeed. It reports whether fresh is
// what head held last.
func (p *Publisher) commit(ctx context.Context, old, fresh *head, n *note.Note, digest note.Digest) (uint64, bool, error) {
	wait := backoff{low: writeLow, high: writeHigh, unit: p.Rand}
	var err error
	for range writeTries {
		if _, err = p.client.Put(ctx, headName, fresh.data, old.version); err == nil {
			return fresh.generation, true, nil
		}
		if kind := fault.KindOf(err); kind != fault.Conflict && kind != fault.PlatformDown {
			return 0, false, err
		}
		var now *head
		if now, err = p.readBack(ctx, err, &wait); err != nil {
			return 0, false, err
		}
		if a, ok := now.find(n.ID); ok && bytes.Equal(a.GetDigest(), digest[:]) {
			p.counts.settled.Add(1)
			return a.GetGeneration(), bytes.Equal(now.data, fresh.data), nil
		}
		if now.version != old.version {
			return 0, false, &ConflictError{base: n.BaseGeneration, current: now.generation}
		}
		err = fault.New(fault.PlatformDown, "head was not updated")
	}
	return 0, false, err
}

// readBack reads head after a failed update.
func (p *Publisher) readBack(ctx context.Context, cause error, wait *backoff) (*head, error) {
	for range writeTries {
		if fault.KindOf(cause) == fault.PlatformDown && !sleep.For(ctx, wait.next()) {
			return nil, cause
		}
		now, err := readHead(ctx, p.client)
		if err == nil {
			return now, nil
		}
		cause = err
	}
	return nil, cause
}

// clean runs the collector after a commit. The note is accepted whatever comes
// of it; what is left over is found by the next publisher.
func (p *Publisher) clean(ctx context.Context, generation uint64, encoded *note.EncodedRelease) {
	ctx, cancel := context.WithTimeout(ctx, collectBound)
	defer cancel()
	deleted, _ := p.collect.run(ctx, generation, encoded)
	p.counts.collected.Add(uint64(deleted))
}
