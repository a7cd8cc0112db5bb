// Package deploy publishes release notes through the platform and applies the
// newest release on each VM.
//
// The object release/head is the single commit point. Chunks and manifests are
// named by their SHA-256 and written before head, so a reader of head either
// finds every object that it refers to or keeps the release that it has.
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

// Names and name prefixes of the objects in the platform.
const (
	releasePrefix  = "release/"
	headName       = "release/head"
	garbageName    = "release/garbage"
	chunkPrefix    = "release/chunk/"
	manifestPrefix = "release/manifest/"
)

// MaxAcceptedNotes is how many accepted notes head records, to detect duplicates:
// with 1,100 notes a day, those of about five hours. An older note that is
// repeated has an old base generation, so it is refused and not applied again.
// With ids of 64 bytes head stays below 30 KB.
const MaxAcceptedNotes = 256

// head is a decoded release/head object, read from the platform or from a peer.
type head struct {
	data       []byte
	version    store.Version // 0 if read from a peer or if the object does not exist.
	generation uint64
	manifest   note.Digest
	accepted   []*wire.Accepted // Oldest first.
}

// parseHead decodes a head. It fails if the digest of the manifest is malformed or
// the generation is 0.
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

// readHead reads head from the platform. If the object does not exist, it returns
// a head of generation 0.
func readHead(ctx context.Context, client *store.Client) (*head, error) {
	o, err := client.Get(ctx, headName)
	if err != nil {
		return nil, err
	}
	return headFromObject(o)
}

// headFromObject decodes the head in an object of the platform and keeps the
// version. For an object that does not exist it returns a head of generation 0.
func headFromObject(o store.Object) (*head, error) {
	if !o.Version.Exists() {
		return &head{version: o.Version}, nil
	}
	h, err := parseHead(o.Value)
	if err != nil {
		return nil, err
	}
	h.version = o.Version
	return h, nil
}

// find returns the record of the accepted note with the id.
func (h *head) find(id string) (*wire.Accepted, bool) {
	for _, a := range h.accepted {
		if a.GetId() == id {
			return a, true
		}
	}
	return nil, false
}

// next returns the encoded successor of h, which also records the note with the
// id and digest. The oldest records above MaxAcceptedNotes are dropped.
func (h *head) next(manifest note.Digest, id string, digest note.Digest) (*head, error) {
	generation := h.generation + 1
	accepted := append(slices.Clone(h.accepted), &wire.Accepted{Id: id, Digest: digest[:], Generation: generation})
	if excess := len(accepted) - MaxAcceptedNotes; excess > 0 {
		accepted = accepted[excess:]
	}
	w := &wire.Head{Generation: generation, Manifest: manifest[:], Accepted: accepted}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(w)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "head")
	}
	return &head{data: data, generation: generation, manifest: manifest, accepted: accepted}, nil
}

// backoff computes exponential retry delays with a jitter of ±50 %, so that VMs
// that failed together don't retry together.
type backoff struct {
	minDelay time.Duration
	maxDelay time.Duration
	rand     func() float64
	failures int
}

// next returns the delay before the next retry and counts a failure.
func (b *backoff) next() time.Duration {
	delay := b.maxDelay
	if b.failures < 16 {
		delay = min(b.maxDelay, b.minDelay<<b.failures)
	}
	b.failures++
	return jitter(delay, 0.5, b.rand)
}

// jitter returns d, changed by a random amount of up to share*d in either
// direction.
func jitter(d time.Duration, share float64, random func() float64) time.Duration {
	return time.Duration(float64(d) * (1 - share + 2*share*random()))
}
