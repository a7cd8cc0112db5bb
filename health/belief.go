package health

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/azuredeal/azuredeal/board"
)

// A switching policy holds a backend server for one of two things, sound or
// failing, that change at random times, and keeps the probability that it is
// failing: a hidden Markov model with two states. Every exchange of every VM
// moves it, so that one or two failures of a server with thin traffic are enough
// to keep requests away that cannot be repeated, and one or two good exchanges to
// bring them back.

// chain is the model of what a belief is about.
type chain struct {
	// Mean times in each state.
	sound, failing time.Duration
	// Shares of exchanges that fail in each state.
	soundFails, failingFails float64
}

var (
	// serverChain: on the traces of the first users backend servers fail 85% of their
	// requests for 6 to 12 s, 30% of the time, and 1.2% otherwise.
	serverChain = chain{sound: 20 * time.Second, failing: 8 * time.Second, soundFails: 0.015, failingFails: 0.85}
	// pathChain: paths between a VM and a server are seldom cut, for seconds.
	pathChain = chain{sound: 5 * time.Minute, failing: 5 * time.Second, soundFails: 0.01, failingFails: 0.9}
)

const (
	// shedRatio is how much likelier a refusal because of load comes from a failing
	// server than from a sound one, which also refuses when it is full.
	shedRatio = 3
	// doubt is the probability at which a server gets half of a full share. Requests
	// that must not run twice avoid servers beyond it, see pick.SteadyWeight.
	doubt = 0.12
	// leastShare keeps a few requests that can be repeated on every server, to see when it
	// is sound again.
	leastShare = 0.03
	// certain bounds the odds on both sides, so that a change of state is noticed after
	// a few exchanges.
	certain = 0.0005
)

// belief is the odds that something is failing, as of a time.
type belief struct {
	odds float64
	at   time.Time
}

// forecast moves the odds to now: without evidence they return to the shares of
// time that the chain spends in each state.
func (b *belief) forecast(now time.Time, c *chain) {
	prior := float64(c.failing) / float64(c.sound+c.failing)
	if b.at.IsZero() {
		b.odds, b.at = prior/(1-prior), now
		return
	}
	span := now.Sub(b.at)
	if span <= 0 {
		return
	}
	rate := 1/float64(c.sound) + 1/float64(c.failing)
	p := b.odds / (1 + b.odds)
	p = prior + (p-prior)*math.Exp(-rate*float64(span))
	b.odds, b.at = p/(1-p), now
}

// weigh multiplies the odds by a likelihood ratio.
func (b *belief) weigh(now time.Time, c *chain, ratio float64) {
	b.forecast(now, c)
	b.odds = min(max(b.odds*ratio, certain), 1/certain)
}

// see takes in exchanges that ended well and exchanges that did not.
func (b *belief) see(now time.Time, c *chain, good, bad int) {
	ratio := math.Pow((1-c.failingFails)/(1-c.soundFails), float64(good)) *
		math.Pow(c.failingFails/c.soundFails, float64(bad))
	b.weigh(now, c, ratio)
}

// probability returns the probability of the failing state.
func (b *belief) probability(now time.Time, c *chain) float64 {
	b.forecast(now, c)
	return b.odds / (1 + b.odds)
}

// flowTime is the time over which exchanges of other VMs are averaged. It is a few
// heartbeats, which bring them.
const flowTime = 1500 * time.Millisecond

// flow counts events, with old ones decaying.
type flow struct {
	count float64
	at    time.Time
}

func (f *flow) decay(now time.Time) {
	if f.count > 0 {
		f.count *= math.Exp(-float64(now.Sub(f.at)) / float64(flowTime))
	}
	f.at = now
}

func (f *flow) add(now time.Time, n int) {
	f.decay(now)
	f.count += float64(n)
}

// others returns how many requests of other VMs are in flight, from the rate at
// which they end and the time that a typical one takes.
func (r *record) others(now time.Time, typical time.Duration) float64 {
	if r.heard.at.IsZero() {
		return 0
	}
	r.heard.decay(now)
	return r.heard.count * float64(typical) / float64(flowTime)
}

// Event is what one VM saw of a server since its last event about it.
type Event struct {
	server uint32
	good   int
	bad    int
}

// NewEvent returns an event on the server that Key names.
func NewEvent(server uint32, good, bad int) Event { return Event{server: server, good: good, bad: bad} }

// Server returns the key of the server.
func (e Event) Server() uint32 { return e.server }

// Good returns how many exchanges ended well.
func (e Event) Good() int { return e.good }

// Bad returns how many exchanges count against the server.
func (e Event) Bad() int { return e.bad }

// ServerKey returns the number that stands for a server of a service in events.
func ServerKey(service, addr string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service)) // A hash never fails to write.
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(addr))
	return h.Sum32()
}

// pathOutcome reports whether an outcome after bytes were sent can also come from the
// path between this VM and the server.
func pathOutcome(o board.Outcome) bool {
	return o == board.Late || o == board.Canceled
}

// believe takes in how one attempt of this VM ended. What the path alone can
// explain counts for this VM only, until others see the same.
func (g *Detector) believe(now time.Time, r *record, s board.Sample) {
	good, bad := 0, 0
	switch s.Outcome {
	case board.Draining, board.Cold:
		return
	case board.Shed:
		r.fleet.weigh(now, &serverChain, shedRatio)
		return
	case board.Unreachable:
		r.path.see(now, &pathChain, 0, 1)
		return
	case board.Success:
		slow := g.SlowThreshold()
		r.learn(s.Took)
		if slow > 0 && s.Took > slow {
			bad = 1
			break
		}
		g.base.learn(s.Took)
		good = 1
	case board.Canceled:
		if slow := g.SlowThreshold(); slow == 0 || s.Took <= slow {
			return
		}
		bad = 1
	default:
		bad = 1
	}
	if good > 0 {
		r.path.see(now, &pathChain, good, 0)
	} else if pathOutcome(s.Outcome) {
		r.path.see(now, &pathChain, 0, bad)
	}
	r.fleet.see(now, &serverChain, good, bad)
	r.news.good += good
	r.news.bad += bad
}

// MergeEvent takes in an event of another VM and reports whether it is about a server of
// the group.
func (g *Detector) MergeEvent(now time.Time, e Event) bool {
	r := g.byKey[e.server]
	if r == nil {
		return false
	}
	r.fleet.see(now, &serverChain, e.good, e.bad)
	r.heard.add(now, e.good)
	return true
}

// PopEvents returns what this VM saw since the last call. urgent reports whether
// something counts against a server, which other VMs should know at once.
func (g *Detector) PopEvents() (events []Event, urgent bool) {
	for _, r := range g.records {
		if r.news.good+r.news.bad == 0 {
			continue
		}
		events = append(events, r.news)
		urgent = urgent || r.news.bad > 0
		r.news.good, r.news.bad = 0, 0
	}
	return events, urgent
}

// share returns the share of work of a server that is failing with probability p:
// from 1 to a half at doubt, and from there in proportion to the probability that it
// is sound. A steeper curve leaves servers that were idle for a few seconds without
// the requests that would show them to be sound, so that the load gathers on few.
func share(p float64) float64 {
	if p <= doubt {
		return 1 - (1-usableWeight)*p/doubt
	}
	return max(leastShare, usableWeight*(1-p)/(1-doubt))
}

// decideSwitching decides on one server by the probability that it is failing.
func (g *Detector) decideSwitching(now time.Time, r *record) {
	r.stated = r.condition(now)
	if r.stalled && r.stallFrom != r.stallSeen {
		// A request that has been in flight for too long counts once.
		r.stallSeen = r.stallFrom
		r.path.see(now, &pathChain, 0, 1)
		r.fleet.see(now, &serverChain, 0, 1)
		r.news.bad++
	}
	if r.settled(now) {
		r.setWeight(now)
		return
	}
	p := 1 - (1-r.fleet.probability(now, &serverChain))*(1-r.path.probability(now, &pathChain))
	weight := share(p)
	state, reason := Healthy, ""
	if weight < usableWeight {
		state, reason = Reduced, "probably failing"
	}
	if r.state != state {
		r.enter(now, state, reason)
	}
	r.weight = weight
}
