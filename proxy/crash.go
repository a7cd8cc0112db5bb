package proxy

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/internal/fleet/crash"
)

// digest returns the digest of the request, whose body must have been read.
func (c *call) digest() crash.Digest {
	c.digestOnce.Do(func() {
		c.knownDigest = c.handler.opts.Hasher.Digest(crash.Request{
			Method: c.method, Host: canonicalHost(c.host), Target: c.target,
			Account: c.account, Credentials: c.header.Get("Authorization"), Body: c.body,
		})
	})
	return c.knownDigest
}

const (
	// maxSuspectWait and maxSuspectWaitShare bound how long a request waits because one like it
	// may have crashed a server: the time, and the part of the time until its deadline.
	maxSuspectWait      = time.Second
	maxSuspectWaitShare = 1.0 / 3
)

// admitSuspect decides on a request that may crash the server that runs it. done ends what it
// has begun.
func (c *call) admitSuspect(ctx context.Context) (done func(), err error) {
	t := c.handler.opts.Crashes
	if t == nil || t.IsEmpty() {
		return func() {}, nil
	}
	patience := min(maxSuspectWait, time.Duration(maxSuspectWaitShare*float64(time.Until(c.deadline))))
	latest := time.Now().Add(patience)
	for {
		now := time.Now()
		a := t.Admit(now, c.digest(), now.Before(latest))
		switch a.Verdict {
		case crash.Pass:
			c.isTrial = a.Trial
			if !a.Suspected {
				return func() {}, nil
			}
			return func() { t.Done(c.digest()) }, nil
		case crash.Reject:
			return nil, c.quarantined(a)
		}
		wait := latest.Sub(now)
		if a.Left > 0 {
			wait = min(wait, a.Left)
		}
		timer := time.NewTimer(wait)
		select {
		case <-a.Changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		if err := ctx.Err(); err != nil {
			return nil, markNotRun(err)
		}
	}
}

// longestRetryAfter is the time after which callers of a request in quarantine come back that
// has no further trial.
const longestRetryAfter = time.Hour

// quarantined returns the fault for a request that is not sent.
func (c *call) quarantined(a crash.Admission) error {
	left := a.Left
	if left <= 0 || left > longestRetryAfter {
		left = longestRetryAfter
	}
	err := fault.New(fault.Quarantined, "%d backend servers ended while they had request %s", a.Servers, c.digest())
	return fault.RetryAfter(err, left)
}

// checkBarred returns the fault for a request that has been put in quarantine since it was
// admitted.
func (c *call) checkBarred() error {
	t := c.handler.opts.Crashes
	if t == nil || t.IsEmpty() || c.isTrial {
		return nil
	}
	if a, barred := t.Barred(time.Now(), c.digest()); barred {
		return c.quarantined(a)
	}
	return nil
}

// mayHedge reports whether a second server may get the request while the first one has it.
func (c *call) mayHedge() bool {
	t := c.handler.opts.Crashes
	return t == nil || t.IsEmpty() || t.Servers(c.digest()) == 0
}

// mayRepeatAfter reports whether another server may get the request after one whose connection
// was lost.
func (c *call) mayRepeatAfter(process crash.Process) bool {
	t := c.handler.opts.Crashes
	return t == nil || t.IsEmpty() || t.MayRepeat(c.digest(), process)
}

// delivery is a request that a server got, as far as it matters when the server ends.
type delivery struct {
	digest    crash.Digest
	id, route string
	sample    board.Sample
	endedAt   time.Time // End of the attempt.
}

// abandoned are requests that a server may still run although their attempts were given up.
type abandoned struct {
	mu   sync.Mutex
	list []delivery // Oldest first.
}

const (
	maxAbandoned  = 16              // For each server; older ones are forgotten.
	abandonedTime = 2 * time.Second // How long a server may still run a request.
)

func (a *abandoned) add(d delivery) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.list) == maxAbandoned {
		a.list = append(a.list[:0], a.list[1:]...)
	}
	a.list = append(a.list, d)
}

// take removes all requests and returns those that the server may still run.
func (a *abandoned) take(now time.Time) []delivery {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := slices.DeleteFunc(a.list, func(d delivery) bool { return now.Sub(d.endedAt) > abandonedTime })
	a.list = nil
	return out
}

func (a *abandoned) isEmpty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.list) == 0
}

// observeEnd takes in the end of an attempt at a server. When the attempt has lost its
// connection, or the server cannot be reached while it may still run a request, it finds out
// whether the server process has ended.
func (c *call) observeEnd(v *server, s board.Sample) {
	h := c.handler
	if h.opts.Crashes == nil {
		return
	}
	switch s.Outcome {
	case board.Success:
		c.endedWell.Store(true)
		if !h.opts.Crashes.IsEmpty() {
			h.opts.Crashes.Succeeded(time.Now(), c.digest())
		}
	case board.Late, board.Canceled:
		if !c.endedWell.Load() { // As it has when a hedged request was faster.
			v.abandoned.add(c.delivery(s))
		}
	case board.Reset, board.Truncated:
		d := c.delivery(s)
		go h.checkServer(v, &d)
	case board.Unreachable:
		if !v.abandoned.isEmpty() {
			go h.checkServer(v, nil)
		}
	}
}

func (c *call) delivery(s board.Sample) delivery {
	return delivery{digest: c.digest(), id: c.id, route: c.route.name, sample: s, endedAt: time.Now()}
}

// checkServer records which requests a server had if its process has ended: lost, whose
// connection was lost and which may be nil, and those that were given up.
func (h *Handler) checkServer(v *server, lost *delivery) {
	if !v.pool.HasEnded(h.opts.Background) {
		return
	}
	deliveries := v.abandoned.take(time.Now())
	if lost != nil {
		deliveries = append(deliveries, *lost)
	}
	for _, d := range deliveries {
		if s := h.serviceByName(d.sample.Service); s != nil {
			s.counters.crashes.Inc()
		}
		h.opts.Log.Info().Stringer("request", d.digest).Str("id", d.id).Str("service", d.sample.Service).
			Str("route", d.route).Str("server", v.note.Addr).Str("instance", v.note.InstanceID).
			Dur("took", d.sample.Took).Stringer("outcome", d.sample.Outcome).
			Msg("backend server ended while it had the request")
		h.opts.Crashes.Crashed(time.Now(), d.digest, v.process)
	}
}
