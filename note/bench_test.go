package note_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/azuredeal/azuredeal/note"
)

// benchSizes runs a benchmark on releases of 250, 2,500 and 25,000 routes.
func benchSizes(b *testing.B, run func(b *testing.B, rel *note.Release)) {
	for _, routes := range []int{250, 2500, 25_000} {
		rel := mustApply(b, nil, fleetNote(routes))
		encode(b, rel)
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) { run(b, rel) })
	}
}

// BenchmarkApply applies and encodes a note of one route, as a publisher does.
func BenchmarkApply(b *testing.B) {
	benchSizes(b, func(b *testing.B, rel *note.Release) {
		n := &note.Note{ID: "one", Added: note.Items{Routes: []note.Route{route(30_000, 1)}}}
		e := encode(b, rel)
		var count, size int
		for b.Loop() {
			next := mustApply(b, rel, n)
			count, size = newChunks(e, encode(b, next))
		}
		b.ReportMetric(float64(count), "chunks/note")
		b.ReportMetric(float64(size+len(e.Manifest().Data())), "bytes/note")
	})
}

// BenchmarkEncode encodes a whole release from its items.
func BenchmarkEncode(b *testing.B) {
	benchSizes(b, func(b *testing.B, rel *note.Release) {
		s, r, a := rel.Services(), rel.Routes(), rel.Accounts()
		size := 0
		for b.Loop() {
			e := encode(b, note.NewRelease(1, s, r, a))
			size = 0
			for _, c := range e.Chunks() {
				size += len(c.Data())
			}
		}
		b.ReportMetric(float64(size), "bytes/release")
	})
}

// BenchmarkDecode decodes a whole release, as on a VM that has none ("whole"), and a
// release that differs from the previous one by one route ("note").
func BenchmarkDecode(b *testing.B) {
	benchSizes(b, func(b *testing.B, rel *note.Release) {
		next := mustApply(b, rel, &note.Note{ID: "one", Added: note.Items{Routes: []note.Route{route(30_000, 1)}}})
		decode := func(b *testing.B, rel, prev *note.Release) (kept *note.Release) {
			e := encode(b, rel)
			m := manifest(b, e)
			var err error
			for b.Loop() {
				if kept, err = note.DecodeRelease(1, m, prev, chunkSource(e)); err != nil {
					b.Fatal(err)
				}
			}
			return kept
		}
		b.Run("whole", func(b *testing.B) {
			kept := decode(b, rel, nil)
			withRelease := heapBytes()
			runtime.KeepAlive(kept)
			b.ReportMetric(float64(withRelease-heapBytes()), "heap/release")
		})
		b.Run("note", func(b *testing.B) { decode(b, next, rel) })
	})
}

// heapBytes returns the size of the live heap after a garbage collection.
func heapBytes() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
