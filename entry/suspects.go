package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/samber/lo"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/internal/fleet/crash"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/sleep"
	"github.com/azuredeal/azuredeal/wire"
)

// saver tells which VM changes the object of a request.
type saver uint8

const (
	thisVM saver = iota
	// keeperVM is one that all VMs agree on when the object is to be changed; others forget it.
	keeperVM
)

// suspects connects the table of requests that may crash backend servers with the other VMs and
// with the operators.
type suspects struct {
	vm      string
	log     zerolog.Logger
	table   *crash.Table
	changes map[crash.Change]*metrics.Counter
	isAlive func() []string // Ids of the VMs that this VM considers alive.
	tell    func(suspects []*wire.Suspect, relay bool)
	// save, load and remove keep what must outlast all VMs on the platform. Nil means that nothing
	// is kept.
	save   func(ctx context.Context, s crash.State) error
	load   func(ctx context.Context) ([]crash.State, error)
	remove func(ctx context.Context, request crash.Digest) error

	mu      sync.Mutex
	unsaved map[crash.Digest]saver // Requests whose object is to be written, or removed if they are over.
	pending chan struct{}          // Wakes run.
}

func newSuspects(log zerolog.Logger, counters *metrics.Set, vm string) *suspects {
	s := &suspects{
		vm: vm, log: log, unsaved: map[crash.Digest]saver{}, pending: make(chan struct{}, 1), changes: map[crash.Change]*metrics.Counter{},
		isAlive: func() []string { return nil }, tell: func([]*wire.Suspect, bool) {},
	}
	s.table = crash.New(crash.Options{
		VM:       vm,
		IsKeeper: s.isKeeper,
		Changed:  s.changed,
		Evicted:  func(requests []crash.Digest) { s.keep(keeperVM, requests...) },
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

// isKeeper reports whether this VM is the one of the fleet that tries and keeps a request.
func (s *suspects) isKeeper(d crash.Digest) bool { return crash.Keeper(d, s.isAlive()) == s.vm }

// changed takes in a change that this VM made.
func (s *suspects) changed(before, after crash.State, change crash.Change) {
	s.changes[change].Inc()
	s.logState(after, change.String(), "own")
	s.tell([]*wire.Suspect{suspectToWire(time.Now(), after)}, false)
	if before.Quarantined() != after.Quarantined() || change == crash.Tried {
		s.keep(thisVM, after.Request)
	}
}

const (
	maxUnsaved = 16384 // Requests whose object on the platform is to be changed.
	// keepInterval is the least time between two writes of this VM, whose rate all VMs share.
	keepInterval = 20 * time.Millisecond
	// keepTime is how long after the last crash a VM that learns of a quarantine from others makes
	// sure that it is kept.
	keepTime = time.Minute
	// minKeepBackoff and maxKeepBackoff bound the delay between two attempts to read or write
	// what the platform keeps.
	minKeepBackoff = 500 * time.Millisecond
	maxKeepBackoff = 10 * time.Second
)

// keep has the platform's objects of requests follow what this VM knows.
func (s *suspects) keep(by saver, requests ...crash.Digest) {
	if s.save == nil {
		return
	}
	s.mu.Lock()
	for _, d := range requests {
		if len(s.unsaved) >= maxUnsaved {
			s.log.Warn().Stringer("request", d).Msg("too many suspicions wait to be kept on the platform; not keeping this one")
			break
		}
		if old, ok := s.unsaved[d]; !ok || old == keeperVM {
			s.unsaved[d] = by
		}
	}
	s.mu.Unlock()
	select {
	case s.pending <- struct{}{}:
	default:
	}
}

// takeUnsaved returns a request whose object this VM has to change, those in quarantine first.
func (s *suspects) takeUnsaved() (state crash.State, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for d, by := range s.unsaved {
		if by == keeperVM && !s.isKeeper(d) {
			delete(s.unsaved, d)
			continue
		}
		known, found := s.table.State(d)
		if !found {
			known = crash.State{Request: d}
		}
		state, ok = known, true
		if state.Quarantined() {
			break
		}
	}
	delete(s.unsaved, state.Request)
	return state, ok
}

// run takes over what the platform has kept and keeps there what changes, until ctx ends.
func (s *suspects) run(ctx context.Context) error {
	if s.save == nil {
		return nil
	}
	s.retry(ctx, "read kept suspicions", func() error {
		kept, err := s.load(ctx)
		if err == nil && len(kept) > 0 {
			s.log.Info().Int("requests", len(s.table.Merge(time.Now(), kept))).Int("kept", len(kept)).Msg("took over kept suspicions")
			over := lo.Filter(kept, func(state crash.State, _ int) bool { return !state.Quarantined() })
			s.keep(keeperVM, lo.Map(over, func(state crash.State, _ int) crash.Digest { return state.Request })...)
		}
		return err
	})
	for {
		state, ok := s.takeUnsaved()
		switch {
		case !ok:
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-s.pending:
			}
			continue
		case state.Quarantined():
			s.retry(ctx, "keep a suspicion", func() error { return s.save(ctx, state) })
		default:
			s.retry(ctx, "remove a suspicion that is over", func() error { return s.remove(ctx, state.Request) })
		}
		if !sleep.For(ctx, keepInterval) {
			return ctx.Err()
		}
	}
}

// retry repeats a call to the platform until it succeeds or ctx ends. It logs the first failure.
func (s *suspects) retry(ctx context.Context, what string, call func() error) {
	backoff := limit.NewBackoff(minKeepBackoff, maxKeepBackoff, rand.Uint64())
	for first := true; ; first = false {
		err := call()
		if err == nil || ctx.Err() != nil {
			return
		}
		if first {
			s.log.Warn().Err(err).Msgf("cannot %s on the platform; retrying", what)
		}
		if backoff.Wait(ctx) != nil {
			return
		}
	}
}

// merge takes in what another VM knows. VMs that each know a part of the crashes put a request in
// quarantine by that; one of them, which all VMs agree on, keeps it.
func (s *suspects) merge(now time.Time, received []*wire.Suspect) {
	states := lo.Map(received, func(w *wire.Suspect, _ int) crash.State { return suspectFromWire(now, w) })
	barred := lo.SliceToMap(states, func(state crash.State) (crash.Digest, bool) {
		_, quarantined := s.table.Barred(now, state.Request)
		return state.Request, quarantined
	})
	changed := s.table.Merge(now, states)
	if len(changed) == 0 {
		return
	}
	for _, state := range changed {
		s.logState(state, "Merged", "peer")
		if state.Quarantined() && !barred[state.Request] && now.Sub(state.At) < keepTime && s.isKeeper(state.Request) {
			s.keep(thisVM, state.Request)
		}
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

// free clears a request on an operator's word.
func (s *suspects) free(request string) (bool, error) {
	d, ok := crash.ParseDigest(request)
	if !ok {
		return false, fault.New(fault.Invalid, "%q is not the digest of a request", request)
	}
	return s.table.Free(time.Now(), d), nil
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
		Span:    uint64(s.Span.Milliseconds()),
		Servers: lo.Map(s.Processes, func(p crash.Process, _ int) uint32 { return uint32(p) }),
	}
}

// maxSuspectTime bounds the times that other VMs state, which also keeps them from overflowing.
const maxSuspectTime = 365 * 24 * time.Hour

func suspectTime(millis uint64) time.Duration {
	return time.Duration(min(millis, uint64(maxSuspectTime.Milliseconds()))) * time.Millisecond
}

func suspectFromWire(now time.Time, w *wire.Suspect) crash.State {
	age, span := suspectTime(w.GetAge()), suspectTime(w.GetSpan())
	return crash.State{
		Request: crash.Digest(w.GetRequest()), Epoch: w.GetEpoch(), Trials: w.GetTrials(), At: now.Add(-age), Span: span,
		Processes: lo.Map(w.GetServers(), func(p uint32, _ int) crash.Process { return crash.Process(p) }),
	}
}
