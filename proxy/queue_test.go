package proxy

import (
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/note"
)

// Guards against a release that changes the depth of a queue and forgets the
// requests that run, so that twice as many may run as there is room.
func TestQueueOutlivesItsDepth(t *testing.T) {
	h := New(Options{})
	queue := func(depth int) *limit.Queue {
		h.SetRelease(note.NewRelease(uint64(depth), []note.Service{{Name: "s", Limits: note.Limits{Queue: depth}}}, nil, nil))
		return h.state.Load().services["s"].queue
	}
	leave, err := queue(5).Acquire(t.Context(), limit.Request{Deadline: time.Now().Add(time.Minute)})
	if err != nil {
		t.Fatal(err)
	}
	defer leave()
	if n := queue(6).Running(); n != 1 {
		t.Errorf("%d requests run after the change, want 1", n)
	}
}
