package note_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/azuredeal/azuredeal/note"
)

func sizes(b *testing.B, run func(b *testing.B, rel *note.Release)) {
	for _, routes := range []int{250, 2500, 25_000} {
		rel := must(b, nil, fleet(routes))
		encode(b, rel)
		b.Run(fmt.Sprintf("routes=%d", routes), func(b *testing.B) { run(b, rel) })
	}
}

// A note of one route, applied and encoded, as a publisher does.
func BenchmarkApply(b *testing.B) {
	sizes(b, func(b *testing.B, rel *note.Release) {
		n := &note.Note{ID: "one", Added: note.Items{Routes: []note.Route{route(30_000, 1)}}}
		e := encode(b, rel)
		var count, size int
		for b.Loop() {
			next := must(b, rel, n)
			count, size = changed(e, encode(b, next))
		}
		b.ReportMetric(float64(count), "chunks/note")
		b.ReportMetric(float64(size+len(e.Manifest().Data())), "bytes/note")
	})
}

// A whole release from its items.
func BenchmarkEncode(b *testing.B) {
	sizes(b, func(b *testing.B, rel *note.Release) {
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

// A whole release on a VM that has none, and a note of one route on a VM that has
// the release before it.
func BenchmarkDecode(b *testing.B) {
	sizes(b, func(b *testing.B, rel *note.Release) {
		next := must(b, rel, &note.Note{ID: "one", Added: note.Items{Routes: []note.Route{route(30_000, 1)}}})
		decode := func(b *testing.B, rel, prev *note.Release) (kept *note.Release) {
			e := encode(b, rel)
			m := manifest(b, e)
			var err error
			for b.Loop() {
				if kept, err = note.DecodeRelease(1, m, prev, source(e)); err != nil {
					b.Fatal(err)
				}
			}
			return kept
		}
		b.Run("whole", func(b *testing.B) {
			kept := decode(b, rel, nil)
			with := heap()
			runtime.KeepAlive(kept)
			b.ReportMetric(float64(with-heap()), "heap/release")
		})
		b.Run("note", func(b *testing.B) { decode(b, next, rel) })
	})
}

func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
