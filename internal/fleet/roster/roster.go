// Package roster holds the backend servers that have registered in the platform's store, as a
// VM knows them.
//
// The store's entries alone do not tell which servers run: entries lapse while the store is
// away although their servers run, and a store that comes back from a copy has entries of
// servers that have left since, older states of others, and none of those that came later. So
// a roster orders the states of a server by the server's own numbers, keeps servers whose
// entries are missing for a while, and remembers those that have left.
package roster

import (
	"maps"
	"time"

	"github.com/azuredeal/azuredeal/internal/fleet/feed"
	"github.com/azuredeal/azuredeal/internal/fleet/outage"
	"github.com/azuredeal/azuredeal/note"
)

const (
	// missedBeats is the number of heartbeats of a backend server after which the platform
	// removes its entry.
	missedBeats = 3
	// lapseSlack is how much longer an entry may stay after these.
	lapseSlack = time.Second
	// keptShare is the share of the grace period for which a server is kept after its entry is
	// found missing: the entry may have been removed a little before that, because the server
	// has left.
	keptShare = 0.9
	// departureMemory is how long servers that have left are remembered: copies of the
	// store are some seconds old.
	departureMemory = 2 * time.Minute
	// forgetInterval is how often older departures are looked for.
	forgetInterval = 10 * time.Second
	// maxDepartures bounds the servers that have left and are remembered.
	maxDepartures = 1 << 14
)

// Entry is a state of a backend server, as the server registered it.
type Entry struct {
	id, service     string
	server          note.Server
	position        feed.Position
	start, sequence uint64
	data            []byte
}

// NewEntry returns a state of the backend server with an id. start is when its process
// started, in Unix milliseconds, and sequence numbers its states since then. data is the
// entry as the platform encodes it.
func NewEntry(id, service string, server note.Server, position feed.Position, start, sequence uint64, data []byte) Entry {
	return Entry{id: id, service: service, server: server, position: position, start: start, sequence: sequence, data: data}
}

// ID returns the id of the server.
func (e Entry) ID() string { return e.id }

// Service returns the service that the server belongs to.
func (e Entry) Service() string { return e.service }

// Server returns the server as releases describe it.
func (e Entry) Server() note.Server { return e.server }

// Position returns the position of the entry in the store.
func (e Entry) Position() feed.Position { return e.position }

// Sequence returns the number of the state since the start of the server.
func (e Entry) Sequence() uint64 { return e.sequence }

// isOlder reports whether e is an older state of the server than other. A delayed write can
// put an older state into the store after a newer one.
func (e Entry) isOlder(other Entry) bool {
	return e.start < other.start || e.start == other.start && e.sequence < other.sequence
}

// isNewer reports whether e is a later state of the server than other.
func (e Entry) isNewer(other Entry) bool { return other.isOlder(e) }

// hasSameUse reports whether requests are sent to e as to other.
func (e Entry) hasSameUse(other Entry) bool {
	return e.server == other.server && e.service == other.service && e.start == other.start
}

// departure is a server that has left, in its last known state.
type departure struct {
	entry Entry
	era   uint64 // Era of the store in which it left.
	at    time.Time
}

// revival is a server that has left and is in the store again, in a state from before that.
type revival struct {
	entry Entry
	until time.Time // When the entry would have lapsed if the server did not run.
}

// Roster is the set of backend servers that a VM knows. It is not safe for concurrent use.
type Roster struct {
	store *outage.State
	lapse time.Duration // Time without heartbeats after which the platform has removed an entry.

	entries  map[string]Entry     // By id, as the maps below.
	missing  map[string]time.Time // When the entry of a server that is kept was found missing.
	departed map[string]departure
	revived  map[string]revival
	// ahead has the servers in a later state than the store, which has come back from a copy.
	ahead    map[string]bool
	forgotAt time.Time
	era      uint64
}

// New returns an empty roster. store tells whether entries may have lapsed, and heartbeat is the
// interval of the servers' heartbeats.
func New(store *outage.State, heartbeat time.Duration) *Roster {
	return &Roster{
		store: store, lapse: missedBeats*heartbeat + lapseSlack,
		entries: map[string]Entry{}, missing: map[string]time.Time{},
		departed: map[string]departure{}, revived: map[string]revival{}, ahead: map[string]bool{},
	}
}

// Effect is what a change of an entry did.
type Effect uint8

//go:generate stringer -type=Effect -output=effect_string.go

// Effects of a change.
const (
	// None means that nothing changes for requests.
	None Effect = iota
	// Changed means that the server is used in another way than before.
	Changed
	// Removed means that the server is not used any more.
	Removed
	// Outdated means that the change was ignored, as the server is in a later state.
	Outdated
	// Kept means that the entry is missing and the server is used for the grace period.
	Kept
	// Left means that the change was ignored, as the server has left since that state.
	Left
	// Expired means that the entry is missing beyond the grace period and the server is not
	// used any more.
	Expired
	// Returned means that a server that had left is used again, as its entry has outlived the
	// time in which it would have lapsed.
	Returned
	// EffectCount is the number of effects.
	EffectCount
)

// Len returns the number of servers.
func (r *Roster) Len() int { return len(r.entries) }

// Missing returns the number of servers whose entries are missing.
func (r *Roster) Missing() int { return len(r.missing) }

// Get returns the known state of a server.
func (r *Roster) Get(id string) (Entry, bool) {
	e, ok := r.entries[id]
	return e, ok
}

// Put takes in a state of a server that the store has.
func (r *Roster) Put(now time.Time, e Entry) Effect {
	delete(r.missing, e.id)
	if previous, known := r.entries[e.id]; known {
		switch {
		case e.position <= previous.position:
			return None
		case e.isOlder(previous):
			r.ahead[e.id] = e.position.Era() != previous.position.Era() || r.ahead[e.id]
			return Outdated
		}
		delete(r.ahead, e.id)
		r.entries[e.id] = e
		if e.hasSameUse(previous) {
			return None
		}
		return Changed
	}
	if r.isFromBeforeDeparture(e) {
		if r.revived[e.id].entry.position.Era() != e.position.Era() {
			r.revived[e.id] = revival{entry: e, until: now.Add(r.lapse)}
		}
		return Left
	}
	r.add(e)
	return Changed
}

// isFromBeforeDeparture reports whether e may be a state from before the process left, of which
// the store has come back with a copy. A state that is later than the first one of this era was
// written since, so the process runs.
func (r *Roster) isFromBeforeDeparture(e Entry) bool {
	d, left := r.departed[e.id]
	if !left || d.era >= e.position.Era() || e.start > d.entry.start {
		return false
	}
	v, listed := r.revived[e.id]
	return !listed || v.entry.position.Era() != e.position.Era() || !e.isNewer(v.entry)
}

func (r *Roster) add(e Entry) {
	delete(r.departed, e.id)
	delete(r.revived, e.id)
	r.entries[e.id] = e
}

// Remove takes in that the store has no entry of a server any more. While it may have lapsed in
// an outage, a server that was not leaving is kept.
func (r *Roster) Remove(now time.Time, id string) Effect {
	delete(r.revived, id)
	e, known := r.entries[id]
	if !known {
		return None
	}
	if _, end := r.store.Doubt(now); !e.server.Leaving && now.Before(end) {
		if _, missing := r.missing[id]; missing {
			return None
		}
		r.missing[id] = now
		return Kept
	}
	r.depart(now, e)
	return Removed
}

// keptUntil returns when a server is given up whose entry was found missing. That ends with the
// doubt about the store, and is put off only when the store comes back from another outage.
func (r *Roster) keptUntil(now, found time.Time) time.Time {
	returned, end := r.store.Doubt(now)
	if until := found.Add(time.Duration(keptShare * float64(r.store.Grace()))); until.Before(end) && !found.Before(returned) {
		return until
	}
	return end
}

// depart removes a server and remembers it.
func (r *Roster) depart(now time.Time, e Entry) {
	r.Drop(e.id)
	if now.Sub(r.forgotAt) >= forgetInterval {
		r.forgotAt = now
		maps.DeleteFunc(r.departed, func(_ string, d departure) bool { return now.Sub(d.at) > departureMemory })
	}
	if len(r.departed) < maxDepartures {
		r.departed[e.id] = departure{entry: e, era: r.era, at: now}
	}
}

// Drop removes a server whose entry cannot be used, and reports whether there was one.
func (r *Roster) Drop(id string) bool {
	_, known := r.entries[id]
	delete(r.entries, id)
	delete(r.missing, id)
	delete(r.ahead, id)
	return known
}

// StoreReturned takes in that the store has answered this VM again after its calls had failed.
func (r *Roster) StoreReturned(now time.Time) { r.postponeRevivals(now) }

// BeginEra takes in that the store is in an era. When it comes back from a copy, entries that
// were written since are missing until they are written again; grace is how long that may
// take at most, and limited to the one of the roster. It reports whether the store has come
// back since the last call.
func (r *Roster) BeginEra(now time.Time, era uint64, grace time.Duration) bool {
	restored := r.era != 0 && era > r.era
	r.era = max(r.era, era)
	if restored {
		r.store.Restored(now, grace)
		r.postponeRevivals(now)
	}
	return restored
}

func (r *Roster) postponeRevivals(now time.Time) {
	for id, v := range r.revived {
		v.until = now.Add(r.lapse)
		r.revived[id] = v
	}
}

// Expire returns the servers whose entries are still missing after the grace period, which it
// removes, and those that it uses again, as their entries are still there after the time in
// which they would have lapsed. Nothing expires while the store cannot be reached.
func (r *Roster) Expire(now time.Time) (removed, returned []Entry) {
	if r.store.Away(now) {
		return nil, nil
	}
	for id, found := range r.missing {
		if !now.Before(r.keptUntil(now, found)) {
			removed = append(removed, r.entries[id])
			r.depart(now, r.entries[id])
		}
	}
	for _, v := range r.revived {
		if !now.Before(v.until) {
			returned = append(returned, v.entry)
			r.add(v.entry)
		}
	}
	return removed, returned
}

// awayInterval is how often it is looked whether the store is still away.
const awayInterval = 250 * time.Millisecond

// NextExpiry returns when Expire is due next, and false when nothing waits for it.
func (r *Roster) NextExpiry(now time.Time) (time.Time, bool) {
	if len(r.missing)+len(r.revived) == 0 {
		return time.Time{}, false
	}
	if r.store.Away(now) {
		return now.Add(awayInterval), true
	}
	var first time.Time
	for _, found := range r.missing {
		first = earlier(first, later(now, r.keptUntil(now, found)))
	}
	for _, v := range r.revived {
		first = earlier(first, v.until)
	}
	return first, true
}

// earlier returns the earlier of two times; a zero one is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// Latest returns the servers to use, by id. Of two at one address it returns the one whose
// entry was written last, as the other process has ended.
func (r *Roster) Latest() map[string]Entry {
	byAddr := make(map[string]Entry, len(r.entries))
	for _, e := range r.entries {
		if other, taken := byAddr[e.server.Addr]; !taken || other.position < e.position {
			byAddr[e.server.Addr] = e
		}
	}
	return byAddr
}

// Corrections returns what the roster knows better than the store, which has come back from a
// copy: later states of servers, and removals of servers that have left. VMs that have it from
// the store alone, as they have just started, take it over with Correct.
func (r *Roster) Corrections() []feed.Change {
	var out []feed.Change
	for id := range r.ahead {
		e := r.entries[id]
		out = append(out, feed.NewChange(id, e.position, e.data))
	}
	for id := range r.revived {
		last := r.departed[id].entry
		out = append(out, feed.NewDeparture(id, last.position, last.data))
	}
	return out
}

// Correct takes in what another VM knows better than the store: a state of a server, or its
// last one before it left.
func (r *Roster) Correct(now time.Time, e Entry, left bool) Effect {
	previous, known := r.entries[e.id]
	switch {
	case !known && !left:
		return None // The store has no entry of it; the other VM keeps it for the grace period.
	case !known || left && previous.start > e.start || !left && !e.isNewer(previous):
		return None
	case left:
		r.Drop(e.id)
		r.departed[e.id] = departure{entry: e, era: e.position.Era(), at: now}
		r.revived[e.id] = revival{entry: previous, until: now.Add(r.lapse)}
		return Removed
	}
	e.position = previous.position // In the store, the entry is still the one before.
	r.entries[e.id] = e
	r.ahead[e.id] = true
	if e.hasSameUse(previous) {
		return None
	}
	return Changed
}
