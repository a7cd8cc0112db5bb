package replay

import (
	"math"

	"github.com/azuredeal/azuredeal/note"
)

// ServiceTimeModel is a heavy-tailed distribution of service times: a lognormal body and,
// for a share of the requests, a Pareto tail.
type ServiceTimeModel struct {
	Median    note.Duration `json:"median"` // Median of the body.
	Sigma     float64       `json:"sigma"`  // Standard deviation of the natural logarithm of the body.
	TailShare float64       `json:"tail"`   // Share of requests in the tail.
	TailMin   note.Duration `json:"scale"`  // Minimum time in the tail.
	Alpha     float64       `json:"alpha"`  // Shape parameter of the tail.
	TailMax   note.Duration `json:"most"`   // Maximum time in the tail.
}

// draw returns a service time in nanoseconds. It takes two uniform numbers in (0, 1): the
// first selects body or tail, the second is a quantile of the selected distribution.
func (m *ServiceTimeModel) draw(tailDraw, u float64) int64 {
	if tailDraw < m.TailShare {
		x := float64(nanos(m.TailMin)) * math.Pow(1-u, -1/m.Alpha)
		return int64(min(x, float64(nanos(m.TailMax))))
	}
	z := math.Sqrt2 * math.Erfinv(2*u-1)
	return int64(float64(nanos(m.Median)) * math.Exp(m.Sigma*z))
}

// Stream numbers make the random draws for different purposes independent.
const (
	streamArrival = iota + 1
	streamVM
	streamNonIdempotent
	streamTail
	streamTime
	streamError
	streamCrossed
	streamPick
)

// uniform returns a pseudo-random number in (0, 1) that depends only on its arguments, so
// that all policies are given the same requests with the same service times.
func uniform(seed, stream, id uint64) float64 {
	x := mix(seed*0x9e3779b97f4a7c15 + stream)
	x = mix(x ^ id*0xd1342543de82ef95)
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// mix is one step of SplitMix64: the increment and the output function.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
