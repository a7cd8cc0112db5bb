package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	reducedWeight      = 0.1
	trialWeight        = 0.05
	maxTrialWeight     = 0.1  // Weight after good exchanges of a trial.
	pathWeight         = 0.05 // Weight where only the path from this VM is suspected.
	coldWeight         = 0.05
	slowStartWeight    = 0.2
	usableWeight       = 0.5 // Minimum weight that counts towards the floor.
	slowStartTime      = 6 * time.Second
	peakScoreHalfLife  = 4 * time.Second
	ejectionHalfLife   = 2 * time.Minute
	maxEjection        = 5 * time.Minute
	sharedCauseShare   = 0.4 // Suspected servers above this share are a shared cause.
	sharedCauseBadRate = 0.2 // Likewise, the rate of bad exchanges of a typical server.
	sharedCauseHold    = 5 * time.Second
	suspicionHold      = 10 * time.Second
	zoneCauseShare     = 0.6              // Suspected servers of a zone from this share on are a cause in the zone.
	minRecentEjections = 0.5              // Decayed count of ejections that shortens a trial.
	maxProbeDelay      = 30 * time.Second // Longest delay of a trial by failing probes.
	failureGap         = 10 * time.Second
	pathTrialPasses    = 2 // Good exchanges that end the suspicion of a path.
	// maxFailureAge is the age beyond which bad exchanges do not justify an ejection.
	// An exchange that began during a stall can fail seconds after the server has recovered.
	maxFailureAge    = 3 * time.Second
	minTrialFailures = 3 // Bad exchanges of a trial that lead to an ejection.
	// peerReportHold is how long after the last report of any other VM an ejection needs
	// the confirmation of another VM. VMs that send no requests to the server do not
	// report on it.
	peerReportHold = 10 * time.Second
	minOrigins     = 2 // VMs that must observe failures before an ejection where there are peers.
)

// zoneStats sums up the servers of a zone.
type zoneStats struct {
	name           string
	servers        int
	suspects       int
	good, bad      float64 // Exchanges of this VM, without the worst servers.
	trimmedServers int
	pathSuspects   int   // Servers of which only the path from this VM is suspected.
	pathEvidence   cusum // Evidence of this VM against the path to the zone.
	stalledServers float64
	failingServers int // Servers that this VM has evidence against.
}

// rebuildZones rebuilds the zones from the servers and keeps the evidence against the
// path to each zone.
func (d *Detector) rebuildZones() {
	old := d.zones
	d.zones = make([]zoneStats, 0, len(old)+1)
	for _, r := range d.records {
		r.zoneIndex = d.zoneIndexOf(r.zone, old)
		d.zones[r.zoneIndex].servers++
	}
}

// zoneIndexOf returns the index of the zone and adds it if it is missing.
func (d *Detector) zoneIndexOf(name string, old []zoneStats) int {
	byName := func(z zoneStats) bool { return z.name == name }
	if i := slices.IndexFunc(d.zones, byName); i >= 0 {
		return i
	}
	z := zoneStats{name: name}
	if i := slices.IndexFunc(old, byName); i >= 0 {
		z.pathEvidence = old[i].pathEvidence
	}
	d.zones = append(d.zones, z)
	return len(d.zones) - 1
}

// Decide updates the states and returns a decision for each server, in the order of
// SetServers. The next call reuses the slice.
func (d *Detector) Decide(now time.Time) []Decision {
	d.refreshMedian(now)
	if d.policy.switching {
		for _, r := range d.records {
			d.decideSwitching(now, r)
		}
		return d.currentDecisions(now)
	}
	for _, r := range d.records {
		r.updateTally(now, d.policy.window)
	}
	d.baseline.setBadRate(d.badRate())
	shared := d.updateScores(now)
	for _, r := range d.records {
		d.advance(now, r, shared)
		r.setWeight(now)
	}
	d.enforceFloor(now)
	return d.currentDecisions(now)
}

// currentDecisions returns the current decisions without updating states.
func (d *Detector) currentDecisions(now time.Time) []Decision {
	d.decisions = d.decisions[:0]
	for _, r := range d.records {
		d.decisions = append(d.decisions, Decision{
			server: r.addr, state: r.state, weight: r.weight, peerInflight: r.peerInflight(now, d.baseline.median), reason: r.reason,
		})
	}
	return d.decisions
}

// updateTally sums up the evidence of all VMs about the server.
func (r *record) updateTally(now time.Time, window time.Duration) {
	r.statedCondition = r.condition(now)
	totals := r.total(now, window)
	t := tally{good: float64(totals.good), ownGood: float64(totals.good), ownBad: float64(totals.bad)}
	if r.stalled {
		t.ownBad++
	}
	t.bad = t.ownBad
	if t.ownBad > 0 {
		t.origins++
	}
	if now.Sub(r.lastReportAt) >= maxReportAge {
		r.tally = t
		return
	}
	fresh := now.Add(-maxReportAge)
	for i := range r.peerReports {
		pr := &r.peerReports[i]
		if !pr.gatheredAt.After(fresh) {
			continue
		}
		t.reporters++
		t.reportedGood += float64(pr.good)
		t.reportedBad += pr.reportedBad()
		if pr.reportedBad() > 0 {
			t.origins++
		}
	}
	t.good += t.reportedGood
	t.bad += t.reportedBad
	if t.reportedBad >= minOrigins && t.origins > minOrigins {
		r.pathOnly = false
	}
	r.tally = t
}

// updateScores computes the scores from the tallies, counts the suspected servers and
// reports whether a shared cause affects the service.
func (d *Detector) updateScores(now time.Time) bool {
	for i := range d.zones {
		d.zones[i].suspects, d.zones[i].pathSuspects = 0, 0
	}
	suspects, available := 0, 0
	for _, r := range d.records {
		pooled := r.tally.good*d.baseline.good + r.tally.bad*d.baseline.bad
		r.score = max(0, pooled)
		if r.peakScore > 0 {
			r.peakScore *= math.Exp2(-float64(now.Sub(r.peakScoreAt)) / float64(peakScoreHalfLife))
		}
		r.peakScore, r.peakScoreAt = max(r.score, r.peakScore), now
		if !r.available() {
			continue
		}
		if r.pathOnly {
			d.zones[r.zoneIndex].pathSuspects++
			continue
		}
		available++
		if r.suspected(now, d.policy) {
			suspects++
			d.zones[r.zoneIndex].suspects++
		}
	}
	return d.sharedCause(now, suspects, available)
}

// sharedCause reports whether most zones are affected, too many servers outside of
// affected zones are suspected, or a typical server of the service fails. It stays true
// for sharedCauseHold, since the evidence of a bad exchange weakens as soon as all
// servers fail alike.
func (d *Detector) sharedCause(now time.Time, suspects, available int) bool {
	affected := 0
	for i := range d.zones {
		if z := &d.zones[i]; d.zoneCause(i) {
			affected++
			suspects -= z.suspects
			available -= z.suspects
		}
	}
	mostZones := affected > 1 && 2*affected > len(d.zones)
	if mostZones || (suspects > 1 && float64(suspects) > sharedCauseShare*float64(available)) || d.baseline.badRate >= sharedCauseBadRate {
		d.sharedCauseAt = now
	}
	return !d.sharedCauseAt.IsZero() && now.Sub(d.sharedCauseAt) < sharedCauseHold
}

// suspected reports whether there is recent evidence against the server. A server that
// is only waiting to recover does not indicate a shared cause.
func (r *record) suspected(now time.Time, p Policy) bool {
	if r.score >= p.reduceEvidence {
		r.suspectedAt = now
	}
	restricted := r.state == Reduced || r.state == Trial || r.state == Ejected
	if restricted && r.failedAt.After(r.suspectedAt) {
		r.suspectedAt = r.failedAt
	}
	return !r.suspectedAt.IsZero() && now.Sub(r.suspectedAt) < suspicionHold
}

// zoneCause reports whether most servers of the zone are suspected, or the paths to
// them, while there are other zones.
func (d *Detector) zoneCause(zone int) bool {
	z := &d.zones[zone]
	return len(d.zones) > 1 && z.servers > 1 && float64(z.suspects+z.pathSuspects) >= zoneCauseShare*float64(z.servers)
}

// localFault reports whether other VMs have mostly good exchanges with a server with
// which this VM has bad ones.
func (r *record) localFault() bool {
	return r.tally.ownBad > 0 && r.tally.reporters >= minOrigins && r.tally.reportedGood >= 2 &&
		r.tally.reportedGood > 4*r.tally.reportedBad
}

// advance advances the state machine of one server.
func (d *Detector) advance(now time.Time, r *record, shared bool) {
	if r.applyStatedCondition(now) {
		return
	}
	switch r.state {
	case Healthy, Starting:
		d.stepServing(now, r, shared)
	case Reduced:
		d.stepReduced(now, r, shared)
	case Trial:
		d.stepTrial(now, r, shared)
	case Ejected:
		if !now.Before(r.ejectedUntil) && (!r.probeFailing || now.Sub(r.ejectedUntil) >= maxProbeDelay) {
			r.enter(now, Trial, "ejection over")
		}
	case Draining, Leaving:
		r.restart(now, "back in service")
	}
}

// applyStatedCondition applies the leaving mark of the release and the condition that the
// server states. It reports whether one of them determines the state.
func (r *record) applyStatedCondition(now time.Time) bool {
	switch {
	case r.leaving:
		if r.state != Leaving {
			r.enter(now, Leaving, "leaving by release")
		}
		return true
	case r.statedCondition == ConditionDraining:
		if r.state != Draining {
			r.enter(now, Draining, "refuses new work")
		}
		return true
	case r.statedCondition == ConditionCold:
		if r.state != Starting {
			r.enter(now, Starting, "cold")
		}
		r.stateSince, r.rampWeight, r.reason = now, coldWeight, "cold"
		return true
	default:
		return false
	}
}

// restart begins a slow start without the previous evidence of this VM.
func (r *record) restart(now time.Time, reason string) {
	r.enter(now, Starting, reason)
	r.rampWeight = slowStartWeight
	r.ownBad, r.peakScore = cusum{}, 0
}

// stepServing handles Healthy and Starting.
func (d *Detector) stepServing(now time.Time, r *record, shared bool) {
	switch {
	case shared:
	case r.score >= d.policy.reduceEvidence:
		r.enter(now, Reduced, "evidence of several VMs")
		r.suspectedAt = now
		return
	case d.pathCause(r):
		r.enter(now, Reduced, "path to the zone")
		r.suspectedAt = now
		r.pathOnly = r.tally.reportedBad == 0
		return
	case r.ownBad.valueAt(now)+d.stallEvidence(r) >= d.policy.reduceEvidence:
		localFault := r.localFault()
		r.enter(now, Reduced, "evidence of this VM")
		r.suspectedAt = now
		if localFault {
			r.enter(now, Trial, "bad from this VM only")
		}
		r.pathOnly = localFault
		return
	}
	if r.state == Starting && now.Sub(r.stateSince) >= slowStartTime {
		r.enter(now, Healthy, "")
		r.ejectionsDecayedAt = now
	}
	if r.state == Healthy {
		r.decayEjections(now)
	}
}

// pathCause reports whether the exchanges of this VM with all servers of the zone
// together are bad, and there was no good one with this server. It detects that the VM
// is cut off from a zone long before there is enough evidence against each server. Once
// the path to half of the servers of the zone is suspected, one bad exchange is enough.
// A single failing server is not enough to suspect the path.
func (d *Detector) pathCause(r *record) bool {
	z := &d.zones[r.zoneIndex]
	if len(d.zones) < 2 || r.tally.ownGood > 0 {
		return false
	}
	if r.tally.ownBad > 0 && z.pathSuspects > 1 && 2*z.pathSuspects >= z.servers {
		return true
	}
	if z.failingServers < max(2, (z.servers+2)/3) {
		return false
	}
	return z.pathEvidence.value+z.stalledServers*d.baseline.bad >= d.policy.reduceEvidence
}

// stallEvidence returns the evidence of a stalled in-flight request, in nats.
func (d *Detector) stallEvidence(r *record) float64 {
	if r.stalled {
		return d.baseline.bad
	}
	return 0
}

// decayEjections decays the count of ejections while the server is healthy.
func (r *record) decayEjections(now time.Time) {
	if r.recentEjections > 0 {
		r.recentEjections *= math.Exp2(-float64(now.Sub(r.ejectionsDecayedAt)) / float64(ejectionHalfLife))
	}
	r.ejectionsDecayedAt = now
}

// stepReduced handles Reduced.
func (d *Detector) stepReduced(now time.Time, r *record, shared bool) {
	switch {
	case now.Sub(r.stateSince) < d.policy.confirmTime:
	case shared:
		r.restart(now, "shared cause")
	case d.failureConfirmed(r, d.policy.trialPasses):
		r.enter(now, Trial, "fails with a reduced share")
	case r.recovered(d.policy):
		r.restart(now, "evidence has passed")
	case r.failuresExpired(now):
		r.restartCounts(now)
	}
}

// failureConfirmed reports whether the exchanges that began in the current state show
// that the server itself fails. A server that was only overloaded recovers with the
// reduced share, so earlier exchanges do not count.
func (d *Detector) failureConfirmed(r *record, minFailures int) bool {
	if d.zoneCause(r.zoneIndex) || r.localFault() {
		return false
	}
	if r.tally.reporters > 0 && r.failureObservers(time.Time{}) < minOrigins {
		return false
	}
	return r.failed >= minFailures && r.failed > 2*r.passed
}

// trialFailed reports whether a trial ends with an ejection: its newest exchange was bad
// and, where there are peers, minOrigins VMs observed bad exchanges.
func (d *Detector) trialFailed(now time.Time, r *record) bool {
	if !d.failureConfirmed(r, minTrialFailures) || !r.failedAt.After(r.passedAt) || now.Sub(r.failedAt) >= maxFailureAge {
		return false
	}
	noPeers := now.Sub(d.lastReportAt) >= peerReportHold
	return noPeers || r.failureObservers(now.Add(-maxFailureAge)) >= minOrigins
}

// recovered reports whether enough exchanges of the current state were good.
func (r *record) recovered(p Policy) bool {
	required := p.trialPasses
	if r.pathOnly {
		required = pathTrialPasses
	}
	return r.passed >= required+2*r.failed && !r.stalled
}

// stepTrial handles Trial. Before an ejection it waits for longer than a few long
// requests can occupy all slots of a healthy server. The share is small during a trial,
// so the wait costs few requests. A server with a recent ejection is known to be
// unhealthy, so the wait is shorter.
func (d *Detector) stepTrial(now time.Time, r *record, shared bool) {
	wait := d.policy.trialTime
	if r.recentEjections >= minRecentEjections {
		wait = d.policy.confirmTime
	}
	switch {
	case shared:
		r.enter(now, Trial, "shared cause")
	case r.recovered(d.policy):
		r.restart(now, "trial passed")
	case now.Sub(r.stateSince) < wait:
	case d.trialFailed(now, r):
		d.eject(now, r)
	case r.failuresExpired(now):
		r.restartCounts(now)
	}
}

// eject starts an ejection, whose duration doubles with each recent one up to
// maxEjection.
func (d *Detector) eject(now time.Time, r *record) {
	duration := float64(d.policy.firstEjection) * math.Exp2(r.recentEjections)
	r.ejectedUntil = now.Add(time.Duration(min(duration, float64(maxEjection))))
	r.recentEjections++
	r.ejectionsDecayedAt = now
	r.enter(now, Ejected, "evidence holds")
}

// setWeight sets the weight for the state.
func (r *record) setWeight(now time.Time) {
	switch r.state {
	case Healthy:
		r.weight = 1
	case Reduced:
		r.weight = reducedWeight
		if r.pathOnly {
			r.weight = pathWeight
		}
	case Trial:
		r.weight = r.weightInTrial()
	case Starting:
		progress := min(1, float64(now.Sub(r.stateSince))/float64(slowStartTime))
		r.weight = r.rampWeight + (1-r.rampWeight)*progress
	default:
		r.weight = 0
	}
}

// weightInTrial returns the weight in Trial. It grows with good exchanges, so that a
// recovered server is detected soon. Where only the path from this VM is suspected, it
// is constant, since the few requests that fail put no load on the server.
func (r *record) weightInTrial() float64 {
	if r.pathOnly {
		return pathWeight
	}
	if r.failed > 0 {
		return trialWeight
	}
	return min(maxTrialWeight, trialWeight*float64(1+r.passed))
}

// enforceFloor raises the weight of the least suspected servers until the number of
// usable servers reaches the floor. Servers that are draining, cold or leaving are not
// raised.
func (d *Detector) enforceFloor(now time.Time) {
	usable := 0
	d.order = d.order[:0]
	for i, r := range d.records {
		if !r.available() {
			continue
		}
		if r.weight >= usableWeight {
			usable++
			continue
		}
		d.order = append(d.order, i)
	}
	missing := d.floor - usable
	if missing <= 0 {
		return
	}
	slices.SortStableFunc(d.order, func(a, b int) int {
		x, y := d.records[a], d.records[b]
		if x.state != y.state {
			return x.raiseOrder() - y.raiseOrder()
		}
		return cmp.Compare(x.peakScore, y.peakScore)
	})
	for _, i := range d.order[:min(missing, len(d.order))] {
		r := d.records[i]
		r.weight = usableWeight
		if r.state == Ejected {
			r.enter(now, Reduced, "kept for the floor")
		}
	}
}

// raiseOrder returns the position of the state in the order in which enforceFloor raises
// servers.
func (r *record) raiseOrder() int {
	switch r.state {
	case Starting:
		return 0
	case Reduced:
		return 1
	case Trial:
		return 2
	default:
		return 3
	}
}
