// Package sleep implements a sleep that a context can interrupt.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d and returns true. It returns false as soon as ctx is done.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
