package member

import "time"

// watch updates the set of members that this VM watches: the chosen ones, and
// those with a link that works in both directions.
func (v *View) watch(now time.Time) {
	v.choosePeers(now)
	linked := map[string]bool{}
	for _, l := range v.links {
		if !l.oneWay() {
			linked[l.remote] = true
		}
	}
	for _, r := range v.ring {
		switch watch := r.chosen || linked[r.id]; {
		case r == v.self || r.state == Gone || !watch:
			r.watchedSince = time.Time{}
		case r.watchedSince.IsZero():
			r.watchedSince = now
		}
	}
}

// silence returns the time since the last sign of life of a watched member.
func (r *record) silence(now time.Time) time.Duration {
	return now.Sub(laterTime(r.watchedSince, laterTime(r.lastReceived, r.versionRaisedAt)))
}

// checkSilence handles the silence of watched members. Before a VM suspects a
// member, it queries the fleet; a running member answers by raising its version.
// A VM whose own link fails therefore does not suspect a member that other VMs
// reach.
func (v *View) checkSilence(now time.Time) {
	for _, r := range v.ring {
		if r.watchedSince.IsZero() {
			continue
		}
		silence := r.silence(now)
		switch {
		case r.state == Leaving && silence >= goneAfter:
			v.setState(now, r, Gone)
		case r.state == Alive && silence >= suspectAfter:
			v.setState(now, r, Suspect)
		case r.isRunning() && silence >= queryAfter && r.queriedVersion != r.version:
			v.stats.Queries++
			v.spreadQuery(now, r, 0)
		}
		if v.isUnreachable(now, r) {
			v.markOneWay(now, r)
		}
	}
}

// isUnreachable reports whether this VM fails to link to a chosen peer that other
// VMs reach. It is false without any link, since nothing is then known about the
// other VMs.
func (v *View) isUnreachable(now time.Time, r *record) bool {
	return len(v.links) > 0 && r.chosen && now.Sub(r.watchedSince) >= suspectAfter && r.raisedVersionAfter(r.watchedSince) && v.linkTo(r) == nil
}

// raisedVersionAfter reports whether the member raised its version queryAfter or
// more after t. A version raised sooner does not show that it is still running: it
// may have failed right after.
func (r *record) raisedVersionAfter(t time.Time) bool {
	return r.versionRaisedAt.Sub(t) >= queryAfter
}
