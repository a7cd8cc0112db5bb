package member

import "time"

// watch updates which members this VM watches: those it has chosen, and those it
// has a link to that works both ways.
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

// silence is the time without any sign of a watched member.
func (r *record) silence(now time.Time) time.Duration {
	return now.Sub(laterTime(r.watchedSince, laterTime(r.lastReceived, r.versionRaisedAt)))
}

// watchSilence acts on the silence of watched members. Before a VM suspects a
// member it asks the fleet; a member that runs answers by raising its version,
// so a VM whose own link is cut does not suspect a member that others hear.
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

// isUnreachable reports whether no link to a chosen peer comes about although
// the fleet hears it. A VM without links does not hear the fleet.
func (v *View) isUnreachable(now time.Time, r *record) bool {
	return len(v.links) > 0 && r.chosen && now.Sub(r.watchedSince) >= suspectAfter && r.raisedVersionAfter(r.watchedSince) && v.linkTo(r) == nil
}

// provedAfter reports whether the member showed to others that it runs, a while
// after t. A version that it raised just after t may have been its last act.
func (r *record) raisedVersionAfter(t time.Time) bool {
	return r.versionRaisedAt.Sub(t) >= queryAfter
}
