package proxy

import (
	"sync/atomic"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/limit"
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
