package idem

import (
	"context"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

//go:generate stringer -type=State -output=idem_string.go

// State is the execution state of a key in the ledger.
type State uint8

// The states of a key.
const (
	// Fresh: the key has not run. The ledger keeps no entry for it.
	Fresh State = iota
	// Running: a run has started and has not ended.
	Running
	// Done: the run returned a response.
	Done
	// Unknown: the run ended without a response and may have taken effect, so the key
	// never runs again.
	Unknown
)

const (
	responseTTL        = 10 * time.Minute // How long a response stays stored.
	maxRunTime         = 5 * time.Minute  // Longest run; claimGrace is longer, so that a claim outlives the run.
	runGrace           = time.Second      // Time for a run to return once its context has ended.
	maxRemovalsPerCall = 64               // Most expired entries that one call removes.
	accountDivisor     = 2                // One account may use 1/accountDivisor of the entries.
)

// Ledger holds the state of the keys that this incarnation of the VM owns. It is safe
// for concurrent use.
type Ledger struct {
	baseCtx    context.Context
	maxEntries int
	maxBytes   int64 // Limit of the stored responses together.

	mu               sync.Mutex
	clock            time.Time // Latest time observed, so that setting the system clock back revives no expired key.
	entries          map[digest]*entry
	accounts         map[string]int     // Number of entries by account.
	expiryBuckets    map[int64][]digest // Keys by the Unix minute of their expiry.
	nextExpiryMinute int64              // Earliest minute in expiryBuckets that may hold keys.
	stored           []*entry           // Entries in the order in which their responses were stored.
	size             int64              // Bytes of the stored responses.
}

// keyedRequest identifies one request with an idempotency key.
type keyedRequest struct {
	key     digest
	account string
	request digest // Of method, target and body.
	expiry  time.Time
}

// entry is the recorded state of a key.
type entry struct {
	keyedRequest
	state     State
	execution *execution // Nil once the run has ended.
	kind      fault.Kind
	response  *Response // Nil when there is none or it was dropped.
	storedAt  time.Time
}

// execution is one run, shared by all requests that wait for its result. The result is
// written before done is closed.
type execution struct {
	done     chan struct{}
	response *Response
	err      error
}

// NewLedger returns an empty ledger. It holds at most the given number of entries, one
// per key, and at most maxBytes bytes of stored responses. Runs are canceled when ctx
// ends.
func NewLedger(ctx context.Context, entries int, maxBytes int64) *Ledger {
	return &Ledger{
		baseCtx: ctx, maxEntries: entries, maxBytes: maxBytes,
		entries:       map[digest]*entry{},
		accounts:      map[string]int{},
		expiryBuckets: map[int64][]digest{},
	}
}

// Len returns the number of keys in the ledger.
func (l *Ledger) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.entries)
}

// runOnce returns the result of the first run of the key, which it starts when the key
// is Fresh. The run has the deadline of ctx but continues when ctx is canceled.
func (l *Ledger) runOnce(ctx context.Context, req keyedRequest, run RunFunc) (*Response, error) {
	exec, e, err := l.startOrJoin(time.Now(), req, ctx.Err() != nil)
	if err != nil {
		return nil, err
	}
	if e != nil {
		go l.run(ctx, e, run)
	}
	select {
	case <-exec.done:
		return exec.response, exec.err
	default:
	}
	select {
	case <-exec.done:
		return exec.response, exec.err
	case <-ctx.Done():
		return nil, contextError(ctx, "wait for the run of the key")
	}
}

// errNoReturn is the result of a run that exits its goroutine without returning. It is
// created once because each new error records a stack trace.
var errNoReturn = fault.New(fault.Internal, "the run did not return")

// run executes the request and records the result, also after a panic. When the run has
// not returned runGrace after its context ended, a timer records a Timeout in its place.
func (l *Ledger) run(callerCtx context.Context, e *entry, run RunFunc) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(callerCtx), runTimeout(callerCtx))
	defer cancel()
	defer context.AfterFunc(l.baseCtx, cancel)()
	watchdog := time.AfterFunc(maxRunTime+runGrace, func() {
		l.finish(time.Now(), e, nil, fault.New(fault.Timeout, "the run outlived its context"))
	})
	defer watchdog.Stop()
	defer context.AfterFunc(ctx, func() { watchdog.Reset(runGrace) })()
	var response *Response
	err := errNoReturn
	defer func() {
		if p := recover(); p != nil {
			response, err = nil, fault.New(fault.Internal, "panic in the run: %v", p)
		}
		l.finish(time.Now(), e, response, err)
	}()
	response, err = run(ctx)
}

// runTimeout returns the longest time that a run for the caller may take.
func runTimeout(ctx context.Context) time.Duration {
	if deadline, ok := ctx.Deadline(); ok {
		return max(0, min(maxRunTime, time.Until(deadline)))
	}
	return maxRunTime
}

// startOrJoin returns the execution to wait for. It also returns the entry when the
// caller of startOrJoin has to start the run. A request whose context has ended
// (callerGone) starts no run. startOrJoin does no I/O.
func (l *Ledger) startOrJoin(now time.Time, req keyedRequest, callerGone bool) (*execution, *entry, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceClock(now)
	if !l.clock.Before(req.expiry) {
		return nil, nil, fault.New(fault.KeyExpired, "expired at %v", req.expiry)
	}
	e := l.entries[req.key]
	if e != nil && e.state != Running && !l.clock.Before(e.expiry) {
		l.remove(e) // The key has expired and was claimed again.
		e = nil
	}
	if e != nil {
		exec, err := e.previousResult(req.request)
		return exec, nil, err
	}
	if err := l.admit(callerGone, req.account); err != nil {
		return nil, nil, err
	}
	e = &entry{keyedRequest: req, state: Running, execution: &execution{done: make(chan struct{})}}
	l.add(e)
	return e.execution, e, nil
}

// previousResult returns the execution or the recorded error for a repeat of the key.
func (e *entry) previousResult(request digest) (*execution, error) {
	switch {
	case e.request != request:
		return nil, fault.New(fault.KeyReused, "the key belongs to another request")
	case e.state == Running:
		return e.execution, nil
	case e.state == Unknown:
		return nil, fault.New(e.kind, "the first attempt with the key ended so")
	case e.response == nil:
		return nil, fault.New(fault.AnswerDropped, "the answer is no longer kept")
	}
	exec := &execution{done: make(chan struct{}), response: e.response}
	close(exec.done)
	return exec, nil
}

// admit returns an error when the ledger cannot take a new key. The ledger never evicts
// an unexpired key that may have run, so a key without an entry has not run.
func (l *Ledger) admit(callerGone bool, account string) error {
	switch {
	case callerGone:
		return fault.New(fault.DeadlineShort, "the caller left before the run")
	case len(l.entries) >= l.maxEntries:
		return fault.New(fault.QueueFull, "%d keys are remembered", len(l.entries))
	case l.accounts[account] >= max(1, l.maxEntries/accountDivisor):
		return fault.New(fault.AccountLimited, "%d keys of the account are remembered", l.accounts[account])
	}
	return nil
}

// finish records the result of a run. Only the first call for an entry has an effect.
func (l *Ledger) finish(now time.Time, e *entry, response *Response, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e.state != Running {
		return
	}
	l.advanceClock(now)
	if err == nil && response == nil {
		err = fault.New(fault.Internal, "the run gave no answer")
	}
	exec := e.execution
	e.execution = nil
	switch {
	case err == nil:
		e.state = Done
		exec.response = response
		l.storeResponse(e, response)
	case fault.KindOf(err).Response().Ran() == fault.No:
		exec.err = err
		l.remove(e)
		e.state = Fresh
	default:
		e.state, e.kind = Unknown, fault.KindOf(err)
		exec.err = err
	}
	close(exec.done)
}

// keyExpiry returns the expiry of the key and whether the ledger has an unexpired entry
// for it.
func (l *Ledger) keyExpiry(now time.Time, key digest) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceClock(now)
	e, ok := l.entries[key]
	if !ok || !l.clock.Before(e.expiry) {
		return time.Time{}, false
	}
	return e.expiry, true
}

// The callers of the methods below hold l.mu.

func (l *Ledger) add(e *entry) {
	l.entries[e.key] = e
	l.accounts[e.account]++
	minute := unixMinute(e.expiry)
	l.expiryBuckets[minute] = append(l.expiryBuckets[minute], e.key)
}

// remove deletes the entry of a key that has not run or has expired.
func (l *Ledger) remove(e *entry) {
	l.dropResponse(e)
	delete(l.entries, e.key)
	l.accounts[e.account]--
	if l.accounts[e.account] == 0 {
		delete(l.accounts, e.account)
	}
}

// storeResponse stores a response and drops the oldest ones while the total exceeds
// maxBytes.
func (l *Ledger) storeResponse(e *entry, response *Response) {
	e.response, e.storedAt = response, l.clock
	l.size += response.size()
	l.stored = append(l.stored, e)
	for l.size > l.maxBytes {
		l.dropOldestResponse()
	}
}

func (l *Ledger) dropOldestResponse() {
	l.dropResponse(l.stored[0])
	l.stored[0] = nil
	l.stored = l.stored[1:]
}

func (l *Ledger) dropResponse(e *entry) {
	if e.response != nil {
		l.size -= e.response.size()
		e.response = nil
	}
}

// advanceClock sets the clock of the ledger, drops responses older than responseTTL and
// removes a bounded number of expired entries.
func (l *Ledger) advanceClock(now time.Time) {
	if now = now.Round(0); now.After(l.clock) {
		l.clock = now
	}
	for len(l.stored) > 0 && l.clock.Sub(l.stored[0].storedAt) >= responseTTL {
		l.dropOldestResponse()
	}
	minute := unixMinute(l.clock)
	if len(l.entries) == 0 {
		clear(l.expiryBuckets)
		l.nextExpiryMinute = minute
	}
	for range maxRemovalsPerCall {
		if !l.removeExpired(minute) {
			return
		}
	}
}

// removeExpired removes at most one entry that expired before the given minute. It
// reports whether there may be more. An entry whose run has not ended is checked again
// later.
func (l *Ledger) removeExpired(minute int64) bool {
	for len(l.expiryBuckets[l.nextExpiryMinute]) == 0 {
		if l.nextExpiryMinute >= minute {
			return false
		}
		delete(l.expiryBuckets, l.nextExpiryMinute)
		l.nextExpiryMinute++
	}
	if l.nextExpiryMinute >= minute {
		return false
	}
	keys := l.expiryBuckets[l.nextExpiryMinute]
	key := keys[len(keys)-1]
	l.expiryBuckets[l.nextExpiryMinute] = keys[:len(keys)-1]
	e := l.entries[key]
	switch {
	case e == nil || unixMinute(e.expiry) > l.nextExpiryMinute:
	case e.state == Running:
		l.expiryBuckets[minute] = append(l.expiryBuckets[minute], key)
	default:
		l.remove(e)
	}
	return true
}

func unixMinute(t time.Time) int64 { return t.Unix() / int64(time.Minute/time.Second) }
