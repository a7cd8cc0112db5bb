package member

import (
	"slices"
	"time"

	"github.com/azuredeal/azuredeal/wire"
)

// LinkID identifies a link of a view.
type LinkID uint64

const (
	// linkTimeout is the silence after which a link is closed; it may then be
	// dialed again.
	linkTimeout = goneAfter
	// unchosenLinger is how long a link that this VM dialed stays open once its
	// peer is no longer chosen.
	unchosenLinger = 3 * time.Second
	// unchosenMinAge is the age from which a link to a peer that this VM has not
	// chosen may be closed while there are more than softLinkLimit links. When
	// many VMs start at once and dial the same seeds, each learns the members
	// within that time and links to its own peers.
	unchosenMinAge = time.Second
	// stableLinkAge is the age from which the end of a link counts as no failed
	// dial, so that its address is dialed again without backoff. A peer that
	// refuses links closes them at once.
	stableLinkAge = 5 * time.Second
	// resendTimeout is how long a record waits for the peer to acknowledge the
	// heartbeat that carried it before it is sent again.
	resendTimeout = 2 * time.Second
	// maxSentHeartbeats bounds the heartbeats of a link whose times of sending are kept.
	maxSentHeartbeats = 64
)

// link is the state of one link.
type link struct {
	id                    LinkID
	remote                string // Id of the peer.
	incarnation           uint64
	dialed                string // Address that this VM dialed; empty if the peer dialed.
	upSince               time.Time
	sentSeq               uint64           // Sequence number of the last heartbeat sent.
	lastReceived          uint64           // Sequence number of the last heartbeat received.
	lastReceivedAt        time.Time        // Time of the last heartbeat received; start of the link before the first.
	rxDown                bool             // The peer's heartbeats reach other VMs, but not this one.
	txDown                bool             // The peer reports that it receives no heartbeats of this VM.
	expired               bool             // This process was paused for longer than linkTimeout, so the peer has closed the link.
	nextHeartbeat         time.Time        // Time at which the next heartbeat is due.
	unchosenSince         time.Time        // Time since which the peer is not chosen; zero while it is.
	pending               []*pendingRecord // Records to send or awaiting acknowledgment, in order.
	pendingByRecord       map[*record]*pendingRecord
	tombstoneReplies      []Member // Tombstones that answer outdated records, each sent once.
	syncing               bool     // A full sync is in progress.
	syncCursor            uint64   // Ring position that the full sync has reached.
	heartbeatsSinceRepair int
	news                  News            // The newest changes that either side has told the other of.
	sent                  []sentHeartbeat // Heartbeats whose arrival the peer may still confirm, in order.
	delay                 time.Duration   // How long the last heartbeat received may have been on its way.
	delayKnown            bool
	reports               reportQueue
	events                map[uint32]*wire.Event // By backend server.
	rates                 map[uint64]bool        // Backend servers whose stated rates are queued.
	suspects              map[uint64]queuedSuspect
}

// pendingRecord is a record in the send queue of a link.
type pendingRecord struct {
	record   *record
	query    bool // Send the query about the record instead of the record.
	attempts int
	sentSeq  uint64 // Sequence number of the heartbeat that last carried it; 0 before the first.
	sentAt   time.Time
	removed  bool
}

// sentHeartbeat is a heartbeat that was sent on a link.
type sentHeartbeat struct {
	seq uint64
	at  time.Time
}

// recordSent records that the next heartbeat is sent.
func (l *link) recordSent(now time.Time) {
	l.sentSeq++
	if len(l.sent) == maxSentHeartbeats {
		l.sent = l.sent[1:]
	}
	l.sent = append(l.sent, sentHeartbeat{l.sentSeq, now})
}

// recordDelay takes in which heartbeat the peer had received last when it sent one, and how long
// before. The peer cannot have received it before it was sent, which bounds how old its own is: it may
// have been held up in either process or on the link.
func (l *link) recordDelay(now time.Time, heard uint64, silence time.Duration) {
	l.sent = slices.DeleteFunc(l.sent, func(s sentHeartbeat) bool { return s.seq < heard })
	l.delayKnown = len(l.sent) > 0 && l.sent[0].seq == heard
	if l.delayKnown {
		l.delay = max(0, now.Sub(l.sent[0].at)-silence)
	}
}

// oneWay reports whether heartbeats arrive in at most one direction.
func (l *link) oneWay() bool { return l.rxDown || l.txDown }

// queue adds r, or the query about it, to the send queue and makes a heartbeat
// due now. It replaces an earlier entry for r.
func (l *link) queue(now time.Time, r *record, query bool) {
	l.nextHeartbeat = now
	if it := l.pendingByRecord[r]; it != nil {
		if query && !it.query {
			return // The record itself is queued and carries more than the query.
		}
		it.removed = true
	}
	it := &pendingRecord{record: r, query: query}
	l.pendingByRecord[r] = it
	l.pending = append(l.pending, it)
}

// ackRecord drops a queued record because the peer has the same record.
func (l *link) ackRecord(r *record) {
	if it := l.pendingByRecord[r]; it != nil && !it.query {
		l.drop(r)
	}
}

// drop removes r from the send queue.
func (l *link) drop(r *record) {
	if it := l.pendingByRecord[r]; it != nil {
		it.removed = true
		delete(l.pendingByRecord, r)
	}
}

// ackThrough drops the records that were last carried by heartbeats up to sentSeq,
// which the peer has acknowledged.
func (l *link) ackThrough(sentSeq uint64) {
	for _, it := range l.pending {
		if !it.removed && it.sentSeq != 0 && it.sentSeq <= sentSeq {
			l.drop(it.record)
		}
	}
}

// resetAfterPause restarts the silence timer of the link after a pause of this
// process. A pause of linkTimeout or more expires the link: the peer has closed
// it by then, and heartbeats buffered on it are outdated.
func (l *link) resetAfterPause(now time.Time, pause time.Duration) {
	l.expired = l.expired || pause >= linkTimeout
	l.lastReceivedAt = now
	l.rxDown, l.txDown = false, false
}

// LinkUp registers a link after the exchange of Hello messages. remote is the
// peer's own record; dialed is the address that this VM dialed, or "" if the peer
// dialed. It returns 0 if the link is refused and must be closed.
func (v *View) LinkUp(now time.Time, remote *wire.Member, dialed string) LinkID {
	v.detectPause(now)
	m, ok := fromWire(remote)
	if !ok || m.id == v.self.id || len(v.links) >= maxLinks {
		if ok && m.id == v.self.id && m.incarnation > v.self.incarnation {
			v.replaced = true
		}
		v.DialFailed(now, dialed)
		return 0
	}
	if t := v.dialTargets[dialed]; t != nil {
		t.inProgress = false
	}
	v.lastLinkID++
	l := &link{
		id: v.lastLinkID, remote: m.id, incarnation: m.incarnation, dialed: dialed,
		upSince: now, lastReceivedAt: now, nextHeartbeat: now, pendingByRecord: map[*record]*pendingRecord{},
		rates: v.ratesOfNewLink(now),
	}
	v.links = append(v.links, l)
	v.merge(now, l, m)
	if r := v.members[m.id]; r != nil && r.incarnation == m.incarnation {
		r.lastReceived = now // The exchange of Hello shows that both directions work.
	}
	// The peer may have been without links for a while, which this VM cannot
	// detect, and has then missed changes.
	l.syncing = true
	return l.id
}

// LinkDown removes a link that has ended. The end of a link younger than
// stableLinkAge counts as a failed dial.
func (v *View) LinkDown(now time.Time, id LinkID) {
	v.detectPause(now)
	l := v.link(id)
	if l == nil {
		return
	}
	v.links = slices.DeleteFunc(v.links, func(o *link) bool { return o == l })
	if now.Sub(l.upSince) < stableLinkAge {
		v.DialFailed(now, l.dialed)
	} else {
		delete(v.dialTargets, l.dialed)
	}
}

// link returns the link with the given id, or nil.
func (v *View) link(id LinkID) *link {
	for _, l := range v.links {
		if l.id == id {
			return l
		}
	}
	return nil
}

// linkTo returns the newest link to the current incarnation of r, or nil.
func (v *View) linkTo(r *record) *link {
	for _, l := range slices.Backward(v.links) {
		if l.remote == r.id && l.incarnation == r.incarnation {
			return l
		}
	}
	return nil
}

// recordHeartbeat updates a link from a heartbeat, including the peer's report on
// the opposite direction.
func (v *View) recordHeartbeat(now time.Time, l *link, h *wire.Heartbeat) {
	l.lastReceived = max(l.lastReceived, h.GetSeq())
	l.lastReceivedAt = now
	l.rxDown = false
	l.news = l.news.max(News{Generation: h.GetGeneration(), Roster: h.GetRoster()})
	l.ackThrough(h.GetHeard())
	silence := time.Duration(h.GetSilence()) * time.Millisecond
	l.recordDelay(now, h.GetHeard(), silence)
	wasOneWay := l.oneWay()
	l.txDown = silence >= suspectAfter
	r := v.members[l.remote]
	if r == nil || r.incarnation != l.incarnation {
		return
	}
	r.lastReceived = now
	if l.txDown && !wasOneWay {
		v.markOneWay(now, r)
	}
}

// markOneWay excludes a peer from selection for avoidFor, so that records and
// reports travel around the failed direction.
func (v *View) markOneWay(now time.Time, r *record) {
	v.stats.OneWayLinks++
	r.avoidUntil = now.Add(avoidFor)
	v.peersDirty = true
}

// detectOneWayLinks marks links on which no heartbeat arrives although the peer
// reaches other VMs.
func (v *View) detectOneWayLinks(now time.Time) {
	for _, l := range v.links {
		r := v.members[l.remote]
		if l.rxDown || r == nil || r.incarnation != l.incarnation || now.Sub(l.lastReceivedAt) < suspectAfter {
			continue
		}
		if r.raisedVersionAfter(l.lastReceivedAt) || r.lastReceived.Sub(l.lastReceivedAt) >= queryAfter {
			wasOneWay := l.oneWay()
			l.rxDown = true
			if !wasOneWay {
				v.markOneWay(now, r)
			}
		}
	}
}

// linksToClose returns the links to close: expired and silent ones, dialed ones
// whose peer is no longer chosen, duplicates, and unchosen ones above
// softLinkLimit.
func (v *View) linksToClose(now time.Time) []LinkID {
	var out []LinkID
	excess := len(v.links) - softLinkLimit
	for i, l := range v.links {
		r := v.members[l.remote]
		if r != nil && r.chosen {
			l.unchosenSince = time.Time{}
		} else if l.unchosenSince.IsZero() {
			l.unchosenSince = now
		}
		switch {
		case l.expired, now.Sub(l.lastReceivedAt) >= linkTimeout,
			l.dialed != "" && !l.unchosenSince.IsZero() && now.Sub(l.unchosenSince) >= unchosenLinger,
			v.isDuplicate(l, v.links[i+1:]):
			out = append(out, l.id)
			excess--
		case excess > 0 && !l.unchosenSince.IsZero() && !l.syncing && now.Sub(l.upSince) >= unchosenMinAge:
			out = append(out, l.id)
			excess--
		}
	}
	return out
}

// isDuplicate reports whether a newer working link to the same process makes l
// redundant. Only the VM with the higher ring position closes it: otherwise each
// of the two VMs may close a different link.
func (v *View) isDuplicate(l *link, newer []*link) bool {
	if v.self.hash < hashID(l.remote) {
		return false
	}
	return slices.ContainsFunc(newer, func(o *link) bool {
		return o.remote == l.remote && o.incarnation == l.incarnation && o.lastReceived > 0
	})
}
