package deploy

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/store"
)

const (
	pollEvery   = 30 * time.Second // Without a watch.
	pollShare   = 0.2              // Spread of polls around their period.
	outageLow   = 500 * time.Millisecond
	outageHigh  = 30 * time.Second
	holderHigh  = time.Second      // The few watch holders have to notice a new head within 3 s of an outage.
	loadTimeout = 20 * time.Second // For a whole release, from the platform.
	watchFloor  = time.Second      // Least time between watches that saw no change.
)

// Follower keeps the newest release in effect on one VM. It learns of releases
// from the platform, by a watch or by polls, and from peers.
//
// The generation in effect only grows, whatever the source, and a release takes
// effect only when all of its chunks are there and have their digests.
type Follower struct {
	// Fetch asks a peer for its head and for objects by digest. The link has
	// authenticated the peer. It may leave out objects.
	Fetch func(ctx context.Context, peer string, digests [][]byte) (head []byte, chunks [][]byte, err error)
	// OnApply is called with each release that takes effect, in order. It must not
	// block for long.
	OnApply func(rel *note.Release)
	// Rand returns numbers in [0, 1) for jitter and the choice of peers. Several
	// goroutines call it.
	Rand func() float64

	client  *store.Client
	current atomic.Pointer[effect]
	install sync.Mutex // Held while a release takes effect.
	counts  followCounts

	mu     sync.Mutex
	watch  bool
	turned chan struct{} // Closed and replaced when watch changes.
	offers map[string]*offer
	wake   chan struct{} // Holds one token when an offer came.
	busy   int           // Loads from peers in progress.
	begun  time.Time     // Start of the last of them.
}

// effect is the release in effect with what peers are served.
type effect struct {
	release *note.Release
	head    *head
	encoded *note.EncodedRelease
	source  string
	since   time.Time
}

type followCounts struct {
	applied, behind, forked, failed, checked atomic.Uint64
}

// NewFollower returns a follower without a release. The fields that are seams
// have to be set before Run.
func NewFollower(client *store.Client) *Follower {
	return &Follower{
		Rand:   rand.Float64,
		client: client,
		turned: make(chan struct{}),
		offers: map[string]*offer{},
		wake:   make(chan struct{}, 1),
	}
}

// Run follows releases until the context ends, and returns its error.
func (f *Follower) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { f.followPlatform(ctx) })
	group.Go(func() { f.followPeers(ctx) })
	group.Wait()
	return ctx.Err()
}

// Release returns the release in effect, nil when there is none yet.
func (f *Follower) Release() *note.Release {
	if e := f.current.Load(); e != nil {
		return e.release
	}
	return nil
}

// Generation returns the generation in effect, 0 when there is none yet.
func (f *Follower) Generation() uint64 {
	if e := f.current.Load(); e != nil {
		return e.release.Generation()
	}
	return 0
}

// SetWatch says whether this VM is one of the few that hold a watch on head.
func (f *Follower) SetWatch(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watch == on {
		return
	}
	f.watch = on
	close(f.turned)
	f.turned = make(chan struct{})
}

// mode returns whether to hold a watch, and a channel that ends with that mode.
func (f *Follower) mode() (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch, f.turned
}

// followPlatform keeps looking at head in the platform.
func (f *Follower) followPlatform(ctx context.Context) {
	wait := backoff{low: outageLow, high: outageHigh, unit: f.Rand}
	var seen store.Version
	first := true
	// VMs that start together, as after the loss of a zone, must not poll together.
	poll := time.Duration(f.Rand() * float64(pollEvery))
	for ctx.Err() == nil {
		watch, turned := f.mode()
		begin := time.Now()
		h, err := f.look(ctx, watch && !first, seen)
		first = false
		if err == nil {
			if err = f.advance(ctx, h, "platform", f.sources(h, watch)...); err != nil {
				f.counts.failed.Add(1)
			}
		}
		if err != nil {
			wait.high = outageHigh
			if watch {
				wait.high = holderHigh
			}
			f.rest(ctx, wait.next(), turned)
			continue
		}
		wait.fails = 0
		changed := h.version != seen
		seen = h.version
		switch {
		case !watch:
			f.rest(ctx, poll, turned)
			poll = spread(pollEvery, pollShare, f.Rand)
		case !changed && time.Since(begin) < watchFloor:
			// A platform that answers watches at once must not be asked in a loop.
			f.rest(ctx, spread(watchFloor, 0.5, f.Rand), turned)
		}
	}
}

// rest waits; it ends early when turned closes.
func (f *Follower) rest(ctx context.Context, d time.Duration, turned <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-turned:
	case <-ctx.Done():
	}
}

// look reads head, after a watch for a change if asked. A watch ends within
// seconds by itself, so a change of mode does not cut it short.
func (f *Follower) look(ctx context.Context, watch bool, seen store.Version) (*head, error) {
	read := func() (store.Object, error) { return f.client.Get(ctx, headName) }
	if watch {
		read = func() (store.Object, error) { return f.client.Watch(ctx, headName, seen) }
	}
	o, err := read()
	f.count(err)
	if err != nil {
		return nil, err
	}
	return headOf(o)
}

func (f *Follower) count(err error) {
	if err != nil {
		f.counts.failed.Add(1)
		return
	}
	f.counts.checked.Add(1)
}

// sources returns what to ask for the release of a head that the platform holds.
// A peer that has the generation spares the platform the reads of the chunks; a
// watch holder is among the first and does not wait for one.
func (f *Follower) sources(h *head, watch bool) []source {
	platform := platformSource(f.client)
	peer := f.holder(h.generation)
	switch {
	case peer == "":
		return []source{platform}
	case watch:
		return []source{platform, f.peerSource(peer)}
	default:
		return []source{f.peerSource(peer), platform}
	}
}

// advance puts the release of h into effect if its generation is above the one
// in effect.
func (f *Follower) advance(ctx context.Context, h *head, from string, sources ...source) error {
	if e := f.current.Load(); e != nil && h.generation <= e.head.generation {
		switch {
		case h.generation < e.head.generation:
			f.counts.behind.Add(1)
		case h.manifest != e.head.manifest:
			// Only a platform that lost what it had accepted shows this. The next
			// generation ends it.
			f.counts.forked.Add(1)
		}
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	rel, err := load(ctx, h, f.Release(), sources...)
	if err != nil {
		return err
	}
	encoded, err := note.EncodeRelease(rel)
	if err != nil {
		return err
	}
	f.put(&effect{release: rel, head: h, encoded: encoded, source: from, since: time.Now()})
	return nil
}

// ApplyCommitted puts a release into effect that a Publisher of this VM has committed, so
// that peers learn of it even before any watch ends. It fits Publisher.Committed.
func (f *Follower) ApplyCommitted(data []byte, rel *note.Release) {
	h, err := parseHead(data)
	if err != nil {
		f.counts.failed.Add(1)
		return
	}
	encoded, err := note.EncodeRelease(rel)
	if err != nil || h.generation != rel.Generation() || h.manifest != encoded.Manifest().Digest() {
		f.counts.failed.Add(1)
		return
	}
	f.put(&effect{release: rel, head: h, encoded: encoded, source: "self", since: time.Now()})
}

// put puts a release into effect, unless a newer one came first.
func (f *Follower) put(e *effect) {
	f.install.Lock()
	defer f.install.Unlock()
	if e.release.Generation() <= f.Generation() {
		return
	}
	f.current.Store(e)
	f.counts.applied.Add(1)
	f.prune(e.release.Generation())
	if f.OnApply != nil {
		f.OnApply(e.release)
	}
}
