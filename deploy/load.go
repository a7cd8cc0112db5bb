package deploy

import (
	"context"
	"crypto/sha256"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/store"
)

// source fetches objects below prefix by digest and hands over what it gets. It
// need not get all, and what it hands over need not be right.
type source func(ctx context.Context, prefix string, want []note.Digest, take func(data []byte)) error

// load builds the release that head refers to, out of what prev has and what the
// sources give, which are asked in order until nothing is missing.
func load(ctx context.Context, h *head, prev *note.Release, sources ...source) (*note.Release, error) {
	g := &gather{got: map[note.Digest][]byte{}}
	if prev != nil {
		have, err := note.EncodeRelease(prev)
		if err != nil {
			return nil, err
		}
		g.have = have
	}
	if err := g.fetch(ctx, manifestPrefix, []note.Digest{h.manifest}, sources); err != nil {
		return nil, err
	}
	m, err := note.ParseManifest(g.find(h.manifest), h.manifest)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "manifest")
	}
	if err := g.fetch(ctx, chunkPrefix, m.Digests(), sources); err != nil {
		return nil, err
	}
	rel, err := note.DecodeRelease(h.generation, m, prev, g.find)
	return rel, fault.Wrap(fault.Internal, err, "release")
}

// gather collects objects whose bytes have their digest.
type gather struct {
	have *note.EncodedRelease // May be nil.

	mu   sync.Mutex
	got  map[note.Digest][]byte
	size int
}

// fetch asks the sources for what is missing.
func (g *gather) fetch(ctx context.Context, prefix string, want []note.Digest, sources []source) error {
	var last error
	missing := g.missing(want)
	for _, ask := range sources {
		if len(missing) == 0 {
			return nil
		}
		wanted := make(map[note.Digest]bool, len(missing))
		for _, d := range missing {
			wanted[d] = true
		}
		err := ask(ctx, prefix, missing, func(data []byte) { g.take(wanted, data) })
		if err != nil {
			last = err
		}
		missing = g.missing(want)
	}
	if len(missing) == 0 {
		return nil
	}
	if last != nil {
		return last
	}
	return fault.New(fault.PlatformDown, "%d of %d objects below %s are missing, among them %s",
		len(missing), len(want), prefix, missing[0])
}

// take keeps data if it was asked for; anything else, such as bytes that do not
// have the digest of their name, is dropped.
func (g *gather) take(wanted map[note.Digest]bool, data []byte) {
	d := note.Digest(sha256.Sum256(data))
	if !wanted[d] || len(data) > note.MaxChunkBytes {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, ok := g.got[d]; !ok && g.size+len(data) <= note.MaxReleaseBytes+note.MaxChunkBytes {
		g.got[d] = data
		g.size += len(data)
	}
}

// find returns the bytes of a digest, nil when they are not there.
func (g *gather) find(d note.Digest) []byte {
	g.mu.Lock()
	defer g.mu.Unlock()
	if data, ok := g.got[d]; ok {
		return data
	}
	if g.have != nil {
		if c, ok := g.have.Find(d); ok {
			return c.Data()
		}
	}
	return nil
}

func (g *gather) missing(want []note.Digest) []note.Digest {
	var out []note.Digest
	for _, d := range want {
		if g.find(d) == nil {
			out = append(out, d)
		}
	}
	return out
}

// platformSource reads objects from the platform, a few at once.
func platformSource(client *store.Client) source {
	return func(ctx context.Context, prefix string, want []note.Digest, take func([]byte)) error {
		group, ctx := errgroup.WithContext(ctx)
		group.SetLimit(parallel)
		for _, d := range want {
			group.Go(func() error {
				o, err := client.Get(ctx, prefix+d.String())
				if err == nil && o.Version != 0 {
					take(o.Value)
				}
				return err
			})
		}
		return group.Wait()
	}
}
