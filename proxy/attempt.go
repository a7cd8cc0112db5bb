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
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/pool"
)

const (
	attemptsMost = 4 // Of one request, hedges included, unless its route says otherwise.
	unsentMost   = 4 // Attempts of one request beyond that bound that reached no server.
	limitTries   = 4 // Servers at their limits that one choice passes over.
)

// execute admits the call and dispatches it. The reply must be closed. With
// whole set it is buffered to its end, whatever its length.
func (c *call) execute(ctx context.Context, whole bool) (*reply, error) {
	ask := limit.Request{Class: c.class, Account: c.account, Deadline: c.deadline}
	asked := time.Now()
	leave, err := c.service.queue.Acquire(ctx, ask)
	c.waited = time.Since(asked)
	if err != nil {
		return nil, notRun(err)
	}
	c.service.budget.Deposit()
	d := &dispatch{
		call: c, ctx: ctx, whole: whole, start: time.Now(), stem: c.handler.newID(),
		results: make(chan result, c.route.attempts+unsentMost),
	}
	d.tried, d.begun = d.room.tried[:0], d.room.begun[:0]
	if c.repeatable && c.service.note.Limits.Hedge {
		d.recent = c.service.recent.of(c.route.name)
	}
	p, err := d.run()
	if err != nil {
		leave()
		return nil, err
	}
	p.leave = leave
	c.status = p.status
	return p, nil
}

// run executes a keyed call; it is an idem.Run.
func (c *call) run(ctx context.Context) (*idem.Response, error) {
	ctx, cancel := context.WithDeadline(ctx, c.deadline)
	defer cancel()
	p, err := c.execute(ctx, true)
	if err != nil {
		return nil, err
	}
	defer p.close()
	return idem.NewResponse(p.status, p.header, p.body), nil
}

// notRun gives an error from before any attempt a kind that says "not run".
func notRun(err error) error {
	if fault.KindOf(err).Response().Ran() == fault.No {
		return err
	}
	return fault.Wrap(fault.DeadlineShort, err, "ended while waiting")
}

// result is how one attempt ended.
type result struct {
	index int
	reply *reply
	err   error
}

// begun is an attempt that was launched.
type begun struct {
	start  time.Time
	weight float64 // Of the server, when it was chosen.
	cancel context.CancelFunc
	ended  bool // Its result was taken.
}

// dispatch sends the attempts of one call.
type dispatch struct {
	call     *call
	ctx      context.Context
	whole    bool
	start    time.Time
	stem     string // Of the request ids of attempts.
	gate     gate
	tried    []*pick.Target
	begun    []begun // Parallel to tried.
	results  chan result
	pending  int
	unsent   int     // Attempts that reached no server.
	recent   *window // Nil when the call is not hedged.
	spare    *reply  // A whole response that reports a failure of the server.
	maybeRan error   // Of an attempt that may have run.
	// room is the memory of tried and begun until there are retries.
	room struct {
		tried [1]*pick.Target
		begun [1]begun
	}
}

// run returns the first good reply, or an error that is accurate about whether
// the request ran.
func (d *dispatch) run() (*reply, error) {
	winner := -1
	defer func() { d.abandon(winner) }()
	if !d.launch(false) {
		return nil, d.settle(fault.New(fault.NoServer, "service %s", d.call.service.note.Name))
	}
	var late <-chan time.Time // Says when to send a hedge.
	var hedge *time.Timer
	if d.recent != nil {
		hedge = time.NewTimer(d.recent.delay(time.Until(d.call.deadline)))
		defer hedge.Stop()
		late = hedge.C
	}
	for {
		select {
		case r := <-d.results:
			d.pending--
			d.begun[r.index].ended = true
			d.note(r)
			if p, err, done := d.take(r); done {
				if p != nil {
					winner = p.index
				}
				return p, err
			}
		case <-late:
			d.hedge(hedge)
		case <-d.ctx.Done():
			if p := d.takeSpare(); p != nil {
				winner = p.index
				return p, nil
			}
			return nil, d.settle(fault.Wrap(fault.DeadlineShort, d.ctx.Err(), "no byte was sent"))
		}
	}
}

// take decides what follows from the end of an attempt.
func (d *dispatch) take(r result) (*reply, error, bool) {
	if r.err == nil && !d.failed(r.reply) {
		return r.reply, nil, true
	}
	if r.err == nil {
		d.keep(r.reply)
	} else if fault.KindOf(r.err).Response().Ran() != fault.No {
		d.maybeRan = r.err
	}
	if d.pending > 0 {
		return nil, nil, false
	}
	if d.retriable(r.err) && d.again(r.err) {
		d.call.service.count.retries.Inc()
		return nil, nil, false
	}
	if p := d.takeSpare(); p != nil {
		return p, nil, true
	}
	return nil, d.settle(r.err), true
}

func (d *dispatch) takeSpare() *reply {
	p := d.spare
	d.spare = nil
	return p
}

// failed reports whether a reply is worth another attempt.
func (d *dispatch) failed(p *reply) bool {
	if !d.call.repeatable || p.rest != nil {
		return false
	}
	switch p.status {
	case http.StatusInternalServerError, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func (d *dispatch) keep(p *reply) {
	if d.spare != nil {
		d.spare.close()
	}
	d.spare = p
}

// retriable reports whether another attempt is allowed after one that ended
// with err, or with a reply that failed when err is nil.
func (d *dispatch) retriable(err error) bool {
	if d.ctx.Err() != nil {
		return false
	}
	if err == nil {
		return true
	}
	switch kind := fault.KindOf(err); kind {
	case fault.Unreachable, fault.ServerRefused, fault.NoServer:
		return true
	case fault.Interrupted, fault.Truncated, fault.Mismatch:
		return d.call.repeatable
	default:
		return false
	}
}

// again launches a retry when budget and servers allow it. An attempt that
// reached no server cost none anything, so it costs no budget. After a broken
// connection the same server may serve when there is no other.
func (d *dispatch) again(err error) bool {
	kind := fault.KindOf(err)
	switch {
	case kind == fault.NoServer || kind == fault.Unreachable:
		d.unsent++
	case !d.spend():
		return false
	}
	return d.launch(err != nil && kind == fault.Interrupted)
}

func (d *dispatch) spend() bool { return d.call.handler.spend(d.call.service.budget) }

// launch starts an attempt at a server that was not tried, or with same set at
// any server when all were tried.
func (d *dispatch) launch(same bool) bool {
	if len(d.tried)-d.unsent >= d.call.route.attempts || len(d.tried) >= cap(d.results) {
		return false
	}
	v, counted := d.next(d.tried)
	if v == nil && same {
		v, counted = d.next(nil)
	}
	if v == nil {
		return false
	}
	index := len(d.tried)
	ctx, cancel := context.WithCancel(d.ctx)
	d.tried = append(d.tried, v.target)
	d.begun = append(d.begun, begun{start: time.Now(), weight: v.target.Weight(), cancel: cancel})
	d.pending++
	v.target.Begin() // Before the next choice, which may be made before this attempt starts.
	go func() {
		p := &reply{
			index: index, cancel: cancel, call: d.call, server: v, counted: counted,
			outcome: board.Unreachable, // Says nothing about the limit of the server.
		}
		err := d.attempt(ctx, p)
		if err != nil {
			p = nil
		}
		d.results <- result{index, p, err}
	}()
	return true
}

// next chooses a server that is not among tried and takes one more request. When
// all are at their limits, a first attempt goes to one of them nevertheless: the
// queue has admitted it, and its room follows the limits. The result says whether
// the attempt counts in the limit.
func (d *dispatch) next(tried []*pick.Target) (v *server, counted bool) {
	c := d.call
	choose := c.handler.choose
	if !c.repeatable || len(d.tried) > 0 {
		choose = c.handler.steady
	}
	var first *server
	full := slices.Clip(tried)
	for range limitTries {
		t := choose(c.service.picker, full)
		if t == nil {
			break
		}
		if v := c.handler.current(c.service, t); v != nil {
			if v.limit.Begin() {
				return v, true
			}
			if first == nil {
				first = v
			}
		}
		full = append(full, t)
	}
	if len(d.tried) > 0 {
		return nil, false
	}
	return first, false
}

// attempt runs one exchange and reads the response into p.
func (d *dispatch) attempt(ctx context.Context, p *reply) error {
	c := d.call
	id := d.stem + "-" + strconv.Itoa(p.index)
	if c.handler.opts.Dialect.KeepRequestID {
		id = c.id
	}
	sent := false
	req := &pool.Request{
		Method: c.method, Host: c.host, Target: c.target, Body: c.body,
		Header: maps.Clone(c.header), ID: id, Echo: c.service.note.Echo,
		// A retry must not meet another connection that the same event has closed.
		RequireNewConn: !c.repeatable || p.index > 0,
		OnEnd:          func(s board.Sample) { p.took, p.outcome = s.Took, s.Outcome },
		AllowSend: func() bool {
			sent = d.pass(ctx)
			return sent
		},
	}
	left := max(0, time.Until(c.deadline))
	req.Header[c.handler.opts.Dialect.DeadlineHeader] = []string{strconv.FormatInt(left.Milliseconds(), 10)}
	start := time.Now()
	resp, err := p.server.pool.Do(ctx, req)
	if err == nil {
		err = p.read(resp, d.whole, c.service.answerLimit())
	}
	if err == nil {
		d.recent.add(time.Since(start))
		return nil
	}
	p.close()
	if sent && fault.KindOf(err).Response().Ran() == fault.No {
		d.gate.unsend()
	}
	return err
}

// pass lets an attempt send its first byte. Deadline and context are checked
// here, because the process may have been frozen since the attempt began.
func (d *dispatch) pass(ctx context.Context) bool {
	if ctx.Err() != nil || past(d.call.deadline) {
		return false
	}
	return d.gate.send(!d.call.repeatable)
}

// past reports whether t is over by the monotonic clock, which may stand still
// while a VM is suspended, or by the wall clock.
func past(t time.Time) bool {
	now := time.Now()
	return !now.Before(t) || !now.Round(0).Before(t.Round(0))
}

// settle returns the error for the caller: "not run" only once the gate is
// closed to all attempts.
func (d *dispatch) settle(err error) error {
	if fault.KindOf(err).Response().Ran() != fault.No || d.gate.refuse() {
		return err
	}
	switch ended := d.ctx.Err(); {
	case errors.Is(ended, context.DeadlineExceeded):
		return fault.Wrap(fault.Timeout, ended, "after bytes were sent")
	case ended != nil:
		return fault.Wrap(fault.Canceled, ended, "after bytes were sent")
	case d.maybeRan != nil:
		return d.maybeRan
	}
	return fault.Wrap(fault.Interrupted, err, "an earlier attempt may have run")
}

// abandon cancels all attempts but the winner and closes what they return; it
// is for hedges that lost and for a context that ended.
func (d *dispatch) abandon(winner int) {
	for i, b := range d.begun {
		if i == winner {
			continue
		}
		if !b.ended {
			d.call.attempts = append(d.call.attempts, d.describe(i, "abandoned"))
		}
		b.cancel()
		if winner >= 0 && !b.ended {
			// A hedge that lost counts with the time it took so far; without it,
			// the recent times would shrink with each hedge.
			d.recent.add(time.Since(b.start))
		}
	}
	if d.spare != nil {
		d.spare.close()
	}
	if d.pending == 0 {
		return
	}
	go func(n int) {
		for range n {
			if r := <-d.results; r.reply != nil {
				r.reply.close()
			}
		}
	}(d.pending)
}

// hedge sends one hedge. When the budget is spent it tries again later: an attempt
// at a stalled server would otherwise wait for its deadline, although the budget
// has grown again long before.
func (d *dispatch) hedge(timer *time.Timer) {
	if d.pending != 1 || len(d.tried) > 1 {
		return
	}
	if !d.spend() {
		timer.Reset(d.recent.delay(time.Until(d.call.deadline)))
		return
	}
	if d.launch(false) {
		d.call.service.count.hedges.Inc()
	}
}
