// Package pick chooses a backend server for each attempt.
package pick

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
)

// Target is one backend server as the traffic goroutines of this VM see it.
type Target struct {
	addr     string
	zone     string
	slots    int
	weight   atomic.Uint64 // Bits of a float64, 0 to 1.
	inflight atomic.Int64
}

// NewTarget returns a target with weight 1.
func NewTarget(addr, zone string, slots int) *Target {
	t := &Target{addr: addr, zone: zone, slots: slots}
	t.SetWeight(1)
	return t
}

// Addr returns the address, "ip:port".
func (t *Target) Addr() string { return t.addr }

// Zone returns the availability zone.
func (t *Target) Zone() string { return t.zone }

// Slots returns how many requests the backend server runs at once.
func (t *Target) Slots() int { return t.slots }

// Weight returns the share of work the target may get, 0 to 1.
func (t *Target) Weight() float64 { return math.Float64frombits(t.weight.Load()) }

// SetWeight sets the share of work the target may get, 0 to 1.
func (t *Target) SetWeight(w float64) { t.weight.Store(math.Float64bits(w)) }

// Begin counts an attempt that starts.
func (t *Target) Begin() { t.inflight.Add(1) }

// End counts an attempt that ended.
func (t *Target) End() { t.inflight.Add(-1) }

// Inflight returns the attempts of this VM that are in flight.
func (t *Target) Inflight() int { return int(t.inflight.Load()) }

// Picker chooses among the targets of one service.
type Picker struct {
	zone    string
	targets atomic.Pointer[[]*Target]
	intn    func(n int) int
}

// New returns a picker for a VM in the given zone; seed fixes its choices.
func New(zone string, seed uint64) *Picker {
	source := rand.New(rand.NewPCG(seed, 0))
	return &Picker{zone: zone, intn: source.IntN}
}

// Set replaces the targets.
func (p *Picker) Set(targets []*Target) { p.targets.Store(&targets) }

// Targets returns the targets; the slice must not be changed.
func (p *Picker) Targets() []*Target {
	if list := p.targets.Load(); list != nil {
		return *list
	}
	return nil
}

// Pick returns a target that is not among tried, or nil when none has weight.
func (p *Picker) Pick(_ []*Target) *Target {
	return nil
}
