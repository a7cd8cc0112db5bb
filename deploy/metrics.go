package deploy

import "github.com/VictoriaMetrics/metrics"

// RegisterMetrics registers the counters and gauges of the follower in set.
func (f *Follower) RegisterMetrics(set *metrics.Set) {
	set.NewGauge("azuredeal_release_generation", func() float64 { return float64(f.Generation()) })
	set.NewGauge("azuredeal_release_watch", func() float64 {
		if watch, _ := f.watchMode(); watch {
			return 1
		}
		return 0
	})
	set.NewGauge("azuredeal_release_applied_total", func() float64 { return float64(f.counts.applied.Load()) })
	set.NewGauge("azuredeal_release_behind_total", func() float64 { return float64(f.counts.behind.Load()) })
	set.NewGauge("azuredeal_release_forked_total", func() float64 { return float64(f.counts.forked.Load()) })
	set.NewGauge("azuredeal_release_failed_total", func() float64 { return float64(f.counts.failed.Load()) })
	set.NewGauge("azuredeal_release_checked_total", func() float64 { return float64(f.counts.checked.Load()) })
}

// RegisterMetrics registers the counters of the publisher in set.
func (p *Publisher) RegisterMetrics(set *metrics.Set) {
	for name, read := range map[string]func(PublishStats) uint64{
		"accepted":   func(s PublishStats) uint64 { return s.Accepted },
		"recognised": func(s PublishStats) uint64 { return s.Duplicates },
		"refused":    func(s PublishStats) uint64 { return s.Refused },
		"settled":    func(s PublishStats) uint64 { return s.ResolvedCommits },
		"objects":    func(s PublishStats) uint64 { return s.Objects },
		"bytes":      func(s PublishStats) uint64 { return s.Bytes },
		"collected":  func(s PublishStats) uint64 { return s.Collected },
		"rewritten":  func(s PublishStats) uint64 { return s.Rewritten },
	} {
		set.NewGauge("azuredeal_publish_"+name+"_total", func() float64 { return float64(read(p.Stats())) })
	}
}
