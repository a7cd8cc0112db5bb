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

func source(e *note.EncodedRelease) func(note.Digest) []byte {
	return func(d note.Digest) []byte {
		c, _ := e.Find(d)
		return c.Data()
	}
}

func same(a, b *note.Release) bool {
	return a.Generation() == b.Generation() && reflect.DeepEqual(a.Services(), b.Services()) &&
		reflect.DeepEqual(a.Routes(), b.Routes()) && reflect.DeepEqual(a.Accounts(), b.Accounts())
}

// changed returns the chunks of next that e lacks, with their bytes.
func changed(e, next *note.EncodedRelease) (count, size int) {
	for _, c := range next.Chunks() {
		if _, ok := e.Find(c.Digest()); !ok {
			count++
			size += len(c.Data())
		}
	}
	return count, size
}

// Guards against a release of the planned size that does not fit the platform's
// values or changes on the way, and against a small note that rewrites much.
func TestPlannedSize(t *testing.T) {
	rel := must(t, nil, fleet(25_000))
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
	got, err := note.DecodeRelease(rel.Generation(), manifest(t, e), nil, source(e))
	if err != nil || !same(got, rel) {
		t.Fatalf("release changed on the way: %v", err)
	}
	next := must(t, got, &note.Note{ID: "one", Added: note.Items{Routes: []note.Route{route(30_000, 1)}}})
	count, size := changed(e, encode(t, next))
	t.Logf("a note of one route rewrites %d chunks of %d bytes", count, size)
	if count != 1 {
		t.Errorf("a note of one route rewrites %d chunks", count)
	}
}

// Guards against an encoding that depends on how a release came about, and
// against decoding that does not share or not notice unchanged buckets.
func TestEncodingProperties(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(int64(seed.For(t, 7)))
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	properties.Property("the order of notes does not show in the bytes", prop.ForAll(func(seed uint64, n int) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		base := must(t, nil, fleet(20))
		up, down := base, base
		order := random.Perm(n)
		for i := range n {
			up = must(t, up, addRoute(i))
			down = must(t, down, addRoute(order[i]))
		}
		if !bytes.Equal(encode(t, up).Manifest().Data(), encode(t, down).Manifest().Data()) {
			return false
		}
		for i := range n {
			up = must(t, up, &note.Note{ID: "x", Withdrawn: note.ItemNames{Routes: []string{fmt.Sprintf("route-%d", 1000+i)}}})
		}
		return encode(t, up).Manifest().Digest() == encode(t, base).Manifest().Digest()
	}, gen.UInt64(), gen.IntRange(1, 12)))
	properties.Property("decoding on top of any release gives the same", prop.ForAll(func(seed uint64, n int) bool {
		random := rand.New(rand.NewPCG(seed, 2))
		prev := must(t, nil, fleet(1+random.IntN(200)))
		rel := must(t, prev, addRoute(n))
		e := encode(t, rel)
		fetched := 0
		got, err := note.DecodeRelease(rel.Generation(), manifest(t, e), prev, func(d note.Digest) []byte {
			fetched++
			return source(e)(d)
		})
		return err == nil && same(got, rel) && fetched == 1
	}, gen.UInt64(), gen.IntRange(0, 500)))
	properties.TestingRun(t)
}

func addRoute(i int) *note.Note {
	return &note.Note{ID: "x", Added: note.Items{Routes: []note.Route{route(1000+i, 1)}}}
}

// Guards against bytes that are taken in although they are not what the digest
// names, and against a release built from a part of its chunks.
func TestDecodeRefuses(t *testing.T) {
	rel := must(t, nil, fleet(500))
	e := encode(t, rel)
	m := manifest(t, e)
	// In the next release one chunk has taken the place of the victim.
	next := encode(t, must(t, rel, addRoute(1)))
	var victim note.Digest
	var newer []byte
	for i, c := range e.Chunks() {
		if other := next.Chunks()[i]; other.Digest() != c.Digest() {
			victim, newer = c.Digest(), other.Data()
		}
	}
	other := e.Chunks()[6].Data()
	flipped := bytes.Clone(e.Chunks()[5].Data())
	flipped[len(flipped)/2] ^= 1
	for name, data := range map[string][]byte{
		"missing": nil, "newer": newer, "other": other, "flipped": flipped, "short": flipped[:4], "long": make([]byte, note.MaxChunkBytes+1),
	} {
		_, err := note.DecodeRelease(1, m, nil, func(d note.Digest) []byte {
			if d == victim {
				return data
			}
			return source(e)(d)
		})
		if fault.KindOf(err) != fault.Invalid {
			t.Errorf("%s chunk: %v", name, err)
		}
	}
	if _, err := note.ParseManifest(flipped, e.Manifest().Digest()); fault.KindOf(err) != fault.Invalid {
		t.Errorf("manifest with a wrong digest: %v", err)
	}
	// A chunk in the place of another has its digest but holds the wrong names.
	data := bytes.ReplaceAll(e.Manifest().Data(), digestOf(e, 5), digestOf(e, 6))
	c := sum(data)
	swapped, err := note.ParseManifest(data, c)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := note.DecodeRelease(1, swapped, nil, source(e)); fault.KindOf(err) != fault.Invalid {
		t.Errorf("chunk in the place of another: %v", err)
	}
}

func digestOf(e *note.EncodedRelease, i int) []byte {
	d := e.Chunks()[i].Digest()
	return d[:]
}

// Guards against a chunk that the platform or a peer message cannot hold.
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
	if _, err := note.EncodeRelease(must(t, nil, n)); fault.KindOf(err) != fault.Invalid {
		t.Errorf("encoding of a chunk that is too large: %v", err)
	}
}

// sameBucket returns the i-th name of those that share the first chunk.
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

// FuzzParse looks for input on which parsing or applying fails, or whose
// accepted form is not accepted again.
func FuzzParse(f *testing.F) {
	rel := shop(f)
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
		back, err := note.DecodeRelease(next.Generation(), manifest(t, e), rel, source(e))
		if err != nil || !same(back, next) {
			t.Fatalf("accepted note does not survive the encoding: %v", err)
		}
	})
}

func sum(data []byte) note.Digest { return sha256.Sum256(data) }
