package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	reducedWeight  = 0.1
	trialWeight    = 0.05
	trialMost      = 0.1  // Share after good exchanges of a trial.
	pathWeight     = 0.05 // Share where only the path from this VM is suspected.
	coldWeight     = 0.05
	startWeight    = 0.2
	usableWeight   = 0.5 // Least weight that counts towards the floor.
	rampTime       = 6 * time.Second
	levelHalfLife  = 4 * time.Second
	flapHalfLife   = 2 * time.Minute
	ejectionMost   = 5 * time.Minute
	sharedShare    = 0.4 // Suspects above this share of the servers are a shared cause.
	sharedRate     = 0.2 // Share of bad exchanges of the typical server, likewise.
	sharedHold     = 5 * time.Second
	suspectHold    = 10 * time.Second
	zoneShare      = 0.6              // The same within one zone.
	recentEjection = 0.5              // Decayed count of ejections.
	probeTrust     = 30 * time.Second // A failing probe delays a trial by this at most.
	failureGap     = 10 * time.Second
	pathPasses     = 2 // Good exchanges that clear a suspected path.
	// failureAge is the age of exchanges whose failure justifies no ejection any more.
	// An exchange that began in a stall can fail seconds after the server works again.
	failureAge      = 3 * time.Second
	retrialFailures = 3 // Failed exchanges of a trial that end it.
	// peersHold is how long after the last report of any VM this one counts on others to
	// confirm an ejection. Those that send no request to the server report nothing on it.
	peersHold  = 10 * time.Second
	twoOrigins = 2 // VMs that must agree on an ejection where there are peers.
)

// zoneCount counts the servers of a zone.
type zoneCount struct {
	name      string
	servers   int
	suspects  int
	good, bad float64 // Exchanges, without the worst servers.
	trimmed   int
	paths     int // Servers to which only the path from this VM is suspected.
	path      sum // Evidence of this VM against the zone.
	stalls    float64
	failing   int // Servers that this VM has evidence against.
}

// countZones counts the servers of each zone. The evidence on the path to a
// zone stays.
func (g *Detector) countZones() {
	old := g.zones
	g.zones = make([]zoneCount, 0, len(old)+1)
	for _, r := range g.records {
		r.zoneIndex = g.zoneOf(r.zone, old)
		g.zones[r.zoneIndex].servers++
	}
}

func (g *Detector) zoneOf(name string, old []zoneCount) int {
	byName := func(z zoneCount) bool { return z.name == name }
	if i := slices.IndexFunc(g.zones, byName); i >= 0 {
		return i
	}
	z := zoneCount{name: name}
	if i := slices.IndexFunc(old, byName); i >= 0 {
		z.path = old[i].path
	}
	g.zones = append(g.zones, z)
	return len(g.zones) - 1
}

// Decide returns a decision for each server, in the order of Set. The slice is
// reused by the next call.
func (g *Detector) Decide(now time.Time) []Decision {
	g.refresh(now)
	if g.policy.switching {
		for _, r := range g.records {
			g.decideSwitching(now, r)
		}
		return g.decided(now)
	}
	for _, r := range g.records {
		r.count(now, g.policy.window)
	}
	g.base.weigh(g.rate())
	shared := g.judge(now)
	for _, r := range g.records {
		g.step(now, r, shared)
		r.setWeight(now)
	}
	g.keepFloor(now)
	return g.decided(now)
}

// decided returns the decisions as they stand.
func (g *Detector) decided(now time.Time) []Decision {
	g.decisions = g.decisions[:0]
	for _, r := range g.records {
		g.decisions = append(g.decisions, Decision{
			server: r.addr, state: r.state, weight: r.weight, others: r.others(now, g.base.median), reason: r.reason,
		})
	}
	return g.decisions
}

// count sums up the evidence of all VMs about the server.
func (r *record) count(now time.Time, window time.Duration) {
	r.stated = r.condition(now)
	sum := r.total(now, window)
	t := tally{good: float64(sum.good), ownGood: float64(sum.good), own: float64(sum.bad)}
	if r.stalled {
		t.own++
	}
	t.bad = t.own
	if t.own > 0 {
		t.origins++
	}
	if now.Sub(r.heardAt) >= wordAge {
		r.tally = t
		return
	}
	fresh := now.Add(-wordAge)
	for i := range r.words {
		w := &r.words[i]
		if !w.at.After(fresh) {
			continue
		}
		t.voices++
		t.others += float64(w.good)
		t.against += w.against()
		if w.against() > 0 {
			t.origins++
		}
	}
	t.good += t.others
	t.bad += t.against
	if t.against >= twoOrigins && t.origins > twoOrigins {
		r.mine = false
	}
	r.tally = t
}

// judge turns the tallies into scores and reports whether a shared cause
// affects the service.
func (g *Detector) judge(now time.Time) bool {
	for i := range g.zones {
		g.zones[i].suspects, g.zones[i].paths = 0, 0
	}
	suspects, capacity := 0, 0
	for _, r := range g.records {
		pooled := r.tally.good*g.base.good + r.tally.bad*g.base.bad
		r.score = max(0, pooled)
		if r.level > 0 {
			r.level *= math.Exp2(-float64(now.Sub(r.levelAt)) / float64(levelHalfLife))
		}
		r.level, r.levelAt = max(r.score, r.level), now
		if !r.capacity() {
			continue
		}
		if r.mine {
			g.zones[r.zoneIndex].paths++
			continue
		}
		capacity++
		if r.suspect(now, g.policy) {
			suspects++
			g.zones[r.zoneIndex].suspects++
		}
	}
	return g.sharedCause(now, suspects, capacity)
}

// sharedCause reports whether most servers outside of affected zones are
// suspects, or the typical server of the service fails. It holds for a while,
// since the weight of evidence falls as soon as all servers fail alike.
func (g *Detector) sharedCause(now time.Time, suspects, capacity int) bool {
	affected := 0
	for i := range g.zones {
		if z := &g.zones[i]; g.zoneCause(i) {
			affected++
			suspects -= z.suspects
			capacity -= z.suspects
		}
	}
	most := affected > 1 && 2*affected > len(g.zones)
	if most || (suspects > 1 && float64(suspects) > sharedShare*float64(capacity)) || g.base.rate >= sharedRate {
		g.sharedAt = now
	}
	return !g.sharedAt.IsZero() && now.Sub(g.sharedAt) < sharedHold
}

// suspect reports whether evidence against the server is recent. A server that
// only waits for its return is no sign of a shared cause.
func (r *record) suspect(now time.Time, p Policy) bool {
	if r.score >= p.reduce {
		r.suspectAt = now
	}
	low := r.state == Reduced || r.state == Trial || r.state == Ejected
	if low && r.failedAt.After(r.suspectAt) {
		r.suspectAt = r.failedAt
	}
	return !r.suspectAt.IsZero() && now.Sub(r.suspectAt) < suspectHold
}

// zoneCause reports whether most servers of the zone are suspects while there
// are other zones.
func (g *Detector) zoneCause(zone int) bool {
	z := &g.zones[zone]
	return len(g.zones) > 1 && z.servers > 1 && float64(z.suspects+z.paths) >= zoneShare*float64(z.servers)
}

// local reports whether other VMs exchange well with a server that this VM
// finds bad.
func (r *record) local() bool {
	return r.tally.own > 0 && r.tally.voices >= twoOrigins && r.tally.others >= 2 &&
		r.tally.others > 4*r.tally.against
}

// step moves the state machine of one server.
func (g *Detector) step(now time.Time, r *record, shared bool) {
	if r.settled(now) {
		return
	}
	switch r.state {
	case Healthy, Starting:
		g.stepUp(now, r, shared)
	case Reduced:
		g.stepReduced(now, r, shared)
	case Trial:
		g.stepTrial(now, r, shared)
	case Ejected:
		if !now.Before(r.until) && (!r.probeFails || now.Sub(r.until) >= probeTrust) {
			r.enter(now, Trial, "ejection over")
		}
	case Draining, Leaving:
		r.restart(now, "back in service")
	}
}

// settled handles what the server or the release says about the server itself.
// It reports whether that settles the decision.
func (r *record) settled(now time.Time) bool {
	switch {
	case r.leaving:
		if r.state != Leaving {
			r.enter(now, Leaving, "leaving by release")
		}
		return true
	case r.stated == ConditionDraining:
		if r.state != Draining {
			r.enter(now, Draining, "refuses new work")
		}
		return true
	case r.stated == ConditionCold:
		if r.state != Starting {
			r.enter(now, Starting, "cold")
		}
		r.since, r.ramp, r.reason = now, coldWeight, "cold"
		return true
	default:
		return false
	}
}

func (r *record) restart(now time.Time, reason string) {
	r.enter(now, Starting, reason)
	r.ramp = startWeight
	r.own, r.level = sum{}, 0
}

func (g *Detector) stepUp(now time.Time, r *record, shared bool) {
	switch {
	case shared:
	case r.score >= g.policy.reduce:
		r.enter(now, Reduced, "evidence of several VMs")
		r.suspectAt = now
		return
	case g.pathCause(r):
		r.enter(now, Reduced, "path to the zone")
		r.suspectAt = now
		r.mine = r.tally.against == 0
		return
	case r.own.at(now)+g.stallEvidence(r) >= g.policy.reduce:
		local := r.local()
		r.enter(now, Reduced, "evidence of this VM")
		r.suspectAt = now
		if local {
			r.enter(now, Trial, "bad from this VM only")
		}
		r.mine = local
		return
	}
	if r.state == Starting && now.Sub(r.since) >= rampTime {
		r.enter(now, Healthy, "")
		r.flapsAt = now
	}
	if r.state == Healthy {
		r.calm(now)
	}
}

// pathCause reports whether the exchanges of this VM with all servers of the
// zone together are bad, and this server gave no good one. A VM that is cut off
// from a zone sees this long before it has enough evidence on each server. Once
// the path to half of the zone is suspected, one bad exchange is enough. One
// failing server is no reason to suspect the path.
func (g *Detector) pathCause(r *record) bool {
	z := &g.zones[r.zoneIndex]
	if len(g.zones) < 2 || r.tally.ownGood > 0 {
		return false
	}
	if r.tally.own > 0 && z.paths > 1 && 2*z.paths >= z.servers {
		return true
	}
	if z.failing < max(2, (z.servers+2)/3) {
		return false
	}
	return z.path.value+z.stalls*g.base.bad >= g.policy.reduce
}

func (g *Detector) stallEvidence(r *record) float64 {
	if r.stalled {
		return g.base.bad
	}
	return 0
}

// calm lets the count of ejections decay while the server is healthy.
func (r *record) calm(now time.Time) {
	if r.flaps > 0 {
		r.flaps *= math.Exp2(-float64(now.Sub(r.flapsAt)) / float64(flapHalfLife))
	}
	r.flapsAt = now
}

func (g *Detector) stepReduced(now time.Time, r *record, shared bool) {
	switch {
	case now.Sub(r.since) < g.policy.confirm:
	case shared:
		r.restart(now, "shared cause")
	case g.failing(r, g.policy.passes):
		r.enter(now, Trial, "fails with a reduced share")
	case r.returns(g.policy):
		r.restart(now, "evidence has passed")
	case r.failuresAreOld(now):
		r.recount(now)
	}
}

// failing reports whether the exchanges that began in the current state speak
// for an ejection. A server that was only busy recovers with the reduced share,
// so earlier exchanges do not count.
func (g *Detector) failing(r *record, least int) bool {
	if g.zoneCause(r.zoneIndex) || r.local() {
		return false
	}
	if r.tally.voices > 0 && r.witnesses(time.Time{}) < twoOrigins {
		return false
	}
	return r.failed >= least && r.failed > 2*r.passed
}

// stillFailing reports whether a trial ends with an ejection: its newest exchanges
// failed, and where there are peers two VMs saw it.
func (g *Detector) stillFailing(now time.Time, r *record) bool {
	if !g.failing(r, retrialFailures) || !r.failedAt.After(r.passedAt) || now.Sub(r.failedAt) >= failureAge {
		return false
	}
	alone := now.Sub(g.heardAt) >= peersHold
	return alone || r.witnesses(now.Add(-failureAge)) >= twoOrigins
}

// returns reports whether enough exchanges of the current state were good.
func (r *record) returns(p Policy) bool {
	need := p.passes
	if r.mine {
		need = pathPasses
	}
	return r.passed >= need+2*r.failed && !r.stalled
}

// stepTrial waits before an ejection for longer than a few long requests can
// block all slots of a healthy server. A trial has little share already, so the
// wait costs few requests. A server that has been ejected before is known to be
// unhealthy and waits for less.
func (g *Detector) stepTrial(now time.Time, r *record, shared bool) {
	wait := g.policy.trial
	if r.flaps >= recentEjection {
		wait = g.policy.confirm
	}
	switch {
	case shared:
		r.enter(now, Trial, "shared cause")
	case r.returns(g.policy):
		r.restart(now, "trial passed")
	case now.Sub(r.since) < wait:
	case g.stillFailing(now, r):
		g.eject(now, r)
	case r.failuresAreOld(now):
		r.recount(now)
	}
}

// eject starts an ejection that doubles with each recent one.
func (g *Detector) eject(now time.Time, r *record) {
	span := float64(g.policy.base) * math.Exp2(r.flaps)
	r.until = now.Add(time.Duration(min(span, float64(ejectionMost))))
	r.flaps++
	r.flapsAt = now
	r.enter(now, Ejected, "evidence holds")
}

func (r *record) setWeight(now time.Time) {
	switch r.state {
	case Healthy:
		r.weight = 1
	case Reduced:
		r.weight = reducedWeight
		if r.mine {
			r.weight = pathWeight
		}
	case Trial:
		r.weight = r.trialShare()
	case Starting:
		part := min(1, float64(now.Sub(r.since))/float64(rampTime))
		r.weight = r.ramp + (1-r.ramp)*part
	default:
		r.weight = 0
	}
}

// trialShare grows with good exchanges, so that a server that has recovered is
// known soon. Where only the path from this VM is suspected, few requests come
// by and a failure is no load on the server.
func (r *record) trialShare() float64 {
	if r.mine {
		return pathWeight
	}
	if r.failed > 0 {
		return trialWeight
	}
	return min(trialMost, trialWeight*float64(1+r.passed))
}

// keepFloor raises the least suspect servers until as many as the floor asks
// for are usable. Servers that are draining, cold or leaving have no capacity.
func (g *Detector) keepFloor(now time.Time) {
	usable := 0
	g.order = g.order[:0]
	for i, r := range g.records {
		if !r.capacity() {
			continue
		}
		if r.weight >= usableWeight {
			usable++
			continue
		}
		g.order = append(g.order, i)
	}
	need := g.floor - usable
	if need <= 0 {
		return
	}
	slices.SortStableFunc(g.order, func(a, b int) int {
		x, y := g.records[a], g.records[b]
		if x.state != y.state {
			return x.rank() - y.rank()
		}
		return cmp.Compare(x.level, y.level)
	})
	for _, i := range g.order[:min(need, len(g.order))] {
		r := g.records[i]
		r.weight = usableWeight
		if r.state == Ejected {
			r.enter(now, Reduced, "kept for the floor")
		}
	}
}

// rank orders states from the one to be raised first.
func (r *record) rank() int {
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
