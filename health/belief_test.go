package health

import (
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
)

var testStart = time.Unix(1_700_000_000, 0)

func newSwitchingDetector(t *testing.T) *Detector {
	t.Helper()
	detector := New("s", NewPolicy(note.Detection{Profile: note.ProfileSwitch}))
	detector.SetServers(testStart, []Server{NewServer("a:1", "z", false), NewServer("b:1", "z", false)}, 1)
	return detector
}

func weightsByServer(detector *Detector, now time.Time) map[string]float64 {
	out := map[string]float64{}
	for _, d := range detector.Decide(now) {
		out[d.Server()] = d.Weight()
	}
	return out
}

func newSample(server string, at time.Time, outcome board.Outcome) board.Sample {
	return board.Sample{Service: "s", Server: server, Start: at, Took: 10 * time.Millisecond, Outcome: outcome}
}

// Guards against a server with little traffic that is still used after two failures, or
// still avoided after a few good exchanges.
func TestFewExchangesChangeWeight(t *testing.T) {
	detector := newSwitchingDetector(t)
	now := testStart
	observe := func(outcome board.Outcome, count int) float64 {
		for range count {
			now = now.Add(50 * time.Millisecond)
			detector.Observe(now, newSample("a:1", now, outcome))
		}
		return weightsByServer(detector, now)["a:1"]
	}
	if w := observe(board.Success, 3); w < usableWeight {
		t.Errorf("after three good exchanges: %v", w)
	}
	if w := observe(board.Failure, 2); w >= usableWeight {
		t.Errorf("after two failures: %v", w)
	}
	if w := observe(board.Success, 4); w < usableWeight {
		t.Errorf("after four good exchanges: %v", w)
	}
}

// Guards against a server whose weight drops so far that it gets no request that could
// show its recovery.
func TestFailingServerKeepsMinWeight(t *testing.T) {
	detector := newSwitchingDetector(t)
	now := testStart
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		detector.Observe(now, newSample("a:1", now, board.Reset))
	}
	if w := weightsByServer(detector, now)["a:1"]; w < minWeight {
		t.Errorf("after 100 failures: %v", w)
	}
	// Without new evidence the weight rises again, but stays below usableWeight.
	later := weightsByServer(detector, now.Add(2*serverChain.meanFailing))["a:1"]
	if later < 5*minWeight || later >= usableWeight {
		t.Errorf("%v later: %v", 2*serverChain.meanFailing, later)
	}
}

// Guards against VMs that ignore the exchanges of other VMs.
func TestEventsCarryEvidence(t *testing.T) {
	first, second := newSwitchingDetector(t), newSwitchingDetector(t)
	now := testStart.Add(time.Second)
	for range 3 {
		first.Observe(now, newSample("a:1", now, board.Failure))
	}
	first.Observe(now, newSample("b:1", now, board.Success))
	events, urgent := first.PopEvents()
	if !urgent || len(events) != 2 {
		t.Fatalf("%d events, urgent %v", len(events), urgent)
	}
	for _, e := range events {
		if !second.MergeEvent(now, e) {
			t.Errorf("event for an unknown server: %+v", e)
		}
	}
	w := weightsByServer(second, now)
	if w["a:1"] >= usableWeight || w["b:1"] < usableWeight {
		t.Errorf("weights %v", w)
	}
	if events, _ := first.PopEvents(); len(events) != 0 {
		t.Errorf("events returned twice: %+v", events)
	}
}

// Guards against a broken path of one VM that counts against the server on all others.
func TestUnreachableStaysLocal(t *testing.T) {
	detector := newSwitchingDetector(t)
	now := testStart.Add(time.Second)
	for range 3 {
		detector.Observe(now, newSample("a:1", now, board.Unreachable))
	}
	if events, _ := detector.PopEvents(); len(events) != 0 {
		t.Errorf("events %+v", events)
	}
	if w := weightsByServer(detector, now)["a:1"]; w >= usableWeight {
		t.Errorf("weight %v for an unreachable server", w)
	}
}

// Guards against a new process at a known address that inherits the evidence against the
// old one.
func TestNewProcessResetsEvidence(t *testing.T) {
	detector := newSwitchingDetector(t)
	now := testStart.Add(time.Second)
	for range 3 {
		detector.Observe(now, newSample("a:1", now, board.Failure))
	}
	before := weightsByServer(detector, now)["a:1"]
	detector.SetServers(now, []Server{NewServer("a:1", "z", false).WithID("i-2"), NewServer("b:1", "z", false)}, 1)
	if after := weightsByServer(detector, now)["a:1"]; after <= before {
		t.Errorf("weight %v before, %v after", before, after)
	}
}

// Guards against load that concentrates on a server because the requests of other VMs
// in flight there are not counted.
func TestPeerInflight(t *testing.T) {
	detector := newSwitchingDetector(t)
	now := testStart
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		detector.Observe(now, board.Sample{Service: "s", Server: "b:1", Start: now, Took: 200 * time.Millisecond})
		detector.MergeEvent(now, NewEvent(ServerKey("s", "a:1"), 1, 0))
	}
	for _, d := range detector.Decide(now) {
		// 100 requests a second of 200 ms each keep 20 in flight.
		if d.Server() == "a:1" && (d.PeerInflight() < 10 || d.PeerInflight() > 30) {
			t.Errorf("%v requests of peers in flight, want 10 to 30", d.PeerInflight())
		}
	}
}
