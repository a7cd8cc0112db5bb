package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/wire"
)

// Guards against a field that is lost in the conversion to and from the wire message.
func TestReportRoundTrip(t *testing.T) {
	t.Parallel()
	for _, c := range []Condition{ConditionNormal, ConditionDraining, ConditionCold} {
		want := Report{
			server: "10.0.0.1:80", good: 1, bad: 2, stalled: 3, unreachable: 4,
			median: 80 * time.Millisecond, condition: c, origin: 5, age: 300 * time.Millisecond,
		}
		m := want.ToWire("layout")
		if m.GetService() != "layout" {
			t.Errorf("service %q", m.GetService())
		}
		if got := ReportFromWire(m); got != want {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

// Guards against a faulty peer whose large counters outweigh the reports of all others.
func TestReportIsBounded(t *testing.T) {
	t.Parallel()
	f := warmFleet(4, 8, 4, 4, note.ProfileFast)
	huge := ReportFromWire(&wire.Report{Server: f.servers[0].Addr(), Bad: 1 << 31, Stalled: 1 << 31, Origin: 999})
	if huge.Bad() > maxReportCount || huge.Stalled() > maxReportCount {
		t.Errorf("counters %d, %d", huge.Bad(), huge.Stalled())
	}
	f.forbid(t, Trial, anyServer)
	f.forbid(t, Ejected, anyServer)
	for range 60 {
		f.detectors[0].MergeReports(f.now, "faulty", []Report{huge})
		f.run(500 * time.Millisecond)
	}
}

// Guards against heartbeats that grow with the number of servers, and against reports on
// a healthy service.
func TestReportCountIsBounded(t *testing.T) {
	t.Parallel()
	f := warmFleet(3, 200, 4, 4, note.ProfileFast)
	if n := len(f.detectors[0].Reports(f.now)); n != 0 {
		t.Errorf("%d reports about healthy servers", n)
	}
	f.respond = func(int, int, time.Duration) (board.Outcome, time.Duration) { return board.Failure, normalLatency }
	f.run(5 * time.Second)
	if n := len(f.detectors[0].Reports(f.now)); n == 0 || n > maxOwnReports+maxRelayedReports {
		t.Errorf("%d reports, want 1 to %d", n, maxOwnReports+maxRelayedReports)
	}
}

// Guards against evidence of a VM that counts twice because a peer relays it back.
func TestOwnReportIsIgnored(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 4, 2, 2, note.ProfileFast)
	detector := f.detectors[0]
	detector.Observe(f.now, board.Sample{Server: f.servers[0].Addr(), Start: f.now, Outcome: board.Failure})
	reports := detector.Reports(f.now)
	if len(reports) == 0 {
		// Decide updates the tally.
		detector.Decide(f.now)
		reports = detector.Reports(f.now)
	}
	if len(reports) != 1 || reports[0].Origin() != 100 {
		t.Fatalf("reports %+v", reports)
	}
	detector.MergeReports(f.now, "peer", reports)
	detector.Decide(f.now)
	if bad := detector.records[0].tally.bad; bad != 1 {
		t.Errorf("one failure counts as %v", bad)
	}
}

// Guards against an unbounded list of origins, and against dropping the newest one.
func TestOriginsAreBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 4, 2, 2, note.ProfileFast)
	detector := f.detectors[0]
	for i := range 10 * maxOrigins {
		f.now = f.now.Add(time.Millisecond)
		detector.MergeReports(f.now, fmt.Sprint(i), []Report{{server: f.servers[0].Addr(), good: 1}})
	}
	peerReports := detector.records[0].peerReports
	newest := originOf(fmt.Sprint(10*maxOrigins - 1))
	found := false
	for _, w := range peerReports {
		found = found || w.origin == newest
	}
	if len(peerReports) != maxOrigins || !found {
		t.Errorf("%d origins, newest kept: %v", len(peerReports), found)
	}
}
