package health

import (
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
)

// Guards against gray failures of one server that do not lead to its ejection, and
// against decisions that also affect healthy servers.
func TestFailingServerIsEjected(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		profile string
		out     board.Outcome
		took    time.Duration
		within  time.Duration // Longest time until Reduced.
	}{
		{"stall with passing probes", note.ProfileFast, board.Success, forever, 2 * time.Second},
		{"stall, steady", note.ProfileSteady, board.Success, forever, 5 * time.Second},
		{"ten times slower", note.ProfileFast, board.Success, 10 * normalLatency, 3 * time.Second},
		{"fails fast", note.ProfileFast, board.Failure, time.Millisecond, 2 * time.Second},
		{"responds to other requests", note.ProfileFast, board.Mismatch, normalLatency, 2 * time.Second},
		{"truncates", note.ProfileFast, board.Truncated, normalLatency, 2 * time.Second},
		{"resets", note.ProfileFast, board.Reset, normalLatency, 2 * time.Second},
		{"is unreachable", note.ProfileFast, board.Unreachable, time.Millisecond, 2 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := warmFleet(6, 8, 4, 4, tt.profile)
			f.probing = true
			f.respond = func(_, server int, _ time.Duration) (board.Outcome, time.Duration) {
				if server == 3 {
					return tt.out, tt.took
				}
				return board.Success, normalLatency
			}
			for _, state := range []State{Reduced, Trial, Ejected} {
				f.forbid(t, state, func(_, server int) bool { return server != 3 })
			}
			reduced, ejected := f.firstReached(3, Reduced), f.firstReached(3, Ejected)
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

// Guards against ejections for a cause that affects more than the server: the service,
// a zone, a path, or load shedding.
func TestSharedCauseEjectsNoServer(t *testing.T) {
	t.Parallel()
	slow := 10 * normalLatency
	tests := []struct {
		name    string
		respond func(vm, server int, since time.Duration) (board.Outcome, time.Duration)
	}{
		{"all servers slow", func(int, int, time.Duration) (board.Outcome, time.Duration) {
			return board.Success, slow
		}},
		{"all servers fail", func(int, int, time.Duration) (board.Outcome, time.Duration) {
			return board.Failure, normalLatency
		}},
		{"one zone slow", func(_, server int, _ time.Duration) (board.Outcome, time.Duration) {
			if server%4 == 1 {
				return board.Success, slow
			}
			return board.Success, normalLatency
		}},
		{"one VM cut off from a zone", func(vm, server int, _ time.Duration) (board.Outcome, time.Duration) {
			if vm == 2 && server%4 == 1 {
				return board.Success, forever
			}
			return board.Success, normalLatency
		}},
		{"one VM cut off from one server", func(vm, server int, _ time.Duration) (board.Outcome, time.Duration) {
			if vm == 2 && server == 5 {
				return board.Unreachable, time.Millisecond
			}
			return board.Success, normalLatency
		}},
		{"servers shed", func(_, server int, _ time.Duration) (board.Outcome, time.Duration) {
			if server%2 == 0 {
				return board.Shed, time.Millisecond
			}
			return board.Success, normalLatency
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := warmFleet(6, 12, 4, 6, note.ProfileFast)
			f.respond = tt.respond
			f.forbid(t, Ejected, anyServer)
			f.run(60 * time.Second)
		})
	}
}

// Guards against a VM with a broken path to a zone whose reports make its peers avoid
// healthy servers, and against one that keeps using the path.
func TestPathFaultOfOneVM(t *testing.T) {
	t.Parallel()
	f := warmFleet(6, 12, 4, 6, note.ProfileFast)
	f.respond = func(vm, server int, _ time.Duration) (board.Outcome, time.Duration) {
		if vm == 2 && server%4 == 1 {
			return board.Success, forever
		}
		return board.Success, normalLatency
	}
	others := func(vm, _ int) bool { return vm != 2 }
	f.forbid(t, Reduced, others)
	f.forbid(t, Trial, others)
	f.run(10 * time.Second)
	for i, d := range f.decisions[2] {
		if cut := i%4 == 1; cut != (d.Weight() <= pathWeight) {
			t.Errorf("server %d behind the path: %v, weight %v", i, cut, d.Weight())
		}
	}
	f.respond = func(int, int, time.Duration) (board.Outcome, time.Duration) { return board.Success, normalLatency }
	f.run(30 * time.Second)
	for i, d := range f.decisions[2] {
		if d.State() != Healthy {
			t.Errorf("server %d is %v 30 s after the path recovered", i, d.State())
		}
	}
}

// Guards against a VM that still sends requests to a draining server after 3 s because
// the report reaches it only over several links.
func TestDrainingReachesAllVMs(t *testing.T) {
	t.Parallel()
	f := warmFleet(6, 8, 4, 4, note.ProfileFast)
	f.linked = func(from, to int) bool { return from-to == 1 || to-from == 1 }
	f.detectors[0].Observe(f.now, board.Sample{Server: f.servers[2].Addr(), Start: f.now, Outcome: board.Draining})
	f.run(3 * time.Second)
	for vm, decisions := range f.decisions {
		if d := decisions[2]; d.State() != Draining || d.Weight() != 0 {
			t.Errorf("VM %d: %v, weight %v", vm, d.State(), d.Weight())
		}
	}
}

// Guards against a server that stays Draining after its process was restarted, and
// against older reports of peers that set the state again.
func TestDrainingEndsOnRestart(t *testing.T) {
	t.Parallel()
	f := warmFleet(2, 8, 4, 4, note.ProfileFast)
	addr := f.servers[2].Addr()
	f.detectors[0].Observe(f.now, board.Sample{Server: addr, Outcome: board.Draining})
	f.run(2 * time.Second)
	for _, detector := range f.detectors[:1] {
		detector.ObserveProbe(f.now, addr, false, time.Second)
		detector.ObserveProbe(f.now.Add(time.Second), addr, true, time.Millisecond)
	}
	f.run(3 * time.Second)
	if d := f.decisions[0][2]; d.State() != Starting {
		t.Errorf("after a passing probe: %v (%s)", d.State(), d.Reason())
	}
	if d := f.decisions[1][2]; d.State() != Draining {
		t.Errorf("without a probe: %v (%s)", d.State(), d.Reason())
	}
}

// Guards against cold servers that are ejected, get a full share at once, or count
// towards the floor.
func TestColdServer(t *testing.T) {
	t.Parallel()
	f := warmFleet(4, 4, 2, 4, note.ProfileFast)
	f.respond = func(_, server int, since time.Duration) (board.Outcome, time.Duration) {
		if server == 1 && since < 5*time.Second {
			return board.Cold, time.Millisecond
		}
		return board.Success, normalLatency
	}
	f.forbid(t, Ejected, anyServer)
	f.forbid(t, Reduced, anyServer)
	f.run(5 * time.Second)
	if d := f.decisions[0][1]; d.State() != Starting || d.Weight() > coldWeight {
		t.Errorf("cold: %v, weight %v", d.State(), d.Weight())
	}
	f.run(20 * time.Second)
	if d := f.decisions[0][1]; d.State() != Healthy || d.Weight() != 1 {
		t.Errorf("warm: %v, weight %v", d.State(), d.Weight())
	}
}

// Guards against requests to servers that the release marks as leaving, and against new
// servers that get a full share at once.
func TestSetServersChanges(t *testing.T) {
	t.Parallel()
	f := warmFleet(1, 4, 2, 1, note.ProfileFast)
	detector := f.detectors[0]
	servers := append([]Server{}, f.servers...)
	servers[0] = NewServer(servers[0].Addr(), servers[0].Zone(), true)
	servers = append(servers, NewServer("10.0.0.9:80", "zone0", false))
	detector.SetServers(f.now, servers, 1)
	got := detector.Decide(f.now)
	if got[0].State() != Leaving || got[0].Weight() != 0 {
		t.Errorf("leaving: %v, weight %v", got[0].State(), got[0].Weight())
	}
	if got[4].State() != Starting || got[4].Weight() > slowStartWeight {
		t.Errorf("new: %v, weight %v", got[4].State(), got[4].Weight())
	}
	if got = detector.Decide(f.now.Add(2 * slowStartTime)); got[4].Weight() != 1 {
		t.Errorf("new, after the slow start: weight %v", got[4].Weight())
	}
	detector.SetServers(f.now, servers[1:], 1)
	if n := len(detector.Decide(f.now)); n != 4 {
		t.Errorf("%d decisions for 4 servers", n)
	}
}

// Guards against a flapping server whose ejections do not become longer, and against a
// count of ejections that does not decay.
func TestEjectionsLengthen(t *testing.T) {
	t.Parallel()
	detector := New("layout", NewPolicy(note.Detection{Profile: note.ProfileFast}))
	now := time.Unix(0, 0)
	detector.SetServers(now, []Server{NewServer("a:1", "z", false), NewServer("b:1", "z", false)}, 1)
	r := detector.records[0]
	last := time.Duration(0)
	for range 5 {
		detector.eject(now, r)
		span := r.ejectedUntil.Sub(now)
		if span <= last {
			t.Errorf("ejection of %v follows one of %v", span, last)
		}
		last, now = span, r.ejectedUntil
	}
	for range 20 {
		detector.eject(now, r)
		now = r.ejectedUntil
	}
	if span := r.ejectedUntil.Sub(r.stateSince); span != maxEjection {
		t.Errorf("a server that never recovers is ejected for %v", span)
	}
	r.recentEjections = 4
	r.enter(now, Healthy, "")
	r.decayEjections(now)
	r.decayEjections(now.Add(4 * ejectionHalfLife))
	if r.recentEjections > 0.3 {
		t.Errorf("%v ejections still counted after four half-lives", r.recentEjections)
	}
}

// Guards against a recovered server that stays ejected or in Trial, and against recovery
// without slow start.
func TestRecoveryIsGradual(t *testing.T) {
	t.Parallel()
	f := warmFleet(6, 8, 4, 4, note.ProfileFast)
	f.respond = func(_, server int, since time.Duration) (board.Outcome, time.Duration) {
		if server == 3 && since < 30*time.Second {
			return board.Success, forever
		}
		return board.Success, normalLatency
	}
	f.run(30 * time.Second)
	var weights []float64
	f.onDecision = func(vm int, _ time.Duration, d Decision) {
		if vm == 0 && d.Server() == f.servers[3].Addr() && d.State() == Starting {
			weights = append(weights, d.Weight())
		}
	}
	f.respond = func(int, int, time.Duration) (board.Outcome, time.Duration) { return board.Success, normalLatency }
	f.run(60 * time.Second)
	if d := f.decisions[0][3]; d.State() != Healthy {
		t.Fatalf("after 60 s: %v (%s)", d.State(), d.Reason())
	}
	if len(weights) < 10 || weights[0] > 2*slowStartWeight {
		t.Errorf("slow start: %v", weights)
	}
}

// Guards against failing probes, such as on a broken probe path, that keep a healthy
// server ejected for ever.
func TestFailingProbeDelaysTrial(t *testing.T) {
	t.Parallel()
	detector := New("layout", NewPolicy(note.Detection{Profile: note.ProfileFast}))
	now := time.Unix(0, 0)
	detector.SetServers(now, []Server{NewServer("a:1", "z", false), NewServer("b:1", "z", false)}, 1)
	detector.eject(now, detector.records[0])
	detector.ObserveProbe(now, "a:1", false, time.Second)
	now = detector.records[0].ejectedUntil
	if d := detector.Decide(now)[0]; d.State() != Ejected {
		t.Errorf("with a failing probe: %v", d.State())
	}
	if d := detector.Decide(now.Add(maxProbeDelay))[0]; d.State() != Trial {
		t.Errorf("%v later: %v", maxProbeDelay, d.State())
	}
}

// Guards against a bias that does not raise the thresholds, and against a faulty note
// that lowers them.
func TestBias(t *testing.T) {
	t.Parallel()
	for _, profile := range []string{note.ProfileFast, note.ProfileSteady} {
		quick := NewPolicy(note.Detection{Profile: profile})
		careful := NewPolicy(note.Detection{Profile: profile, Bias: 1})
		if careful.reduceEvidence <= quick.reduceEvidence || careful.trialTime <= quick.trialTime || careful.slowMargin <= quick.slowMargin {
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

// Guards against a server of a service with few requests that never recovers because
// its good exchanges expire.
func TestRecoveryWithFewRequests(t *testing.T) {
	t.Parallel()
	detector := New("layout", NewPolicy(note.Detection{Profile: note.ProfileFast}))
	now := time.Unix(0, 0)
	detector.SetServers(now, []Server{NewServer("a:1", "z", false), NewServer("b:1", "z", false)}, 1)
	detector.records[0].enter(now, Trial, "test")
	now = now.Add(time.Second)
	detector.Observe(now, board.Sample{Server: "a:1", Start: now, Outcome: board.Failure})
	for range 4 {
		for range 300 {
			now = now.Add(testTick)
			detector.Decide(now)
		}
		detector.Observe(now, board.Sample{Server: "a:1", Start: now, Took: normalLatency, Outcome: board.Success})
	}
	if d := detector.Decide(now)[0]; d.State() != Healthy {
		t.Errorf("after four good exchanges in two minutes: %v", d.State())
	}
}
