package health

import (
	"math"
	"time"

	"github.com/azuredeal/azuredeal/wire"
)

// Condition is what a backend server states about itself by refusing requests.
type Condition uint8

// The conditions.
const (
	// ConditionNormal: it has refused nothing lately.
	ConditionNormal Condition = iota
	// ConditionDraining: it refuses new work because it is going away.
	ConditionDraining
	// ConditionCold: it refuses work because it is starting.
	ConditionCold
)

// Report is the evidence of one VM about one backend server over its window.
type Report struct {
	server      string
	good        uint32
	bad         uint32
	stalled     uint32
	unreachable uint32
	median      time.Duration
	condition   Condition
	origin      uint64
	age         time.Duration
}

// Server returns the address, "ip:port".
func (r Report) Server() string { return r.server }

// Good returns how many exchanges ended well.
func (r Report) Good() uint32 { return r.good }

// Bad returns how many exchanges count against the server.
func (r Report) Bad() uint32 { return r.bad }

// Stalled returns how many requests in flight are slow for the service.
func (r Report) Stalled() uint32 { return r.stalled }

// Unreachable returns how many attempts could not connect.
func (r Report) Unreachable() uint32 { return r.unreachable }

// Median returns the median time of good exchanges; 0 when unknown.
func (r Report) Median() time.Duration { return r.median }

// Condition returns what the server stated about itself.
func (r Report) Condition() Condition { return r.condition }

// Origin returns the incarnation of the VM that gathered the evidence; 0 when
// the group has not been told its own.
func (r Report) Origin() uint64 { return r.origin }

// Age returns how old the evidence was when the report was made.
func (r Report) Age() time.Duration { return r.age }

// ToWire returns the message for r about a server of the named service.
func (r Report) ToWire(service string) *wire.Report {
	return &wire.Report{
		Service:     service,
		Server:      r.server,
		Good:        r.good,
		Bad:         r.bad,
		Stalled:     r.stalled,
		Unreachable: r.unreachable,
		Median:      clamp32(r.median.Microseconds()),
		Condition:   conditionToWire(r.condition),
		Origin:      r.origin,
		Age:         clamp32(r.age.Milliseconds()),
	}
}

// ReportFromWire returns the report in m. Counters are bounded, so a faulty peer
// cannot outweigh the others.
func ReportFromWire(m *wire.Report) Report {
	return Report{
		server:      m.GetServer(),
		good:        min(m.GetGood(), maxCount),
		bad:         min(m.GetBad(), maxCount),
		stalled:     min(m.GetStalled(), maxCount),
		unreachable: min(m.GetUnreachable(), maxCount),
		median:      time.Duration(m.GetMedian()) * time.Microsecond,
		condition:   conditionFromWire(m.GetCondition()),
		origin:      m.GetOrigin(),
		age:         time.Duration(m.GetAge()) * time.Millisecond,
	}
}

func conditionToWire(c Condition) wire.Condition {
	switch c {
	case ConditionDraining:
		return wire.Condition_CONDITION_DRAINING
	case ConditionCold:
		return wire.Condition_CONDITION_COLD
	default:
		return wire.Condition_CONDITION_NORMAL
	}
}

func conditionFromWire(c wire.Condition) Condition {
	switch c {
	case wire.Condition_CONDITION_DRAINING:
		return ConditionDraining
	case wire.Condition_CONDITION_COLD:
		return ConditionCold
	default:
		return ConditionNormal
	}
}

func clamp32(v int64) uint32 {
	return uint32(min(max(v, 0), math.MaxUint32))
}
