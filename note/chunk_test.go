package note_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"reflect"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/seed"
)

func encode(t testing.TB, rel *note.Release) *note.EncodedRelease {
	t.Helper()
	e, err := note.EncodeRelease(rel)
	if err != nil {
		t.Fatal(err)
	}
	return e
}

func manifest(t testing.TB, e *note.EncodedRelease) *note.Manifest {
	t.Helper()
	m, err := note.ParseManifest(e.Manifest().Data(), e.Manifest().Digest())
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func chunkSource(e *note.EncodedRelease) func(note.Digest) []byte {
	return func(d note.Digest) []byte {
		c, _ := e.Find(d)
		return c.Data()
	}
}

func equalReleases(a, b *note.Release) bool {
	return a.Generation() == b.Generation() && reflect.DeepEqual(a.Services(), b.Services()) &&
		reflect.DeepEqual(a.Routes(), b.Routes()) && reflect.DeepEqual(a.Accounts(), b.Accounts())
}

// newChunks returns the number of chunks of next that e does not have, and their total
// size in bytes.
func newChunks(e, next *note.EncodedRelease) (count, size int) {
	for _, c := range next.Chunks() {
		if _, ok := e.Find(c.Digest()); !ok {
			count++
			size += len(c.Data())
		}
	}
	return count, size
}

// Guards against a release of 25,000 routes whose chunks exceed the size of a platform
// value or that decodes to something else, and against a note of one route that
// replaces more than one chunk.
func TestFullSizeRelease(t *testing.T) {
	rel := mustApply(t, nil, fleetNote(25_000))
	e := encode(t, rel)
	largest, total := 0, 0
	for _, c := range e.Chunks() {
		largest, total = max(largest, len(c.Data())), total+len(c.Data())
	}
	s, r, a := rel.Counts()
	t.Logf("%d services, %d routes, %d accounts: %d chunks, %d bytes, largest %d, manifest %d",
		s, r, a, len(e.Chunks()), total, largest, len(e.Manifest().Data()))
	if largest > note.MaxChunkBytes || len(e.Manifest().Data()) > note.MaxChunkBytes {
		t.Errorf("largest chunk has %d bytes", largest)
	}
	got, err := note.DecodeRelease(rel.Generation(), manifest(t, e), nil, chunkSource(e))
	if err != nil || !equalReleases(got, rel) {
		t.Fatalf("decoded release differs from the encoded one: %v", err)
	}
	next := mustApply(t, got, &note.Note{ID: "one", Added: note.Items{Routes: []note.Route{route(30_000, 1)}}})
	count, size := newChunks(e, encode(t, next))
	t.Logf("a note of one route replaces %d chunks, %d bytes", count, size)
	if count != 1 {
		t.Errorf("a note of one route replaces %d chunks, want 1", count)
	}
}

// Guards against an encoding that depends on the order in which notes were applied, and
// against decoding on top of another release that fetches unchanged chunks again or
// keeps stale ones.
func TestEncodingProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(int64(seed.For(t, 7)))
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("the encoding does not depend on the order of notes", prop.ForAll(func(seed uint64, n int) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		base := mustApply(t, nil, fleetNote(20))
		inOrder, permuted := base, base
		permutation := random.Perm(n)
		for i := range n {
			inOrder = mustApply(t, inOrder, addRoute(i))
			permuted = mustApply(t, permuted, addRoute(permutation[i]))
		}
		if !bytes.Equal(encode(t, inOrder).Manifest().Data(), encode(t, permuted).Manifest().Data()) {
			return false
		}
		for i := range n {
			inOrder = mustApply(t, inOrder, &note.Note{ID: "x", Withdrawn: note.ItemNames{Routes: []string{fmt.Sprintf("route-%d", 1000+i)}}})
		}
		return encode(t, inOrder).Manifest().Digest() == encode(t, base).Manifest().Digest()
	}, gen.UInt64(), gen.IntRange(1, 12)))
	properties.Property("decoding on top of another release gives the same release", prop.ForAll(func(seed uint64, n int) bool {
		random := rand.New(rand.NewPCG(seed, 2))
		prev := mustApply(t, nil, fleetNote(1+random.IntN(200)))
		rel := mustApply(t, prev, addRoute(n))
		e := encode(t, rel)
		fetched := 0
		got, err := note.DecodeRelease(rel.Generation(), manifest(t, e), prev, func(d note.Digest) []byte {
			fetched++
			return chunkSource(e)(d)
		})
		return err == nil && equalReleases(got, rel) && fetched == 1
	}, gen.UInt64(), gen.IntRange(0, 500)))
	properties.TestingRun(t)
}

func addRoute(i int) *note.Note {
	return &note.Note{ID: "x", Added: note.Items{Routes: []note.Route{route(1000+i, 1)}}}
}

// Guards against accepting data that does not match its digest, and against a release
// that is built although chunks are missing.
func TestDecodeRefuses(t *testing.T) {
	rel := mustApply(t, nil, fleetNote(500))
	e := encode(t, rel)
	m := manifest(t, e)
	// The next release differs in one chunk, which replaces the one with replacedDigest.
	next := encode(t, mustApply(t, rel, addRoute(1)))
	var replacedDigest note.Digest
	var newer []byte
	for i, c := range e.Chunks() {
		if other := next.Chunks()[i]; other.Digest() != c.Digest() {
			replacedDigest, newer = c.Digest(), other.Data()
		}
	}
	other := e.Chunks()[6].Data()
	flipped := bytes.Clone(e.Chunks()[5].Data())
	flipped[len(flipped)/2] ^= 1
	for name, data := range map[string][]byte{
		"missing": nil, "newer": newer, "other": other, "flipped": flipped, "short": flipped[:4], "long": make([]byte, note.MaxChunkBytes+1),
	} {
		_, err := note.DecodeRelease(1, m, nil, func(d note.Digest) []byte {
			if d == replacedDigest {
				return data
			}
			return chunkSource(e)(d)
		})
		if fault.KindOf(err) != fault.Invalid {
			t.Errorf("%s chunk: %v", name, err)
		}
	}
	if _, err := note.ParseManifest(flipped, e.Manifest().Digest()); fault.KindOf(err) != fault.Invalid {
		t.Errorf("manifest with a wrong digest: %v", err)
	}
	// A manifest that lists the chunk of another bucket: the chunk matches its digest, but
	// its names belong to another bucket.
	data := bytes.ReplaceAll(e.Manifest().Data(), digestOf(e, 5), digestOf(e, 6))
	c := sha256Digest(data)
	swapped, err := note.ParseManifest(data, c)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := note.DecodeRelease(1, swapped, nil, chunkSource(e)); fault.KindOf(err) != fault.Invalid {
		t.Errorf("chunk of another bucket: %v", err)
	}
}

func digestOf(e *note.EncodedRelease, i int) []byte {
	d := e.Chunks()[i].Digest()
	return d[:]
}

// Guards against a chunk that exceeds the size of a platform value or a peer message.
func TestChunkTooLarge(t *testing.T) {
	n := &note.Note{ID: "big"}
	random := rand.New(rand.NewPCG(seed.For(t, 3), 3))
	for i := range 60 {
		s := note.Service{Name: sameBucket(i)}
		for j := range 2000 {
			addr := fmt.Sprintf("10.%d.%d.%d:%d", random.IntN(250), random.IntN(250), j%250, 1+j+random.IntN(50_000))
			s.Servers = append(s.Servers, note.Server{Addr: addr, Zone: fmt.Sprintf("z%d", random.Uint64())})
		}
		n.Added.Services = append(n.Added.Services, s)
	}
	if _, err := note.EncodeRelease(mustApply(t, nil, n)); fault.KindOf(err) != fault.Invalid {
		t.Errorf("encoding of a chunk that is too large: %v", err)
	}
}

// sameBucket returns the i-th of the names that belong to the first bucket.
func sameBucket(i int) string {
	for j := 0; ; j++ {
		name := fmt.Sprintf("s%d", j)
		if crc32.ChecksumIEEE([]byte(name))%note.BucketCount != 0 {
			continue
		}
		if i--; i < 0 {
			return name
		}
	}
}

// FuzzParse checks that Parse and Apply do not panic, and that a release made from an
// accepted note can be encoded and decoded without a change.
func FuzzParse(f *testing.F) {
	rel := shopRelease(f)
	f.Add([]byte(`{"id":"a","base":1,"withdrawn":{"routes":["facings"],"services":["stock"]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := note.Parse(data)
		if err != nil {
			if fault.KindOf(err) != fault.Invalid {
				t.Fatalf("kind of %v", err)
			}
			return
		}
		next, problems := note.Apply(rel, n)
		if problems.Err() != nil {
			return
		}
		e := encode(t, next)
		back, err := note.DecodeRelease(next.Generation(), manifest(t, e), rel, chunkSource(e))
		if err != nil || !equalReleases(back, next) {
			t.Fatalf("release of an accepted note differs after encoding and decoding: %v", err)
		}
	})
}

func sha256Digest(data []byte) note.Digest { return sha256.Sum256(data) }
