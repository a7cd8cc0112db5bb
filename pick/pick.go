// Package pick chooses a backend server for each attempt.
package pick

import (
	"math"
	"math/bits"
	"slices"
	"sync/atomic"
	"time"

	"github.com/azuredeal/azuredeal/limit"
)

// Target is one backend server to choose from, with the state of it that the goroutines of
// this VM share. It is safe for concurrent use.
type Target struct {
	addr         string
	zone         string
	slots        int
	weight       atomic.Uint64 // Bits of a float64, 0 to 1.
	inflight     atomic.Int64
	peerInflight atomic.Uint64 // Bits of a float64: estimated in-flight requests of other VMs.
	lastBegin    atomic.Int64  // Start of the last attempt of this VM, in nanoseconds since epoch.
	rate         *limit.Rate   // Of the attempts of this VM.
}

// NewTarget returns a target with weight 1.
func NewTarget(addr, zone string, slots int) *Target {
	t := &Target{addr: addr, zone: zone, slots: slots, rate: &limit.Rate{}}
	t.SetWeight(1)
	return t
}

// Addr returns the address, "ip:port".
func (t *Target) Addr() string { return t.addr }

// Zone returns the availability zone.
func (t *Target) Zone() string { return t.zone }

// Slots returns how many requests the backend server processes concurrently.
func (t *Target) Slots() int { return t.slots }

// Weight returns the fraction of its regular share of requests that the target may get, 0 to 1.
func (t *Target) Weight() float64 { return math.Float64frombits(t.weight.Load()) }

// SetWeight sets the fraction of its regular share of requests that the target may get, 0 to 1.
func (t *Target) SetWeight(w float64) { t.weight.Store(math.Float64bits(w)) }

// Rate returns the bound on the rate of attempts of this VM. A target at its bound is not
// picked.
func (t *Target) Rate() *limit.Rate { return t.rate }

// ShareRate makes t use the bound of another target, which stands for the same process.
func (t *Target) ShareRate(other *Target) { t.rate = other.rate }

// Begin counts the start of an attempt of this VM.
func (t *Target) Begin() { t.inflight.Add(1) }

// SetLastBegin sets when the last attempt of this VM began.
func (t *Target) SetLastBegin(now time.Time) { t.lastBegin.Store(sinceEpoch(now)) }

// epoch is the origin of times that are kept as numbers. Differences to it are of the
// monotonic clock, so that a jump of the time of day does not matter.
var epoch = time.Now()

func sinceEpoch(now time.Time) int64 { return int64(now.Sub(epoch)) }

// End counts the end of an attempt of this VM.
func (t *Target) End() { t.inflight.Add(-1) }

// SetPeerInflight sets the estimated number of in-flight requests of other VMs at the target.
func (t *Target) SetPeerInflight(n float64) { t.peerInflight.Store(math.Float64bits(n)) }

// Inflight returns the number of in-flight attempts of this VM.
func (t *Target) Inflight() int { return int(t.inflight.Load()) }

// capacity is the number of slots scaled by the weight.
func (t *Target) capacity() float64 { return t.Weight() * float64(t.slots) }

// totalInflight is the number of in-flight requests of this VM plus the estimate for other VMs.
func (t *Target) totalInflight() float64 {
	return float64(t.Inflight()) + math.Float64frombits(t.peerInflight.Load())
}

// load is the number of in-flight requests per unit of capacity.
func (t *Target) load() float64 { return t.totalInflight() / t.capacity() }

// loadNext is load with one more request in flight. Unlike load, it distinguishes an
// idle target with a low weight from an idle healthy one.
func (t *Target) loadNext() float64 { return (t.totalInflight() + 1) / t.capacity() }

const (
	// localZoneLoadFactor is the highest ratio of the load of a target in the VM's own
	// availability zone to that of one in another zone at which the former is chosen. As it
	// is below 2, a local target with one in-flight request loses to an idle remote one.
	localZoneLoadFactor = 1.5
	// unpreferredShare is the fraction of picks that ignore the preference and draw from
	// all targets, so that a target gets requests even when the VM that prefers it is down.
	unpreferredShare = 0.15
	// maxDrawTries bounds rejection sampling; draw falls back to a scan of the list after it.
	maxDrawTries = 8
)

// snapshot is the immutable set of targets that one call of SetTargets installs.
type snapshot struct {
	all       []*Target
	local     []*Target // Those in the availability zone of the VM.
	preferred []*Target // Those that this VM fills first.
	maxSlots  int
}

// Picker chooses among the targets of one service. It is safe for concurrent use, except
// that SetPreferred and SetTargets must not be called concurrently with each other.
type Picker struct {
	zone      string
	seed      uint64
	picks     atomic.Uint64 // Number of picks so far; each pick seeds its own random sequence with it.
	snapshot  atomic.Pointer[snapshot]
	preferred map[string]bool // Addresses of the targets that this VM fills first.
}

// New returns a picker without targets for a VM in the given availability zone. Its choices
// are deterministic for a given seed and order of calls.
func New(zone string, seed uint64) *Picker {
	return &Picker{zone: zone, seed: seed}
}

// SetPreferred sets the addresses ("ip:port") of the targets that this VM fills first. It
// must not be called concurrently with itself or SetTargets.
func (p *Picker) SetPreferred(addrs []string) {
	p.preferred = make(map[string]bool, len(addrs))
	for _, addr := range addrs {
		p.preferred[addr] = true
	}
	p.SetTargets(p.Targets())
}

// SetTargets replaces the targets. It must not be called concurrently with SetPreferred.
func (p *Picker) SetTargets(targets []*Target) {
	s := &snapshot{all: targets}
	for _, t := range targets {
		s.maxSlots = max(s.maxSlots, t.slots)
		if t.zone == p.zone {
			s.local = append(s.local, t)
		}
		if p.preferred[t.addr] {
			s.preferred = append(s.preferred, t)
		}
	}
	p.snapshot.Store(s)
}

// Targets returns the current targets; the slice must not be modified.
func (p *Picker) Targets() []*Target {
	if s := p.snapshot.Load(); s != nil {
		return s.all
	}
	return nil
}

// MinReliableWeight is the lowest weight at which a target counts as reliable. A backend
// server below it is suspected to fail or is being probed after an ejection.
const MinReliableWeight = 0.5

// Pick returns a target that is not among tried, or nil when no such target has a weight
// above 0.
//
// Most picks return a preferred target while one has spare capacity. Other VMs mostly use
// other targets, so this VM knows the in-flight requests there, and it sends enough
// requests there to detect a failure of the backend server early. The remaining picks draw
// two targets with probability proportional to their capacity and return the less loaded
// one, so that a target with a reduced weight still gets its reduced share while the VM is
// idle. When the first draw is in another availability zone, the second is from the zone of
// the VM.
func (p *Picker) Pick(tried []*Target) *Target { return p.pick(filter{tried: tried}) }

// PickReliable is Pick for requests that must not be executed twice. It avoids targets
// with a weight below MinReliableWeight while there are others, so that only requests that
// can be retried elsewhere are used to probe suspected backend servers.
func (p *Picker) PickReliable(tried []*Target) *Target {
	if t := p.pick(filter{tried: tried, minWeight: MinReliableWeight}); t != nil {
		return t
	}
	return p.Pick(tried)
}

// trialInterval is the time after which a doubtful target that this VM prefers gets a
// request as a trial. It is below 2 s, within which each sound backend server should get
// some, as a server that has recovered shows it only by a request.
const trialInterval = 1800 * time.Millisecond

// PickTrial returns a preferred target with a weight below MinReliableWeight that has had no
// attempt of this VM for trialInterval, or nil. Other VMs mostly leave it to this one. The
// request should be one that can be retried and that has time for it.
func (p *Picker) PickTrial(now time.Time) *Target {
	s := p.snapshot.Load()
	if s == nil {
		return nil
	}
	for _, t := range s.preferred {
		last := t.lastBegin.Load()
		if t.Weight() >= MinReliableWeight || t.capacity() <= 0 || !t.rate.Ready() || last != 0 && sinceEpoch(now)-last < int64(trialInterval) {
			continue
		}
		if t.lastBegin.CompareAndSwap(last, sinceEpoch(now)) {
			return t
		}
	}
	return nil
}

// maxHoldWait is the longest rest of a hold that is waited for. Callers of a service whose
// servers all want no requests are told at once when to come back.
const maxHoldWait = 100 * time.Millisecond

// RateWait returns the time until a target that only the bound of its rate excludes, or a hold
// that is about to end, may be picked. It reports false when there is no such target.
func (p *Picker) RateWait() (wait time.Duration, ok bool) {
	s := p.snapshot.Load()
	if s == nil {
		return 0, false
	}
	now := time.Now()
	for _, t := range s.all {
		left, returns := t.rate.Hold().Left(now)
		if t.capacity() <= 0 || !returns || left > maxHoldWait || !t.rate.Limited() && t.rate.Ready() {
			continue
		}
		if w := t.rate.Wait(); !ok || w < wait {
			wait, ok = w, true
		}
	}
	return wait, ok
}

// HoldLeft returns the time until the first target returns that has asked for no requests. It
// reports false when there is none, or one that gets requests.
func (p *Picker) HoldLeft(now time.Time) (left time.Duration, ok bool) {
	s := p.snapshot.Load()
	if s == nil {
		return 0, false
	}
	for _, t := range s.all {
		wait, returns := t.rate.Hold().Left(now)
		switch {
		case !returns || t.capacity() <= 0:
		case wait == 0:
			return 0, false
		case !ok || wait < left:
			left, ok = wait, true
		}
	}
	return left, ok
}

func (p *Picker) pick(f filter) *Target {
	s := p.snapshot.Load()
	if s == nil {
		return nil
	}
	r := sequence(mix(p.seed ^ mix(p.picks.Add(1))))
	if t := s.limitedWithRate(&r, f); t != nil {
		return t
	}
	if len(s.preferred) > 0 && r.float() >= unpreferredShare {
		if t := s.preferredWithCapacity(&r, f); t != nil {
			return t
		}
	}
	a := s.draw(&r, s.all, f)
	if a == nil {
		return nil
	}
	f.exclude = a
	b := p.drawSecond(s, &r, f)
	if b == nil {
		return a
	}
	return p.lessLoaded(a, b)
}

// limitedWithRate returns a target with a bounded rate that may get a request now, or nil. It
// comes before all others: this VM alone may use that part of the rate, which is lost when it
// stays unused, while the servers without a bound take over what the others no longer get.
func (s *snapshot) limitedWithRate(r *sequence, f filter) *Target {
	if !slices.ContainsFunc(s.all, func(t *Target) bool { return t.rate.Limited() }) {
		return nil
	}
	start := r.intn(len(s.all))
	for i := range s.all {
		t := s.all[(start+i)%len(s.all)]
		if t.rate.Limited() && f.allows(t) && r.float() < t.Weight() {
			return t
		}
	}
	return nil
}

// preferredWithCapacity returns the less loaded of two preferred targets, or nil when it
// has no capacity for one more request. A target with a reduced weight is drawn by its
// weight alone and not compared with a second one: it is idle because it gets few requests,
// so among the few preferred targets it would mostly win the comparison.
func (s *snapshot) preferredWithCapacity(r *sequence, f filter) *Target {
	a := s.drawPreferred(r, f)
	if a == nil {
		return nil
	}
	if a.Weight() >= MinReliableWeight {
		f.exclude = a
		if b := s.drawPreferred(r, f); b != nil && b.loadNext() < a.loadNext() {
			a = b
		}
	}
	if a.totalInflight() >= max(1, a.capacity()) {
		return nil
	}
	return a
}

// drawPreferred draws a preferred target with probability proportional to its weight.
// Unlike draw, it may return nil when all weights are low; pick then draws from all targets.
func (s *snapshot) drawPreferred(r *sequence, f filter) *Target {
	for range s.preferred {
		t := s.preferred[r.intn(len(s.preferred))]
		if f.allows(t) && r.float() < t.Weight() {
			return t
		}
	}
	return nil
}

// drawSecond draws the second candidate; f excludes the first.
func (p *Picker) drawSecond(s *snapshot, r *sequence, f filter) *Target {
	if f.exclude.zone != p.zone {
		if t := s.draw(r, s.local, f); t != nil {
			return t
		}
	}
	return s.draw(r, s.all, f)
}

// lessLoaded returns the less loaded of two candidates. Within a zone the first draw, a, wins
// a tie; across zones the target in the zone of the VM wins up to localZoneLoadFactor.
func (p *Picker) lessLoaded(a, b *Target) *Target {
	if (a.zone == p.zone) == (b.zone == p.zone) {
		if b.load() < a.load() {
			return b
		}
		return a
	}
	local, remote := a, b
	if b.zone == p.zone {
		local, remote = b, a
	}
	if local.loadNext() <= localZoneLoadFactor*remote.loadNext() {
		return local
	}
	return remote
}

// draw returns a target of the list with probability proportional to its capacity, or nil
// when f allows none.
func (s *snapshot) draw(r *sequence, list []*Target, f filter) *Target {
	if len(list) == 0 {
		return nil
	}
	for range maxDrawTries {
		t := list[r.intn(len(list))]
		if f.allows(t) && r.float()*float64(s.maxSlots) < t.capacity() {
			return t
		}
	}
	return scan(r, list, f)
}

// scan makes the same weighted choice as draw in time linear in the length of the list.
// Weights may change between its two passes, so the second returns the last allowed target
// when the sum runs out.
func scan(r *sequence, list []*Target, f filter) *Target {
	var total float64
	for _, t := range list {
		if f.allows(t) {
			total += t.capacity()
		}
	}
	remaining := r.float() * total
	var last *Target
	for _, t := range list {
		if !f.allows(t) {
			continue
		}
		last = t
		remaining -= t.capacity()
		if remaining < 0 {
			break
		}
	}
	return last
}

// filter restricts which targets a draw may return.
type filter struct {
	tried     []*Target
	exclude   *Target // One more target to exclude; may be nil.
	minWeight float64 // Lowest weight allowed.
}

// allows reports whether a draw may return t. A target with weight 0 or at the bound of its
// rate is never allowed.
func (f filter) allows(t *Target) bool {
	return t != f.exclude && t.capacity() > 0 && t.Weight() >= f.minWeight && t.rate.Ready() && !slices.Contains(f.tried, t)
}

// sequence is a SplitMix64 random number generator. Each pick has its own, which avoids
// the lock that a generator shared by goroutines would need.
type sequence uint64

const goldenGamma = 0x9e3779b97f4a7c15 // Increment of SplitMix64, derived from the golden ratio.

func (s *sequence) next() uint64 {
	*s += goldenGamma
	return mix(uint64(*s))
}

// intn returns a number in [0, n).
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
