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
	detector := health.New("layout", health.NewPolicy(note.Detection{Profile: note.ProfileFast}))
	detector.SetServers(now, []health.Server{
		health.NewServer("10.0.0.1:80", "east", false),
		health.NewServer("10.0.0.2:80", "west", false),
	}, 1)
	detector.Observe(now, board.Sample{Server: "10.0.0.2:80", Start: now, Outcome: board.Draining})
	for _, d := range detector.Decide(now) {
		fmt.Println(d.Server(), d.State(), d.Weight())
	}
	// Output:
	// 10.0.0.1:80 Healthy 1
	// 10.0.0.2:80 Draining 0
}

func ExampleDetector() {
	now := time.Unix(0, 0)
	detector := health.New("registry", health.NewPolicy(note.Detection{Profile: note.ProfileFast}))
	addrs := []string{"10.0.0.1:80", "10.0.0.2:80", "10.0.0.3:80", "10.0.0.4:80"}
	var servers []health.Server
	for i, addr := range addrs {
		servers = append(servers, health.NewServer(addr, fmt.Sprintf("zone-%d", i%2), false))
	}
	detector.SetServers(now, servers, 2)
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for i, addr := range addrs {
			s := board.Sample{Service: "registry", Server: addr, Start: now, Took: 20 * time.Millisecond}
			if i == 3 && now.After(time.Unix(8, 0)) {
				s.Outcome = board.Failure
			}
			detector.Observe(now, s)
		}
		detector.Decide(now)
	}
	for _, d := range detector.Decide(now) {
		fmt.Println(d.Server(), d.State(), d.Weight() < 1)
	}
	// Output:
	// 10.0.0.1:80 Healthy false
	// 10.0.0.2:80 Healthy false
	// 10.0.0.3:80 Healthy false
	// 10.0.0.4:80 Trial true
}
