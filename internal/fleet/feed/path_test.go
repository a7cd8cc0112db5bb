package feed

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// Flags for longer runs by hand.
var (
	fleetSize    = flag.Int("feed.vms", 0, "number of VMs around whose losses changes are played; 0 for 18 and 50")
	lossInterval = flag.Duration("feed.loss", 750*time.Millisecond, "time between two moments of a loss that are played")
	cutInterval  = flag.Duration("feed.cut", 250*time.Millisecond, "time between two moments of a cut that are played")
)

// pathCase is a set of VMs that lose power and one that loses the path to the platform, without any
// sign of it: no call of these is answered any more, also none that is open.
type pathCase struct {
	name         string
	lost, noPath func(f *testFleet, vm *testVM) bool
}

func isWatcher(_ *testFleet, vm *testVM) bool { return vm.isWatcher.Load() }

func nobody(*testFleet, *testVM) bool { return false }

// places reports whether a VM has one of a number of places among those that ask, counted from the first
// one, or from the last one if the number is negative.
func places(n int) func(*testFleet, *testVM) bool {
	return func(_ *testFleet, vm *testVM) bool {
		place, askers := int(vm.place.Load()), int(vm.askers.Load())
		if n < 0 {
			return place < askers && place >= askers+n
		}
		return place < n
	}
}

func but(a, b func(*testFleet, *testVM) bool) func(*testFleet, *testVM) bool {
	return func(f *testFleet, vm *testVM) bool { return a(f, vm) && !b(f, vm) }
}

func pathCases(size int) []pathCase {
	all := func(*testFleet, *testVM) bool { return true }
	return []pathCase{
		{"all watchers without a path", nobody, isWatcher},
		{"all watchers lost, the first askers without a path", isWatcher, places(size / 3)},
		{"most watchers without a path, one and the first askers lost", func(f *testFleet, vm *testVM) bool {
			return vm == f.firstWatcher() || places(size/3)(f, vm)
		}, isWatcher},
		{"all but the last asker without a path", nobody, but(all, places(-1))},
		{"watchers lost, all but the last two askers without a path", isWatcher, but(all, places(-2))},
		{"all but one watcher without a path", nobody, func(f *testFleet, vm *testVM) bool { return vm != f.firstWatcher() }},
	}
}

func (f *testFleet) firstWatcher() *testVM {
	for _, vm := range f.vms {
		if vm.isWatcher.Load() {
			return vm
		}
	}
	return nil
}

// lose makes VMs lose power.
func (f *testFleet) lose(c pathCase) {
	for _, vm := range f.vms {
		if c.lost(f, vm) {
			vm.down.Store(true)
			vm.silent.Store(true)
			vm.interruptWatch()
			vm.config.interruptWatch()
		}
	}
}

// cutPaths makes VMs lose the path to the platform.
func (f *testFleet) cutPaths(c pathCase) {
	for _, vm := range f.vms {
		if c.noPath(f, vm) {
			vm.silent.Store(true)
		}
	}
}

// playPathCase plays a case with the loss and the cut at times relative to the change of a server and
// of the configuration, and fails unless each VM that is up and was not cut off knows both in time.
func playPathCase(t *testing.T, f *testFleet, c pathCase, loss, cut time.Duration) {
	t.Helper()
	start := min(loss, cut, 0)
	var servers, config Position
	for at := start; at <= max(loss, cut, 0); at += lossStep {
		if at == cut {
			f.cutPaths(c)
		}
		if at == loss {
			f.lose(c)
		}
		if at == 0 {
			servers, config = f.set("server"), f.configs.set("config")
		}
		time.Sleep(lossStep)
	}
	time.Sleep(inForce - max(loss, cut, 0) - lossStep)
	for _, vm := range f.vms {
		if !vm.down.Load() && !c.noPath(f, vm) && (vm.Newest() < servers || vm.config.Newest() < config) {
			t.Errorf("%s: loss %v, cut %v from the change: %s (place %d of %d, watcher %v) knows %v and %v after %v, want %v and %v", c.name, loss, cut,
				vm.id, vm.place.Load(), vm.askers.Load(), vm.isWatcher.Load(), vm.Newest(), vm.config.Newest(), inForce, servers, config)
		}
	}
}

// Pattern: VMs lose the path to the platform, among them those that watch it or would ask first, while
// others lose power with a change. Guards against VMs that keep others from asking although the
// platform does not answer them.
func TestPatternVMsWithoutAPathAroundAChange(t *testing.T) {
	sizes := []int{18, 50}
	if *fleetSize > 0 {
		sizes = []int{*fleetSize}
	}
	for _, size := range sizes {
		for _, c := range pathCases(size) {
			t.Run(fmt.Sprintf("%d VMs, %s", size, c.name), func(t *testing.T) {
				t.Parallel()
				for loss := -3 * time.Second; loss <= time.Second; loss += *lossInterval {
					for cut := -3 * time.Second; cut <= time.Second; cut += *cutInterval {
						inSentryFleet(t, 4, size, func(f *testFleet) { playPathCase(t, f, c, loss, cut) })
						if t.Failed() {
							return
						}
					}
				}
			})
		}
	}
}
