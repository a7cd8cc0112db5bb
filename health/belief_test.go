package health

import (
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
)

var beliefStart = time.Unix(1_700_000_000, 0)

func switching(t *testing.T) *Detector {
	t.Helper()
	g := New("s", NewPolicy(note.Detection{Profile: note.ProfileSwitch}))
	g.SetServers(beliefStart, []Server{NewServer("a:1", "z", false), NewServer("b:1", "z", false)}, 1)
	return g
}

func weights(g *Detector, now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, d := range g.Decide(now) {
		out[d.Server()] = d.Weight()
	}
	return out
}

func sampleOf(server string, at time.Time, outcome board.Outcome) board.Sample {
	return board.Sample{Service: "s", Server: server, Start: at, Took: 10 * time.Millisecond, Outcome: outcome}
}

// Guards against a server with thin traffic that needs more than two failures to be
// avoided, or more than two good exchanges to be used again.
func TestFewExchangesDecide(t *testing.T) {
	g := switching(t)
	now := beliefStart
	see := func(outcome board.Outcome, count int) float64 {
		for range count {
			now = now.Add(50 * time.Millisecond)
			g.Observe(now, sampleOf("a:1", now, outcome))
		}
		return weights(g, now)["a:1"]
	}
	if w := see(board.Success, 3); w < usableWeight {
		t.Errorf("after three good exchanges: %v", w)
	}
	if w := see(board.Failure, 2); w >= usableWeight {
		t.Errorf("after two failures: %v", w)
	}
	if w := see(board.Success, 4); w < usableWeight {
		t.Errorf("after four good exchanges: %v", w)
	}
}

// Guards against a server that never gets the request that would show that it is
// sound again.
func TestNoServerIsCutOff(t *testing.T) {
	g := switching(t)
	now := beliefStart
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		g.Observe(now, sampleOf("a:1", now, board.Reset))
	}
	if w := weights(g, now)["a:1"]; w < leastShare {
		t.Errorf("after 100 failures: %v", w)
	}
	// Without evidence the server is neither trusted nor avoided for good.
	later := weights(g, now.Add(2*serverChain.failing))["a:1"]
	if later < 5*leastShare || later >= usableWeight {
		t.Errorf("%v later: %v", 2*serverChain.failing, later)
	}
}

// Guards against VMs that learn only from their own exchanges.
func TestEventsCarryEvidence(t *testing.T) {
	first, second := switching(t), switching(t)
	now := beliefStart.Add(time.Second)
	for range 3 {
		first.Observe(now, sampleOf("a:1", now, board.Failure))
	}
	first.Observe(now, sampleOf("b:1", now, board.Success))
	events, urgent := first.PopEvents()
	if !urgent || len(events) != 2 {
		t.Fatalf("%d events, urgent %v", len(events), urgent)
	}
	for _, e := range events {
		if !second.MergeEvent(now, e) {
			t.Errorf("no server for %+v", e)
		}
	}
	w := weights(second, now)
	if w["a:1"] >= usableWeight || w["b:1"] < usableWeight {
		t.Errorf("weights %v", w)
	}
	if events, _ := first.PopEvents(); len(events) != 0 {
		t.Errorf("told twice: %+v", events)
	}
}

// Guards against a cut path of one VM that all others hold against the server.
func TestUnreachableConcernsOwnPath(t *testing.T) {
	g := switching(t)
	now := beliefStart.Add(time.Second)
	for range 3 {
		g.Observe(now, sampleOf("a:1", now, board.Unreachable))
	}
	if events, _ := g.PopEvents(); len(events) != 0 {
		t.Errorf("events %+v", events)
	}
	if w := weights(g, now)["a:1"]; w >= usableWeight {
		t.Errorf("weight %v for a server that cannot be reached", w)
	}
}

// Guards against a new process at a known address that inherits what the old one did.
func TestNewProcessStartsAnew(t *testing.T) {
	g := switching(t)
	now := beliefStart.Add(time.Second)
	for range 3 {
		g.Observe(now, sampleOf("a:1", now, board.Failure))
	}
	before := weights(g, now)["a:1"]
	g.SetServers(now, []Server{NewServer("a:1", "z", false).WithID("i-2"), NewServer("b:1", "z", false)}, 1)
	if after := weights(g, now)["a:1"]; after <= before {
		t.Errorf("weight %v before, %v after", before, after)
	}
}

// Guards against load that gathers on servers whose other requests this VM cannot
// see.
func TestOthersCountAsLoad(t *testing.T) {
	g := switching(t)
	now := beliefStart
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		g.Observe(now, board.Sample{Service: "s", Server: "b:1", Start: now, Took: 200 * time.Millisecond})
		g.MergeEvent(now, NewEvent(ServerKey("s", "a:1"), 1, 0))
	}
	for _, d := range g.Decide(now) {
		// 100 a second that take 200 ms each are 20 at a time.
		if d.Server() == "a:1" && (d.PeerInflight() < 10 || d.PeerInflight() > 30) {
			t.Errorf("others %v", d.PeerInflight())
		}
	}
}
