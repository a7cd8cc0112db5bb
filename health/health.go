// Package health decides how much work each backend server of a service may
// get. It is pure code: evidence comes in through methods, time is a parameter,
// and decisions go out as a list. A Group is not safe for concurrent use; the
// control loop owns it.
package health

import (
	"time"

	"github.com/azuredeal/azuredeal/board"
)

//go:generate stringer -type=State,Condition -trimprefix=Condition -output=health_string.go

// State is what a group has decided about a backend server.
type State uint8

// The states.
const (
	// Healthy servers get their full share.
	Healthy State = iota
	// Reduced servers are suspected and get a small share.
	Reduced
	// Trial servers get a few requests that decide whether they return.
	Trial
	// Ejected servers get nothing until their time has passed.
	Ejected
	// Starting servers are new, cold or returning; their share grows.
	Starting
	// Draining servers refuse new work because they are going away.
	Draining
	// Leaving servers are marked so in the release.
	Leaving
)

// Server is one backend server as the release describes it.
type Server struct {
	addr    string
	zone    string
	leaving bool
	id      string
}

// NewServer returns a server with its address, "ip:port", and its zone.
// leaving means that it must receive no new work.
func NewServer(addr, zone string, leaving bool) Server {
	return Server{addr: addr, zone: zone, leaving: leaving}
}

// WithID returns s with the id of its process; one with another id at the same
// address has a history of its own.
func (s Server) WithID(id string) Server {
	s.id = id
	return s
}

// Addr returns the address, "ip:port".
func (s Server) Addr() string { return s.addr }

// Zone returns the availability zone.
func (s Server) Zone() string { return s.zone }

// Leaving reports whether the release marks the server as leaving.
func (s Server) Leaving() bool { return s.leaving }

// Decision is what traffic has to know about one backend server.
type Decision struct {
	server string
	state  State
	weight float64
	others float64
	reason string
}

// PeerInflight returns how many requests of other VMs the server is expected to have in
// flight; 0 when nothing is known of them.
func (d Decision) PeerInflight() float64 { return d.others }

// Server returns the address, "ip:port".
func (d Decision) Server() string { return d.server }

// State returns the state.
func (d Decision) State() State { return d.state }

// Weight returns the share of work, 0 to 1 relative to a healthy server.
func (d Decision) Weight() float64 { return d.weight }

// Reason returns a short text for operators.
func (d Decision) Reason() string { return d.reason }

// Detector decides on the servers of one service, in the view of one VM.
type Detector struct {
	service   string
	policy    Policy
	origin    uint64
	floor     int
	started   bool
	records   []*record // In the order of Set, which fixes every iteration.
	index     map[string]int
	byKey     map[uint32]*record // By the number that stands for the server in events.
	base      baseline
	zones     []zoneCount
	sharedAt  time.Time // Last time with a shared cause.
	heardAt   time.Time // When another VM last reported on any server.
	decisions []Decision
	order     []int // Scratch for the floor and the baseline.
}

// New returns a group without servers.
func New(service string, p Policy) *Detector {
	return &Detector{service: service, policy: p, index: map[string]int{}, base: newBaseline()}
}

// Service returns the name of the service.
func (g *Detector) Service() string { return g.service }

// SetPolicy replaces the policy; evidence and states stay.
func (g *Detector) SetPolicy(p Policy) { g.policy = p }

// SetOrigin tells the group the incarnation of its VM. Reports carry it, so
// that peers can relay them and an own report that returns is ignored.
func (g *Detector) SetOrigin(incarnation uint64) { g.origin = incarnation }

// SetServers replaces the servers and the floor. Servers that stay keep their evidence
// and state. Servers that join a running group begin in slow start.
func (g *Detector) SetServers(now time.Time, servers []Server, floor int) {
	old := g.index
	records := make([]*record, 0, len(servers))
	index := make(map[string]int, len(servers))
	for _, s := range servers {
		if _, double := index[s.addr]; double {
			continue
		}
		index[s.addr] = len(records)
		if i, known := old[s.addr]; known && g.records[i].id == s.id {
			g.records[i].Server = s
			records = append(records, g.records[i])
			continue
		}
		r := &record{Server: s, since: now, weight: 1}
		r.news.server = ServerKey(g.service, s.addr)
		if g.started {
			r.enter(now, Starting, "new in the service")
			r.ramp = startWeight
		}
		records = append(records, r)
	}
	g.records, g.index, g.floor = records, index, floor
	g.byKey = make(map[uint32]*record, len(records))
	for _, r := range records {
		g.byKey[r.news.server] = r
	}
	g.started = g.started || len(records) > 0
	g.countZones()
}

// SlowThreshold returns the time above which an exchange is slow for the service; the
// request path can hedge from there on. It is 0 until enough is known.
func (g *Detector) SlowThreshold() time.Duration { return g.base.slow(g.policy.margin) }

func (g *Detector) record(addr string) *record {
	if i, ok := g.index[addr]; ok {
		return g.records[i]
	}
	return nil
}

// Observe takes in how one attempt ended.
func (g *Detector) Observe(now time.Time, s board.Sample) {
	r := g.record(s.Server)
	if r == nil {
		return
	}
	if g.policy.switching {
		if s.Outcome == board.Draining {
			r.drains(now)
		}
		g.believe(now, r, s)
		return
	}
	switch s.Outcome {
	case board.Shed:
		// A server that sheds is busy, which is no evidence either way.
	case board.Draining:
		r.drains(now)
	case board.Cold:
		r.coldAt = now
	case board.Success:
		g.success(now, r, s)
	case board.Canceled:
		if slow := g.SlowThreshold(); slow > 0 && s.Took > slow {
			g.bad(now, r, s, 1)
		}
	case board.Mismatch:
		// A healthy server never answers another request.
		g.bad(now, r, s, mismatchWeight)
	case board.Unreachable:
		r.bucket(now, g.policy.window).unreachable++
		g.bad(now, r, s, 1)
	default:
		g.bad(now, r, s, 1)
	}
}

func (g *Detector) success(now time.Time, r *record, s board.Sample) {
	slow := g.SlowThreshold()
	r.learn(s.Took)
	if r.state == Healthy && r.score < 1 {
		g.base.learn(s.Took)
	}
	if slow > 0 && s.Took > slow {
		g.bad(now, r, s, 1)
		return
	}
	r.bucket(now, g.policy.window).good++
	if s.Start.After(r.since) {
		r.passed++
		r.passedAt = now
	}
	g.weigh(now, r, g.base.good)
}

func (g *Detector) bad(now time.Time, r *record, s board.Sample, count uint32) {
	r.bucket(now, g.policy.window).bad += count
	if s.Start.After(r.since) {
		r.fail(now, 1)
		r.ownFail = failure{from: s.Start, to: now}
	}
	g.weigh(now, r, float64(count)*g.base.bad)
}

// weigh adds evidence of this VM to the server and to the path to its zone.
func (g *Detector) weigh(now time.Time, r *record, evidence float64) {
	r.own.add(now, evidence)
	g.zones[r.zoneIndex].path.add(now, evidence)
}

// SetInflight takes in what this VM has in flight; a server that is not listed has
// nothing in flight.
func (g *Detector) SetInflight(now time.Time, flights []board.InflightStats) {
	for _, r := range g.records {
		r.stalled = false
	}
	slow := g.SlowThreshold()
	if slow == 0 {
		return
	}
	for _, f := range flights {
		if f.Count == 0 || now.Sub(f.OldestStart) <= slow {
			continue
		}
		if r := g.record(f.Server); r != nil {
			r.stalled = true
			r.stallFrom = f.OldestStart
		}
	}
}

// ObserveProbe takes in a probe. A passing probe is no evidence of health, since
// servers that stall requests pass probes; a failing one delays a trial, and
// one that passes after failing ends Draining, since the process is a new one.
func (g *Detector) ObserveProbe(now time.Time, server string, ok bool, _ time.Duration) {
	r := g.record(server)
	if r == nil {
		return
	}
	if !r.probeFails && !ok {
		r.probeFailAt = now
	}
	if ok && r.probeFails && r.probeFailAt.After(r.drainAt) {
		r.backAt = now
	}
	r.probeFails = !ok
}
