package worker

import (
	"encoding/json"
	"fmt"
	"time"
)

//go:generate stringer -type=Mode -output=mode_string.go

// Mode is a way in which a worker fails while its health checks still pass.
type Mode uint8

// Failure modes of a worker.
const (
	// Normal serves requests correctly.
	Normal Mode = iota
	// Stall accepts requests and never completes them.
	Stall
	// Slow multiplies the service time.
	Slow
	// Wrong responds with status 500.
	Wrong
	// Crossed responds with the request ID of another request.
	Crossed
	// Truncate closes the connection before the end of the response body.
	Truncate
	// Reset runs the request, then closes the connection without a response.
	Reset

	modeCount
)

// MarshalJSON implements json.Marshaler.
func (m Mode) MarshalJSON() ([]byte, error) { return json.Marshal(m.String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (m *Mode) UnmarshalJSON(data []byte) error {
	var name string
	if err := json.Unmarshal(data, &name); err != nil {
		return err
	}
	for mode := range modeCount {
		if mode.String() == name {
			*m = mode
			return nil
		}
	}
	return fmt.Errorf("unknown mode %q", name)
}

const (
	defaultFactor = 10 // Multiple of the service time.
	defaultShare  = 1  // All requests.
)

// Behavior describes how a worker handles its requests.
type Behavior struct {
	Mode Mode `json:"mode"`
	// Factor multiplies the service time in mode Slow; 0 means the default of 10.
	Factor float64 `json:"factor,omitempty"`
	// Share is the fraction of requests that Mode affects, from 0 to 1; 0 means all.
	Share float64 `json:"share,omitempty"`
	// Period makes the worker flap: Mode applies in the first half of each period only.
	Period time.Duration `json:"period,omitempty"` // In nanoseconds.
	// Rate is the request rate that the worker states in its responses, per second, in every
	// mode; 0 means none. It serves requests beyond it.
	Rate float64 `json:"rate,omitempty"`
	// Leaving makes the worker state in all responses that it leaves. It goes on serving.
	Leaving bool `json:"leaving,omitempty"`
	// Away makes the worker refuse all requests and state that it wants none for so long.
	Away time.Duration `json:"away,omitempty"` // In nanoseconds.
}

func (b Behavior) factor() float64 {
	if b.Factor == 0 {
		return defaultFactor
	}
	return b.Factor
}

func (b Behavior) share() float64 {
	if b.Share == 0 {
		return defaultShare
	}
	return b.Share
}

// active reports whether Mode applies at the given time after the behavior was set.
func (b Behavior) active(elapsed time.Duration) bool {
	if b.Period <= 0 {
		return true
	}
	return elapsed%b.Period < b.Period/2
}
