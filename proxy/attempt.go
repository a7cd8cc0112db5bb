package proxy

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/idem"
	"github.com/azuredeal/azuredeal/internal/callers/memory"
	"github.com/azuredeal/azuredeal/internal/fleet/crash"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/pool"
	"github.com/azuredeal/azuredeal/sleep"
)

const (
	defaultMaxAttempts = 4 // Per request, hedges included, unless the route sets a limit.
	maxUnsentAttempts  = 4 // Extra attempts per request for those that reached no server.
	maxPicks           = 4 // Picks per attempt when servers are at their concurrency limits.

	// minRateWait bounds how often calls look for their turn while others take it first.
	minRateWait = 5 * time.Millisecond
)

// execute waits for admission by the queue and dispatches the call. The response
// must be closed.
func (c *call) execute(ctx context.Context, mode bufferMode) (*response, error) {
	done, err := c.admitSuspect(ctx)
	if err != nil {
		return nil, err
	}
	defer done()
	admission := limit.Request{Class: c.class, Account: c.account, Deadline: c.deadline}
	queuedAt := time.Now()
	release, err := c.service.queue.Acquire(ctx, admission)
	c.queueTime = time.Since(queuedAt)
	if err != nil {
		return nil, markNotRun(err)
	}
	c.service.budget.Deposit()
	d := &dispatch{
		call: c, ctx: ctx, mode: mode, start: time.Now(), attemptIDPrefix: c.handler.newRequestID(),
		results:   make(chan result, c.route.maxAttempts+maxUnsentAttempts),
		latencies: c.service.latencies.forRoute(c.route.name),
		isHedged:  c.repeatable && c.service.note.Limits.Hedge,
	}
	d.tried, d.launched = d.inline.tried[:0], d.inline.launched[:0]
	resp, err := d.run()
	if err != nil {
		release()
		return nil, err
	}
	resp.release = release
	c.status = resp.status
	return resp, nil
}

// runHolding is runKeyed for a run that may outlive the request of the caller. It holds the body.
func (c *call) runHolding(ctx context.Context) (*idem.Response, error) {
	if c.heldBody != nil && c.heldBody.Retain() {
		defer c.heldBody.Release()
	}
	return c.runKeyed(ctx)
}

// runKeyed executes a call with an idempotency key. It is an idem.RunFunc.
func (c *call) runKeyed(ctx context.Context) (*idem.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	resp, err := c.execute(ctx, bufferWhole)
	if err != nil {
		return nil, err
	}
	defer resp.close()
	return idem.NewResponse(resp.status, resp.header, resp.body), nil
}

// markNotRun wraps an error that ended the call before its first attempt in a kind
// that reports "not run", unless its own kind does.
func markNotRun(err error) error {
	if fault.KindOf(err).Response().Ran() == fault.No {
		return err
	}
	return fault.Wrap(fault.DeadlineShort, err, "ended while waiting")
}

// result is the outcome of one attempt.
type result struct {
	index    int
	response *response
	err      error
}

// launched is an attempt that was started.
type launched struct {
	start  time.Time
	weight float64 // Weight of the server when it was picked.
	cancel context.CancelFunc
	ended  bool // Its result was received.
	// process is the server process that the attempt was meant for.
	process crash.Process
}

// dispatch sends the attempts of one call and selects the response.
type dispatch struct {
	call            *call
	ctx             context.Context
	mode            bufferMode
	start           time.Time
	attemptIDPrefix string // Prefix of the request IDs of the attempts.
	gate            gate
	tried           []*pick.Target
	launched        []launched // Parallel to tried.
	results         chan result
	pending         int
	unsent          int // Number of attempts that reached no server.
	latencies       *latencyWindow
	isHedged        bool
	failedResponse  *response // A complete server error response, returned when no retry succeeds.
	maybeRan        error     // Error of an attempt that may have run.
	// inline is the initial backing array of tried and launched, which saves two
	// allocations for a call without retries.
	inline struct {
		tried    [1]*pick.Target
		launched [1]launched
	}
}

// run returns the first successful response, or an error that states accurately
// whether the request ran.
func (d *dispatch) run() (*response, error) {
	winner := -1
	defer func() { d.cancelOthers(winner) }()
	if !d.launchFirst() {
		return nil, d.finalError(d.noServer())
	}
	var hedgeDue <-chan time.Time // Fires when a hedge is due.
	var hedge *time.Timer
	if d.isHedged {
		hedge = time.NewTimer(d.latencies.hedgeDelay(time.Until(d.call.deadline)))
		defer hedge.Stop()
		hedgeDue = hedge.C
	}
	for {
		select {
		case r := <-d.results:
			d.pending--
			d.launched[r.index].ended = true
			d.note(r)
			if resp, err, done := d.handleResult(r); done {
				if resp != nil {
					winner = resp.index
				}
				return resp, err
			}
		case <-hedgeDue:
			d.hedge(hedge)
		case <-d.ctx.Done():
			if resp := d.takeFailedResponse(); resp != nil {
				winner = resp.index
				return resp, nil
			}
			return nil, d.finalError(fault.Wrap(fault.DeadlineShort, d.ctx.Err(), "no byte was sent"))
		}
	}
}

// noServer returns the fault for a service without a server that gets requests. It says when to
// come back if servers have asked for no requests for a while.
func (d *dispatch) noServer() error {
	err := fault.New(fault.NoServer, "service %s", d.call.service.note.Name)
	if left, ok := d.call.service.picker.HoldLeft(time.Now()); ok {
		return fault.RetryAfter(err, left)
	}
	return err
}

// maxRateWaitShare is the part of the time until the deadline that a call may wait for its
// turn when all servers are at the bounds of their rates. The rest is for the exchange.
const maxRateWaitShare = 0.5

// launchFirst starts the first attempt. When all servers are at the bounds of their rates, it
// waits for the next one that may get a request, unless that comes too late.
func (d *dispatch) launchFirst() bool {
	latest := time.Now().Add(time.Duration(maxRateWaitShare * float64(time.Until(d.call.deadline))))
	for !d.launch(firstAttempt, false) {
		wait, limited := d.call.service.picker.RateWait()
		if !limited || wait > time.Until(latest) || !sleep.For(d.ctx, max(wait, minRateWait)) {
			return false
		}
	}
	return true
}

// handleResult processes the end of an attempt: it returns the response or the error
// of the call, or starts a retry. The bool reports whether the call is done.
func (d *dispatch) handleResult(r result) (*response, error, bool) {
	if r.err == nil && !d.isServerFailure(r.response) {
		return r.response, nil, true
	}
	if r.err == nil {
		d.keepFailedResponse(r.response)
	} else if fault.KindOf(r.err).Response().Ran() != fault.No {
		d.maybeRan = r.err
	}
	if d.pending > 0 {
		return nil, nil, false
	}
	if d.mayRetry(r) && d.retry(r.err) {
		d.call.service.counters.retries.Inc()
		return nil, nil, false
	}
	if resp := d.takeFailedResponse(); resp != nil {
		return resp, nil, true
	}
	return nil, d.finalError(r.err), true
}

func (d *dispatch) takeFailedResponse() *response {
	resp := d.failedResponse
	d.failedResponse = nil
	return resp
}

// isServerFailure reports whether a response is a server error that a retry may avoid.
// Only complete responses of repeatable calls qualify.
func (d *dispatch) isServerFailure(resp *response) bool {
	if !d.call.repeatable || resp.remainder != nil {
		return false
	}
	switch resp.status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (d *dispatch) keepFailedResponse(resp *response) {
	if d.failedResponse != nil {
		d.failedResponse.close()
	}
	d.failedResponse = resp
}

// mayRetry reports whether another attempt is allowed after one that ended with an error, or
// with a server error response.
func (d *dispatch) mayRetry(r result) bool {
	if d.ctx.Err() != nil || !d.gate.isUnused() && !d.call.mayRepeatBeforeStop(time.Now()) {
		return false
	}
	err := r.err
	if err == nil {
		return true
	}
	switch kind := fault.KindOf(err); kind {
	case fault.Unreachable, fault.ServerRefused, fault.NoServer:
		return true
	case fault.Interrupted, fault.Truncated:
		return d.call.repeatable && d.call.mayRepeatAfter(d.launched[r.index].process)
	case fault.Mismatch:
		return d.call.repeatable
	case fault.AnswerTooLarge:
		// A body that is too large is the answer of every server.
		return d.call.repeatable && errors.Is(err, pool.ErrHeaderTooLarge)
	default:
		return false
	}
}

// retry launches another attempt if the retry budget and the available servers
// allow it. The retry after an attempt that reached no server is free, because that
// attempt put no load on any server. After a broken connection the retry may use a
// server again when no untried one is left.
func (d *dispatch) retry(err error) bool {
	kind := fault.KindOf(err)
	switch {
	case kind == fault.NoServer || kind == fault.Unreachable:
		d.unsent++
	case !d.tryWithdraw():
		return false
	}
	return d.launch(retryAttempt, err != nil && kind == fault.Interrupted)
}

func (d *dispatch) tryWithdraw() bool { return d.call.handler.tryWithdraw(d.call.service.budget) }

// launch starts an attempt at a server that was not tried yet or, with reuse set, at
// any server when no untried one is available. It reports whether it started one.
func (d *dispatch) launch(kind attemptKind, reuse bool) bool {
	if len(d.tried)-d.unsent >= d.call.route.maxAttempts || len(d.tried) >= cap(d.results) {
		return false
	}
	v, counted := d.pickServer(d.tried)
	if v == nil && reuse {
		v, counted = d.pickServer(nil)
	}
	if v == nil {
		return false
	}
	if v.rate.bound.Limited() {
		v.rate.attempts[kind].Add(1)
		d.call.service.counters.limitedAttempt(kind)
	}
	index := len(d.tried)
	ctx, cancel := context.WithCancel(d.ctx)
	d.tried = append(d.tried, v.target)
	d.launched = append(d.launched, launched{start: time.Now(), weight: v.target.Weight(), cancel: cancel, process: v.process})
	d.pending++
	v.target.SetLastBegin(time.Now())
	v.target.Begin() // Counted here, as the next pick may happen before the goroutine starts.
	go func() {
		resp := &response{
			index: index, cancel: cancel, call: d.call, server: v, counted: counted, hold: d.call.hold(memory.Answers),
			outcome: board.Unreachable, // Until OnEnd sets it; does not affect the concurrency limit.
		}
		err := d.attempt(ctx, resp)
		if err != nil {
			resp = nil
		}
		d.results <- result{index, resp, err}
	}()
	return true
}

// pickServer picks a server that is not in tried and is below its concurrency limit.
// When all candidates are at their limits, a first attempt uses one of them anyway:
// the queue, whose size follows these limits, has already admitted the call. counted
// reports whether the attempt counts towards the limit of the server.
func (d *dispatch) pickServer(tried []*pick.Target) (v *server, counted bool) {
	c := d.call
	pickTarget := c.handler.pickTarget
	if !c.repeatable || len(d.tried) > 0 {
		pickTarget = c.handler.pickReliable
	}
	if t := d.pickTrial(); t != nil {
		if v := c.handler.serverFor(c.service, t); v != nil && v.begin() {
			return v, true
		}
	}
	var first *server
	excluded := slices.Clip(tried)
	for range maxPicks {
		t := pickTarget(c.service.picker, excluded)
		if t == nil {
			break
		}
		if v := c.handler.serverFor(c.service, t); v != nil {
			if v.begin() {
				return v, true
			}
			if first == nil {
				first = v
			}
		}
		excluded = append(excluded, t)
	}
	if len(d.tried) > 0 || first == nil || !first.target.Rate().Take() {
		return nil, false
	}
	return first, false
}

// pickTrial returns a doubtful server that is due for a trial, or nil. Only the first attempt
// of a call that may be repeated, is not urgent and has a retry to spare is used for it.
func (d *dispatch) pickTrial() *pick.Target {
	c := d.call
	if !c.repeatable || c.class == limit.Urgent || len(d.tried) > 0 || c.route.maxAttempts < 2 || !c.service.budget.Available() {
		return nil
	}
	return c.service.picker.PickTrial(time.Now())
}

// attempt performs one exchange with the server and reads its response into resp.
func (d *dispatch) attempt(ctx context.Context, resp *response) error {
	c := d.call
	id := d.attemptIDPrefix + "-" + strconv.Itoa(resp.index)
	if c.handler.opts.Dialect.KeepRequestID {
		id = c.id
	}
	sent, held := false, false
	var withheld error // Why the request must not be sent any more.
	req := &pool.Request{
		Method: c.method, Host: c.host, Target: c.target, Body: c.body,
		Header: maps.Clone(c.header), ID: id, Echo: c.service.note.Echo,
		// A retry must not reuse an idle connection that the same fault has broken.
		RequireNewConn: !c.repeatable || resp.index > 0,
		OnEnd: func(s board.Sample) {
			resp.took, resp.outcome = s.Took, s.Outcome
			d.call.observeEnd(resp.server, s)
		},
		AllowSend: func() bool {
			// Another response may have stated since the pick that the server wants nothing.
			held = !resp.server.rate.bound.Hold().Allows(time.Now())
			withheld = c.checkBarred()
			if withheld == nil && d.gate.isUnused() {
				withheld = c.checkStop(time.Now()) // The stop may have come nearer while the call waited.
			}
			sent = !held && withheld == nil && d.allowSend(ctx)
			return sent
		},
	}
	remaining := max(0, time.Until(c.deadline))
	req.Header[c.handler.opts.Dialect.DeadlineHeader] = []string{strconv.FormatInt(remaining.Milliseconds(), 10)}
	start := time.Now()
	raw, err := resp.server.pool.Do(ctx, req)
	if err == nil {
		err = resp.read(raw, d.mode, c.service.maxResponseBytes())
	}
	if err == nil {
		d.latencies.add(time.Since(start))
		return nil
	}
	resp.close()
	if withheld != nil {
		return withheld
	}
	if held {
		return fault.New(fault.Unreachable, "%s wants no requests now", resp.server.note.Addr)
	}
	if sent && fault.KindOf(err).Response().Ran() == fault.No {
		d.gate.undoSend()
	}
	return err
}

// allowSend reports whether an attempt may send its first byte. It checks the
// deadline and the context again, because the process may have been suspended since
// the attempt started.
func (d *dispatch) allowSend(ctx context.Context) bool {
	if ctx.Err() != nil || expired(d.call.deadline) {
		return false
	}
	return d.gate.trySend(!d.call.repeatable)
}

// expired reports whether t has passed on the monotonic clock or on the wall clock.
// The monotonic clock may stop while a VM is suspended.
func expired(t time.Time) bool {
	now := time.Now()
	return !now.Before(t) || !now.Round(0).Before(t.Round(0))
}

// finalError returns the error for the caller. It reports "not run" only after it has
// closed the gate, so that no attempt can be sent any more.
func (d *dispatch) finalError(err error) error {
	if fault.KindOf(err).Response().Ran() != fault.No || d.gate.tryRefuse() {
		return err
	}
	switch ctxErr := d.ctx.Err(); {
	case ctxErr != nil:
		return fault.Wrap(fault.ContextKind(d.ctx), ctxErr, "after bytes were sent")
	case d.maybeRan != nil:
		return d.maybeRan
	}
	return fault.Wrap(fault.Interrupted, err, "an earlier attempt may have run")
}

// cancelOthers cancels all attempts except the winner and closes their responses.
// With a negative winner, as for a call that failed, it cancels all of them.
func (d *dispatch) cancelOthers(winner int) {
	for i, attempt := range d.launched {
		if i == winner {
			continue
		}
		if !attempt.ended {
			d.call.attempts = append(d.call.attempts, d.describe(i, "abandoned"))
		}
		attempt.cancel()
		if winner >= 0 && !attempt.ended {
			// The losing attempt of a hedged call adds its time so far; without it,
			// each hedge would bias the response times towards lower values.
			d.latencies.add(time.Since(attempt.start))
		}
	}
	if d.failedResponse != nil {
		d.failedResponse.close()
	}
	if d.pending == 0 {
		return
	}
	go func(n int) {
		for range n {
			if r := <-d.results; r.response != nil {
				r.response.close()
			}
		}
	}(d.pending)
}

// hedge sends the hedged request. When the retry budget is exhausted, it resets the
// timer and tries again later: otherwise an attempt at a stalled server would wait
// until its deadline, although the budget recovers much earlier.
func (d *dispatch) hedge(timer *time.Timer) {
	if d.pending != 1 || len(d.tried) > 1 || !d.call.mayHedge() {
		return
	}
	if !d.tryWithdraw() {
		timer.Reset(d.latencies.hedgeDelay(time.Until(d.call.deadline)))
		return
	}
	if d.launch(hedgeAttempt, false) {
		d.call.service.counters.hedges.Inc()
	}
}
