package pool

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	endCheckTimeout = 300 * time.Millisecond // Of one check, with all its connections.
	// endCheckWait is how long an accepted connection is watched. While a process ends, its
	// listener may be closed a little later than its connections.
	endCheckWait = 20 * time.Millisecond
	maxEndChecks = 2 // Connections that one check opens.
)

// endCheck is a check of whether the process at the address has ended, which all callers share
// that ask while it runs.
type endCheck struct {
	mu      sync.Mutex
	running chan struct{} // Closed when the check is done; nil while none runs.
	ended   bool          // Result of the last check.
}

// HasEnded reports whether the process at the address has ended, for use after an exchange has
// lost its connection. The end of a connection alone does not show it: the process has ended
// when nothing accepts connections at the address any more. Without a result within 300 ms, or
// before ctx ends, it counts as not ended.
func (p *Pool) HasEnded(ctx context.Context) bool {
	c := &p.endCheck
	c.mu.Lock()
	if c.running == nil {
		running := make(chan struct{})
		c.running = running
		go func() {
			ended := p.checkEnded(ctx)
			c.mu.Lock()
			c.ended, c.running = ended, nil
			c.mu.Unlock()
			close(running)
		}()
	}
	running := c.running
	c.mu.Unlock()
	select {
	case <-running:
	case <-ctx.Done():
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (p *Pool) checkEnded(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	for range maxEndChecks {
		conn, err := p.opts.Dial(ctx, "tcp", p.addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED)
		}
		staysOpen := isSilent(conn, endCheckWait)
		_ = conn.Close()
		if staysOpen {
			return false
		}
	}
	return false
}

// isSilent reports whether a new connection stays open and without data for a while.
func isSilent(conn net.Conn, wait time.Duration) bool {
	_ = conn.SetReadDeadline(time.Now().Add(wait))
	_, err := io.ReadFull(conn, make([]byte, 1))
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}
