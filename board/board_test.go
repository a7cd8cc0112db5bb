package board_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/board"
)

// Guards against work that waits for a control loop that has ended, such as a heartbeat
// that arrives in a shutdown: the process would not end.
func TestDoAfterTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New()
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- b.Run(ctx) }()
		if err := b.Do(context.Background(), func(time.Time) {}); err != nil {
			t.Error(err)
		}
		cancel()
		<-ended
		if err := b.Do(context.Background(), func(time.Time) { t.Error("run after the end") }); err == nil {
			t.Error("no error after the end of the control loop")
		}
	})
}
