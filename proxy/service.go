package proxy

import (
	"hash/fnv"
	"reflect"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/pool"
)

const (
	defaultBurst   = 10
	defaultQueue   = 64 // Requests that wait.
	defaultBody    = 1 << 20
	defaultAnswer  = 64 << 20
	defaultTimeout = 10 * time.Second
)

// server is one backend server with the state that outlives a release.
type server struct {
	note   note.Server
	target *pick.Target
	limit  *limit.Adaptive
	pool   *pool.Pool
}

// end counts the end of an attempt. It reports whether the server now takes
// more or fewer requests at once.
func (v *server) end(counted bool, took time.Duration, outcome board.Outcome) bool {
	v.target.End()
	if !counted {
		return false
	}
	before := v.limit.Limit()
	v.limit.End(time.Now(), took, outcome)
	return v.limit.Limit() != before
}

// service is the state of one service. It is replaced as a whole when a release
// changes the service; the parts that did not change move along.
type service struct {
	note    note.Service
	queue   *limit.Queue
	budget  *limit.RetryBudget
	picker  *pick.Picker
	servers map[string]*server
	recent  *windows
	count   *counters
}

func (h *Handler) newService(n note.Service, old *service) *service {
	if old != nil && reflect.DeepEqual(old.note, n) {
		return old
	}
	s := &service{note: n, servers: map[string]*server{}}
	h.share(s, old)
	for _, m := range n.Servers {
		var before *server
		if old != nil {
			before = old.servers[m.Addr]
		}
		s.servers[m.Addr] = h.newServer(n.Name, m, before)
	}
	s.aim(h.opts.Subset)
	return s
}

// share takes over from old what its rules still allow.
func (h *Handler) share(s, old *service) {
	n := s.note
	if old == nil {
		s.picker = pick.New(h.opts.Zone, h.opts.Seed^hash(n.Name))
		s.recent = new(windows)
		s.count = newCounters(h.opts.Metrics, n.Name)
	} else {
		s.picker, s.recent, s.count = old.picker, old.recent, old.count
		s.queue, s.budget = old.queue, old.budget
	}
	depth := orDefault(n.Limits.Queue, defaultQueue)
	if old == nil {
		s.queue = limit.NewQueue(1, depth)
	} else {
		// A new queue would not count the requests that run.
		s.queue.SetMaxWaiting(depth)
	}
	if old == nil || old.note.Limits.RetryRatio != n.Limits.RetryRatio || old.note.Limits.RetryBurst != n.Limits.RetryBurst ||
		old.note.Limits.RetryRefill != n.Limits.RetryRefill {
		s.budget = limit.NewRetryBudget(n.Limits.RetryRatio, orDefault(n.Limits.RetryBurst, defaultBurst), n.Limits.RetryRefill.Std())
	}
}

func (h *Handler) newServer(name string, n note.Server, old *server) *server {
	if old != nil && old.note == n {
		return old
	}
	if old != nil && old.note.InstanceID != n.InstanceID {
		old = nil // Another process has the address.
	}
	v := &server{note: n, target: pick.NewTarget(n.Addr, n.Zone, n.Slots)}
	if old != nil && old.note.Slots == n.Slots {
		v.limit = old.limit
	} else {
		v.limit = limit.NewAdaptive(n.Slots)
	}
	if old != nil {
		v.target.SetWeight(old.target.Weight())
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
		Conns:          h.conns(n.Conns),
		Dialect:        h.opts.Dialect,
		Server:         n.InstanceID,
		IdleTimeout:    h.opts.IdleTimeout,
		ConnectTimeout: h.opts.ConnectTimeout,
		Dial:           h.opts.Dial,
		Sample:         h.sample,
	})
	return v
}

// aim tells picker and queue which servers are usable. A leaving server gets no
// new attempts from here on.
func (s *service) aim(subset func(note.Service, []*pick.Target) []*pick.Target) {
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
	s.makeRoom()
}

// makeRoom lets as many requests run as the usable servers take at once.
func (s *service) makeRoom() {
	room := 0
	for _, t := range s.picker.Targets() {
		// The picker may be ahead of s when a release has just changed the service.
		if v := s.servers[t.Addr()]; v != nil && t.Weight() > 0 {
			room += v.limit.Limit()
		}
	}
	s.queue.SetMaxRunning(max(1, room))
}

// retire closes the connections of servers that next no longer uses.
func (s *service) retire(next *service) {
	for addr, v := range s.servers {
		if next == nil || next.servers[addr] == nil || next.servers[addr].pool != v.pool {
			v.pool.Close()
		}
	}
}

func (s *service) flights(out []board.InflightStats) []board.InflightStats {
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
	return defaultTimeout
}

func (s *service) bodyLimit() int64 { return orDefault(s.note.Limits.Body, defaultBody) }

func (s *service) answerLimit() int64 {
	return orDefault(s.note.Limits.MaxResponseBytes, defaultAnswer)
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
