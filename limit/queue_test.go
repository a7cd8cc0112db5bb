package limit_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/seed"
)

const testSeed = 7

// queueHarness submits requests to a queue and records the result of each.
type queueHarness struct {
	*limit.Queue
	serviceTime time.Duration // How long each request runs.
	group       sync.WaitGroup
	mu          sync.Mutex
	order       []string
	errs        map[string]fault.Kind
}

// withQueue runs a test with a queue and checks that no request runs or waits at its end.
func withQueue(t *testing.T, maxRunning, maxWaiting int, test func(t *testing.T, h *queueHarness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &queueHarness{Queue: limit.NewQueue(maxRunning, maxWaiting), serviceTime: time.Second, errs: map[string]fault.Kind{}}
		test(t, h)
		h.group.Wait()
		if h.Running() != 0 || h.Waiting() != 0 {
			t.Errorf("%d requests run and %d wait at the end of the test", h.Running(), h.Waiting())
		}
	})
}

func (h *queueHarness) submit(ctx context.Context, name string, req limit.Request) {
	serviceTime := h.serviceTime
	h.group.Go(func() {
		release, err := h.Acquire(ctx, req)
		h.mu.Lock()
		if err != nil {
			h.errs[name] = fault.KindOf(err)
		} else {
			h.order = append(h.order, name)
		}
		h.mu.Unlock()
		if err == nil {
			time.Sleep(serviceTime)
			release()
		}
	})
	synctest.Wait()
}

func (h *queueHarness) admitted() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.order)
}

func (h *queueHarness) wantErrs(t *testing.T, want map[string]fault.Kind) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !maps.Equal(h.errs, want) {
		t.Errorf("refused %v, want %v", h.errs, want)
	}
}

func newRequest(class limit.Class, account string) limit.Request {
	return limit.Request{Class: class, Account: account}
}

func requestWithin(d time.Duration) limit.Request {
	return limit.Request{Class: limit.Normal, Deadline: time.Now().Add(d)}
}

// Guards against a request that waits although it cannot meet its deadline, so that its
// caller gets the refusal too late to send it elsewhere.
func TestQueueRefusesUnmeetableDeadline(t *testing.T) {
	withQueue(t, 1, 10, func(t *testing.T, h *queueHarness) {
		h.serviceTime = 100 * time.Millisecond
		h.submit(t.Context(), "sets the estimate", newRequest(limit.Normal, ""))
		h.group.Wait()
		h.submit(t.Context(), "runs", newRequest(limit.Normal, ""))
		h.serviceTime = time.Second
		h.submit(t.Context(), "stalls", newRequest(limit.Normal, ""))
		begin := time.Now()
		h.submit(t.Context(), "no time to run", requestWithin(90*time.Millisecond))
		h.submit(t.Context(), "no time to wait", requestWithin(250*time.Millisecond))
		h.submit(t.Context(), "enough", requestWithin(400*time.Millisecond))
		want := map[string]fault.Kind{"no time to run": fault.DeadlineShort, "no time to wait": fault.DeadlineShort}
		h.wantErrs(t, want)
		if time.Since(begin) != 0 || h.Running() != 1 || h.Waiting() != 2 {
			t.Errorf("after %v: %d run, %d wait", time.Since(begin), h.Running(), h.Waiting())
		}
		time.Sleep(300 * time.Millisecond) // The time left is now shorter than the service time.
		synctest.Wait()
		want["enough"] = fault.DeadlineShort
		h.wantErrs(t, want)
	})
}

// Guards against admitting waiters whose deadline has passed, for example after the VM was
// paused.
func TestQueueRefusesExpiredWaiters(t *testing.T) {
	withQueue(t, 0, 50, func(t *testing.T, h *queueHarness) {
		for i := range 50 {
			h.submit(t.Context(), fmt.Sprint(i), requestWithin(time.Second))
		}
		time.Sleep(time.Second)
		h.SetMaxRunning(50)
		synctest.Wait()
		if n := len(h.admitted()); n != 0 {
			t.Errorf("%d requests admitted at their deadline", n)
		}
	})
}

// Guards against a service time estimate that stems from an outage, or from long requests of
// the same or another class, and refuses short requests indefinitely.
func TestQueueEstimateRecovers(t *testing.T) {
	for _, c := range []struct {
		name string
		long limit.Class
		each int // Long requests that run concurrently with two short ones.
	}{{"outage", limit.Normal, 0}, {"same class", limit.Normal, 9}, {"other class", limit.Bulk, 9}} {
		withQueue(t, 64, 64, func(t *testing.T, h *queueHarness) {
			h.serviceTime = 30 * time.Second
			for i := range 200 {
				h.submit(t.Context(), "long", newRequest(c.long, "a"))
				if i%40 == 39 {
					h.group.Wait()
				}
			}
			for i := range 100 {
				h.serviceTime = 30 * time.Second
				for range c.each {
					h.submit(t.Context(), "long", newRequest(c.long, "a"))
				}
				h.serviceTime = 10 * time.Millisecond
				h.submit(t.Context(), fmt.Sprint("first ", i), requestWithin(time.Second))
				h.submit(t.Context(), fmt.Sprint("second ", i), requestWithin(time.Second))
				time.Sleep(10 * time.Second)
			}
			if c.long == limit.Normal {
				// Only one request at a time is admitted to correct the estimate.
				if h.errs["second 0"] != fault.DeadlineShort {
					t.Errorf("%s: a second request while the first one probes the estimate: %v", c.name, h.errs["second 0"])
				}
				for i := range 50 {
					delete(h.errs, fmt.Sprint("second ", i))
				}
			}
			h.wantErrs(t, nil)
		})
	}
}

// Guards against an unbounded queue, and against bulk requests or one account that fill it
// so that other requests are refused.
func TestQueueFull(t *testing.T) {
	withQueue(t, 1, 3, func(t *testing.T, h *queueHarness) {
		h.submit(t.Context(), "runs", newRequest(limit.Normal, "a"))
		h.submit(t.Context(), "bulk 1", newRequest(limit.Bulk, "a"))
		h.submit(t.Context(), "bulk 2", newRequest(limit.Bulk, "b"))
		h.submit(t.Context(), "normal 1", newRequest(limit.Normal, "a"))
		h.submit(t.Context(), "normal 2", newRequest(limit.Normal, "a"))
		h.submit(t.Context(), "urgent", newRequest(limit.Urgent, "a"))
		h.wantErrs(t, map[string]fault.Kind{"normal 2": fault.QueueFull, "bulk 2": fault.QueueFull})
		h.group.Wait()
		if want := []string{"runs", "urgent", "normal 1", "bulk 1"}; !slices.Equal(h.order, want) {
			t.Errorf("order %v, want %v", h.order, want)
		}
		for i := range 6 {
			h.submit(t.Context(), fmt.Sprint("loud ", i), newRequest(limit.Normal, "loud"))
		}
		h.submit(t.Context(), "quiet", newRequest(limit.Normal, "quiet"))
		h.group.Wait()
		if at := slices.Index(h.order, "quiet"); at < 0 || at > 4+2 {
			t.Errorf("the request of the quiet account is at index %d of %v", at, h.order)
		}
	})
}

// Guards against classes and accounts that starve others.
func TestQueueShares(t *testing.T) {
	withQueue(t, 1, 1000, func(t *testing.T, h *queueHarness) {
		h.submit(t.Context(), "first", limit.Request{})
		many := func(n int, name string, class limit.Class) {
			for range n {
				h.submit(t.Context(), name, newRequest(class, name))
			}
		}
		many(130, "bulk", limit.Bulk)
		many(130, "loud", limit.Normal)
		many(20, "quiet", limit.Normal)
		many(130, "urgent", limit.Urgent)
		h.group.Wait()
		got := map[string]int{}
		for _, name := range h.admitted()[:131] {
			got[name]++
		}
		for name, n := range map[string]int{"urgent": 80, "loud": 20, "quiet": 20, "bulk": 10} {
			if d := got[name] - n; d < -1 || d > 1 {
				t.Errorf("%s: %d of the first 131 admitted requests, want about %d", name, got[name], n)
			}
		}
	})
}

// Guards against long bulk requests that take the whole capacity.
func TestQueueReservesCapacityFromBulk(t *testing.T) {
	withQueue(t, 8, 20, func(t *testing.T, h *queueHarness) {
		for range 12 {
			h.submit(t.Context(), "bulk", newRequest(limit.Bulk, "a"))
		}
		h.submit(t.Context(), "urgent", newRequest(limit.Urgent, "a"))
		if got := h.admitted(); !slices.Contains(got, "urgent") || len(got) != 7 {
			t.Errorf("admitted %v", got)
		}
	})
}

// Guards against capacity that is lost or released twice when requests or their contexts
// end, including a context that ends at the time of admission.
func TestQueueReleasesCapacity(t *testing.T) {
	withQueue(t, 1, 1, func(t *testing.T, h *queueHarness) {
		for range 50 {
			release, err := h.Acquire(t.Context(), limit.Request{})
			if err != nil {
				t.Fatal(err)
			}
			expired, cancelExpired := context.WithTimeout(t.Context(), time.Second)
			h.submit(expired, "late", limit.Request{})
			time.Sleep(time.Second)
			synctest.Wait()
			ctx, cancel := context.WithCancel(t.Context())
			h.submit(ctx, "canceled", limit.Request{})
			cancel() // Wakes the waiter, which release then admits before it is scheduled.
			release()
			release()
			synctest.Wait()
			cancelExpired()
			h.wantErrs(t, map[string]fault.Kind{"late": fault.DeadlineShort, "canceled": fault.Canceled})
			if h.Running() != 0 || h.Waiting() != 0 {
				t.Fatalf("%d requests run and %d wait", h.Running(), h.Waiting())
			}
		}
	})
}

// Guards against a changed limit that takes effect only with the next request.
func TestQueueSetMaxRunning(t *testing.T) {
	withQueue(t, 1, 10, func(t *testing.T, h *queueHarness) {
		for range 6 {
			h.submit(t.Context(), "x", limit.Request{})
		}
		for _, step := range []struct{ maxRunning, admitted int }{{4, 4}, {0, 4}, {1, 5}, {2, 6}} {
			h.SetMaxRunning(step.maxRunning)
			synctest.Wait()
			if n := len(h.admitted()); n != step.admitted {
				t.Errorf("max running %d: %d admitted, want %d", step.maxRunning, n, step.admitted)
			}
			if step.maxRunning == 0 {
				time.Sleep(time.Minute)
			}
		}
	})
}

// Guards against a queue whose counts drift under a random mix of arrivals, canceled
// contexts, deadlines and changes of the limit.
func TestQueueBounds(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(int64(seed.For(t, testSeed))))
	props.Property("bounds hold", prop.ForAll(func(seed uint64) (ok bool) {
		const maxRunning, maxWaiting, count = 4, 6, 60
		withQueue(t, maxRunning, maxWaiting, func(t *testing.T, h *queueHarness) {
			random := rand.New(rand.NewPCG(seed, 0))
			ok = true
			for i := range count {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(400))*time.Millisecond)
				defer cancel()
				h.serviceTime = time.Duration(random.IntN(100)) * time.Millisecond
				h.submit(ctx, fmt.Sprint(i), newRequest(limit.Class(random.IntN(3)), fmt.Sprint(random.IntN(3))))
				time.AfterFunc(time.Duration(random.IntN(200))*time.Millisecond, cancel)
				h.SetMaxRunning(1 + random.IntN(maxRunning))
				ok = ok && h.Running() <= maxRunning && h.Waiting() <= maxWaiting
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
			h.group.Wait()
			ok = ok && len(h.admitted())+len(h.errs) == count
		})
		return ok
	}, gen.UInt64()))
	props.TestingRun(t)
}

func ExampleQueue() {
	q := limit.NewQueue(1, 0) // One request runs at a time, none waits.
	release, err := q.Acquire(context.Background(), limit.Request{Class: limit.Urgent, Account: "rafu"})
	fmt.Println(err)
	_, err = q.Acquire(context.Background(), limit.Request{Class: limit.Urgent, Account: "rafu"})
	fmt.Println(fault.KindOf(err), fault.KindOf(err).Response().Ran().Token())
	release()
	// Output:
	// <nil>
	// QueueFull no
}
