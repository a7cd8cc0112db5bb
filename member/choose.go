package member

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

// peersPerVM is how many peers a VM links to. Peers that chose this VM come on
// top.
const peersPerVM = 8

// Peers returns the members that this VM links to.
func (v *View) Peers() []Member {
	out := make([]Member, len(v.chosen))
	for i, r := range v.chosen {
		out[i] = r.Member
	}
	return out
}

// choose picks the peers anew when the view has changed: the neighbours on the
// ring, one in each other zone, and the rest by rendezvous hash.
func (v *View) choosePeers(now time.Time) {
	for _, r := range v.ring {
		if !r.avoidUntil.IsZero() && !now.Before(r.avoidUntil) {
			r.avoidUntil = time.Time{}
			v.peersDirty = true
		}
	}
	if !v.peersDirty {
		return
	}
	v.peersDirty = false
	for _, r := range v.chosen {
		r.chosen = false
	}
	v.chosen = v.chosen[:0]
	v.chooseRingNeighbours()
	v.chooseZonePeers()
	for len(v.chosen) < v.peerLimit() {
		r := v.best(func(*record) bool { return true })
		if r == nil {
			break
		}
		v.addPeer(r)
	}
}

// wanted returns how many peers this VM chooses.
func (v *View) peerLimit() int {
	if len(v.ring) <= v.fullMeshMaxVMs {
		return max(peersPerVM, len(v.ring)-1)
	}
	return peersPerVM
}

func (v *View) addPeer(r *record) {
	r.chosen = true
	v.chosen = append(v.chosen, r)
}

// canChoose leaves out this VM, members that are gone, chosen ones and those
// that are avoided after a one-way cut.
func (v *View) isCandidate(r *record) bool {
	return r != v.self && r.state != Gone && !r.chosen && r.avoidUntil.IsZero() && r.peer != ""
}

func (v *View) chooseRingNeighbours() {
	pos, _ := slices.BinarySearchFunc(v.ring, v.self, compareRing)
	n := len(v.ring)
	for _, step := range []int{1, n - 1} {
		for i := (pos + step) % n; i != pos; i = (i + step) % n {
			if r := v.ring[i]; v.isCandidate(r) {
				v.addPeer(r)
				break
			}
		}
	}
}

func (v *View) chooseZonePeers() {
	zones := map[string]bool{}
	for _, r := range v.ring {
		if v.isCandidate(r) && r.zone != v.self.zone {
			zones[r.zone] = true
		}
	}
	for _, r := range v.chosen {
		delete(zones, r.zone)
	}
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		if len(v.chosen) >= peersPerVM {
			return
		}
		v.addPeer(v.best(func(r *record) bool { return r.zone == zone }))
	}
}

// best returns the candidate with the highest rendezvous hash, or nil. The hash
// differs between the two directions of a pair: were it the same, VMs would
// choose each other, have only peersPerVM links in all, and of 1,300 VMs one
// would often lose all its peers with a third of the fleet.
func (v *View) best(match func(r *record) bool) *record {
	var best *record
	var topHash uint64
	for _, r := range v.ring {
		if !v.isCandidate(r) || !match(r) {
			continue
		}
		if h := mix64(r.hash ^ bits.RotateLeft64(v.self.hash, 1)); best == nil || h > topHash {
			best, topHash = r, h
		}
	}
	return best
}
