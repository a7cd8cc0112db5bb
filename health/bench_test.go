package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
)

// BenchmarkDecide measures one round of decisions of a VM every 100 ms: samples and
// in-flight requests of one server in ten, the decisions and, every fifth round, the
// reports.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{30, 300, 14_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			detector := New("layout", NewPolicy(note.Detection{Profile: note.ProfileFast}))
			now := time.Unix(1000, 0)
			servers := make([]Server, 0, n)
			for i := range n {
				servers = append(servers, NewServer(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), fmt.Sprint(i%6), false))
			}
			detector.SetServers(now, servers, n/2)
			inflight := make([]board.InflightStats, 0, n/10)
			b.ReportAllocs()
			b.ResetTimer()
			for round := range b.N {
				now = now.Add(100 * time.Millisecond)
				inflight = inflight[:0]
				for i := round % 10; i < n; i += 10 {
					out, took := board.Success, 80*time.Millisecond
					if i == 7 {
						out = board.Failure
					}
					detector.Observe(now, board.Sample{Server: servers[i].Addr(), Start: now.Add(-took), Took: took, Outcome: out})
					inflight = append(inflight, board.InflightStats{Server: servers[i].Addr(), Count: 1, OldestStart: now})
				}
				detector.SetInflight(now, inflight)
				detector.Decide(now)
				if round%5 == 0 {
					detector.Reports(now)
				}
			}
		})
	}
}
