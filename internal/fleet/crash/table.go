package crash

import (
	"cmp"
	"hash/fnv"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// QuarantineAfter is the number of server processes after whose ends a request is not sent
	// any more.
	QuarantineAfter = 3
	// settleTime is how long a request waits after a crash that it may have caused: its copies
	// that are still running elsewhere show meanwhile whether they end well.
	settleTime = 500 * time.Millisecond
	// settleSpread is by how much this wait differs between VMs, so that copies that wait at
	// many of them are not sent at the same time.
	settleSpread = 500 * time.Millisecond
	// forgetAfter is how long evidence below QuarantineAfter is kept after the last crash, and
	// how long it is remembered that a request was cleared.
	forgetAfter = time.Hour
	// trialDelay is the time from the last crash to the first trial of a request in quarantine.
	// It is multiplied by trialBackoff for each further trial.
	trialDelay   = 10 * time.Minute
	trialBackoff = 6
	maxTrials    = 3 // Trials of a request in quarantine, of all VMs, for ever.
	// concurrentSpan is the time within which all processes ended if copies of a request that
	// were on several servers at once may all be victims of one cause. Such a request may be
	// tried as soon as its crashes have settled, by any VM, maxQuickTrials times.
	concurrentSpan = 150 * time.Millisecond
	maxQuickTrials = 2

	maxEntries = 4096 // Requests in a table.
	// maxQuarantined is how many of them may be in quarantine, which has no end by itself. The rest
	// is for suspicions that are new.
	maxQuarantined = maxEntries * 3 / 4
	maxProcesses   = 8 // Processes kept for each request.
	sweepTime      = time.Second
)

// State is what the fleet knows of one request. The states of a request that VMs hold merge to
// the same one in any order: the later epoch holds, and within it the processes are united.
type State struct {
	Request Digest
	// Epoch grows when the request has ended well, or an operator has cleared it. The evidence
	// of earlier epochs is void.
	Epoch     uint32
	Processes []Process // Processes that ended while they had the request, in order.
	Trials    uint32    // Trials of the request in quarantine that have begun.
	At        time.Time // Of the last crash, trial or clearance.
	// Span is the time from the first to the last crash.
	Span time.Duration
}

// mayBeVictim reports whether all processes ended at about the same time, and no trial has ended
// another one.
func (s State) mayBeVictim() bool { return s.Span <= concurrentSpan && s.Trials < maxQuickTrials }

// Quarantined reports whether the request is in quarantine.
func (s State) Quarantined() bool { return len(s.Processes) >= QuarantineAfter }

// trialDue returns when the next trial may begin. It reports false when there is none.
func (s State) trialDue() (time.Time, bool) {
	if s.Trials >= maxTrials {
		return time.Time{}, false
	}
	delay := trialDelay
	for range s.Trials {
		delay *= trialBackoff
	}
	return s.At.Add(delay), true
}

// entry is the state of a request at this VM.
type entry struct {
	State
	running int           // Calls of this VM that were admitted under suspicion and still run.
	changed chan struct{} // Closed when the entry changes.
}

func (e *entry) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// merge merges a state into the entry and reports whether that changed it.
func (e *entry) merge(s State) bool {
	if s.Epoch < e.Epoch {
		return false
	}
	changed := s.Epoch > e.Epoch
	if changed {
		e.Epoch, e.Processes, e.Trials, e.Span = s.Epoch, nil, 0, 0
	}
	before := e.State
	// Of more processes than are kept, all VMs keep the same ones.
	united := slices.Concat(e.Processes, s.Processes)
	slices.Sort(united)
	united = slices.Compact(united)
	united = united[:min(len(united), maxProcesses)]
	if !slices.Equal(united, e.Processes) {
		e.Processes, changed = united, true
		e.Span = unitedSpan(before, s)
	}
	if s.Trials > e.Trials {
		e.Trials, changed = s.Trials, true
	}
	if changed && s.At.After(e.At) {
		e.At = s.At
	}
	return changed
}

// unitedSpan returns the span of the crashes of two states.
func unitedSpan(a, b State) time.Duration {
	switch {
	case len(a.Processes) == 0:
		return b.Span
	case len(b.Processes) == 0:
		return a.Span
	case a.Trials > 0 || b.Trials > 0:
		return max(a.Span, b.Span, settleTime) // A trial waits for the crashes before it to settle.
	}
	first, last := a.At.Add(-a.Span), a.At
	if f := b.At.Add(-b.Span); f.Before(first) {
		first = f
	}
	if b.At.After(last) {
		last = b.At
	}
	return last.Sub(first)
}

// reject returns the rejection of a request in quarantine, and whether a trial is due.
func (e *entry) reject(now time.Time) (a Admission, trialDue bool) {
	a = Admission{Verdict: Reject, Servers: len(e.Processes)}
	due, expected := e.trialDue()
	if expected {
		a.Left = max(0, due.Sub(now))
	}
	return a, expected && !now.Before(due)
}

// Options configures a Table.
type Options struct {
	VM string // Id of this VM.
	// IsKeeper reports whether this VM is the one of the fleet that may send a request in
	// quarantine for a trial; never by default.
	IsKeeper func(d Digest) bool
	// Changed receives each change that this VM made itself, and Evicted the requests in quarantine
	// for which the table has no room any more; they must not block. May be nil.
	Changed func(before, after State, c Change)
	Evicted func(requests []Digest)
}

//go:generate stringer -type=Change,Verdict -output=crash_string.go

// Change tells what changed a state.
type Change uint8

// The changes.
const (
	Crashed Change = iota // A server process ended while it had the request.
	Cleared               // The request ended well.
	Tried                 // A trial of the request in quarantine began.
	Freed                 // An operator cleared the request.
)

// Table holds the requests that are suspected of crashing backend servers. It is safe for
// concurrent use.
type Table struct {
	opts    Options
	size    atomic.Int64
	mu      sync.Mutex
	entries map[Digest]*entry
	evicted []Digest // Those that Evicted has not been called for yet.
	sweptAt time.Time
}

// New returns an empty table.
func New(opts Options) *Table {
	if opts.IsKeeper == nil {
		opts.IsKeeper = func(Digest) bool { return false }
	}
	if opts.Changed == nil {
		opts.Changed = func(State, State, Change) {}
	}
	if opts.Evicted == nil {
		opts.Evicted = func([]Digest) {}
	}
	return &Table{opts: opts, entries: map[Digest]*entry{}}
}

// reportEvicted calls Evicted for what has been evicted since the last call. t.mu must not be held.
func (t *Table) reportEvicted() {
	t.mu.Lock()
	evicted := t.evicted
	t.evicted = nil
	t.mu.Unlock()
	if len(evicted) > 0 {
		t.opts.Evicted(evicted)
	}
}

// State returns the state of a request. It reports false when nothing is known of it.
func (t *Table) State(d Digest) (State, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[d]; e != nil {
		return e.State, true
	}
	return State{}, false
}

// IsEmpty reports whether no request is known. Digests are not needed then.
func (t *Table) IsEmpty() bool { return t.size.Load() == 0 }

// Verdict tells what happens to a request.
type Verdict uint8

// The verdicts.
const (
	Pass Verdict = iota
	Wait
	Reject
)

// Admission is the answer to a request that is about to be sent for the first time.
type Admission struct {
	Verdict Verdict
	// Left is for Wait the time after which to ask again, and for Reject the time until a
	// request like this one may be sent again, if it may ever be.
	Left time.Duration
	// Changed is closed when asking again earlier makes sense. Only for Wait.
	Changed <-chan struct{}
	// Suspected says that Done has to be called after the request, and Trial that the request is
	// in quarantine. Only for Pass.
	Suspected, Trial bool
	Servers          int // Processes that ended while they had the request.
}

// Admit decides on a request before its first attempt. With patient unset it may not wait.
func (t *Table) Admit(now time.Time, d Digest, patient bool) Admission {
	a, before, after := t.admit(now, d, patient)
	if a.Trial {
		t.opts.Changed(before, after, Tried)
	}
	return a
}

// admit returns the states before and after as well.
func (t *Table) admit(now time.Time, d Digest, patient bool) (a Admission, before, after State) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[d]
	if e == nil || len(e.Processes) == 0 {
		return a, before, after
	}
	a, before = Admission{Servers: len(e.Processes)}, e.State
	left := e.At.Add(t.settleTime(d, len(e.Processes))).Sub(now)
	switch wait := patient && left > 0; {
	case wait, patient && e.running > 0 && !e.Quarantined():
		a.Verdict, a.Left, a.Changed = Wait, left, e.changed
		return a, before, before
	case e.Quarantined():
		rejection, due := e.reject(now)
		if e.running > 0 || !e.mayBeVictim() && (!due || !t.opts.IsKeeper(d)) {
			return rejection, before, before
		}
		e.Trials, e.At, a.Trial = e.Trials+1, now, true
		e.notify()
	}
	e.running++
	a.Suspected = true
	return a, before, e.State
}

// settleTime returns how long this VM waits after a crash before it sends the request again.
func (t *Table) settleTime(d Digest, servers int) time.Duration {
	return settleTime + time.Duration(float64(settleSpread)*fraction(d, uint8(servers), t.opts.VM))
}

// fraction returns a number from 0 to 1 that differs between VMs, requests and rounds.
func fraction(d Digest, round uint8, vm string) float64 {
	return float64(hash(d, round, vm)>>11) / (1 << 53)
}

func hash(d Digest, round uint8, vm string) uint64 {
	h := fnv.New64a()
	for i := range 8 {
		_, _ = h.Write([]byte{byte(d >> (8 * i))}) // A hash never fails to write.
	}
	_, _ = h.Write([]byte{round})
	_, _ = h.Write([]byte(vm))
	// The low bits of FNV mix better than the high ones.
	n := h.Sum64()
	n ^= n >> 32
	n *= 0x9e3779b97f4a7c15
	return n ^ n>>29
}

// Done ends a request that was admitted under suspicion.
func (t *Table) Done(d Digest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[d]; e != nil && e.running > 0 {
		e.running--
		e.notify()
	}
}

// MayRepeat reports whether another attempt of a request may follow one that has lost its
// connection to a process. That process may have ended, whether it is known or not.
func (t *Table) MayRepeat(d Digest, p Process) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[d]
	if e == nil || len(e.Processes) == 0 {
		return true
	}
	return len(e.Processes) == 1 && e.Processes[0] == p
}

// Servers returns how many processes ended while they had the request.
func (t *Table) Servers(d Digest) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[d]; e != nil {
		return len(e.Processes)
	}
	return 0
}

// Barred reports whether a request is in quarantine, and returns the fields that Admit would
// return for it.
func (t *Table) Barred(now time.Time, d Digest) (Admission, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[d]
	if e == nil || !e.Quarantined() {
		return Admission{}, false
	}
	a, _ := e.reject(now)
	return a, true
}

// Crashed records that a process ended while it had the request.
func (t *Table) Crashed(now time.Time, d Digest, p Process) {
	t.mu.Lock()
	before := State{Request: d}
	if e := t.entries[d]; e != nil {
		before = e.State
	}
	after, changed := t.mergeLocked(now, State{Request: d, Epoch: before.Epoch, Processes: []Process{p}, At: now})
	t.mu.Unlock()
	if changed {
		t.opts.Changed(before, after, Crashed)
	}
	t.reportEvicted()
}

// Succeeded records that the request ended well. What is known against it is void.
func (t *Table) Succeeded(now time.Time, d Digest) { t.clear(now, d, Cleared) }

// Free clears a request on an operator's word. It reports whether anything was known against it.
func (t *Table) Free(now time.Time, d Digest) bool { return t.clear(now, d, Freed) }

func (t *Table) clear(now time.Time, d Digest, c Change) bool {
	t.mu.Lock()
	e := t.entries[d]
	if e == nil || len(e.Processes) == 0 {
		t.mu.Unlock()
		return false
	}
	before := e.State
	after, _ := t.mergeLocked(now, State{Request: d, Epoch: e.Epoch + 1, At: now})
	t.mu.Unlock()
	t.opts.Changed(before, after, c)
	return true
}

// Merge merges states of other VMs and returns those that changed, merged.
func (t *Table) Merge(now time.Time, states []State) []State {
	defer t.reportEvicted()
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []State
	for _, s := range states {
		s.At = minTime(s.At, now)
		if s.isOutdated(now) {
			continue
		}
		if merged, changed := t.mergeLocked(now, s); changed {
			out = append(out, merged)
		}
	}
	return out
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// isOutdated reports whether the state is not kept any more.
func (s State) isOutdated(now time.Time) bool {
	return !s.Quarantined() && now.Sub(s.At) > forgetAfter
}

// mergeLocked merges a state and returns the result. t.mu must be held.
func (t *Table) mergeLocked(now time.Time, s State) (State, bool) {
	t.sweep(now)
	e := t.entries[s.Request]
	if e == nil {
		if len(t.entries) >= maxEntries && !t.evict(s) {
			return State{}, false
		}
		e = &entry{State: State{Request: s.Request}, changed: make(chan struct{})}
		t.entries[s.Request] = e
		t.size.Store(int64(len(t.entries)))
	}
	before := e.Quarantined()
	changed := e.merge(s)
	if changed {
		e.notify()
	}
	if e.Quarantined() && !before && t.evictQuarantined(e) {
		return State{}, false
	}
	return e.State, changed
}

// evictQuarantined removes the request that has been in quarantine for longest when there are too
// many, and reports whether that is the one that has just entered it. VMs whose tables are full would
// otherwise tell each other of old ones for ever.
func (t *Table) evictQuarantined(entered *entry) (itself bool) {
	oldest, n := entered, 0
	for _, e := range t.entries {
		if !e.Quarantined() {
			continue
		}
		n++
		if e != entered && e.running == 0 && compareImportance(e.State, oldest.State) <= 0 {
			oldest = e
		}
	}
	if n <= maxQuarantined {
		return false
	}
	t.evicted = append(t.evicted, oldest.Request)
	delete(t.entries, oldest.Request)
	t.size.Store(int64(len(t.entries)))
	return oldest == entered
}

// sweep removes outdated entries.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < sweepTime {
		return
	}
	t.sweptAt = now
	maps.DeleteFunc(t.entries, func(_ Digest, e *entry) bool { return e.running == 0 && e.isOutdated(now) })
	t.size.Store(int64(len(t.entries)))
}

// evict removes the least important entry for a state, unless that one is less important.
func (t *Table) evict(s State) bool {
	least := &State{}
	*least = s
	for _, e := range t.entries {
		if e.running == 0 && compareImportance(e.State, *least) < 0 {
			least = &e.State
		}
	}
	if least.Quarantined() {
		t.evicted = append(t.evicted, least.Request)
	}
	if least.Request == s.Request {
		return false
	}
	delete(t.entries, least.Request)
	return true
}

// compareImportance orders states by what is lost with them: first by the evidence, then by time.
func compareImportance(a, b State) int {
	return cmp.Or(
		cmp.Compare(min(len(a.Processes), QuarantineAfter), min(len(b.Processes), QuarantineAfter)),
		a.At.Compare(b.At),
	)
}

// States returns the states of all requests, the most important first.
func (t *Table) States() []State {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]State, 0, len(t.entries))
	for _, e := range t.entries {
		out = append(out, e.State)
	}
	slices.SortFunc(out, func(a, b State) int {
		return cmp.Or(compareImportance(b, a), cmp.Compare(a.Request, b.Request))
	})
	return out
}

// Counts returns how many requests are suspected, and how many of them are in quarantine.
func (t *Table) Counts() (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if len(e.Processes) > 0 {
			suspected++
		}
		if e.Quarantined() {
			quarantined++
		}
	}
	return suspected, quarantined
}

// Keeper returns which of the VMs may send a request in quarantine for a trial. VMs that see the
// same members agree on it.
func Keeper(d Digest, vms []string) string {
	if len(vms) == 0 {
		return ""
	}
	return slices.MaxFunc(vms, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(d, 0, a), hash(d, 0, b)), cmp.Compare(a, b))
	})
}
