package watch

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"time"
)

// The model plays two watchers and two followers with the real decisions, in steps of modelStep. An
// object of each kind changes at a time; all VMs in touch have to know both changes within the bound.
const (
	modelStep     = 25 * time.Millisecond
	modelChange   = 8 * time.Second // Long enough after the start for the watches to take turns.
	modelVMs      = 4
	modelWatchers = 2 // The first VMs.
	modelKinds    = 2
	beatEvery     = 500 * time.Millisecond
	hangTime      = 700 * time.Millisecond // After the time of a watch that is not answered.
	modelPause    = 800 * time.Millisecond // After changes.
	modelBackoff  = 500 * time.Millisecond // After a failed call.
	touchTime     = 3 * time.Second        // Without a fault, after which the bound holds.
	faultStep     = 250 * time.Millisecond
)

// fault is what happens to a VM for a while.
type fault int

const (
	noFault  fault = iota
	isLost         // It does nothing, and has forgotten all when it is back.
	isCut          // It reaches neither the store nor any VM.
	noPath         // It reaches the VMs, and not the store.
	isSlow         // All that it does with the store takes 300 ms more.
	isFrozen       // It does nothing for a while, and then goes on with what it knew.
	faults
)

// scenario is one run: a fault of each VM, and when it begins and ends relative to the change. The
// faults of the followers begin later by a shift.
type scenario struct {
	faults   [modelVMs]fault
	from, to time.Duration
	shift    time.Duration
}

func (s scenario) String() string {
	return fmt.Sprintf("faults %v (1 lost, 2 cut, 3 without a path, 4 slow, 5 frozen) from %v to %v, followers %v later", s.faults, s.from, s.to, s.shift)
}

func (s scenario) span(vm int) (from, to time.Duration) {
	from, to = modelChange+s.from, modelChange+s.to
	if vm >= modelWatchers {
		from, to = from+s.shift, to+s.shift
	}
	return from, to
}

// at returns the fault of a VM at a time.
func (s scenario) at(vm int, t time.Duration) fault {
	if from, to := s.span(vm); t >= from && t < to {
		return s.faults[vm]
	}
	return noFault
}

// inTouch reports whether a VM was without a fault for touchTime before t.
func (s scenario) inTouch(vm int, t time.Duration) bool {
	from, to := s.span(vm)
	return s.faults[vm] == noFault || t < from || t >= to+touchTime
}

// modelCall is a call to the store, for one kind.
type modelCall struct {
	open  bool
	from  time.Duration
	wait  time.Duration
	reply time.Duration // When the answer is here that is on its way; 0 for none.
}

type modelVM struct {
	state    *State
	place    int
	known    [modelKinds]uint64
	calls    [modelKinds]modelCall
	pauseTo  [modelKinds]time.Duration
	asked    [modelKinds]bool
	failed   [modelKinds]bool
	nextBeat time.Duration
	tell     bool
	was      fault
	behind   time.Duration // Since when another VM has told of changes that this one lacks; 0 for not.
}

type model struct {
	scenario
	vms    [modelVMs]*modelVM
	latest [modelKinds]uint64
	random *rand.Rand
}

var kindNames = [modelKinds]string{"config", "servers"}

func newModel(s scenario, seed uint64) *model {
	m := &model{scenario: s, random: rand.New(rand.NewPCG(seed, 0)), latest: [modelKinds]uint64{1, 1}}
	for i := range m.vms {
		m.vms[i] = &modelVM{place: (i + modelWatchers) % modelVMs}
		m.start(i, 0)
	}
	return m
}

// start makes a VM list the store.
func (m *model) start(i int, t time.Duration) {
	v := m.vms[i]
	*v = modelVM{place: v.place}
	v.state = New(Options{
		Bound: bound, Kinds: kindNames[:],
		Order: func() (int, int, bool) { return v.place, modelVMs - modelWatchers, true },
		Tell:  func() { v.tell = true },
	})
	for k, name := range kindNames {
		v.known[k] = m.latest[k]
		v.state.Known(name, v.known[k])
		v.state.Answered(name, instant(t), false)
	}
}

func instant(t time.Duration) time.Time { return epoch.Add(t) }

// run returns what is wrong, or nothing.
func (m *model) run() string {
	for t := modelStep; t <= modelChange+bound; t += modelStep {
		if t == modelChange {
			m.latest = [modelKinds]uint64{2, 2}
		}
		for i := range m.vms {
			m.step(i, t)
		}
	}
	for i, v := range m.vms {
		if m.inTouch(i, modelChange+bound) && v.known != m.latest {
			return fmt.Sprintf("%v: VM %d knows %v after the bound", m.scenario, i, v.known)
		}
	}
	return ""
}

func (m *model) step(i int, t time.Duration) {
	v, now := m.vms[i], m.at(i, t)
	if v.was == isLost && now != isLost {
		m.start(i, t)
	}
	v.was = now
	if now == isLost || now == isFrozen {
		return
	}
	for k := range kindNames {
		m.stepKind(v, now, k, t)
	}
	if due, ok := v.state.Due(); ok && !due.After(instant(t)) {
		v.state.Asked(instant(t))
		v.asked[0] = true
	}
	if v.behind > 0 && t-v.behind >= 600*time.Millisecond { // Nobody could pass the changes on.
		v.asked[0], v.behind = true, t
	}
	if v.tell || t >= v.nextBeat {
		v.tell, v.nextBeat = false, t+beatEvery
		m.beat(i, t)
	}
}

// stepKind makes the calls of a VM for one kind.
func (m *model) stepKind(v *modelVM, now fault, k int, t time.Duration) {
	c := &v.calls[k]
	switch {
	case v.asked[k]:
		v.asked[k] = false
		v.state.Closed(kindNames[k])
		*c = modelCall{open: true, from: t, wait: time.Millisecond}
	case c.open:
		m.stepCall(v, now, k, t)
	case v.place >= modelVMs-modelWatchers && t >= v.pauseTo[k]:
		*c = modelCall{open: true, from: t, wait: time.Millisecond}
		if !v.failed[k] {
			c.wait = v.state.WatchTime(instant(t), kindNames[k], modelWatchers, m.random.Float64())
			v.state.Opened(kindNames[k], instant(t+c.wait))
		}
	}
}

// stepCall ends an open call that is answered, or fails.
func (m *model) stepCall(v *modelVM, now fault, k int, t time.Duration) {
	c := &v.calls[k]
	reaches := now != noPath && now != isCut
	changed := v.known[k] < m.latest[k]
	switch {
	case reaches && c.reply == 0 && (changed || t >= c.from+c.wait):
		if c.reply = t; now == isSlow {
			c.reply = t + 300*time.Millisecond
		}
	case t >= c.from+c.wait+hangTime:
		*c = modelCall{}
		v.failed[k], v.pauseTo[k] = true, t+modelBackoff
		v.state.Failed()
		return
	}
	if c.reply == 0 || t < c.reply {
		return
	}
	at, isAsk := min(t, c.from+c.wait), c.wait == time.Millisecond
	*c = modelCall{}
	v.failed[k], v.known[k] = false, m.latest[k]
	if changed {
		v.tell, v.pauseTo[k] = true, t+modelPause
	}
	v.state.Known(kindNames[k], v.known[k])
	v.state.Answered(kindNames[k], instant(at), changed)
	if k == 0 && v.known == m.latest {
		v.behind = 0
	}
	if k == 0 && isAsk {
		v.asked[1] = true
	}
}

// beat sends a heartbeat to all VMs that are reached, which take the changes over in the same step.
func (m *model) beat(from int, t time.Duration) {
	if m.at(from, t) == isCut {
		return
	}
	v := m.vms[from]
	last := v.state.Last()
	for i, peer := range m.vms {
		if f := m.at(i, t); i == from || f == isCut || f == isLost || f == isFrozen {
			continue
		}
		peer.state.Heard(instant(t), last, v.known[:]...)
		for k := range kindNames {
			if peer.known[k] < v.known[k] {
				peer.known[k], peer.tell = v.known[k], true
				peer.state.Known(kindNames[k], peer.known[k])
			}
		}
	}
}

// Guards against VMs that keep each other from asking a store whose changes nobody brings, whatever
// happens to the others around a change.
func TestChangesReachAllInTouch(t *testing.T) {
	runs := make(chan scenario)
	wrong := make(chan string, 1)
	var wait sync.WaitGroup
	for range runtime.NumCPU() {
		wait.Go(func() {
			for s := range runs {
				if text := newModel(s, uint64(s.from)+uint64(s.shift)).run(); text != "" {
					select {
					case wrong <- text:
					default:
					}
				}
			}
		})
	}
	for n := range int(faults * faults * faults * faults) {
		var f [modelVMs]fault
		for i := range f {
			f[i] = fault(n) % faults
			n /= int(faults)
		}
		for from := -3 * time.Second; from <= time.Second; from += faultStep {
			for _, length := range []time.Duration{time.Second, time.Minute} {
				for _, shift := range []time.Duration{0, 750 * time.Millisecond} {
					runs <- scenario{f, from, from + length, shift}
				}
			}
		}
	}
	close(runs)
	wait.Wait()
	close(wrong)
	for text := range wrong {
		t.Error(text)
	}
}
