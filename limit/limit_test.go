package limit_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/seed"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a limit that does not decrease under overload, does not recover afterwards,
// or exceeds its bounds.
func TestAdaptive(t *testing.T) {
	const baseline = 20 * time.Millisecond
	type phase struct {
		rounds  int
		latency time.Duration
		outcome board.Outcome
	}
	normal := phase{200, baseline, board.Success}
	cases := []struct {
		name     string
		phases   []phase
		min, max int
	}{
		{"starts at the slots", nil, 3, 3},
		{"grows within bounds", []phase{{1000, baseline, board.Success}}, 6, 6},
		{"one shed", []phase{{1, baseline, board.Shed}}, 2, 2},
		{"many sheds", []phase{{500, baseline, board.Shed}}, 1, 1},
		{"slow responses", []phase{normal, {10, 10 * baseline, board.Success}}, 1, 3},
		{"late responses", []phase{normal, {10, 10 * baseline, board.Late}}, 1, 3},
		{"recovered", []phase{normal, {20, 10 * baseline, board.Late}, {500, baseline, board.Success}}, 4, 6},
		{"canceled hedges", []phase{normal, {500, baseline / 10, board.Canceled}, {20, baseline, board.Success}}, 6, 6},
	}
	for _, c := range cases {
		a, now := limit.NewAdaptive(3), epoch
		for _, p := range c.phases {
			for range p.rounds {
				for a.Begin() {
				}
				now = now.Add(p.latency)
				for a.Inflight() > 0 {
					a.End(now, p.latency, p.outcome)
				}
			}
		}
		if got := a.Limit(); got < c.min || got > c.max {
			t.Errorf("%s: limit %d, want %d to %d", c.name, got, c.min, c.max)
		}
	}
}

// Guards against more in-flight requests than the limit, and a count of them that drifts,
// under concurrent calls (run with -race).
func TestAdaptiveConcurrent(t *testing.T) {
	const slots, goroutines, rounds = 500, 8, 600
	a := limit.NewAdaptive(slots)
	for round := range rounds {
		var wg sync.WaitGroup
		var begun atomic.Int64
		want := int64(a.Limit())
		for range goroutines {
			wg.Go(func() {
				for a.Begin() {
					begun.Add(1)
				}
			})
		}
		wg.Wait()
		if begun.Load() != want || a.Inflight() != int(want) {
			t.Fatalf("%d requests allowed and %d in flight, want %d", begun.Load(), a.Inflight(), want)
		}
		now := epoch.Add(time.Duration(round) * time.Second)
		for range goroutines {
			wg.Go(func() {
				for i := begun.Add(-1); i >= 0; i = begun.Add(-1) {
					outcome := board.Unreachable // Does not change the limit.
					if round >= rounds-20 {
						outcome = board.Outcome(i % 11)
					}
					a.End(now, time.Millisecond, outcome)
				}
			})
		}
		wg.Wait()
		if a.Inflight() != 0 || a.Limit() < 1 || a.Limit() > 2*slots {
			t.Fatalf("limit %d, in flight %d", a.Limit(), a.Inflight())
		}
	}
}

// Guards against an account that exceeds its rate and burst in any interval.
func TestTokenBucketsBoundRate(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(int64(seed.For(t, testSeed))))
	props.Property("allowed requests fit rate and burst", prop.ForAll(func(gaps []int, rate, burst int) bool {
		r, now := limit.NewTokenBuckets(), epoch
		var allowed []time.Time
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if r.Allow(now, "a", float64(rate), burst) {
				allowed = append(allowed, now)
			}
			for i, start := range allowed {
				maxAllowed := float64(burst) + float64(rate)*now.Sub(start).Seconds()
				if float64(len(allowed)-i) > maxAllowed+1e-6 {
					return false
				}
			}
		}
		return len(gaps) == 0 || len(allowed) > 0
	}, gen.SliceOf(gen.IntRange(0, 3000)), gen.IntRange(1, 20), gen.IntRange(1, 10)))
	props.TestingRun(t)
}

// Guards against memory use that grows with every account since the start.
func TestTokenBucketsDropFull(t *testing.T) {
	r, now := limit.NewTokenBuckets(), epoch
	for i := range 53_000 {
		now = now.Add(5 * time.Millisecond)
		r.Allow(now, fmt.Sprint("account ", i), 10, 10)
	}
	if n := r.Len(); n > 4000 {
		t.Errorf("%d buckets in memory, with 200 accounts/s and buckets that fill in 100 ms", n)
	}
	if r.Allow(now, "a", 0, 10) {
		t.Error("a request of an account with rate 0 was allowed")
	}
}

// Guards against a burst that is never refilled, and against one that is refilled faster
// than its window.
func TestRetryBudgetRefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst, window = 3, 10 * time.Second
		b := limit.NewRetryBudget(0, burst, window)
		for range 5 {
			withdrawals := 0
			for range 100 {
				if b.TryWithdraw() {
					withdrawals++
				}
			}
			if withdrawals != burst {
				t.Errorf("%d retries in a window, want %d", withdrawals, burst)
			}
			time.Sleep(window + time.Second)
		}
	})
}

// Guards against retries that multiply the load, especially in an outage.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	const ratio, burst, window, slot = 0.1, 5, 5 * time.Second, 500 * time.Millisecond
	// isBounded sends requests at random intervals. In 10 of 15 s they fail, and each
	// asks for two retries. It checks every window that ends at a retry, and the total.
	isBounded := func(seed uint64) bool {
		r := rand.New(rand.NewPCG(seed, 0))
		b := limit.NewRetryBudget(ratio, burst, 0)
		var deposits, withdrawals []time.Time
		for i := range 1500 {
			time.Sleep(time.Duration(r.ExpFloat64() * float64(20*time.Millisecond)))
			if i%300 == 299 {
				time.Sleep(time.Duration(r.IntN(10)) * time.Second)
			}
			b.Deposit()
			deposits = append(deposits, time.Now())
			for range 2 {
				if time.Now().Second()%15 >= 10 || !b.TryWithdraw() {
					continue
				}
				withdrawals = append(withdrawals, time.Now())
				// The window of the budget is up to one slot shorter.
				maxWithdrawals := ratio*float64(count(deposits, window)) + burst
				if float64(count(withdrawals, window-slot)) > maxWithdrawals+1e-6 {
					return false
				}
			}
		}
		total := ratio*float64(len(deposits)) + burst
		return float64(len(withdrawals)) <= total+1e-6 && float64(len(withdrawals)) > total/3
	}
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(int64(seed.For(t, testSeed))))
	props.Property("retries fit the budget", prop.ForAll(func(seed uint64) (ok bool) {
		synctest.Test(t, func(*testing.T) { ok = isBounded(seed) })
		return ok
	}, gen.UInt64()))
	props.TestingRun(t)
}

func count(times []time.Time, window time.Duration) int {
	n := 0
	for _, at := range times {
		if time.Since(at) < window {
			n++
		}
	}
	return n
}

// Guards against VMs that all retry at the same time after an outage.
func TestBackoffSpreadsRetries(t *testing.T) {
	const vms, interval = 1300, 100 * time.Millisecond
	first, retries, maxRetries := vms*seed.For(t, 0), map[time.Duration]int{}, 0
	for vm := range vms {
		b := limit.NewBackoff(100*time.Millisecond, 10*time.Second, first+uint64(vm))
		var elapsed time.Duration
		for elapsed < time.Minute {
			delay := b.Next()
			if delay < 50*time.Millisecond || delay > 10*time.Second {
				t.Fatalf("delay of %v", delay)
			}
			elapsed += delay
		}
		retries[elapsed/interval]++
		maxRetries = max(maxRetries, retries[elapsed/interval])
	}
	// Retries spread evenly over the ceiling of 10 s would be 13 in each 100 ms.
	if maxRetries > 5*vms/100 {
		t.Fatalf("%d of %d VMs retry within 100 ms", maxRetries, vms)
	}
}

func BenchmarkLimit(b *testing.B) {
	names := make([]string, 53_000)
	rates := limit.NewTokenBuckets()
	for i := range names {
		names[i] = fmt.Sprint("account ", i)
		rates.Allow(epoch, names[i], 0.001, 10)
	}
	a, budget, q := limit.NewAdaptive(64), limit.NewRetryBudget(0.1, 10, 0), limit.NewQueue(64, 64)
	steps := map[string]func(i int){
		"rates": func(i int) { rates.Allow(epoch.Add(time.Duration(i)), names[i%len(names)], 0.001, 10) },
		"adaptive": func(i int) {
			if a.Begin() {
				a.End(epoch.Add(time.Duration(i)), time.Millisecond, board.Success)
			}
		},
		"budget": func(int) { budget.Deposit(); budget.TryWithdraw() },
		"queue": func(int) {
			if release, err := q.Acquire(b.Context(), limit.Request{}); err == nil {
				release()
			}
		},
	}
	for name, step := range steps {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for i := 0; pb.Next(); i++ {
					step(i)
				}
			})
		})
	}
}

// Guards against a burst of retries that comes back with each change of the budget, such as
// one of the number of VMs that it is divided by.
func TestRetryBudgetKeepsCountsWhenConfigured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := limit.NewRetryBudget(0, 3, 10*time.Second)
		total := 0
		for range 100 {
			for _, burst := range []int{4, 3} {
				b.Configure(0, burst, 10*time.Second)
				for b.TryWithdraw() {
					total++
				}
			}
			time.Sleep(20 * time.Millisecond)
		}
		if total > 4 {
			t.Errorf("%d retries in 2 s, want 4 at most", total)
		}
	})
}
