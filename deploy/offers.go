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
	maxOffers   = 64 // Peers whose offers are kept; a VM links to about 8.
	maxBusy     = 3  // Loads from peers at once.
	hedgeAfter  = 500 * time.Millisecond
	peerTimeout = 2 * time.Second // For one exchange with a peer.
	peerLow     = 500 * time.Millisecond
	peerHigh    = 10 * time.Second
)

// offer is a generation that a peer says it has.
type offer struct {
	generation uint64
	wait       backoff
	next       time.Time // Not asked before.
	busy       bool
}

// ObservePeerGeneration tells the follower that a heartbeat of a peer stated a generation. It
// never blocks.
func (f *Follower) ObservePeerGeneration(peer string, generation uint64) {
	if generation <= f.Generation() {
		return
	}
	f.mu.Lock()
	o, ok := f.offers[peer]
	switch {
	case ok:
		o.generation = max(o.generation, generation)
	case len(f.offers) >= maxOffers && !f.evict(generation):
		f.mu.Unlock()
		return
	default:
		f.offers[peer] = &offer{
			generation: generation,
			wait:       backoff{low: peerLow, high: peerHigh, unit: f.Rand},
		}
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// evict makes room by dropping the peer with the lowest offer below generation.
// The caller holds the lock.
func (f *Follower) evict(generation uint64) bool {
	victim := ""
	for peer, o := range f.offers {
		if o.generation < generation {
			victim, generation = peer, o.generation
		}
	}
	delete(f.offers, victim)
	return victim != ""
}

// prune drops offers that are no longer news.
func (f *Follower) prune(generation uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for peer, o := range f.offers {
		if o.generation <= generation {
			delete(f.offers, peer)
		}
	}
}

// followPeers loads from peers that offer a newer release. While a load takes
// long, as from a peer that receives but cannot answer, it asks another peer.
func (f *Follower) followPeers(ctx context.Context) {
	loads := make(chan struct{}, maxBusy)
	for ctx.Err() == nil {
		peer, o, wait := f.choose(time.Now())
		if peer != "" {
			loads <- struct{}{}
			go func() {
				defer func() { <-loads }()
				f.take(ctx, peer, o)
			}()
		}
		f.restForOffer(ctx, wait)
	}
	for range maxBusy {
		loads <- struct{}{} // Ends once no load is left.
	}
}

func (f *Follower) restForOffer(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-f.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// choose marks a peer to ask now as busy, if there is one, and returns how long
// to wait for the next choice.
func (f *Follower) choose(now time.Time) (string, *offer, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy >= maxBusy {
		return "", nil, peerTimeout
	}
	if left := f.begun.Add(hedgeAfter).Sub(now); f.busy > 0 && left > 0 {
		return "", nil, left
	}
	var ready []string
	wait := pollEvery
	for peer, o := range f.offers {
		switch {
		case o.busy:
		case o.next.After(now):
			wait = min(wait, o.next.Sub(now))
		default:
			ready = append(ready, peer)
		}
	}
	if len(ready) == 0 {
		return "", nil, wait
	}
	slices.Sort(ready) // The order of a map would not follow the seed.
	peer := ready[int(f.Rand()*float64(len(ready)))]
	o := f.offers[peer]
	o.busy = true
	f.busy++
	f.begun = now
	return peer, o, hedgeAfter
}

// take loads the release of a peer. A failure puts off the next try.
func (f *Follower) take(ctx context.Context, peer string, o *offer) {
	err := f.loadFrom(ctx, peer)
	f.mu.Lock()
	f.busy--
	o.busy = false
	if err != nil {
		f.counts.failed.Add(1)
		o.next = time.Now().Add(o.wait.next())
	}
	f.mu.Unlock()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// loadFrom gets head from a peer and what it refers to from that peer, else from
// the platform.
func (f *Follower) loadFrom(ctx context.Context, peer string) error {
	exchange, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	data, _, err := f.Fetch(exchange, peer, nil)
	if err != nil {
		return err
	}
	h, err := parseHead(data)
	if err != nil {
		return err
	}
	if h.generation <= f.Generation() {
		return fault.New(fault.NotReady, "peer has generation %d only", h.generation)
	}
	return f.advance(ctx, h, peer, f.peerSource(peer), platformSource(f.client))
}

// holder returns a peer that offered the generation, or "".
func (f *Follower) holder(generation uint64) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	best := ""
	for peer, o := range f.offers {
		if o.generation >= generation && !o.next.After(now) && (best == "" || peer < best) {
			best = peer
		}
	}
	return best
}

// peerSource asks a peer. Its messages are bounded, so it is asked again for as
// long as it gives something new.
func (f *Follower) peerSource(peer string) source {
	return func(ctx context.Context, _ string, want []note.Digest, take func([]byte)) error {
		left := make(map[note.Digest]bool, len(want))
		for _, d := range want {
			left[d] = true
		}
		for len(left) > 0 {
			before := len(left)
			chunks, err := f.exchange(ctx, peer, left, want)
			if err != nil {
				return err
			}
			for _, data := range chunks {
				delete(left, sha256.Sum256(data))
				take(data)
			}
			if len(left) == before {
				return fault.New(fault.NotReady, "peer lacks %d of %d objects", len(left), len(want))
			}
		}
		return nil
	}
}

// exchange asks a peer once for what is left, in the order of want.
func (f *Follower) exchange(
	ctx context.Context, peer string, left map[note.Digest]bool, want []note.Digest,
) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	digests := make([][]byte, 0, len(left))
	for _, d := range want {
		if left[d] {
			digests = append(digests, d[:])
		}
	}
	_, chunks, err := f.Fetch(ctx, peer, digests)
	return chunks, err
}
