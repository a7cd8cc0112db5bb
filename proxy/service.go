package proxy

import (
	"hash/fnv"
	"maps"
	"math"
	"reflect"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/internal/fleet/crash"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/pool"
)

const (
	defaultRetryBurst       = 10
	defaultMaxWaiting       = 64 // Requests waiting in the queue.
	defaultMaxBodyBytes     = 1 << 20
	defaultMaxResponseBytes = 64 << 20
	defaultDeadline         = 10 * time.Second
)

// server is one backend server with the state that is kept across releases.
type server struct {
	note   note.Server
	target *pick.Target
	limit  *limit.Adaptive
	pool   *pool.Pool
	rate   *rateState

	process   crash.Process
	abandoned *abandoned
}

// begin reports whether an attempt may start within the concurrency limit and the rate of the
// server, and counts it if so.
func (v *server) begin() bool {
	if !v.target.Rate().Take() {
		return false
	}
	if v.limit.Begin() {
		return true
	}
	v.target.Rate().Return()
	return false
}

// endAttempt records the end of an attempt. It reports whether the concurrency limit
// of the server changed.
func (v *server) endAttempt(counted bool, took time.Duration, outcome board.Outcome) bool {
	v.target.End()
	if !counted {
		return false
	}
	before := v.limit.Limit()
	v.limit.End(time.Now(), took, outcome)
	return v.limit.Limit() != before
}

// service is the state of one service. A release that changes the service replaces
// it; the new value takes over the parts that did not change.
type service struct {
	note      note.Service
	queue     *limit.Queue
	budget    *limit.RetryBudget
	picker    *pick.Picker
	servers   map[string]*server
	latencies *latencyWindows
	counters  *requestCounters
	former    map[process]formerHold
	users     int // VMs among which the connections that a server accepts are divided.
}

// formerTime is how long the hold of a process outlasts that a release names it. A platform that comes
// back from a copy can leave it out, or name the one before, for the time until it is corrected.
const formerTime = 10 * time.Minute

// process is one process of a backend server.
type process struct {
	addr, instanceID string
	start            uint64
}

func processOf(n note.Server) process { return process{n.Addr, n.InstanceID, n.Start} }

// formerHold is the hold of a process that was last in a release at a time.
type formerHold struct {
	hold *limit.Hold
	at   time.Time
}

// formerHolds returns the holds in effect of the processes that are in no release any more, or that
// the next one may leave out.
func (s *service) formerHolds(now time.Time) map[process]formerHold {
	out := maps.Clone(s.former)
	maps.DeleteFunc(out, func(_ process, f formerHold) bool { return now.Sub(f.at) > formerTime || f.hold.Allows(now) })
	for _, v := range s.servers {
		if hold := v.target.Rate().Hold(); !hold.Allows(now) {
			if out == nil {
				out = map[process]formerHold{}
			}
			out[processOf(v.note)] = formerHold{hold, now}
		}
	}
	return out
}

func (h *Handler) newService(n note.Service, old *service) *service {
	if old != nil && reflect.DeepEqual(old.note, n) {
		return old
	}
	s := &service{note: n, servers: map[string]*server{}, users: defaultUsers}
	if old != nil {
		s.users, s.former = old.users, old.formerHolds(time.Now())
	}
	h.inheritState(s, old)
	for _, m := range n.Servers {
		var prev *server
		if old != nil {
			prev = old.servers[m.Addr]
		}
		v := h.newServer(n.Name, m, prev, s.users)
		if f, ok := s.former[processOf(m)]; ok {
			v.target.Rate().Hold().TakeOver(f.hold)
		}
		s.servers[m.Addr] = v
	}
	s.updateTargets(h.opts.Subset)
	return s
}

// inheritState fills s with the state of old whose configuration did not change, and
// with new state otherwise. old may be nil.
func (h *Handler) inheritState(s, old *service) {
	n := s.note
	if old == nil {
		s.picker = pick.New(h.opts.Zone, h.opts.Seed^hash(n.Name))
		s.latencies = new(latencyWindows)
		s.counters = newRequestCounters(h.opts.Metrics, n.Name)
	} else {
		s.picker, s.latencies, s.counters = old.picker, old.latencies, old.counters
		s.queue, s.budget = old.queue, old.budget
	}
	maxWaiting := orDefault(n.Limits.Queue, defaultMaxWaiting)
	if old == nil {
		s.queue = limit.NewQueue(1, maxWaiting)
	} else {
		// Keep the queue: a new one would not count the requests that are running.
		s.queue.SetMaxWaiting(maxWaiting)
	}
	ratio, burst, refill := n.Limits.RetryRatio, orDefault(n.Limits.RetryBurst, defaultRetryBurst), n.Limits.RetryRefill.Std()
	if old == nil {
		s.budget = limit.NewRetryBudget(ratio, burst, refill)
	} else {
		s.budget.Configure(ratio, burst, refill)
	}
}

func (h *Handler) newServer(name string, n note.Server, old *server, users int) *server {
	if old != nil && old.note == n {
		return old
	}
	if old != nil && (old.note.InstanceID != n.InstanceID || old.note.Start != n.Start) {
		old = nil // Another process now uses the address.
	}
	v := &server{
		note: n, target: pick.NewTarget(n.Addr, n.Zone, n.Slots),
		process: crash.ProcessOf(name, n.Addr, n.InstanceID, n.Start), abandoned: &abandoned{},
	}
	v.rate = &rateState{bound: v.target.Rate()}
	if old != nil && old.note.Slots == n.Slots {
		v.limit = old.limit
	} else {
		v.limit = limit.NewAdaptive(n.Slots)
	}
	if old != nil {
		v.target.SetWeight(old.target.Weight())
		v.target.ShareRate(old.target)
		v.rate, v.abandoned = old.rate, old.abandoned
	}
	if old != nil && old.note.Conns == n.Conns {
		v.pool = old.pool
		if old.note.Zone == n.Zone && old.note.Slots == n.Slots {
			v.target = old.target
		}
		return v
	}
	v.pool = pool.New(n.Addr, pool.Options{
		Service:        name,
		Conns:          connsPerVM(n.Conns, users),
		Dialect:        h.opts.Dialect,
		Server:         n.InstanceID,
		IdleTimeout:    h.opts.IdleTimeout,
		ConnectTimeout: h.opts.ConnectTimeout,
		Dial:           h.opts.Dial,
		Sample:         h.recordSample,
		StatedRate:     func(r board.StatedRate) { h.recordRate(v.rate, r) },
		Stated:         func(s pool.Stated) { h.recordStated(name, v, s) },
	})
	return v
}

// updateTargets sets the usable servers in the picker and the queue. From then on, a
// leaving server gets no new attempts.
func (s *service) updateTargets(subset func(note.Service, []*pick.Target) []*pick.Target) {
	targets := make([]*pick.Target, 0, len(s.servers))
	for _, n := range s.note.Servers {
		if !n.Leaving {
			targets = append(targets, s.servers[n.Addr].target)
		}
	}
	if subset != nil {
		targets = subset(s.note, targets)
	}
	s.picker.SetTargets(targets)
	s.updateMaxRunning()
}

// updateMaxRunning sets the number of requests that the queue admits at once to the
// sum of the concurrency limits of the usable servers, but at least 1. A server with a bound
// on its rate counts for the requests that this rate keeps in flight, by Little's law; one more
// may wait for the next turn at such a server meanwhile.
func (s *service) updateMaxRunning() {
	maxRunning, waiting := 0.0, 0.0
	now := time.Now()
	for _, t := range s.picker.Targets() {
		// The picker may already follow a newer release than s.
		v := s.servers[t.Addr()]
		if v == nil || t.Weight() <= 0 || !t.Rate().Hold().Allows(now) {
			continue
		}
		concurrency := float64(v.limit.Limit())
		if t.Rate().Limited() {
			perSecond := t.Rate().PerSecond()
			concurrency = min(concurrency, perSecond*v.limit.Latency().Seconds())
			if perSecond > 0 {
				waiting = 1
			}
		}
		maxRunning += concurrency
	}
	s.queue.SetMaxRunning(max(1, int(math.Ceil(maxRunning+waiting))))
}

// closeUnusedPools closes the connection pools that next does not use; all of them
// when next is nil.
func (s *service) closeUnusedPools(next *service) {
	for addr, v := range s.servers {
		if next == nil || next.servers[addr] == nil || next.servers[addr].pool != v.pool {
			v.pool.Close()
		}
	}
}

func (s *service) appendInflight(out []board.InflightStats) []board.InflightStats {
	for _, v := range s.servers {
		if f := v.pool.InflightStats(); f.Count > 0 {
			out = append(out, f)
		}
	}
	return out
}

func (s *service) deadline(r *Route) time.Duration {
	switch {
	case r.deadline > 0:
		return r.deadline
	case s.note.Deadline > 0:
		return s.note.Deadline.Std()
	}
	return defaultDeadline
}

func (s *service) maxBodyBytes() int64 { return orDefault(s.note.Limits.Body, defaultMaxBodyBytes) }

func (s *service) maxResponseBytes() int64 {
	return orDefault(s.note.Limits.MaxResponseBytes, defaultMaxResponseBytes)
}

func orDefault[T int | int64](n, fallback T) T {
	if n > 0 {
		return n
	}
	return fallback
}

func hash(text string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(text))
	return f.Sum64()
}
