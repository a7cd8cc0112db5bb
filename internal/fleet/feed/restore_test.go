package feed

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

func at(era, revision uint64) Position {
	p, err := NewPosition(era, revision)
	if err != nil {
		panic(err)
	}
	return p
}

// Guards against a revision of a later era that is taken for an older one, and against an
// era or a revision that spills into the other part.
func TestPositionOrder(t *testing.T) {
	order := []Position{0, at(0, 1), at(0, MaxRevision), at(1, 0), at(1, 57), at(2, 0), at(2, 55), at(MaxEra, MaxRevision)}
	if !slices.IsSorted(order) {
		t.Errorf("positions are not in order: %v", order)
	}
	if p := at(2, 57); p.Era() != 2 || p.Revision() != 57 || p.String() != "2/57" || p.eraStart() != at(2, 0) {
		t.Errorf("position %v: era %d, revision %d, start %v", p, p.Era(), p.Revision(), p.eraStart())
	}
	for _, c := range [][2]uint64{{MaxEra + 1, 0}, {0, MaxRevision + 1}} {
		if p, err := NewPosition(c[0], c[1]); err == nil {
			t.Errorf("era %d, revision %d: position %v", c[0], c[1], p)
		}
	}
}

// Guards against an object that keeps its former state, because its revision was given out
// again, and against one that stays although the restored platform does not have it.
func TestListingOfAnotherEra(t *testing.T) {
	l := NewLog()
	l.Replace(at(1, 10), []Change{change("a", at(1, 4)), change("b", at(1, 9)), change("c", at(1, 10))})
	other := NewChange("b", at(2, 9), []byte("another object"))
	got, ok := l.Replace(at(2, 9), []Change{change("a", at(2, 4)), other})
	if !ok || summary(got) != "[b@9 -c@9]" {
		t.Errorf("changes of the listing: %s, %v", summary(got), ok)
	}
	if l.Known() != at(2, 9) || l.Newest() != at(2, 9) {
		t.Errorf("known %v, newest %v", l.Known(), l.Newest())
	}
	if _, ok := l.Replace(at(1, 99), nil); ok {
		t.Error("a listing of the former era was taken in")
	}
}

// Guards against changes across eras that are passed on to a VM for which they do not lead
// from what it knows to what the platform has.
func TestSinceAnotherEra(t *testing.T) {
	l := NewLog()
	l.Replace(at(1, 10), []Change{change("a", at(1, 4))})
	l.Append(at(1, 10), at(1, 12), []Change{change("b", at(1, 12))})
	l.Replace(at(2, 8), []Change{change("a", at(2, 4)), change("c", at(2, 7))})
	l.Append(at(2, 8), at(2, 9), []Change{change("d", at(2, 9))})
	for _, c := range []struct {
		after Position
		want  string
		ok    bool
	}{
		{at(1, 9), "[]", false},
		{at(1, 10), "[b@12 c@7 -b@8 d@9]", true},
		{at(1, 12), "[c@7 -b@8 d@9]", true},
		{at(1, 13), "[]", false}, // What that VM knows of the lost changes is unknown here.
		{at(2, 5), "[]", false},  // The difference is not one of that VM's objects.
		{at(2, 8), "[d@9]", true},
	} {
		got, upto, ok := l.Since(c.after)
		if summary(got) != c.want || ok != c.ok || ok && upto != at(2, 9) {
			t.Errorf("since %v: %s up to %v, %v; want %s, %v", c.after, summary(got), upto, ok, c.want, c.ok)
		}
	}
	if _, ok := l.Append(at(2, 8), at(3, 2), []Change{change("e", at(3, 2))}); ok {
		t.Error("changes into another era were taken in after an older position")
	}
}

// Guards against an order of changes, restores, listings, watches and pulls after which a VM
// believes to know all changes and has other objects than the platform. All orders of so many
// steps are tried.
func TestLogsFollowRestoresInAnyOrder(t *testing.T) {
	const depth = 6
	steps := []func(w *logWorld){
		func(w *logWorld) { w.set("a") },
		func(w *logWorld) { w.remove("a") },
		func(w *logWorld) { w.set("b") },
		func(w *logWorld) { w.restore(max(w.revision, w.revision.eraStart()+1) - 1) },
		func(w *logWorld) { w.read(w.logs[0]) },
		func(w *logWorld) { w.read(w.logs[1]) },
		func(w *logWorld) { w.pull(w.logs[1], w.logs[0]) },
		func(w *logWorld) { w.pull(w.logs[2], w.logs[1]) },
	}
	var explore func(path []int)
	explore = func(path []int) {
		if len(path) == depth {
			w := newLogWorld()
			for i, step := range path {
				steps[step](w)
				if err := w.check(); err != nil {
					t.Fatalf("steps %v: %v", path[:i+1], err)
				}
			}
			return
		}
		for step := range steps {
			explore(append(path, step))
		}
	}
	explore(nil)
}

// logWorld is a platform with the logs of VMs that follow it, without time.
type logWorld struct {
	*testPlatform
	logs []*Log
}

func newLogWorld() *logWorld {
	w := &logWorld{testPlatform: newTestPlatform(), logs: []*Log{NewLog(), NewLog(), NewLog()}}
	w.revision = at(1, 1)
	w.set("a")
	for _, l := range w.logs {
		w.read(l)
	}
	return w
}

// set writes an object with contents that no other write has.
func (w *logWorld) set(name string) {
	p := w.testPlatform.set(name)
	w.history[len(w.history)-1].data = fmt.Append(nil, p, len(w.history))
}

// read makes a VM list the platform, or watch it from what it knows.
func (w *logWorld) read(l *Log) {
	known := l.Known()
	if known.Era() != w.revision.Era() {
		l.Replace(w.revision, slices.Collect(maps.Values(w.objects())))
		return
	}
	var changes []Change
	for _, c := range w.history {
		if c.Position() > known {
			changes = append(changes, c)
		}
	}
	l.Append(known, w.revision, changes)
}

// pull makes a VM take changes over from another one, as pullFrom does.
func (w *logWorld) pull(to, from *Log) {
	after := to.Known()
	if from.Newest() <= after {
		return
	}
	reply := from.Reply(after, from.Newest().Era() != after.Era())
	changes, err := unpack(reply.GetChanges())
	switch {
	case err != nil || Position(reply.GetUpto()) <= after:
	case reply.GetComplete():
		to.Replace(Position(reply.GetUpto()), changes)
	default:
		to.Append(after, Position(reply.GetUpto()), changes)
	}
}

// check compares the VMs that know all changes with the platform.
func (w *logWorld) check() error {
	want := w.objects()
	for i, l := range w.logs {
		if l.Known() != w.revision {
			continue
		}
		if !maps.EqualFunc(l.objects, want, func(a, b Change) bool { return string(a.data) == string(b.data) }) {
			return fmt.Errorf("VM %d has %v at %v, the platform has %v", i, l.objects, l.Known(), want)
		}
	}
	return nil
}

// Pattern: the platform comes back from a copy under a large fleet. Guards against VMs that
// go on with the former era, and against a call of each VM to a platform that has just
// come back.
func TestPatternRestoreUnderLargeFleet(t *testing.T) {
	const size = 178
	inFleet(t, 6, size, 8, func(f *testFleet) {
		copied := f.set("kept")
		for i := range 20 {
			f.set(fmt.Sprint("lost-", i))
		}
		time.Sleep(inForce)
		before := f.calls.Load()
		f.restore(copied)
		written := f.set("written")
		f.waitUntilKnown(t, written, inForce)
		// Six watchers list and watch; none of the others calls.
		if got, limit := f.calls.Load()-before, int64(6*8); got > limit {
			t.Errorf("%d calls of %d VMs, want at most %d", got, size, limit)
		}
		for _, vm := range f.vms {
			if _, lost := vm.log.objects["lost-0"]; lost || len(vm.log.objects) != 3 {
				t.Errorf("%s has %d objects, want those of the platform", vm.id, len(vm.log.objects))
			}
		}
	})
}

// Guards against VMs that stay behind when the platform comes back twice in a row, the second
// time before all of them have followed the first.
func TestRestoredTwiceInARow(t *testing.T) {
	inFleet(t, 4, 18, 8, func(f *testFleet) {
		copied := f.set("kept")
		f.set("lost")
		time.Sleep(inForce)
		f.restore(copied)
		f.set("lost too")
		time.Sleep(100 * time.Millisecond)
		f.restore(copied)
		f.waitUntilKnown(t, f.set("written"), inForce)
		for _, vm := range f.vms {
			if got := slices.Sorted(maps.Keys(vm.log.objects)); fmt.Sprint(got) != "[first kept written]" {
				t.Errorf("%s has %v", vm.id, got)
			}
		}
	})
}
