package demo

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/azuredeal/azuredeal/entry"
)

// watch follows the decisions of all entry VMs through their state dumps.
type watch struct {
	fleet *fleet

	mu     sync.Mutex
	faults []*failure
	lowest map[string]int // Fewest usable servers of a service in any VM's view.
}

// failure is a worker that misbehaves, with the time until a VM cut its share.
type failure struct {
	event Event
	addr  string
	since time.Time
	cut   time.Duration // 0 until a VM has decided.
}

func newWatch(f *fleet) *watch {
	return &watch{fleet: f, lowest: map[string]int{}}
}

// faulty starts the clock of an event. The first request after it is affected at
// most some milliseconds later.
func (w *watch) faulty(e Event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, &failure{event: e, addr: w.fleet.addrs[e.Service][e.Worker], since: time.Now()})
}

// run polls until ctx ends.
func (w *watch) run(ctx context.Context) error {
	for {
		select {
		case <-time.After(pollTime):
		case <-ctx.Done():
			return nil
		}
		for _, vm := range w.fleet.vms {
			if dump, err := vm.Dump(ctx); err == nil {
				w.take(dump)
			}
		}
	}
}

func (w *watch) take(dump *entry.Dump) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for service, servers := range dump.Health {
		usable := 0
		for _, s := range servers {
			if s.Weight > 0 {
				usable++
			}
			w.decided(s)
		}
		if low, known := w.lowest[service]; !known || usable < low {
			w.lowest[service] = usable
		}
	}
}

func (w *watch) decided(s entry.ServerState) {
	for _, f := range w.faults {
		if f.addr == s.Server && f.cut == 0 && s.Weight < 1 {
			f.cut = time.Since(f.since)
		}
	}
}

func (w *watch) outcomes(t *Trace) []outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	var rows []outcome
	for _, f := range w.faults {
		got := "never"
		if f.cut > 0 {
			got = f.cut.Round(time.Millisecond).String()
		}
		rows = append(rows, outcome{
			name:   fmt.Sprintf("%s worker %d (%v): share cut after", f.event.Service, f.event.Worker, f.event.Mode),
			got:    got,
			stated: fmt.Sprintf("at most %v", t.Expectations.MaxDetectionTime.Std()),
			ok:     f.cut > 0 && f.cut <= t.Expectations.MaxDetectionTime.Std(),
		})
	}
	for _, s := range t.Services {
		rows = append(rows, outcome{
			name:   s.Name + ": fewest usable servers on a VM",
			got:    fmt.Sprint(w.lowest[s.Name]),
			stated: fmt.Sprintf("at least %d", s.Floor),
			ok:     w.lowest[s.Name] >= s.Floor,
		})
	}
	return rows
}
