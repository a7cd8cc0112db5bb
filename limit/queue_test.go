package limit_test

import (
	"context"
	"fmt"
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
)

const testSeed = 7

// hold enters with every ask in turn and collects the order of admission. Each
// request holds its room for took.
type hold struct {
	mu    sync.Mutex
	order []string
	errs  map[string]error
	took  time.Duration
	group sync.WaitGroup
}

func (h *hold) start(ctx context.Context, q *limit.Queue, name string, ask limit.Ask) {
	took := h.took
	h.group.Go(func() {
		leave, err := q.Enter(ctx, ask)
		h.mu.Lock()
		if err != nil {
			if h.errs == nil {
				h.errs = map[string]error{}
			}
			h.errs[name] = err
			h.mu.Unlock()
			return
		}
		h.order = append(h.order, name)
		h.mu.Unlock()
		time.Sleep(took)
		leave()
	})
	synctest.Wait()
}

func (h *hold) kind(name string) fault.Kind { return fault.Of(h.errs[name]) }

func (h *hold) first(n int) map[string]int {
	out := map[string]int{}
	for _, name := range h.order[:n] {
		out[name]++
	}
	return out
}

func bulk(account string) limit.Ask   { return limit.Ask{Class: limit.Bulk, Account: account} }
func normal(account string) limit.Ask { return limit.Ask{Class: limit.Normal, Account: account} }
func urgent(account string) limit.Ask { return limit.Ask{Class: limit.Urgent, Account: account} }

func within(d time.Duration) limit.Ask {
	return limit.Ask{Class: limit.Normal, Deadline: time.Now().Add(d)}
}

// Guards against a request that waits in vain: its caller learns too late that
// it must go elsewhere.
func TestQueueRefusesShortDeadlineAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(1, 10)
		h := &hold{took: 100 * time.Millisecond}
		h.start(t.Context(), q, "sets the estimate", normal("a"))
		h.group.Wait()
		h.start(t.Context(), q, "runs", normal("a"))
		h.start(t.Context(), q, "waits", normal("a"))
		begin := time.Now()
		h.start(t.Context(), q, "no time to run", within(90*time.Millisecond))
		h.start(t.Context(), q, "no time to wait", within(250*time.Millisecond))
		h.start(t.Context(), q, "enough", within(400*time.Millisecond))
		for _, name := range []string{"no time to run", "no time to wait"} {
			if h.kind(name) != fault.DeadlineShort {
				t.Errorf("%s: got %v", name, h.errs[name])
			}
		}
		if time.Since(begin) != 0 || q.Running() != 1 || q.Waiting() != 2 {
			t.Errorf("after %v: running %d, waiting %d", time.Since(begin), q.Running(), q.Waiting())
		}
		h.group.Wait()
		if h.errs["enough"] != nil || len(h.order) != 4 {
			t.Errorf("order %v, errors %v", h.order, h.errs)
		}
	})
}

// Guards against a waiter that takes room although it can no longer end in time.
func TestQueueRefusesWaiterOnceTooLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(1, 10)
		h := &hold{took: 100 * time.Millisecond}
		h.start(t.Context(), q, "sets the estimate", normal("a"))
		h.group.Wait()
		h.took = time.Second
		h.start(t.Context(), q, "stalls", normal("a"))
		begin := time.Now()
		h.start(t.Context(), q, "waits", within(300*time.Millisecond))
		time.Sleep(200 * time.Millisecond)
		synctest.Wait()
		if h.kind("waits") != fault.DeadlineShort || q.Waiting() != 0 {
			t.Errorf("after %v: %v, waiting %d", time.Since(begin), h.errs["waits"], q.Waiting())
		}
		h.group.Wait()
	})
}

// Guards against an estimate from an outage that refuses every request after it.
func TestQueueEstimateRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(10, 10)
		h := &hold{took: 5 * time.Second}
		for i := range 200 {
			h.start(t.Context(), q, fmt.Sprint(i), normal("a"))
			if i%10 == 9 {
				h.group.Wait()
			}
		}
		h = &hold{took: 10 * time.Millisecond}
		for i := range 100 {
			h.start(t.Context(), q, fmt.Sprint(i), within(time.Second))
			h.group.Wait()
		}
		if len(h.errs) != 0 {
			t.Fatalf("%d of 100 refused when idle", len(h.errs))
		}
		for i := range 10 {
			h.start(t.Context(), q, fmt.Sprint("more ", i), within(time.Second))
		}
		h.group.Wait()
		if len(h.errs) != 0 {
			t.Fatalf("%d of 10 refused at once", len(h.errs))
		}
	})
}

// Guards against an unbounded queue, and against bulk waiters that keep urgent
// requests out of it.
func TestQueueFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(1, 3)
		h := &hold{took: time.Second}
		h.start(t.Context(), q, "runs", normal("a"))
		h.start(t.Context(), q, "bulk 1", bulk("a"))
		h.start(t.Context(), q, "bulk 2", bulk("b"))
		h.start(t.Context(), q, "normal 1", normal("a"))
		h.start(t.Context(), q, "normal 2", normal("a"))
		h.start(t.Context(), q, "urgent", urgent("a"))
		if h.kind("normal 2") != fault.QueueFull || h.kind("bulk 2") != fault.QueueFull || len(h.errs) != 2 {
			t.Fatalf("refused: %v", h.errs)
		}
		h.group.Wait()
		if want := []string{"runs", "urgent", "normal 1", "bulk 1"}; !slices.Equal(h.order, want) {
			t.Fatalf("order %v, want %v", h.order, want)
		}
	})
}

// Guards against an account that fills the queue so that others are refused.
func TestQueueFullOfOneAccount(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(1, 8)
		h := &hold{took: time.Second}
		for i := range 20 {
			h.start(t.Context(), q, fmt.Sprint("loud ", i), normal("loud"))
		}
		h.start(t.Context(), q, "quiet", normal("quiet"))
		if h.errs["quiet"] != nil || q.Waiting() != 8 {
			t.Fatalf("quiet account refused: %v", h.errs["quiet"])
		}
		h.group.Wait()
		if at := slices.Index(h.order, "quiet"); at > 2 {
			t.Fatalf("quiet account was served as number %d", at)
		}
	})
}

// Guards against classes that starve each other and accounts that do.
func TestQueueShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(1, 1000)
		h := &hold{took: time.Second}
		h.start(t.Context(), q, "first", normal("a"))
		for range 130 {
			h.start(t.Context(), q, "bulk", bulk("a"))
		}
		for range 130 {
			h.start(t.Context(), q, "normal loud", normal("loud"))
		}
		for range 20 {
			h.start(t.Context(), q, "normal quiet", normal("quiet"))
		}
		for range 130 {
			h.start(t.Context(), q, "urgent", urgent("a"))
		}
		h.group.Wait()
		got := h.first(131)
		want := map[string]int{"first": 1, "urgent": 80, "normal loud": 20, "normal quiet": 20, "bulk": 10}
		for name, n := range want {
			if d := got[name] - n; d < -1 || d > 1 {
				t.Errorf("%s: %d of the first 131, want about %d", name, got[name], n)
			}
		}
	})
}

// Guards against long bulk requests that hold all the room.
func TestQueueKeepsRoomFromBulk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(8, 20)
		h := &hold{took: time.Hour}
		for i := range 12 {
			h.start(t.Context(), q, fmt.Sprint("bulk ", i), bulk("a"))
		}
		h.start(t.Context(), q, "urgent", urgent("a"))
		h.start(t.Context(), q, "normal", normal("a"))
		if !slices.Contains(h.order, "urgent") || !slices.Contains(h.order, "normal") || q.Running() != 8 {
			t.Errorf("admitted %v", h.order)
		}
		h.group.Wait()
	})
}

// Guards against room that is lost, or given out twice, when requests end.
func TestQueueGivesBackPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(1, 1)
		leave, err := q.Enter(t.Context(), normal("a"))
		if err != nil {
			t.Fatal(err)
		}
		h := &hold{}
		ctx, cancel := context.WithCancel(t.Context())
		h.start(ctx, q, "canceled", normal("a"))
		cancel()
		synctest.Wait()
		if h.kind("canceled") != fault.Canceled || q.Waiting() != 0 {
			t.Errorf("got %v, waiting %d", h.errs["canceled"], q.Waiting())
		}
		late, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		h.start(late, q, "late", normal("a"))
		time.Sleep(time.Second)
		synctest.Wait()
		if h.kind("late") != fault.DeadlineShort || q.Waiting() != 0 {
			t.Errorf("got %v, waiting %d", h.errs["late"], q.Waiting())
		}
		leave()
		leave()
		if q.Running() != 0 {
			t.Errorf("running %d after leave was called twice", q.Running())
		}
	})
}

// Guards against room that is lost when a context ends in the moment in which
// its waiter is admitted.
func TestQueueContextEndsAtAdmission(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(1, 1)
		for range 50 {
			leave, err := q.Enter(t.Context(), normal("a"))
			if err != nil {
				t.Fatal(err)
			}
			h := &hold{}
			ctx, cancel := context.WithCancel(t.Context())
			h.start(ctx, q, "both", normal("a"))
			cancel() // Wakes the waiter, which leave then admits before it runs.
			leave()
			h.group.Wait()
			if q.Running() != 0 || q.Waiting() != 0 {
				t.Fatalf("running %d, waiting %d", q.Running(), q.Waiting())
			}
		}
	})
}

// Guards against a limit that takes effect only with the next request.
func TestQueueSetRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := limit.NewQueue(1, 10)
		h := &hold{took: time.Second}
		for i := range 6 {
			h.start(t.Context(), q, fmt.Sprint(i), normal("a"))
		}
		q.SetRoom(4)
		synctest.Wait()
		if len(h.order) != 4 {
			t.Errorf("%d admitted after room grew to 4", len(h.order))
		}
		q.SetRoom(0)
		time.Sleep(time.Minute)
		if len(h.order) != 4 || q.Running() != 0 {
			t.Errorf("%d admitted without room", len(h.order))
		}
		q.SetRoom(1)
		h.group.Wait()
		if len(h.order) != 6 {
			t.Errorf("%d admitted at the end", len(h.order))
		}
	})
}

// Guards against a queue whose counts drift under any mix of arrivals, ends of
// contexts, deadlines and changes of room.
func TestQueueKeepsItsBounds(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(testSeed))
	props.Property("bounds hold and nothing leaks", prop.ForAll(func(seed uint64) (ok bool) {
		synctest.Test(t, func(t *testing.T) { ok = runMix(t.Context(), seed) })
		return ok
	}, gen.UInt64()))
	props.TestingRun(t)
}

func runMix(ctx context.Context, seed uint64) bool {
	r := rand.New(rand.NewPCG(seed, 0))
	const most, depth = 4, 6
	q := limit.NewQueue(most, depth)
	h := &hold{}
	for i := range 60 {
		one, cancel := context.WithCancel(ctx)
		defer cancel()
		ask := limit.Ask{Class: limit.Class(r.IntN(3)), Account: fmt.Sprint(r.IntN(3))}
		if r.IntN(2) == 0 {
			ask.Deadline = time.Now().Add(time.Duration(r.IntN(300)) * time.Millisecond)
		}
		h.took = time.Duration(r.IntN(100)) * time.Millisecond
		h.start(one, q, fmt.Sprint(i), ask)
		if r.IntN(4) == 0 {
			time.AfterFunc(time.Duration(r.IntN(50))*time.Millisecond, cancel)
		}
		q.SetRoom(1 + r.IntN(most))
		if q.Running() > most || q.Waiting() > depth {
			return false
		}
		time.Sleep(time.Duration(r.IntN(20)) * time.Millisecond)
	}
	h.group.Wait()
	return q.Running() == 0 && q.Waiting() == 0 && len(h.order)+len(h.errs) == 60
}

func ExampleQueue() {
	q := limit.NewQueue(1, 0) // One request at once, none waits.
	leave, err := q.Enter(context.Background(), limit.Ask{Class: limit.Urgent, Account: "rafu"})
	fmt.Println(err)

	_, err = q.Enter(context.Background(), limit.Ask{Class: limit.Urgent, Account: "rafu"})
	fmt.Println(fault.Of(err), fault.Of(err).Answer().Ran().Token())
	leave()
	// Output:
	// <nil>
	// QueueFull no
}

func BenchmarkQueueEnter(b *testing.B) {
	q := limit.NewQueue(64, 64)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if leave, err := q.Enter(b.Context(), limit.Ask{Class: limit.Normal, Account: "a"}); err == nil {
				leave()
			}
		}
	})
}
