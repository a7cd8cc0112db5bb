package note

import (
	"hash/crc32"
	"iter"
	"slices"
	"strings"
	"sync"
)

// BucketCount is the number of buckets, and so of chunks, of each kind of item. With
// 53,000 accounts a bucket holds about 830 of them, and the manifest of all three kinds
// stays below 7 KB.
const BucketCount = 64

// named is the constraint for the items of a release, which are stored by name.
type named interface {
	Service | Route | Account
	itemName() string
}

func (s Service) itemName() string { return s.Name }

func (t Route) itemName() string { return t.Name }

func (a Account) itemName() string { return a.Name }

// bucket holds the items whose names have the same hash. It is immutable except for
// its encoding, which is computed on first use and shared by all releases that share
// the bucket.
type bucket[T named] struct {
	items []T // Sorted by name, each name once.

	once  sync.Once // Guards chunk and err.
	chunk Chunk
	err   error
}

// table holds the items of one kind, in buckets by name hash.
type table[T named] [BucketCount]*bucket[T]

func newTable[T named]() table[T] {
	var t table[T]
	empty := &bucket[T]{}
	for i := range t {
		t[i] = empty
	}
	return t
}

// bucketOf returns the index of the bucket for a name. It is part of the release
// format: all versions of the program must compute the same index.
func bucketOf(name string) int {
	return int(crc32.ChecksumIEEE([]byte(name)) % BucketCount)
}

func compareItemToName[T named](item T, name string) int {
	return strings.Compare(item.itemName(), name)
}

func (t *table[T]) find(name string) (T, bool) {
	items := t[bucketOf(name)].items
	if i, ok := slices.BinarySearchFunc(items, name, compareItemToName[T]); ok {
		return items[i], true
	}
	var none T
	return none, false
}

// all yields every item; the items are sorted by name within each bucket only.
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

func compareItems[T named](a, b T) int { return strings.Compare(a.itemName(), b.itemName()) }

// with returns a copy of the table with the items in set added or replaced and the
// names in removed deleted. Buckets without a change are shared with t.
func (t table[T]) with(set []T, removed []string) table[T] {
	var setByBucket [BucketCount][]T
	var removedByBucket [BucketCount][]string
	for _, item := range set {
		i := bucketOf(item.itemName())
		setByBucket[i] = append(setByBucket[i], item)
	}
	for _, name := range removed {
		i := bucketOf(name)
		removedByBucket[i] = append(removedByBucket[i], name)
	}
	for i := range t {
		if len(setByBucket[i])+len(removedByBucket[i]) > 0 {
			t[i] = t[i].with(setByBucket[i], removedByBucket[i])
		}
	}
	return t
}

// with returns a copy of the bucket with the changes of table.with. The last of several
// items of one name in set is used.
func (b *bucket[T]) with(set []T, removed []string) *bucket[T] {
	replaced := make(map[string]bool, len(set)+len(removed))
	for _, name := range removed {
		replaced[name] = true
	}
	for _, item := range set {
		replaced[item.itemName()] = true
	}
	items := make([]T, 0, len(b.items)+len(set))
	for _, item := range b.items {
		if !replaced[item.itemName()] {
			items = append(items, item)
		}
	}
	indexByName := make(map[string]int, len(set))
	for _, item := range set {
		if i, ok := indexByName[item.itemName()]; ok {
			items[i] = item
			continue
		}
		indexByName[item.itemName()] = len(items)
		items = append(items, item)
	}
	slices.SortFunc(items, compareItems[T])
	return &bucket[T]{items: items}
}
