package proxy

import (
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/pool"
)

//go:generate stringer -type=attemptKind -linecomment -output=rate_string.go

// attemptKind tells why an attempt is made.
type attemptKind uint8

const (
	firstAttempt     attemptKind = iota // first
	retryAttempt                        // retry
	hedgeAttempt                        // hedge
	attemptKindCount                    // unknown
)

// rateState is what a VM knows of the request rate that a backend server accepts.
type rateState struct {
	bound    *limit.Rate                     // On the attempts of this VM.
	attempts [attemptKindCount]atomic.Uint64 // Since the last call of LimitedAttempts.
}

// recordRate passes on what a response says of the rate that its server accepts. It says
// nothing new when it states no limit and none is known.
func (h *Handler) recordRate(s *rateState, r board.StatedRate) {
	if (r.PerSecond != board.Unlimited || s.bound.Limited()) && h.opts.StatedRate != nil {
		h.opts.StatedRate(r)
	}
}

// LimitedAttempts counts the attempts of this VM at a backend server that states a rate
// limit.
type LimitedAttempts struct {
	Service, Server        string
	Share                  float64 // Bound on the attempts of this VM per second.
	First, Retries, Hedges uint64
}

// LimitedAttempts returns the attempts since the last call, by backend server. Servers
// without attempts are left out.
func (h *Handler) LimitedAttempts() []LimitedAttempts {
	st := h.state.Load()
	if st == nil {
		return nil
	}
	var out []LimitedAttempts
	for name, s := range st.services {
		for addr, v := range s.servers {
			n := LimitedAttempts{
				Service: name, Server: addr, Share: v.rate.bound.PerSecond(), First: v.rate.attempts[firstAttempt].Swap(0),
				Retries: v.rate.attempts[retryAttempt].Swap(0), Hedges: v.rate.attempts[hedgeAttempt].Swap(0),
			}
			if n.First+n.Retries+n.Hedges > 0 {
				out = append(out, n)
			}
		}
	}
	return out
}

// recordStated takes in what a response says of the process that sent it. From then on this
// VM sends no attempt of any kind to it, for the time that it asks for or for good.
func (h *Handler) recordStated(name string, v *server, s pool.Stated) {
	hold, now := v.rate.bound.Hold(), time.Now()
	line := func() *zerolog.Event {
		return h.opts.Log.Info().Str("service", name).Str("server", v.note.Addr).Str("id", v.note.InstanceID)
	}
	if s.Leaving && hold.Leave() {
		h.countStated(name, "leaving")
		line().Msg("backend server states that it leaves")
		h.updateMaxRunning(name)
	}
	if s.StayAway == 0 {
		return
	}
	begins, end := hold.StayAway(now, s.StayAway, rand.Float64())
	if begins {
		h.countStated(name, "busy")
		line().Dur("away", s.StayAway).Msg("backend server wants no requests for a while")
		h.updateMaxRunning(name)
	}
	time.AfterFunc(end.Sub(now), func() { h.updateMaxRunning(name) })
}

func (h *Handler) countStated(name, state string) {
	if s := h.serviceByName(name); s != nil {
		s.counters.getCounter("stated", fmt.Sprintf(",state=%q", state)).Inc()
	}
}

// updateMaxRunning makes the queue of a service follow the servers that get requests.
func (h *Handler) updateMaxRunning(name string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.serviceByName(name); s != nil {
		s.updateMaxRunning()
	}
}

// IsHeld reports whether a backend server has stated that it leaves, or has asked for no
// requests for a while.
func (h *Handler) IsHeld(name, addr string) bool {
	v := h.serverByAddr(name, addr)
	return v != nil && !v.target.Rate().Hold().Allows(time.Now())
}
