package proxy

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
)

// counters are the counters of one service, or of requests without one. Those
// by kind and outcome are made at first use: most stay at zero, and a fleet has
// hundreds of services.
type counters struct {
	set      *metrics.Set
	service  string
	whole    *metrics.Counter
	aborted  *metrics.Counter
	retries  *metrics.Counter
	hedges   *metrics.Counter
	duration *metrics.Histogram                // Of requests, from the end of their header, in seconds.
	faults   []atomic.Pointer[metrics.Counter] // By fault.Kind.
	outcomes []atomic.Pointer[metrics.Counter] // By board.Outcome.
}

func newCounters(set *metrics.Set, service string) *counters {
	c := &counters{
		set: set, service: service,
		faults:   make([]atomic.Pointer[metrics.Counter], len(fault.Kinds())),
		outcomes: make([]atomic.Pointer[metrics.Counter], board.Canceled+1),
	}
	c.whole = c.named("responses", "")
	c.aborted = c.named("aborted", "")
	c.retries = c.named("retries", "")
	c.hedges = c.named("hedges", "")
	c.duration = set.GetOrCreateHistogram(fmt.Sprintf("azuredeal_request_seconds{service=%q}", service))
	return c
}

func (c *counters) named(name, label string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("azuredeal_%s_total{service=%q%s}", name, c.service, label))
}

func (c *counters) fault(k fault.Kind) { c.inc(&c.faults[k], "refusals", "kind", k) }

func (c *counters) outcome(o board.Outcome) { c.inc(&c.outcomes[o], "attempts", "outcome", o) }

func (c *counters) inc(p *atomic.Pointer[metrics.Counter], name, label string, value fmt.Stringer) {
	counter := p.Load()
	if counter == nil {
		counter = c.named(name, fmt.Sprintf(",%s=%q", label, value))
		p.Store(counter)
	}
	counter.Inc()
}
