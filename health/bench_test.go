package health

import (
	"fmt"
	"testing"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/note"
)

// BenchmarkDecide measures one round of decisions of a VM: the samples of
// 100 ms (one per ten servers), the requests in flight, the decisions and, every
// fifth time, the reports.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{30, 300, 14_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			g := New("layout", NewPolicy(note.Detection{Profile: note.ProfileFast}))
			now := time.Unix(1000, 0)
			servers := make([]Server, 0, n)
			for i := range n {
				servers = append(servers, NewServer(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), fmt.Sprint(i%6), false))
			}
			g.SetServers(now, servers, n/2)
			flights := make([]board.InflightStats, 0, n/10)
			b.ReportAllocs()
			b.ResetTimer()
			for round := range b.N {
				now = now.Add(100 * time.Millisecond)
				flights = flights[:0]
				for i := round % 10; i < n; i += 10 {
					out, took := board.Success, 80*time.Millisecond
					if i == 7 {
						out = board.Failure
					}
					g.Observe(now, board.Sample{Server: servers[i].Addr(), Start: now.Add(-took), Took: took, Outcome: out})
					flights = append(flights, board.InflightStats{Server: servers[i].Addr(), Count: 1, OldestStart: now})
				}
				g.SetInflight(now, flights)
				g.Decide(now)
				if round%5 == 0 {
					g.Reports(now)
				}
			}
		})
	}
}
