package member

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/wire"
)

const (
	// recordBytes bounds the records of one heartbeat. With reportBytes and the
	// other fields it keeps a heartbeat below the 64 KB that peers accept.
	recordBytes = 40 << 10
	// syncBytes is the size of one slice of a full sync.
	syncBytes = 16 << 10
	// repairEvery and repairSlice set the cost of repair: so many records on a
	// link each so many heartbeats.
	repairEvery = 16
	repairSlice = 4
)

// spread queues a changed record on all links but the one it came from.
func (v *View) spread(now time.Time, r *record, from LinkID) {
	for _, l := range v.links {
		if l.id == from {
			l.drop(r)
			continue
		}
		l.queue(now, r, false)
	}
}

// BuildHeartbeat builds the heartbeat that goes out on a link now, or nil when the link
// is down. generation is that of the release in effect, 0 when there is none.
func (v *View) BuildHeartbeat(now time.Time, id LinkID, generation uint64) *wire.Heartbeat {
	v.advance(now)
	l := v.link(id)
	if l == nil {
		return nil
	}
	l.seq++
	l.due = now.Add(heartbeatEvery + v.jitter(heartbeatJitter))
	h := &wire.Heartbeat{
		Incarnation: v.self.incarnation,
		Seq:         l.seq,
		Heard:       l.heard,
		Silence:     uint32(now.Sub(l.heardAt).Milliseconds()),
		Generation:  generation,
	}
	room := v.addPending(now, l, h)
	if l.syncing {
		v.addSync(now, l, h, min(room, syncBytes))
	} else if l.beats++; l.beats >= repairEvery {
		l.beats = 0
		v.addRepair(now, h, room)
	}
	v.addReports(now, l, h)
	for _, server := range slices.Sorted(maps.Keys(l.events)) {
		h.Events = append(h.Events, l.events[server])
	}
	clear(l.events)
	return h
}

// addPending adds the records that wait on the link and returns the room left.
func (v *View) addPending(now time.Time, l *link, h *wire.Heartbeat) int {
	room := recordBytes
	for _, m := range l.answers {
		h.Members = append(h.Members, m.wire())
		room -= proto.Size(h.Members[len(h.Members)-1])
	}
	l.answers = nil
	l.pending = slices.DeleteFunc(l.pending, func(it *item) bool { return it.done })
	for _, it := range l.pending {
		if it.seq != 0 && now.Sub(it.at) < resendAfter {
			continue
		}
		if it.tries >= v.rounds() {
			l.drop(it.record)
			continue
		}
		w := it.record.wire()
		if it.question && it.record.runs() {
			w = it.record.question()
		}
		size := proto.Size(w)
		if size > room {
			l.due = now
			break
		}
		room -= size
		h.Members = append(h.Members, w)
		it.tries++
		it.seq = l.seq
		it.at = now
	}
	return room
}

// isTold reports whether r takes part in sync and repair.
func (v *View) isTold(now time.Time, r *record) bool {
	return r.state != Gone || now.Sub(r.since) < spreadGone
}

// addSync adds the next slice of a full sync.
func (v *View) addSync(now time.Time, l *link, h *wire.Heartbeat, room int) {
	at, _ := slices.BinarySearchFunc(v.ring, l.cursor, func(r *record, cursor uint64) int {
		if r.hash < cursor {
			return -1
		}
		return 1
	})
	for _, r := range v.ring[at:] {
		if !v.isTold(now, r) || r.id == l.remote {
			continue
		}
		w := r.wire()
		if room -= proto.Size(w); room < 0 {
			l.cursor = r.hash
			l.due = now
			return
		}
		h.Members = append(h.Members, w)
	}
	l.syncing = false
}

// addRepair adds a few records from a random place. A VM that missed a change
// gets it this way, or answers an outdated record with its own.
func (v *View) addRepair(now time.Time, h *wire.Heartbeat, room int) {
	start := v.rng.IntN(len(v.ring))
	for i := range min(repairSlice, len(v.ring)) {
		r := v.ring[(start+i)%len(v.ring)]
		if !v.isTold(now, r) {
			continue
		}
		w := r.wire()
		if room -= proto.Size(w); room < 0 {
			return
		}
		h.Members = append(h.Members, w)
	}
}
