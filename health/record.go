package health

import (
	"math"
	"time"
)

const (
	mismatchCount    = 2  // Bad exchanges that one mismatched response counts as.
	maxReportCount   = 64 // Limit of each counter in a report.
	bucketCount      = 4
	evidenceHalfLife = 15 * time.Second
	medianStep       = 0.15 // Step of the median estimate, natural log of seconds.
	drainingHold     = 60 * time.Second
	coldHold         = 1500 * time.Millisecond
)

// bucket counts the exchanges of a quarter of the window.
type bucket struct {
	slot        int64
	good        uint32
	bad         uint32
	unreachable uint32
}

// record is the evidence and state of one server.
type record struct {
	Server
	zoneIndex int

	// Evidence of this VM.
	buckets     [bucketCount + 1]bucket
	ownBad      cusum
	stalled     bool
	stallStart  time.Time
	logMedian   float64 // Estimated median, natural log of seconds.
	sampleCount int

	// Exchanges that began in the current state.
	passed       int
	failed       int
	passedAt     time.Time
	failedAt     time.Time
	failingSince time.Time   // Start of the current run of failures.
	ownFailure   failureSpan // Last bad exchange of this VM.
	pathOnly     bool        // Only the path from this VM is suspected, so only its exchanges count.

	// Refusals of the server, and probes.
	drainingAt      time.Time
	statedCondition Condition // Condition as of the last decision.
	restartedAt     time.Time // When probes showed that the server had been restarted.
	coldAt          time.Time
	probeFailing    bool
	probeFailedAt   time.Time

	peerReports  []peerReport // One for each origin.
	lastReportAt time.Time

	// With a switching policy.
	serverBelief      belief        // From the exchanges of all VMs.
	pathBelief        belief        // From the exchanges of this VM.
	pendingEvent      Event         // Exchanges not yet sent to other VMs.
	peerExchanges     decayingCount // Good exchanges of other VMs.
	countedStallStart time.Time     // Start of the last stalled request that was counted.

	// Decision.
	tally              tally
	score              float64 // Evidence of all VMs, in nats.
	peakScore          float64 // Highest recent score, decaying.
	peakScoreAt        time.Time
	suspectedAt        time.Time // Last time with evidence against the server.
	state              State
	stateSince         time.Time
	ejectedUntil       time.Time // End of an ejection.
	recentEjections    float64   // Number of ejections, decaying while the server is healthy.
	ejectionsDecayedAt time.Time
	rampWeight         float64 // Weight at the beginning of the slow start.
	weight             float64
	reason             string
}

// cusum is a cumulative sum of evidence in nats that never falls below 0, after
// Page, Continuous Inspection Schemes, Biometrika 1954. It decays, so that old
// evidence expires where there is little traffic.
type cusum struct {
	value     float64
	updatedAt time.Time
}

func (s *cusum) valueAt(now time.Time) float64 {
	if s.value > 0 {
		s.value *= math.Exp2(-float64(now.Sub(s.updatedAt)) / float64(evidenceHalfLife))
	}
	s.updatedAt = now
	return s.value
}

func (s *cusum) add(now time.Time, evidence float64) { s.value = max(0, s.valueAt(now)+evidence) }

// tally sums up the evidence about a server within the window.
type tally struct {
	good         float64
	bad          float64
	origins      int     // VMs, including this one, with bad exchanges or stalls.
	reportedGood float64 // Good exchanges that other VMs report.
	reportedBad  float64 // Bad exchanges and stalls that other VMs report, capped for each VM.
	reporters    int     // Other VMs with a recent report.
	ownGood      float64 // Good exchanges of this VM.
	ownBad       float64 // Bad exchanges and stalls of this VM.
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

// addLatency moves the median estimate by a fixed step towards the sample, so that an
// outlier moves it no further than any other sample.
func (r *record) addLatency(took time.Duration) {
	logTook := math.Log(max(took.Seconds(), 1e-6))
	if r.sampleCount == 0 {
		r.logMedian = logTook
	}
	r.sampleCount++
	step := medianStep
	if r.sampleCount < 16 {
		step *= 2
	}
	if logTook > r.logMedian {
		r.logMedian += step
	} else {
		r.logMedian -= step
	}
}

func (r *record) median() time.Duration {
	if r.sampleCount == 0 {
		return 0
	}
	return time.Duration(math.Exp(r.logMedian) * float64(time.Second))
}

// markDraining records that the server refused a request as draining at the given time.
func (r *record) markDraining(at time.Time) {
	if at.After(r.drainingAt) {
		r.drainingAt = at
	}
}

// condition returns the condition at now; refusals expire.
func (r *record) condition(now time.Time) Condition {
	switch {
	case r.drainingAt.After(r.restartedAt) && now.Sub(r.drainingAt) < drainingHold:
		return ConditionDraining
	case !r.coldAt.IsZero() && now.Sub(r.coldAt) < coldHold:
		return ConditionCold
	default:
		return ConditionNormal
	}
}

// available reports whether the server may count towards the floor.
func (r *record) available() bool { return !r.leaving && r.statedCondition == ConditionNormal }

// enter changes the state and resets the counts of the state.
func (r *record) enter(now time.Time, s State, reason string) {
	r.state, r.stateSince, r.reason = s, now, reason
	r.passedAt, r.failedAt, r.failingSince = time.Time{}, time.Time{}, time.Time{}
	r.passed, r.failed, r.ownFailure, r.pathOnly = 0, 0, failureSpan{}, false
}

// addFailures counts bad exchanges that began in the current state. After failureGap
// without any, counting starts again, so that unrelated sporadic failures do not add up
// to an ejection.
func (r *record) addFailures(at time.Time, n int) {
	if at.Sub(r.failedAt) > failureGap {
		r.failed, r.ownFailure, r.failingSince = 0, failureSpan{}, at
	}
	r.failed += n
	if at.After(r.failedAt) {
		r.failedAt = at
	}
	if at.Before(r.failingSince) {
		r.failingSince = at
	}
}

// failuresExpired reports whether the failures of the current state are too old to
// prevent recovery. Without failures the count of good exchanges is kept, so that the
// server also recovers in a service with few requests.
func (r *record) failuresExpired(now time.Time) bool {
	return r.failed > 0 && now.Sub(r.failedAt) >= failureGap
}

// restartCounts resets the counts of the current state, so that only recent exchanges
// decide on leaving a state that lasts long.
func (r *record) restartCounts(now time.Time) {
	pathOnly := r.pathOnly
	r.enter(now, r.state, r.reason)
	r.pathOnly = pathOnly
}
