package proxy

import (
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/note"
)

// Guards against a release that replaces the queue to change its depth: the new queue
// would not count the running requests and admit up to twice as many.
func TestQueueDepthChangeKeepsRunningRequests(t *testing.T) {
	h := New(Options{})
	queue := func(depth int) *limit.Queue {
		h.SetRelease(note.NewRelease(uint64(depth), []note.Service{{Name: "s", Limits: note.Limits{Queue: depth}}}, nil, nil))
		return h.state.Load().services["s"].queue
	}
	release, err := queue(5).Acquire(t.Context(), limit.Request{Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	defer release()
	if n := queue(6).Running(); n != 1 {
		t.Errorf("%d requests running after the change, want 1", n)
	}
}

// Guards against a retry budget that starts anew with each release that divides it by another
// number of VMs: rolling restarts would bring a burst of retries each time.
func TestRetryBudgetSurvivesReleases(t *testing.T) {
	h := New(Options{})
	retries := 0
	for generation := range 50 {
		limits := note.Limits{RetryRatio: 0.2, RetryBurst: 3 + generation%2, RetryRefill: note.Duration(time.Hour)}
		h.SetRelease(note.NewRelease(uint64(generation+1), []note.Service{{Name: "s", Limits: limits}}, nil, nil))
		for h.state.Load().services["s"].budget.TryWithdraw() {
			retries++
		}
	}
	if retries > 4 {
		t.Errorf("%d retries without a request, want 4 at most", retries)
	}
}
