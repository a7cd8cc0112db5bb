// Package outage decides whether an entry that a VM no longer finds in the platform's store may have
// lapsed although its backend server runs: entries lapse while the store is away, as the servers
// cannot renew them, and are back a while after its return.
//
// A call that fails shows an outage of the store, or that this VM alone is cut off from it. VMs tell
// each other when the store last answered any of them, and since when it has done so without a gap.
// An outage of one VM in which the store went on answering others is none of the store.
package outage

import (
	"sync"
	"time"
)

const (
	// MinOutage is the shortest run of failed calls that counts as an outage. A reset connection or
	// a single failed call is over sooner.
	MinOutage = 700 * time.Millisecond
	// gapBeats is the longest time between two answers of the store in which no entry can lapse, in
	// heartbeats of the backend servers. Entries lapse after three heartbeats of silence, of which one
	// may have passed before an outage begins. The watches of a fleet end every half second or so.
	gapBeats = 4.0 / 3
	// minGap is longer than a VM that follows the store pauses between two calls.
	minGap = time.Second
)

// State is what a VM believes of the platform's store. It is safe for concurrent use.
type State struct {
	grace time.Duration
	gap   time.Duration

	mu sync.Mutex
	// since and last span the time in which the store has answered VMs of the fleet without a gap;
	// both are zero while it is not known to have answered any.
	since, last time.Time
	lastOther   time.Time // The last answer that others have told of.
	failedAt    time.Time // When the first failed call of this VM ended since the last answer; zero without one.
	heldTo      time.Time // When the store last held a call of this VM.
	doubt       doubt
	restoredEnd time.Time // When entries that a restored store lacks are back at the latest.
}

// doubt says that entries found missing up to end may have lapsed in an outage of the store, which had
// begun at from and has ended at returned.
type doubt struct{ from, returned, end time.Time }

// New returns a state without any knowledge. grace is how long after an outage entries of running
// servers may be missing, and heartbeat how often servers renew them.
func New(grace, heartbeat time.Duration) *State {
	return &State{grace: grace, gap: max(minGap, time.Duration(gapBeats*float64(heartbeat)))}
}

// Grace returns how long after an outage entries of running servers may be missing.
func (s *State) Grace() time.Duration { return s.grace }

// Failed takes in that a call of this VM has failed.
func (s *State) Failed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failedAt.IsZero() {
		s.failedAt = now
	}
}

// Answered takes in that the store has answered a call of this VM, and returns how long its calls had
// failed before, 0 if they had not.
func (s *State) Answered(now time.Time) (failed time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.failedAt.IsZero() {
		failed = now.Sub(s.failedAt)
		if failed >= MinOutage {
			s.doubt = doubt{from: s.failedAt, returned: now, end: now.Add(s.grace)}
		}
		s.failedAt = time.Time{}
	}
	s.extend(now, now)
	return failed
}

// Held takes in that the store held a call of this VM up to end, waiting for changes. That is no answer
// to tell others of, but no silence either.
func (s *State) Held(end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldTo = later(s.heldTo, end)
}

// Heard takes in that, as another VM says, the store has answered VMs of the fleet without a gap from
// since to last. It reports whether that ends a doubt.
func (s *State) Heard(now, since, last time.Time) (settled bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inDoubt := s.inDoubt(now)
	s.extend(since, last)
	if last.After(s.lastOther) {
		s.lastOther = last
	}
	return inDoubt && !s.inDoubt(now)
}

// Relayed takes in that the VM that has passed changes on is in doubt for another grace, 0 if it is
// not.
func (s *State) Relayed(now time.Time, grace time.Duration) {
	if grace <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	end := now.Add(min(grace, s.grace))
	if returned := end.Add(-s.grace); end.After(s.doubt.end) {
		s.doubt = doubt{from: returned.Add(-s.gap), returned: returned, end: end}
	}
}

// Restored takes in that the store has come back from a copy, after which entries may be missing for
// grace at most.
func (s *State) Restored(now time.Time, grace time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if end := now.Add(min(grace, s.grace)); end.After(s.restoredEnd) {
		s.restoredEnd = end
	}
}

// extend merges a span in which the store has answered into the known one, or replaces that by a
// later one.
func (s *State) extend(since, last time.Time) {
	switch {
	case s.last.IsZero():
		s.since, s.last = since, last
	case since.Sub(s.last) > s.gap:
		// Nobody is known to have got an answer in between, whether or not this VM has asked.
		if end := since.Add(s.grace); end.After(s.doubt.end) && since.Sub(s.heldTo) > s.gap {
			s.doubt = doubt{from: s.last, returned: since, end: end}
		}
		s.since, s.last = since, last
	case s.since.Sub(last) > s.gap: // An earlier one.
	default:
		s.since, s.last = earlier(s.since, since), later(s.last, last)
	}
}

// inDoubt reports whether entries that are missing now may have lapsed in an outage. They have not
// if the store went on answering others.
func (s *State) inDoubt(now time.Time) bool {
	d := s.doubt
	answeredOthers := !s.since.After(d.from) && !s.lastOther.Before(d.from)
	return now.Before(d.end) && !answeredOthers
}

// Doubt tells until when entries that are found missing may have lapsed, and since when the store is
// back. Both are zero when there is no doubt.
func (s *State) Doubt(now time.Time) (returned, end time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.inDoubt(now) {
		returned, end = s.doubt.returned, s.doubt.end
	}
	if now.Before(s.restoredEnd) {
		end = later(end, s.restoredEnd)
	}
	return returned, end
}

// Away reports whether the store is away, as far as this VM can tell: its calls fail, and nobody has
// told of an answer lately.
func (s *State) Away(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.failedAt.IsZero() && now.Sub(s.lastOther) > s.gap
}

// Span returns the time in which the store has answered VMs of the fleet without a gap, as far as this
// VM knows. It reports false when nobody is known to have got an answer.
func (s *State) Span() (since, last time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.since, s.last, !s.last.IsZero()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
