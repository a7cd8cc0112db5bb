package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/wire"
)

// Guards against a field that is lost between VMs.
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

// Guards against a faulty peer whose counters outweigh those of all others.
func TestReportIsBounded(t *testing.T) {
	t.Parallel()
	f := warmFleet(4, 8, 4, 4, note.ProfileFast)
	huge := ReportFromWire(&wire.Report{Server: f.servers[0].Addr(), Bad: 1 << 31, Stalled: 1 << 31, Origin: 999})
	if huge.Bad() > maxCount || huge.Stalled() > maxCount {
		t.Errorf("counters %d, %d", huge.Bad(), huge.Stalled())
	}
	f.forbid(t, Trial, anyServer)
	f.forbid(t, Ejected, anyServer)
	for range 60 {
		f.groups[0].MergeReports(f.now, "faulty", []Report{huge})
		f.run(500 * time.Millisecond)
	}
}

// Guards against heartbeats that grow with the service, and against reports
// about a service without problems.
func TestReportsAreFew(t *testing.T) {
	t.Parallel()
	f := warmFleet(3, 200, 4, 4, note.ProfileFast)
	if n := len(f.groups[0].Reports(f.now)); n != 0 {
		t.Errorf("%d reports about healthy servers", n)
	}
	f.behave = func(int, int, time.Duration) (board.Outcome, time.Duration) { return board.Failure, normal }
	f.run(5 * time.Second)
	if n := len(f.groups[0].Reports(f.now)); n == 0 || n > maxOwn+maxRelayed {
		t.Errorf("%d reports, want 1 to %d", n, maxOwn+maxRelayed)
	}
}

// Guards against own evidence that returns through a peer and counts twice.
func TestOwnReportIsIgnored(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 4, 2, 2, note.ProfileFast)
	g := f.groups[0]
	g.Observe(f.now, board.Sample{Server: f.servers[0].Addr(), Start: f.now, Outcome: board.Failure})
	reports := g.Reports(f.now)
	if len(reports) == 0 {
		// The tally is taken by Decide.
		g.Decide(f.now)
		reports = g.Reports(f.now)
	}
	if len(reports) != 1 || reports[0].Origin() != 100 {
		t.Fatalf("reports %+v", reports)
	}
	g.MergeReports(f.now, "peer", reports)
	g.Decide(f.now)
	if bad := g.records[0].tally.bad; bad != 1 {
		t.Errorf("one failure counts as %v", bad)
	}
}

// Guards against a long list of origins and against a loss of the newest.
func TestOriginsAreBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(1, 4, 2, 2, note.ProfileFast)
	g := f.groups[0]
	for i := range 10 * maxOrigins {
		f.now = f.now.Add(time.Millisecond)
		g.MergeReports(f.now, fmt.Sprint(i), []Report{{server: f.servers[0].Addr(), good: 1}})
	}
	words := g.records[0].words
	newest := hashOrigin(fmt.Sprint(10*maxOrigins - 1))
	found := false
	for _, w := range words {
		found = found || w.origin == newest
	}
	if len(words) != maxOrigins || !found {
		t.Errorf("%d origins, newest known: %v", len(words), found)
	}
}
