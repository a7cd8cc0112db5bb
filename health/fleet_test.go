package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
)

const (
	testTick      = 100 * time.Millisecond
	normalLatency = 80 * time.Millisecond
	forever       = time.Hour
)

// fleet simulates VMs in front of the same servers. Each VM sends one request a second
// to each server with a weight above 0, and reports to its peers every 500 ms.
type fleet struct {
	start     time.Time
	now       time.Time
	detectors []*Detector
	servers   []Server
	linked    func(from, to int) bool
	// respond returns the outcome and latency of a request that starts now.
	respond func(vm, server int, since time.Duration) (board.Outcome, time.Duration)
	// sends reports whether a VM sends requests to a server; nil means always.
	sends func(vm, server int, since time.Duration) bool
	// onDecision is called with every decision.
	onDecision func(vm int, since time.Duration, d Decision)
	inflight   []inflight
	decisions  [][]Decision
	ticks      int
	probing    bool
}

type inflight struct {
	vm, server int
	start, end time.Time
	outcome    board.Outcome
}

func newFleet(vms, servers, zones, floor int, profile string) *fleet {
	start := time.Unix(1000, 0)
	f := &fleet{
		start: start, now: start,
		linked:    func(from, to int) bool { return from != to },
		respond:   func(int, int, time.Duration) (board.Outcome, time.Duration) { return board.Success, normalLatency },
		decisions: make([][]Decision, vms),
	}
	for i := range servers {
		f.servers = append(f.servers, NewServer(fmt.Sprintf("10.0.0.%d:80", i), fmt.Sprint("zone", i%zones), false))
	}
	for i := range vms {
		detector := New("layout", NewPolicy(note.Detection{Profile: profile}))
		detector.SetOrigin(uint64(100 + i))
		detector.SetServers(start, f.servers, floor)
		f.detectors = append(f.detectors, detector)
	}
	return f
}

// run advances the fleet by span. The callbacks get the time since the call.
func (f *fleet) run(span time.Duration) {
	from := f.now
	for f.now.Sub(from) < span {
		f.now = f.now.Add(testTick)
		f.ticks++
		f.completeRequests()
		f.sendRequests(f.now.Sub(from))
		if f.ticks%5 == 0 {
			f.exchangeReports()
		}
		f.decide(f.now.Sub(from))
	}
}

func (f *fleet) completeRequests() {
	kept := f.inflight[:0]
	for _, req := range f.inflight {
		if req.end.After(f.now) {
			kept = append(kept, req)
			continue
		}
		f.detectors[req.vm].Observe(f.now, board.Sample{
			Server: f.servers[req.server].Addr(), Start: req.start, Took: req.end.Sub(req.start), Outcome: req.outcome,
		})
	}
	f.inflight = kept
}

func (f *fleet) sendRequests(since time.Duration) {
	for vm := range f.detectors {
		for i := range f.servers {
			if (f.ticks+vm+i)%10 != 0 || f.decisions[vm] != nil && f.decisions[vm][i].Weight() == 0 {
				continue
			}
			if f.sends != nil && !f.sends(vm, i, since) {
				continue
			}
			out, took := f.respond(vm, i, since)
			if deadline := 2 * time.Second; took > deadline {
				out, took = board.Late, deadline
			}
			f.inflight = append(f.inflight, inflight{vm, i, f.now, f.now.Add(took), out})
		}
	}
}

func (f *fleet) exchangeReports() {
	for from, detector := range f.detectors {
		reports := detector.Reports(f.now)
		for to, receiver := range f.detectors {
			if f.linked(from, to) {
				receiver.MergeReports(f.now, fmt.Sprint("vm", from), reports)
			}
		}
	}
}

func (f *fleet) decide(since time.Duration) {
	for vm, detector := range f.detectors {
		stats := make([]board.InflightStats, len(f.servers))
		for _, req := range f.inflight {
			if req.vm != vm {
				continue
			}
			stat := &stats[req.server]
			stat.Server = f.servers[req.server].Addr()
			if stat.Count == 0 || req.start.Before(stat.OldestStart) {
				stat.OldestStart = req.start
			}
			stat.Count++
		}
		detector.SetInflight(f.now, stats)
		if f.probing {
			for _, s := range f.servers {
				detector.ObserveProbe(f.now, s.Addr(), true, 25*time.Millisecond)
			}
		}
		f.decisions[vm] = append(f.decisions[vm][:0], detector.Decide(f.now)...)
		for _, d := range f.decisions[vm] {
			if f.onDecision != nil {
				f.onDecision(vm, since, d)
			}
		}
	}
}

// firstReached returns a function that returns when a VM first decided the state for the
// server, and whether one did.
func (f *fleet) firstReached(server int, state State) func() (time.Duration, bool) {
	var at time.Duration
	found := false
	next := f.onDecision
	f.onDecision = func(vm int, since time.Duration, d Decision) {
		if next != nil {
			next(vm, since, d)
		}
		if !found && d.Server() == f.servers[server].Addr() && d.State() == state {
			at, found = since, true
		}
	}
	return func() (time.Duration, bool) { return at, found }
}

// forbid fails the test when a decision for one of the selected servers has the state.
func (f *fleet) forbid(t *testing.T, state State, servers func(vm, server int) bool) {
	t.Helper()
	next := f.onDecision
	f.onDecision = func(vm int, since time.Duration, d Decision) {
		if next != nil {
			next(vm, since, d)
		}
		for i, s := range f.servers {
			if s.Addr() == d.Server() && d.State() == state && servers(vm, i) {
				t.Fatalf("VM %d, %v: server %d is %v (%s)", vm, since, i, d.State(), d.Reason())
			}
		}
	}
}

func anyServer(int, int) bool { return true }

func warmFleet(vms, servers, zones, floor int, profile string) *fleet {
	f := newFleet(vms, servers, zones, floor, profile)
	f.run(20 * time.Second)
	return f
}

// Guards against the ejection of a server that has recovered from a stall because of one
// sporadic slow exchange that one VM observes seconds later. The other VMs send no
// requests to it in that time, which must not count as confirmation.
func TestNoEjectionAfterStall(t *testing.T) {
	t.Parallel()
	const stall, slow = 12 * time.Second, 20 * time.Second
	f := warmFleet(8, 10, 2, 6, note.ProfileSteady)
	f.respond = func(vm, server int, since time.Duration) (board.Outcome, time.Duration) {
		stalled := since < stall || vm == 3 && since > slow && since < slow+time.Second
		if server == 0 && stalled {
			return board.Success, forever
		}
		return board.Success, normalLatency
	}
	f.sends = func(vm, server int, since time.Duration) bool {
		return server != 0 || since < stall || vm == 3 && since > slow
	}
	f.forbid(t, Ejected, anyServer)
	f.run(slow + 6*time.Second)
}
