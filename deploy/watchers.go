package deploy

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// MaxWatchersPerZone is the maximum number of VMs of an availability zone that
// watch head. With six zones their watches cost 18 of the platform's 2,000 reads
// a second.
const MaxWatchersPerZone = 3

// SelectWatchers returns the VMs of an availability zone that watch head, at most
// n and at most MaxWatchersPerZone, by rendezvous hashing. VMs with the same
// membership view select the same watchers, and the loss of a VM reassigns no
// watch but its own.
func SelectWatchers(zone string, members []string, n int) []string {
	type ranked struct {
		id     string
		weight uint64
	}
	list := make([]ranked, 0, len(members))
	for _, id := range members {
		sum := sha256.Sum256([]byte(zone + "\x00" + id))
		list = append(list, ranked{id: id, weight: binary.BigEndian.Uint64(sum[:])})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.id, b.id))
	})
	list = slices.Compact(list)
	watchers := make([]string, 0, MaxWatchersPerZone)
	for _, r := range list[:max(0, min(n, MaxWatchersPerZone, len(list)))] {
		watchers = append(watchers, r.id)
	}
	return watchers
}
