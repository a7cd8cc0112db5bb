package health

import (
	"hash/fnv"
	"math"
	"time"

	"github.com/azuredeal/azuredeal/board"
)

// A switching policy models a backend server as a hidden Markov model with two states,
// healthy and failing, and tracks the probability that it is failing. Every exchange
// of every VM updates the probability, so that on a server with little traffic one or
// two failures are enough to keep requests away that must not run twice, and one or
// two good exchanges are enough to bring them back.

// markovChain holds the parameters of a two-state model.
type markovChain struct {
	// Mean time in each state.
	meanHealthy, meanFailing time.Duration
	// Rate of bad exchanges in each state, 0 to 1.
	healthyFailRate, failingFailRate float64
}

var (
	// serverChain follows the traces of the first users, on which backend servers fail
	// 85% of their requests for 6 to 12 s, 30% of the time, and 1.2% otherwise.
	serverChain = markovChain{meanHealthy: 20 * time.Second, meanFailing: 8 * time.Second, healthyFailRate: 0.015, failingFailRate: 0.85}
	// pathChain models the path between a VM and a server, which fails seldom and for
	// seconds.
	pathChain = markovChain{meanHealthy: 5 * time.Minute, meanFailing: 5 * time.Second, healthyFailRate: 0.01, failingFailRate: 0.9}
)

const (
	// shedRatio is how much likelier a failing server sheds a request than a healthy one,
	// which also sheds load when it is full.
	shedRatio = 3
	// halfWeightProbability is the probability of failing at which a server gets half of
	// a full share. Requests that must not run twice avoid servers above it, see
	// pick.MinReliableWeight.
	halfWeightProbability = 0.12
	// minWeight keeps sending every server a few requests that can be retried, which show
	// when it has recovered.
	minWeight = 0.03
	// minOdds bounds the odds below, and 1/minOdds above, so that a few exchanges are
	// enough to detect a change of state.
	minOdds = 0.0005
)

// belief is the odds that a server or path is failing, as of updatedAt.
type belief struct {
	odds      float64
	updatedAt time.Time
}

// predict advances the odds to now. Without evidence they converge to the shares of
// time that the chain spends in each state.
func (b *belief) predict(now time.Time, c *markovChain) {
	prior := float64(c.meanFailing) / float64(c.meanHealthy+c.meanFailing)
	if b.updatedAt.IsZero() {
		b.odds, b.updatedAt = prior/(1-prior), now
		return
	}
	elapsed := now.Sub(b.updatedAt)
	if elapsed <= 0 {
		return
	}
	rate := 1/float64(c.meanHealthy) + 1/float64(c.meanFailing)
	p := b.odds / (1 + b.odds)
	p = prior + (p-prior)*math.Exp(-rate*float64(elapsed))
	b.odds, b.updatedAt = p/(1-p), now
}

// update multiplies the odds by a likelihood ratio.
func (b *belief) update(now time.Time, c *markovChain, likelihoodRatio float64) {
	b.predict(now, c)
	b.odds = min(max(b.odds*likelihoodRatio, minOdds), 1/minOdds)
}

// observe updates the odds with counts of good and bad exchanges.
func (b *belief) observe(now time.Time, c *markovChain, good, bad int) {
	likelihoodRatio := math.Pow((1-c.failingFailRate)/(1-c.healthyFailRate), float64(good)) *
		math.Pow(c.failingFailRate/c.healthyFailRate, float64(bad))
	b.update(now, c, likelihoodRatio)
}

// probability returns the probability of the failing state at now.
func (b *belief) probability(now time.Time, c *markovChain) float64 {
	b.predict(now, c)
	return b.odds / (1 + b.odds)
}

// countDecayTime is the time constant of the decay of counts of exchanges of other VMs.
// It spans a few heartbeats, which carry these counts.
const countDecayTime = 1500 * time.Millisecond

// decayingCount is a count with exponential decay.
type decayingCount struct {
	count     float64
	updatedAt time.Time
}

func (f *decayingCount) decay(now time.Time) {
	if f.count > 0 {
		f.count *= math.Exp(-float64(now.Sub(f.updatedAt)) / float64(countDecayTime))
	}
	f.updatedAt = now
}

func (f *decayingCount) add(now time.Time, n int) {
	f.decay(now)
	f.count += float64(n)
}

// peerInflight estimates how many requests other VMs have in flight, by Little's law:
// the rate at which they complete times the typical latency.
func (r *record) peerInflight(now time.Time, latency time.Duration) float64 {
	if r.peerExchanges.updatedAt.IsZero() {
		return 0
	}
	r.peerExchanges.decay(now)
	return r.peerExchanges.count * float64(latency) / float64(countDecayTime)
}

// Event counts the exchanges of one VM with a server since its last event about it.
type Event struct {
	server uint32
	good   int
	bad    int
}

// NewEvent returns an event about the server with the given ServerKey.
func NewEvent(server uint32, good, bad int) Event { return Event{server: server, good: good, bad: bad} }

// Server returns the ServerKey of the server.
func (e Event) Server() uint32 { return e.server }

// Good returns the number of good exchanges.
func (e Event) Good() int { return e.good }

// Bad returns the number of bad exchanges.
func (e Event) Bad() int { return e.bad }

// ServerKey returns the hash that identifies a server of a service in events.
func ServerKey(service, addr string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(service)) // A hash never fails to write.
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(addr))
	return h.Sum32()
}

// mayBePathFault reports whether an outcome after bytes were sent can also be due to
// the path between this VM and the server.
func mayBePathFault(o board.Outcome) bool {
	return o == board.Late || o == board.Canceled
}

// observeSwitching records the outcome of one attempt of this VM. A failure to connect
// counts against the path only and is not reported to other VMs. Late and canceled
// exchanges count against both the path and the server.
func (d *Detector) observeSwitching(now time.Time, r *record, s board.Sample) {
	good, bad := 0, 0
	switch s.Outcome {
	case board.Draining, board.Cold:
		return
	case board.Shed:
		r.serverBelief.update(now, &serverChain, shedRatio)
		return
	case board.Unreachable:
		r.pathBelief.observe(now, &pathChain, 0, 1)
		return
	case board.Success:
		slow := d.SlowThreshold()
		r.addLatency(s.Took)
		if slow > 0 && s.Took > slow {
			bad = 1
			break
		}
		d.baseline.addLatency(s.Took)
		good = 1
	case board.Canceled:
		if slow := d.SlowThreshold(); slow == 0 || s.Took <= slow {
			return
		}
		bad = 1
	default:
		bad = 1
	}
	if good > 0 {
		r.pathBelief.observe(now, &pathChain, good, 0)
	} else if mayBePathFault(s.Outcome) {
		r.pathBelief.observe(now, &pathChain, 0, bad)
	}
	r.serverBelief.observe(now, &serverChain, good, bad)
	r.pendingEvent.good += good
	r.pendingEvent.bad += bad
}

// MergeEvent adds an event of another VM and reports whether the detector has the
// server.
func (d *Detector) MergeEvent(now time.Time, e Event) bool {
	r := d.byKey[e.server]
	if r == nil {
		return false
	}
	r.serverBelief.observe(now, &serverChain, e.good, e.bad)
	r.peerExchanges.add(now, e.good)
	return true
}

// PopEvents returns the exchanges of this VM since the last call. urgent reports whether
// any of them is bad, in which case the events should be sent to other VMs at once.
func (d *Detector) PopEvents() (events []Event, urgent bool) {
	for _, r := range d.records {
		if r.pendingEvent.good+r.pendingEvent.bad == 0 {
			continue
		}
		events = append(events, r.pendingEvent)
		urgent = urgent || r.pendingEvent.bad > 0
		r.pendingEvent.good, r.pendingEvent.bad = 0, 0
	}
	return events, urgent
}

// weightFor returns the weight of a server that is failing with probability p. It falls
// linearly from 1 to a half at halfWeightProbability, and above that is proportional to
// the probability that the server is healthy. With a steeper curve, servers that were
// idle for a few seconds get no requests that could show them to be healthy, and the
// load concentrates on few servers.
func weightFor(p float64) float64 {
	if p <= halfWeightProbability {
		return 1 - (1-usableWeight)*p/halfWeightProbability
	}
	return max(minWeight, usableWeight*(1-p)/(1-halfWeightProbability))
}

// decideSwitching sets the state and weight of one server from the probability that it
// is failing.
func (d *Detector) decideSwitching(now time.Time, r *record) {
	r.statedCondition = r.condition(now)
	if r.stalled && r.stallStart != r.countedStallStart {
		// Each stalled request counts once.
		r.countedStallStart = r.stallStart
		r.pathBelief.observe(now, &pathChain, 0, 1)
		r.serverBelief.observe(now, &serverChain, 0, 1)
		r.pendingEvent.bad++
	}
	if r.applyStatedCondition(now) {
		r.setWeight(now)
		return
	}
	p := 1 - (1-r.serverBelief.probability(now, &serverChain))*(1-r.pathBelief.probability(now, &pathChain))
	weight := weightFor(p)
	state, reason := Healthy, ""
	if weight < usableWeight {
		state, reason = Reduced, "probably failing"
	}
	if r.state != state {
		r.enter(now, state, reason)
	}
	r.weight = weight
}
