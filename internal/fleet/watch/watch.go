// Package watch decides which VMs of a fleet follow the platform's store, and which of them step in
// when those fall silent.
//
// A few VMs, the watchers, keep watches open; Watchers names them. All others take changes over from
// VM to VM. Only an answer shows that the store is followed: an open watch may never be answered.
// The two watches of a watcher therefore end by turns, and VMs tell each other how long ago one of
// them was answered last while it followed all kinds of objects.
//
// When the last answer that a VM knows of is older than a part of the time in which a change has to
// be in force, it asks the store itself. The VMs do so in stages, so that few ask while the first of
// them are answered: the VM that was answered last, the first VMs of an order that all know, more
// of these, all others, and last those whose previous call failed. No stage waits for an earlier one
// for longer than the bound allows, whatever has become of it. While nobody is answered, the VMs ask
// by turns.
package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/sleep"
)

// Shares of the time in which a change has to be in force everywhere.
const (
	// lastAnsweredShare is the silence after which the VM that was answered last asks. It is longer
	// than the time between two answers to the watchers of a fleet.
	lastAnsweredShare = 0.55
	// firstStageShare, secondStageShare and lastStageShare are the silence after which the first VMs
	// of the order ask, more of them, and all others. An answer to one stage reaches the VMs of the
	// next one in the time between.
	firstStageShare  = 0.575
	secondStageShare = 0.7
	lastStageShare   = 0.8
	// spreadShare is the time over which the VMs of the last stage ask, in their order. Those whose
	// previous call failed follow at its end.
	spreadShare = 0.1
	// catchUpShare is for how long a VM of an earlier stage waits that is about to take changes over
	// from another VM.
	catchUpShare = 0.2
	// turnShare is the time between two VMs that ask by turns while nobody is answered.
	turnShare = 0.4
	// tellShare is the silence after which an answer is told at once, and passOnShare that after which
	// the other VMs pass it on at once. Otherwise it travels with the next heartbeats.
	tellShare   = 0.25
	passOnShare = 0.4
)

const (
	// firstStage and secondStage are how many VMs ask in these stages.
	firstStage  = 2
	secondStage = 8
	// watchTimePerWatcher and minWatchTime give the length of a watch: one of each kind ends about
	// every half second in the fleet. When the store drops its history, watches can go on waiting
	// although they have missed a change; the first one that ends shows it.
	watchTimePerWatcher = 315 * time.Millisecond
	minWatchTime        = time.Second
	// watchJitter is the share by which the length of watches varies, so that watchers whose watches
	// end together do not do so for long.
	watchJitter = 0.1
	// minFirstWatch is the least part of the length of a watch that the first one of a kind has. It is
	// random, so that VMs that start together are answered at different times.
	minFirstWatch = 0.25
	// maxShift is the largest share by which a watch is made shorter or longer to end between two
	// watches of the other kind.
	maxShift = 0.25
	// shortWatch is the length of the watch that the first watcher opens after changes, as all watchers
	// have paused. The store takes no shorter time.
	shortWatch = time.Millisecond
	// partOfWatch is the part of a watch in which one of those of the fleet ends. The short watch is
	// left out where the first stage comes later than the pause and that part.
	partOfWatch = 0.25
	// lateShare is the part of a silence beyond passOnShare by which the watcher that ends it shortens
	// its next watch, so that the answers to the watchers come at even intervals.
	lateShare = 0.5
	// minWait keeps a VM from looking again and again at the same moment.
	minWait = 10 * time.Millisecond
	// maxAhead bounds what is kept of other VMs until this VM has caught up with them.
	maxAhead = 16
)

// ChangePause is how long a watcher waits after changes before its next watch, so that changes in quick
// succession cost one call.
const ChangePause = 800 * time.Millisecond

// Options configures a State.
type Options struct {
	// Bound is the time in which a change has to be in force on all VMs.
	Bound time.Duration
	// Kinds are the kinds of objects that a VM follows.
	Kinds []string
	// Order returns the place of this VM among those that ask, from 0, and their number; the watchers
	// have the places after these. It reports false for a VM that does not know the others yet. Nil
	// means that this VM never asks.
	Order func() (place, count int, ok bool)
	// Ask asks the store for changes. It does not wait.
	Ask func()
	// Tell sends a heartbeat to all linked VMs. It does not wait. Nil means that there are none.
	Tell func()
}

// State is what a VM knows of the store's answers to the fleet. Its methods take the time at which
// something happened. It is safe for concurrent use.
type State struct {
	opts Options

	mu    sync.Mutex
	kinds map[string]*kind
	own   time.Time     // When this VM last knew all changes of all kinds, by an answer.
	heard time.Time     // The same of other VMs, as they say.
	ahead []ahead       // What others know that this VM does not know yet, in the order of hearing it.
	asked time.Time     // When this VM last began to ask.
	late  time.Duration // How much of the last silence is taken off the next watch.
}

// kind is what this VM knows of one kind of objects.
type kind struct {
	answered time.Time // When the store last answered a call.
	changed  bool      // That answer had changes.
	opened   bool      // There has been a watch.
	known    uint64    // Position up to which all changes are known.
	openTo   time.Time // Until when the watch that is open waits at most; zero without one.
}

// New returns a state without any knowledge.
func New(o Options) *State {
	if o.Tell == nil {
		o.Tell = func() {}
	}
	if o.Order == nil {
		o.Order = func() (place, count int, ok bool) { return 0, 0, false }
	}
	s := &State{opts: o, kinds: map[string]*kind{}}
	for _, name := range o.Kinds {
		s.kinds[name] = &kind{}
	}
	return s
}

func (s *State) share(part float64) time.Duration {
	return time.Duration(part * float64(s.opts.Bound))
}

// Opened takes in that a watch of a kind has begun that waits until a time at most. While it is open,
// an answer to a watch of another kind shows that this one is not cut off either.
func (s *State) Opened(name string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[name].openTo = until
}

// Closed takes in that a watch of a kind has ended without an answer, and not by a failure.
func (s *State) Closed(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.kinds[name].openTo = time.Time{}
}

// Failed takes in that a call has failed. The watches that are open may have been cut off as well.
func (s *State) Failed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.kinds {
		k.openTo = time.Time{}
	}
}

// Answered takes in the answer to a call of a kind, by which all changes up to at are known. changed
// says that there were any.
func (s *State) Answered(name string, at time.Time, changed bool) {
	s.mu.Lock()
	k := s.kinds[name]
	k.answered, k.openTo, k.changed = later(k.answered, at), time.Time{}, changed
	last := s.last()
	s.own = later(s.own, s.knownTo(at))
	var silence time.Duration
	if !last.IsZero() {
		silence = s.own.Sub(last)
	}
	s.late = time.Duration(lateShare * float64(max(0, silence-s.share(passOnShare))))
	s.mu.Unlock()
	if silence >= s.share(tellShare) {
		s.opts.Tell()
	}
}

// knownTo returns up to when this VM knows the changes of all kinds after an answer at a time.
func (s *State) knownTo(at time.Time) time.Time {
	for _, k := range s.kinds {
		if k.openTo.Before(at) && k.answered.Before(at) {
			at = k.answered
		}
	}
	return at
}

// ahead is what another VM told that knew changes which this VM lacks.
type ahead struct {
	at        time.Time
	positions []uint64
}

// Heard takes in that a VM knew all changes at a time, as another VM says that knows the changes up to
// positions, in the order of Options.Kinds. It counts from when this VM knows these changes as well.
func (s *State) Heard(now, at time.Time, positions ...uint64) {
	if at.After(now) {
		at = now
	}
	s.mu.Lock()
	if at.After(s.last()) {
		if len(s.ahead) == maxAhead {
			s.ahead = s.ahead[1:]
		}
		s.ahead = append(s.ahead, ahead{at, positions})
	}
	passOn := s.takeHeard()
	s.mu.Unlock()
	if passOn {
		s.opts.Tell()
	}
}

// Known takes in that this VM knows all changes of a kind up to a position.
func (s *State) Known(name string, position uint64) {
	s.mu.Lock()
	s.kinds[name].known = position
	passOn := s.takeHeard()
	s.mu.Unlock()
	if passOn {
		s.opts.Tell()
	}
}

// takeHeard takes over what others told of changes that this VM knows, and reports whether others are
// to be told at once.
func (s *State) takeHeard() bool {
	last := s.last()
	s.ahead = slices.DeleteFunc(s.ahead, func(a ahead) bool {
		for i, position := range a.positions {
			if position > s.kinds[s.opts.Kinds[i]].known {
				return false
			}
		}
		s.heard = later(s.heard, a.at)
		return true
	})
	return !last.IsZero() && s.last().Sub(last) >= s.share(passOnShare)
}

// last returns the last time at which a VM is known to have known all changes.
func (s *State) last() time.Time { return later(s.own, s.heard) }

// Last returns the last time at which a VM of the fleet knew all changes of the store, as far as this
// VM knows; zero when none is known to have done so.
func (s *State) Last() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.last()
}

// WatchTime returns how long the next watch of a kind waits, on a VM of a fleet with a number of
// watchers. random is a random number from 0 to 1.
func (s *State) WatchTime(now time.Time, name string, watchers int, random float64) time.Duration {
	isFirst := s.isFirstWatcher()
	s.mu.Lock()
	defer s.mu.Unlock()
	period := float64(minWatchTime + time.Duration(watchers)*watchTimePerWatcher)
	if k := s.kinds[name]; k.changed && isFirst && s.share(firstStageShare) < ChangePause+time.Duration(partOfWatch*period) {
		k.changed = false
		return shortWatch
	}
	if k := s.kinds[name]; !k.opened {
		k.opened = true
		return time.Duration(period * (minFirstWatch + (1-minFirstWatch)*random))
	}
	shift := s.shift(now, name, period) - float64(s.late)
	s.late = 0
	shift = max(-maxShift*period, min(maxShift*period, shift))
	return time.Duration(period*(1+watchJitter*(2*random-1)) + shift)
}

func (s *State) isFirstWatcher() bool {
	place, count, ok := s.opts.Order()
	return ok && place == count
}

// shift returns how much longer than a period a watch has to be to end half a period after a watch of
// the other kind, or before the next one.
func (s *State) shift(now time.Time, name string, period float64) float64 {
	for other, k := range s.kinds {
		if other == name || !k.openTo.After(now) {
			continue
		}
		shift := float64(k.openTo.Sub(now)) - period/2
		if shift > period/2 {
			shift -= period
		}
		return shift
	}
	return 0
}

// Run asks the store whenever it is this VM's turn, until ctx ends. It returns the error of ctx.
func (s *State) Run(ctx context.Context) error {
	for {
		now := time.Now()
		wait := s.share(lastAnsweredShare)
		if due, ok := s.Due(); ok {
			if wait = due.Sub(now); wait <= 0 {
				s.Asked(now)
				s.opts.Ask()
			}
		}
		if !sleep.For(ctx, max(minWait, min(wait, s.share(lastAnsweredShare)))) {
			return ctx.Err()
		}
	}
}

// Asked takes in that this VM begins to ask.
func (s *State) Asked(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = now
}

// Due returns when this VM asks if nothing happens until then.
func (s *State) Due() (time.Time, bool) {
	place, count, ok := s.opts.Order()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.last()
	if !ok || last.IsZero() {
		return time.Time{}, false
	}
	if s.asked.After(last) {
		return s.nextTurn(last, place, count), true
	}
	silence := s.stage(last, place, count)
	if end := s.share(lastStageShare + spreadShare); len(s.ahead) > 0 && silence < end {
		silence = min(end, silence+s.share(catchUpShare))
	}
	return last.Add(silence), true
}

// stage returns the silence after which this VM asks.
func (s *State) stage(last time.Time, place, count int) time.Duration {
	switch {
	case s.asked.After(s.own):
		return s.share(lastStageShare + spreadShare)
	case s.answeredLast(last) && place < count:
		return s.share(lastAnsweredShare)
	case place < firstStage:
		return s.share(firstStageShare)
	case place < firstStage+secondStage:
		return s.share(secondStageShare)
	}
	first := firstStage + secondStage
	return s.share(lastStageShare + spreadShare*float64(place-first)/float64(max(1, count-first)))
}

// answeredLast reports whether the last answer to any VM was one to this VM, because it asked.
func (s *State) answeredLast(last time.Time) bool {
	return !s.asked.IsZero() && !s.own.Before(last) && s.own.Sub(s.asked) < s.opts.Bound
}

// nextTurn returns when this VM asks again after it has asked in vain: at its turn of a round in which
// each VM has one, and a whole bound after it has asked at the earliest.
func (s *State) nextTurn(last time.Time, place, count int) time.Time {
	turn := s.share(turnShare)
	first := last.Add(s.opts.Bound + time.Duration(place)*turn)
	round := time.Duration(max(1, count)) * turn
	if late := s.asked.Add(s.opts.Bound).Sub(first); late > 0 {
		first = first.Add(late.Truncate(round) + round)
	}
	return first
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
