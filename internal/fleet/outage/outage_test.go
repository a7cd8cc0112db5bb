package outage

import (
	"testing"
	"time"
)

const (
	grace     = 2 * time.Second
	heartbeat = 1500 * time.Millisecond
	gap       = 2 * time.Second // Of these heartbeats.
)

var epoch = time.Unix(1e9, 0)

func sec(s float64) time.Time { return epoch.Add(time.Duration(s * float64(time.Second))) }

// Guards against an outage of one VM that is taken for one of the store, and against one of the store
// in which entries have lapsed and that is not.
func TestDoubt(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(s *State)
		at   float64
		end  float64 // Of the doubt; 0 for none.
	}{
		{"nothing known", func(*State) {}, 5, 0},
		{"answers only", func(s *State) { s.Answered(sec(1)); s.Answered(sec(3)); s.Answered(sec(4)) }, 4, 0},
		{"no answer for so long that entries can lapse", func(s *State) { s.Answered(sec(1)); s.Answered(sec(4)) }, 4, 6},
		{"the store held the call meanwhile", func(s *State) { s.Answered(sec(1)); s.Held(sec(3.9)); s.Answered(sec(4)) }, 4, 0},
		{"the same, reset, and answered soon after", func(s *State) {
			s.Answered(sec(1))
			s.Held(sec(3.5))
			s.Failed(sec(3.5))
			s.Answered(sec(4))
		}, 4, 0},
		{"held, but answered long after its time", func(s *State) { s.Answered(sec(1)); s.Held(sec(2)); s.Answered(sec(4.25)) }, 4.25, 6.25},
		{"one call held, another failed for long", func(s *State) {
			s.Answered(sec(1))
			s.Failed(sec(2))
			s.Held(sec(4))
			s.Answered(sec(4.5))
		}, 4.5, 6.5},
		{"held, and failed for long after", func(s *State) {
			s.Answered(sec(1))
			s.Held(sec(3))
			s.Failed(sec(3))
			s.Answered(sec(4))
		}, 4, 6},
		{"the same, but others were answered", func(s *State) {
			s.Answered(sec(1))
			s.Answered(sec(4))
			s.Heard(sec(4), sec(0), sec(3.5))
		}, 4, 0},
		{"one failed call", func(s *State) { s.Failed(sec(1)); s.Answered(sec(1.5)) }, 1.5, 0},
		{"own outage, nobody else known", func(s *State) { s.Answered(sec(0)); s.Failed(sec(1)); s.Answered(sec(5)) }, 5, 7},
		{"own outage, over", func(s *State) { s.Failed(sec(1)); s.Answered(sec(5)) }, 7, 0},
		{"the store went on answering others", func(s *State) {
			s.Failed(sec(1))
			s.Answered(sec(5))
			s.Heard(sec(5), sec(0), sec(4.8))
		}, 5, 0},
		{"the same, heard before the own answer", func(s *State) {
			s.Failed(sec(1))
			s.Heard(sec(4.9), sec(0), sec(4.8))
			s.Answered(sec(5))
		}, 5, 0},
		{"others have been answered since the return only", func(s *State) {
			s.Answered(sec(0.9))
			s.Failed(sec(1))
			s.Answered(sec(5))
			s.Heard(sec(5.2), sec(5), sec(5.1))
		}, 5.2, 7},
		{"others were answered before the outage only", func(s *State) {
			s.Heard(sec(0.9), sec(0), sec(0.8))
			s.Failed(sec(1))
			s.Answered(sec(2))
		}, 2, 4},
		{"a gap in which entries can lapse", func(s *State) {
			s.Heard(sec(1), sec(0), sec(1))
			s.Failed(sec(2))
			s.Heard(sec(3.1), sec(3.05), sec(3.1))
			s.Answered(sec(3.2))
		}, 3.2, 5.2},
		{"a gap that is too short for that", func(s *State) {
			s.Heard(sec(1), sec(0), sec(1))
			s.Failed(sec(2))
			s.Heard(sec(2.9), sec(2.85), sec(2.9))
			s.Answered(sec(3.2))
		}, 3.2, 0},
		{"relayed", func(s *State) { s.Relayed(sec(5), time.Second) }, 5, 6},
		{"relayed, longer than the grace", func(s *State) { s.Relayed(sec(5), time.Minute) }, 5, 7},
		{"relayed without doubt", func(s *State) { s.Relayed(sec(5), 0) }, 5, 0},
		{"relayed by a VM that was cut off", func(s *State) {
			s.Heard(sec(4.5), sec(0), sec(4.4))
			s.Relayed(sec(5), grace)
		}, 5, 0},
		{"relayed after an outage of the store", func(s *State) {
			s.Heard(sec(1), sec(0), sec(1))
			s.Relayed(sec(5), grace)
			s.Heard(sec(5.1), sec(5), sec(5.05))
		}, 5.1, 7},
		{"restored", func(s *State) { s.Heard(sec(5), sec(0), sec(5)); s.Restored(sec(5), grace) }, 5.5, 7},
	} {
		s := New(grace, heartbeat)
		c.play(s)
		_, end := s.Doubt(sec(c.at))
		want := sec(c.end)
		if c.end == 0 {
			want = time.Time{}
		}
		if !end.Equal(want) {
			t.Errorf("%s: in doubt until %v after the start, want %v", c.name, end.Sub(epoch), c.end)
		}
	}
}

// Guards against missing entries that are kept for good, as a VM whose last call failed calls no more,
// and against ones that are given up while the store is away.
func TestAway(t *testing.T) {
	s := New(grace, heartbeat)
	s.Heard(sec(1), sec(0), sec(0.9))
	if s.Away(sec(10)) {
		t.Error("away without a failed call")
	}
	s.Failed(sec(2))
	if !s.Away(sec(4)) {
		t.Error("not away although calls fail and nobody was answered since")
	}
	s.Heard(sec(5), sec(0), sec(4.8))
	if s.Away(sec(5)) || !s.Away(sec(4.8).Add(gap+time.Millisecond)) {
		t.Error("the answers to others do not decide")
	}
	s.Answered(sec(9))
	if s.Away(sec(9)) {
		t.Error("away after an answer")
	}
}

// Guards against a doubt that ends without those who wait for that being told.
func TestHeardTellsOfTheEnd(t *testing.T) {
	s := New(grace, heartbeat)
	s.Failed(sec(1))
	s.Answered(sec(5))
	if s.Heard(sec(5.1), sec(5), sec(5.05)) {
		t.Error("settled by an answer after the return")
	}
	if !s.Heard(sec(5.2), sec(0), sec(5)) || s.Heard(sec(5.3), sec(0), sec(5.2)) {
		t.Error("the end of the doubt is not told once")
	}
}
