package replay

import (
	"math"

	"github.com/azuredeal/azuredeal/note"
)

// ServiceTimeModel is a heavy-tailed model of service times: a lognormal body and, for a
// share of the requests, a Pareto tail.
type ServiceTimeModel struct {
	Median    note.Duration `json:"median"` // Of the body.
	Sigma     float64       `json:"sigma"`  // Of the body, natural log.
	TailShare float64       `json:"tail"`   // Share of requests in the tail.
	TailMin   note.Duration `json:"scale"`  // Least time in the tail.
	Alpha     float64       `json:"alpha"`  // Exponent of the tail.
	TailMax   note.Duration `json:"most"`   // Greatest time in the tail.
}

// draw returns a service time in nanoseconds from two uniform numbers.
func (m *ServiceTimeModel) draw(which, u float64) int64 {
	if which < m.TailShare {
		x := float64(nanos(m.TailMin)) * math.Pow(1-u, -1/m.Alpha)
		return int64(min(x, float64(nanos(m.TailMax))))
	}
	z := math.Sqrt2 * math.Erfinv(2*u-1)
	return int64(float64(nanos(m.Median)) * math.Exp(m.Sigma*z))
}

// stream numbers keep the random draws of different purposes apart.
const (
	streamArrival = iota + 1
	streamVM
	streamOnce
	streamWhich
	streamTime
	streamError
	streamWrong
	streamPick
)

// uniform returns a number in (0, 1) that depends only on its arguments, so all
// policies face the same requests with the same service times.
func uniform(seed, stream, id uint64) float64 {
	x := mix(seed*0x9e3779b97f4a7c15 + stream)
	x = mix(x ^ id*0xd1342543de82ef95)
	return (float64(x>>11) + 0.5) / (1 << 53)
}

// mix is the finaliser of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
