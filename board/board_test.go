package board_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/board"
)

// Guards against a call of Do that blocks after the control loop has ended, such as for a
// heartbeat that arrives during a shutdown. It would keep the process from exiting.
func TestDoAfterRunReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := board.New()
		ctx, cancel := context.WithCancel(t.Context())
		stopped := make(chan error)
		go func() { stopped <- b.Run(ctx) }()
		if err := b.Do(context.Background(), func(time.Time) {}); err != nil {
			t.Error(err)
		}
		cancel()
		<-stopped
		if err := b.Do(context.Background(), func(time.Time) { t.Error("function called after the control loop has ended") }); err == nil {
			t.Error("no error after the end of the control loop")
		}
	})
}
