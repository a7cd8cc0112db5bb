package limit

import (
	"context"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/fault"
)

// bulkShare is the part of the room that bulk may use. Without the rest, long
// bulk requests that hold every place would starve the other classes, however
// the queue is ordered.
const bulkShare = 0.75

// Queue admits requests of one service on this VM.
//
// A place goes to the classes by weight, within a class to the accounts in turn,
// and within an account in order of arrival. A request that cannot end before
// its deadline, by the times of recent requests, is refused at once.
type Queue struct {
	mu      sync.Mutex
	room    int
	depth   int
	running [classCount]int
	probing [classCount]bool // A request runs that the estimate would refuse.
	times   [classCount]times
	lines   *lines
}

// waiter is a request in the queue. The fields that settle sets are written
// under the lock of the queue before done is closed.
type waiter struct {
	ask     Request
	seq     uint64        // Order of arrival.
	done    chan struct{} // Nil when the waiter was admitted at once.
	settled bool
	left    bool  // The room was given back.
	err     error // Nil when the waiter was admitted.
	probe   bool  // The estimate would refuse it.
}

func (w *waiter) settle(err error) {
	w.settled = true
	w.err = err
	if w.done != nil {
		close(w.done)
	}
}

// NewQueue returns a queue that lets room requests run at once and depth wait.
func NewQueue(room, depth int) *Queue {
	return &Queue{room: room, depth: depth, lines: newLines()}
}

// SetMaxRunning changes how many requests may run at once. More room admits waiting
// requests at once; with less room none starts until enough have left.
func (q *Queue) SetMaxRunning(room int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.room = room
	q.admitWaiting(time.Now())
}

// SetMaxWaiting changes how many requests may wait. Those that wait already stay.
func (q *Queue) SetMaxWaiting(depth int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.depth = depth
}

// Running returns how many requests were admitted and have not left.
func (q *Queue) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.total()
}

// Waiting returns how many requests wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.lines.count
}

// Acquire waits for room. It returns a function that gives the room back, or a
// fault of kind QueueFull, DeadlineShort or Canceled. The deadline is the
// earlier one of ctx and ask. Calls of leave after the first have no effect.
func (q *Queue) Acquire(ctx context.Context, ask Request) (leave func(), err error) {
	ask.Class = min(ask.Class, Bulk)
	if d, ok := ctx.Deadline(); ok && (ask.Deadline.IsZero() || d.Before(ask.Deadline)) {
		ask.Deadline = d
	}
	if ctx.Err() != nil {
		return nil, ended(ctx)
	}
	w, err := q.join(ask)
	if err != nil {
		return nil, err
	}
	if err := q.wait(ctx, w); err != nil {
		return nil, err
	}
	return q.leaver(w, time.Now()), nil
}

// join admits the request, queues it or refuses it.
func (q *Queue) join(ask Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w := &waiter{ask: ask}
	isFree := q.hasRoom(ask.Class) && q.lines.empty(ask.Class)
	if late := q.isLate(time.Now(), ask, isFree); late {
		w.probe = isFree && q.mayProbe(ask)
		if !w.probe {
			return nil, fault.New(fault.DeadlineShort, "%v left, %d wait", time.Until(ask.Deadline), q.lines.count)
		}
	}
	if isFree {
		q.admit(w)
		return w, nil
	}
	if q.lines.count >= q.depth {
		out := q.lines.displace(ask)
		if out == nil {
			return nil, fault.New(fault.QueueFull, "%d requests wait", q.lines.count)
		}
		out.settle(fault.New(fault.QueueFull, "displaced by another request"))
	}
	w.done = make(chan struct{})
	q.lines.push(w)
	return w, nil
}

// wait returns when the waiter was admitted or refused, or can no longer end in
// time, or ctx has ended.
func (q *Queue) wait(ctx context.Context, w *waiter) error {
	if w.done == nil {
		return nil
	}
	select {
	case <-w.done:
		return w.err
	default:
	}
	var late <-chan time.Time
	if !w.ask.Deadline.IsZero() {
		timer := time.NewTimer(time.Until(q.latestStart(w.ask)))
		defer timer.Stop()
		late = timer.C
	}
	select {
	case <-w.done:
		return w.err
	case <-late:
		return q.abandon(w, fault.New(fault.DeadlineShort, "no room before the deadline"), false)
	case <-ctx.Done():
		return q.abandon(w, ended(ctx), true)
	}
}

// abandon takes the waiter out of the queue and returns err. A waiter that was
// settled meanwhile keeps its result, except that room it was given is given
// back when release is set.
func (q *Queue) abandon(w *waiter, err error, release bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	switch {
	case !w.settled:
		q.lines.remove(w)
		w.settle(err)
	case w.err == nil && release:
		q.release(w)
		return err
	}
	return w.err
}

// ended returns the fault for a context that has ended.
func ended(ctx context.Context) error {
	kind := fault.Canceled
	if ctx.Err() == context.DeadlineExceeded {
		kind = fault.DeadlineShort
	}
	return fault.Wrap(kind, ctx.Err(), "wait for room")
}

// leaver returns the function that gives room back.
func (q *Queue) leaver(w *waiter, start time.Time) func() {
	return func() {
		q.mu.Lock()
		defer q.mu.Unlock()
		if w.left {
			return
		}
		w.left = true
		q.times[w.ask.Class].add(time.Since(start))
		q.release(w)
	}
}

// The methods below need the lock.

func (q *Queue) admit(w *waiter) {
	q.running[w.ask.Class]++
	if w.probe {
		q.probing[w.ask.Class] = true
	}
	w.settle(nil)
}

func (q *Queue) release(w *waiter) {
	q.running[w.ask.Class]--
	if w.probe {
		q.probing[w.ask.Class] = false
	}
	q.admitWaiting(time.Now())
}

// admitWaiting fills the room from the queue. A waiter that can no longer end in
// time is refused and takes no room.
func (q *Queue) admitWaiting(now time.Time) {
	for {
		w := q.lines.pop(q.hasRoom)
		switch {
		case w == nil:
			return
		case q.isLate(now, w.ask, true):
			w.settle(fault.New(fault.DeadlineShort, "no room in time"))
		default:
			q.admit(w)
		}
	}
}

func (q *Queue) total() int {
	sum := 0
	for _, n := range q.running {
		sum += n
	}
	return sum
}

// hasRoom reports whether one more request of the class may run.
func (q *Queue) hasRoom(class Class) bool {
	if q.total() >= q.room {
		return false
	}
	return class != Bulk || q.running[Bulk] < q.roomOf(Bulk)
}

// roomOf returns how many requests of the class may run at once.
func (q *Queue) roomOf(class Class) int {
	if class != Bulk {
		return q.room
	}
	return min(q.room, max(1, int(float64(q.room)*bulkShare)))
}

// mayProbe reports whether the request may run although it seems late. One at a
// time may in each class, so that an estimate from an outage, or from other kinds
// of requests, is corrected instead of refusing a kind for good.
func (q *Queue) mayProbe(ask Request) bool {
	return !q.probing[ask.Class] && time.Now().Before(ask.Deadline)
}

// isLate reports whether the request would miss its deadline when it starts now,
// or otherwise when it has waited for its turn.
func (q *Queue) isLate(now time.Time, ask Request, isFree bool) bool {
	if ask.Deadline.IsZero() {
		return false
	}
	end := now.Add(q.times[ask.Class].fast)
	if !isFree {
		end = end.Add(q.waitOf(ask))
	}
	return !end.Before(ask.Deadline)
}

// waitOf estimates how long the request would wait. Bulk requests hold their room
// for long, so the other classes count on the rest of it.
func (q *Queue) waitOf(ask Request) time.Duration {
	room := q.roomOf(ask.Class)
	if ask.Class != Bulk {
		room -= q.running[Bulk]
	}
	work := q.times[ask.Class].mean
	for class, n := range q.lines.ahead(ask) {
		work += time.Duration(n) * q.times[class].mean
	}
	return work / time.Duration(max(1, room))
}

func (q *Queue) latestStart(ask Request) time.Time {
	q.mu.Lock()
	defer q.mu.Unlock()
	return ask.Deadline.Add(-q.times[ask.Class].fast)
}

const (
	meanWeight  = 0.1  // Weight of one more request in the mean.
	fastPortion = 0.05 // Portion of requests that are faster than fast.
	fastStep    = 0.2  // Step of the estimate of fast, as a share of it.
)

// times estimates how long requests of one class hold their room.
type times struct {
	mean time.Duration // Says how fast the queue moves.
	// fast is a low quantile. A request is refused for its own time only by this
	// one, because a class has short and long requests.
	fast time.Duration
}

func (t *times) add(took time.Duration) {
	if t.mean == 0 {
		t.mean, t.fast = took, took
		return
	}
	t.mean += time.Duration(meanWeight * float64(took-t.mean))
	switch {
	case took > t.fast:
		t.fast += min(took-t.fast, time.Duration(fastStep*fastPortion*float64(t.fast))+1)
	case took < t.fast:
		t.fast -= min(t.fast-took, time.Duration(fastStep*(1-fastPortion)*float64(t.fast))+1)
	}
}
