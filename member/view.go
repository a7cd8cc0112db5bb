// Package member implements fleet membership: each entry VM's view of the other
// VMs. View is the protocol state machine: it takes the time as an argument and
// does no I/O. Driver runs it over links of package peer. Each VM links to a
// bounded number of peers, sends heartbeats on these links only, and gossips
// changed records from link to link.
package member

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/wire"
)

// Intervals and timeouts of the protocol.
const (
	// heartbeatInterval is the interval of heartbeats on a link, with a jitter of
	// ±heartbeatJitter, which keeps the VMs from sending in lockstep.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatJitter   = 50 * time.Millisecond
	// queryAfter is the silence after which a VM queries the fleet whether any VM
	// receives heartbeats of a member. It leaves one second for the answer before
	// suspectAfter.
	queryAfter   = time.Second
	suspectAfter = 2 * time.Second
	goneAfter    = 6 * time.Second
	// refuteTimeout is the time that a member declared gone by another VM has to
	// raise its version before a view that considers it alive suspects it.
	refuteTimeout = 2 * time.Second
	// avoidFor is how long a peer is not chosen after a one-way failure of the
	// network between it and this VM.
	avoidFor = 30 * time.Second
	// forgetAfter is how long the record of a member that is gone is kept. Its
	// address is dialed from time to time until then, so forgetAfter must exceed
	// a partition between regions of an hour.
	forgetAfter = 2 * time.Hour
	// tombstoneTTL is how long the version of a forgotten member is kept, so that
	// an old record cannot bring it back.
	tombstoneTTL = 24 * time.Hour
	// gossipGoneFor is how long a record in state Gone takes part in full sync and
	// repair. Without the limit, VMs that start would pass such records on to each
	// other forever.
	gossipGoneFor = 2 * time.Minute
)

// Bounds of the view.
const (
	maxMembers    = 8192 // Records of a view.
	maxTombstones = 8192
	maxLinks      = 64
	// softLinkLimit is the number of links above which links to unchosen peers are
	// closed. In a stable fleet a VM has about 14 links, 24 where it shares backend
	// servers within its zone, and 34 at the tail of the distribution. A limit within
	// the distribution would close links that their peers open again at once.
	softLinkLimit = 48
)

// record is a member together with the local observations of this VM.
type record struct {
	Member
	hash            uint64
	stateSince      time.Time // Start of the state in this view; restarted for suspects after a pause.
	lastReceived    time.Time // Time of the last heartbeat on a link of this VM.
	versionRaisedAt time.Time // Time at which this VM last learned of a newer version of the running member.
	watchedSince    time.Time // Time since which this VM watches it; zero while it does not.
	queriedVersion  uint64    // Last version that this VM forwarded a query about.
	goneReportedAt  time.Time // Time at which another VM reported this version, alive in this view, as gone.
	avoidUntil      time.Time // End of the exclusion from peer selection; zero when there is none.
	chosen          bool
}

// tombstone is the version of a forgotten member.
type tombstone struct {
	incarnation, version uint64
	createdAt            time.Time
}

// Change is a state change of a member.
type Change struct {
	// Member is the record after the change.
	Member Member
	// From is the state before the change, Unknown for a new member.
	From State
}

// Plan lists the actions that Tick requests from the driver.
type Plan struct {
	Dial    []string // Peer addresses to dial; the driver reports the result to LinkUp or DialFailed.
	Close   []LinkID
	Send    []LinkID // Links whose heartbeat is due; BuildHeartbeat builds it.
	Changes []Change // Since the last Tick.
	// Replaced is set once a process with the same id and a higher incarnation
	// has appeared.
	Replaced bool
}

// View is one VM's view of the fleet. It is not safe for concurrent use.
type View struct {
	self         *record
	members      map[string]*record
	ring         []*record // All records, sorted by hash, then id.
	tombstones   map[string]tombstone
	links        []*link // In order of creation.
	lastLinkID   LinkID
	dialTargets  map[string]*dialTarget
	seeds        []string
	discovered   []discoveredVM
	reports      reportTable
	rates        map[uint64]rateEntry // By backend server.
	suspectBytes suspectBucket
	rng          *rand.Rand

	fullMeshMaxVMs int  // Number of members up to which all are chosen as peers.
	zoneSharing    bool // VMs share backend servers with their neighbours in the availability zone.
	chosen         []*record
	peersDirty     bool
	lastCall       time.Time // Time of the last method call.
	nextExplore    time.Time // Time of the next dial to an unknown address.
	nextRevisit    time.Time // Time of the next dial to a member that is gone.
	changes        []Change
	replaced       bool
	stats          Stats
}

// Stats counts events of a view since its start.
type Stats struct {
	Queries         uint64 `json:"queries"`     // Queries that this VM started.
	Refutations     uint64 `json:"refutations"` // Suspicions and queries that this VM refuted by raising its version.
	OneWayLinks     uint64 `json:"oneway"`      // Links that became one-way.
	OutdatedRecords uint64 `json:"outdated"`    // Received records that were older than this VM's.
	Pauses          uint64 `json:"resumed"`     // Pauses of this process of at least suspectAfter.
}

// NewView returns a view that contains only self. seed seeds jitter and shuffles;
// equal inputs give equal outputs.
func NewView(now time.Time, self Member, seeds []string, seed uint64) *View {
	r := &record{Member: self, hash: hashID(self.id), stateSince: now}
	v := &View{
		self:        r,
		members:     map[string]*record{self.id: r},
		ring:        []*record{r},
		tombstones:  map[string]tombstone{},
		dialTargets: map[string]*dialTarget{},
		rates:       map[uint64]rateEntry{},
		seeds:       slices.Clone(seeds),
		rng:         rand.New(rand.NewPCG(seed, r.hash)),
		lastCall:    now,
	}
	v.reports.init()
	return v
}

// Self returns this VM's own record.
func (v *View) Self() Member { return v.self.Member }

// Stats returns the counts of events since the start.
func (v *View) Stats() Stats { return v.stats }

// Members returns all records, including those in state Gone, by ring position.
func (v *View) Members() []Member {
	out := make([]Member, len(v.ring))
	for i, r := range v.ring {
		out[i] = r.Member
	}
	return out
}

// Leave announces the graceful shutdown of this VM.
func (v *View) Leave(now time.Time) {
	v.detectPause(now)
	if v.self.state != Leaving {
		v.raiseVersion(now, Leaving)
	}
}

// discoveredVM is a VM that may exist, known by the platform's list or a forgotten
// record.
type discoveredVM struct{ id, addr string }

// News are the newest changes that a VM knows of, 0 when none.
type News struct {
	Generation uint64 // Of the applied release.
	Roster     uint64 // Of the set of backend servers.
}

func (n News) max(other News) News {
	return News{Generation: max(n.Generation, other.Generation), Roster: max(n.Roster, other.Roster)}
}

// Announce makes a heartbeat due on every link whose peer has not been told of the news and
// has not told of them. In a full mesh only a VM that has them first hand hurries; the
// others' regular heartbeats reach those that missed it.
func (v *View) Announce(now time.Time, news News, firstHand bool) {
	if !firstHand && len(v.ring) <= v.fullMeshMaxVMs {
		return
	}
	for _, l := range v.links {
		if l.news.max(news) != l.news {
			l.nextHeartbeat = now
		}
	}
}

// SetDiscoveredVMs sets the platform's list of VMs, which may be outdated, as
// addresses to dial. It changes no record. An empty list is ignored.
func (v *View) SetDiscoveredVMs(vms []store.VM) {
	if len(vms) == 0 {
		return
	}
	v.discovered = v.discovered[:0]
	for _, vm := range vms[:min(len(vms), maxMembers)] {
		v.discovered = append(v.discovered, discoveredVM{id: vm.ID, addr: vm.Peer})
	}
}

// Tick processes all timers and returns the actions due. The driver calls it every
// 100 ms.
func (v *View) Tick(now time.Time) Plan {
	v.detectPause(now)
	v.expire(now)
	v.watch(now)
	v.detectOneWayLinks(now)
	v.checkSilence(now)
	var p Plan
	p.Close = v.linksToClose(now)
	p.Dial = v.addrsToDial(now)
	for _, l := range v.links {
		if !now.Before(l.nextHeartbeat) && !slices.Contains(p.Close, l.id) {
			p.Send = append(p.Send, l.id)
		}
	}
	p.Changes, v.changes = v.changes, nil
	p.Replaced = v.replaced
	return p
}

// detectPause detects a pause of this process from the time since the last method
// call. It then restarts the timers, since the process itself missed the
// heartbeats, and raises its version.
func (v *View) detectPause(now time.Time) {
	pause := now.Sub(v.lastCall)
	v.lastCall = now
	if pause < suspectAfter {
		return
	}
	v.stats.Pauses++
	for _, r := range v.ring {
		if !r.watchedSince.IsZero() {
			r.watchedSince = now
		}
		if r.state == Suspect {
			r.stateSince = now
		}
		r.goneReportedAt = time.Time{}
	}
	for _, l := range v.links {
		l.resetAfterPause(now, pause)
	}
	if pause >= forgetAfter {
		v.forgetAll(now)
	}
	// Other VMs may consider this version gone.
	v.raiseVersion(now, v.self.state)
}

// forgetAll removes all records, which are too old to gossip after a pause of
// forgetAfter, and keeps their addresses to dial.
func (v *View) forgetAll(now time.Time) {
	for _, r := range slices.Clone(v.ring) {
		if r != v.self {
			v.discovered = append(v.discovered, discoveredVM{id: r.id, addr: r.peer})
			v.remove(now, r)
		}
	}
}

// expire sets suspects whose time is up to Gone, suspects members that did not
// refute a report of state Gone, and removes old records and tombstones.
func (v *View) expire(now time.Time) {
	var old []*record
	for _, r := range v.ring {
		switch {
		case r == v.self:
		case r.state == Suspect && now.Sub(laterTime(r.stateSince, r.lastReceived)) >= goneAfter-suspectAfter:
			v.setState(now, r, Gone)
		case r.state == Gone && now.Sub(r.stateSince) >= forgetAfter:
			old = append(old, r)
		case !r.goneReportedAt.IsZero() && now.Sub(r.goneReportedAt) >= refuteTimeout:
			goneReportedAt := r.goneReportedAt
			r.goneReportedAt = time.Time{}
			if r.state == Alive && !r.lastReceived.After(goneReportedAt) {
				v.setState(now, r, Suspect)
			}
		}
	}
	for _, r := range old {
		v.remove(now, r)
	}
	for id, t := range v.tombstones {
		if now.Sub(t.createdAt) >= tombstoneTTL {
			delete(v.tombstones, id)
		}
	}
}

func laterTime(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// remove deletes a record and keeps its version as a tombstone.
func (v *View) remove(now time.Time, r *record) {
	delete(v.members, r.id)
	v.ring = slices.DeleteFunc(v.ring, func(o *record) bool { return o == r })
	for _, l := range v.links {
		l.drop(r)
	}
	v.addTombstone(now, r.Member)
	v.peersDirty = true
}

// addTombstone stores the version of m, unless there are maxTombstones already.
func (v *View) addTombstone(now time.Time, m Member) {
	if _, ok := v.tombstones[m.id]; !ok && len(v.tombstones) >= maxTombstones {
		return
	}
	v.tombstones[m.id] = tombstone{incarnation: m.incarnation, version: m.version, createdAt: now}
}

// setState changes the state of another member's record and gossips it.
func (v *View) setState(now time.Time, r *record, s State) {
	m := r.Member
	m.state = s
	v.update(now, r, m, 0)
}

// raiseVersion raises the version of this VM's own record, sets its state, and
// gossips it.
func (v *View) raiseVersion(now time.Time, s State) {
	m := v.self.Member
	m.version++
	m.state = s
	v.update(now, v.self, m, 0)
}

// update replaces a record and gossips it on all links except the one it came from.
func (v *View) update(now time.Time, r *record, m Member, from LinkID) {
	old := r.Member
	r.Member = m
	if m.compareVersion(old) > 0 {
		r.goneReportedAt = time.Time{}
	}
	if old.state != m.state || old.incarnation != m.incarnation {
		r.stateSince = now
		v.changes = append(v.changes, Change{Member: m, From: old.state})
		v.peersDirty = true
	}
	if old.zone != m.zone {
		v.peersDirty = true
	}
	v.gossip(now, r, from)
}

// insert adds the record of a new member.
func (v *View) insert(now time.Time, m Member) *record {
	r := &record{Member: m, hash: hashID(m.id), stateSince: now, versionRaisedAt: now}
	v.members[m.id] = r
	pos, _ := slices.BinarySearchFunc(v.ring, r, compareRing)
	v.ring = slices.Insert(v.ring, pos, r)
	v.changes = append(v.changes, Change{Member: m, From: Unknown})
	v.peersDirty = true
	return r
}

func compareRing(a, b *record) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

// maxSends is the maximum number of times that a record is sent on one link: about
// log2 of the number of members.
func (v *View) maxSends() int { return bits.Len(uint(len(v.ring))) }

// jitter returns a duration in [-d, d].
func (v *View) jitter(d time.Duration) time.Duration {
	return time.Duration(v.rng.Int64N(int64(2*d)+1)) - d
}

// HandleHeartbeat merges a heartbeat received on a link. It ignores heartbeats of
// unknown or expired links and of another incarnation than that of the link.
func (v *View) HandleHeartbeat(now time.Time, id LinkID, h *wire.Heartbeat) {
	v.detectPause(now)
	l := v.link(id)
	if l != nil {
		l.delayKnown = false
	}
	if l == nil || l.expired || h.GetIncarnation() != l.incarnation {
		return
	}
	v.recordHeartbeat(now, l, h)
	for _, w := range h.GetMembers() {
		if m, ok := fromWire(w); ok {
			v.merge(now, l, m)
		}
	}
	v.mergeReports(now, l, h.GetReports())
}

// heartbeatDelay returns how long the last heartbeat of a link may have been on its way. It reports
// false if nothing shows that.
func (v *View) heartbeatDelay(id LinkID) (time.Duration, bool) {
	l := v.link(id)
	if l == nil {
		return 0, false
	}
	return l.delay, l.delayKnown
}
