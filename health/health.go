// Package health decides what share of the requests each backend server of a
// service gets. It performs no I/O: observations and the current time are passed
// to methods of Detector, which returns a list of decisions. A Detector is not
// safe for concurrent use; the control loop owns it.
//
// An exchange is one attempt to send a request to a backend server, with its
// outcome. It is bad when it failed or was slow for the service, else good.
package health

import (
	"time"

	"github.com/azuredeal/azuredeal/board"
)

//go:generate stringer -type=State,Condition -trimprefix=Condition -output=health_string.go

// State is the decision of a Detector on a backend server.
type State uint8

// States of a backend server.
const (
	// Healthy servers get their full share.
	Healthy State = iota
	// Reduced servers are suspected of failing and get a small share.
	Reduced
	// Trial servers get a few requests, whose outcomes lead to slow start or ejection.
	Trial
	// Ejected servers get no requests until the ejection expires.
	Ejected
	// Starting servers are new, cold or recovered; their share grows in a slow start.
	Starting
	// Draining servers refuse new requests because they are shutting down.
	Draining
	// Leaving servers are marked as leaving in the release and get no new requests.
	Leaving
)

// Server is one backend server as the release describes it.
type Server struct {
	addr    string
	zone    string
	leaving bool
	id      string
}

// NewServer returns a server with its address, "ip:port", and its availability
// zone. A leaving server gets no new requests.
func NewServer(addr, zone string, leaving bool) Server {
	return Server{addr: addr, zone: zone, leaving: leaving}
}

// WithID returns s with the id of its process. A process with another id at the
// same address starts without the evidence of the previous one.
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

// Decision is the state and weight of one backend server.
type Decision struct {
	server       string
	state        State
	weight       float64
	peerInflight float64
	reason       string
}

// PeerInflight returns the estimated number of requests that other VMs have in flight
// to the server; 0 when no other VM has reported on it.
func (d Decision) PeerInflight() float64 { return d.peerInflight }

// Server returns the address, "ip:port".
func (d Decision) Server() string { return d.server }

// State returns the state.
func (d Decision) State() State { return d.state }

// Weight returns the share of requests relative to a healthy server, 0 to 1.
func (d Decision) Weight() float64 { return d.weight }

// Reason returns a short text for operators on why the server is in its state.
func (d Decision) Reason() string { return d.reason }

// Detector decides on the servers of one service from the observations of one VM
// and the reports of its peers.
type Detector struct {
	service       string
	policy        Policy
	origin        uint64
	floor         int
	started       bool
	records       []*record // In the order of SetServers, so that iteration is deterministic.
	index         map[string]int
	byKey         map[uint32]*record // By ServerKey.
	baseline      serviceBaseline
	zones         []zoneStats
	sharedCauseAt time.Time // When a shared cause was last detected.
	lastReportAt  time.Time // When another VM last reported on any server.
	decisions     []Decision
	order         []int // Reused by enforceFloor and badRate.
}

// New returns a detector without servers.
func New(service string, p Policy) *Detector {
	return &Detector{service: service, policy: p, index: map[string]int{}, baseline: newServiceBaseline()}
}

// Service returns the name of the service.
func (d *Detector) Service() string { return d.service }

// SetPolicy replaces the policy and keeps evidence and states.
func (d *Detector) SetPolicy(p Policy) { d.policy = p }

// SetOrigin sets the incarnation of the VM. Reports carry it, so that peers can
// relay them and the VM ignores its own reports when they are relayed back.
func (d *Detector) SetOrigin(incarnation uint64) { d.origin = incarnation }

// SetServers replaces the servers and the floor, the minimum number of usable servers.
// Servers that stay keep their evidence and state. Servers that are added after the
// first call begin in slow start. Duplicate addresses are ignored.
func (d *Detector) SetServers(now time.Time, servers []Server, floor int) {
	old := d.index
	records := make([]*record, 0, len(servers))
	index := make(map[string]int, len(servers))
	for _, s := range servers {
		if _, duplicate := index[s.addr]; duplicate {
			continue
		}
		index[s.addr] = len(records)
		if i, known := old[s.addr]; known && d.records[i].id == s.id {
			d.records[i].Server = s
			records = append(records, d.records[i])
			continue
		}
		r := &record{Server: s, stateSince: now, weight: 1}
		r.pendingEvent.server = ServerKey(d.service, s.addr)
		if d.started {
			r.enter(now, Starting, "new in the service")
			r.rampWeight = slowStartWeight
		}
		records = append(records, r)
	}
	d.records, d.index, d.floor = records, index, floor
	d.byKey = make(map[uint32]*record, len(records))
	for _, r := range records {
		d.byKey[r.pendingEvent.server] = r
	}
	d.started = d.started || len(records) > 0
	d.rebuildZones()
}

// SlowThreshold returns the latency above which an exchange is slow for the service;
// the request path can hedge a request that takes longer. It is 0 until there are
// enough samples.
func (d *Detector) SlowThreshold() time.Duration {
	return d.baseline.slowThreshold(d.policy.slowMargin)
}

func (d *Detector) record(addr string) *record {
	if i, ok := d.index[addr]; ok {
		return d.records[i]
	}
	return nil
}

// Observe records the outcome of one attempt of this VM. Samples of unknown servers
// are ignored.
func (d *Detector) Observe(now time.Time, s board.Sample) {
	r := d.record(s.Server)
	if r == nil {
		return
	}
	if d.policy.switching {
		if s.Outcome == board.Draining {
			r.markDraining(now)
		}
		d.observeSwitching(now, r, s)
		return
	}
	switch s.Outcome {
	case board.Shed:
		// Load shedding shows that the server is busy, not whether it is healthy.
	case board.Draining:
		r.markDraining(now)
	case board.Cold:
		r.coldAt = now
	case board.Success:
		d.success(now, r, s)
	case board.Canceled:
		if slow := d.SlowThreshold(); slow > 0 && s.Took > slow {
			d.bad(now, r, s, 1)
		}
	case board.Mismatch:
		// A healthy server never sends the response to another request.
		d.bad(now, r, s, mismatchCount)
	case board.Unreachable:
		r.bucket(now, d.policy.window).unreachable++
		d.bad(now, r, s, 1)
	default:
		d.bad(now, r, s, 1)
	}
}

// success records a response, which is a bad exchange if it was slow.
func (d *Detector) success(now time.Time, r *record, s board.Sample) {
	slow := d.SlowThreshold()
	r.addLatency(s.Took)
	if r.state == Healthy && r.score < 1 {
		d.baseline.addLatency(s.Took)
	}
	if slow > 0 && s.Took > slow {
		d.bad(now, r, s, 1)
		return
	}
	r.bucket(now, d.policy.window).good++
	if s.Start.After(r.stateSince) {
		r.passed++
		r.passedAt = now
	}
	d.addEvidence(now, r, d.baseline.good)
}

// bad records an exchange that counts as count bad ones.
func (d *Detector) bad(now time.Time, r *record, s board.Sample, count uint32) {
	r.bucket(now, d.policy.window).bad += count
	if s.Start.After(r.stateSince) {
		r.addFailures(now, 1)
		r.ownFailure = failureSpan{from: s.Start, to: now}
	}
	d.addEvidence(now, r, float64(count)*d.baseline.bad)
}

// addEvidence adds evidence of this VM against the server and the path to its zone, in nats.
func (d *Detector) addEvidence(now time.Time, r *record, evidence float64) {
	r.ownBad.add(now, evidence)
	d.zones[r.zoneIndex].pathEvidence.add(now, evidence)
}

// SetInflight replaces the in-flight requests of this VM. A server that is not listed
// has none. A server whose oldest request is slow for the service counts as stalled.
func (d *Detector) SetInflight(now time.Time, inflight []board.InflightStats) {
	for _, r := range d.records {
		r.stalled = false
	}
	slow := d.SlowThreshold()
	if slow == 0 {
		return
	}
	for _, f := range inflight {
		if f.Count == 0 || now.Sub(f.OldestStart) <= slow {
			continue
		}
		if r := d.record(f.Server); r != nil {
			r.stalled = true
			r.stallStart = f.OldestStart
		}
	}
}

// ObserveProbe records the result of a health check. A passing probe is no evidence
// of health, since servers that stall requests still pass probes. A failing one
// delays a trial. One that passes after a failure ends Draining, since the server
// has been restarted.
func (d *Detector) ObserveProbe(now time.Time, server string, ok bool, _ time.Duration) {
	r := d.record(server)
	if r == nil {
		return
	}
	if !r.probeFailing && !ok {
		r.probeFailedAt = now
	}
	if ok && r.probeFailing && r.probeFailedAt.After(r.drainingAt) {
		r.restartedAt = now
	}
	r.probeFailing = !ok
}
