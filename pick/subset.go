package pick

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"slices"
)

// minSubsetSize is the minimum number of targets in a subset, so that a VM still has a
// choice after a few backend servers have failed.
const minSubsetSize = 8

// Subset returns the targets that the VM with the given id uses: max(8, floor, size) of
// them, or all when there are no more than that. Each availability zone gets seats in
// proportion to its number of targets, and rendezvous hashing fills the seats of a zone.
// Adding or removing a target replaces at most one other. The result is sorted by address.
func Subset(vm string, targets []*Target, size, floor int) []*Target {
	want := max(minSubsetSize, floor, size)
	if len(targets) <= want {
		return slices.SortedFunc(slices.Values(targets), byAddr)
	}
	zones := map[string][]*Target{}
	for _, t := range targets {
		zones[t.zone] = append(zones[t.zone], t)
	}
	var out []*Target
	for zone, n := range apportionSeats(vm, zones, want) {
		out = append(out, highestScored(vm, zones[zone], n)...)
	}
	slices.SortFunc(out, byAddr)
	return out
}

func byAddr(a, b *Target) int { return cmp.Compare(a.addr, b.addr) }

// apportionSeats returns the number of seats of each availability zone. They add up to want,
// which must be below the number of targets. It is a divisor method of apportionment: the
// next seat goes to the zone with the lowest (seats so far + offset) / targets. Removing a
// target delays the seats of its zone by at most one, so at most one seat moves to another
// zone. The offset in [0, 1] depends on the VM and the zone, so that rounding errors average
// out over the VMs.
func apportionSeats(vm string, zones map[string][]*Target, want int) map[string]int {
	names := slices.Sorted(maps.Keys(zones))
	offsets := make([]float64, len(names))
	for i, zone := range names {
		offsets[i] = float64(score(vm, zone)) / math.MaxUint64
	}
	seats := map[string]int{}
	for range want {
		next, lowest := "", math.Inf(1)
		for i, zone := range names {
			quotient := (float64(seats[zone]) + offsets[i]) / float64(len(zones[zone]))
			if quotient < lowest {
				next, lowest = zone, quotient
			}
		}
		seats[next]++
	}
	return seats
}

// highestScored returns the n targets with the highest scores for the VM.
func highestScored(vm string, targets []*Target, n int) []*Target {
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

// score is the rendezvous hash of a VM id and the address of a target, or the name of an
// availability zone.
func score(vm, addr string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(addr))
	return mix(h.Sum64())
}
