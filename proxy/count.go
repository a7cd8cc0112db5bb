package proxy

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/fault"
)

// counters are the counters of one service, or of requests without one.
type counters struct {
	whole    *metrics.Counter
	aborted  *metrics.Counter
	retries  *metrics.Counter
	hedges   *metrics.Counter
	faults   []*metrics.Counter // By fault.Kind.
	outcomes []*metrics.Counter // By board.Outcome.
}

func newCounters(set *metrics.Set, service string) *counters {
	c := &counters{
		whole:   set.GetOrCreateCounter(fmt.Sprintf("azuredeal_responses_total{service=%q}", service)),
		aborted: set.GetOrCreateCounter(fmt.Sprintf("azuredeal_aborted_total{service=%q}", service)),
		retries: set.GetOrCreateCounter(fmt.Sprintf("azuredeal_retries_total{service=%q}", service)),
		hedges:  set.GetOrCreateCounter(fmt.Sprintf("azuredeal_hedges_total{service=%q}", service)),
	}
	for _, kind := range fault.Kinds() {
		name := fmt.Sprintf("azuredeal_refusals_total{service=%q,kind=%q}", service, kind)
		c.faults = append(c.faults, set.GetOrCreateCounter(name))
	}
	for o := board.Success; o <= board.Canceled; o++ {
		name := fmt.Sprintf("azuredeal_attempts_total{service=%q,outcome=%q}", service, o)
		c.outcomes = append(c.outcomes, set.GetOrCreateCounter(name))
	}
	return c
}

func (c *counters) done()                   { c.whole.Inc() }
func (c *counters) fault(k fault.Kind)      { c.faults[k].Inc() }
func (c *counters) outcome(o board.Outcome) { c.outcomes[o].Inc() }
