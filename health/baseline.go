package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	tailQuantile        = 0.98
	tailStep            = 0.1 // Step of the tail estimate, natural log of seconds.
	minTailSamples      = 50  // Samples before the tail estimate is used.
	minSlowMedians      = 4   // The slow threshold is at least this many medians.
	unhealthyBadRate    = 0.8 // Assumed rate of bad exchanges of an unhealthy server.
	minBadRate          = 0.01
	maxBadRate          = 0.75
	trimFraction        = 0.25 // Share of the servers of a zone, the worst ones, left out of its rate.
	priorGoodExchanges  = 4    // Added to the good exchanges of a rate, so that one bad one does not dominate it.
	medianRefreshPeriod = time.Second
	maxMedianServers    = 512 // Servers sampled for the median, beyond which some are skipped.
)

// serviceBaseline is the latency and rate of bad exchanges of a typical server of the
// service.
type serviceBaseline struct {
	tail        float64 // Estimated 98th percentile, natural log of seconds.
	sampleCount int
	median      time.Duration
	refreshedAt time.Time
	badRate     float64 // Rate of bad exchanges of a typical server, 0 to 1.
	good        float64 // Evidence of one good exchange, in nats, negative.
	bad         float64 // Evidence of one bad exchange, in nats.
}

func newServiceBaseline() serviceBaseline {
	b := serviceBaseline{}
	b.setBadRate(0)
	return b
}

// setBadRate sets the evidence of one exchange from the rate of bad exchanges of a
// typical server. The more exchanges fail on all servers, the weaker the evidence of
// a bad exchange against one of them.
func (b *serviceBaseline) setBadRate(badRate float64) {
	b.badRate = badRate
	badRate = min(max(badRate, minBadRate), maxBadRate)
	b.bad = math.Log(unhealthyBadRate / badRate)
	b.good = math.Log((1 - unhealthyBadRate) / (1 - badRate))
}

// addLatency updates the tail estimate by stochastic approximation. A step up is 49
// times a step down, so the estimate converges to where 2% of the samples lie above it.
func (b *serviceBaseline) addLatency(took time.Duration) {
	logTook := math.Log(max(took.Seconds(), 1e-6))
	if b.sampleCount == 0 {
		b.tail = logTook
	}
	b.sampleCount++
	if logTook > b.tail {
		b.tail += tailStep * tailQuantile
	} else {
		b.tail -= tailStep * (1 - tailQuantile)
	}
}

// slowThreshold returns the latency above which an exchange is slow; 0 until there are
// enough samples.
func (b *serviceBaseline) slowThreshold(slowMargin float64) time.Duration {
	if b.sampleCount < minTailSamples || b.median == 0 {
		return 0
	}
	tail := time.Duration(math.Exp(b.tail) * slowMargin * float64(time.Second))
	return max(tail, minSlowMedians*b.median)
}

// refreshMedian sets the median latency of the service to the median of the medians
// of the servers, which a minority of slow servers does not shift.
func (d *Detector) refreshMedian(now time.Time) {
	if now.Sub(d.baseline.refreshedAt) < medianRefreshPeriod {
		return
	}
	d.baseline.refreshedAt = now
	stride := max(1, len(d.records)/maxMedianServers)
	medians := make([]time.Duration, 0, maxMedianServers+1)
	for i := 0; i < len(d.records); i += stride {
		if m := d.records[i].effectiveMedian(); m > 0 {
			medians = append(medians, m)
		}
	}
	if len(medians) == 0 {
		return
	}
	slices.Sort(medians)
	d.baseline.median = medians[len(medians)/2]
}

// badRate returns the rate of bad exchanges of a typical server: the median over the
// zones of the rate of each zone without its worst servers. Neither an unhealthy
// server nor a slow zone raises it, but a cause that all servers share does. Only
// exchanges of this VM count, since peers do not report on good servers.
func (d *Detector) badRate() float64 {
	d.order = d.order[:0]
	for i := range d.zones {
		z := &d.zones[i]
		z.good, z.bad, z.trimmedServers, z.stalledServers, z.failingServers = 0, 0, 0, 0, 0
	}
	for i, r := range d.records {
		z := &d.zones[r.zoneIndex]
		z.good += r.tally.ownGood
		z.bad += r.tally.ownBad
		if r.stalled {
			z.stalledServers++
		}
		if r.stalled || r.ownBad.value >= d.baseline.bad/2 {
			z.failingServers++
		}
		if r.tally.ownBad > 0 {
			d.order = append(d.order, i)
		}
	}
	if len(d.order) == 0 {
		return 0
	}
	slices.SortStableFunc(d.order, func(a, b int) int {
		return cmp.Compare(d.records[b].tally.ownBad, d.records[a].tally.ownBad)
	})
	for _, i := range d.order {
		d.zones[d.records[i].zoneIndex].trim(d.records[i].tally)
	}
	rates := make([]float64, 0, len(d.zones))
	for i := range d.zones {
		rates = append(rates, d.zones[i].badRate())
	}
	slices.Sort(rates)
	return rates[(len(rates)-1)/2]
}

// trim removes the exchanges of one of the worst servers from the zone, for at most
// trimFraction of its servers.
func (z *zoneStats) trim(t tally) {
	if z.trimmedServers >= max(1, int(trimFraction*float64(z.servers))) {
		return
	}
	z.trimmedServers++
	z.good -= t.ownGood
	z.bad -= t.ownBad
}

func (z *zoneStats) badRate() float64 {
	return z.bad / (z.good + z.bad + priorGoodExchanges)
}
