package replay

import (
	"math/rand/v2"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/health"
	"github.com/azuredeal/azuredeal/pick"
)

// Names of the policies.
const (
	PolicyAzuredeal         = "azuredeal" // The health package.
	PolicyRoundRobin        = "robin"     // Round robin without detection.
	PolicyConsecutiveErrors = "five"      // Ejection after five errors in a row.
	PolicyLeastOutstanding  = "least"     // Least outstanding with a fixed timeout.
)

// PolicyNames returns all policies; the first is not a baseline.
func PolicyNames() []string {
	return []string{PolicyAzuredeal, PolicyRoundRobin, PolicyConsecutiveErrors, PolicyLeastOutstanding}
}

// view is what a policy has decided about one server.
type view struct {
	state  health.State
	weight float64
}

// control is one VM's policy for one service. Fields that a policy does not
// need are nil.
type control struct {
	views    []view
	inflight []int
	targets  []*pick.Target // Of the real picker.
	// pick returns a server, or -1 when there is no choice. once asks for a
	// server that is not suspected.
	pick    func(tried []int, once bool) int
	observe func(now time.Time, server int, s board.Sample)
	tick    func(now time.Time, flights []board.InflightStats)
	probe   func(now time.Time, server int, ok bool)
	merge   func(now time.Time, from string, reports []health.Report)
	reports func(now time.Time) []health.Report
	hedge   func() time.Duration // 0: no hedge.
	timeout time.Duration        // Of one attempt; 0: the deadline only.
}

func newControl(policy string, svc *service, v *vm, origin uint64, random *rand.Rand) *control {
	c := &control{
		views:    make([]view, len(svc.servers)),
		inflight: make([]int, len(svc.servers)),
	}
	for i := range c.views {
		c.views[i].weight = 1
	}
	switch policy {
	case PolicyRoundRobin:
		c.pick = c.robin(random.IntN(len(c.views)))
	case PolicyConsecutiveErrors:
		c.pick = func(tried []int, _ bool) int { return c.twoChoices(random, tried) }
		c.five()
	case PolicyLeastOutstanding:
		c.pick = func(tried []int, _ bool) int { return c.least(random, tried) }
		c.timeout = svc.Deadline.Std() / 2
	default:
		c.real(svc, v, origin, random.Uint64())
	}
	return c
}

// begin counts an attempt that starts at a server.
func (c *control) begin(i int) {
	c.inflight[i]++
	if c.targets != nil {
		c.targets[i].Begin()
	}
}

// end counts an attempt that ended.
func (c *control) end(i int) {
	c.inflight[i]--
	if c.targets != nil {
		c.targets[i].End()
	}
}

// real connects the control with a health group and a picker, as an entry VM
// does.
func (c *control) real(svc *service, v *vm, origin, seed uint64) {
	g := health.New(svc.Name, health.NewPolicy(svc.Detection))
	g.SetOrigin(origin)
	servers := make([]health.Server, 0, len(svc.servers))
	for _, b := range svc.servers {
		servers = append(servers, health.NewServer(b.addr, zoneName(b.zone), false))
		c.targets = append(c.targets, pick.NewTarget(b.addr, zoneName(b.zone), svc.Slots))
	}
	g.SetServers(v.sim.clock(0), servers, svc.Floor)
	c.choose(seed)
	c.observe = func(now time.Time, _ int, s board.Sample) { g.Observe(now, s) }
	c.tick = func(now time.Time, flights []board.InflightStats) {
		g.SetInflight(now, flights)
		for i, d := range g.Decide(now) {
			c.views[i] = view{d.State(), d.Weight()}
			c.targets[i].SetWeight(d.Weight())
		}
	}
	c.probe = func(now time.Time, server int, ok bool) {
		g.ObserveProbe(now, svc.servers[server].addr, ok, probeTime)
	}
	c.merge, c.reports, c.hedge = g.MergeReports, g.Reports, g.SlowThreshold
}

// choose sets the choice of servers to that of package pick.
func (c *control) choose(seed uint64) {
	picker := pick.New("", seed) // An entry VM prefers no zone either.
	picker.SetTargets(c.targets)
	index := make(map[*pick.Target]int, len(c.targets))
	for i, t := range c.targets {
		index[t] = i
	}
	c.pick = func(tried []int, once bool) int {
		left := make([]*pick.Target, 0, len(tried))
		for _, i := range tried {
			left = append(left, c.targets[i])
		}
		choice := picker.Pick
		if once {
			choice = picker.PickReliable
		}
		t := choice(left)
		if t == nil {
			return -1
		}
		return index[t]
	}
}

const (
	probeTime   = 25 * time.Millisecond
	errorsInRow = 5
	ejectFor    = 30 * time.Second
	ejectShare  = 0.5 // Servers that the baseline ejects at most.
)

// five ejects a server after five errors in a row, each time for longer.
func (c *control) five() {
	n := len(c.views)
	row, times := make([]int, n), make([]int, n)
	until := make([]time.Time, n)
	ejected := 0
	c.observe = func(now time.Time, i int, s board.Sample) {
		switch s.Outcome {
		case board.Success:
			row[i] = 0
		case board.Failure, board.Late, board.Reset, board.Truncated, board.Mismatch, board.Unreachable:
			row[i]++
		default:
		}
		if row[i] < errorsInRow || c.views[i].weight == 0 || float64(ejected+1) > ejectShare*float64(n) {
			return
		}
		row[i] = 0
		times[i]++
		ejected++
		until[i] = now.Add(time.Duration(times[i]) * ejectFor)
		c.views[i] = view{health.Ejected, 0}
	}
	c.tick = func(now time.Time, _ []board.InflightStats) {
		for i := range c.views {
			if c.views[i].weight == 0 && !now.Before(until[i]) {
				c.views[i] = view{health.Healthy, 1}
				ejected--
			}
		}
	}
}

func (c *control) robin(next int) func([]int, bool) int {
	return func(tried []int, _ bool) int {
		for range c.views {
			next = (next + 1) % len(c.views)
			if !contains(tried, next) {
				return next
			}
		}
		return -1
	}
}

// least takes the server with the fewest requests in flight; among equals, a
// random one.
func (c *control) least(random *rand.Rand, tried []int) int {
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

// twoChoices draws two servers by weight and takes the one with fewer requests
// in flight.
func (c *control) twoChoices(random *rand.Rand, tried []int) int {
	a := c.byWeight(random, tried, -1)
	b := c.byWeight(random, tried, a)
	if a < 0 || b < 0 {
		return max(a, b)
	}
	if c.inflight[b] < c.inflight[a] {
		return b
	}
	return a
}

func (c *control) byWeight(random *rand.Rand, tried []int, not int) int {
	total := 0.0
	for i := range c.views {
		if c.open(i, tried, not) {
			total += c.views[i].weight
		}
	}
	if total == 0 {
		return -1
	}
	left, last := random.Float64()*total, -1
	for i := range c.views {
		if !c.open(i, tried, not) {
			continue
		}
		last = i
		if left -= c.views[i].weight; left < 0 {
			return i
		}
	}
	return last
}

func (c *control) open(i int, tried []int, not int) bool {
	w := c.views[i].weight
	return w > 0 && i != not && !contains(tried, i)
}

func contains(list []int, x int) bool {
	for _, v := range list {
		if v == x {
			return true
		}
	}
	return false
}
