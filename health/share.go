package health

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

const (
	maxOrigins  = 32 // Reports kept per server.
	maxOwn      = 16 // Own reports in one heartbeat.
	maxRelayed  = 24 // Relayed reports in one heartbeat.
	wordAge     = 1500 * time.Millisecond
	originLimit = 3 // Bad exchanges of one origin that count.
)

// word is the last report of one origin about one server.
type word struct {
	origin  uint64
	at      time.Time // When the evidence was gathered.
	counted time.Time // Last evidence that counted for the current state.
	failed  failure   // Last of it with bad exchanges.
	Report
}

// against returns the bad exchanges and stalls, bounded so that one VM alone
// cannot bring about an ejection elsewhere.
func (r Report) against() float64 {
	return float64(min(r.bad+r.stalled, originLimit))
}

// MergeReports takes in reports of other VMs. from identifies the sender and stands in
// for the origin of a report that has none.
func (g *Detector) MergeReports(now time.Time, from string, reports []Report) {
	for _, p := range reports {
		if p.origin != g.origin {
			g.heardAt = now
		}
		r := g.record(p.server)
		if r == nil || (p.origin != 0 && p.origin == g.origin) {
			continue
		}
		if p.origin == 0 {
			p.origin = hashOrigin(from)
		}
		at := now.Add(-p.age)
		switch p.condition {
		case ConditionDraining:
			r.drains(at)
		case ConditionCold:
			if at.After(r.coldAt) {
				r.coldAt = at
			}
		case ConditionNormal:
		}
		if p.good+p.bad+p.stalled+p.unreachable > 0 && p.age < wordAge {
			r.hear(at, p, g.policy.window)
		}
	}
}

// hear keeps the report unless a newer one of the same origin is known.
func (r *record) hear(at time.Time, p Report, window time.Duration) {
	w := r.word(p.origin)
	if !at.After(w.at) {
		return
	}
	w.at, w.Report = at, p
	if at.After(r.heardAt) {
		r.heardAt = at
	}
	from := at.Add(-window)
	if !r.mine && from.After(r.since) && !from.Before(w.counted) {
		w.counted = at
		if p.good > 0 {
			r.passed += int(p.good)
			r.passedAt = at
		}
		if n := int(min(p.bad+p.stalled, originLimit)); n > 0 {
			r.fail(at, n)
			w.failed = failure{from: from, to: at}
		}
	}
}

// word returns the entry of an origin; a new one replaces the oldest when there
// is no room.
func (r *record) word(origin uint64) *word {
	oldest := 0
	for i := range r.words {
		if r.words[i].origin == origin {
			return &r.words[i]
		}
		if r.words[i].at.Before(r.words[oldest].at) {
			oldest = i
		}
	}
	if len(r.words) < maxOrigins {
		r.words = append(r.words, word{origin: origin})
		return &r.words[len(r.words)-1]
	}
	r.words[oldest] = word{origin: origin}
	return &r.words[oldest]
}

// reported returns the median of this VM or, without own exchanges, the
// newest that a peer reported.
func (r *record) reported() time.Duration {
	if m := r.median(); m > 0 || len(r.words) == 0 {
		return m
	}
	newest := r.words[0]
	for _, w := range r.words[1:] {
		if w.at.After(newest.at) {
			newest = w
		}
	}
	return newest.median
}

func hashOrigin(from string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(from)) // A hash never fails to write.
	return h.Sum64()
}

// Reports returns what the next heartbeat should carry, most important first:
// the own evidence about servers that anyone holds something against, then a
// bounded number of reports of other VMs, so that evidence reaches VMs that are
// not linked with its origin. In a healthy service it is empty.
func (g *Detector) Reports(now time.Time) []Report {
	if g.policy.switching {
		return nil // Events carry the evidence.
	}
	var own, relayed []Report
	for _, r := range g.records {
		if !r.notable(now) {
			continue
		}
		if p, ok := g.ownReport(now, r); ok {
			own = append(own, p)
		}
		if g.origin != 0 && r.widely() {
			relayed = r.relay(now, relayed)
		}
	}
	slices.SortStableFunc(own, byUrgency)
	slices.SortStableFunc(relayed, byUrgency)
	own = own[:min(len(own), maxOwn)]
	return append(own, relayed[:min(len(relayed), maxRelayed)]...)
}

func byUrgency(a, b Report) int {
	if (a.condition == ConditionDraining) != (b.condition == ConditionDraining) {
		if a.condition == ConditionDraining {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.against(), a.against())
}

// notable reports whether anyone holds something against the server.
func (r *record) notable(now time.Time) bool {
	if r.condition(now) != ConditionNormal || r.stalled || r.tally.bad > 0 {
		return true
	}
	if r.state == Reduced || r.state == Trial {
		return true
	}
	return now.Sub(r.heardAt) < wordAge && slices.ContainsFunc(r.words, func(w word) bool {
		return now.Sub(w.at) < wordAge && w.against() > 0
	})
}

// widely reports whether the evidence concerns VMs beyond the linked peers: a
// single slow exchange does not.
func (r *record) widely() bool {
	return r.tally.origins >= twoOrigins || (r.state != Healthy && r.state != Starting)
}

func (g *Detector) ownReport(now time.Time, r *record) (Report, bool) {
	sum := r.total(now, g.policy.window)
	p := Report{
		server:      r.addr,
		good:        min(sum.good, maxCount),
		bad:         min(sum.bad, maxCount),
		unreachable: min(sum.unreachable, maxCount),
		median:      r.median(),
		condition:   r.condition(now),
		origin:      g.origin,
	}
	if r.stalled {
		p.stalled = 1
	}
	switch p.condition {
	case ConditionDraining:
		p.age = now.Sub(r.drainAt)
	case ConditionCold:
		p.age = now.Sub(r.coldAt)
	case ConditionNormal:
	}
	if p.condition != ConditionNormal && p.age >= wordAge {
		p.good, p.bad, p.stalled, p.unreachable = 0, 0, 0, 0
	}
	return p, p.condition != ConditionNormal || p.good+p.bad+p.stalled+p.unreachable > 0
}

func (r *record) relay(now time.Time, out []Report) []Report {
	for _, w := range r.words {
		age := now.Sub(w.at)
		if age >= wordAge {
			continue
		}
		p := w.Report
		p.age = age
		p.condition = ConditionNormal // The own report carries the condition.
		out = append(out, p)
	}
	return out
}

// failure is when a VM saw failed exchanges: they began after from and had ended, or
// were overdue, by to.
type failure struct{ from, to time.Time }

// witnesses returns how many VMs saw exchanges of the current run of failures that
// began after from.
func (r *record) witnesses(from time.Time) int {
	if r.failed == 0 {
		return 0
	}
	saw := func(f failure) bool { return !f.to.Before(r.failFrom) && !f.from.Before(from) }
	n := 0
	if saw(r.ownFail) {
		n++
	}
	for i := range r.words {
		if saw(r.words[i].failed) {
			n++
		}
	}
	return n
}
