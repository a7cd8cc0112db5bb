package entry

import (
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/health"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/wire"
)

// monitored is the state of one service whose backend servers are monitored.
type monitored struct {
	detector       *health.Detector
	service        note.Service
	states         map[string]health.State
	weights        map[string]float64 // Last weights handed to setWeights, by server.
	hasNewEvidence bool               // Samples, probes, events or reports arrived since the last decision.
	allHealthy     bool               // All servers were healthy at the last decision.
	hadInflight    bool               // Requests were in flight at the last decision.
}

// monitor is the controller that feeds the outlier detectors and publishes their
// decisions. Only the goroutine of the control loop uses it, except for publishedReports.
type monitor struct {
	log           zerolog.Logger
	counters      *metrics.Set
	origin        uint64 // Incarnation of this VM.
	inflight      func() []board.InflightStats
	setWeights    func(service string, weights map[string]float64)
	peerInflight  func(service string, peerInflight map[string]float64)
	order         []string
	monitored     map[string]*monitored
	steps         int
	latestReports atomic.Pointer[[]*wire.Report] // Atomic, as heartbeats read it from other goroutines.
	// sendEvents sends events to other VMs: at once when urgent, else with the next heartbeat.
	sendEvents func(events []*wire.Event, urgent bool)
}

// stepsPerIdleDecision is the number of steps between decisions on an idle service: one
// with no new evidence, no requests in flight and only healthy servers. With 460 services
// a VM sees few requests of each, and deciding on all of them in every step took 10% of
// a core.
const stepsPerIdleDecision = 10

// stepsPerReport is the number of steps between reports; at 100 ms a step it matches
// the heartbeat interval.
const stepsPerReport = 5

// maxEventCount caps the good and the bad exchanges that one event counts for, so that a
// faulty peer can't outweigh the others.
const maxEventCount = 64

func newMonitor(log zerolog.Logger, counters *metrics.Set, origin uint64) *monitor {
	return &monitor{
		sendEvents: func([]*wire.Event, bool) {},
		log:        log, counters: counters, origin: origin, monitored: map[string]*monitored{},
	}
}

func (m *monitor) controller() board.Controller {
	return board.Controller{Name: "health", Sample: m.observeSample, Step: m.step}
}

// setRelease monitors the services of a release; services that it keeps retain their
// evidence.
func (m *monitor) setRelease(now time.Time, rel *note.Release) {
	next := map[string]*monitored{}
	m.order = m.order[:0]
	for _, s := range rel.Services() {
		w := m.monitored[s.Name]
		if w == nil {
			w = &monitored{detector: health.New(s.Name, health.NewPolicy(s.Detection)), states: map[string]health.State{}}
			w.detector.SetOrigin(m.origin)
		}
		w.service = s
		// The release may have replaced the picker's targets, so all weights are set again.
		w.weights = map[string]float64{}
		w.allHealthy = false
		w.detector.SetPolicy(health.NewPolicy(s.Detection))
		w.detector.SetServers(now, lo.Map(s.Servers, func(b note.Server, _ int) health.Server {
			return health.NewServer(b.Addr, b.Zone, b.Leaving).WithID(b.InstanceID)
		}), s.Floor)
		next[s.Name] = w
		m.order = append(m.order, s.Name)
	}
	m.monitored = next
	m.step(now)
}

func (m *monitor) observeSample(now time.Time, s board.Sample) {
	m.log.Debug().Str("service", s.Service).Str("server", s.Server).Stringer("outcome", s.Outcome).
		Dur("took", s.Took).Time("start", s.Start).Msg("attempt ended")
	if w := m.monitored[s.Service]; w != nil {
		w.detector.Observe(now, s)
		w.hasNewEvidence = true
		if s.Outcome != board.Success {
			m.handleFailure(now, s.Service, w)
		}
	}
}

// handleFailure decides on a service right after a failed attempt, without waiting for
// the next step, and sends the evidence to other VMs.
func (m *monitor) handleFailure(now time.Time, name string, w *monitored) {
	m.decide(now, name, w)
	m.sendServiceEvents(w)
}

// sendServiceEvents sends other VMs the events of a service since the last call.
func (m *monitor) sendServiceEvents(w *monitored) {
	if events, urgent := w.detector.PopEvents(); len(events) > 0 {
		m.sendEvents(wireEvents(events), urgent)
	}
}

func wireEvents(events []health.Event) []*wire.Event {
	return lo.Map(events, func(e health.Event, _ int) *wire.Event {
		return &wire.Event{Server: e.Server(), Good: uint32(e.Good()), Bad: uint32(e.Bad())}
	})
}

// mergeEvents merges events that another VM sent. Each event applies to the
// first service that has its server.
func (m *monitor) mergeEvents(now time.Time, events []*wire.Event) {
	for _, e := range events {
		event := health.NewEvent(e.GetServer(), int(min(e.GetGood(), maxEventCount)), int(min(e.GetBad(), maxEventCount)))
		for _, name := range m.order {
			w := m.monitored[name]
			if !w.detector.MergeEvent(now, event) {
				continue
			}
			w.hasNewEvidence = true
			if event.Bad() > 0 {
				m.decide(now, name, w)
			}
			break
		}
	}
}

func (m *monitor) observeProbe(now time.Time, service, server string, ok bool, took time.Duration) {
	if w := m.monitored[service]; w != nil {
		w.detector.ObserveProbe(now, server, ok, took)
		w.hasNewEvidence = true
	}
}

func (m *monitor) step(now time.Time) {
	inflight := lo.GroupBy(m.inflight(), func(f board.InflightStats) string { return f.Service })
	for n, name := range m.order {
		w := m.monitored[name]
		list := inflight[name]
		forced := (m.steps+n)%stepsPerIdleDecision == 0
		if w.allHealthy && !w.hasNewEvidence && !w.hadInflight && len(list) == 0 && !forced {
			continue
		}
		w.detector.SetInflight(now, list)
		w.hadInflight = len(list) > 0
		m.decide(now, name, w)
	}
	if m.steps++; m.steps%stepsPerReport == 0 {
		for _, name := range m.order {
			m.sendServiceEvents(m.monitored[name])
		}
		reports := m.reports(now)
		m.latestReports.Store(&reports)
	}
}

// decide runs the detector of one service and hands changed weights and the in-flight
// requests of other VMs to the proxy.
func (m *monitor) decide(now time.Time, name string, w *monitored) {
	w.hasNewEvidence, w.allHealthy = false, true
	changed := map[string]float64{}
	peerInflight := map[string]float64{}
	for _, d := range w.detector.Decide(now) {
		if before, known := w.weights[d.Server()]; !known || before != d.Weight() {
			w.weights[d.Server()] = d.Weight()
			changed[d.Server()] = d.Weight()
		}
		if d.PeerInflight() > 0 {
			peerInflight[d.Server()] = d.PeerInflight()
		}
		w.allHealthy = w.allHealthy && d.State() == health.Healthy
		m.recordTransition(w, d)
	}
	if len(changed) > 0 {
		m.setWeights(name, changed)
	}
	if len(peerInflight) > 0 {
		m.peerInflight(name, peerInflight)
	}
}

// publishedReports returns the latest reports. It is safe for concurrent use.
func (m *monitor) publishedReports() []*wire.Report {
	if reports := m.latestReports.Load(); reports != nil {
		return *reports
	}
	return nil
}

// recordTransition logs and counts a change of a server's state. It ignores decisions
// that keep the state, and new servers that are healthy.
func (m *monitor) recordTransition(w *monitored, d health.Decision) {
	before, known := w.states[d.Server()]
	w.states[d.Server()] = d.State()
	if before == d.State() || (!known && d.State() == health.Healthy) {
		return
	}
	m.counters.GetOrCreateCounter(`azuredeal_decisions_total{service="` + w.service.Name + `",state="` + d.State().String() + `"}`).Inc()
	m.log.Info().Str("service", w.service.Name).Str("server", d.Server()).
		Stringer("before", before).Stringer("state", d.State()).
		Float64("weight", d.Weight()).Str("reason", d.Reason()).Msg("backend server changed state")
}

func (m *monitor) reports(now time.Time) []*wire.Report {
	var out []*wire.Report
	for _, name := range m.order {
		for _, r := range m.monitored[name].detector.Reports(now) {
			out = append(out, r.ToWire(name))
		}
	}
	return out
}

func (m *monitor) mergeReports(now time.Time, reports []*wire.Report) {
	byService := lo.GroupBy(reports, func(r *wire.Report) string { return r.GetService() })
	for name, list := range byService {
		if w := m.monitored[name]; w != nil {
			w.hasNewEvidence = true
			w.detector.MergeReports(now, "", lo.Map(list, func(r *wire.Report, _ int) health.Report { return health.ReportFromWire(r) }))
		}
	}
}

// ServerState is this VM's health decision on a backend server.
type ServerState struct {
	Server string  `json:"server"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
	Reason string  `json:"reason,omitempty"`
}

func (m *monitor) dump(now time.Time) map[string][]ServerState {
	out := map[string][]ServerState{}
	for _, name := range m.order {
		out[name] = lo.Map(m.monitored[name].detector.Decide(now), func(d health.Decision, _ int) ServerState {
			return ServerState{Server: d.Server(), State: d.State().String(), Weight: d.Weight(), Reason: d.Reason()}
		})
	}
	return out
}
