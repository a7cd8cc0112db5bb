// Package quota divides the request rates that backend servers state among the VMs. A server
// states one number for all of them together, and only to those that send it requests.
//
// The VMs tell each other what servers stated. Each computes its share from the VMs that it
// considers alive, without any agreement: of the VMs that use a server, as many hold a share
// as the rate allows, chosen by rendezvous hashing, and the others send nothing there. A VM
// uses the least share that was due within a delay, so that VMs that learn of a change at
// different times do not use more than the rate meanwhile.
package quota

import (
	"cmp"
	"hash/fnv"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/azuredeal/azuredeal/board"
)

const (
	// minShare is the least share of a VM, in requests per second, where the rate allows it.
	// It bounds the number of VMs whose bursts add up, and spares most VMs the wait for a
	// token that comes once in many seconds.
	minShare = 1.0
	// handoverDelay is how long a share waits before it grows. Members are known to all VMs
	// within a second of a change, and a suspicion may come a second later to one than to
	// another.
	handoverDelay = 1500 * time.Millisecond
	// staleAge is the age from which a statement is verified by trials.
	staleAge = 10 * time.Second
	// trialInterval is the mean interval between the trials that all VMs together send to a
	// server with a stale statement.
	trialInterval = 4 * time.Second
	// refreshInterval is the interval in which a statement that has not changed is told again.
	refreshInterval = 3 * time.Second
	// minTellInterval is the least interval between tellings of small changes.
	minTellInterval = 500 * time.Millisecond
	// largeChange is the relative change of a rate from which it is told at once.
	largeChange = 0.1
	maxAge      = 30 * time.Second // Older statements of other VMs are not accepted.
	// keepUnused is how long the statement of a server that this VM does not use is kept.
	keepUnused    = time.Minute
	maxStatements = 8192
)

// Key identifies a process of a backend server.
type Key uint64

// KeyOf returns the key of the process with the given id at an address of a service.
func KeyOf(service, addr, instance string) Key {
	h := fnv.New64a()
	for _, part := range []string{service, addr, instance} {
		_, _ = h.Write([]byte(part)) // A hash never fails to write.
		_, _ = h.Write([]byte{0})
	}
	return Key(h.Sum64())
}

// Server is a backend server that this VM uses.
type Server struct {
	Key           Key
	Service, Addr string
	// Holders are the ids of the VMs among which the rate may be divided, the same on all VMs
	// that see the same members.
	Holders []string
	// Users is the number of VMs that use the server, holders or not.
	Users int
}

// Statement is what a server said last of the request rate that it accepts.
type Statement struct {
	Key       Key
	PerSecond float64   // board.Unlimited when the server states no limit.
	At        time.Time // When it said so, by this VM's clock.
}

// Share is the request rate, per second, that this VM may send to a server.
type Share struct {
	Service, Addr string
	PerSecond     float64
}

// statement is the newest statement of a server.
type statement struct {
	Statement
	toldAt time.Time // When this VM told or was told of it.
	told   float64   // The rate of that time.
}

// server is the state of a server that this VM uses.
type server struct {
	Server
	dues    []due   // Growing shares, each due later than those before it.
	share   float64 // In use.
	applied bool    // The share is the one that Shares returned last.
}

// due is a share with the last time at which it was due.
type due struct {
	perSecond float64
	last      time.Time
}

// setDue records the share that is due now, and sets the share in use to the least one that
// was due within handoverDelay. The end of a limit counts at once.
func (s *server) setDue(now time.Time, perSecond float64) {
	if n := len(s.dues); n > 0 {
		s.dues[n-1].last = now
	}
	for len(s.dues) > 0 && s.dues[len(s.dues)-1].perSecond >= perSecond {
		s.dues = s.dues[:len(s.dues)-1]
	}
	s.dues = append(s.dues, due{perSecond, now})
	for now.Sub(s.dues[0].last) >= handoverDelay {
		s.dues = s.dues[1:]
	}
	s.share = s.dues[0].perSecond
	if perSecond == board.Unlimited {
		s.share = perSecond
	}
}

// Table holds the statements of servers and the shares of this VM. It is not safe for
// concurrent use.
type Table struct {
	self       string
	random     *rand.Rand
	statements map[Key]*statement
	servers    map[Key]*server
	alive      int // Number of VMs.
	size       FleetSize
}

// New returns a table for the VM with the given id. The seed determines the times of trials
// and has to differ between VMs.
func New(self string, seed uint64) *Table {
	return &Table{
		self: self, random: rand.New(rand.NewPCG(seed, 0)),
		statements: map[Key]*statement{}, servers: map[Key]*server{},
	}
}

// SetServers replaces the servers that this VM uses, and sets the number of VMs that it
// considers alive, itself included. All shares are returned by the next call of Shares.
func (t *Table) SetServers(now time.Time, servers []Server, alive int) {
	next := make(map[Key]*server, len(servers))
	for _, s := range servers {
		state := t.servers[s.Key]
		if state == nil {
			// Other VMs may not yet know that this one uses the server.
			state = &server{dues: []due{{0, now}}}
		}
		state.Server, state.applied = s, false
		next[s.Key] = state
	}
	t.servers = next
	t.alive = alive
	t.size.Observe(now, alive)
	t.dropUnused(now)
}

// dropUnused drops old statements of servers that this VM does not use.
func (t *Table) dropUnused(now time.Time) {
	maps.DeleteFunc(t.statements, func(key Key, st *statement) bool {
		return t.servers[key] == nil && now.Sub(st.At) > keepUnused
	})
}

// Observe records the statement of a response that this VM got. It reports whether the rate
// is another one than the known.
func (t *Table) Observe(st Statement) (changed bool) {
	_, changed = t.record(st)
	return changed
}

// Merge records a statement that another VM got. It reports whether the rate is another one
// than the known.
func (t *Table) Merge(now time.Time, st Statement) (changed bool) {
	if now.Sub(st.At) > maxAge || st.PerSecond < 0 || math.IsNaN(st.PerSecond) {
		return false
	}
	known, changed := t.record(st)
	if known == nil {
		return false
	}
	known.told, known.toldAt = st.PerSecond, now
	return changed
}

// record stores a statement unless a newer one is known, and returns the stored one.
func (t *Table) record(st Statement) (known *statement, changed bool) {
	known = t.statements[st.Key]
	if known == nil {
		if st.PerSecond == board.Unlimited || len(t.statements) >= maxStatements {
			return nil, false
		}
		known = &statement{Statement: st, told: board.Unlimited}
		t.statements[st.Key] = known
		return known, true
	}
	if st.At.Before(known.At) {
		return nil, false
	}
	changed = known.PerSecond != st.PerSecond
	known.Statement = st
	return known, changed
}

// Limits returns the number of servers in use with a limit.
func (t *Table) Limits() int {
	n := 0
	for key := range t.servers {
		if st := t.statements[key]; st != nil && st.PerSecond != board.Unlimited {
			n++
		}
	}
	return n
}

// Server returns the server in use that has the key.
func (t *Table) Server(key Key) (Server, bool) {
	s := t.servers[key]
	if s == nil {
		return Server{}, false
	}
	return s.Server, true
}

// Rate returns the rate that a server stated last, board.Unlimited when it stated none.
func (t *Table) Rate(key Key) float64 {
	if st := t.statements[key]; st != nil {
		return st.PerSecond
	}
	return board.Unlimited
}

// Shares updates the shares of this VM and returns those that have changed.
func (t *Table) Shares(now time.Time) []Share {
	var out []Share
	for _, key := range slices.Sorted(maps.Keys(t.servers)) {
		s := t.servers[key]
		before := s.share
		s.setDue(now, t.dueShare(now, s))
		if s.share != before || !s.applied {
			s.applied = true
			out = append(out, Share{Service: s.Service, Addr: s.Addr, PerSecond: s.share})
		}
	}
	return out
}

// dueShare returns the share by the known rate and members.
func (t *Table) dueShare(now time.Time, s *server) float64 {
	rate := t.Rate(s.Key)
	if rate == board.Unlimited {
		return board.Unlimited
	}
	size := t.size.Observe(now, t.alive)
	if len(s.Holders) == 0 {
		return rate / float64(max(1, size)) // All VMs are leaving, and each still has requests.
	}
	n := max(1, int(min(rate/minShare, float64(len(s.Holders)))))
	if !s.isAmongFirst(t.self, n) {
		return 0
	}
	if 2*t.alive <= size {
		n = max(n, size) // This VM may be cut off.
	}
	return rate / float64(n)
}

// isAmongFirst reports whether a VM is one of the first n holders of s by rank.
func (s *Server) isAmongFirst(self string, n int) bool {
	own := rank(self, s.Key)
	before := 0
	for _, vm := range s.Holders {
		if r := rank(vm, s.Key); vm != self && (r > own || r == own && vm < self) {
			before++
		}
	}
	return before < n && slices.Contains(s.Holders, self)
}

// rank orders the VMs for a server by rendezvous hashing.
func rank(vm string, key Key) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	x := h.Sum64() ^ uint64(key)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Trials returns the servers that this VM may send one request beyond its share. The
// statement of a server that no VM has heard from for staleAge may have ended: the VMs that
// hold its shares may be without requests for it, or without a path to it. interval is the
// time between calls.
func (t *Table) Trials(now time.Time, interval time.Duration) []Server {
	var out []Server
	for _, key := range slices.Sorted(maps.Keys(t.servers)) {
		s, st := t.servers[key], t.statements[key]
		if st == nil || st.PerSecond == board.Unlimited || now.Sub(st.At) < staleAge {
			continue
		}
		mean := trialInterval * time.Duration(max(1, s.Users))
		if t.random.Float64()*float64(mean) < float64(interval) {
			out = append(out, s.Server)
		}
	}
	return out
}

// Tell returns the statements of this VM's own responses to tell the other VMs: changes at
// once, others when no VM has told of them for a while. It reports whether one is urgent.
func (t *Table) Tell(now time.Time) (out []Statement, urgent bool) {
	for _, key := range slices.SortedFunc(maps.Keys(t.statements), cmp.Compare[Key]) {
		st := t.statements[key]
		due, atOnce := st.isDue(now)
		if !due {
			continue
		}
		st.told, st.toldAt = st.PerSecond, now
		urgent = urgent || atOnce
		out = append(out, st.Statement)
	}
	return out, urgent
}

// isDue reports whether other VMs are to be told of the statement, and whether at once.
func (st *statement) isDue(now time.Time) (due, atOnce bool) {
	sinceTold := now.Sub(st.toldAt)
	switch {
	case !st.At.After(st.toldAt): // Nothing new since then.
		return false, false
	case IsLargeChange(st.told, st.PerSecond):
		return true, true
	case st.PerSecond != st.told:
		return sinceTold >= minTellInterval, false
	}
	return st.PerSecond != board.Unlimited && sinceTold >= refreshInterval, false
}

// IsLargeChange reports whether a change of a rate is more than the usual variation.
func IsLargeChange(before, after float64) bool {
	if before == board.Unlimited || after == board.Unlimited {
		return before != after
	}
	return max(before-after, after-before) > largeChange*before
}
