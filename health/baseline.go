package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	tailQuantile  = 0.98
	tailStep      = 0.1 // Step of the tail estimate, natural log.
	learnAfter    = 50  // Samples before the tail estimate is used.
	slowAtLeast   = 4   // Slow is at least this many medians.
	badWhenSick   = 0.8 // Assumed share of bad exchanges of an unhealthy server.
	badAtLeast    = 0.01
	badAtMost     = 0.75
	trimShare     = 0.25 // Worst servers left out of the rate of the service.
	rateInertia   = 4    // Good exchanges that a rate assumes, so that one bad one is no trend.
	refreshPeriod = time.Second
	sampleServers = 512 // Servers whose medians are compared at most.
)

// baseline is what is typical of the service.
type baseline struct {
	tail   float64 // Estimated 98th percentile, natural log of seconds.
	seen   int
	median time.Duration
	at     time.Time
	rate   float64 // Share of bad exchanges of a typical server.
	good   float64 // Evidence of one good exchange, in nats, negative.
	bad    float64 // Evidence of one bad exchange, in nats.
}

func newBaseline() baseline {
	b := baseline{}
	b.weigh(0)
	return b
}

// weigh sets the evidence of one exchange from the share of bad exchanges of a
// typical server. The more a shared cause makes all servers fail, the less a
// bad exchange says about one of them.
func (b *baseline) weigh(rate float64) {
	b.rate = rate
	rate = min(max(rate, badAtLeast), badAtMost)
	b.bad = math.Log(badWhenSick / rate)
	b.good = math.Log((1 - badWhenSick) / (1 - rate))
}

// learn moves the tail estimate. A step up is 49 times a step down, so the
// estimate settles where 2% of the samples lie above it.
func (b *baseline) learn(took time.Duration) {
	x := math.Log(max(took.Seconds(), 1e-6))
	if b.seen == 0 {
		b.tail = x
	}
	b.seen++
	if x > b.tail {
		b.tail += tailStep * tailQuantile
	} else {
		b.tail -= tailStep * (1 - tailQuantile)
	}
}

func (b *baseline) slow(margin float64) time.Duration {
	if b.seen < learnAfter || b.median == 0 {
		return 0
	}
	tail := time.Duration(math.Exp(b.tail) * margin * float64(time.Second))
	return max(tail, slowAtLeast*b.median)
}

// refresh compares the medians of the servers; the median of those is typical
// of the service, whatever a minority of servers does.
func (g *Detector) refresh(now time.Time) {
	if now.Sub(g.base.at) < refreshPeriod {
		return
	}
	g.base.at = now
	stride := max(1, len(g.records)/sampleServers)
	medians := make([]time.Duration, 0, sampleServers+1)
	for i := 0; i < len(g.records); i += stride {
		if m := g.records[i].reported(); m > 0 {
			medians = append(medians, m)
		}
	}
	if len(medians) == 0 {
		return
	}
	slices.Sort(medians)
	g.base.median = medians[len(medians)/2]
}

// rate returns the share of bad exchanges of the typical server: of each zone
// without its worst servers, then the median of the zones. Neither an unhealthy
// server nor a slow zone raises it; a cause that all servers share does. Only
// exchanges of this VM count, since peers do not report good servers.
func (g *Detector) rate() float64 {
	g.order = g.order[:0]
	for i := range g.zones {
		z := &g.zones[i]
		z.good, z.bad, z.trimmed, z.stalls, z.failing = 0, 0, 0, 0, 0
	}
	for i, r := range g.records {
		z := &g.zones[r.zoneIndex]
		z.good += r.tally.ownGood
		z.bad += r.tally.own
		if r.stalled {
			z.stalls++
		}
		if r.stalled || r.own.value >= g.base.bad/2 {
			z.failing++
		}
		if r.tally.own > 0 {
			g.order = append(g.order, i)
		}
	}
	if len(g.order) == 0 {
		return 0
	}
	slices.SortStableFunc(g.order, func(a, b int) int {
		return cmp.Compare(g.records[b].tally.own, g.records[a].tally.own)
	})
	for _, i := range g.order {
		g.zones[g.records[i].zoneIndex].trim(g.records[i].tally)
	}
	rates := make([]float64, 0, len(g.zones))
	for i := range g.zones {
		rates = append(rates, g.zones[i].rate())
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

// trim takes one of the worst servers out, up to a share of the zone.
func (z *zoneCount) trim(t tally) {
	if z.trimmed >= max(1, int(trimShare*float64(z.servers))) {
		return
	}
	z.trimmed++
	z.good -= t.ownGood
	z.bad -= t.own
}

func (z *zoneCount) rate() float64 {
	return z.bad / (z.good + z.bad + rateInertia)
}
