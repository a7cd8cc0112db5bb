package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/sleep"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	// correctingVMs is how many VMs are asked for corrections. One may have been cut off
	// while the others learned of a change that is lost.
	correctingVMs = 3
	// linkInterval is how often a VM that has no links yet looks for some.
	linkInterval = 200 * time.Millisecond
)

// Correction is what another VM knows of one kind of object in a later state than the platform,
// which has come back from a copy. Objects that have been removed since the copy was made come
// as departures.
type Correction struct {
	Kind    string
	Changes []Change
}

// Corrector asks other VMs for corrections.
type Corrector struct {
	fleet  Fleet
	kinds  []string
	log    zerolog.Logger
	unsure chan struct{}
}

// NewCorrector returns a corrector for the given kinds of objects.
func NewCorrector(fleet Fleet, log zerolog.Logger, kinds ...string) *Corrector {
	return &Corrector{fleet: fleet, kinds: kinds, log: log, unsure: make(chan struct{}, 1)}
}

// Ask makes Run ask. It is called when this VM has listed a platform that came back from a copy.
func (c *Corrector) Ask() {
	select {
	case c.unsure <- struct{}{}:
	default: // It is about to ask.
	}
}

// Run asks other VMs after each call of Ask, and sends what they know to corrections. It returns
// the error of ctx.
func (c *Corrector) Run(ctx context.Context, corrections chan<- Correction) error {
	for {
		select {
		case <-c.unsure:
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, peer := range c.peers(ctx) {
			for _, kind := range c.kinds {
				changes, err := c.pull(ctx, peer, kind)
				if err != nil {
					c.log.Info().Err(err).Str("kind", kind).Str("peer", peer.Addr).Msg("cannot pull corrections from another VM")
					continue
				}
				select {
				case corrections <- Correction{kind, changes}:
				case <-ctx.Done():
					return ctx.Err()
				}
			}
		}
	}
}

// peers returns VMs to ask, those of the own availability zone first. A VM that has just
// started waits for its first links.
func (c *Corrector) peers(ctx context.Context) []Peer {
	if c.fleet.Peers == nil {
		return nil
	}
	for {
		if peers := c.fleet.Peers(); len(peers) > 0 || !sleep.For(ctx, linkInterval) {
			rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
			near, far := lo.FilterReject(peers, func(p Peer, _ int) bool { return p.Near })
			peers = append(near, far...)
			return peers[:min(len(peers), correctingVMs)]
		}
	}
}

func (c *Corrector) pull(ctx context.Context, peer Peer, kind string) ([]Change, error) {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	reply, err := c.fleet.Pull(ctx, peer.Addr, &wire.Pull{Feed: kind, Corrections: true})
	if err != nil {
		return nil, err
	}
	return unpack(reply.GetChanges())
}

// CorrectionsReply returns the reply to a pull of corrections.
func CorrectionsReply(changes []Change) *wire.Changes {
	packed, err := pack(changes)
	if err != nil {
		return &wire.Changes{} // The other VM asks a third one, or waits for the platform.
	}
	return &wire.Changes{Changes: packed}
}
