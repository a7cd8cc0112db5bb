package member

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/wire"
)

const (
	// maxRecordBytes bounds the records of one heartbeat. Together with
	// maxReportBytes and the other fields, it keeps a heartbeat below the 64 KB
	// that peers accept.
	maxRecordBytes = 40 << 10
	// maxSyncBytes bounds the part of a full sync in one heartbeat.
	maxSyncBytes = 16 << 10
	// repairIntervalHeartbeats and repairRecords set the cost of anti-entropy
	// repair: a link carries repairRecords records every
	// repairIntervalHeartbeats heartbeats.
	repairIntervalHeartbeats = 16
	repairRecords            = 4
)

// gossip queues a changed record on all links except the one it came from.
func (v *View) gossip(now time.Time, r *record, from LinkID) {
	for _, l := range v.links {
		if l.id == from {
			l.drop(r)
			continue
		}
		l.queue(now, r, false)
	}
}

// BuildHeartbeat builds the next heartbeat to send on a link, or returns nil if the
// link is down.
func (v *View) BuildHeartbeat(now time.Time, id LinkID, news News) *wire.Heartbeat {
	v.detectPause(now)
	l := v.link(id)
	if l == nil {
		return nil
	}
	l.recordSent(now)
	l.nextHeartbeat = now.Add(heartbeatInterval + v.jitter(heartbeatJitter))
	h := &wire.Heartbeat{
		Incarnation: v.self.incarnation,
		Seq:         l.sentSeq,
		Heard:       l.lastReceived,
		Silence:     uint32(now.Sub(l.lastReceivedAt).Milliseconds()),
		Generation:  news.Generation,
		Roster:      news.Roster,
	}
	l.news = l.news.max(news)
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
	h.Rates = v.queuedRates(now, l)
	v.addSuspects(now, l, h)
	return h
}

// addPending adds the queued records that are new or await a resend, and returns
// the bytes left for further records.
func (v *View) addPending(now time.Time, l *link, h *wire.Heartbeat) int {
	bytesLeft := maxRecordBytes
	for _, m := range l.tombstoneReplies {
		h.Members = append(h.Members, m.wire())
		bytesLeft -= proto.Size(h.Members[len(h.Members)-1])
	}
	l.tombstoneReplies = nil
	l.pending = slices.DeleteFunc(l.pending, func(it *pendingRecord) bool { return it.removed })
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

// isSyncable reports whether r takes part in full sync and repair.
func (v *View) isSyncable(now time.Time, r *record) bool {
	return r.state != Gone || now.Sub(r.stateSince) < gossipGoneFor
}

// addSync adds the next records of a full sync, and ends the sync after the last.
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

// addRepair adds a few records from a random ring position (anti-entropy). A VM that
// missed a change gets it this way; one that has a newer record answers with it.
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
