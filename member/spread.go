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
	maxRecordBytes = 40 << 10
	// syncBytes is the size of one slice of a full sync.
	maxSyncBytes = 16 << 10
	// repairEvery and repairSlice set the cost of repair: so many records on a
	// link each so many heartbeats.
	repairIntervalHeartbeats = 16
	repairRecords            = 4
)

// spread queues a changed record on all links but the one it came from.
func (v *View) gossip(now time.Time, r *record, from LinkID) {
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
	v.detectPause(now)
	l := v.link(id)
	if l == nil {
		return nil
	}
	l.sentSeq++
	l.nextHeartbeat = now.Add(heartbeatInterval + v.jitter(heartbeatJitter))
	h := &wire.Heartbeat{
		Incarnation: v.self.incarnation,
		Seq:         l.sentSeq,
		Heard:       l.lastReceived,
		Silence:     uint32(now.Sub(l.lastReceivedAt).Milliseconds()),
		Generation:  generation,
	}
	bytesLeft := v.addPending(now, l, h)
	if l.syncing {
		v.addSync(now, l, h, min(bytesLeft, maxSyncBytes))
	} else if l.heartbeatsSinceRepair++; l.heartbeatsSinceRepair >= repairIntervalHeartbeats {
		l.heartbeatsSinceRepair = 0
		v.addRepair(now, h, bytesLeft)
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
	bytesLeft := maxRecordBytes
	for _, m := range l.tombstoneReplies {
		h.Members = append(h.Members, m.wire())
		bytesLeft -= proto.Size(h.Members[len(h.Members)-1])
	}
	l.tombstoneReplies = nil
	l.pending = slices.DeleteFunc(l.pending, func(it *item) bool { return it.removed })
	for _, it := range l.pending {
		if it.sentSeq != 0 && now.Sub(it.sentAt) < resendTimeout {
			continue
		}
		if it.attempts >= v.maxSends() {
			l.drop(it.record)
			continue
		}
		w := it.record.wire()
		if it.query && it.record.isRunning() {
			w = it.record.query()
		}
		size := proto.Size(w)
		if size > bytesLeft {
			l.nextHeartbeat = now
			break
		}
		bytesLeft -= size
		h.Members = append(h.Members, w)
		it.attempts++
		it.sentSeq = l.sentSeq
		it.sentAt = now
	}
	return bytesLeft
}

// isTold reports whether r takes part in sync and repair.
func (v *View) isSyncable(now time.Time, r *record) bool {
	return r.state != Gone || now.Sub(r.stateSince) < gossipGoneFor
}

// addSync adds the next slice of a full sync.
func (v *View) addSync(now time.Time, l *link, h *wire.Heartbeat, bytesLeft int) {
	pos, _ := slices.BinarySearchFunc(v.ring, l.syncCursor, func(r *record, syncCursor uint64) int {
		if r.hash < syncCursor {
			return -1
		}
		return 1
	})
	for _, r := range v.ring[pos:] {
		if !v.isSyncable(now, r) || r.id == l.remote {
			continue
		}
		w := r.wire()
		if bytesLeft -= proto.Size(w); bytesLeft < 0 {
			l.syncCursor = r.hash
			l.nextHeartbeat = now
			return
		}
		h.Members = append(h.Members, w)
	}
	l.syncing = false
}

// addRepair adds a few records from a random place. A VM that missed a change
// gets it this way, or answers an outdated record with its own.
func (v *View) addRepair(now time.Time, h *wire.Heartbeat, bytesLeft int) {
	start := v.rng.IntN(len(v.ring))
	for i := range min(repairRecords, len(v.ring)) {
		r := v.ring[(start+i)%len(v.ring)]
		if !v.isSyncable(now, r) {
			continue
		}
		w := r.wire()
		if bytesLeft -= proto.Size(w); bytesLeft < 0 {
			return
		}
		h.Members = append(h.Members, w)
	}
}
