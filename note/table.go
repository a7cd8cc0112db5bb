package note

import (
	"hash/crc32"
	"iter"
	"slices"
	"strings"
	"sync"
)

// BucketCount is the number of buckets, and so of chunks, of each kind of item. A
// bucket of 53,000 accounts holds about 830 of them, and the manifest of all
// three kinds stays below 7 KB.
const BucketCount = 64

// named is an item of a release.
type named interface {
	Service | Route | Account
	label() string
}

func (s Service) label() string { return s.Name }

func (t Route) label() string { return t.Name }

func (a Account) label() string { return a.Name }

// bucket holds the items whose names hash to one number. It is immutable but for
// the encoding, which is made when first asked for and shared by every release
// that shares the bucket.
type bucket[T named] struct {
	items []T // Sorted by name, each name once.

	once  sync.Once // Guards chunk and err.
	chunk Chunk
	err   error
}

// table holds the items of one kind.
type table[T named] [BucketCount]*bucket[T]

func newTable[T named]() table[T] {
	var t table[T]
	empty := &bucket[T]{}
	for i := range t {
		t[i] = empty
	}
	return t
}

// bucketOf is part of the format: all versions of the program have to agree.
func bucketOf(name string) int {
	return int(crc32.ChecksumIEEE([]byte(name)) % BucketCount)
}

func compareLabel[T named](item T, name string) int { return strings.Compare(item.label(), name) }

func (t *table[T]) find(name string) (T, bool) {
	items := t[bucketOf(name)].items
	if i, ok := slices.BinarySearchFunc(items, name, compareLabel[T]); ok {
		return items[i], true
	}
	var none T
	return none, false
}

// all yields every item, sorted within each bucket only.
func (t *table[T]) all() iter.Seq[*T] {
	return func(yield func(*T) bool) {
		for _, b := range t {
			for i := range b.items {
				if !yield(&b.items[i]) {
					return
				}
			}
		}
	}
}

func (t *table[T]) size() int {
	n := 0
	for _, b := range t {
		n += len(b.items)
	}
	return n
}

func (t *table[T]) sorted() []T {
	out := make([]T, 0, t.size())
	for item := range t.all() {
		out = append(out, *item)
	}
	slices.SortFunc(out, compareItems[T])
	return out
}

func compareItems[T named](a, b T) int { return strings.Compare(a.label(), b.label()) }

// with returns a table in which puts are set and gone are missing. It shares the
// buckets that hold neither.
func (t table[T]) with(puts []T, gone []string) table[T] {
	var put [BucketCount][]T
	var drop [BucketCount][]string
	for _, item := range puts {
		i := bucketOf(item.label())
		put[i] = append(put[i], item)
	}
	for _, name := range gone {
		i := bucketOf(name)
		drop[i] = append(drop[i], name)
	}
	for i := range t {
		if len(put[i])+len(drop[i]) > 0 {
			t[i] = t[i].with(put[i], drop[i])
		}
	}
	return t
}

func (b *bucket[T]) with(puts []T, gone []string) *bucket[T] {
	replaced := make(map[string]bool, len(puts)+len(gone))
	for _, name := range gone {
		replaced[name] = true
	}
	for _, item := range puts {
		replaced[item.label()] = true
	}
	items := make([]T, 0, len(b.items)+len(puts))
	for _, item := range b.items {
		if !replaced[item.label()] {
			items = append(items, item)
		}
	}
	latest := make(map[string]int, len(puts))
	for _, item := range puts {
		if i, ok := latest[item.label()]; ok {
			items[i] = item
			continue
		}
		latest[item.label()] = len(items)
		items = append(items, item)
	}
	slices.SortFunc(items, compareItems[T])
	return &bucket[T]{items: items}
}
