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

// Guards against a limit that ignores overload, cannot recover from it, or
// leaves its bounds.
func TestAdaptive(t *testing.T) {
	const usual = 20 * time.Millisecond
	type phase struct {
		rounds  int
		took    time.Duration
		outcome board.Outcome
	}
	normal := phase{200, usual, board.Success}
	cases := []struct {
		name     string
		phases   []phase
		min, max int
	}{
		{"starts at the slots", nil, 3, 3},
		{"grows within bounds", []phase{{1000, usual, board.Success}}, 6, 6},
		{"one shed", []phase{{1, usual, board.Shed}}, 2, 2},
		{"many sheds", []phase{{500, usual, board.Shed}}, 1, 1},
		{"slow answers", []phase{normal, {10, 10 * usual, board.Success}}, 1, 3},
		{"late answers", []phase{normal, {10, 10 * usual, board.Late}}, 1, 3},
		{"recovered", []phase{normal, {20, 10 * usual, board.Late}, {500, usual, board.Success}}, 4, 6},
		{"canceled hedges", []phase{normal, {500, usual / 10, board.Canceled}, {20, usual, board.Success}}, 6, 6},
	}
	for _, c := range cases {
		a, now := limit.NewAdaptive(3), epoch
		for _, p := range c.phases {
			for range p.rounds {
				for a.Begin() {
				}
				now = now.Add(p.took)
				for a.Inflight() > 0 {
					a.End(now, p.took, p.outcome)
				}
			}
		}
		if got := a.Limit(); got < c.min || got > c.max {
			t.Errorf("%s: limit %d, want %d to %d", c.name, got, c.min, c.max)
		}
	}
}

// Guards against more requests in flight than the limit, and counts that drift,
// with many goroutines; run with -race.
func TestAdaptiveFromManyGoroutines(t *testing.T) {
	const slots, goroutines, rounds = 500, 8, 600
	a := limit.NewAdaptive(slots)
	for round := range rounds {
		var group sync.WaitGroup
		var begun atomic.Int64
		most := int64(a.Limit())
		for range goroutines {
			group.Go(func() {
				for a.Begin() {
					begun.Add(1)
				}
			})
		}
		group.Wait()
		if begun.Load() != most || a.Inflight() != int(most) {
			t.Fatalf("%d began and %d are in flight, want %d", begun.Load(), a.Inflight(), most)
		}
		now := epoch.Add(time.Duration(round) * time.Second)
		for range goroutines {
			group.Go(func() {
				for i := begun.Add(-1); i >= 0; i = begun.Add(-1) {
					outcome := board.Unreachable // Leaves the limit as it is.
					if round >= rounds-20 {
						outcome = board.Outcome(i % 11)
					}
					a.End(now, time.Millisecond, outcome)
				}
			})
		}
		group.Wait()
		if a.Inflight() != 0 || a.Limit() < 1 || a.Limit() > 2*slots {
			t.Fatalf("limit %d, in flight %d", a.Limit(), a.Inflight())
		}
	}
}

// Guards against an account that exceeds its rate in any interval.
func TestRatesBoundAccounts(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(int64(seed.For(t, testSeed))))
	props.Property("allowed requests fit rate and burst", prop.ForAll(func(gaps []int, rate, burst int) bool {
		r, now := limit.NewTokenBuckets(), epoch
		var allowed []time.Time
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if r.Allow(now, "a", float64(rate), burst) {
				allowed = append(allowed, now)
			}
			for i, from := range allowed {
				most := float64(burst) + float64(rate)*now.Sub(from).Seconds()
				if float64(len(allowed)-i) > most+1e-6 {
					return false
				}
			}
		}
		return len(gaps) == 0 || len(allowed) > 0
	}, gen.SliceOf(gen.IntRange(0, 3000)), gen.IntRange(1, 20), gen.IntRange(1, 10)))
	props.TestingRun(t)
}

// Guards against memory that grows with every account ever seen.
func TestRatesDropIdleBuckets(t *testing.T) {
	r, now := limit.NewTokenBuckets(), epoch
	for i := range 53_000 {
		now = now.Add(5 * time.Millisecond)
		r.Allow(now, fmt.Sprint("account ", i), 10, 10)
	}
	if n := r.Len(); n > 4000 {
		t.Errorf("%d buckets kept, at 200 accounts/s and buckets that fill in 100 ms", n)
	}
	if r.Allow(now, "a", 0, 10) {
		t.Error("an account with rate 0 was let through")
	}
}

// Guards against retries that multiply the load, above all in an outage.
// Guards against a burst that is spent once and for all, and against one that comes
// back faster than its window.
func TestBudgetRefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const burst, window = 3, 10 * time.Second
		b := limit.NewRetryBudget(0, burst, window)
		for range 5 {
			spent := 0
			for range 100 {
				if b.TryWithdraw() {
					spent++
				}
			}
			if spent != burst {
				t.Errorf("%d retries in a window, want %d", spent, burst)
			}
			time.Sleep(window + time.Second)
		}
	})
}

func TestBudgetBoundsRetries(t *testing.T) {
	const ratio, burst, window, slot = 0.1, 5, 5 * time.Second, 500 * time.Millisecond
	// trial sends requests with odd gaps. In 10 of 15 s they fail, and each asks
	// for two retries. Every window that ends at a retry is checked, and the total.
	trial := func(seed uint64) bool {
		r := rand.New(rand.NewPCG(seed, 0))
		b := limit.NewRetryBudget(ratio, burst, 0)
		var earned, spent []time.Time
		for i := range 1500 {
			time.Sleep(time.Duration(r.ExpFloat64() * float64(20*time.Millisecond)))
			if i%300 == 299 {
				time.Sleep(time.Duration(r.IntN(10)) * time.Second)
			}
			b.Deposit()
			earned = append(earned, time.Now())
			for range 2 {
				if time.Now().Second()%15 >= 10 || !b.TryWithdraw() {
					continue
				}
				spent = append(spent, time.Now())
				// The window of the budget is up to one slot shorter.
				most := ratio*float64(count(earned, window)) + burst
				if float64(count(spent, window-slot)) > most+1e-6 {
					return false
				}
			}
		}
		total := ratio*float64(len(earned)) + burst
		return float64(len(spent)) <= total+1e-6 && float64(len(spent)) > total/3
	}
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(int64(seed.For(t, testSeed))))
	props.Property("retries fit the budget", prop.ForAll(func(seed uint64) (ok bool) {
		synctest.Test(t, func(*testing.T) { ok = trial(seed) })
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

// Guards against VMs that all return in the same moment after an outage.
func TestBackoffSpreadsReturns(t *testing.T) {
	const vms, grain = 1300, 100 * time.Millisecond
	first, returns, most := vms*seed.For(t, 0), map[time.Duration]int{}, 0
	for vm := range vms {
		b := limit.NewBackoff(100*time.Millisecond, 10*time.Second, first+uint64(vm))
		var at time.Duration
		for at < time.Minute {
			pause := b.Next()
			if pause < 50*time.Millisecond || pause > 10*time.Second {
				t.Fatalf("pause of %v", pause)
			}
			at += pause
		}
		returns[at/grain]++
		most = max(most, returns[at/grain])
	}
	// Even returns over the ceiling of 10 s would be 13 in each 100 ms.
	if most > 5*vms/100 {
		t.Fatalf("%d of %d return within 100 ms", most, vms)
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
			if leave, err := q.Acquire(b.Context(), limit.Request{}); err == nil {
				leave()
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
