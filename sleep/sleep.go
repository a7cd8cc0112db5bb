// Package sleep waits for a time or for the end of a context, whichever is first.
package sleep

import (
	"context"
	"time"
)

// For waits for d. It reports false, at once, when ctx ends first.
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
