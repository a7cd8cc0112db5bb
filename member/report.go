package member

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/azuredeal/azuredeal/wire"
)

const (
	// maxReportAge is the age above which a report is neither accepted nor
	// relayed. It bounds how far a report travels.
	maxReportAge = 5 * time.Second
	// minReportInterval is the minimum time between two reports of one VM on one
	// backend server. Copies of one report on different paths differ a little in
	// age and must not count as new.
	minReportInterval = 200 * time.Millisecond
	// nonUrgentInterval is the minimum interval of sending reports that are not
	// urgent.
	nonUrgentInterval = 2 * time.Second
	// relayFanout is the number of links on which a report of another VM is
	// relayed. A relay on all links would deliver each report about ten times to
	// every VM.
	relayFanout = 3
	// maxReportBytes bounds the reports of one heartbeat. reportBytesPerSecond and
	// reportBurstBytes are the rate and size of the token bucket for reports on
	// all links of this VM; the control plane is allowed 15 KB/s in total.
	maxReportBytes       = 8 << 10
	reportBytesPerSecond = 5 << 10
	reportBurstBytes     = 10 << 10

	maxReports       = 8192 // Bound on stored reports.
	maxQueuedReports = 512  // Bound on reports queued on one link.
)

type reportKey struct {
	origin          uint64
	service, server string
}

// reportEntry is the newest report of one VM on one backend server.
type reportEntry struct {
	report     *wire.Report
	gatheredAt time.Time // Time of the evidence, by this VM's clock.
	queuedAt   time.Time // Time at which a report of this VM was last queued.
}

// isUrgent reports whether the report shows failures or a degraded backend server.
func (e *reportEntry) isUrgent() bool {
	r := e.report
	return r.GetBad() > 0 || r.GetStalled() > 0 || r.GetUnreachable() > 0 ||
		r.GetCondition() > wire.Condition_CONDITION_NORMAL
}

// reportTable holds the newest reports by origin and backend server, and the token
// bucket that limits the bytes of reports sent.
type reportTable struct {
	entries    map[reportKey]*reportEntry
	received   []*wire.Report // Accepted since the last PopReceivedReports.
	tokens     float64        // Bytes that may be sent now.
	lastRefill time.Time
	lastSweep  time.Time
}

func (t *reportTable) init() {
	t.entries = map[reportKey]*reportEntry{}
	t.tokens = reportBurstBytes
}

func keyOf(r *wire.Report) reportKey {
	return reportKey{origin: r.GetOrigin(), service: r.GetService(), server: r.GetServer()}
}

// put stores a report and returns its entry, or nil if the report is not at least
// minReportInterval newer than the stored one or the table is full.
func (t *reportTable) put(now, gatheredAt time.Time, r *wire.Report) *reportEntry {
	if now.Sub(t.lastSweep) >= maxReportAge {
		t.lastSweep = now
		for k, e := range t.entries {
			if now.Sub(e.gatheredAt) > maxReportAge {
				delete(t.entries, k)
			}
		}
	}
	k := keyOf(r)
	e := t.entries[k]
	if e != nil && gatheredAt.Sub(e.gatheredAt) < minReportInterval {
		return nil
	}
	if e == nil {
		if len(t.entries) >= maxReports {
			return nil
		}
		e = &reportEntry{}
		t.entries[k] = e
	}
	e.report, e.gatheredAt = r, gatheredAt
	return e
}

// reportQueue holds the reports queued on one link, oldest first. When it is full,
// the oldest report that is not urgent is dropped, or the oldest of all if every
// one is urgent.
type reportQueue []*reportEntry

func (q *reportQueue) add(e *reportEntry) {
	if slices.Contains(*q, e) {
		return
	}
	if len(*q) >= maxQueuedReports {
		oldest := max(0, slices.IndexFunc(*q, func(o *reportEntry) bool { return !o.isUrgent() }))
		*q = slices.Delete(*q, oldest, oldest+1)
	}
	*q = append(*q, e)
}

// Report queues this VM's own reports on all links. The driver calls it once per
// heartbeatInterval.
func (v *View) Report(now time.Time, reports []*wire.Report) {
	for _, r := range reports {
		r = proto.CloneOf(r)
		r.Origin = v.self.incarnation
		gatheredAt := now.Add(-time.Duration(r.GetAge()) * time.Millisecond)
		e := v.reports.put(now, gatheredAt, r)
		if e == nil || (!e.isUrgent() && now.Sub(e.queuedAt) < nonUrgentInterval) {
			continue
		}
		e.queuedAt = now
		for _, l := range v.links {
			l.reports.add(e)
		}
	}
}

const maxQueuedEvents = 1024 // Bound on backend servers with events queued on one link.

// QueueEvents queues events on all links, or with zoneSharing on those within the
// availability zone. Queued events on one backend server are summed, so that a slow link
// holds at most one event per backend server. Events on further backend servers are
// dropped at maxQueuedEvents.
func (v *View) QueueEvents(events []*wire.Event) {
	for _, l := range v.links {
		if !v.sendsEventsTo(l) {
			continue
		}
		if l.events == nil {
			l.events = map[uint32]*wire.Event{}
		}
		for _, e := range events {
			old := l.events[e.GetServer()]
			if old == nil {
				if len(l.events) >= maxQueuedEvents {
					continue
				}
				old = &wire.Event{Server: e.GetServer()}
				l.events[e.GetServer()] = old
			}
			old.Good += e.GetGood()
			old.Bad += e.GetBad()
		}
	}
}

// sendsEventsTo reports whether events are sent on a link. In a full mesh all VMs hear all
// events.
func (v *View) sendsEventsTo(l *link) bool {
	if !v.zoneSharing || len(v.ring) <= v.fullMeshMaxVMs {
		return true
	}
	r := v.members[l.remote]
	return r != nil && r.zone == v.self.zone
}

// EventsNow makes a heartbeat due on every link with queued events.
func (v *View) EventsNow(now time.Time) {
	v.detectPause(now)
	for _, l := range v.links {
		if len(l.events) > 0 {
			l.nextHeartbeat = now
		}
	}
}

// PopReceivedReports returns the reports of other VMs accepted since the last
// call, with their age on arrival.
func (v *View) PopReceivedReports() []*wire.Report {
	out := v.reports.received
	v.reports.received = nil
	return out
}

// mergeReports stores received reports that are new and relays them.
func (v *View) mergeReports(now time.Time, from *link, reports []*wire.Report) {
	for _, r := range reports {
		age := time.Duration(r.GetAge()) * time.Millisecond
		if r.GetOrigin() == v.self.incarnation || age > maxReportAge {
			continue
		}
		e := v.reports.put(now, now.Add(-age), r)
		if e == nil {
			continue
		}
		v.reports.received = append(v.reports.received, r)
		v.relay(e, from)
	}
}

// relay queues a report of another VM on up to relayFanout links that work in both
// directions.
func (v *View) relay(e *reportEntry, from *link) {
	remaining := relayFanout
	start := v.rng.IntN(len(v.links))
	for i := range v.links {
		l := v.links[(start+i)%len(v.links)]
		if l == from || l.oneWay() || l.incarnation == e.report.GetOrigin() {
			continue
		}
		l.reports.add(e)
		if remaining--; remaining == 0 {
			return
		}
	}
}

// addReports moves queued reports to a heartbeat, within the byte limits: urgent
// ones first, and the newest first among equals.
func (v *View) addReports(now time.Time, l *link, h *wire.Heartbeat) {
	t := &v.reports
	if !t.lastRefill.IsZero() {
		t.tokens = min(reportBurstBytes, t.tokens+now.Sub(t.lastRefill).Seconds()*reportBytesPerSecond)
	}
	t.lastRefill = now
	remaining := slices.DeleteFunc(l.reports, func(e *reportEntry) bool { return now.Sub(e.gatheredAt) > maxReportAge })
	bytesLeft := min(maxReportBytes, int(t.tokens))
	start := bytesLeft
	for _, urgent := range []bool{true, false} {
		for i := len(remaining) - 1; i >= 0; i-- {
			e := remaining[i]
			if e.isUrgent() != urgent {
				continue
			}
			r := proto.CloneOf(e.report)
			r.Age = uint32(now.Sub(e.gatheredAt).Milliseconds())
			size := proto.Size(r)
			if size > bytesLeft {
				break
			}
			bytesLeft -= size
			h.Reports = append(h.Reports, r)
			remaining = slices.Delete(remaining, i, i+1)
		}
	}
	l.reports = remaining
	t.tokens -= float64(start - bytesLeft)
}
