// Package deploy publishes release notes through the platform and keeps the
// newest release in effect on each VM.
//
// The object release/head is the single commit point. Chunks and manifests are
// named by their SHA-256 and written before head, so a reader that holds a head
// either finds all it refers to or keeps the release it has.
package deploy

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/wire"
)

// Names of objects in the platform.
const (
	releasePrefix  = "release/"
	headName       = "release/head"
	garbageName    = "release/garbage"
	chunkPrefix    = "release/chunk/"
	manifestPrefix = "release/manifest/"
)

// MaxAcceptedNotes is how many accepted notes head remembers: with 1,100 notes a day those of
// about five hours. An older note that is repeated has an old base, so it is
// refused and not applied again. With ids of 64 bytes head stays below 30 KB.
const MaxAcceptedNotes = 256

// head is the commit point as the platform or a peer holds it.
type head struct {
	data       []byte
	version    store.Version // 0 when it came from a peer or does not exist.
	generation uint64
	manifest   note.Digest
	accepted   []*wire.Accepted // Oldest first.
}

// parseHead reads an encoded head.
func parseHead(data []byte) (*head, error) {
	var w wire.Head
	if err := proto.Unmarshal(data, &w); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "head")
	}
	manifest, err := note.ParseDigest(w.GetManifest())
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "head")
	}
	if w.GetGeneration() == 0 {
		return nil, fault.New(fault.Internal, "head has generation 0")
	}
	return &head{data: data, generation: w.GetGeneration(), manifest: manifest, accepted: w.GetAccepted()}, nil
}

// readHead reads head from the platform. Where there is none it returns a head
// of generation 0.
func readHead(ctx context.Context, client *store.Client) (*head, error) {
	o, err := client.Get(ctx, headName)
	if err != nil {
		return nil, err
	}
	return headOf(o)
}

func headOf(o store.Object) (*head, error) {
	if o.Version == 0 {
		return &head{}, nil
	}
	h, err := parseHead(o.Value)
	if err != nil {
		return nil, err
	}
	h.version = o.Version
	return h, nil
}

// find returns the record of an accepted note.
func (h *head) find(id string) (*wire.Accepted, bool) {
	for _, a := range h.accepted {
		if a.GetId() == id {
			return a, true
		}
	}
	return nil, false
}

// next encodes the head that follows h with one more note.
func (h *head) next(manifest note.Digest, id string, digest note.Digest) (*head, error) {
	generation := h.generation + 1
	accepted := append(slices.Clone(h.accepted), &wire.Accepted{Id: id, Digest: digest[:], Generation: generation})
	if over := len(accepted) - MaxAcceptedNotes; over > 0 {
		accepted = accepted[over:]
	}
	w := &wire.Head{Generation: generation, Manifest: manifest[:], Accepted: accepted}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(w)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "head")
	}
	return &head{data: data, generation: generation, manifest: manifest, accepted: accepted}, nil
}

// backoff spaces repeats. Its pauses double and are spread over half to one and a
// half times their length, so that VMs that failed together return apart.
type backoff struct {
	low   time.Duration
	high  time.Duration
	unit  func() float64
	fails int
}

func (b *backoff) next() time.Duration {
	span := b.high
	if b.fails < 16 {
		span = min(b.high, b.low<<b.fails)
	}
	b.fails++
	return spread(span, 0.5, b.unit)
}

// spread returns d, moved by up to share of it in either direction.
func spread(d time.Duration, share float64, unit func() float64) time.Duration {
	return time.Duration(float64(d) * (1 - share + 2*share*unit()))
}
