package limit_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/limit"
)

// Guards against a VM that sends more than its rate, in bursts or after idle times.
func TestRateBoundsAttempts(t *testing.T) {
	for _, c := range []struct {
		name      string
		perSecond float64
		idle      time.Duration // Before the attempts, which are made every millisecond.
		span      time.Duration
		want      int
	}{
		{"starts without a token", 1, 0, 900 * time.Millisecond, 0},
		{"one per second", 1, 0, 10500 * time.Millisecond, 10},
		{"slow", 0.1, 0, 35 * time.Second, 3},
		{"zero", 0, time.Hour, 10 * time.Second, 0},
		{"idle time is not saved up", 1, time.Hour, 500 * time.Millisecond, 1},
		{"a fast rate saves up a quarter of a second", 40, time.Hour, 500 * time.Millisecond, 30},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var r limit.Rate
				r.Set(time.Now(), c.perSecond)
				time.Sleep(c.idle)
				got := 0
				for start := time.Now(); time.Since(start) < c.span; time.Sleep(time.Millisecond) {
					if r.Take() {
						got++
					}
				}
				if got < c.want-1 || got > c.want {
					t.Errorf("%d attempts in %v, want %d", got, c.span, c.want)
				}
			})
		})
	}
}

// Guards against a change of the rate that brings tokens, or that does not take effect.
func TestRateChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r limit.Rate
		if !r.Take() || r.Limited() || r.PerSecond() != board.Unlimited || r.Wait() != 0 {
			t.Fatal("the zero value is limited")
		}
		r.Set(time.Now(), 2)
		if r.Take() || r.Ready() {
			t.Fatal("a new limit starts with a token")
		}
		if got, want := r.Wait(), 500*time.Millisecond; got < want || got > want+time.Millisecond {
			t.Errorf("wait of %v, want %v", got, want)
		}
		time.Sleep(r.Wait())
		r.Set(time.Now(), 0.5)
		if !r.Take() || r.Take() {
			t.Error("want one token from the time of the former rate")
		}
		r.Return()
		if !r.Take() {
			t.Error("a returned token is lost")
		}
		r.Set(time.Now(), 0)
		if wait := r.Wait(); wait < time.Hour {
			t.Errorf("wait of %v at a rate of 0", wait)
		}
		r.Grant(time.Now())
		if !r.Take() || r.Take() {
			t.Error("want one attempt by the grant")
		}
		r.Grant(time.Now())
		time.Sleep(time.Second)
		if r.Take() {
			t.Error("the grant is still valid after a second")
		}
		r.Set(time.Now(), board.Unlimited)
		if first, second := r.Take(), r.Take(); !first || !second {
			t.Error("limited after the end of the limit")
		}
	})
}

// Guards against two attempts that take the same token.
func TestRateIsSafeForConcurrentUse(t *testing.T) {
	var r limit.Rate
	r.Set(time.Now().Add(-time.Hour), 1e-9)
	r.Return()
	var taken atomic.Int64
	var group sync.WaitGroup
	for range 16 {
		group.Go(func() {
			for range 100 {
				if r.Take() {
					taken.Add(1)
				}
			}
		})
	}
	group.Wait()
	if taken.Load() != 1 {
		t.Errorf("%d attempts, want 1", taken.Load())
	}
}
