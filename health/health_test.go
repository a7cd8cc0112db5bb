package health

import (
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
)

// Guards against gray failures of one server that no decision follows, and
// against decisions that also hit its neighbours.
func TestOneServerFails(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		profile string
		out     board.Outcome
		took    time.Duration
		within  time.Duration // Reduced share.
	}{
		{"stall with passing probes", note.ProfileFast, board.Success, forever, 2 * time.Second},
		{"stall, steady", note.ProfileSteady, board.Success, forever, 5 * time.Second},
		{"ten times slower", note.ProfileFast, board.Success, 10 * normal, 3 * time.Second},
		{"fails fast", note.ProfileFast, board.Failure, time.Millisecond, 2 * time.Second},
		{"answers for other requests", note.ProfileFast, board.Mismatch, normal, 2 * time.Second},
		{"truncates", note.ProfileFast, board.Truncated, normal, 2 * time.Second},
		{"resets", note.ProfileFast, board.Reset, normal, 2 * time.Second},
		{"is unreachable", note.ProfileFast, board.Unreachable, time.Millisecond, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := warmFleet(6, 8, 4, 4, tt.profile)
			f.probing = true
			f.behave = func(_, server int, _ time.Duration) (board.Outcome, time.Duration) {
				if server == 3 {
					return tt.out, tt.took
				}
				return board.Success, normal
			}
			for _, state := range []State{Reduced, Trial, Ejected} {
				f.forbid(t, state, func(_, server int) bool { return server != 3 })
			}
			reduced, ejected := f.reached(3, Reduced), f.reached(3, Ejected)
			f.run(40 * time.Second)
			if at, ok := reduced(); !ok || at > tt.within {
				t.Errorf("reduced: %v after %v, want within %v", ok, at, tt.within)
			}
			if at, ok := ejected(); !ok {
				t.Errorf("ejected: %v after %v, want an ejection within 40 s", ok, at)
			}
		})
	}
}

// Guards against ejections for a cause that the server does not have alone.
func TestSharedCauseEjectsNobody(t *testing.T) {
	t.Parallel()
	slow := 10 * normal
	tests := []struct {
		name   string
		behave func(vm, server int, since time.Duration) (board.Outcome, time.Duration)
	}{
		{"all servers slow", func(int, int, time.Duration) (board.Outcome, time.Duration) {
			return board.Success, slow
		}},
		{"all servers fail", func(int, int, time.Duration) (board.Outcome, time.Duration) {
			return board.Failure, normal
		}},
		{"one zone slow", func(_, server int, _ time.Duration) (board.Outcome, time.Duration) {
			if server%4 == 1 {
				return board.Success, slow
			}
			return board.Success, normal
		}},
		{"one VM cut off from a zone", func(vm, server int, _ time.Duration) (board.Outcome, time.Duration) {
			if vm == 2 && server%4 == 1 {
				return board.Success, forever
			}
			return board.Success, normal
		}},
		{"one VM cut off from one server", func(vm, server int, _ time.Duration) (board.Outcome, time.Duration) {
			if vm == 2 && server == 5 {
				return board.Unreachable, time.Millisecond
			}
			return board.Success, normal
		}},
		{"servers shed", func(_, server int, _ time.Duration) (board.Outcome, time.Duration) {
			if server%2 == 0 {
				return board.Shed, time.Millisecond
			}
			return board.Success, normal
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := warmFleet(6, 12, 4, 6, note.ProfileFast)
			f.behave = tt.behave
			f.forbid(t, Ejected, anyServer)
			f.run(60 * time.Second)
		})
	}
}

// Guards against a VM with a broken path that talks its peers out of healthy
// servers, and against one that keeps using the path.
func TestPathOfOneVM(t *testing.T) {
	t.Parallel()
	f := warmFleet(6, 12, 4, 6, note.ProfileFast)
	f.behave = func(vm, server int, _ time.Duration) (board.Outcome, time.Duration) {
		if vm == 2 && server%4 == 1 {
			return board.Success, forever
		}
		return board.Success, normal
	}
	others := func(vm, _ int) bool { return vm != 2 }
	f.forbid(t, Reduced, others)
	f.forbid(t, Trial, others)
	f.run(10 * time.Second)
	for i, d := range f.states[2] {
		if cut := i%4 == 1; cut != (d.Weight() <= pathWeight) {
			t.Errorf("server %d behind the path: %v, weight %v", i, cut, d.Weight())
		}
	}
	f.behave = func(int, int, time.Duration) (board.Outcome, time.Duration) { return board.Success, normal }
	f.run(30 * time.Second)
	for i, d := range f.states[2] {
		if d.State() != Healthy {
			t.Errorf("server %d is %v 30 s after the path is back", i, d.State())
		}
	}
}

// Guards against new work for a draining server after 3 s on a VM that learns
// of it over several links.
func TestDrainingTravels(t *testing.T) {
	t.Parallel()
	f := warmFleet(6, 8, 4, 4, note.ProfileFast)
	f.links = func(from, to int) bool { return from-to == 1 || to-from == 1 }
	f.groups[0].Observe(f.now, board.Sample{Server: f.servers[2].Addr(), Start: f.now, Outcome: board.Draining})
	f.run(3 * time.Second)
	for vm, states := range f.states {
		if d := states[2]; d.State() != Draining || d.Weight() != 0 {
			t.Errorf("VM %d: %v, weight %v", vm, d.State(), d.Weight())
		}
	}
}

// Guards against a drain that outlives the process, and against peers' older
// reports that bring it back.
func TestDrainingEndsWithTheProcess(t *testing.T) {
	t.Parallel()
	f := warmFleet(2, 8, 4, 4, note.ProfileFast)
	addr := f.servers[2].Addr()
	f.groups[0].Observe(f.now, board.Sample{Server: addr, Outcome: board.Draining})
	f.run(2 * time.Second)
	for _, g := range f.groups[:1] {
		g.ObserveProbe(f.now, addr, false, time.Second)
		g.ObserveProbe(f.now.Add(time.Second), addr, true, time.Millisecond)
	}
	f.run(3 * time.Second)
	if d := f.states[0][2]; d.State() != Starting {
		t.Errorf("after a passing probe: %v (%s)", d.State(), d.Reason())
	}
	if d := f.states[1][2]; d.State() != Draining {
		t.Errorf("without a probe: %v (%s)", d.State(), d.Reason())
	}
}

// Guards against cold servers that are ejected, get a full share at once, or
// count towards the floor.
func TestColdServer(t *testing.T) {
	t.Parallel()
	f := warmFleet(4, 4, 2, 4, note.ProfileFast)
	f.behave = func(_, server int, since time.Duration) (board.Outcome, time.Duration) {
		if server == 1 && since < 5*time.Second {
			return board.Cold, time.Millisecond
		}
		return board.Success, normal
	}
	f.forbid(t, Ejected, anyServer)
	f.forbid(t, Reduced, anyServer)
	f.run(5 * time.Second)
	if d := f.states[0][1]; d.State() != Starting || d.Weight() > coldWeight {
		t.Errorf("cold: %v, weight %v", d.State(), d.Weight())
	}
	f.run(20 * time.Second)
	if d := f.states[0][1]; d.State() != Healthy || d.Weight() != 1 {
		t.Errorf("warm: %v, weight %v", d.State(), d.Weight())
	}
}

// Guards against servers that the release marks as leaving and that still get
// work, and against new servers that get a full share at once.
func TestSetChanges(t *testing.T) {
	t.Parallel()
	f := warmFleet(1, 4, 2, 1, note.ProfileFast)
	g := f.groups[0]
	servers := append([]Server{}, f.servers...)
	servers[0] = NewServer(servers[0].Addr(), servers[0].Zone(), true)
	servers = append(servers, NewServer("10.0.0.9:80", "zone0", false))
	g.SetServers(f.now, servers, 1)
	got := g.Decide(f.now)
	if got[0].State() != Leaving || got[0].Weight() != 0 {
		t.Errorf("leaving: %v, weight %v", got[0].State(), got[0].Weight())
	}
	if got[4].State() != Starting || got[4].Weight() > startWeight {
		t.Errorf("new: %v, weight %v", got[4].State(), got[4].Weight())
	}
	if got = g.Decide(f.now.Add(2 * rampTime)); got[4].Weight() != 1 {
		t.Errorf("new, after the ramp: weight %v", got[4].Weight())
	}
	g.SetServers(f.now, servers[1:], 1)
	if n := len(g.Decide(f.now)); n != 4 {
		t.Errorf("%d decisions for 4 servers", n)
	}
}

// Guards against a flapping server that returns as often as it fails, and
// against a history that is never forgotten.
func TestEjectionsGrow(t *testing.T) {
	t.Parallel()
	g := New("layout", NewPolicy(note.Detection{Profile: note.ProfileFast}))
	now := time.Unix(0, 0)
	g.SetServers(now, []Server{NewServer("a:1", "z", false), NewServer("b:1", "z", false)}, 1)
	r := g.records[0]
	last := time.Duration(0)
	for range 5 {
		g.eject(now, r)
		span := r.until.Sub(now)
		if span <= last {
			t.Errorf("ejection of %v follows one of %v", span, last)
		}
		last, now = span, r.until
	}
	for range 20 {
		g.eject(now, r)
		now = r.until
	}
	if span := r.until.Sub(r.since); span != ejectionMost {
		t.Errorf("a server that never recovers is ejected for %v", span)
	}
	r.flaps = 4
	r.enter(now, Healthy, "")
	r.calm(now)
	r.calm(now.Add(4 * flapHalfLife))
	if r.flaps > 0.3 {
		t.Errorf("%v ejections remembered after four half-lives", r.flaps)
	}
}

// Guards against an old server on trial that never returns, and against a
// return at full share.
func TestReturnIsGradual(t *testing.T) {
	t.Parallel()
	f := warmFleet(6, 8, 4, 4, note.ProfileFast)
	f.behave = func(_, server int, since time.Duration) (board.Outcome, time.Duration) {
		if server == 3 && since < 30*time.Second {
			return board.Success, forever
		}
		return board.Success, normal
	}
	f.run(30 * time.Second)
	var weights []float64
	f.seen = func(vm int, _ time.Duration, d Decision) {
		if vm == 0 && d.Server() == f.servers[3].Addr() && d.State() == Starting {
			weights = append(weights, d.Weight())
		}
	}
	f.behave = func(int, int, time.Duration) (board.Outcome, time.Duration) { return board.Success, normal }
	f.run(60 * time.Second)
	if d := f.states[0][3]; d.State() != Healthy {
		t.Fatalf("after 60 s: %v (%s)", d.State(), d.Reason())
	}
	if len(weights) < 10 || weights[0] > 2*startWeight {
		t.Errorf("slow start: %v", weights)
	}
}

// Guards against a probe path that keeps a healthy server out for ever.
func TestFailingProbeDelaysTrial(t *testing.T) {
	t.Parallel()
	g := New("layout", NewPolicy(note.Detection{Profile: note.ProfileFast}))
	now := time.Unix(0, 0)
	g.SetServers(now, []Server{NewServer("a:1", "z", false), NewServer("b:1", "z", false)}, 1)
	g.eject(now, g.records[0])
	g.ObserveProbe(now, "a:1", false, time.Second)
	now = g.records[0].until
	if d := g.Decide(now)[0]; d.State() != Ejected {
		t.Errorf("with a failing probe: %v", d.State())
	}
	if d := g.Decide(now.Add(probeTrust))[0]; d.State() != Trial {
		t.Errorf("%v later: %v", probeTrust, d.State())
	}
}

// Guards against a bias that does not move the trade, and against a faulty note
// that makes ejections easier.
func TestBias(t *testing.T) {
	t.Parallel()
	for _, profile := range []string{note.ProfileFast, note.ProfileSteady} {
		quick := NewPolicy(note.Detection{Profile: profile})
		careful := NewPolicy(note.Detection{Profile: profile, Bias: 1})
		if careful.reduce <= quick.reduce || careful.trial <= quick.trial || careful.margin <= quick.margin {
			t.Errorf("%s: %+v is not more careful than %+v", profile, careful, quick)
		}
		if NewPolicy(note.Detection{Profile: profile, Bias: 7}) != careful {
			t.Errorf("%s: bias 7 is not read as 1", profile)
		}
	}
	if NewPolicy(note.Detection{Profile: "other"}) != NewPolicy(note.Detection{Profile: note.ProfileSteady}) {
		t.Error("an unknown profile is not read as steady")
	}
}

// Guards against a server of a service with few requests that never returns
// because its good exchanges are forgotten.
func TestReturnWithFewRequests(t *testing.T) {
	t.Parallel()
	g := New("layout", NewPolicy(note.Detection{Profile: note.ProfileFast}))
	now := time.Unix(0, 0)
	g.SetServers(now, []Server{NewServer("a:1", "z", false), NewServer("b:1", "z", false)}, 1)
	g.records[0].enter(now, Trial, "test")
	now = now.Add(time.Second)
	g.Observe(now, board.Sample{Server: "a:1", Start: now, Outcome: board.Failure})
	for range 4 {
		for range 300 {
			now = now.Add(testTick)
			g.Decide(now)
		}
		g.Observe(now, board.Sample{Server: "a:1", Start: now, Took: normal, Outcome: board.Success})
	}
	if d := g.Decide(now)[0]; d.State() != Healthy {
		t.Errorf("after four good exchanges in two minutes: %v", d.State())
	}
}
