package deploy

import (
	"context"
	"crypto/sha256"
	"slices"
	"time"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
)

const (
	maxOffers      = 64                     // Peers whose offers are kept; a VM has links to about 8.
	maxPeerLoads   = 3                      // Concurrent loads from peers.
	hedgeDelay     = 500 * time.Millisecond // Age of the last load from a peer before another peer is asked.
	peerTimeout    = 2 * time.Second        // For one request to a peer.
	peerBackoffMin = 500 * time.Millisecond
	peerBackoffMax = 10 * time.Second
)

// offer is a generation that a peer has announced in heartbeats.
type offer struct {
	generation uint64
	retry      backoff
	next       time.Time // Earliest time of the next load.
	loading    bool
}

// ObservePeerGeneration records the generation in a heartbeat of a peer. If it is
// above the applied one, the follower loads the release from the peer. It never
// blocks.
func (f *Follower) ObservePeerGeneration(peer string, generation uint64) {
	if generation <= f.Generation() {
		return
	}
	f.mu.Lock()
	o, ok := f.offers[peer]
	switch {
	case ok:
		o.generation = max(o.generation, generation)
	case len(f.offers) >= maxOffers && !f.evictOffer(generation):
		f.mu.Unlock()
		return
	default:
		f.offers[peer] = &offer{
			generation: generation,
			retry:      backoff{minDelay: peerBackoffMin, maxDelay: peerBackoffMax, rand: f.Rand},
		}
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// evictOffer drops the offer with the lowest generation below generation and
// reports whether there was one. The lock mu must be held.
func (f *Follower) evictOffer(generation uint64) bool {
	evicted := ""
	for peer, o := range f.offers {
		if o.generation < generation {
			evicted, generation = peer, o.generation
		}
	}
	delete(f.offers, evicted)
	return evicted != ""
}

// pruneOffers drops the offers that are not above generation.
func (f *Follower) pruneOffers(generation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for peer, o := range f.offers {
		if o.generation <= generation {
			delete(f.offers, peer)
		}
	}
}

// followPeers loads releases from peers that offer a newer generation. When a
// load takes longer than hedgeDelay, as from a peer that receives requests but
// cannot respond, it also asks another peer.
func (f *Follower) followPeers(ctx context.Context) {
	loads := make(chan struct{}, maxPeerLoads)
	for ctx.Err() == nil {
		peer, o, wait := f.choosePeer(time.Now())
		if peer != "" {
			loads <- struct{}{}
			go func() {
				defer func() { <-loads }()
				f.tryPeer(ctx, peer, o)
			}()
		}
		f.waitForWake(ctx, wait)
	}
	for range maxPeerLoads {
		loads <- struct{}{} // Waits for the remaining loads.
	}
}

// waitForWake waits for d, but returns early when there may be a peer to ask or
// the context ends.
func (f *Follower) waitForWake(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// choosePeer picks a random peer that may be asked now, if there is one, and marks
// its offer as loading. It returns how long to wait before the next choice.
func (f *Follower) choosePeer(now time.Time) (string, *offer, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loading >= maxPeerLoads {
		return "", nil, peerTimeout
	}
	if remaining := f.lastPeerLoad.Add(hedgeDelay).Sub(now); f.loading > 0 && remaining > 0 {
		return "", nil, remaining
	}
	var ready []string
	wait := pollPeriod
	for peer, o := range f.offers {
		switch {
		case o.loading:
		case o.next.After(now):
			wait = min(wait, o.next.Sub(now))
		default:
			ready = append(ready, peer)
		}
	}
	if len(ready) == 0 {
		return "", nil, wait
	}
	slices.Sort(ready) // Map order would make the choice depend on more than the random seed.
	peer := ready[int(f.Rand()*float64(len(ready)))]
	o := f.offers[peer]
	o.loading = true
	f.loading++
	f.lastPeerLoad = now
	return peer, o, hedgeDelay
}

// tryPeer loads and applies the release of a peer. A failure delays the next load
// from that peer.
func (f *Follower) tryPeer(ctx context.Context, peer string, o *offer) {
	err := f.loadFromPeer(ctx, peer)
	f.mu.Lock()
	f.loading--
	o.loading = false
	if err != nil {
		f.counts.failed.Add(1)
		o.next = time.Now().Add(o.retry.next())
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// loadFromPeer fetches head from a peer and applies its release. Objects that the
// peer does not return are read from the platform.
func (f *Follower) loadFromPeer(ctx context.Context, peer string) error {
	fetchCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	data, _, err := f.Fetch(fetchCtx, peer, nil)
	if err != nil {
		return err
	}
	h, err := parseHead(data)
	if err != nil {
		return err
	}
	if h.generation <= f.Generation() {
		return fault.New(fault.NotReady, "peer has only generation %d", h.generation)
	}
	return f.applyNewer(ctx, h, peer, f.peerSource(peer), platformSource(f.client))
}

// peerWithGeneration returns the first peer, in order of address, that offers the
// generation or a newer one and may be asked now. It returns "" if there is none.
func (f *Follower) peerWithGeneration(generation uint64) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	chosen := ""
	for peer, o := range f.offers {
		if o.generation >= generation && !o.next.After(now) && (chosen == "" || peer < chosen) {
			chosen = peer
		}
	}
	return chosen
}

// peerSource returns a source that fetches objects from a peer. The size of a
// response is limited, so it repeats the request while responses contain missing
// objects.
func (f *Follower) peerSource(peer string) source {
	return func(ctx context.Context, _ string, want []note.Digest, add func([]byte)) error {
		remaining := make(map[note.Digest]bool, len(want))
		for _, d := range want {
			remaining[d] = true
		}
		for len(remaining) > 0 {
			previous := len(remaining)
			chunks, err := f.fetchMissing(ctx, peer, remaining, want)
			if err != nil {
				return err
			}
			for _, data := range chunks {
				delete(remaining, sha256.Sum256(data))
				add(data)
			}
			if len(remaining) == previous {
				return fault.New(fault.NotReady, "peer lacks %d of %d objects", len(remaining), len(want))
			}
		}
		return nil
	}
}

// fetchMissing requests the remaining objects from a peer once, in the order of
// want.
func (f *Follower) fetchMissing(
	ctx context.Context, peer string, remaining map[note.Digest]bool, want []note.Digest,
) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	digests := make([][]byte, 0, len(remaining))
	for _, d := range want {
		if remaining[d] {
			digests = append(digests, d[:])
		}
	}
	_, chunks, err := f.Fetch(ctx, peer, digests)
	return chunks, err
}
