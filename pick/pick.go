// Package pick chooses a backend server for each attempt.
package pick

import (
	"math"
	"math/bits"
	"slices"
	"sync/atomic"
)

// Target is one backend server as the traffic goroutines of this VM see it.
type Target struct {
	addr     string
	zone     string
	slots    int
	weight   atomic.Uint64 // Bits of a float64, 0 to 1.
	inflight atomic.Int64
	others   atomic.Uint64 // Bits of a float64: requests of other VMs in flight, estimated.
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

// SetPeerInflight sets how many requests of other VMs the target is expected to have.
func (t *Target) SetPeerInflight(n float64) { t.others.Store(math.Float64bits(n)) }

// Inflight returns the attempts of this VM that are in flight.
func (t *Target) Inflight() int { return int(t.inflight.Load()) }

// capacity is the share of work the target may get, in slots.
func (t *Target) capacity() float64 { return t.Weight() * float64(t.slots) }

// work is the requests in flight, those of other VMs as far as they are known.
func (t *Target) work() float64 {
	return float64(t.Inflight()) + math.Float64frombits(t.others.Load())
}

// load is the work at the target over its capacity.
func (t *Target) load() float64 { return t.work() / t.capacity() }

// loadNext is load with one more request in flight. Unlike load it tells an
// idle target with a low weight from an idle healthy one.
func (t *Target) loadNext() float64 { return (t.work() + 1) / t.capacity() }

const (
	// zoneSlack is how far the load of a target in the VM's own zone may exceed
	// that of the other choice. Below 2, a target of the own zone with one
	// request in flight loses to an idle one elsewhere.
	zoneSlack = 1.5
	// roamShare is the share of choices among all targets whatever room the home ones
	// have, so that a target whose own VM is away gets requests all the same.
	roamShare = 0.15
	// drawTries bounds rejection sampling; after that a scan decides.
	drawTries = 8
)

// view is the immutable list that one Set call installs.
type view struct {
	all      []*Target
	own      []*Target // Those in the zone of the VM.
	home     []*Target // Those that this VM fills first.
	maxSlots int
}

// Picker chooses among the targets of one service. Its methods may be called
// from many goroutines.
type Picker struct {
	zone  string
	seed  uint64
	picks atomic.Uint64 // Numbers the calls; each draws from its own sequence.
	view  atomic.Pointer[view]
	home  map[string]bool // Addresses of the targets that this VM fills first.
}

// New returns a picker for a VM in the given zone; seed fixes its choices.
func New(zone string, seed uint64) *Picker {
	return &Picker{zone: zone, seed: seed}
}

// SetPreferred replaces the targets, by address, that this VM fills first. It must not be
// called at the same time as Set.
func (p *Picker) SetPreferred(addrs []string) {
	p.home = make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		p.home[addr] = true
	}
	p.SetTargets(p.Targets())
}

// SetTargets replaces the targets.
func (p *Picker) SetTargets(targets []*Target) {
	v := &view{all: targets}
	for _, t := range targets {
		v.maxSlots = max(v.maxSlots, t.slots)
		if t.zone == p.zone {
			v.own = append(v.own, t)
		}
		if p.home[t.addr] {
			v.home = append(v.home, t)
		}
	}
	p.view.Store(v)
}

// Targets returns the targets; the slice must not be changed.
func (p *Picker) Targets() []*Target {
	if v := p.view.Load(); v != nil {
		return v.all
	}
	return nil
}

// MinReliableWeight is the least weight of a target that counts as steady: below it a
// backend server is suspected or on trial.
const MinReliableWeight = 0.5

// Pick returns a target that is not among tried, or nil when none has weight.
//
// Mostly a home target comes first while it has room: the VM knows what is in flight
// there, as the others go elsewhere, and its requests come often enough to show early when
// the backend server fails. Otherwise it draws two targets with probability proportional
// to their capacity and returns the less loaded one, so a target with a reduced weight
// still gets its reduced share while the VM is idle. When the first draw is in another
// zone, the second is from the zone of the VM.
func (p *Picker) Pick(tried []*Target) *Target { return p.pick(filter{tried: tried}) }

// PickReliable is Pick for requests that must not run twice. It avoids targets
// below SteadyWeight while there are others, so that trials of suspected backend
// servers cost only requests that can be repeated elsewhere.
func (p *Picker) PickReliable(tried []*Target) *Target {
	if t := p.pick(filter{tried: tried, least: MinReliableWeight}); t != nil {
		return t
	}
	return p.Pick(tried)
}

func (p *Picker) pick(f filter) *Target {
	v := p.view.Load()
	if v == nil {
		return nil
	}
	r := sequence(mix(p.seed ^ mix(p.picks.Add(1))))
	if len(v.home) > 0 && r.float() >= roamShare {
		if t := v.homeRoom(&r, f); t != nil {
			return t
		}
	}
	a := v.draw(&r, v.all, f)
	if a == nil {
		return nil
	}
	f.not = a
	b := p.second(v, &r, f)
	if b == nil {
		return a
	}
	return p.better(a, b)
}

// homeRoom returns the less loaded of two home targets when it has room for one more
// request, or nil. A target with a reduced weight comes up by its share alone, even when it
// is the only one: it is idle because it gets little, and of so few the less loaded one
// would mostly be it.
func (v *view) homeRoom(r *sequence, f filter) *Target {
	a := v.drawHome(r, f)
	if a == nil {
		return nil
	}
	if a.Weight() >= MinReliableWeight {
		f.not = a
		if b := v.drawHome(r, f); b != nil && b.loadNext() < a.loadNext() {
			a = b
		}
	}
	if a.work() >= max(1, a.capacity()) {
		return nil
	}
	return a
}

// drawHome draws a home target with probability proportional to its weight. Unlike draw
// it may return nil when all weights are low, since there are other targets.
func (v *view) drawHome(r *sequence, f filter) *Target {
	for range v.home {
		t := v.home[r.intn(len(v.home))]
		if f.takes(t) && r.float() < t.Weight() {
			return t
		}
	}
	return nil
}

// second draws the second choice; the first is left out by f.
func (p *Picker) second(v *view, r *sequence, f filter) *Target {
	if f.not.zone != p.zone {
		if t := v.draw(r, v.own, f); t != nil {
			return t
		}
	}
	return v.draw(r, v.all, f)
}

// better returns the choice between two draws; a was drawn first.
func (p *Picker) better(a, b *Target) *Target {
	if (a.zone == p.zone) == (b.zone == p.zone) {
		if b.load() < a.load() {
			return b
		}
		return a
	}
	own, other := a, b
	if b.zone == p.zone {
		own, other = b, a
	}
	if own.loadNext() <= zoneSlack*other.loadNext() {
		return own
	}
	return other
}

// draw returns one of list with probability proportional to capacity.
func (v *view) draw(r *sequence, list []*Target, f filter) *Target {
	if len(list) == 0 {
		return nil
	}
	for range drawTries {
		t := list[r.intn(len(list))]
		if f.takes(t) && r.float()*float64(v.maxSlots) < t.capacity() {
			return t
		}
	}
	return scan(r, list, f)
}

// scan draws as draw does, in time proportional to the list. Weights may change
// between its passes, so the last usable target stands in at the end.
func scan(r *sequence, list []*Target, f filter) *Target {
	var total float64
	for _, t := range list {
		if f.takes(t) {
			total += t.capacity()
		}
	}
	left := r.float() * total
	var last *Target
	for _, t := range list {
		if !f.takes(t) {
			continue
		}
		last = t
		left -= t.capacity()
		if left < 0 {
			break
		}
	}
	return last
}

// filter says which targets a draw may return.
type filter struct {
	tried []*Target
	not   *Target // One more that is left out.
	least float64 // Weight.
}

// takes reports whether a draw may return t; a target without weight never.
func (f filter) takes(t *Target) bool {
	return t != f.not && t.capacity() > 0 && t.Weight() >= f.least && !slices.Contains(f.tried, t)
}

// sequence is a SplitMix64 generator. One per call needs no lock, where a
// generator shared by goroutines would.
type sequence uint64

const golden = 0x9e3779b97f4a7c15 // Increment of SplitMix64.

func (s *sequence) next() uint64 {
	*s += golden
	return mix(uint64(*s))
}

func (s *sequence) intn(n int) int {
	hi, _ := bits.Mul64(s.next(), uint64(n))
	return int(hi)
}

// float returns a number in [0, 1).
func (s *sequence) float() float64 {
	const mantissa = 53 // Bits of precision of a float64.
	return float64(s.next()>>(64-mantissa)) / (1 << mantissa)
}

// mix is the output function of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
