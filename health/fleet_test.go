package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
)

const (
	testTick = 100 * time.Millisecond
	normal   = 80 * time.Millisecond
	forever  = time.Hour
)

// fleet is a few VMs in front of the same servers. Each VM sends one request a
// second to each server that has weight, and reports to its peers every 500 ms.
type fleet struct {
	start   time.Time
	now     time.Time
	groups  []*Detector
	servers []Server
	links   func(from, to int) bool
	// behave says how a request ends that starts now.
	behave func(vm, server int, since time.Duration) (board.Outcome, time.Duration)
	// sends says whether a VM sends requests to a server; nil for always.
	sends func(vm, server int, since time.Duration) bool
	// seen is called with every decision.
	seen    func(vm int, since time.Duration, d Decision)
	flying  []flying
	states  [][]Decision
	ticks   int
	probing bool
}

type flying struct {
	vm, server int
	start, end time.Time
	outcome    board.Outcome
}

func newFleet(vms, servers, zones, floor int, profile string) *fleet {
	start := time.Unix(1000, 0)
	f := &fleet{
		start: start, now: start,
		links:  func(from, to int) bool { return from != to },
		behave: func(int, int, time.Duration) (board.Outcome, time.Duration) { return board.Success, normal },
		states: make([][]Decision, vms),
	}
	for i := range servers {
		f.servers = append(f.servers, NewServer(fmt.Sprintf("10.0.0.%d:80", i), fmt.Sprint("zone", i%zones), false))
	}
	for i := range vms {
		g := New("layout", NewPolicy(note.Detection{Profile: profile}))
		g.SetOrigin(uint64(100 + i))
		g.SetServers(start, f.servers, floor)
		f.groups = append(f.groups, g)
	}
	return f
}

// run advances the fleet by span. Behaviour gets the time since the call.
func (f *fleet) run(span time.Duration) {
	from := f.now
	for f.now.Sub(from) < span {
		f.now = f.now.Add(testTick)
		f.ticks++
		f.land()
		f.send(f.now.Sub(from))
		if f.ticks%5 == 0 {
			f.exchange()
		}
		f.decide(f.now.Sub(from))
	}
}

func (f *fleet) land() {
	kept := f.flying[:0]
	for _, x := range f.flying {
		if x.end.After(f.now) {
			kept = append(kept, x)
			continue
		}
		f.groups[x.vm].Observe(f.now, board.Sample{
			Server: f.servers[x.server].Addr(), Start: x.start, Took: x.end.Sub(x.start), Outcome: x.outcome,
		})
	}
	f.flying = kept
}

func (f *fleet) send(since time.Duration) {
	for vm := range f.groups {
		for i := range f.servers {
			if (f.ticks+vm+i)%10 != 0 || f.states[vm] != nil && f.states[vm][i].Weight() == 0 {
				continue
			}
			if f.sends != nil && !f.sends(vm, i, since) {
				continue
			}
			out, took := f.behave(vm, i, since)
			if deadline := 2 * time.Second; took > deadline {
				out, took = board.Late, deadline
			}
			f.flying = append(f.flying, flying{vm, i, f.now, f.now.Add(took), out})
		}
	}
}

func (f *fleet) exchange() {
	for from, g := range f.groups {
		reports := g.Reports(f.now)
		for to, h := range f.groups {
			if f.links(from, to) {
				h.MergeReports(f.now, fmt.Sprint("vm", from), reports)
			}
		}
	}
}

func (f *fleet) decide(since time.Duration) {
	for vm, g := range f.groups {
		flights := make([]board.InflightStats, len(f.servers))
		for _, x := range f.flying {
			if x.vm != vm {
				continue
			}
			p := &flights[x.server]
			p.Server = f.servers[x.server].Addr()
			if p.Count == 0 || x.start.Before(p.OldestStart) {
				p.OldestStart = x.start
			}
			p.Count++
		}
		g.SetInflight(f.now, flights)
		if f.probing {
			for _, s := range f.servers {
				g.ObserveProbe(f.now, s.Addr(), true, 25*time.Millisecond)
			}
		}
		f.states[vm] = append(f.states[vm][:0], g.Decide(f.now)...)
		for _, d := range f.states[vm] {
			if f.seen != nil {
				f.seen(vm, since, d)
			}
		}
	}
}

// reached returns when a VM first decided the state for the server.
func (f *fleet) reached(server int, state State) func() (time.Duration, bool) {
	var at time.Duration
	found := false
	next := f.seen
	f.seen = func(vm int, since time.Duration, d Decision) {
		if next != nil {
			next(vm, since, d)
		}
		if !found && d.Server() == f.servers[server].Addr() && d.State() == state {
			at, found = since, true
		}
	}
	return func() (time.Duration, bool) { return at, found }
}

// forbid fails the test when a decision for one of the servers has the state.
func (f *fleet) forbid(t *testing.T, state State, servers func(vm, server int) bool) {
	t.Helper()
	next := f.seen
	f.seen = func(vm int, since time.Duration, d Decision) {
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

// Guards against an ejection of a server that works again after a stall, on one natural
// slow exchange that one VM sees seconds later. The other VMs send nothing there in that
// time, and their silence must not stand for consent.
func TestNoEjectionAfterStall(t *testing.T) {
	t.Parallel()
	const stall, slow = 12 * time.Second, 20 * time.Second
	f := warmFleet(8, 10, 2, 6, note.ProfileSteady)
	f.behave = func(vm, server int, since time.Duration) (board.Outcome, time.Duration) {
		stalled := since < stall || vm == 3 && since > slow && since < slow+time.Second
		if server == 0 && stalled {
			return board.Success, forever
		}
		return board.Success, normal
	}
	f.sends = func(vm, server int, since time.Duration) bool {
		return server != 0 || since < stall || vm == 3 && since > slow
	}
	f.forbid(t, Ejected, anyServer)
	f.run(slow + 6*time.Second)
}
