package pick_test

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/seed"
)

const testSeed = 7

func targets(n, zones, first int) []*pick.Target {
	out := make([]*pick.Target, n)
	for i := range out {
		addr := fmt.Sprintf("10.0.%d.%d:80", (first+i)/250, (first+i)%250)
		out[i] = pick.NewTarget(addr, fmt.Sprintf("z%d", i%zones), 3)
	}
	return out
}

// Guards against an attempt at an ejected server or at one already tried.
func TestPickSkipsZeroWeightAndTried(t *testing.T) {
	first := seed.For(t, testSeed)
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(int64(first)))
	props.Property("only usable targets", prop.ForAll(func(weights []int, used []bool) bool {
		list := targets(len(weights), 3, 0)
		var tried []*pick.Target
		usable := 0
		for i, w := range weights {
			list[i].SetWeight(float64(w) / 10)
			if i < len(used) && used[i] {
				tried = append(tried, list[i])
			} else if w > 0 {
				usable++
			}
		}
		p := pick.New("z1", first)
		p.SetTargets(list)
		for range 20 {
			got := p.Pick(tried)
			if (got == nil) != (usable == 0) {
				return false
			}
			if got != nil && (got.Weight() == 0 || slices.Contains(tried, got)) {
				return false
			}
		}
		return true
	}, gen.SliceOf(gen.IntRange(0, 10)), gen.SliceOf(gen.Bool())))
	props.TestingRun(t)
}

// Guards against a server on trial that never gets a request on an idle VM, and
// against one that gets a full share.
func TestPickSharesByWeight(t *testing.T) {
	list := targets(10, 1, 0)
	list[0].SetWeight(0.1)
	p := pick.New("z0", seed.For(t, testSeed))
	p.SetTargets(list)
	const picks = 20_000
	got := 0
	for range picks {
		if p.Pick(nil) == list[0] {
			got++
		}
	}
	want := picks * 0.1 / 9.1
	if math.Abs(float64(got)-want) > 0.5*want {
		t.Fatalf("picked %d times, want about %.0f", got, want)
	}
}

// Guards against needless hops between zones, against a zone preference that
// overloads the own zone or insists on a server of reduced weight, and against
// piling work on a server that does not answer.
func TestPickPreference(t *testing.T) {
	for _, c := range []struct {
		name     string
		zones    int
		change   func(own *pick.Target)
		min, max float64 // Share of zone z0.
	}{
		{"idle", 4, func(*pick.Target) {}, 1, 1},
		{"loaded", 4, func(own *pick.Target) { own.Begin(); own.Begin() }, 0, 0.15},
		{"reduced", 4, func(own *pick.Target) { own.SetWeight(0.1) }, 0, 0.15},
		{"ejected", 4, func(own *pick.Target) { own.SetWeight(0) }, 0, 0},
		{"no answers", 12, func(own *pick.Target) { begin(own, 30) }, 0, 0},
	} {
		list := targets(12, c.zones, 0)
		p := pick.New("z0", seed.For(t, testSeed))
		p.SetTargets(list)
		for _, target := range list {
			if target.Zone() == "z0" {
				c.change(target)
			}
		}
		const picks = 5000
		own := 0
		for range picks {
			if p.Pick(nil).Zone() == "z0" {
				own++
			}
		}
		if share := float64(own) / picks; share < c.min || share > c.max {
			t.Errorf("%s: own zone got %.2f, want %.2f to %.2f", c.name, share, c.min, c.max)
		}
	}
}

func begin(target *pick.Target, n int) {
	for range n {
		target.Begin()
	}
}

// Guards against a source of randomness that goroutines corrupt (run with -race),
// and against choices that differ between two replays of one trace.
func TestPickFromManyGoroutines(t *testing.T) {
	list := targets(20, 4, 0)
	first := seed.For(t, testSeed)
	a, b, both := pick.New("z0", first), pick.New("z0", first), pick.New("z0", first)
	a.SetTargets(list)
	b.SetTargets(list)
	both.SetTargets(list)
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for i := range 2000 {
				both.Pick(list[:1]).Begin()
				if i%100 == 0 {
					both.SetTargets(list[:10+i/200])
				}
			}
		})
	}
	group.Wait()
	for i := range 1000 {
		if a.Pick(nil) != b.Pick(nil) {
			t.Fatalf("choice %d differs", i)
		}
	}
}

// Guards against a subset that is below the floor, repeats a server or leaves
// out a zone, and against one that changes much when one server goes.
func TestSubset(t *testing.T) {
	holds := func(n, zones, size, floor, vm int) bool {
		list := targets(n, zones, 0)
		id := fmt.Sprintf("vm-%d", vm)
		got := pick.Subset(id, list, size, floor)
		want := min(n, max(8, size, floor))
		if len(slices.Compact(slices.Clone(got))) != want || len(got) != want {
			return false
		}
		perZone := map[string]int{}
		for _, target := range got {
			perZone[target.Zone()]++
		}
		if len(perZone) < min(zones, n) && want >= 2*zones {
			return false
		}
		gone := vm % n
		rest := slices.Delete(slices.Clone(list), gone, gone+1)
		return moved(got, pick.Subset(id, rest, size, floor)) <= 1
	}
	// Seats that follow the position of a zone in a list move with each zone before
	// it: here the loss of one server once replaced three of 15.
	if !holds(43, 5, 0, 15, 1334) {
		t.Error("the loss of one server replaces others")
	}
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(int64(seed.For(t, testSeed))))
	props.Property("size, zones, movement", prop.ForAll(holds,
		gen.IntRange(1, 200), gen.IntRange(1, 6), gen.IntRange(0, 20), gen.IntRange(0, 15), gen.IntRange(0, 5000)))
	props.TestingRun(t)
}

// moved returns how many of after are not in before.
func moved(before, after []*pick.Target) int {
	n := 0
	for _, target := range after {
		if !slices.Contains(before, target) {
			n++
		}
	}
	return n
}

func ExamplePicker() {
	near := pick.NewTarget("10.0.0.1:80", "z1", 3)
	far := pick.NewTarget("10.0.0.2:80", "z2", 3)
	p := pick.New("z1", 1)
	p.SetTargets([]*pick.Target{near, far})

	first := p.Pick(nil)
	first.Begin()
	defer first.End()
	fmt.Println(first.Addr())
	fmt.Println(p.Pick([]*pick.Target{first}).Addr())
	// Output:
	// 10.0.0.1:80
	// 10.0.0.2:80
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{8, 20} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			p := pick.New("z0", testSeed)
			p.SetTargets(targets(n, 4, 0))
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					target := p.Pick(nil)
					target.Begin()
					target.End()
				}
			})
		})
	}
}

// BenchmarkSubset reports how many VMs share each backend server, and how many
// members of a subset change when one server of its service goes.
func BenchmarkSubset(b *testing.B) {
	for _, c := range []struct{ vms, servers, services, zones, floor int }{
		{18, 20, 1, 4, 8},
		{18, 20, 1, 4, 12},
		{1300, 14_000, 460, 6, 8},
	} {
		b.Run(fmt.Sprintf("vms=%d/servers=%d/floor=%d", c.vms, c.servers, c.floor), func(b *testing.B) {
			counts, changes := make([]int, c.servers), 0
			for b.Loop() {
				clear(counts)
				changes = 0
				for s := range c.services {
					first, next := c.servers*s/c.services, c.servers*(s+1)/c.services
					list, index := targets(next-first, c.zones, first), map[*pick.Target]int{}
					for i, target := range list {
						index[target] = first + i
					}
					for v := range c.vms {
						id := fmt.Sprint("vm-", v)
						got := pick.Subset(id, list, 0, c.floor)
						for _, target := range got {
							counts[index[target]]++
						}
						changes += moved(got, pick.Subset(id, list[1:], 0, c.floor))
					}
				}
			}
			slices.Sort(counts)
			b.ReportMetric(float64(counts[0]), "min-vms")
			b.ReportMetric(float64(counts[c.servers/2]), "median-vms")
			b.ReportMetric(float64(counts[c.servers-1]), "max-vms")
			b.ReportMetric(float64(changes)/float64(c.services*c.vms), "moved/vm")
		})
	}
}

// Guards against a request that must not run twice and serves as the trial of a
// suspected server while steady ones are there.
func TestPickSteady(t *testing.T) {
	list := targets(3, 1, 0)
	list[0].SetWeight(0.05)
	list[1].SetWeight(0)
	p := pick.New("", seed.For(t, 1))
	p.SetTargets(list)
	for range 1000 {
		if got := p.PickReliable(nil); got != list[2] {
			t.Fatalf("picked %v", got)
		}
	}
	if got := p.PickReliable(list[2:]); got != list[0] {
		t.Errorf("picked %v, want the suspected server when there is no other", got)
	}
}

// Guards against a home target with a reduced weight that gets no request, or more than
// its share because it is idle, and against requests that stay with the home targets
// beyond their room.
func TestHome(t *testing.T) {
	list := targets(30, 3, 0)
	home := list[:3]
	home[2].SetWeight(0.2)
	home[0].Begin()
	home[1].Begin()
	p := pick.New("z1", testSeed)
	p.SetTargets(list)
	p.SetPreferred([]string{home[0].Addr(), home[1].Addr(), home[2].Addr()})
	const picks = 1000
	counts := map[*pick.Target]int{}
	for range picks {
		counts[p.Pick(nil)]++
	}
	if n := counts[home[0]] + counts[home[1]] + counts[home[2]]; n < picks*8/10 || n == picks {
		t.Errorf("%d of %d requests at home", n, picks)
	}
	// Its share is 0.2 of 2.2.
	if n := counts[home[2]]; n < picks*5/100 || n > picks*15/100 {
		t.Errorf("the home target with a reduced weight got %d of %d requests", n, picks)
	}
	for range 2 {
		home[0].Begin()
		home[1].Begin()
	}
	away := 0
	for range picks {
		if !slices.Contains(home, p.Pick(nil)) {
			away++
		}
	}
	if away < picks*8/10 {
		t.Errorf("%d of %d requests away from home targets without room", away, picks)
	}
}

// Guards against a VM whose only home target fails and that sends its requests there all
// the same.
func TestOnlyHomeFails(t *testing.T) {
	list := targets(30, 3, 0)
	list[0].SetWeight(0.05)
	p := pick.New("z1", testSeed)
	p.SetTargets(list)
	p.SetPreferred([]string{list[0].Addr()})
	const picks = 1000
	home := 0
	for range picks {
		if p.Pick(nil) == list[0] {
			home++
		}
	}
	if home > picks/10 {
		t.Errorf("%d of %d requests at the home target with weight 0.05", home, picks)
	}
}
