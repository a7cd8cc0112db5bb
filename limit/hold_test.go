package limit

import (
	"testing"
	"testing/synctest"
	"time"
)

// Guards against requests to a server that has stated that it leaves, whatever it states later.
func TestHoldOfLeavingServer(t *testing.T) {
	var r Rate
	if !r.Hold().Leave() || r.Hold().Leave() {
		t.Error("the first statement is not told from the second")
	}
	now := time.Now()
	r.Hold().StayAway(now, time.Millisecond, 0)
	r.Grant(now)
	for _, later := range []time.Duration{0, time.Second, 1000 * time.Hour} {
		if r.Hold().Allows(now.Add(later)) {
			t.Errorf("allowed after %v", later)
		}
	}
	if r.Ready() || r.Take() || r.Wait() != noWait {
		t.Errorf("ready %v, taken, wait %v", r.Ready(), r.Wait())
	}
}

// Guards against requests within the time for which a server wants none, against an earlier
// end that a later statement brings, and against requests that return all at once.
func TestHoldForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r Rate
		hold := r.Hold()
		if begins, _ := hold.StayAway(time.Now(), 2*time.Second, 0); !begins {
			t.Error("the hold does not begin")
		}
		if begins, end := hold.StayAway(time.Now(), time.Second, 0); begins || time.Until(end) != 2*time.Second {
			t.Errorf("a shorter hold begins: %v, and ends in %v", begins, time.Until(end))
		}
		time.Sleep(time.Second)
		if begins, end := hold.StayAway(time.Now(), 2*time.Second, 0); begins || time.Until(end) != 2*time.Second {
			t.Errorf("a longer hold begins while one is in effect: %v, and ends in %v", begins, time.Until(end))
		}
		taken := map[string]int{}
		for elapsed := time.Second; elapsed < 6*time.Second; elapsed += time.Millisecond {
			phase := "held"
			switch {
			case elapsed >= 4*time.Second:
				phase = "after"
			case elapsed >= 3*time.Second:
				phase = "returning"
			}
			ready, wait := r.Ready(), r.Wait()
			if r.Take() != ready || ready != (wait <= 0) {
				t.Fatalf("after %v: ready %v, wait %v", elapsed, ready, wait)
			}
			if ready {
				taken[phase]++
			}
			time.Sleep(time.Millisecond)
		}
		if taken["held"] != 0 || taken["returning"] != int(returnTime/returnInterval) || taken["after"] != 2000 {
			t.Errorf("requests by phase: %v", taken)
		}
		if begins, _ := hold.StayAway(time.Now(), time.Second, 0); !begins {
			t.Error("a hold after the end of one does not begin")
		}
	})
}

// Guards against VMs that all return at the same moment, or long after they may.
func TestHoldSpread(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		d, latest time.Duration
	}{{time.Second, 1250 * time.Millisecond}, {time.Minute, time.Minute + maxReturnSpread}, {24 * time.Hour, MaxHold + maxReturnSpread}} {
		var first, last Hold
		first.StayAway(now, c.d, 0)
		last.StayAway(now, c.d, 1)
		a, _ := first.Left(now)
		b, _ := last.Left(now)
		if a != min(c.d, MaxHold) || b != c.latest {
			t.Errorf("holds of %v end after %v to %v, want %v", c.d, a, b, c.latest)
		}
	}
}
