package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/entry"
)

// monitor polls the state dumps of all entry VMs for the decisions of health detection.
type monitor struct {
	fleet *fleet

	mu        sync.Mutex
	faults    []*injectedFault
	minUsable map[string]int // Fewest backend servers of a service that a VM considered usable.
}

// injectedFault is an event with the time until a VM reduced the weight of the worker.
type injectedFault struct {
	event         Event
	addr          string
	start         time.Time
	detectionTime time.Duration // 0 until a VM has reduced the weight.
}

func newMonitor(f *fleet) *monitor {
	return &monitor{fleet: f, minUsable: map[string]int{}}
}

// recordFault records an event as starting now. The first affected request follows within
// some milliseconds.
func (m *monitor) recordFault(e Event) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faults = append(m.faults, &injectedFault{event: e, addr: m.fleet.addrs[e.Service][e.Worker], start: time.Now()})
}

// run polls the state dumps until ctx ends.
func (m *monitor) run(ctx context.Context) error {
	for {
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
			return nil
		}
		for _, vm := range m.fleet.vms {
			if dump, err := vm.Dump(ctx); err == nil {
				m.observeDump(dump)
			}
		}
	}
}

func (m *monitor) observeDump(dump *entry.Dump) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, servers := range dump.Health {
		usable := 0
		for _, s := range servers {
			if s.Weight > 0 {
				usable++
			}
			m.observeWeight(s)
		}
		if previous, known := m.minUsable[service]; !known || usable < previous {
			m.minUsable[service] = usable
		}
	}
}

// observeWeight sets the detection time of the faults of a server at its first reduced weight.
func (m *monitor) observeWeight(s entry.ServerState) {
	for _, f := range m.faults {
		if f.addr == s.Server && f.detectionTime == 0 && s.Weight < 1 {
			f.detectionTime = time.Since(f.start)
		}
	}
}

func (m *monitor) outcomes(t *Trace) []outcome {
	m.mu.Lock()
	defer m.mu.Unlock()
	var rows []outcome
	for _, f := range m.faults {
		got := "never"
		if f.detectionTime > 0 {
			got = f.detectionTime.Round(time.Millisecond).String()
		}
		rows = append(rows, outcome{
			name:     fmt.Sprintf("%s worker %d (%v): share cut after", f.event.Service, f.event.Worker, f.event.Mode),
			got:      got,
			expected: fmt.Sprintf("at most %v", t.Expectations.MaxDetectionTime.Std()),
			ok:       f.detectionTime > 0 && f.detectionTime <= t.Expectations.MaxDetectionTime.Std(),
		})
	}
	for _, s := range t.Services {
		rows = append(rows, outcome{
			name:     s.Name + ": fewest usable servers on a VM",
			got:      fmt.Sprint(m.minUsable[s.Name]),
			expected: fmt.Sprintf("at least %d", s.Floor),
			ok:       m.minUsable[s.Name] >= s.Floor,
		})
	}
	return rows
}
