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

// Subset returns the targets that the VM with the given id uses: at least
// max(8, floor, size) of them, or all when there are not more. Each zone gets
// seats in proportion to its targets; within a zone rendezvous hashing chooses.
// A VM or target that comes or goes moves few others. The order is by address.
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
	seats := newSeats(vm, want, len(targets))
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		members := zones[zone]
		out = append(out, highest(vm, members, seats.take(len(members)))...)
	}
	slices.SortFunc(out, byAddr)
	return out
}

func byAddr(a, b *Target) int { return cmp.Compare(a.addr, b.addr) }

// seats deals out seats to zones by systematic sampling: each zone gets its
// proportional share rounded up or down, and the offset, which depends on the
// VM, makes the rounding even out over the VMs.
type seats struct {
	share float64 // Seats for each target, below 1.
	sum   float64
	given int
}

func newSeats(vm string, want, targets int) *seats {
	offset := float64(score(vm, "")) / math.MaxUint64
	return &seats{share: float64(want) / float64(targets), sum: offset}
}

// take returns the seats of the next zone. The grain makes up for the rounding
// of repeated addition, which would otherwise lose the last seat.
func (s *seats) take(targets int) int {
	const grain = 1e-6
	s.sum += s.share * float64(targets)
	upTo := int(math.Floor(s.sum + grain))
	n := min(upTo-s.given, targets)
	s.given = upTo
	return n
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
