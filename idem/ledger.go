package idem

import (
	"context"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

//go:generate stringer -type=State -output=idem_string.go

// State is what the ledger knows of a key.
type State uint8

// The states.
const (
	// Fresh: the key has not run. The ledger keeps no entry for it.
	Fresh State = iota
	// Running: a run has started and not ended.
	Running
	// Done: the run gave an answer.
	Done
	// Unknown: the run ended without an answer. It never runs again.
	Unknown
)

const (
	answerLife  = 10 * time.Minute // How long an answer is kept.
	runMost     = 5 * time.Minute  // Longest run; a claim outlives one by claimGrace.
	runGrace    = time.Second      // For a run to return once its context has ended.
	tidyMost    = 64               // Expired entries that one call drops at most.
	accountPart = 2                // One account may use 1/accountPart of the entries.
)

// Ledger remembers the keys that this incarnation of the VM owns.
type Ledger struct {
	base  context.Context
	most  int
	bytes int64

	mu       sync.Mutex
	clock    time.Time // Latest time seen, so that a clock set back revives no key.
	entries  map[digest]*entry
	accounts map[string]int // Entries of each account.
	due      map[int64][]digest
	dueNext  int64 // First minute in due that is not yet empty.
	kept     []*entry
	size     int64 // Bytes of the answers kept.
}

// item is one request as the ledger sees it.
type item struct {
	key     digest
	account string
	body    digest
	expiry  time.Time
}

// entry is what is remembered of a key.
type entry struct {
	item
	state  State
	flight *flight // Of the run; nil once that has ended.
	kind   fault.Kind
	answer *Response // Nil when dropped.
	since  time.Time
}

// flight is one run, for those who wait for it. The result is written before
// done is closed.
type flight struct {
	done   chan struct{}
	answer *Response
	err    error
}

// NewLedger returns an empty ledger. It holds up to entries keys, and answers up
// to the given number of bytes. Runs end with ctx.
func NewLedger(ctx context.Context, entries int, bytes int64) *Ledger {
	return &Ledger{
		base: ctx, most: entries, bytes: bytes,
		entries:  map[digest]*entry{},
		accounts: map[string]int{},
		due:      map[int64][]digest{},
	}
}

// Len returns how many keys are remembered.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// do returns the answer of the item's first run, which it starts when the key is
// Fresh. The run has the deadline of ctx but goes on when the caller leaves.
func (l *Ledger) do(ctx context.Context, it item, run RunFunc) (*Response, error) {
	f, e, err := l.begin(time.Now(), it, ctx.Err() != nil)
	if err != nil {
		return nil, err
	}
	if e != nil {
		go l.run(ctx, e, run)
	}
	select {
	case <-f.done:
		return f.answer, f.err
	default:
	}
	select {
	case <-f.done:
		return f.answer, f.err
	case <-ctx.Done():
		return nil, ended(ctx, "wait for the run of the key")
	}
}

// errNoReturn stands until a run has returned; it is made once because an error
// records its stack.
var errNoReturn = fault.New(fault.Internal, "the run did not return")

// run dispatches the request and records how that ended, also after a panic.
func (l *Ledger) run(caller context.Context, e *entry, run RunFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(caller), timeLeft(caller))
	defer cancel()
	defer context.AfterFunc(l.base, cancel)()
	overdue := time.AfterFunc(runMost+runGrace, func() {
		l.finish(time.Now(), e, nil, fault.New(fault.Timeout, "the run outlived its context"))
	})
	defer overdue.Stop()
	defer context.AfterFunc(ctx, func() { overdue.Reset(runGrace) })()
	var answer *Response
	err := errNoReturn
	defer func() {
		if p := recover(); p != nil {
			answer, err = nil, fault.New(fault.Internal, "panic in the run: %v", p)
		}
		l.finish(time.Now(), e, answer, err)
	}()
	answer, err = run(ctx)
}

// timeLeft returns how long a run for the caller may take.
func timeLeft(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(0, min(runMost, time.Until(deadline)))
	}
	return runMost
}

// begin returns the flight to wait for, with the entry when the caller has to
// start the run. A caller that has left starts none. It decides without I/O.
func (l *Ledger) begin(now time.Time, it item, left bool) (*flight, *entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	if !l.clock.Before(it.expiry) {
		return nil, nil, fault.New(fault.KeyExpired, "expired at %v", it.expiry)
	}
	e := l.entries[it.key]
	if e != nil && e.state != Running && !l.clock.Before(e.expiry) {
		l.forget(e) // A later claim gave the key a new life.
		e = nil
	}
	if e != nil {
		f, err := e.recall(it.body)
		return f, nil, err
	}
	if err := l.mayAdd(left, it.account); err != nil {
		return nil, nil, err
	}
	e = &entry{item: it, state: Running, flight: &flight{done: make(chan struct{})}}
	l.add(e)
	return e.flight, e, nil
}

// recall returns what is known of the key for a repeat.
func (e *entry) recall(body digest) (*flight, error) {
	switch {
	case e.body != body:
		return nil, fault.New(fault.KeyReused, "the key belongs to another request")
	case e.state == Running:
		return e.flight, nil
	case e.state == Unknown:
		return nil, fault.New(e.kind, "the first attempt with the key ended so")
	case e.answer == nil:
		return nil, fault.New(fault.AnswerDropped, "the answer is no longer kept")
	}
	f := &flight{done: make(chan struct{}), answer: e.answer}
	close(f.done)
	return f, nil
}

// mayAdd refuses a new key. The ledger never forgets a key that may have run, so
// a key without an entry has not.
func (l *Ledger) mayAdd(left bool, account string) error {
	switch {
	case left:
		return fault.New(fault.DeadlineShort, "the caller left before the run")
	case len(l.entries) >= l.most:
		return fault.New(fault.QueueFull, "%d keys are remembered", len(l.entries))
	case l.accounts[account] >= max(1, l.most/accountPart):
		return fault.New(fault.AccountLimited, "%d keys of the account are remembered", l.accounts[account])
	}
	return nil
}

// finish records the end of the run; the first call for an entry counts.
func (l *Ledger) finish(now time.Time, e *entry, answer *Response, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state != Running {
		return
	}
	l.advance(now)
	if err == nil && answer == nil {
		err = fault.New(fault.Internal, "the run gave no answer")
	}
	f := e.flight
	e.flight = nil
	switch {
	case err == nil:
		e.state = Done
		f.answer = answer
		l.keep(e, answer)
	case fault.KindOf(err).Response().Ran() == fault.No:
		f.err = err
		l.forget(e)
		e.state = Fresh
	default:
		e.state, e.kind = Unknown, fault.KindOf(err)
		f.err = err
	}
	close(f.done)
}

// known reports whether the ledger remembers the key, and its expiry.
func (l *Ledger) known(now time.Time, key digest) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	e, ok := l.entries[key]
	if !ok || !l.clock.Before(e.expiry) {
		return time.Time{}, false
	}
	return e.expiry, true
}

// The methods below need the lock.

func (l *Ledger) add(e *entry) {
	l.entries[e.key] = e
	l.accounts[e.account]++
	minute := minuteOf(e.expiry)
	l.due[minute] = append(l.due[minute], e.key)
}

// forget drops an entry that cannot have run or has expired.
func (l *Ledger) forget(e *entry) {
	l.drop(e)
	delete(l.entries, e.key)
	l.accounts[e.account]--
	if l.accounts[e.account] == 0 {
		delete(l.accounts, e.account)
	}
}

// keep stores an answer and drops the oldest ones beyond the bound on bytes.
func (l *Ledger) keep(e *entry, answer *Response) {
	e.answer, e.since = answer, l.clock
	l.size += answer.size()
	l.kept = append(l.kept, e)
	for l.size > l.bytes {
		l.dropOldest()
	}
}

func (l *Ledger) dropOldest() {
	l.drop(l.kept[0])
	l.kept[0] = nil
	l.kept = l.kept[1:]
}

func (l *Ledger) drop(e *entry) {
	if e.answer != nil {
		l.size -= e.answer.size()
		e.answer = nil
	}
}

// advance moves the clock of the ledger and drops what is past its time.
func (l *Ledger) advance(now time.Time) {
	if now = now.Round(0); now.After(l.clock) {
		l.clock = now
	}
	for len(l.kept) > 0 && l.clock.Sub(l.kept[0].since) >= answerLife {
		l.dropOldest()
	}
	minute := minuteOf(l.clock)
	if len(l.entries) == 0 {
		clear(l.due)
		l.dueNext = minute
	}
	for range tidyMost {
		if !l.tidy(minute) {
			return
		}
	}
}

// tidy drops one entry that expired before the given minute. It reports whether
// there may be more.
func (l *Ledger) tidy(minute int64) bool {
	for len(l.due[l.dueNext]) == 0 {
		if l.dueNext >= minute {
			return false
		}
		delete(l.due, l.dueNext)
		l.dueNext++
	}
	if l.dueNext >= minute {
		return false
	}
	keys := l.due[l.dueNext]
	key := keys[len(keys)-1]
	l.due[l.dueNext] = keys[:len(keys)-1]
	e := l.entries[key]
	switch {
	case e == nil || minuteOf(e.expiry) > l.dueNext:
	case e.state == Running:
		l.due[minute] = append(l.due[minute], key)
	default:
		l.forget(e)
	}
	return true
}

func minuteOf(t time.Time) int64 { return t.Unix() / int64(time.Minute/time.Second) }
