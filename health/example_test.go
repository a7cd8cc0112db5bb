package health_test

import (
	"fmt"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/health"
	"github.com/azuredeal/azuredeal/note"
)

func Example() {
	now := time.Unix(0, 0)
	g := health.New("layout", health.NewPolicy(note.Detection{Profile: note.ProfileFast}))
	g.Set(now, []health.Server{
		health.NewServer("10.0.0.1:80", "east", false),
		health.NewServer("10.0.0.2:80", "west", false),
	}, 1)
	g.Observe(now, board.Sample{Server: "10.0.0.2:80", Start: now, Outcome: board.Draining})
	for _, d := range g.Decide(now) {
		fmt.Println(d.Server(), d.State(), d.Weight())
	}
	// Output:
	// 10.0.0.1:80 Healthy 1
	// 10.0.0.2:80 Draining 0
}
