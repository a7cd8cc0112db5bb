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
	// MaxChunkBytes is the maximum size of an encoded chunk, in bytes. It leaves room for
	// the header of a 1 MB peer message and is therefore also below the maximum size of
	// a value on the platform.
	MaxChunkBytes = 1<<20 - 64<<10
	// MaxReleaseBytes is the maximum size of an encoded release, in bytes. It is bounded
	// because every VM keeps the chunks in memory to serve them to its peers. 25,000
	// routes and 53,000 accounts take about 2.4 MB.
	MaxReleaseBytes = 16 << 20
	// maxPlainBytes is the maximum size of an uncompressed chunk.
	maxPlainBytes = 8 << 20
)

// Digest is the SHA-256 of an encoded chunk, manifest or note.
type Digest [sha256.Size]byte

// String returns the digest in hex, as it appears in the names of chunk objects.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest converts the bytes of a digest in a wire message. It returns a fault of
// kind Invalid when their number is wrong.
func ParseDigest(b []byte) (Digest, error) {
	var d Digest
	if len(b) != len(d) {
		return d, fault.New(fault.Invalid, "digest of %d bytes", len(b))
	}
	copy(d[:], b)
	return d, nil
}

// Chunk is an encoded bucket or manifest of a release, with its digest.
type Chunk struct {
	digest Digest
	data   []byte
}

// Digest returns the SHA-256 of the data.
func (c Chunk) Digest() Digest { return c.digest }

// Data returns the encoded bytes; they must not be changed.
func (c Chunk) Data() []byte { return c.data }

func newChunk(data []byte) Chunk { return Chunk{digest: sha256.Sum256(data), data: data} }

// EncodedRelease is a release in the form that is stored on the platform and sent
// between peers.
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

// HasChunk reports whether the release has a chunk with this digest, given in hex. The
// manifest does not count.
func (e *EncodedRelease) HasChunk(digest string) bool {
	b, err := hex.DecodeString(digest)
	if err != nil || len(b) != sha256.Size {
		return false
	}
	_, ok := e.index[Digest(b)]
	return ok
}

// Size returns the total size of the chunks in bytes, without the manifest.
func (e *EncodedRelease) Size() int {
	n := 0
	for _, c := range e.chunks {
		n += len(c.data)
	}
	return n
}

// Find returns the chunk or manifest with the digest d.
func (e *EncodedRelease) Find(d Digest) (Chunk, bool) {
	if d == e.manifest.digest {
		return e.manifest, true
	}
	c, ok := e.index[d]
	return c, ok
}

// EncodeRelease returns the encoding of a release. The encoding is deterministic: equal
// items give equal bytes. Chunks of buckets that the release shares with an earlier
// one, or that were decoded, are reused without encoding them again. A chunk above
// MaxChunkBytes or a release above MaxReleaseBytes is a fault of kind Invalid.
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

// encodeTable adds the chunks of one kind of item to e and returns their digests.
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

// encode returns the chunk of the bucket: its items as JSON, compressed with DEFLATE.
func (b *bucket[T]) encode() (Chunk, error) {
	b.once.Do(func() {
		items := b.items
		if items == nil {
			items = []T{} // Encoded as "[]", like a bucket whose last item was removed, not as "null".
		}
		b.chunk, b.err = encodeChunk(items)
	})
	return b.chunk, b.err
}

// Compressors and decompressors are pooled, because a compressor takes about 800 KB of
// memory and a decompressor about 40 KB.
var (
	flateWriters = sync.Pool{New: func() any {
		w, err := flate.NewWriter(nil, flate.DefaultCompression)
		if err != nil {
			panic(err) // NewWriter fails only for an invalid compression level.
		}
		return w
	}}
	flateReaders = sync.Pool{New: func() any { return flate.NewReader(nil) }}
)

func inflate(data []byte) ([]byte, error) {
	r := flateReaders.Get().(io.ReadCloser)
	defer flateReaders.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(data), nil); err != nil {
		return nil, fault.Wrap(fault.Internal, err, "decompress")
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxPlainBytes+1))
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "decompress")
	}
	if len(plain) > maxPlainBytes {
		return nil, fault.New(fault.Invalid, "chunk has above %d bytes after decompression", maxPlainBytes)
	}
	return plain, nil
}

func encodeChunk(items any) (Chunk, error) {
	plain, err := json.Marshal(items)
	if err != nil {
		return Chunk{}, fault.Wrap(fault.Internal, err, "encode")
	}
	if len(plain) > maxPlainBytes {
		return Chunk{}, fault.New(fault.Invalid, "%d bytes before compression, above %d", len(plain), maxPlainBytes)
	}
	var buf bytes.Buffer
	w := flateWriters.Get().(*flate.Writer)
	defer flateWriters.Put(w)
	w.Reset(&buf)
	if _, err := w.Write(plain); err != nil {
		return Chunk{}, fault.Wrap(fault.Internal, err, "compress")
	}
	if err := w.Close(); err != nil {
		return Chunk{}, fault.Wrap(fault.Internal, err, "compress")
	}
	return newChunk(slices.Clip(buf.Bytes())), nil
}

// verifyChunk returns data as a chunk, or a fault of kind Invalid when it is larger than
// MaxChunkBytes or does not have the digest want.
func verifyChunk(data []byte, want Digest) (Chunk, error) {
	if len(data) > MaxChunkBytes {
		return Chunk{}, fault.New(fault.Invalid, "chunk of %d bytes, above %d", len(data), MaxChunkBytes)
	}
	c := newChunk(data)
	if c.digest != want {
		return Chunk{}, fault.New(fault.Invalid, "chunk has digest %s, not %s", c.digest, want)
	}
	return c, nil
}

// Manifest lists the digests of the chunks of a release, in the order of the buckets.
type Manifest struct {
	chunk    Chunk
	services [BucketCount]Digest
	routes   [BucketCount]Digest
	accounts [BucketCount]Digest
}

// ParseManifest decodes a manifest. Data that does not have the digest want, or is no
// manifest of BucketCount chunks of each kind, is a fault of kind Invalid.
func ParseManifest(data []byte, want Digest) (*Manifest, error) {
	c, err := verifyChunk(data, want)
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

// Digests returns the digests of the chunks, each once, in the order of the manifest.
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

// DecodeRelease builds the release of the given generation from its manifest. The
// function chunk returns the data of the chunk with a digest, or nil when it is not
// available. A missing chunk, or one that does not match its digest, is a fault of kind
// Invalid; then no release is returned. Buckets that prev has with the same digest are
// shared with it, without a call of chunk; prev may be nil.
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
	// The original bytes of the manifest are kept, because another version of the
	// program may have encoded the same manifest differently.
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
		prevBucket := prev[i]
		if c, err := prevBucket.encode(); err == nil && c.digest == d {
			t[i] = prevBucket
			continue
		}
		data := chunk(d)
		if data == nil {
			return t, fault.New(fault.Invalid, "chunk %s is missing", d)
		}
		b, err := decodeChunk[T](data, d, i)
		if err != nil {
			return t, err
		}
		t[i] = b
	}
	return t, nil
}

// decodeChunk verifies and decodes the chunk of one bucket. Unknown JSON fields are
// ignored, so that VMs of two versions can apply the same release.
func decodeChunk[T named](data []byte, want Digest, bucketIndex int) (*bucket[T], error) {
	c, err := verifyChunk(data, want)
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
		if bucketOf(item.itemName()) != bucketIndex || (i > 0 && b.items[i-1].itemName() >= item.itemName()) {
			return nil, fault.New(fault.Invalid, "chunk %s has item %q out of place", want, item.itemName())
		}
	}
	intern(b.items)
	b.once.Do(func() { b.chunk = c })
	return b, nil
}
