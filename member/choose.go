package member

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	// peersPerVM is the number of peers that a VM chooses and dials, besides its
	// neighbours in the availability zone. Links from peers that chose this VM come
	// in addition.
	peersPerVM = 8
	// zoneNeighbours is the number of VMs of its own availability zone that a VM dials,
	// the next ones in the order of their ids. With those that dial it, it is linked to
	// all VMs within this distance, with which it shares most of its backend servers.
	zoneNeighbours = 4
)

// Peers returns the members that this VM has chosen as peers.
func (v *View) Peers() []Member {
	out := make([]Member, len(v.chosen))
	for i, r := range v.chosen {
		out[i] = r.Member
	}
	return out
}

// choosePeers selects the peers again if the view has changed: the two ring
// neighbours, one member of each other availability zone, some by rendezvous hash, and
// the neighbours in its own zone.
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
		r := v.bestCandidate(func(*record) bool { return true })
		if r == nil {
			break
		}
		v.addPeer(r)
	}
	if v.zoneSharing {
		v.chooseZoneNeighbours()
	}
}

// peerLimit returns how many peers this VM chooses: all other members up to
// fullMeshMaxVMs members, and peersPerVM above.
func (v *View) peerLimit() int {
	if len(v.ring) <= v.fullMeshMaxVMs {
		return max(peersPerVM, len(v.ring)-1)
	}
	return peersPerVM
}

// addPeer marks r as chosen.
func (v *View) addPeer(r *record) {
	r.chosen = true
	v.chosen = append(v.chosen, r)
}

// isCandidate excludes this VM, members that are gone or chosen already, members
// without a peer address, and those avoided after a one-way failure of the network.
func (v *View) isCandidate(r *record) bool {
	return r != v.self && r.state != Gone && !r.chosen && r.avoidUntil.IsZero() && r.peer != ""
}

// chooseRingNeighbours chooses the next candidate on the ring in each direction.
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

// chooseZonePeers chooses one member of each availability zone that has no
// chosen peer yet.
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
		v.addPeer(v.bestCandidate(func(r *record) bool { return r.zone == zone }))
	}
}

// chooseZoneNeighbours chooses the next VMs of the own availability zone in the order of
// their ids, unless they are chosen already.
func (v *View) chooseZoneNeighbours() {
	var zone []*record
	for _, r := range v.ring {
		if r.zone == v.self.zone && (r == v.self || r.state == Alive) {
			zone = append(zone, r)
		}
	}
	slices.SortFunc(zone, func(a, b *record) int { return cmp.Compare(a.id, b.id) })
	self := slices.Index(zone, v.self)
	for i := 1; i <= zoneNeighbours && i < len(zone); i++ {
		if r := zone[(self+i)%len(zone)]; v.isCandidate(r) {
			v.addPeer(r)
		}
	}
}

// bestCandidate returns the matching candidate with the highest rendezvous hash, or nil.
// The hash of a pair is asymmetric: with a symmetric hash, VMs choose each other
// and have only peersPerVM links in total, and of 1,300 VMs one often loses all
// its peers when a third of the fleet fails.
func (v *View) bestCandidate(match func(r *record) bool) *record {
	var bestCandidate *record
	var topHash uint64
	for _, r := range v.ring {
		if !v.isCandidate(r) || !match(r) {
			continue
		}
		if h := mix64(r.hash ^ bits.RotateLeft64(v.self.hash, 1)); bestCandidate == nil || h > topHash {
			bestCandidate, topHash = r, h
		}
	}
	return bestCandidate
}
