package entry

import (
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/proxy"
)

// BenchmarkApplyRelease reports the time in which a VM of a fleet of 178 takes over a
// release in which one of 990 servers has changed.
func BenchmarkApplyRelease(b *testing.B) {
	var services []note.Service
	for _, size := range []int{585, 405} {
		s := largeService(size, 6)
		s.Name = map[int]string{585: "a", 405: "b"}[size]
		services = append(services, s)
	}
	c := &controlLoop{handler: proxy.New(proxy.Options{Zone: "zone-0"}), monitor: newMonitor(zerolog.Nop(), metrics.NewSet(), 1)}
	c.monitor.inflight, c.monitor.setWeights = c.handler.Inflight, c.handler.SetWeights
	p := position{vm: "vm-1", zone: "zone-1", index: 3, count: 30, fleet: 178}
	now, i := time.Unix(0, 0), 0
	for b.Loop() {
		i++
		services[0].Servers[i%585].Leaving = i%2 == 0
		rel := note.NewRelease(uint64(i), services, nil, nil)
		local := subsetRelease(rel, p)
		c.handler.SetRelease(local)
		for _, s := range rel.Services() {
			c.handler.SetPreferred(s.Name, p.preferredServers(s))
		}
		c.monitor.setRelease(now, local)
	}
}
