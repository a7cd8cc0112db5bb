package entry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/proxy"
)

const (
	serversPerService = 30 // 14,000 backend servers in 460 services.
	stepsPerSecond    = 10
)

// newSizedRelease returns a release of the given size.
func newSizedRelease(servers, routes, accounts int) *note.Release {
	services := max(1, servers/serversPerService)
	var list []note.Service
	for i := range services {
		s := note.Service{Name: fmt.Sprintf("service-%d", i), Floor: serversPerService / 2, Deadline: note.Duration(time.Second)}
		for j := range min(servers, serversPerService) {
			n := i*serversPerService + j
			s.Servers = append(s.Servers, note.Server{
				Addr: fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&255, n&255), Zone: fmt.Sprintf("zone-%d", j%6), Slots: 3, Conns: 400,
			})
		}
		list = append(list, s)
	}
	var rs []note.Route
	for i := range routes {
		rs = append(rs, note.Route{
			Name: fmt.Sprintf("route-%d", i), Service: fmt.Sprintf("service-%d", i%services),
			Path: fmt.Sprintf("/v1/tenant-%d/objects/*", i), Methods: []string{"GET"}, Idempotent: true, Class: note.ClassNormal,
		})
	}
	var as []note.Account
	for i := range accounts {
		as = append(as, note.Account{Name: fmt.Sprintf("account-%d", i), TokenDigest: fmt.Sprintf("%064x", i), Rate: 50, Burst: 100})
	}
	return note.NewRelease(1, list, rs, as)
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// controlLoop is the part of a VM that holds a release and decides on the health of
// backend servers.
type controlLoop struct {
	handler *proxy.Handler
	monitor *monitor
}

func newControlLoop(rel *note.Release) *controlLoop {
	c := &controlLoop{handler: proxy.New(proxy.Options{Zone: "zone-0"}), monitor: newMonitor(zerolog.Nop(), metrics.NewSet(), 1)}
	c.monitor.inflight, c.monitor.setWeights = c.handler.Inflight, c.handler.SetWeights
	local := subsetRelease(rel, position{vm: "vm-1"})
	c.handler.SetRelease(local)
	c.monitor.setRelease(time.Unix(0, 0), local)
	return c
}

// BenchmarkReleaseMemory reports the heap memory that a release takes in a VM: the
// release itself, the routing table, and the state of proxy and health detection.
func BenchmarkReleaseMemory(b *testing.B) {
	sizes := []struct {
		name                      string
		servers, routes, accounts int
	}{
		{"servers=140", 140, 0, 0},
		{"servers=1400", 1400, 0, 0},
		{"servers=14000", 14000, 0, 0},
		{"routes=250", 30, 250, 0},
		{"routes=2500", 30, 2500, 0},
		{"routes=25000", 30, 25000, 0},
		{"accounts=530", 30, 0, 530},
		{"accounts=5300", 30, 0, 5300},
		{"accounts=53000", 30, 0, 53000},
		{"all", 14000, 25000, 53000},
	}
	for _, s := range sizes {
		b.Run(s.name, func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				rel := newSizedRelease(s.servers, s.routes, s.accounts)
				release := heapBytes()
				c := newControlLoop(rel)
				b.ReportMetric(float64(release-before), "release-B")
				b.ReportMetric(float64(heapBytes()-before), "total-B")
				runtime.KeepAlive(c)
				runtime.KeepAlive(rel)
			}
		})
	}
}

// BenchmarkControlStep reports the time of one step of the control loop and, at ten steps
// per second, the share of a core. The VM has 115 requests per second, its share of
// 150,000 over 1,300 VMs, spread over all servers.
func BenchmarkControlStep(b *testing.B) {
	const requestsPerStep = 12
	for _, servers := range []int{30, 140, 1400, 14000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := newControlLoop(newSizedRelease(servers, 0, 0))
			now := time.Unix(1000, 0)
			n := 0
			for b.Loop() {
				now = now.Add(time.Second / stepsPerSecond)
				for range requestsPerStep {
					n += 7 // Spreads the samples over services.
					c.monitor.observeSample(now, c.sampleOf(n%servers, now))
				}
				c.monitor.step(now)
			}
			perStep := float64(b.Elapsed()) / float64(b.N)
			b.ReportMetric(perStep*stepsPerSecond/float64(time.Second)*100, "%core")
		})
	}
}

func (c *controlLoop) sampleOf(n int, now time.Time) board.Sample {
	return board.Sample{
		Service: fmt.Sprintf("service-%d", n/serversPerService), Server: fmt.Sprintf("10.%d.%d.%d:8080", n>>16, n>>8&255, n&255),
		Start: now.Add(-20 * time.Millisecond), Took: 20 * time.Millisecond, Outcome: board.Success,
	}
}
