package proxy

import (
	"fmt"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
)

// requestCounters holds the metrics of one service, or of requests that match no
// service. Counters by kind and outcome are created on first use: most of them stay
// at zero, and a fleet has hundreds of services.
type requestCounters struct {
	set       *metrics.Set
	service   string
	responses *metrics.Counter
	aborted   *metrics.Counter
	retries   *metrics.Counter
	hedges    *metrics.Counter
	crashes   *metrics.Counter                  // Attempts whose server process ended.
	duration  *metrics.Histogram                // Request duration from the end of the header, in seconds.
	faults    []atomic.Pointer[metrics.Counter] // By fault.Kind.
	outcomes  []atomic.Pointer[metrics.Counter] // By board.Outcome.
	// limitedAttempts counts the attempts at backend servers that state a rate limit.
	limitedAttempts [attemptKindCount]atomic.Pointer[metrics.Counter]
}

func newRequestCounters(set *metrics.Set, service string) *requestCounters {
	c := &requestCounters{
		set: set, service: service,
		faults:   make([]atomic.Pointer[metrics.Counter], len(fault.Kinds())),
		outcomes: make([]atomic.Pointer[metrics.Counter], board.Canceled+1),
	}
	c.responses = c.getCounter("responses", "")
	c.aborted = c.getCounter("aborted", "")
	c.retries = c.getCounter("retries", "")
	c.hedges = c.getCounter("hedges", "")
	c.crashes = c.getCounter("crashes", "")
	c.duration = set.GetOrCreateHistogram(fmt.Sprintf("azuredeal_request_seconds{service=%q}", service))
	return c
}

func (c *requestCounters) getCounter(name, label string) *metrics.Counter {
	return c.set.GetOrCreateCounter(fmt.Sprintf("azuredeal_%s_total{service=%q%s}", name, c.service, label))
}

func (c *requestCounters) fault(k fault.Kind) { c.inc(&c.faults[k], "refusals", "kind", k) }

func (c *requestCounters) outcome(o board.Outcome) { c.inc(&c.outcomes[o], "attempts", "outcome", o) }

func (c *requestCounters) limitedAttempt(k attemptKind) {
	c.inc(&c.limitedAttempts[k], "limited_attempts", "attempt", k)
}

func (c *requestCounters) inc(p *atomic.Pointer[metrics.Counter], name, label string, value fmt.Stringer) {
	counter := p.Load()
	if counter == nil {
		counter = c.getCounter(name, fmt.Sprintf(",%s=%q", label, value))
		p.Store(counter)
	}
	counter.Inc()
}
