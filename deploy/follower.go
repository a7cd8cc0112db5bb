package deploy

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/sleep"
	"github.com/azuredeal/azuredeal/store"
)

const (
	pollPeriod         = 30 * time.Second // Of a VM without a watch.
	pollJitter         = 0.2              // Share of the period by which a poll comes earlier or later.
	platformBackoffMin = 500 * time.Millisecond
	platformBackoffMax = 30 * time.Second
	watcherBackoffMax  = time.Second      // The few watchers must see a new head within 3 s after an outage.
	loadTimeout        = 20 * time.Second // To load a whole release.
	minWatchInterval   = time.Second      // Between starts of watches that saw no change.
)

// Follower applies the newest release on one VM. It learns of releases from the
// platform, by long polls (watches) or periodic polls, and from peers.
//
// The applied generation only increases, whatever the source, and a release is
// applied only when all of its chunks have been loaded and match their digests.
type Follower struct {
	// Fetch requests the head of a peer and objects by digest. The link must have
	// authenticated the peer. The response may omit objects.
	Fetch func(ctx context.Context, peer string, digests [][]byte) (head []byte, chunks [][]byte, err error)
	// OnApply is called with each applied release, in order of generation. It must
	// not block for long, since it delays the next release; nil is allowed.
	OnApply func(rel *note.Release)
	// Rand returns numbers in [0, 1) for jitter and the choice of peers. Several
	// goroutines call it.
	Rand func() float64
	// Rewrite writes the applied release to the platform again. It is called on a VM that
	// watches when the platform has an older release; nil is allowed. See Publisher.Follow.
	Rewrite func(ctx context.Context) error

	client  *store.Client
	current atomic.Pointer[appliedRelease]
	applyMu sync.Mutex // Held while a release is applied.
	counts  followerCounts

	mu           sync.Mutex
	watch        bool
	watchChanged chan struct{} // Closed and replaced when watch changes.
	offers       map[string]*offer
	wake         chan struct{} // Holds one token after a new offer or the end of a load from a peer.
	loading      int           // Number of loads from peers in progress.
	lastPeerLoad time.Time     // Start of the most recent of them.
}

// appliedRelease is the release applied on this VM, with the data served to peers.
type appliedRelease struct {
	release *note.Release
	head    *head
	encoded *note.EncodedRelease
	source  string
	since   time.Time
}

type followerCounts struct {
	applied, behind, forked, failed, checked atomic.Uint64
}

// NewFollower returns a follower without a release. Fetch must be set before Run
// if peer generations are observed; OnApply and Rand may be replaced before Run.
func NewFollower(client *store.Client) *Follower {
	return &Follower{
		Rand:         rand.Float64,
		client:       client,
		watchChanged: make(chan struct{}),
		offers:       map[string]*offer{},
		wake:         make(chan struct{}, 1),
	}
}

// Run applies new releases until the context ends, and returns the error of the
// context.
func (f *Follower) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { f.followPlatform(ctx) })
	group.Go(func() { f.followPeers(ctx) })
	group.Wait()
	return ctx.Err()
}

// Release returns the applied release, or nil if there is none yet.
func (f *Follower) Release() *note.Release {
	if e := f.current.Load(); e != nil {
		return e.release
	}
	return nil
}

// Generation returns the applied generation, or 0 if there is none yet.
func (f *Follower) Generation() uint64 {
	if e := f.current.Load(); e != nil {
		return e.release.Generation()
	}
	return 0
}

// SetWatch sets whether this VM watches head by long polls. Only the few selected
// watchers of a zone do; the other VMs poll.
func (f *Follower) SetWatch(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.watch == on {
		return
	}
	f.watch = on
	close(f.watchChanged)
	f.watchChanged = make(chan struct{})
}

// watchMode returns whether to watch head, and a channel that closes when that
// changes.
func (f *Follower) watchMode() (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.watch, f.watchChanged
}

// followPlatform watches or polls head in the platform and applies new releases
// until the context ends.
func (f *Follower) followPlatform(ctx context.Context) {
	retry := backoff{minDelay: platformBackoffMin, maxDelay: platformBackoffMax, rand: f.Rand}
	var seen store.Version
	first := true
	// The delay of the first poll is a random share of the period, since VMs that
	// start together, as after the loss of a zone, must not poll together.
	poll := time.Duration(f.Rand() * float64(pollPeriod))
	for ctx.Err() == nil {
		watch, watchChanged := f.watchMode()
		begin := time.Now()
		h, err := f.readHead(ctx, watch && !first, seen)
		first = false
		if err == nil {
			if err = f.applyNewer(ctx, h, "platform", f.orderSources(h, watch)...); err != nil {
				f.counts.failed.Add(1)
			}
			if err == nil && watch && f.Rewrite != nil && h.generation < f.Generation() {
				f.rewrite(ctx)
			}
		}
		if err != nil {
			retry.maxDelay = platformBackoffMax
			if watch {
				retry.maxDelay = watcherBackoffMax
			}
			f.waitOrModeChange(ctx, retry.next(), watchChanged)
			continue
		}
		retry.failures = 0
		changed := h.version != seen
		seen = h.version
		switch {
		case !watch:
			f.waitOrModeChange(ctx, poll, watchChanged)
			poll = jitter(pollPeriod, pollJitter, f.Rand)
		case !changed && time.Since(begin) < minWatchInterval:
			// Avoids a busy loop if the platform responds to watches immediately.
			f.waitOrModeChange(ctx, jitter(minWatchInterval, 0.5, f.Rand), watchChanged)
		}
	}
}

// rewriteDelay is the longest random delay before a VM writes again a release that the
// platform has lost. Most of the watchers then find that another one has done so.
const rewriteDelay = 2 * time.Second

// rewrite writes the applied release again, as the platform has come back from a copy.
func (f *Follower) rewrite(ctx context.Context) {
	if !sleep.For(ctx, time.Duration(f.Rand()*float64(rewriteDelay))) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := f.Rewrite(ctx); err != nil {
		f.counts.failed.Add(1) // The next read of head tries again.
	}
}

// waitOrModeChange waits for d, but returns early when watchChanged is closed or
// the context ends.
func (f *Follower) waitOrModeChange(ctx context.Context, d time.Duration, watchChanged <-chan struct{}) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-watchChanged:
	case <-ctx.Done():
	}
}

// readHead reads head from the platform. With watch set it first waits for a
// version other than seen. A watch ends within seconds by itself, so a change of
// the watch mode does not cancel it.
func (f *Follower) readHead(ctx context.Context, watch bool, seen store.Version) (*head, error) {
	read := func() (store.Object, error) { return f.client.Get(ctx, headName) }
	if watch {
		read = func() (store.Object, error) { return f.client.Watch(ctx, headName, seen) }
	}
	o, err := read()
	f.countCheck(err)
	if err != nil {
		return nil, err
	}
	return headFromObject(o)
}

// countCheck counts the outcome of a read of head.
func (f *Follower) countCheck(err error) {
	if err != nil {
		f.counts.failed.Add(1)
		return
	}
	f.counts.checked.Add(1)
}

// orderSources returns the sources for the release of a head read from the
// platform, in the order to try them. A peer that has the generation saves the
// platform the reads of the chunks. A watcher is among the first VMs to load a
// release, so it asks the platform first.
func (f *Follower) orderSources(h *head, watch bool) []source {
	platform := platformSource(f.client)
	peer := f.peerWithGeneration(h.generation)
	switch {
	case peer == "":
		return []source{platform}
	case watch:
		return []source{platform, f.peerSource(peer)}
	default:
		return []source{f.peerSource(peer), platform}
	}
}

// applyNewer loads and applies the release of h if its generation is above the
// applied one. Older heads and heads that conflict with the applied release are
// counted and ignored.
func (f *Follower) applyNewer(ctx context.Context, h *head, from string, sources ...source) error {
	if e := f.current.Load(); e != nil && h.generation <= e.head.generation {
		switch {
		case h.generation < e.head.generation:
			f.counts.behind.Add(1)
		case h.manifest != e.head.manifest:
			// Happens only if the platform lost a commit that it had accepted. The
			// VM converges with the next generation.
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
	f.apply(&appliedRelease{release: rel, head: h, encoded: encoded, source: from, since: time.Now()})
	return nil
}

// ApplyCommitted applies a release that a Publisher of this VM has committed, so
// that peers learn of it before any watch returns. It ignores, and counts as
// failed, data that is not a valid head of that release. It can be used as
// Publisher.OnCommit.
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
	f.apply(&appliedRelease{release: rel, head: h, encoded: encoded, source: "self", since: time.Now()})
}

// apply makes e the applied release, unless that generation or a newer one has
// been applied already.
func (f *Follower) apply(e *appliedRelease) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if e.release.Generation() <= f.Generation() {
		return
	}
	f.current.Store(e)
	f.counts.applied.Add(1)
	f.pruneOffers(e.release.Generation())
	if f.OnApply != nil {
		f.OnApply(e.release)
	}
}
