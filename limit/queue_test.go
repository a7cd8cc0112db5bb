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

// requests enters a queue and records what became of each request.
type requests struct {
	*limit.Queue
	took  time.Duration // How long each holds its room.
	group sync.WaitGroup
	mu    sync.Mutex
	order []string
	errs  map[string]fault.Kind
}

// withQueue runs a test with a queue and checks that nothing of it is left.
func withQueue(t *testing.T, room, depth int, test func(t *testing.T, r *requests)) {
	synctest.Test(t, func(t *testing.T) {
		r := &requests{Queue: limit.NewQueue(room, depth), took: time.Second, errs: map[string]fault.Kind{}}
		test(t, r)
		r.group.Wait()
		if r.Running() != 0 || r.Waiting() != 0 {
			t.Errorf("at the end %d run and %d wait", r.Running(), r.Waiting())
		}
	})
}

func (r *requests) enter(ctx context.Context, name string, ask limit.Request) {
	took := r.took
	r.group.Go(func() {
		leave, err := r.Acquire(ctx, ask)
		r.mu.Lock()
		if err != nil {
			r.errs[name] = fault.KindOf(err)
		} else {
			r.order = append(r.order, name)
		}
		r.mu.Unlock()
		if err == nil {
			time.Sleep(took)
			leave()
		}
	})
	synctest.Wait()
}

func (r *requests) admitted() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.order)
}

func (r *requests) wantErrs(t *testing.T, want map[string]fault.Kind) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !maps.Equal(r.errs, want) {
		t.Errorf("refused %v, want %v", r.errs, want)
	}
}

func ask(class limit.Class, account string) limit.Request {
	return limit.Request{Class: class, Account: account}
}

func within(d time.Duration) limit.Request {
	return limit.Request{Class: limit.Normal, Deadline: time.Now().Add(d)}
}

// Guards against a request that waits in vain: its caller learns too late that
// it must go elsewhere.
func TestQueueRefusesWhatCannotEnd(t *testing.T) {
	withQueue(t, 1, 10, func(t *testing.T, r *requests) {
		r.took = 100 * time.Millisecond
		r.enter(t.Context(), "sets the estimate", ask(limit.Normal, ""))
		r.group.Wait()
		r.enter(t.Context(), "runs", ask(limit.Normal, ""))
		r.took = time.Second
		r.enter(t.Context(), "stalls", ask(limit.Normal, ""))
		begin := time.Now()
		r.enter(t.Context(), "no time to run", within(90*time.Millisecond))
		r.enter(t.Context(), "no time to wait", within(250*time.Millisecond))
		r.enter(t.Context(), "enough", within(400*time.Millisecond))
		want := map[string]fault.Kind{"no time to run": fault.DeadlineShort, "no time to wait": fault.DeadlineShort}
		r.wantErrs(t, want)
		if time.Since(begin) != 0 || r.Running() != 1 || r.Waiting() != 2 {
			t.Errorf("after %v: %d run, %d wait", time.Since(begin), r.Running(), r.Waiting())
		}
		time.Sleep(300 * time.Millisecond) // The stall leaves less than a request takes.
		synctest.Wait()
		want["enough"] = fault.DeadlineShort
		r.wantErrs(t, want)
	})
}

// Guards against waiters that take room although their deadline has passed, as
// after a pause of the VM.
func TestQueueRefusesLateWaiters(t *testing.T) {
	withQueue(t, 0, 50, func(t *testing.T, r *requests) {
		for i := range 50 {
			r.enter(t.Context(), fmt.Sprint(i), within(time.Second))
		}
		time.Sleep(time.Second)
		r.SetMaxRunning(50)
		synctest.Wait()
		if n := len(r.admitted()); n != 0 {
			t.Errorf("%d admitted at their deadline", n)
		}
	})
}

// Guards against an estimate from an outage, or from long requests of the same
// or another class, that refuses short requests for good.
func TestQueueEstimateRecovers(t *testing.T) {
	for _, c := range []struct {
		name string
		long limit.Class
		each int // Long requests that run beside two short ones.
	}{{"outage", limit.Normal, 0}, {"same class", limit.Normal, 9}, {"other class", limit.Bulk, 9}} {
		withQueue(t, 64, 64, func(t *testing.T, r *requests) {
			r.took = 30 * time.Second
			for i := range 200 {
				r.enter(t.Context(), "long", ask(c.long, "a"))
				if i%40 == 39 {
					r.group.Wait()
				}
			}
			for i := range 100 {
				r.took = 30 * time.Second
				for range c.each {
					r.enter(t.Context(), "long", ask(c.long, "a"))
				}
				r.took = 10 * time.Millisecond
				r.enter(t.Context(), fmt.Sprint("first ", i), within(time.Second))
				r.enter(t.Context(), fmt.Sprint("second ", i), within(time.Second))
				time.Sleep(10 * time.Second)
			}
			if c.long == limit.Normal {
				// One at a time corrects the estimate.
				if r.errs["second 0"] != fault.DeadlineShort {
					t.Errorf("%s: a second request while the first one is tried: %v", c.name, r.errs["second 0"])
				}
				for i := range 50 {
					delete(r.errs, fmt.Sprint("second ", i))
				}
			}
			r.wantErrs(t, nil)
		})
	}
}

// Guards against an unbounded queue, and against bulk waiters or one account that
// fill it so that others are refused.
func TestQueueFull(t *testing.T) {
	withQueue(t, 1, 3, func(t *testing.T, r *requests) {
		r.enter(t.Context(), "runs", ask(limit.Normal, "a"))
		r.enter(t.Context(), "bulk 1", ask(limit.Bulk, "a"))
		r.enter(t.Context(), "bulk 2", ask(limit.Bulk, "b"))
		r.enter(t.Context(), "normal 1", ask(limit.Normal, "a"))
		r.enter(t.Context(), "normal 2", ask(limit.Normal, "a"))
		r.enter(t.Context(), "urgent", ask(limit.Urgent, "a"))
		r.wantErrs(t, map[string]fault.Kind{"normal 2": fault.QueueFull, "bulk 2": fault.QueueFull})
		r.group.Wait()
		if want := []string{"runs", "urgent", "normal 1", "bulk 1"}; !slices.Equal(r.order, want) {
			t.Errorf("order %v, want %v", r.order, want)
		}
		for i := range 6 {
			r.enter(t.Context(), fmt.Sprint("loud ", i), ask(limit.Normal, "loud"))
		}
		r.enter(t.Context(), "quiet", ask(limit.Normal, "quiet"))
		r.group.Wait()
		if at := slices.Index(r.order, "quiet"); at < 0 || at > 4+2 {
			t.Errorf("quiet account at %d of %v", at, r.order)
		}
	})
}

// Guards against classes and accounts that starve each other.
func TestQueueShares(t *testing.T) {
	withQueue(t, 1, 1000, func(t *testing.T, r *requests) {
		r.enter(t.Context(), "first", limit.Request{})
		many := func(n int, name string, class limit.Class) {
			for range n {
				r.enter(t.Context(), name, ask(class, name))
			}
		}
		many(130, "bulk", limit.Bulk)
		many(130, "loud", limit.Normal)
		many(20, "quiet", limit.Normal)
		many(130, "urgent", limit.Urgent)
		r.group.Wait()
		got := map[string]int{}
		for _, name := range r.admitted()[:131] {
			got[name]++
		}
		for name, n := range map[string]int{"urgent": 80, "loud": 20, "quiet": 20, "bulk": 10} {
			if d := got[name] - n; d < -1 || d > 1 {
				t.Errorf("%s: %d of the first 131, want about %d", name, got[name], n)
			}
		}
	})
}

// Guards against long bulk requests that hold all the room.
func TestQueueKeepsRoomFromBulk(t *testing.T) {
	withQueue(t, 8, 20, func(t *testing.T, r *requests) {
		for range 12 {
			r.enter(t.Context(), "bulk", ask(limit.Bulk, "a"))
		}
		r.enter(t.Context(), "urgent", ask(limit.Urgent, "a"))
		if got := r.admitted(); !slices.Contains(got, "urgent") || len(got) != 7 {
			t.Errorf("admitted %v", got)
		}
	})
}

// Guards against room that is lost or given out twice when requests or their
// contexts end, also in the moment of admission.
func TestQueueGivesBackRoom(t *testing.T) {
	withQueue(t, 1, 1, func(t *testing.T, r *requests) {
		for range 50 {
			leave, err := r.Acquire(t.Context(), limit.Request{})
			if err != nil {
				t.Fatal(err)
			}
			late, cancelLate := context.WithTimeout(t.Context(), time.Second)
			r.enter(late, "late", limit.Request{})
			time.Sleep(time.Second)
			synctest.Wait()
			ctx, cancel := context.WithCancel(t.Context())
			r.enter(ctx, "canceled", limit.Request{})
			cancel() // Wakes the waiter, which leave then admits before it runs.
			leave()
			leave()
			synctest.Wait()
			cancelLate()
			r.wantErrs(t, map[string]fault.Kind{"late": fault.DeadlineShort, "canceled": fault.Canceled})
			if r.Running() != 0 || r.Waiting() != 0 {
				t.Fatalf("%d run and %d wait", r.Running(), r.Waiting())
			}
		}
	})
}

// Guards against a limit that takes effect only with the next request.
func TestQueueSetRoom(t *testing.T) {
	withQueue(t, 1, 10, func(t *testing.T, r *requests) {
		for range 6 {
			r.enter(t.Context(), "x", limit.Request{})
		}
		for _, step := range []struct{ room, admitted int }{{4, 4}, {0, 4}, {1, 5}, {2, 6}} {
			r.SetMaxRunning(step.room)
			synctest.Wait()
			if n := len(r.admitted()); n != step.admitted {
				t.Errorf("room %d: %d admitted, want %d", step.room, n, step.admitted)
			}
			if step.room == 0 {
				time.Sleep(time.Minute)
			}
		}
	})
}

// Guards against a queue whose counts drift under any mix of arrivals, ends of
// contexts, deadlines and changes of room.
func TestQueueKeepsItsBounds(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(int64(seed.For(t, testSeed))))
	props.Property("bounds hold", prop.ForAll(func(seed uint64) (ok bool) {
		const most, depth, count = 4, 6, 60
		withQueue(t, most, depth, func(t *testing.T, r *requests) {
			random := rand.New(rand.NewPCG(seed, 0))
			ok = true
			for i := range count {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.IntN(400))*time.Millisecond)
				defer cancel()
				r.took = time.Duration(random.IntN(100)) * time.Millisecond
				r.enter(ctx, fmt.Sprint(i), ask(limit.Class(random.IntN(3)), fmt.Sprint(random.IntN(3))))
				time.AfterFunc(time.Duration(random.IntN(200))*time.Millisecond, cancel)
				r.SetMaxRunning(1 + random.IntN(most))
				ok = ok && r.Running() <= most && r.Waiting() <= depth
				time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
			}
			r.group.Wait()
			ok = ok && len(r.admitted())+len(r.errs) == count
		})
		return ok
	}, gen.UInt64()))
	props.TestingRun(t)
}

func ExampleQueue() {
	q := limit.NewQueue(1, 0) // One request at once, none waits.
	leave, err := q.Acquire(context.Background(), limit.Request{Class: limit.Urgent, Account: "rafu"})
	fmt.Println(err)
	_, err = q.Acquire(context.Background(), limit.Request{Class: limit.Urgent, Account: "rafu"})
	fmt.Println(fault.KindOf(err), fault.KindOf(err).Response().Ran().Token())
	leave()
	// Output:
	// <nil>
	// QueueFull no
}
