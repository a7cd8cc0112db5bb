// Package member keeps each entry VM's view of the fleet. View is the pure part:
// it takes the time as an argument and does no I/O. Service drives it over links
// of package peer. Each VM links to a bounded number of peers, heartbeats travel
// on links only, and changed records spread from link to link.
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

// Times of the protocol.
const (
	// heartbeatEvery is the interval of heartbeats on a link, give or take
	// heartbeatJitter, which keeps the VMs from sending in step.
	heartbeatInterval = 500 * time.Millisecond
	heartbeatJitter   = 50 * time.Millisecond
	// queryAfter is the silence after which a VM asks the fleet whether anybody
	// hears a member. It leaves the answer a second before suspectAfter.
	queryAfter   = time.Second
	suspectAfter = 2 * time.Second
	goneAfter    = 6 * time.Second
	// accuseAfter is the time that a member which one part of the fleet has
	// declared gone gets to show that it runs, in views that hold it alive.
	refuteTimeout = 2 * time.Second
	// avoidFor is how long a peer that only others hear is not chosen again.
	avoidFor = 30 * time.Second
	// forgetAfter outlasts a partition between regions of an hour: until then
	// the addresses of members that are gone are tried now and then.
	forgetAfter = 2 * time.Hour
	// tombstoneTime is how long the version of a forgotten member is kept, so that
	// an old record cannot bring it back.
	tombstoneTTL = 24 * time.Hour
	// spreadGone is how long a record that is gone takes part in repair. Without
	// it, VMs that start would hand such records to each other for ever.
	gossipGoneFor = 2 * time.Minute
)

// Bounds.
const (
	maxMembers    = 8192 // Records of a view.
	maxTombstones = 8192
	maxLinks      = 64
	// softLinkLimit is above the links that a VM has once the fleet is settled:
	// about 14, and 30 in the tail.
	softLinkLimit = 32
)

// record is a member with what this VM knows about it first hand.
type record struct {
	Member
	hash            uint64
	stateSince      time.Time // Start of the state, as seen here.
	lastReceived    time.Time // Last heartbeat on a link of this VM.
	versionRaisedAt time.Time // Last time that the member raised its version.
	watchedSince    time.Time // Since when this VM watches it; zero when it does not.
	queriedVersion  uint64    // Version that a question was spread for.
	goneReportedAt  time.Time // When a VM said that this version, alive here, is gone.
	avoidUntil      time.Time // Until when it is not chosen as peer.
	chosen          bool
}

type tombstone struct {
	incarnation, version uint64
	createdAt            time.Time
}

// Change is a state change of a member.
type Change struct {
	// Member is the record after the change.
	Member Member
	// From is the state before it, Unknown for a member that was not held.
	From State
}

// Plan is what a Tick asks its driver to do.
type Plan struct {
	Dial    []string // Peer addresses to link to; the outcome goes to LinkUp or DialFailed.
	Close   []LinkID
	Send    []LinkID // Links whose heartbeat is due; Compose builds it.
	Changes []Change // Since the last Tick.
	// Replaced is set once a process with the same id and a higher incarnation
	// has appeared.
	Replaced bool
}

// View is one VM's view of the fleet. It is not safe for concurrent use.
type View struct {
	self        *record
	members     map[string]*record
	ring        []*record // All records by hash.
	tombstones  map[string]tombstone
	links       []*link // In the order in which they came up.
	lastLinkID  LinkID
	dialTargets map[string]*dialTarget
	seeds       []string
	discovered  []discoveredVM
	reports     reportTable
	rng         *rand.Rand

	fullMeshMaxVMs int // Size up to which all members are chosen.
	chosen         []*record
	peersDirty     bool
	lastCall       time.Time // Last time that any method saw.
	nextExplore    time.Time // When to try an unknown address next.
	nextRevisit    time.Time // When to try a member that is gone next.
	changes        []Change
	replaced       bool
	stats          Stats
}

// Stats counts events of a view since its start.
type Stats struct {
	Queries         uint64 `json:"queries"`     // Questions that this VM started.
	Refutations     uint64 `json:"refutations"` // Versions that it raised to show that it runs.
	OneWayLinks     uint64 `json:"oneway"`      // Links that became one-way.
	OutdatedRecords uint64 `json:"outdated"`    // Records that were older than the own.
	Pauses          uint64 `json:"resumed"`     // Pauses of this process.
}

// NewView returns a view that holds only self. seed drives jitter and shuffles,
// and equal inputs give equal outputs.
func NewView(now time.Time, self Member, seeds []string, seed uint64) *View {
	r := &record{Member: self, hash: hashID(self.id), stateSince: now}
	v := &View{
		self:        r,
		members:     map[string]*record{self.id: r},
		ring:        []*record{r},
		tombstones:  map[string]tombstone{},
		dialTargets: map[string]*dialTarget{},
		seeds:       slices.Clone(seeds),
		rng:         rand.New(rand.NewPCG(seed, r.hash)),
		lastCall:    now,
	}
	v.reports.init()
	return v
}

// Self returns this VM's own record.
func (v *View) Self() Member { return v.self.Member }

// Stats returns the counts.
func (v *View) Stats() Stats { return v.stats }

// Members returns all records, gone ones included, by ring position.
func (v *View) Members() []Member {
	out := make([]Member, len(v.ring))
	for i, r := range v.ring {
		out[i] = r.Member
	}
	return out
}

// Leave announces that this VM is leaving.
func (v *View) Leave(now time.Time) {
	v.detectPause(now)
	if v.self.state != Leaving {
		v.raiseVersion(now, Leaving)
	}
}

// hint is a VM that may exist.
type discoveredVM struct{ id, addr string }

// HeartbeatNow makes a heartbeat due on every link, for news that cannot wait.
func (v *View) HeartbeatNow(now time.Time) {
	v.detectPause(now)
	for _, l := range v.links {
		l.nextHeartbeat = now
	}
}

// SetDiscoveredVMs takes the platform's list of VMs, which lags, as addresses to try. It
// changes no record. An empty list leaves the earlier hints.
func (v *View) SetDiscoveredVMs(vms []store.VM) {
	if len(vms) == 0 {
		return
	}
	v.discovered = v.discovered[:0]
	for _, vm := range vms[:min(len(vms), maxMembers)] {
		v.discovered = append(v.discovered, discoveredVM{id: vm.ID, addr: vm.Peer})
	}
}

// Tick advances all timers. The driver calls it every 100 ms.
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

// advance notices that this process was paused: timers then start afresh, since
// the silence was its own.
func (v *View) detectPause(now time.Time) {
	gap := now.Sub(v.lastCall)
	v.lastCall = now
	if gap < suspectAfter {
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
		l.resetAfterPause(now, gap)
	}
	if gap >= forgetAfter {
		v.forgetAll(now)
	}
	// Others may hold this version as gone.
	v.raiseVersion(now, v.self.state)
}

// forgetAll drops what is too old to be told to others. The addresses stay as
// hints.
func (v *View) forgetAll(now time.Time) {
	for _, r := range slices.Clone(v.ring) {
		if r != v.self {
			v.discovered = append(v.discovered, discoveredVM{id: r.id, addr: r.peer})
			v.remove(now, r)
		}
	}
}

// expire moves suspects that nobody heard to gone and forgets old records.
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

// remove forgets a record and keeps its version.
func (v *View) remove(now time.Time, r *record) {
	delete(v.members, r.id)
	v.ring = slices.DeleteFunc(v.ring, func(o *record) bool { return o == r })
	for _, l := range v.links {
		l.drop(r)
	}
	v.addTombstone(now, r.Member)
	v.peersDirty = true
}

func (v *View) addTombstone(now time.Time, m Member) {
	if _, ok := v.tombstones[m.id]; !ok && len(v.tombstones) >= maxTombstones {
		return
	}
	v.tombstones[m.id] = tombstone{incarnation: m.incarnation, version: m.version, createdAt: now}
}

// setState changes the state of another member's record and spreads it.
func (v *View) setState(now time.Time, r *record, s State) {
	m := r.Member
	m.state = s
	v.update(now, r, m, 0)
}

// raise changes this VM's own record and spreads it.
func (v *View) raiseVersion(now time.Time, s State) {
	m := v.self.Member
	m.version++
	m.state = s
	v.update(now, v.self, m, 0)
}

// update replaces a record and spreads it to all links but the one it came from.
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

// rounds is how often a record is sent on one link at most: log2 of the members.
func (v *View) maxSends() int { return bits.Len(uint(len(v.ring))) }

// jitter returns a duration in [-d, d].
func (v *View) jitter(d time.Duration) time.Duration {
	return time.Duration(v.rng.Int64N(int64(2*d)+1)) - d
}

// HandleHeartbeat takes in a heartbeat that arrived on a link.
func (v *View) HandleHeartbeat(now time.Time, id LinkID, h *wire.Heartbeat) {
	v.detectPause(now)
	l := v.link(id)
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
