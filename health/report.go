package health

import (
	"math"
	"time"

	"github.com/azuredeal/azuredeal/wire"
)

// Condition is the condition that a backend server states when it refuses requests.
type Condition uint8

// Conditions of a backend server.
const (
	// ConditionNormal means that it has not recently refused requests as draining or cold.
	ConditionNormal Condition = iota
	// ConditionDraining means that it refuses new requests because it is shutting down.
	ConditionDraining
	// ConditionCold means that it refuses requests because it is starting.
	ConditionCold
)

// Report is the evidence of one VM about one backend server within its window.
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

// Good returns the number of good exchanges.
func (r Report) Good() uint32 { return r.good }

// Bad returns the number of bad exchanges; a mismatched response counts as two.
func (r Report) Bad() uint32 { return r.bad }

// Stalled returns the number of in-flight requests that are slow for the service. A
// Detector reports at most one.
func (r Report) Stalled() uint32 { return r.stalled }

// Unreachable returns the number of attempts that could not connect.
func (r Report) Unreachable() uint32 { return r.unreachable }

// Median returns the estimated median latency of responses; 0 when unknown.
func (r Report) Median() time.Duration { return r.median }

// Condition returns the condition that the server stated.
func (r Report) Condition() Condition { return r.condition }

// Origin returns the incarnation of the VM that gathered the evidence; 0 when
// its detector had no origin set.
func (r Report) Origin() uint64 { return r.origin }

// Age returns the age of the evidence when the report was created.
func (r Report) Age() time.Duration { return r.age }

// ToWire returns the wire message of r for a server of the named service. The median is
// in microseconds and the age in milliseconds.
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

// ReportFromWire returns the report in m. Counters are capped, so that a faulty peer
// cannot outweigh the others.
func ReportFromWire(m *wire.Report) Report {
	return Report{
		server:      m.GetServer(),
		good:        min(m.GetGood(), maxReportCount),
		bad:         min(m.GetBad(), maxReportCount),
		stalled:     min(m.GetStalled(), maxReportCount),
		unreachable: min(m.GetUnreachable(), maxReportCount),
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
