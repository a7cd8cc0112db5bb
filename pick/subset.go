package pick

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// subsetMin is the least number of members of a subset, so that the loss of a
// few backend servers leaves a VM with a choice.
const subsetMin = 8

// Subset returns the targets that the VM with the given id uses: max(8,
// floor, size) of them, or all when there are not more. Each zone gets seats in
// proportion to its targets; within a zone rendezvous hashing chooses. A target
// that comes or goes moves at most one other. The order is by address.
func Subset(vm string, targets []*Target, size, floor int) []*Target {
	want := max(subsetMin, floor, size)
	if len(targets) <= want {
		return slices.SortedFunc(slices.Values(targets), byAddr)
	}
	zones := map[string][]*Target{}
	for _, t := range targets {
		zones[t.zone] = append(zones[t.zone], t)
	}
	var out []*Target
	for zone, n := range deal(vm, zones, want) {
		out = append(out, highest(vm, zones[zone], n)...)
	}
	slices.SortFunc(out, byAddr)
	return out
}

func byAddr(a, b *Target) int { return cmp.Compare(a.addr, b.addr) }

// deal gives each zone its number of seats, want in all, which must be below
// the number of targets. It is a divisor method: the next seat goes to the zone
// with the lowest (seats so far + offset) / targets. One target less delays the
// seats of its zone by at most one, so at most one seat moves to another zone.
// The offset depends on VM and zone, so that the rounding evens out over the VMs.
func deal(vm string, zones map[string][]*Target, want int) map[string]int {
	names := slices.Sorted(maps.Keys(zones))
	offsets := make([]float64, len(names))
	for i, zone := range names {
		offsets[i] = float64(score(vm, zone)) / math.MaxUint64
	}
	seats := map[string]int{}
	for range want {
		next, least := "", math.Inf(1)
		for i, zone := range names {
			turn := (float64(seats[zone]) + offsets[i]) / float64(len(zones[zone]))
			if turn < least {
				next, least = zone, turn
			}
		}
		seats[next]++
	}
	return seats
}

// highest returns the n targets with the highest scores.
func highest(vm string, targets []*Target, n int) []*Target {
	type entry struct {
		score  uint64
		target *Target
	}
	list := make([]entry, len(targets))
	for i, t := range targets {
		list[i] = entry{score(vm, t.addr), t}
	}
	slices.SortFunc(list, func(a, b entry) int { return cmp.Compare(b.score, a.score) })
	out := make([]*Target, n)
	for i := range out {
		out[i] = list[i].target
	}
	return out
}

// score is the rendezvous hash of a VM and an address.
func score(vm, addr string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(addr))
	return mix(h.Sum64())
}
