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

// source fetches objects below prefix by digest and passes each to add. It may
// omit objects, and the digests of the data are not verified yet.
type source func(ctx context.Context, prefix string, want []note.Digest, add func(data []byte)) error

// load builds the release that head refers to. It takes what it can from prev,
// which may be nil, and asks the sources in order until no object is missing.
func load(ctx context.Context, h *head, prev *note.Release, sources ...source) (*note.Release, error) {
	s := &objectSet{fetched: map[note.Digest][]byte{}}
	if prev != nil {
		prevEncoded, err := note.EncodeRelease(prev)
		if err != nil {
			return nil, err
		}
		s.prevEncoded = prevEncoded
	}
	if err := s.fetch(ctx, manifestPrefix, []note.Digest{h.manifest}, sources); err != nil {
		return nil, err
	}
	m, err := note.ParseManifest(s.find(h.manifest), h.manifest)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "manifest")
	}
	if err := s.fetch(ctx, chunkPrefix, m.Digests(), sources); err != nil {
		return nil, err
	}
	rel, err := note.DecodeRelease(h.generation, m, prev, s.find)
	return rel, fault.Wrap(fault.Internal, err, "release")
}

// objectSet collects objects by their verified digest. It is safe for concurrent
// use.
type objectSet struct {
	prevEncoded *note.EncodedRelease // Nil without a previous release.

	mu           sync.Mutex
	fetched      map[note.Digest][]byte
	fetchedBytes int
}

// fetch asks the sources in order for the missing objects. It fails if some are
// still missing after the last source.
func (s *objectSet) fetch(ctx context.Context, prefix string, want []note.Digest, sources []source) error {
	var lastErr error
	missing := s.missing(want)
	for _, src := range sources {
		if len(missing) == 0 {
			return nil
		}
		wanted := make(map[note.Digest]bool, len(missing))
		for _, d := range missing {
			wanted[d] = true
		}
		err := src(ctx, prefix, missing, func(data []byte) { s.add(wanted, data) })
		if err != nil {
			lastErr = err
		}
		missing = s.missing(want)
	}
	if len(missing) == 0 {
		return nil
	}
	if lastErr != nil {
		return lastErr
	}
	return fault.New(fault.PlatformDown, "%d of %d objects below %s are missing, among them %s",
		len(missing), len(want), prefix, missing[0])
}

// add keeps data if its digest is wanted. Anything else, such as data that does
// not match the digest in the object's name, is dropped. The size limits bound
// the memory that a faulty source can take.
func (s *objectSet) add(wanted map[note.Digest]bool, data []byte) {
	d := note.Digest(sha256.Sum256(data))
	if !wanted[d] || len(data) > note.MaxChunkBytes {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.fetched[d]; !ok && s.fetchedBytes+len(data) <= note.MaxReleaseBytes+note.MaxChunkBytes {
		s.fetched[d] = data
		s.fetchedBytes += len(data)
	}
}

// find returns the data with the digest, or nil if it is missing.
func (s *objectSet) find(d note.Digest) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if data, ok := s.fetched[d]; ok {
		return data
	}
	if s.prevEncoded != nil {
		if c, ok := s.prevEncoded.Find(d); ok {
			return c.Data()
		}
	}
	return nil
}

// missing returns the digests of want that find has no data for.
func (s *objectSet) missing(want []note.Digest) []note.Digest {
	var out []note.Digest
	for _, d := range want {
		if s.find(d) == nil {
			out = append(out, d)
		}
	}
	return out
}

// platformSource returns a source that reads objects from the platform, up to
// maxParallelObjects at once.
func platformSource(client *store.Client) source {
	return func(ctx context.Context, prefix string, want []note.Digest, add func([]byte)) error {
		group, ctx := errgroup.WithContext(ctx)
		group.SetLimit(maxParallelObjects)
		for _, d := range want {
			group.Go(func() error {
				o, err := client.Get(ctx, prefix+d.String())
				if err == nil && o.Version.Exists() {
					add(o.Value)
				}
				return err
			})
		}
		return group.Wait()
	}
}
