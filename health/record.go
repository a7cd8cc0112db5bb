package health

import (
	"math"
	"time"
)

const (
	mismatchWeight = 2 // Bad exchanges that one mismatch counts as.
	maxCount       = 64
	bucketCount    = 4
	ownHalfLife    = 15 * time.Second
	learnStep      = 0.15 // Step of the median estimate, natural log.
	drainHold      = 60 * time.Second
	coldHold       = 1500 * time.Millisecond
)

// bucket counts the exchanges of a quarter of the window.
type bucket struct {
	slot        int64
	good        uint32
	bad         uint32
	unreachable uint32
}

// record is what a group knows about one server.
type record struct {
	Server
	zoneIndex int

	// Evidence of this VM.
	buckets   [bucketCount + 1]bucket
	own       sum
	stalled   bool
	stallFrom time.Time
	typical   float64 // Estimated median, natural log of seconds.
	seen      int

	// Exchanges that began in the current state.
	passed   int
	failed   int
	passedAt time.Time
	failedAt time.Time
	failFrom time.Time // Start of the current run of failures.
	ownFail  failure   // Last of the failed exchanges that this VM saw.
	mine     bool      // Only the exchanges of this VM count: the cause is on its path.

	// What the server states about itself, and probes.
	drainAt     time.Time
	stated      Condition // As of the last decision.
	backAt      time.Time // A new process answers since then.
	coldAt      time.Time
	probeFails  bool
	probeFailAt time.Time

	words   []word // Reports of other VMs, by origin.
	heardAt time.Time

	// With a switching policy.
	fleet     belief    // From the exchanges of all VMs.
	path      belief    // From those of this VM.
	news      Event     // What other VMs have not been told.
	heard     flow      // Exchanges that other VMs ended.
	stallSeen time.Time // Start of the last request in flight that counted.

	// Decision.
	tally     tally
	score     float64 // Evidence of all VMs, in nats.
	level     float64 // Highest recent score; decays.
	levelAt   time.Time
	suspectAt time.Time // Last evidence against the server.
	state     State
	since     time.Time
	until     time.Time // End of an ejection.
	flaps     float64   // Ejections, decaying while the server is healthy.
	flapsAt   time.Time
	ramp      float64 // Weight at the start of a slow start.
	weight    float64
	reason    string
}

// sum is a cumulative sum of evidence in nats that never falls below 0, after
// Page, Continuous Inspection Schemes, Biometrika 1954. It decays, so that old
// evidence is forgotten where there is little traffic.
type sum struct {
	value   float64
	changed time.Time
}

func (s *sum) at(now time.Time) float64 {
	if s.value > 0 {
		s.value *= math.Exp2(-float64(now.Sub(s.changed)) / float64(ownHalfLife))
	}
	s.changed = now
	return s.value
}

func (s *sum) add(now time.Time, evidence float64) { s.value = max(0, s.at(now)+evidence) }

// tally is the evidence of a window.
type tally struct {
	good    float64
	bad     float64
	origins int     // VMs that hold something against the server.
	others  float64 // Good exchanges that other VMs report.
	against float64 // Bad exchanges and stalls that other VMs report.
	voices  int     // Other VMs with a fresh report.
	ownGood float64 // Good exchanges of this VM.
	own     float64 // Bad exchanges and stalls of this VM.
}

func (r *record) bucket(now time.Time, window time.Duration) *bucket {
	slot := now.UnixNano() / (int64(window) / bucketCount)
	b := &r.buckets[slot%int64(len(r.buckets))]
	if b.slot != slot {
		*b = bucket{slot: slot}
	}
	return b
}

// total returns the exchanges of the window.
func (r *record) total(now time.Time, window time.Duration) bucket {
	slot := now.UnixNano() / (int64(window) / bucketCount)
	var out bucket
	for i := range r.buckets {
		b := &r.buckets[i]
		if b.slot <= slot-bucketCount || b.slot > slot {
			continue
		}
		out.good += b.good
		out.bad += b.bad
		out.unreachable += b.unreachable
	}
	return out
}

// learn moves the median estimate by a fixed step towards the sample, so one
// extreme sample moves it no more than any other.
func (r *record) learn(took time.Duration) {
	x := math.Log(max(took.Seconds(), 1e-6))
	if r.seen == 0 {
		r.typical = x
	}
	r.seen++
	step := learnStep
	if r.seen < 16 {
		step *= 2
	}
	if x > r.typical {
		r.typical += step
	} else {
		r.typical -= step
	}
}

func (r *record) median() time.Duration {
	if r.seen == 0 {
		return 0
	}
	return time.Duration(math.Exp(r.typical) * float64(time.Second))
}

func (r *record) drains(at time.Time) {
	if at.After(r.drainAt) {
		r.drainAt = at
	}
}

func (r *record) condition(now time.Time) Condition {
	switch {
	case r.drainAt.After(r.backAt) && now.Sub(r.drainAt) < drainHold:
		return ConditionDraining
	case !r.coldAt.IsZero() && now.Sub(r.coldAt) < coldHold:
		return ConditionCold
	default:
		return ConditionNormal
	}
}

// capacity reports whether the server may count towards the floor.
func (r *record) capacity() bool { return !r.leaving && r.stated == ConditionNormal }

func (r *record) enter(now time.Time, s State, reason string) {
	r.state, r.since, r.reason = s, now, reason
	r.passedAt, r.failedAt, r.failFrom = time.Time{}, time.Time{}, time.Time{}
	r.passed, r.failed, r.ownFail, r.mine = 0, 0, failure{}, false
}

// fail counts failures that began in the current state. A gap starts a new run:
// natural failures of different times do not add up to an ejection.
func (r *record) fail(at time.Time, n int) {
	if at.Sub(r.failedAt) > failureGap {
		r.failed, r.ownFail, r.failFrom = 0, failure{}, at
	}
	r.failed += n
	if at.After(r.failedAt) {
		r.failedAt = at
	}
	if at.Before(r.failFrom) {
		r.failFrom = at
	}
}

// failuresAreOld reports whether failures of the current state are too old to
// stand against a return. Good exchanges are kept without them, so that a
// server of a service with few requests returns as well.
func (r *record) failuresAreOld(now time.Time) bool {
	return r.failed > 0 && now.Sub(r.failedAt) >= failureGap
}

// recount starts the count of exchanges anew, so that a long state ends on
// recent ones.
func (r *record) recount(now time.Time) {
	mine := r.mine
	r.enter(now, r.state, r.reason)
	r.mine = mine
}
