package watch

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
)

// MinWatchers is the least number of VMs of a fleet that watch the platform. A change is
// missed only when all of them are lost or cut off at the same time, until the rest of the
// fleet has noticed it.
const MinWatchers = 4

// Watchers returns the VMs that watch the platform, given the ids of the running VMs by
// availability zone: one of each zone, and more of the fleet until there are MinWatchers.
// VMs with the same view return the same watchers, and the loss of a VM replaces no watcher
// but itself.
func Watchers(byZone map[string][]string) []string {
	var out, rest []string
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		ranked := rank(byZone[zone])
		if len(ranked) > 0 {
			out = append(out, ranked[0])
			rest = append(rest, ranked[1:]...)
		}
	}
	if missing := min(MinWatchers-len(out), len(rest)); missing > 0 {
		out = append(out, rank(rest)[:missing]...)
	}
	return out
}

// Askers returns the other VMs in the order in which they ask the platform when the watchers are
// silent. VMs with the same view return the same order.
func Askers(byZone map[string][]string, watchers []string) []string {
	var rest []string
	for _, ids := range byZone {
		for _, id := range ids {
			if !slices.Contains(watchers, id) {
				rest = append(rest, id)
			}
		}
	}
	return rank(rest)
}

// rank orders VMs by a hash of their ids.
func rank(ids []string) []string {
	return slices.SortedFunc(slices.Values(ids), func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(a), hash(b)), cmp.Compare(a, b))
	})
}

func hash(id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	// FNV of short, similar ids differs mostly in its low bits; this spreads them.
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	return x ^ x>>33
}
