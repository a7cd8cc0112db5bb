package replay

import (
	"math/rand/v2"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/health"
	"github.com/azuredeal/azuredeal/pick"
)

// Names of the policies; all but PolicyAzuredeal are baselines.
const (
	PolicyAzuredeal         = "azuredeal" // Production code: packages health and pick.
	PolicyRoundRobin        = "robin"     // Round robin without health detection.
	PolicyConsecutiveErrors = "five"      // Ejection after five consecutive errors.
	PolicyLeastOutstanding  = "least"     // Fewest in-flight requests, with a fixed timeout per attempt.
)

// PolicyNames returns the names of all policies; the first is not a baseline.
func PolicyNames() []string {
	return []string{PolicyAzuredeal, PolicyRoundRobin, PolicyConsecutiveErrors, PolicyLeastOutstanding}
}

// decision is the state and weight that a policy has assigned to a server.
type decision struct {
	state  health.State
	weight float64
}

// controller is the policy of one VM for one service. Functions that a policy does not need
// are nil.
type controller struct {
	decisions []decision
	inflight  []int
	targets   []*pick.Target // Of package pick; only for PolicyAzuredeal.
	// pick returns the index of a server that has not been tried, or -1 if there is none.
	// reliable asks for a server that is not suspected.
	pick    func(tried []int, reliable bool) int
	observe func(now time.Time, server int, s board.Sample)
	tick    func(now time.Time, stats []board.InflightStats)
	probe   func(now time.Time, server int, ok bool)
	merge   func(now time.Time, from string, reports []health.Report)
	reports func(now time.Time) []health.Report
	hedge   func() time.Duration // 0: no hedged request.
	timeout time.Duration        // 0: only the deadline of the request applies.
}

func newController(policy string, svc *service, v *vm, origin uint64, random *rand.Rand) *controller {
	c := &controller{
		decisions: make([]decision, len(svc.servers)),
		inflight:  make([]int, len(svc.servers)),
	}
	for i := range c.decisions {
		c.decisions[i].weight = 1
	}
	switch policy {
	case PolicyRoundRobin:
		c.pick = c.roundRobin(random.IntN(len(c.decisions)))
	case PolicyConsecutiveErrors:
		c.pick = func(tried []int, _ bool) int { return c.twoChoices(random, tried) }
		c.ejectOnConsecutiveErrors()
	case PolicyLeastOutstanding:
		c.pick = func(tried []int, _ bool) int { return c.leastOutstanding(random, tried) }
		c.timeout = svc.Deadline.Std() / 2
	default:
		c.useDetector(svc, v, origin, random.Uint64())
	}
	return c
}

// begin counts an attempt as in flight at a server.
func (c *controller) begin(i int) {
	c.inflight[i]++
	if c.targets != nil {
		c.targets[i].Begin()
	}
}

// end removes an attempt at a server from the count.
func (c *controller) end(i int) {
	c.inflight[i]--
	if c.targets != nil {
		c.targets[i].End()
	}
}

// useDetector connects the controller to a health detector and a picker, as an entry VM
// does.
func (c *controller) useDetector(svc *service, v *vm, origin, seed uint64) {
	detector := health.New(svc.Name, health.NewPolicy(svc.Detection))
	detector.SetOrigin(origin)
	servers := make([]health.Server, 0, len(svc.servers))
	for _, srv := range svc.servers {
		servers = append(servers, health.NewServer(srv.addr, zoneName(srv.zone), false))
		c.targets = append(c.targets, pick.NewTarget(srv.addr, zoneName(srv.zone), svc.Slots))
	}
	detector.SetServers(v.sim.toTime(0), servers, svc.Floor)
	c.usePicker(seed)
	c.observe = func(now time.Time, _ int, s board.Sample) { detector.Observe(now, s) }
	c.tick = func(now time.Time, stats []board.InflightStats) {
		detector.SetInflight(now, stats)
		for i, d := range detector.Decide(now) {
			c.decisions[i] = decision{d.State(), d.Weight()}
			c.targets[i].SetWeight(d.Weight())
		}
	}
	c.probe = func(now time.Time, server int, ok bool) {
		detector.ObserveProbe(now, svc.servers[server].addr, ok, probeTime)
	}
	c.merge, c.reports, c.hedge = detector.MergeReports, detector.Reports, detector.SlowThreshold
}

// usePicker selects servers with package pick.
func (c *controller) usePicker(seed uint64) {
	picker := pick.New("", seed) // No preferred zone, as in an entry VM.
	picker.SetTargets(c.targets)
	index := make(map[*pick.Target]int, len(c.targets))
	for i, t := range c.targets {
		index[t] = i
	}
	c.pick = func(tried []int, reliable bool) int {
		triedTargets := make([]*pick.Target, 0, len(tried))
		for _, i := range tried {
			triedTargets = append(triedTargets, c.targets[i])
		}
		pickTarget := picker.Pick
		if reliable {
			pickTarget = picker.PickReliable
		}
		t := pickTarget(triedTargets)
		if t == nil {
			return -1
		}
		return index[t]
	}
}

const (
	probeTime         = 25 * time.Millisecond // Duration of a successful or failed health check.
	consecutiveErrors = 5
	baseEjectionTime  = 30 * time.Second // Of the first ejection of a server.
	maxEjectedShare   = 0.5              // Maximum share of the servers that are ejected at a time.
)

// ejectOnConsecutiveErrors ejects a server after five consecutive errors. The ejection time
// grows by the base time with each ejection of the server.
func (c *controller) ejectOnConsecutiveErrors() {
	n := len(c.decisions)
	errorCounts, ejections := make([]int, n), make([]int, n)
	ejectedUntil := make([]time.Time, n)
	ejected := 0
	c.observe = func(now time.Time, i int, s board.Sample) {
		switch s.Outcome {
		case board.Success:
			errorCounts[i] = 0
		case board.Failure, board.Late, board.Reset, board.Truncated, board.Mismatch, board.Unreachable:
			errorCounts[i]++
		default:
		}
		if errorCounts[i] < consecutiveErrors || c.decisions[i].weight == 0 || float64(ejected+1) > maxEjectedShare*float64(n) {
			return
		}
		errorCounts[i] = 0
		ejections[i]++
		ejected++
		ejectedUntil[i] = now.Add(time.Duration(ejections[i]) * baseEjectionTime)
		c.decisions[i] = decision{health.Ejected, 0}
	}
	c.tick = func(now time.Time, _ []board.InflightStats) {
		for i := range c.decisions {
			if c.decisions[i].weight == 0 && !now.Before(ejectedUntil[i]) {
				c.decisions[i] = decision{health.Healthy, 1}
				ejected--
			}
		}
	}
}

// roundRobin returns a function that selects the untried servers in turn. It returns -1 if
// all have been tried.
func (c *controller) roundRobin(next int) func([]int, bool) int {
	return func(tried []int, _ bool) int {
		for range c.decisions {
			next = (next + 1) % len(c.decisions)
			if !contains(tried, next) {
				return next
			}
		}
		return -1
	}
}

// leastOutstanding selects the untried server with the fewest in-flight requests, at random
// among equals. It returns -1 if all have been tried.
func (c *controller) leastOutstanding(random *rand.Rand, tried []int) int {
	best, equal := -1, 0
	for i, n := range c.inflight {
		if contains(tried, i) {
			continue
		}
		switch {
		case best < 0 || n < c.inflight[best]:
			best, equal = i, 1
		case n == c.inflight[best]:
			equal++
			if random.IntN(equal) == 0 {
				best = i
			}
		}
	}
	return best
}

// twoChoices draws two servers by weight and selects the one with fewer in-flight requests.
func (c *controller) twoChoices(random *rand.Rand, tried []int) int {
	a := c.weightedRandom(random, tried, -1)
	b := c.weightedRandom(random, tried, a)
	if a < 0 || b < 0 {
		return max(a, b)
	}
	if c.inflight[b] < c.inflight[a] {
		return b
	}
	return a
}

// weightedRandom draws an eligible server with a probability proportional to its weight, or
// returns -1 if there is none.
func (c *controller) weightedRandom(random *rand.Rand, tried []int, exclude int) int {
	total := 0.0
	for i := range c.decisions {
		if c.eligible(i, tried, exclude) {
			total += c.decisions[i].weight
		}
	}
	if total == 0 {
		return -1
	}
	remaining, last := random.Float64()*total, -1
	for i := range c.decisions {
		if !c.eligible(i, tried, exclude) {
			continue
		}
		last = i
		if remaining -= c.decisions[i].weight; remaining < 0 {
			return i
		}
	}
	return last
}

// eligible reports whether the server may be drawn: it has a weight, is not excluded and has
// not been tried.
func (c *controller) eligible(i int, tried []int, exclude int) bool {
	w := c.decisions[i].weight
	return w > 0 && i != exclude && !contains(tried, i)
}

func contains(list []int, x int) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}
