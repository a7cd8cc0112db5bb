package watch

import (
	"testing"
	"time"
)

const bound = 2 * time.Second

var epoch = time.Unix(1e9, 0)

func sec(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// newState returns the state of a VM at a place among ten that ask.
func newState(place int) *State {
	return New(Options{
		Bound: bound, Kinds: []string{"a", "b"},
		Order: func() (int, int, bool) { return place, 10, true },
	})
}

// Guards against an open watch, or an answer to a call of one kind, that counts as knowledge of all
// changes: such a VM keeps others from asking.
func TestLast(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *State)
		want float64 // 0 for unknown.
	}{
		{"nothing known", func(*State) {}, 0},
		{"open watches only", func(s *State) { s.Opened("a", sec(5)); s.Opened("b", sec(5)) }, 0},
		{"one kind was never answered", func(s *State) { s.Answered("a", sec(1), false) }, 0},
		{"both kinds answered", func(s *State) { s.Answered("a", sec(1), false); s.Answered("b", sec(2), false) }, 1},
		{"an answer while the other watch is open", func(s *State) {
			s.Answered("b", sec(1), false)
			s.Opened("b", sec(5))
			s.Answered("a", sec(3), false)
		}, 3},
		{"an answer after the time of the other watch", func(s *State) {
			s.Answered("b", sec(1), false)
			s.Opened("b", sec(2))
			s.Answered("a", sec(3), false)
		}, 1},
		{"an answer after a failure, which may have cut the other watch off", func(s *State) {
			s.Answered("b", sec(1), false)
			s.Opened("b", sec(5))
			s.Failed()
			s.Answered("a", sec(3), false)
		}, 1},
		{"the other watch has ended without an answer", func(s *State) {
			s.Answered("b", sec(1), false)
			s.Opened("b", sec(5))
			s.Closed("b")
			s.Answered("a", sec(3), false)
		}, 1},
		{"heard from another VM, and an older time later", func(s *State) { s.Heard(sec(5), sec(4)); s.Heard(sec(5), sec(3)) }, 4},
		{"heard of a time to come", func(s *State) { s.Heard(sec(5), sec(9)) }, 5},
		{"heard from a VM that knows a change that this one lacks", func(s *State) {
			s.Heard(sec(2), sec(1), 0, 0)
			s.Heard(sec(5), sec(4), 0, 7)
		}, 1},
		{"the same, once it knows that change", func(s *State) {
			s.Heard(sec(2), sec(1), 0, 0)
			s.Heard(sec(5), sec(4), 0, 7)
			s.Known("b", 7)
		}, 4},
	} {
		s := newState(0)
		c.play(s)
		want := time.Time{}
		if c.want > 0 {
			want = sec(c.want)
		}
		if got := s.Last(); !got.Equal(want) {
			t.Errorf("%s: %v, want %v", c.name, got, want)
		}
	}
}

// Guards against stages in the wrong order, and against a VM without a path that goes first or asks
// again and again.
func TestDue(t *testing.T) {
	heard := func(s *State) { s.Heard(sec(10), sec(10)) }
	for _, c := range []struct {
		name  string
		place int
		play  func(s *State)
		want  float64 // After 10 s; 0 for never.
	}{
		{"nothing known", 0, func(*State) {}, 0},
		{"the first of the order", 0, heard, firstStageShare},
		{"the second", 1, heard, firstStageShare},
		{"the third", 2, heard, secondStageShare},
		{"a watcher, beyond the others", 11, heard, lastStageShare + spreadShare},
		{"the one that was answered last", 5, func(s *State) {
			s.Asked(sec(9.9))
			s.Answered("a", sec(10), false)
			s.Answered("b", sec(10), false)
		}, lastAnsweredShare},
		{"one that has listed all, and has not asked", 5, func(s *State) {
			s.Answered("a", sec(10), false)
			s.Answered("b", sec(10), false)
		}, secondStageShare},
		{"one that has asked in vain before", 0, func(s *State) { s.Asked(sec(9)); heard(s) }, lastStageShare + spreadShare},
		{"one that has asked in vain since", 0, func(s *State) { heard(s); s.Asked(sec(11)) }, 1 + 10*turnShare},
		{"the next in turn, too", 2, func(s *State) { heard(s); s.Asked(sec(11)) }, 1 + 2*turnShare},
		{"one that is about to take changes over", 0, func(s *State) { heard(s); s.Heard(sec(10.2), sec(10.1), 7) }, firstStageShare + catchUpShare},
	} {
		s := newState(c.place)
		c.play(s)
		due, ok := s.Due()
		if ok != (c.want > 0) || ok && due.Sub(sec(10)).Round(time.Millisecond) != time.Duration(c.want*float64(bound)) {
			t.Errorf("%s: due %v after the last answer, %v, want %v of the bound", c.name, due.Sub(sec(10)), ok, c.want)
		}
	}
}

// Guards against watches of one VM that end together, so that answers are far apart, and against
// watches that grow short by that.
func TestWatchesEndByTurns(t *testing.T) {
	s := New(Options{Bound: time.Minute, Kinds: []string{"a", "b"}}) // No silence is long.
	const watchers = 4
	period := minWatchTime + watchers*watchTimePerWatcher
	ends := map[string]time.Time{"a": epoch, "b": epoch}
	var last time.Time
	count := 0
	for now := epoch; now.Before(sec(600)); now = now.Add(10 * time.Millisecond) {
		for _, name := range []string{"a", "b"} {
			if now.Before(ends[name]) {
				continue
			}
			s.Answered(name, now, false)
			ends[name] = now.Add(s.WatchTime(now, name, watchers, 0.5))
			s.Opened(name, ends[name])
			if gap := now.Sub(last); now.After(sec(10)) && gap > period*6/10 {
				t.Fatalf("%v without an answer", gap)
			}
			last = now
			count++
		}
	}
	if most := int(2*600*time.Second/period) + 5; count > most {
		t.Errorf("%d watches, want at most %d", count, most)
	}
}

// Guards against stages that leave no time to take a change over, or in which VMs ask that the answer
// to the stage before has not reached. News takes up to 100 ms from VM to VM.
func TestStagesFitTheBound(t *testing.T) {
	const (
		answers = 1100 * time.Millisecond // Between two answers to one of four watchers.
		news    = 200 * time.Millisecond
		takeUp  = 200 * time.Millisecond
	)
	silence := func(place int, play func(s *State)) time.Duration {
		s := newState(place)
		play(s)
		s.Heard(sec(20), sec(10))
		due, _ := s.Due()
		return due.Sub(sec(10))
	}
	nothing := func(*State) {}
	inVain := func(s *State) { s.Asked(sec(9)) }
	first, second, last := silence(0, nothing), silence(firstStage, nothing), silence(firstStage+secondStage, nothing)
	if first < answers || second-first < news || last-second < news {
		t.Errorf("stages at %v, %v and %v", first, second, last)
	}
	if latest := max(last, silence(0, inVain)); latest > bound-takeUp {
		t.Errorf("the last VM asks after %v, %v before the bound", latest, bound-latest)
	}
	again := newState(0)
	again.Asked(sec(9))
	again.Answered("a", sec(10), false)
	again.Answered("b", sec(10), false)
	if due, _ := again.Due(); due.Sub(sec(10)) < answers || due.Sub(sec(10)) > first {
		t.Errorf("the VM that was answered last asks after %v, the first of the others after %v", due.Sub(sec(10)), first)
	}
}
