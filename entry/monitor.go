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

// watched is one service under observation.
type watched struct {
	group   *health.Detector
	service note.Service
	states  map[string]health.State
	weights map[string]float64 // As traffic has them.
	fresh   bool               // Evidence has come since the last decision.
	settled bool               // All servers were healthy at the last decision.
	busy    bool               // It had requests in flight at the last decision.
}

// monitor is the controller that feeds the health groups and publishes their
// decisions. Only the control goroutine uses it.
type monitor struct {
	log      zerolog.Logger
	counters *metrics.Set
	origin   uint64 // Incarnation of this VM.
	flights  func() []board.InflightStats
	apply    func(service string, weights map[string]float64)
	others   func(service string, others map[string]float64)
	order    []string
	watched  map[string]*watched
	steps    int
	latest   atomic.Pointer[[]*wire.Report] // For heartbeats, which run elsewhere.
	// tell sends events to other VMs, at once when urgent.
	tell func(events []*wire.Event, urgent bool)
}

// idleSteps is how many steps pass between decisions on a service that has no new
// evidence, nothing in flight and only healthy servers. At 460 services a VM sees
// few requests of each, and deciding on all of them in each step took 10% of a
// core.
const idleSteps = 10

// reportSteps is how many steps pass between reports; at 100 ms a step it matches
// the interval of heartbeats.
const reportSteps = 5

// maxEvent bounds the exchanges of one event that count, so that a faulty peer
// cannot outweigh the others.
const maxEvent = 64

func newMonitor(log zerolog.Logger, counters *metrics.Set, origin uint64) *monitor {
	return &monitor{
		tell: func([]*wire.Event, bool) {},
		log:  log, counters: counters, origin: origin, watched: map[string]*watched{},
	}
}

func (m *monitor) controller() board.Controller {
	return board.Controller{Name: "health", Sample: m.sample, Step: m.step}
}

// setRelease follows a release; services that stay keep their evidence.
func (m *monitor) setRelease(now time.Time, rel *note.Release) {
	next := map[string]*watched{}
	m.order = m.order[:0]
	for _, s := range rel.Services() {
		w := m.watched[s.Name]
		if w == nil {
			w = &watched{group: health.New(s.Name, health.NewPolicy(s.Detection)), states: map[string]health.State{}}
			w.group.SetOrigin(m.origin)
		}
		w.service = s
		// The release may have given servers new targets, so all weights are set again.
		w.weights = map[string]float64{}
		w.settled = false
		w.group.SetPolicy(health.NewPolicy(s.Detection))
		w.group.SetServers(now, lo.Map(s.Servers, func(b note.Server, _ int) health.Server {
			return health.NewServer(b.Addr, b.Zone, b.Leaving).WithID(b.InstanceID)
		}), s.Floor)
		next[s.Name] = w
		m.order = append(m.order, s.Name)
	}
	m.watched = next
	m.step(now)
}

func (m *monitor) sample(now time.Time, s board.Sample) {
	m.log.Debug().Str("service", s.Service).Str("server", s.Server).Stringer("outcome", s.Outcome).
		Dur("took", s.Took).Time("start", s.Start).Msg("attempt ended")
	if w := m.watched[s.Service]; w != nil {
		w.group.Observe(now, s)
		w.fresh = true
		if s.Outcome != board.Success {
			m.spread(now, s.Service, w)
		}
	}
}

// spread decides at once on a service with evidence against a server, and tells
// other VMs.
func (m *monitor) spread(now time.Time, name string, w *watched) {
	m.decide(now, name, w)
	m.tellOf(w)
}

// tellOf tells other VMs what this one saw of a service since the last time.
func (m *monitor) tellOf(w *watched) {
	if events, urgent := w.group.PopEvents(); len(events) > 0 {
		m.tell(wireEvents(events), urgent)
	}
}

func wireEvents(events []health.Event) []*wire.Event {
	return lo.Map(events, func(e health.Event, _ int) *wire.Event {
		return &wire.Event{Server: e.Server(), Good: uint32(e.Good()), Bad: uint32(e.Bad())}
	})
}

// hear takes in events of another VM.
func (m *monitor) hear(now time.Time, events []*wire.Event) {
	for _, e := range events {
		event := health.NewEvent(e.GetServer(), int(min(e.GetGood(), maxEvent)), int(min(e.GetBad(), maxEvent)))
		for _, name := range m.order {
			w := m.watched[name]
			if !w.group.MergeEvent(now, event) {
				continue
			}
			w.fresh = true
			if event.Bad() > 0 {
				m.decide(now, name, w)
			}
			break
		}
	}
}

func (m *monitor) probe(now time.Time, service, server string, ok bool, took time.Duration) {
	if w := m.watched[service]; w != nil {
		w.group.ObserveProbe(now, server, ok, took)
		w.fresh = true
	}
}

func (m *monitor) step(now time.Time) {
	flights := lo.GroupBy(m.flights(), func(f board.InflightStats) string { return f.Service })
	for n, name := range m.order {
		w := m.watched[name]
		list := flights[name]
		turn := (m.steps+n)%idleSteps == 0
		if w.settled && !w.fresh && !w.busy && len(list) == 0 && !turn {
			continue
		}
		w.group.SetInflight(now, list)
		w.busy = len(list) > 0
		m.decide(now, name, w)
	}
	if m.steps++; m.steps%reportSteps == 0 {
		for _, name := range m.order {
			m.tellOf(m.watched[name])
		}
		reports := m.reports(now)
		m.latest.Store(&reports)
	}
}

// decide takes the decisions on one service and hands changed weights to traffic.
func (m *monitor) decide(now time.Time, name string, w *watched) {
	w.fresh, w.settled = false, true
	changed := map[string]float64{}
	others := map[string]float64{}
	for _, d := range w.group.Decide(now) {
		if before, known := w.weights[d.Server()]; !known || before != d.Weight() {
			w.weights[d.Server()] = d.Weight()
			changed[d.Server()] = d.Weight()
		}
		if d.PeerInflight() > 0 {
			others[d.Server()] = d.PeerInflight()
		}
		w.settled = w.settled && d.State() == health.Healthy
		m.record(w, d)
	}
	if len(changed) > 0 {
		m.apply(name, changed)
	}
	if len(others) > 0 {
		m.others(name, others)
	}
}

// published returns the newest reports; any goroutine may call it.
func (m *monitor) published() []*wire.Report {
	if reports := m.latest.Load(); reports != nil {
		return *reports
	}
	return nil
}

// record logs and counts a change of state; a decision that stays is silent.
func (m *monitor) record(w *watched, d health.Decision) {
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
		for _, r := range m.watched[name].group.Reports(now) {
			out = append(out, r.ToWire(name))
		}
	}
	return out
}

func (m *monitor) merge(now time.Time, reports []*wire.Report) {
	byService := lo.GroupBy(reports, func(r *wire.Report) string { return r.GetService() })
	for name, list := range byService {
		if w := m.watched[name]; w != nil {
			w.fresh = true
			w.group.MergeReports(now, "", lo.Map(list, func(r *wire.Report, _ int) health.Report { return health.ReportFromWire(r) }))
		}
	}
}

// ServerState is what this VM has decided about a backend server.
type ServerState struct {
	Server string  `json:"server"`
	State  string  `json:"state"`
	Weight float64 `json:"weight"`
	Reason string  `json:"reason,omitempty"`
}

func (m *monitor) dump(now time.Time) map[string][]ServerState {
	out := map[string][]ServerState{}
	for _, name := range m.order {
		out[name] = lo.Map(m.watched[name].group.Decide(now), func(d health.Decision, _ int) ServerState {
			return ServerState{Server: d.Server(), State: d.State().String(), Weight: d.Weight(), Reason: d.Reason()}
		})
	}
	return out
}
