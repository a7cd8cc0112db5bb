package entry

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/internal/fleet/crash"
	"github.com/azuredeal/azuredeal/wire"
)

// suspects connects the table of requests that may crash backend servers with the other VMs and
// with the operators.
type suspects struct {
	log     zerolog.Logger
	table   *crash.Table
	changes map[crash.Change]*metrics.Counter
	isAlive func() []string // Ids of the VMs that this VM considers alive.
	tell    func(suspects []*wire.Suspect, relay bool)
	vm      string
}

func newSuspects(log zerolog.Logger, counters *metrics.Set, vm string) *suspects {
	s := &suspects{
		log: log, vm: vm, changes: map[crash.Change]*metrics.Counter{},
		isAlive: func() []string { return nil }, tell: func([]*wire.Suspect, bool) {},
	}
	s.table = crash.New(crash.Options{
		VM:       vm,
		IsKeeper: func(d crash.Digest) bool { return crash.Keeper(d, s.isAlive()) == vm },
		Changed:  s.changed,
	})
	for _, c := range []crash.Change{crash.Crashed, crash.Cleared, crash.Tried, crash.Freed} {
		s.changes[c] = counters.GetOrCreateCounter(`azuredeal_suspect_changes_total{change="` + c.String() + `"}`)
	}
	counters.NewGauge(`azuredeal_suspects{state="suspected"}`, func() float64 {
		suspected, quarantined := s.table.Counts()
		return float64(suspected - quarantined)
	})
	counters.NewGauge(`azuredeal_suspects{state="quarantined"}`, func() float64 {
		_, quarantined := s.table.Counts()
		return float64(quarantined)
	})
	return s
}

// changed takes in a change that this VM made.
func (s *suspects) changed(state crash.State, change crash.Change) {
	s.changes[change].Inc()
	s.logState(state, change.String(), "own")
	s.tell([]*wire.Suspect{suspectToWire(time.Now(), state)}, false)
}

// merge takes in what another VM knows.
func (s *suspects) merge(now time.Time, received []*wire.Suspect) {
	changed := s.table.Merge(now, lo.Map(received, func(w *wire.Suspect, _ int) crash.State { return suspectFromWire(now, w) }))
	if len(changed) == 0 {
		return
	}
	for _, state := range changed {
		s.logState(state, "Merged", "peer")
	}
	s.tell(lo.Map(changed, func(state crash.State, _ int) *wire.Suspect { return suspectToWire(now, state) }), true)
}

// logState logs a change. The first crash has its own line at the VM that saw it.
func (s *suspects) logState(state crash.State, change, source string) {
	level := zerolog.InfoLevel
	if len(state.Processes) == 1 || len(state.Processes) == 0 && source == "peer" {
		level = zerolog.DebugLevel
	}
	s.log.WithLevel(level).Stringer("request", state.Request).Str("change", change).Str("source", source).
		Int("servers", len(state.Processes)).Uint32("epoch", state.Epoch).Uint32("trials", state.Trials).
		Bool("quarantined", state.Quarantined()).Dur("age", time.Since(state.At)).
		Msg("suspicion of a request changed")
}

// forNewLink returns what a VM that was just linked has to know.
func (s *suspects) forNewLink() []*wire.Suspect {
	now := time.Now()
	return lo.FilterMap(s.table.States(), func(state crash.State, _ int) (*wire.Suspect, bool) {
		return suspectToWire(now, state), len(state.Processes) != 1
	})
}

// SuspectDump is a request that may crash backend servers, in the state dump.
type SuspectDump struct {
	Request     string `json:"request"` // Digest, as in log lines.
	Servers     int    `json:"servers"` // Server processes that ended while they had it.
	Quarantined bool   `json:"quarantined"`
	Epoch       uint32 `json:"epoch"`
	Trials      uint32 `json:"trials"`
	Age         int64  `json:"age"` // Milliseconds since the last change.
}

func (s *suspects) dump(now time.Time) []SuspectDump {
	return lo.FilterMap(s.table.States(), func(state crash.State, _ int) (SuspectDump, bool) {
		return SuspectDump{
			Request: state.Request.String(), Servers: len(state.Processes), Quarantined: state.Quarantined(),
			Epoch: state.Epoch, Trials: state.Trials, Age: now.Sub(state.At).Milliseconds(),
		}, len(state.Processes) > 0
	})
}

func suspectToWire(now time.Time, s crash.State) *wire.Suspect {
	return &wire.Suspect{
		Request: uint64(s.Request), Epoch: s.Epoch, Trials: s.Trials, Age: uint64(max(0, now.Sub(s.At)).Milliseconds()),
		Servers: lo.Map(s.Processes, func(p crash.Process, _ int) uint32 { return uint32(p) }),
	}
}

// maxSuspectAge bounds the age of what other VMs say, which also keeps it from overflowing.
const maxSuspectAge = 365 * 24 * time.Hour

func suspectFromWire(now time.Time, w *wire.Suspect) crash.State {
	age := time.Duration(min(w.GetAge(), uint64(maxSuspectAge.Milliseconds()))) * time.Millisecond
	return crash.State{
		Request: crash.Digest(w.GetRequest()), Epoch: w.GetEpoch(), Trials: w.GetTrials(), At: now.Add(-age),
		Processes: lo.Map(w.GetServers(), func(p uint32, _ int) crash.Process { return crash.Process(p) }),
	}
}
