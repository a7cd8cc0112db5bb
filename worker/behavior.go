package worker

import (
	"encoding/json"
	"fmt"
	"time"
)

//go:generate stringer -type=Mode -output=mode_string.go

// Mode is a way in which a worker fails while its probes pass.
type Mode uint8

// The modes.
const (
	// Normal answers as expected.
	Normal Mode = iota
	// Stall accepts requests and never ends them.
	Stall
	// Slow multiplies the service time.
	Slow
	// Wrong answers with status 500.
	Wrong
	// Crossed answers with the id of another request.
	Crossed
	// Truncate ends the body early.
	Truncate
	// Reset runs the request, then closes the connection without an answer.
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
	defaultFactor = 10
	defaultShare  = 1
)

// Behavior says how a worker treats its requests.
type Behavior struct {
	Mode Mode `json:"mode"`
	// Factor multiplies the service time in mode Slow; 0 means 10.
	Factor float64 `json:"factor,omitempty"`
	// Share is the part of requests that Mode touches, 0 to 1; 0 means all.
	Share float64 `json:"share,omitempty"`
	// Period makes the worker flap: Mode holds in every first half of it.
	Period time.Duration `json:"period,omitempty"` // In nanoseconds.
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

// active reports whether Mode holds at the given time since it was set.
func (b Behavior) active(since time.Duration) bool {
	if b.Period <= 0 {
		return true
	}
	return since%b.Period < b.Period/2
}
