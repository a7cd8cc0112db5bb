package member

import "time"

// merge merges one record received on a link into the view. Of two records of
// one member, the one with the higher precedence wins, see Member.compare.
func (v *View) merge(now time.Time, l *link, m Member) {
	if m.id == v.self.id {
		v.mergeSelf(now, l, m)
		return
	}
	r := v.members[m.id]
	switch {
	case r == nil:
		v.mergeNew(now, l, m)
	case m.state == Unknown:
		v.mergeQuery(now, l, r, m)
	case m.compare(r.Member) < 0:
		v.stats.OutdatedRecords++
		l.queue(now, r, false)
	case m.compare(r.Member) == 0:
		l.ackRecord(r)
	case m.compareVersion(r.Member) > 0:
		v.mergeNewer(now, l, r, m)
	default:
		v.mergeWorse(now, l, r, m)
	}
}

// mergeSelf handles a received record of this VM itself. It refutes a suspicion
// or a query about the current version by raising the version.
func (v *View) mergeSelf(now time.Time, l *link, m Member) {
	self := v.self
	switch {
	case m.incarnation > self.incarnation:
		v.replaced = true
	case m.compareVersion(self.Member) < 0:
		v.stats.OutdatedRecords++
		l.queue(now, self, false)
	case m.version == self.version && m.state == self.state:
		l.ackRecord(self)
	case !v.replaced:
		self.version = m.version
		v.stats.Refutations++
		v.raiseVersion(now, self.state)
	}
}

// mergeNew merges a record of a member that is not in the view. A record in
// another state than Gone that is no newer than the member's tombstone is answered
// with the tombstone.
func (v *View) mergeNew(now time.Time, l *link, m Member) {
	t, hasTombstone := v.tombstones[m.id]
	old := Member{id: m.id, incarnation: t.incarnation, version: t.version, state: Gone}
	switch {
	case m.state == Unknown:
	case m.state == Gone:
		if !hasTombstone || m.compareVersion(old) > 0 {
			v.addTombstone(now, m)
		}
	case hasTombstone && m.compareVersion(old) <= 0:
		v.stats.OutdatedRecords++
		l.tombstoneReplies = append(l.tombstoneReplies, old)
	case len(v.members) < maxMembers:
		delete(v.tombstones, m.id)
		v.gossip(now, v.insert(now, m), l.id)
	}
}

// mergeQuery handles a query whether any VM receives heartbeats of a member. A VM
// that does forwards the query to the member only, which refutes it with a
// higher version; the others forward it on all links.
func (v *View) mergeQuery(now time.Time, l *link, r *record, m Member) {
	switch c := m.compareVersion(r.Member); {
	case c < 0:
		l.queue(now, r, false)
	case c > 0 || r.state == Gone:
		// This VM receives the newer version by gossip, or the member is gone and
		// does not answer.
	case now.Sub(r.lastReceived) < queryAfter:
		for _, o := range v.links {
			if o.remote == r.id && !o.oneWay() {
				o.queue(now, r, true)
			}
		}
	default:
		v.spreadQuery(now, r, l.id)
	}
}

// spreadQuery queues the query about r on all links but from, once per version
// of r.
func (v *View) spreadQuery(now time.Time, r *record, from LinkID) {
	if r.queriedVersion == r.version {
		return
	}
	r.queriedVersion = r.version
	for _, l := range v.links {
		if l.id != from {
			l.queue(now, r, true)
		}
	}
}

// mergeNewer merges a record with a higher incarnation or version.
func (v *View) mergeNewer(now time.Time, l *link, r *record, m Member) {
	if m.incarnation != r.incarnation {
		r.lastReceived = time.Time{}
		r.queriedVersion = 0
		r.avoidUntil = time.Time{}
	}
	if m.isRunning() {
		r.versionRaisedAt = now
	}
	v.update(now, r, m, l.id)
}

// mergeWorse merges a worse state of the same version. A member that is Gone in
// another view and Alive in this one was most likely on this VM's side of a
// partition: it gets refuteTimeout to refute, so that the end of a partition
// takes no running VM out of service.
func (v *View) mergeWorse(now time.Time, l *link, r *record, m Member) {
	if r.state != Alive || m.state != Gone {
		v.update(now, r, m, l.id)
		return
	}
	if r.goneReportedAt.IsZero() {
		r.goneReportedAt = now
	}
	v.mergeQuery(now, l, r, m)
}
