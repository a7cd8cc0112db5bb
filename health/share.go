package health

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	maxOrigins        = 32 // Reports of other VMs kept for each server.
	maxOwnReports     = 16 // Reports of this VM in one heartbeat.
	maxRelayedReports = 24 // Relayed reports in one heartbeat.
	maxReportAge      = 1500 * time.Millisecond
	maxOriginBad      = 3 // Cap on the bad exchanges and stalls of one report.
)

// peerReport is the newest report of one origin about one server.
type peerReport struct {
	origin       uint64
	gatheredAt   time.Time   // When the evidence was gathered.
	countedUntil time.Time   // End of the last window whose exchanges were added to the counts of a state.
	failed       failureSpan // Last window so counted with bad exchanges.
	Report
}

// reportedBad returns the number of bad exchanges and stalls, capped so that one VM alone
// cannot cause an ejection on other VMs.
func (r Report) reportedBad() float64 {
	return float64(min(r.bad+r.stalled, maxOriginBad))
}

// MergeReports adds reports of other VMs, including relayed ones. from identifies the
// sender and replaces the origin of a report that has none. Reports of this VM are
// ignored; one of another VM on an unknown server only shows that there are peers.
func (d *Detector) MergeReports(now time.Time, from string, reports []Report) {
	for _, rep := range reports {
		if rep.origin != d.origin {
			d.lastReportAt = now
		}
		r := d.record(rep.server)
		if r == nil || (rep.origin != 0 && rep.origin == d.origin) {
			continue
		}
		if rep.origin == 0 {
			rep.origin = originOf(from)
		}
		gatheredAt := now.Add(-rep.age)
		switch rep.condition {
		case ConditionDraining:
			r.markDraining(gatheredAt)
		case ConditionCold:
			if gatheredAt.After(r.coldAt) {
				r.coldAt = gatheredAt
			}
		case ConditionNormal:
		}
		if rep.good+rep.bad+rep.stalled+rep.unreachable > 0 && rep.age < maxReportAge {
			r.mergeReport(gatheredAt, rep, d.policy.window)
		}
	}
}

// mergeReport stores the report unless a newer one of the same origin is known. Its
// exchanges are added to the counts of the state if its window began in the state and
// does not overlap one that was counted.
func (r *record) mergeReport(gatheredAt time.Time, rep Report, window time.Duration) {
	pr := r.peerReport(rep.origin)
	if !gatheredAt.After(pr.gatheredAt) {
		return
	}
	pr.gatheredAt, pr.Report = gatheredAt, rep
	if gatheredAt.After(r.lastReportAt) {
		r.lastReportAt = gatheredAt
	}
	from := gatheredAt.Add(-window)
	if !r.pathOnly && from.After(r.stateSince) && !from.Before(pr.countedUntil) {
		pr.countedUntil = gatheredAt
		if rep.good > 0 {
			r.passed += int(rep.good)
			r.passedAt = gatheredAt
		}
		if n := int(min(rep.bad+rep.stalled, maxOriginBad)); n > 0 {
			r.addFailures(gatheredAt, n)
			pr.failed = failureSpan{from: from, to: gatheredAt}
		}
	}
}

// peerReport returns the entry of an origin. At maxOrigins entries a new one replaces the
// oldest.
func (r *record) peerReport(origin uint64) *peerReport {
	oldest := 0
	for i := range r.peerReports {
		if r.peerReports[i].origin == origin {
			return &r.peerReports[i]
		}
		if r.peerReports[i].gatheredAt.Before(r.peerReports[oldest].gatheredAt) {
			oldest = i
		}
	}
	if len(r.peerReports) < maxOrigins {
		r.peerReports = append(r.peerReports, peerReport{origin: origin})
		return &r.peerReports[len(r.peerReports)-1]
	}
	r.peerReports[oldest] = peerReport{origin: origin}
	return &r.peerReports[oldest]
}

// effectiveMedian returns the median latency measured by this VM or, without own
// exchanges, the one in the newest report of a peer; 0 when unknown.
func (r *record) effectiveMedian() time.Duration {
	if m := r.median(); m > 0 || len(r.peerReports) == 0 {
		return m
	}
	newest := r.peerReports[0]
	for _, pr := range r.peerReports[1:] {
		if pr.gatheredAt.After(newest.gatheredAt) {
			newest = pr
		}
	}
	return newest.median
}

// originOf returns an origin for a sender whose reports have none.
func originOf(from string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(from)) // A hash never fails to write.
	return h.Sum64()
}

// Reports returns the reports for the next heartbeat, most urgent first: those of this
// VM on servers with evidence against them from any VM, then a bounded number of
// relayed ones, so that evidence reaches VMs that are not linked with its origin. In a
// healthy service, and with a switching policy, there are none.
func (d *Detector) Reports(now time.Time) []Report {
	if d.policy.switching {
		return nil // PopEvents returns the evidence.
	}
	var own, relayed []Report
	for _, r := range d.records {
		if !r.shouldReport(now) {
			continue
		}
		if rep, ok := d.ownReport(now, r); ok {
			own = append(own, rep)
		}
		if d.origin != 0 && r.shouldRelay() {
			relayed = r.appendRelayed(now, relayed)
		}
	}
	slices.SortStableFunc(own, byUrgency)
	slices.SortStableFunc(relayed, byUrgency)
	own = own[:min(len(own), maxOwnReports)]
	return append(own, relayed[:min(len(relayed), maxRelayedReports)]...)
}

// byUrgency orders reports of draining servers first, then by bad exchanges.
func byUrgency(a, b Report) int {
	if (a.condition == ConditionDraining) != (b.condition == ConditionDraining) {
		if a.condition == ConditionDraining {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.reportedBad(), a.reportedBad())
}

// shouldReport reports whether any VM has evidence against the server.
func (r *record) shouldReport(now time.Time) bool {
	if r.condition(now) != ConditionNormal || r.stalled || r.tally.bad > 0 {
		return true
	}
	if r.state == Reduced || r.state == Trial {
		return true
	}
	return now.Sub(r.lastReportAt) < maxReportAge && slices.ContainsFunc(r.peerReports, func(pr peerReport) bool {
		return now.Sub(pr.gatheredAt) < maxReportAge && pr.reportedBad() > 0
	})
}

// shouldRelay reports whether the evidence is strong enough to relay to VMs beyond the
// linked peers of its origin. A single slow exchange is not.
func (r *record) shouldRelay() bool {
	return r.tally.origins >= minOrigins || (r.state != Healthy && r.state != Starting)
}

// ownReport returns the report of this VM on the server and whether it has content.
func (d *Detector) ownReport(now time.Time, r *record) (Report, bool) {
	totals := r.total(now, d.policy.window)
	rep := Report{
		server:      r.addr,
		good:        min(totals.good, maxReportCount),
		bad:         min(totals.bad, maxReportCount),
		unreachable: min(totals.unreachable, maxReportCount),
		median:      r.median(),
		condition:   r.condition(now),
		origin:      d.origin,
	}
	if r.stalled {
		rep.stalled = 1
	}
	switch rep.condition {
	case ConditionDraining:
		rep.age = now.Sub(r.drainingAt)
	case ConditionCold:
		rep.age = now.Sub(r.coldAt)
	case ConditionNormal:
	}
	if rep.condition != ConditionNormal && rep.age >= maxReportAge {
		rep.good, rep.bad, rep.stalled, rep.unreachable = 0, 0, 0, 0
	}
	return rep, rep.condition != ConditionNormal || rep.good+rep.bad+rep.stalled+rep.unreachable > 0
}

// appendRelayed appends the recent reports of other VMs to out.
func (r *record) appendRelayed(now time.Time, out []Report) []Report {
	for _, pr := range r.peerReports {
		age := now.Sub(pr.gatheredAt)
		if age >= maxReportAge {
			continue
		}
		rep := pr.Report
		rep.age = age
		rep.condition = ConditionNormal // Only the report of this VM carries the condition.
		out = append(out, rep)
	}
	return out
}

// failureSpan is the interval in which a VM observed bad exchanges: they began after
// from, and had ended or stalled by to.
type failureSpan struct{ from, to time.Time }

// failureObservers returns how many VMs observed bad exchanges of the current run of
// failures that began after from.
func (r *record) failureObservers(from time.Time) int {
	if r.failed == 0 {
		return 0
	}
	observed := func(f failureSpan) bool { return !f.to.Before(r.failingSince) && !f.from.Before(from) }
	n := 0
	if observed(r.ownFailure) {
		n++
	}
	for i := range r.peerReports {
		if observed(r.peerReports[i].failed) {
			n++
		}
	}
	return n
}
