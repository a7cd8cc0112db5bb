package entry

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/idem"
)

// registerGauges registers the gauges of the VM as a whole; the components register
// their own metrics in the same set.
func (v *VM) registerGauges(set *metrics.Set) {
	set.NewGauge("azuredeal_generation", func() float64 { return float64(v.Generation()) })
	set.NewGauge("azuredeal_members_alive", func() float64 { return float64(v.Alive()) })
	set.NewGauge("azuredeal_ledger_keys", func() float64 { return float64(component[*idem.Ledger](v).Len()) })
	set.NewGauge("azuredeal_samples_dropped_total", func() float64 { return float64(component[*board.Board](v).DroppedSamples()) })
	set.NewGauge("azuredeal_control_steps_total", func() float64 { return float64(component[*board.Board](v).Steps()) })
	set.NewGauge("azuredeal_leaving", func() float64 {
		if v.callerAPI.leaving.Load() {
			return 1
		}
		return 0
	})
}
