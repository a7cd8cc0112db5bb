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
	maxWriteAttempts   = 6
	writeBackoffMin    = 50 * time.Millisecond // Delay after the first failed attempt.
	writeBackoffMax    = 2 * time.Second
	maxParallelObjects = 4 // Concurrent reads or writes of objects, well below the platform's rate limits.
	collectTimeout     = 2 * time.Second
)

// ConflictError reports that the base generation of a note is not the current
// generation. It is a fault of kind Conflict.
type ConflictError struct {
	base    uint64
	current uint64
}

// BaseGeneration returns the generation that the note was written against.
func (e *ConflictError) BaseGeneration() uint64 { return e.base }

// CurrentGeneration returns the current generation, against which the note has to
// be written to be accepted.
func (e *ConflictError) CurrentGeneration() uint64 { return e.current }

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the note is written against generation %d; the current generation is %d", e.base, e.current)
}

// Unwrap returns an error of kind Conflict.
func (e *ConflictError) Unwrap() error { return fault.New(fault.Conflict, "base %d", e.base) }

// Publisher publishes notes. It is safe for concurrent use; publications run one
// at a time.
type Publisher struct {
	// CachedRelease returns a release whose chunks need not be read again, such as
	// the one applied on this VM. Both the function and its result may be nil.
	CachedRelease func() *note.Release
	// OnCommit is called with the encoded head and the release of each commit;
	// it may be nil. See Follower.ApplyCommitted.
	OnCommit func(head []byte, rel *note.Release)
	// Rand returns numbers in [0, 1) for the jitter of retry delays.
	Rand func() float64

	client      *store.Client
	applied     func() *appliedRelease // Nil without a follower.
	mu          sync.Mutex
	lastRelease *note.Release // The last release that this publisher loaded or committed.
	counts      publishCounts
	garbage     collector
}

// PublishStats holds the counters of a publisher.
type PublishStats struct {
	Accepted        uint64 `json:"accepted"`   // Notes committed by this publisher.
	Duplicates      uint64 `json:"recognised"` // Repeated notes that had been accepted before.
	Refused         uint64 `json:"refused"`    // Conflicts and notes with problems.
	ResolvedCommits uint64 `json:"settled"`    // Commits whose response was lost, confirmed by reading head.
	Objects         uint64 `json:"objects"`    // Chunks and manifests written.
	Bytes           uint64 `json:"bytes"`      // Total size of these objects.
	Collected       uint64 `json:"collected"`  // Objects deleted because no release refers to them.
	Rewritten       uint64 `json:"rewritten"`  // Releases written again after the platform had lost them.
}

type publishCounts struct {
	accepted, duplicates, refused, resolvedCommits, objects, bytes, collected, rewritten atomic.Uint64
}

// NewPublisher returns a publisher that writes through client.
func NewPublisher(client *store.Client) *Publisher {
	return &Publisher{client: client, Rand: rand.Float64, garbage: collector{client: client}}
}

// Stats returns the current counters. It does not wait for a publication in
// progress.
func (p *Publisher) Stats() PublishStats {
	return PublishStats{
		Accepted:        p.counts.accepted.Load(),
		Duplicates:      p.counts.duplicates.Load(),
		Refused:         p.counts.refused.Load(),
		ResolvedCommits: p.counts.resolvedCommits.Load(),
		Objects:         p.counts.objects.Load(),
		Bytes:           p.counts.bytes.Load(),
		Collected:       p.counts.collected.Load(),
		Rewritten:       p.counts.rewritten.Load(),
	}
}

// Publish applies the note to the current release and commits the result. It
// returns the generation that accepted the note, also if the note had been
// accepted before.
//
// Errors: *ConflictError if the base generation is not the current one,
// note.Problems if the note has problems, Invalid if its id was accepted with
// other content, and PlatformDown, after which the note may or may not have been
// accepted; publishing it again resolves that.
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

// publish implements Publish without the lock and the count of refused notes.
func (p *Publisher) publish(ctx context.Context, n *note.Note, digest note.Digest) (uint64, error) {
	oldHead, err := p.currentHead(ctx)
	if err != nil {
		return 0, err
	}
	if generation, err := p.findDuplicate(oldHead, n.ID, digest); generation != 0 || err != nil {
		return generation, err
	}
	if n.BaseGeneration != oldHead.generation {
		return 0, &ConflictError{base: n.BaseGeneration, current: oldHead.generation}
	}
	rel, err := p.base(ctx, oldHead)
	if err != nil {
		return 0, err
	}
	next, problems := note.Apply(rel, n)
	if err := problems.Err(); err != nil {
		return 0, err
	}
	encoded, err := p.writeObjects(ctx, rel, next)
	if err != nil {
		return 0, err
	}
	newHead, err := oldHead.next(encoded.Manifest().Digest(), n.ID, digest)
	if err != nil {
		return 0, err
	}
	generation, isLatest, err := p.commit(ctx, oldHead, newHead, n, digest)
	if err != nil || !isLatest {
		return generation, err
	}
	p.lastRelease = next
	p.counts.accepted.Add(1)
	if p.OnCommit != nil {
		p.OnCommit(newHead.data, next)
	}
	p.collectGarbage(ctx, next.Generation(), encoded)
	return generation, nil
}

// Follow makes the publisher and the follower of a VM work together: the publisher uses and
// returns releases that the follower applies, and writes them again when the platform, which
// has come back from a copy, has an older one.
func (p *Publisher) Follow(f *Follower) {
	p.CachedRelease, p.OnCommit = f.Release, f.ApplyCommitted
	p.applied = f.current.Load
	f.Rewrite = func(ctx context.Context) error {
		p.mu.Lock()
		defer p.mu.Unlock()
		_, err := p.currentHead(ctx)
		return err
	}
}

// currentHead reads head. When the platform has an older one than the applied release, it has
// lost what it had accepted; the applied release is then written again, as releases that
// follow the older one would never take effect.
func (p *Publisher) currentHead(ctx context.Context) (*head, error) {
	h, err := readHead(ctx, p.client)
	if err != nil || p.applied == nil {
		return h, err
	}
	a := p.applied()
	if a == nil || a.head.generation <= h.generation {
		return h, nil
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelObjects)
	for _, c := range a.encoded.Chunks() {
		group.Go(func() error { return p.rewriteObject(groupCtx, chunkPrefix, c) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	if err := p.rewriteObject(ctx, manifestPrefix, a.encoded.Manifest()); err != nil {
		return nil, err
	}
	version, err := p.client.Put(ctx, headName, a.head.data, h.version)
	if err != nil {
		return nil, err
	}
	p.counts.rewritten.Add(1)
	return headFromObject(store.Object{Value: a.head.data, Version: version})
}

// findDuplicate returns the generation that accepted the note already, or 0 if
// head has no record of it. It fails if the id was accepted with other content.
func (p *Publisher) findDuplicate(h *head, id string, digest note.Digest) (uint64, error) {
	a, ok := h.find(id)
	if !ok {
		return 0, nil
	}
	if !bytes.Equal(a.GetDigest(), digest[:]) {
		return 0, fault.New(fault.Invalid, "note id %q was accepted with other content as generation %d",
			id, a.GetGeneration())
	}
	p.counts.duplicates.Add(1)
	return a.GetGeneration(), nil
}

// base returns the release of head, to which the note is applied.
func (p *Publisher) base(ctx context.Context, h *head) (*note.Release, error) {
	if h.generation == 0 {
		return note.NewRelease(0, nil, nil, nil), nil
	}
	prev := p.lastRelease
	if p.CachedRelease != nil {
		if rel := p.CachedRelease(); rel != nil && (prev == nil || rel.Generation() > prev.Generation()) {
			prev = rel
		}
	}
	rel, err := load(ctx, h, prev, platformSource(p.client))
	if err != nil {
		return nil, err
	}
	p.lastRelease = rel
	return rel, nil
}

// writeObjects writes the chunks of next that rel does not have, and then the
// manifest.
func (p *Publisher) writeObjects(ctx context.Context, rel, next *note.Release) (*note.EncodedRelease, error) {
	encodedBase, err := note.EncodeRelease(rel)
	if err != nil {
		return nil, err
	}
	encoded, err := note.EncodeRelease(next)
	if err != nil {
		return nil, err
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelObjects)
	for _, c := range encoded.Chunks() {
		if _, ok := encodedBase.Find(c.Digest()); ok && rel.Generation() > 0 {
			continue
		}
		group.Go(func() error { return p.writeObject(groupCtx, chunkPrefix, c) })
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return encoded, p.writeObject(ctx, manifestPrefix, encoded.Manifest())
}

// writeObject writes the object of a chunk or manifest. An object that exists
// already may be marked as garbage, so it is written again: the new version keeps
// a collector from deleting it.
func (p *Publisher) writeObject(ctx context.Context, prefix string, c note.Chunk) error {
	return p.writeObjectAt(ctx, prefix+c.Digest().String(), c, 0)
}

// rewriteObject writes an object of which the platform has one in most cases.
func (p *Publisher) rewriteObject(ctx context.Context, prefix string, c note.Chunk) error {
	name := prefix + c.Digest().String()
	o, err := p.client.Get(ctx, name)
	if err != nil {
		return err
	}
	return p.writeObjectAt(ctx, name, c, o.Version)
}

// writeObjectAt implements writeObject for an object that is probably at a version.
func (p *Publisher) writeObjectAt(ctx context.Context, name string, c note.Chunk, cond store.Version) error {
	retry := backoff{minDelay: writeBackoffMin, maxDelay: writeBackoffMax, rand: p.Rand}
	var err error
	for range maxWriteAttempts {
		if _, err = p.client.Put(ctx, name, c.Data(), cond); err == nil {
			p.counts.objects.Add(1)
			p.counts.bytes.Add(uint64(len(c.Data())))
			return nil
		}
		if kind := fault.KindOf(err); kind != fault.Conflict && kind != fault.PlatformDown {
			return err
		}
		if fault.KindOf(err) == fault.PlatformDown && !sleep.For(ctx, retry.next()) {
			return err
		}
		o, readErr := p.client.Get(ctx, name)
		if readErr == nil {
			cond = o.Version
		}
	}
	return fault.Wrap(fault.PlatformDown, err, "write "+name)
}

// commit replaces head by compare-and-swap and returns the generation that
// accepted the note. If the response is lost, it reads head and, while head is
// unchanged, writes again: the condition on the version lets at most one of the
// writes succeed. It also reports whether newHead was the latest head.
func (p *Publisher) commit(ctx context.Context, oldHead, newHead *head, n *note.Note, digest note.Digest) (uint64, bool, error) {
	retry := backoff{minDelay: writeBackoffMin, maxDelay: writeBackoffMax, rand: p.Rand}
	var err error
	for range maxWriteAttempts {
		if _, err = p.client.Put(ctx, headName, newHead.data, oldHead.version); err == nil {
			return newHead.generation, true, nil
		}
		if kind := fault.KindOf(err); kind != fault.Conflict && kind != fault.PlatformDown {
			return 0, false, err
		}
		var latest *head
		if latest, err = p.readBack(ctx, err, &retry); err != nil {
			return 0, false, err
		}
		if a, ok := latest.find(n.ID); ok && bytes.Equal(a.GetDigest(), digest[:]) {
			p.counts.resolvedCommits.Add(1)
			return a.GetGeneration(), bytes.Equal(latest.data, newHead.data), nil
		}
		if latest.version != oldHead.version {
			return 0, false, &ConflictError{base: n.BaseGeneration, current: latest.generation}
		}
		err = fault.New(fault.PlatformDown, "head was not updated")
	}
	return 0, false, err
}

// readBack reads head after an update failed with the error cause. It retries
// failed reads and returns the last error.
func (p *Publisher) readBack(ctx context.Context, cause error, retry *backoff) (*head, error) {
	for range maxWriteAttempts {
		if fault.KindOf(cause) == fault.PlatformDown && !sleep.For(ctx, retry.next()) {
			return nil, cause
		}
		latest, err := readHead(ctx, p.client)
		if err == nil {
			return latest, nil
		}
		cause = err
	}
	return nil, cause
}

// collectGarbage runs the collector after a commit. Its errors are ignored, since
// the note has been accepted already; the next publisher finds the garbage that
// remains.
func (p *Publisher) collectGarbage(ctx context.Context, generation uint64, encoded *note.EncodedRelease) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	deleted, _ := p.garbage.run(ctx, generation, encoded)
	p.counts.collected.Add(uint64(deleted))
}
