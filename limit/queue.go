package limit

import (
	"context"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

// bulkCapacityShare is the fraction of the capacity that bulk requests may use. Without a
// reserve, long bulk requests could take the whole capacity and starve the other classes,
// regardless of the order of the queue.
const bulkCapacityShare = 0.75

// Queue admits the requests of one service on this VM. It bounds how many run concurrently
// and how many wait, and is safe for concurrent use.
//
// Capacity is shared between the classes by weight, within a class between the accounts in
// round robin order, and within an account in order of arrival. A request that is not
// expected to end before its deadline, by the service times of recent requests, is refused
// without waiting.
type Queue struct {
	mu           sync.Mutex
	maxRunning   int
	maxWaiting   int
	running      [classCount]int
	probing      [classCount]bool // Whether a request runs that the estimate would have refused.
	serviceTimes [classCount]serviceTimes
	scheduler    *scheduler
}

// waiter is a request that waits or was admitted. The fields that settle sets are written
// under the lock of the queue before done is closed.
type waiter struct {
	req      Request
	seq      uint64        // Order of arrival.
	done     chan struct{} // Nil when the waiter was admitted at once.
	settled  bool
	released bool  // The capacity was released.
	err      error // Nil when the waiter was admitted.
	probe    bool  // Admitted although the estimate would have refused it.
}

// settle records the admission, or the refusal with err, and wakes up the request.
func (w *waiter) settle(err error) {
	w.settled = true
	w.err = err
	if w.done != nil {
		close(w.done)
	}
}

// NewQueue returns a queue that lets maxRunning requests run concurrently and maxWaiting
// requests wait.
func NewQueue(maxRunning, maxWaiting int) *Queue {
	return &Queue{maxRunning: maxRunning, maxWaiting: maxWaiting, scheduler: newScheduler()}
}

// SetMaxRunning changes how many requests may run concurrently. An increase admits waiting
// requests immediately; after a decrease none is admitted until enough have ended.
func (q *Queue) SetMaxRunning(maxRunning int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.maxRunning = maxRunning
	q.admitWaiting(time.Now())
}

// MaxRunning returns how many requests may run concurrently.
func (q *Queue) MaxRunning() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.maxRunning
}

// SetMaxWaiting changes how many requests may wait. Requests that already wait are kept.
func (q *Queue) SetMaxWaiting(maxWaiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.maxWaiting = maxWaiting
}

// Running returns the number of requests that were admitted and have not ended.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.totalRunning()
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.scheduler.count
}

// Acquire waits until the request may run. It returns a function that releases the capacity
// at the end of the request, or a fault of kind QueueFull, DeadlineShort or Canceled. The
// deadline is the earlier one of ctx and req. Calls of release after the first have no
// effect.
func (q *Queue) Acquire(ctx context.Context, req Request) (release func(), err error) {
	req.Class = min(req.Class, Bulk)
	if d, ok := ctx.Deadline(); ok && (req.Deadline.IsZero() || d.Before(req.Deadline)) {
		req.Deadline = d
	}
	if ctx.Err() != nil {
		return nil, contextFault(ctx)
	}
	w, err := q.admitOrQueue(req)
	if err != nil {
		return nil, err
	}
	if err := q.wait(ctx, w); err != nil {
		return nil, err
	}
	return q.releaseFunc(w, time.Now()), nil
}

// admitOrQueue admits the request, queues it or refuses it.
func (q *Queue) admitOrQueue(req Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &waiter{req: req}
	canStart := q.hasCapacity(req.Class) && q.scheduler.empty(req.Class)
	if missed := q.missesDeadline(time.Now(), req, canStart); missed {
		w.probe = canStart && q.mayProbe(req)
		if !w.probe {
			return nil, fault.New(fault.DeadlineShort, "%v left, %d wait", time.Until(req.Deadline), q.scheduler.count)
		}
	}
	if canStart {
		q.admit(w)
		return w, nil
	}
	if q.scheduler.count >= q.maxWaiting {
		out := q.scheduler.displace(req)
		if out == nil {
			return nil, fault.New(fault.QueueFull, "%d requests wait", q.scheduler.count)
		}
		out.settle(fault.New(fault.QueueFull, "displaced by another request"))
	}
	w.done = make(chan struct{})
	q.scheduler.push(w)
	return w, nil
}

// wait blocks until the waiter is admitted or refused, can no longer meet its deadline, or
// ctx ends.
func (q *Queue) wait(ctx context.Context, w *waiter) error {
	if w.done == nil {
		return nil
	}
	select {
	case <-w.done:
		return w.err
	default:
	}
	var missed <-chan time.Time
	if !w.req.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(q.latestStart(w.req)))
		defer timer.Stop()
		missed = timer.C
	}
	select {
	case <-w.done:
		return w.err
	case <-missed:
		return q.abandon(w, fault.New(fault.DeadlineShort, "no room before the deadline"), false)
	case <-ctx.Done():
		return q.abandon(w, contextFault(ctx), true)
	}
}

// abandon removes the waiter from the queue and returns err. A waiter that was settled
// concurrently keeps its result, unless it was admitted and release is set: then its
// capacity is released and err returned.
func (q *Queue) abandon(w *waiter, err error, release bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case !w.settled:
		q.scheduler.remove(w)
		w.settle(err)
	case w.err == nil && release:
		q.release(w)
		return err
	}
	return w.err
}

// contextFault returns the fault for a context that has ended.
func contextFault(ctx context.Context) error {
	kind := fault.Canceled
	if ctx.Err() == context.DeadlineExceeded {
		kind = fault.DeadlineShort
	}
	return fault.Wrap(kind, ctx.Err(), "wait for room")
}

// releaseFunc returns the function that releases the capacity of w and records its service
// time. Calls after the first have no effect.
func (q *Queue) releaseFunc(w *waiter, start time.Time) func() {
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if w.released {
			return
		}
		w.released = true
		q.serviceTimes[w.req.Class].add(time.Since(start))
		q.release(w)
	}
}

// The methods below need the lock, except latestStart, which takes it.

func (q *Queue) admit(w *waiter) {
	q.running[w.req.Class]++
	if w.probe {
		q.probing[w.req.Class] = true
	}
	w.settle(nil)
}

func (q *Queue) release(w *waiter) {
	q.running[w.req.Class]--
	if w.probe {
		q.probing[w.req.Class] = false
	}
	q.admitWaiting(time.Now())
}

// admitWaiting admits waiters while there is capacity. A waiter that can no longer meet its
// deadline is refused and takes no capacity.
func (q *Queue) admitWaiting(now time.Time) {
	for {
		w := q.scheduler.pop(q.hasCapacity)
		switch {
		case w == nil:
			return
		case q.missesDeadline(now, w.req, true):
			w.settle(fault.New(fault.DeadlineShort, "no room in time"))
		default:
			q.admit(w)
		}
	}
}

func (q *Queue) totalRunning() int {
	sum := 0
	for _, n := range q.running {
		sum += n
	}
	return sum
}

// hasCapacity reports whether one more request of the class may run.
func (q *Queue) hasCapacity(class Class) bool {
	if q.totalRunning() >= q.maxRunning {
		return false
	}
	return class != Bulk || q.running[Bulk] < q.maxRunningOf(Bulk)
}

// maxRunningOf returns how many requests of the class may run concurrently.
func (q *Queue) maxRunningOf(class Class) int {
	if class != Bulk {
		return q.maxRunning
	}
	return min(q.maxRunning, max(1, int(float64(q.maxRunning)*bulkCapacityShare)))
}

// mayProbe reports whether the request may run although it is expected to miss its
// deadline. One request of each class at a time may, to correct an estimate that stems from
// an outage or from longer requests. Otherwise such an estimate would refuse requests
// indefinitely, as no new service times would come in.
func (q *Queue) mayProbe(req Request) bool {
	return !q.probing[req.Class] && time.Now().Before(req.Deadline)
}

// missesDeadline reports whether the request is expected to miss its deadline, when it
// starts now if canStart is set, and otherwise after the estimated wait.
func (q *Queue) missesDeadline(now time.Time, req Request, canStart bool) bool {
	if req.Deadline.IsZero() {
		return false
	}
	end := now.Add(q.serviceTimes[req.Class].lowQuantile)
	if !canStart {
		end = end.Add(q.estimateWait(req))
	}
	return !end.Before(req.Deadline)
}

// estimateWait estimates how long the request would wait. Bulk requests run for long, so the
// estimate for the other classes excludes the capacity that bulk requests hold.
func (q *Queue) estimateWait(req Request) time.Duration {
	concurrency := q.maxRunningOf(req.Class)
	if req.Class != Bulk {
		concurrency -= q.running[Bulk]
	}
	work := q.serviceTimes[req.Class].mean
	for class, n := range q.scheduler.ahead(req) {
		work += time.Duration(n) * q.serviceTimes[class].mean
	}
	return work / time.Duration(max(1, concurrency))
}

// latestStart returns the time after which the request can no longer meet its deadline.
func (q *Queue) latestStart(req Request) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return req.Deadline.Add(-q.serviceTimes[req.Class].lowQuantile)
}

const (
	meanWeight      = 0.1  // Weight of one more request in the moving average.
	lowQuantileRank = 0.05 // Fraction of requests with a service time below lowQuantile.
	lowQuantileStep = 0.2  // Step size of the estimate of lowQuantile, as a fraction of it.
)

// serviceTimes estimates how long requests of one class run after their admission.
type serviceTimes struct {
	mean time.Duration // Moving average; estimates how fast the queue drains.
	// lowQuantile approximates the 5% quantile. The estimate of a request's own service time uses it
	// instead of the mean, because a class has short and long requests.
	lowQuantile time.Duration
}

// add updates the estimates with the service time of one request.
func (t *serviceTimes) add(held time.Duration) {
	if t.mean == 0 {
		t.mean, t.lowQuantile = held, held
		return
	}
	t.mean += time.Duration(meanWeight * float64(held-t.mean))
	switch {
	case held > t.lowQuantile:
		t.lowQuantile += min(held-t.lowQuantile, time.Duration(lowQuantileStep*lowQuantileRank*float64(t.lowQuantile))+1)
	case held < t.lowQuantile:
		t.lowQuantile -= min(t.lowQuantile-held, time.Duration(lowQuantileStep*(1-lowQuantileRank)*float64(t.lowQuantile))+1)
	}
}
