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
	heartbeatEvery  = 500 * time.Millisecond
	heartbeatJitter = 50 * time.Millisecond
	// queryAfter is the silence after which a VM asks the fleet whether anybody
	// hears a member. It leaves the answer a second before suspectAfter.
	queryAfter   = time.Second
	suspectAfter = 2 * time.Second
	goneAfter    = 6 * time.Second
	// accuseAfter is the time that a member which one part of the fleet has
	// declared gone gets to show that it runs, in views that hold it alive.
	accuseAfter = 2 * time.Second
	// avoidFor is how long a peer that only others hear is not chosen again.
	avoidFor = 30 * time.Second
	// forgetAfter outlasts a partition between regions of an hour: until then
	// the addresses of members that are gone are tried now and then.
	forgetAfter = 2 * time.Hour
	// tombstoneTime is how long the version of a forgotten member is kept, so that
	// an old record cannot bring it back.
	tombstoneTime = 24 * time.Hour
	// spreadGone is how long a record that is gone takes part in repair. Without
	// it, VMs that start would hand such records to each other for ever.
	spreadGone = 2 * time.Minute
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
	hash    uint64
	since   time.Time // Start of the state, as seen here.
	heard   time.Time // Last heartbeat on a link of this VM.
	proof   time.Time // Last time that the member raised its version.
	watched time.Time // Since when this VM watches it; zero when it does not.
	queried uint64    // Version that a question was spread for.
	accused time.Time // When a VM said that this version, alive here, is gone.
	avoid   time.Time // Until when it is not chosen as peer.
	chosen  bool
}

type tombstone struct {
	incarnation, version uint64
	at                   time.Time
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
	self       *record
	members    map[string]*record
	ring       []*record // All records by hash.
	tombstones map[string]tombstone
	links      []*link // In the order in which they came up.
	lastLink   LinkID
	targets    map[string]*target
	seeds      []string
	hints      []hint
	reports    reportTable
	rng        *rand.Rand

	mesh     int // Size up to which all members are chosen.
	chosen   []*record
	rechoose bool
	last     time.Time // Last time that any method saw.
	explore  time.Time // When to try an unknown address next.
	revisit  time.Time // When to try a member that is gone next.
	changes  []Change
	replaced bool
	stats    Stats
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
	r := &record{Member: self, hash: hashID(self.id), since: now}
	v := &View{
		self:       r,
		members:    map[string]*record{self.id: r},
		ring:       []*record{r},
		tombstones: map[string]tombstone{},
		targets:    map[string]*target{},
		seeds:      slices.Clone(seeds),
		rng:        rand.New(rand.NewPCG(seed, r.hash)),
		last:       now,
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
	v.advance(now)
	if v.self.state != Leaving {
		v.raise(now, Leaving)
	}
}

// hint is a VM that may exist.
type hint struct{ id, addr string }

// HeartbeatNow makes a heartbeat due on every link, for news that cannot wait.
func (v *View) HeartbeatNow(now time.Time) {
	v.advance(now)
	for _, l := range v.links {
		l.due = now
	}
}

// SetDiscoveredVMs takes the platform's list of VMs, which lags, as addresses to try. It
// changes no record. An empty list leaves the earlier hints.
func (v *View) SetDiscoveredVMs(vms []store.VM) {
	if len(vms) == 0 {
		return
	}
	v.hints = v.hints[:0]
	for _, vm := range vms[:min(len(vms), maxMembers)] {
		v.hints = append(v.hints, hint{id: vm.ID, addr: vm.Peer})
	}
}

// Tick advances all timers. The driver calls it every 100 ms.
func (v *View) Tick(now time.Time) Plan {
	v.advance(now)
	v.expire(now)
	v.watch(now)
	v.judgeLinks(now)
	v.watchSilence(now)
	var p Plan
	p.Close = v.closing(now)
	p.Dial = v.dialing(now)
	for _, l := range v.links {
		if !now.Before(l.due) && !slices.Contains(p.Close, l.id) {
			p.Send = append(p.Send, l.id)
		}
	}
	p.Changes, v.changes = v.changes, nil
	p.Replaced = v.replaced
	return p
}

// advance notices that this process was paused: timers then start afresh, since
// the silence was its own.
func (v *View) advance(now time.Time) {
	gap := now.Sub(v.last)
	v.last = now
	if gap < suspectAfter {
		return
	}
	v.stats.Pauses++
	for _, r := range v.ring {
		if !r.watched.IsZero() {
			r.watched = now
		}
		if r.state == Suspect {
			r.since = now
		}
		r.accused = time.Time{}
	}
	for _, l := range v.links {
		l.resumed(now, gap)
	}
	if gap >= forgetAfter {
		v.forgetAll(now)
	}
	// Others may hold this version as gone.
	v.raise(now, v.self.state)
}

// forgetAll drops what is too old to be told to others. The addresses stay as
// hints.
func (v *View) forgetAll(now time.Time) {
	for _, r := range slices.Clone(v.ring) {
		if r != v.self {
			v.hints = append(v.hints, hint{id: r.id, addr: r.peer})
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
		case r.state == Suspect && now.Sub(later(r.since, r.heard)) >= goneAfter-suspectAfter:
			v.setState(now, r, Gone)
		case r.state == Gone && now.Sub(r.since) >= forgetAfter:
			old = append(old, r)
		case !r.accused.IsZero() && now.Sub(r.accused) >= accuseAfter:
			accused := r.accused
			r.accused = time.Time{}
			if r.state == Alive && !r.heard.After(accused) {
				v.setState(now, r, Suspect)
			}
		}
	}
	for _, r := range old {
		v.remove(now, r)
	}
	for id, g := range v.tombstones {
		if now.Sub(g.at) >= tombstoneTime {
			delete(v.tombstones, id)
		}
	}
}

func later(a, b time.Time) time.Time {
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
	v.bury(now, r.Member)
	v.rechoose = true
}

func (v *View) bury(now time.Time, m Member) {
	if _, ok := v.tombstones[m.id]; !ok && len(v.tombstones) >= maxTombstones {
		return
	}
	v.tombstones[m.id] = tombstone{incarnation: m.incarnation, version: m.version, at: now}
}

// setState changes the state of another member's record and spreads it.
func (v *View) setState(now time.Time, r *record, s State) {
	m := r.Member
	m.state = s
	v.update(now, r, m, 0)
}

// raise changes this VM's own record and spreads it.
func (v *View) raise(now time.Time, s State) {
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
		r.accused = time.Time{}
	}
	if old.state != m.state || old.incarnation != m.incarnation {
		r.since = now
		v.changes = append(v.changes, Change{Member: m, From: old.state})
		v.rechoose = true
	}
	if old.zone != m.zone {
		v.rechoose = true
	}
	v.spread(now, r, from)
}

func (v *View) insert(now time.Time, m Member) *record {
	r := &record{Member: m, hash: hashID(m.id), since: now, proof: now}
	v.members[m.id] = r
	at, _ := slices.BinarySearchFunc(v.ring, r, compareRing)
	v.ring = slices.Insert(v.ring, at, r)
	v.changes = append(v.changes, Change{Member: m, From: Unknown})
	v.rechoose = true
	return r
}

func compareRing(a, b *record) int {
	if c := cmp.Compare(a.hash, b.hash); c != 0 {
		return c
	}
	return cmp.Compare(a.id, b.id)
}

// rounds is how often a record is sent on one link at most: log2 of the members.
func (v *View) rounds() int { return bits.Len(uint(len(v.ring))) }

// jitter returns a duration in [-d, d].
func (v *View) jitter(d time.Duration) time.Duration {
	return time.Duration(v.rng.Int64N(int64(2*d)+1)) - d
}

// HandleHeartbeat takes in a heartbeat that arrived on a link.
func (v *View) HandleHeartbeat(now time.Time, id LinkID, h *wire.Heartbeat) {
	v.advance(now)
	l := v.link(id)
	if l == nil || l.stale || h.GetIncarnation() != l.incarnation {
		return
	}
	v.heardOn(now, l, h)
	for _, w := range h.GetMembers() {
		if m, ok := fromWire(w); ok {
			v.merge(now, l, m)
		}
	}
	v.takeReports(now, l, h.GetReports())
}
