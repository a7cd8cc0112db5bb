package limit_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/limit"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// sequence sends n requests one after the other, each with the whole limit in use.
func sequence(a *limit.Adaptive, now time.Time, n int, took time.Duration, outcome board.Outcome) time.Time {
	for range n {
		begun := 0
		for a.Begin() {
			begun++
		}
		now = now.Add(took)
		for range begun {
			a.End(now, took, outcome)
		}
	}
	return now
}

// Guards against a limit that ignores overload, cannot recover from it, or
// leaves its bounds.
func TestAdaptive(t *testing.T) {
	const usual = 20 * time.Millisecond
	cases := []struct {
		name     string
		change   func(a *limit.Adaptive, now time.Time) time.Time
		min, max int
	}{
		{"starts at the slots", func(_ *limit.Adaptive, now time.Time) time.Time { return now }, 3, 3},
		{"grows within bounds", func(a *limit.Adaptive, now time.Time) time.Time {
			return sequence(a, now, 1000, usual, board.Success)
		}, 6, 6},
		{"one shed", func(a *limit.Adaptive, now time.Time) time.Time {
			return sequence(a, now, 1, usual, board.Shed)
		}, 2, 2},
		{"many sheds", func(a *limit.Adaptive, now time.Time) time.Time {
			return sequence(a, now, 500, usual, board.Shed)
		}, 1, 1},
		{"slow answers", func(a *limit.Adaptive, now time.Time) time.Time {
			now = sequence(a, now, 200, usual, board.Success)
			return sequence(a, now, 10, 10*usual, board.Success)
		}, 1, 3},
		{"late answers", func(a *limit.Adaptive, now time.Time) time.Time {
			now = sequence(a, now, 200, usual, board.Success)
			return sequence(a, now, 10, 10*usual, board.Late)
		}, 1, 3},
		{"recovered", func(a *limit.Adaptive, now time.Time) time.Time {
			now = sequence(a, now, 200, usual, board.Success)
			now = sequence(a, now, 20, 10*usual, board.Late)
			return sequence(a, now, 500, usual, board.Success)
		}, 4, 6},
		{"canceled hedges", func(a *limit.Adaptive, now time.Time) time.Time {
			now = sequence(a, now, 200, usual, board.Success)
			now = sequence(a, now, 500, usual/10, board.Canceled)
			return sequence(a, now, 20, usual, board.Success)
		}, 6, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := limit.NewAdaptive(3)
			c.change(a, epoch)
			if got := a.Limit(); got < c.min || got > c.max || a.Inflight() != 0 {
				t.Fatalf("limit %d, want %d to %d; in flight %d", got, c.min, c.max, a.Inflight())
			}
		})
	}
}

// Guards against more requests in flight than the limit, and counts that drift,
// with many goroutines; run with -race.
func TestAdaptiveFromManyGoroutines(t *testing.T) {
	cases := []struct {
		name     string
		outcomes int // The first ones of board.Outcome.
		most     int
	}{
		{"fixed limit", 0, 3},
		{"changing limit", 11, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := limit.NewAdaptive(3)
			var group sync.WaitGroup
			for g := range 8 {
				group.Go(func() { hammer(t, a, g, c.outcomes, c.most) })
			}
			group.Wait()
			if a.Inflight() != 0 || a.Limit() < 1 || a.Limit() > c.most {
				t.Fatalf("limit %d, in flight %d", a.Limit(), a.Inflight())
			}
		})
	}
}

func hammer(t *testing.T, a *limit.Adaptive, first, outcomes, most int) {
	for i := range 2000 {
		if !a.Begin() {
			continue
		}
		if n := a.Inflight(); n > most {
			t.Errorf("%d in flight", n)
		}
		outcome := board.Unreachable // Leaves the limit as it is.
		if outcomes > 0 {
			outcome = board.Outcome((first + i) % outcomes)
		}
		runtime.Gosched()
		a.End(epoch.Add(time.Duration(i)*time.Millisecond), time.Millisecond, outcome)
	}
}

// Guards against an account that exceeds its rate in any interval.
func TestRatesBoundAccounts(t *testing.T) {
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(testSeed))
	props.Property("allowed requests fit rate and burst", prop.ForAll(func(gaps []int, rate, burst int) bool {
		r := limit.NewRates()
		now := epoch
		var allowed []time.Time
		for _, gap := range gaps {
			now = now.Add(time.Duration(gap) * time.Millisecond)
			if r.Allow(now, "a", float64(rate), burst) {
				allowed = append(allowed, now)
			}
		}
		for i := range allowed {
			for j := i; j < len(allowed); j++ {
				most := float64(burst) + float64(rate)*allowed[j].Sub(allowed[i]).Seconds()
				if float64(j-i+1) > most+1e-6 {
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
	r := limit.NewRates()
	now := epoch
	for i := range 53_000 {
		now = now.Add(5 * time.Millisecond)
		r.Allow(now, fmt.Sprint("account ", i), 10, 10)
	}
	if n := r.Len(); n > 4000 {
		t.Errorf("%d buckets kept, at 200 accounts/s and buckets that fill in 100 ms", n)
	}
	if limit.NewRates().Allow(now, "a", 0, 10) {
		t.Error("an account with rate 0 was let through")
	}
}

// Guards against retries that multiply the load, above all in an outage.
func TestBudgetBoundsRetries(t *testing.T) {
	const ratio, burst, window = 0.1, 5, 5 * time.Second
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(testSeed))
	props.Property("retries fit the budget", prop.ForAll(func(seed uint64) (ok bool) {
		synctest.Test(t, func(*testing.T) { ok = spendsWithin(seed, ratio, burst, window) })
		return ok
	}, gen.UInt64()))
	props.TestingRun(t)
}

// spendsWithin sends requests that fail with changing odds, each of which asks
// for two retries. It checks every window that ends at a retry, and the total.
func spendsWithin(seed uint64, ratio float64, burst int, window time.Duration) bool {
	r := rand.New(rand.NewPCG(seed, 0))
	b := limit.NewBudget(ratio, burst)
	var earned, spent []time.Time
	for range 1500 {
		time.Sleep(time.Duration(r.ExpFloat64() * float64(20*time.Millisecond)))
		if r.IntN(300) == 0 {
			time.Sleep(time.Duration(r.IntN(10)) * time.Second)
		}
		b.Earn()
		earned = append(earned, time.Now())
		if failing := time.Now().Second()%15 < 10; !failing {
			continue
		}
		for range 2 {
			if !b.Spend() {
				continue
			}
			spent = append(spent, time.Now())
			// The window of the budget is up to one slot of 500 ms shorter.
			recent := count(spent, window-500*time.Millisecond)
			if float64(recent) > ratio*float64(count(earned, window))+float64(burst)+1e-6 {
				return false
			}
		}
	}
	total := ratio*float64(len(earned)) + float64(burst)
	return float64(len(spent)) <= total+1e-6 && float64(len(spent)) > total/3
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
	returns := map[time.Duration]int{}
	for vm := range vms {
		b := limit.NewBackoff(100*time.Millisecond, 10*time.Second, uint64(vm))
		var at time.Duration
		for at < time.Minute {
			pause := b.Next()
			if pause < 50*time.Millisecond || pause > 10*time.Second {
				t.Fatalf("pause of %v", pause)
			}
			at += pause
		}
		returns[at/grain]++
	}
	most := 0
	for _, n := range returns {
		most = max(most, n)
	}
	// Even returns over the 10 s ceiling would be 13 in each 100 ms.
	if most > 5*vms/100 {
		t.Fatalf("%d of %d return within 100 ms", most, vms)
	}
}

func BenchmarkRates(b *testing.B) {
	r := limit.NewRates()
	names := make([]string, 53_000)
	for i := range names {
		names[i] = fmt.Sprint("account ", i)
		r.Allow(epoch, names[i], 0.001, 10)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			r.Allow(epoch.Add(time.Duration(i)*time.Microsecond), names[i%len(names)], 0.001, 10)
		}
	})
}

func BenchmarkAdaptive(b *testing.B) {
	a := limit.NewAdaptive(64)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for i := 0; pb.Next(); i++ {
			if a.Begin() {
				a.End(epoch.Add(time.Duration(i)), time.Millisecond, board.Success)
			}
		}
	})
}

func BenchmarkBudget(b *testing.B) {
	budget := limit.NewBudget(0.1, 10)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			budget.Earn()
			budget.Spend()
		}
	})
}
