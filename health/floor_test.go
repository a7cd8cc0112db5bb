package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/seed"
)

const (
	propertySeed  = 20261204
	propertyRuns  = 400
	propertySteps = 300
	serverPool    = 12
)

// floorModel applies arbitrary steps to a detector and tracks independently which
// servers are certainly available.
type floorModel struct {
	detector *Detector
	now      time.Time
	servers  []Server
	floor    int
	drained  map[string]bool // Servers ever reported as draining or cold.
}

func newFloorModel(profile string) *floorModel {
	m := &floorModel{
		detector: New("layout", NewPolicy(note.Detection{Profile: profile})), now: time.Unix(1000, 0),
		drained: map[string]bool{},
	}
	m.setServers(0xfff, 0, 5)
	return m
}

func (m *floorModel) setServers(present, leaving uint32, floor int) {
	m.servers = nil
	for i := range serverPool {
		if present>>i&1 == 1 {
			m.servers = append(m.servers, NewServer(fmt.Sprintf("s%d:1", i), fmt.Sprint(i%3), leaving>>i&1 == 1))
		}
	}
	m.floor = floor
	m.detector.SetServers(m.now, m.servers, floor)
}

// step decodes one random number into one step and applies it.
func (m *floorModel) step(x uint32) {
	addr := fmt.Sprintf("s%d:1", x>>8%serverPool)
	m.now = m.now.Add(time.Duration(x>>16%400) * time.Millisecond)
	switch x % 16 {
	case 0:
		m.setServers(x>>4, x>>20&x>>7, int(x>>12%serverPool))
	case 1:
		m.detector.ObserveProbe(m.now, addr, x>>20&1 == 0, time.Millisecond)
	case 2, 3, 4:
		m.detector.MergeReports(m.now, fmt.Sprint(x>>20%5), []Report{m.report(addr, x)})
	case 5, 6:
		m.detector.SetInflight(m.now, []board.InflightStats{{Server: addr, Count: 1, OldestStart: m.now.Add(-time.Duration(x>>20) * time.Millisecond)}})
	default:
		m.observe(addr, x)
	}
}

func (m *floorModel) report(addr string, x uint32) Report {
	r := Report{
		server: addr, good: x >> 24 % 3, bad: x >> 20 % 9, stalled: x >> 18 % 3,
		origin: uint64(x>>20%7 + 1), age: time.Duration(x>>21%2000) * time.Millisecond,
	}
	if x>>28 < 2 {
		r.condition = Condition(x>>28 + 1)
		m.drained[addr] = true
	}
	return r
}

func (m *floorModel) observe(addr string, x uint32) {
	out := board.Outcome(x >> 20 % 11)
	if out == board.Draining || out == board.Cold {
		if x>>28 != 0 {
			out = board.Late
		} else {
			m.drained[addr] = true
		}
	}
	m.detector.Observe(m.now, board.Sample{
		Server: addr, Start: m.now.Add(-time.Second), Outcome: out,
		Took: time.Duration(x>>24) * 10 * time.Millisecond,
	})
}

// check returns the first problem of the decisions, or an empty string.
func (m *floorModel) check() string {
	certain, usable := 0, 0
	decisions := m.detector.Decide(m.now)
	if len(decisions) != len(m.servers) {
		return fmt.Sprintf("%d decisions for %d servers", len(decisions), len(m.servers))
	}
	for i, d := range decisions {
		s := m.servers[i]
		if !s.Leaving() && !m.drained[s.Addr()] {
			certain++
		}
		if (s.Leaving() || d.State() == Draining) && d.Weight() != 0 {
			return fmt.Sprintf("%s is %v with weight %v", s.Addr(), d.State(), d.Weight())
		}
		if d.Weight() >= usableWeight && m.detector.record(s.Addr()).condition(m.now) == ConditionNormal {
			usable++
		}
		if d.Weight() < 0 || d.Weight() > 1 {
			return fmt.Sprintf("%s has weight %v", s.Addr(), d.Weight())
		}
	}
	if want := min(m.floor, certain); usable < want {
		return fmt.Sprintf("%d usable servers, want %d", usable, want)
	}
	return ""
}

// Guards against samples, reports, or changes of the servers or the floor that reduce
// the number of usable servers below the floor, and against requests to servers that are
// draining or leaving.
func TestFloorIsKept(t *testing.T) {
	t.Parallel()
	params := gopter.DefaultTestParametersWithSeed(int64(seed.For(t, propertySeed)))
	params.MinSuccessfulTests = propertyRuns
	properties := gopter.NewProperties(params)
	for _, profile := range []string{note.ProfileFast, note.ProfileSteady} {
		properties.Property("floor is kept, "+profile, prop.ForAll(func(steps []uint32) string {
			m := newFloorModel(profile)
			for i, x := range steps {
				m.step(x)
				if problem := m.check(); problem != "" {
					return fmt.Sprintf("step %d: %s", i, problem)
				}
			}
			return ""
		}, gen.SliceOfN(propertySteps, gen.UInt32())))
	}
	properties.TestingRun(t)
}

// Guards against a property test that never reaches the floor, by a case in which the
// floor raises exactly one failing server.
func TestFloorRaisesLeastSuspectedServer(t *testing.T) {
	t.Parallel()
	f := warmFleet(4, 10, 1, 8, note.ProfileFast)
	f.respond = func(_, server int, _ time.Duration) (board.Outcome, time.Duration) {
		if server < 3 {
			return board.Failure, normalLatency
		}
		return board.Success, normalLatency
	}
	f.run(60 * time.Second)
	usable, raised := 0, 0
	for _, d := range f.decisions[0] {
		if d.Weight() >= usableWeight {
			usable++
		}
		if d.Weight() == usableWeight {
			raised++
		}
	}
	if usable != 8 || raised != 1 {
		t.Errorf("%d usable, %d raised, want 8 and 1: %+v", usable, raised, f.decisions[0])
	}
}
