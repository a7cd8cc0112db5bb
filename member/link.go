package member

import (
	"slices"
	"time"

	"github.com/azuredeal/azuredeal/wire"
)

// LinkID identifies a link of a view.
type LinkID uint64

const (
	// closeAfter is the silence after which a link is given up and dialed anew.
	linkTimeout = goneAfter
	// lingerFor is how long a link that is no longer chosen stays open.
	unchosenLinger = 3 * time.Second
	// unchosenTime is how long a peer that this VM has not chosen keeps its link
	// while there are more than softLinkLimit. When many VMs start at once and
	// dial the same seeds, each learns the members in that time and moves on.
	unchosenMinAge = time.Second
	// steadyAfter is the life of a link after which its address is dialed again
	// without a pause. A peer that refuses links ends them at once.
	stableLinkAge = 5 * time.Second
	// resendAfter is how long a record waits for the peer to confirm the
	// heartbeat that carried it.
	resendTimeout = 2 * time.Second
)

// link is what the view knows about one link.
type link struct {
	id                    LinkID
	remote                string
	incarnation           uint64
	dialed                string // Address that this VM dialed; empty when the peer did.
	upSince               time.Time
	sentSeq               uint64    // Last heartbeat sent.
	lastReceived          uint64    // Last heartbeat received.
	lastReceivedAt        time.Time // When that was; the start of the link before the first.
	rxDown                bool      // Others hear the peer and this VM does not.
	txDown                bool      // The peer says that it does not hear this VM.
	expired               bool      // This process was paused for so long that the peer gave up.
	nextHeartbeat         time.Time // When the next heartbeat is due.
	unchosenSince         time.Time // Since when the peer is not chosen; zero when it is.
	pending               []*item   // Records to send or to be confirmed, in order.
	pendingByRecord       map[*record]*item
	tombstoneReplies      []Member // Records of forgotten members, sent once.
	syncing               bool     // A full sync is under way.
	syncCursor            uint64   // Ring position that the sync has reached.
	heartbeatsSinceRepair int      // Heartbeats since the last slice for repair.
	reports               reportQueue
	events                map[uint32]*wire.Event // By server.
}

// item is a record that waits on a link.
type item struct {
	record   *record
	query    bool
	attempts int
	sentSeq  uint64 // Heartbeat that carried it last; 0 before the first.
	sentAt   time.Time
	removed  bool
}

func (l *link) oneWay() bool { return l.rxDown || l.txDown }

// queue adds r to what the link has to send, soon.
func (l *link) queue(now time.Time, r *record, query bool) {
	l.nextHeartbeat = now
	if it := l.pendingByRecord[r]; it != nil {
		if query && !it.query {
			return // The record itself is on its way and says more.
		}
		it.removed = true
	}
	it := &item{record: r, query: query}
	l.pendingByRecord[r] = it
	l.pending = append(l.pending, it)
}

// known notes that the peer holds the record as it is here.
func (l *link) ackRecord(r *record) {
	if it := l.pendingByRecord[r]; it != nil && !it.query {
		l.drop(r)
	}
}

func (l *link) drop(r *record) {
	if it := l.pendingByRecord[r]; it != nil {
		it.removed = true
		delete(l.pendingByRecord, r)
	}
}

// confirmed drops what heartbeats up to seq carried.
func (l *link) ackThrough(sentSeq uint64) {
	for _, it := range l.pending {
		if !it.removed && it.sentSeq != 0 && it.sentSeq <= sentSeq {
			l.drop(it.record)
		}
	}
}

// resumed starts the silence of the link afresh after a pause of this process.
// After a long one the peer has given the link up, and what waits on it is old.
func (l *link) resetAfterPause(now time.Time, pause time.Duration) {
	l.expired = l.expired || pause >= linkTimeout
	l.lastReceivedAt = now
	l.rxDown, l.txDown = false, false
}

// LinkUp registers a link after Hello. remote is the peer's own record, dialed
// the address that this VM dialed or "" when the peer did. It returns 0 when the
// link is refused and must be closed.
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
		upSince: now, lastReceivedAt: now, nextHeartbeat: now, pendingByRecord: map[*record]*item{},
	}
	v.links = append(v.links, l)
	v.merge(now, l, m)
	if r := v.members[m.id]; r != nil && r.incarnation == m.incarnation {
		r.lastReceived = now // Hello went both ways.
	}
	// The peer may have had no link for a while, which this VM cannot tell, and
	// has then missed what spread in that time.
	l.syncing = true
	return l.id
}

// LinkDown removes a link that has ended.
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

// heardOn notes a heartbeat and what it says about the other direction.
func (v *View) recordHeartbeat(now time.Time, l *link, h *wire.Heartbeat) {
	l.lastReceived = max(l.lastReceived, h.GetSeq())
	l.lastReceivedAt = now
	l.rxDown = false
	l.ackThrough(h.GetHeard())
	silence := time.Duration(h.GetSilence()) * time.Millisecond
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

// markOneWay keeps this VM from choosing the peer for a while, so that records
// and reports travel around the cut.
func (v *View) markOneWay(now time.Time, r *record) {
	v.stats.OneWayLinks++
	r.avoidUntil = now.Add(avoidFor)
	v.peersDirty = true
}

// judgeLinks marks links on which a peer is silent that others hear.
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

// closing returns the links to give up: silent ones, those that are no longer
// chosen, all but the newest of several to one peer, and unchosen links above the limit.
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

// isSpare reports whether a newer link to the same peer makes l unneeded. Only
// the VM with the higher ring position closes it, so that the two do not close
// one each.
func (v *View) isDuplicate(l *link, newer []*link) bool {
	if v.self.hash < hashID(l.remote) {
		return false
	}
	return slices.ContainsFunc(newer, func(o *link) bool {
		return o.remote == l.remote && o.incarnation == l.incarnation && o.lastReceived > 0
	})
}
