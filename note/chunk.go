package note

import (
	"bytes"
	"compress/flate"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"slices"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	// MaxChunkBytes is the largest encoded chunk, in bytes. It leaves room for the head
	// in a 1 MB message between peers, and so is below what the platform takes.
	MaxChunkBytes = 1<<20 - 64<<10
	// MaxReleaseBytes is the largest encoded release, in bytes, because every VM keeps
	// the chunks in memory for its peers. 25,000 routes and 53,000 accounts have
	// about 2.4 MB.
	MaxReleaseBytes = 16 << 20
	// maxPlain bounds a chunk before compression, in bytes.
	maxPlain = 8 << 20
)

// Digest is the SHA-256 of an encoded chunk, manifest or note.
type Digest [sha256.Size]byte

// String returns the digest in hex, as names of chunk objects have it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads a digest from the bytes of a wire message.
func ParseDigest(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return d, fault.New(fault.Invalid, "digest of %d bytes", len(b))
	}
	copy(d[:], b)
	return d, nil
}

// Chunk is an encoded part of a release with its digest.
type Chunk struct {
	digest Digest
	data   []byte
}

// Digest returns the SHA-256 of the data.
func (c Chunk) Digest() Digest { return c.digest }

// Data returns the encoded bytes; they must not be changed.
func (c Chunk) Data() []byte { return c.data }

func newChunk(data []byte) Chunk { return Chunk{digest: sha256.Sum256(data), data: data} }

// EncodedRelease is a release as the platform and peers hold it.
type EncodedRelease struct {
	manifest Chunk
	chunks   []Chunk
	index    map[Digest]Chunk
}

// Manifest returns the encoded manifest.
func (e *EncodedRelease) Manifest() Chunk { return e.manifest }

// Chunks returns the chunks, each digest once, in the order of the manifest. The
// slice must not be changed.
func (e *EncodedRelease) Chunks() []Chunk { return e.chunks }

// HasChunk reports whether a chunk has the digest, given in hex.
func (e *EncodedRelease) HasChunk(digest string) bool {
	b, err := hex.DecodeString(digest)
	if err != nil || len(b) != sha256.Size {
		return false
	}
	_, ok := e.index[Digest(b)]
	return ok
}

// Size returns the bytes of all chunks.
func (e *EncodedRelease) Size() int {
	n := 0
	for _, c := range e.chunks {
		n += len(c.data)
	}
	return n
}

// Find returns the chunk or manifest with that digest.
func (e *EncodedRelease) Find(d Digest) (Chunk, bool) {
	if d == e.manifest.digest {
		return e.manifest, true
	}
	c, ok := e.index[d]
	return c, ok
}

// EncodeRelease returns the encoding of a release. The same items give the same bytes.
// Chunks of buckets that a release shares with an earlier one, or that were
// decoded, are taken as they are. A chunk above MaxChunk and a release above
// MaxRelease are refused as Invalid.
func EncodeRelease(rel *Release) (*EncodedRelease, error) {
	rel.once.Do(func() { rel.encoded, rel.err = encode(rel) })
	return rel.encoded, rel.err
}

func encode(rel *Release) (*EncodedRelease, error) {
	e := &EncodedRelease{index: map[Digest]Chunk{}}
	m := &wire.Manifest{}
	var err error
	if m.Services, err = encodeTable(e, "services", &rel.services); err != nil {
		return nil, err
	}
	if m.Routes, err = encodeTable(e, "routes", &rel.routes); err != nil {
		return nil, err
	}
	if m.Accounts, err = encodeTable(e, "accounts", &rel.accounts); err != nil {
		return nil, err
	}
	if n := e.Size(); n > MaxReleaseBytes {
		return nil, fault.New(fault.Invalid, "release of %d bytes, above %d", n, MaxReleaseBytes)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		return nil, fault.Wrap(fault.Internal, err, "manifest")
	}
	e.manifest = newChunk(data)
	return e, nil
}

// encodeTable adds the chunks of one kind and returns their digests.
func encodeTable[T named](e *EncodedRelease, kind string, t *table[T]) ([][]byte, error) {
	digests := make([][]byte, 0, BucketCount)
	for i, b := range t {
		c, err := b.encode()
		if err != nil {
			return nil, fault.Wrap(fault.KindOf(err), err, "chunk of "+kind)
		}
		if len(c.data) > MaxChunkBytes {
			return nil, fault.New(fault.Invalid, "chunk %d of %s has %d bytes, above %d", i, kind, len(c.data), MaxChunkBytes)
		}
		if _, ok := e.index[c.digest]; !ok {
			e.index[c.digest] = c
			e.chunks = append(e.chunks, c)
		}
		digests = append(digests, c.digest[:])
	}
	return digests, nil
}

// encode returns the chunk of the bucket: its items as JSON, compressed.
func (b *bucket[T]) encode() (Chunk, error) {
	b.once.Do(func() {
		items := b.items
		if items == nil {
			items = []T{} // "[]" like a bucket that lost its last item, not "null".
		}
		b.chunk, b.err = pack(items)
	})
	return b.chunk, b.err
}

// A compressor has about 800 KB and a decompressor 40 KB, so the chunks of a
// release share a few.
var (
	writers = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.DefaultCompression)
		if err != nil {
			panic(err) // Only for a level out of range.
		}
		return w
	}}
	readers = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

func inflate(data []byte) ([]byte, error) {
	r := readers.Get().(io.ReadCloser)
	defer readers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxPlain+1))
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "decompress")
	}
	if len(plain) > maxPlain {
		return nil, fault.New(fault.Invalid, "chunk has above %d bytes after decompression", maxPlain)
	}
	return plain, nil
}

func pack(items any) (Chunk, error) {
	plain, err := json.Marshal(items)
	if err != nil {
		return Chunk{}, fault.Wrap(fault.Internal, err, "encode")
	}
	if len(plain) > maxPlain {
		return Chunk{}, fault.New(fault.Invalid, "%d bytes before compression, above %d", len(plain), maxPlain)
	}
	var buf bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&buf)
	if _, err := w.Write(plain); err != nil {
		return Chunk{}, fault.Wrap(fault.Internal, err, "compress")
	}
	if err := w.Close(); err != nil {
		return Chunk{}, fault.Wrap(fault.Internal, err, "compress")
	}
	return newChunk(slices.Clip(buf.Bytes())), nil
}

// verify returns data as a chunk if it has the digest and a size that Encode
// produces.
func verify(data []byte, want Digest) (Chunk, error) {
	if len(data) > MaxChunkBytes {
		return Chunk{}, fault.New(fault.Invalid, "chunk of %d bytes, above %d", len(data), MaxChunkBytes)
	}
	c := newChunk(data)
	if c.digest != want {
		return Chunk{}, fault.New(fault.Invalid, "chunk has digest %s, not %s", c.digest, want)
	}
	return c, nil
}

// Manifest lists the chunks of a release.
type Manifest struct {
	chunk    Chunk
	services [BucketCount]Digest
	routes   [BucketCount]Digest
	accounts [BucketCount]Digest
}

// ParseManifest reads an encoded manifest that has to have the digest.
func ParseManifest(data []byte, want Digest) (*Manifest, error) {
	c, err := verify(data, want)
	if err != nil {
		return nil, err
	}
	var w wire.Manifest
	if err := proto.Unmarshal(data, &w); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "manifest")
	}
	m := &Manifest{chunk: c}
	for _, kind := range []struct {
		from [][]byte
		into *[BucketCount]Digest
	}{{w.GetServices(), &m.services}, {w.GetRoutes(), &m.routes}, {w.GetAccounts(), &m.accounts}} {
		if len(kind.from) != BucketCount {
			return nil, fault.New(fault.Invalid, "manifest lists %d chunks of a kind, not %d", len(kind.from), BucketCount)
		}
		for i, b := range kind.from {
			if kind.into[i], err = ParseDigest(b); err != nil {
				return nil, err
			}
		}
	}
	return m, nil
}

// Digests returns the digests of the chunks, each once, in order.
func (m *Manifest) Digests() []Digest {
	seen := make(map[Digest]bool, 3*BucketCount)
	out := make([]Digest, 0, 3*BucketCount)
	for _, kind := range [...]*[BucketCount]Digest{&m.services, &m.routes, &m.accounts} {
		for _, d := range kind {
			if !seen[d] {
				seen[d] = true
				out = append(out, d)
			}
		}
	}
	return out
}

// DecodeRelease builds the release of that generation from its manifest. chunk returns
// the bytes of a digest, or nil when it has none; then, and when bytes do not
// have their digest, there is no release. Buckets that prev has already are
// shared with it; prev may be nil.
func DecodeRelease(generation uint64, m *Manifest, prev *Release, chunk func(Digest) []byte) (*Release, error) {
	rel := &Release{generation: generation}
	if prev == nil {
		prev = NewRelease(0, nil, nil, nil)
	}
	var err error
	if rel.services, err = decodeTable(&m.services, &prev.services, chunk); err != nil {
		return nil, err
	}
	if rel.routes, err = decodeTable(&m.routes, &prev.routes, chunk); err != nil {
		return nil, err
	}
	if rel.accounts, err = decodeTable(&m.accounts, &prev.accounts, chunk); err != nil {
		return nil, err
	}
	// The bytes of the manifest are kept: another version of the program may
	// have written what this one would encode otherwise.
	rel.once.Do(func() {
		if rel.encoded, rel.err = encode(rel); rel.err == nil {
			rel.encoded.manifest = m.chunk
		}
	})
	return rel, rel.err
}

func decodeTable[T named](digests *[BucketCount]Digest, prev *table[T], chunk func(Digest) []byte) (table[T], error) {
	var t table[T]
	for i, d := range digests {
		old := prev[i]
		if c, err := old.encode(); err == nil && c.digest == d {
			t[i] = old
			continue
		}
		data := chunk(d)
		if data == nil {
			return t, fault.New(fault.Invalid, "chunk %s is missing", d)
		}
		b, err := unpack[T](data, d, i)
		if err != nil {
			return t, err
		}
		t[i] = b
	}
	return t, nil
}

// unpack decodes a chunk. Fields that this version does not know are passed
// over, so that VMs of two versions can take the same release.
func unpack[T named](data []byte, want Digest, number int) (*bucket[T], error) {
	c, err := verify(data, want)
	if err != nil {
		return nil, err
	}
	plain, err := inflate(data)
	if err != nil {
		return nil, err
	}
	b := &bucket[T]{}
	if err := json.Unmarshal(plain, &b.items); err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "chunk")
	}
	b.items = slices.Clip(b.items)
	for i, item := range b.items {
		if bucketOf(item.label()) != number || (i > 0 && b.items[i-1].label() >= item.label()) {
			return nil, fault.New(fault.Invalid, "chunk %s has item %q out of place", want, item.label())
		}
	}
	intern(b.items)
	b.once.Do(func() { b.chunk = c })
	return b, nil
}
