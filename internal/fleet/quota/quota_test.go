package quota

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/seed"
)

const (
	tick         = 10 * time.Millisecond
	controlTicks = 10 // Ticks of a step of the control loop.
	window       = 4 * time.Second
	settleTime   = 3 * time.Second
	maxDelay     = 600 * time.Millisecond // Of a message that is not urgent: it waits for a heartbeat.
	urgentDelay  = 5 * time.Millisecond
	maxLag       = 1200 * time.Millisecond // Until a VM knows of a change of the members.
	maxHolders   = 9                       // VMs among which a rate is divided in large fleets.
)

// fleet is a set of VMs that send requests to one backend server as fast as they may.
type fleet struct {
	random   *rand.Rand
	start    time.Time
	key      Key
	vms      []*vm
	messages []message
	rate     func(at time.Duration) float64 // What the server states.
	firstAt  time.Duration                  // When it stated a limit first.
	arrivals []time.Duration                // Of VMs that run and are connected.
	others   int                            // Of the others.
	idle     bool                           // No VM has requests to send.
}

type vm struct {
	id       string
	table    *Table
	bucket   limit.Rate
	up, cut  bool
	frozen   bool
	leaving  bool
	told     bool     // It got a response that states a limit.
	view     []string // Members that it considers alive.
	pending  []view   // Changes that it will learn of, in order.
	lastSent time.Duration
}

// view is the set of members alive that a VM learns of at a time.
type view struct {
	at      time.Duration
	members []string
}

type message struct {
	at   time.Duration
	to   *vm
	from *vm
	st   Statement
}

func newFleet(n int, s uint64, rate func(time.Duration) float64) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(s, uint64(n))), start: time.Now(), key: KeyOf("s", "10.0.0.1:80", "i-1"), rate: rate,
		firstAt: -1,
	}
	for i := range n {
		f.vms = append(f.vms, &vm{id: fmt.Sprintf("vm-%03d", i), up: true})
	}
	all := f.alive()
	for i, v := range f.vms {
		v.view, v.table = all, New(v.id, uint64(i))
		f.setServers(v)
	}
	return f
}

func (f *fleet) now() time.Duration { return time.Since(f.start) }

// alive returns the ids of the VMs that can be reached.
func (f *fleet) alive() []string {
	var out []string
	for _, v := range f.vms {
		if v.up && !v.cut && !v.leaving {
			out = append(out, v.id)
		}
	}
	return out
}

func (f *fleet) setServers(v *vm) {
	holders := v.view[:min(len(v.view), maxHolders)]
	v.table.SetServers(time.Now(), []Server{{Key: f.key, Service: "s", Addr: "10.0.0.1:80", Holders: holders, Users: len(v.view)}}, len(v.view))
}

// changed makes all VMs learn of the members alive, each after its own lag.
func (f *fleet) changed() {
	alive := f.alive()
	for _, v := range f.vms {
		next := view{f.now() + time.Duration(f.random.Int64N(int64(maxLag))), alive}
		if v.cut || !v.up {
			next.members = []string{v.id}
		}
		if n := len(v.pending); n > 0 {
			next.at = max(next.at, v.pending[n-1].at)
		}
		v.pending = append(v.pending, next)
	}
}

func (f *fleet) stop(v *vm) {
	v.up = false
	f.changed()
}

// restart starts a VM that knows nothing. The others tell it what servers stated to them.
func (f *fleet) restart(v *vm) {
	v.up, v.told = true, false
	v.table, v.bucket = New(v.id, f.random.Uint64()), limit.Rate{}
	v.view, v.pending = []string{v.id}, nil
	f.setServers(v)
	f.changed()
	for _, other := range f.vms {
		if st := other.table.statements[f.key]; other != v && other.told && st != nil {
			f.messages = append(f.messages, message{f.now() + urgentDelay, v, other, st.Statement})
		}
	}
}

// run advances the fleet until a time.
func (f *fleet) run(until time.Duration) {
	for n := 0; f.now() < until; n++ {
		f.deliver()
		for i, v := range f.vms {
			if !v.up || v.frozen {
				continue
			}
			for len(v.pending) > 0 && f.now() >= v.pending[0].at {
				v.view, v.pending = v.pending[0].members, v.pending[1:]
				f.setServers(v)
				f.apply(v)
			}
			if (n+i)%controlTicks == 0 {
				f.step(v)
			}
			f.send(v)
		}
		time.Sleep(tick)
	}
}

func (f *fleet) deliver() {
	f.messages = slices.DeleteFunc(f.messages, func(m message) bool {
		if f.now() < m.at || m.to.frozen {
			return false
		}
		if m.to.up && !m.to.cut && !m.from.cut && m.to.table.Merge(time.Now(), m.st) {
			f.apply(m.to)
		}
		return true
	})
}

func (f *fleet) apply(v *vm) {
	for _, s := range v.table.Shares(time.Now()) {
		v.bucket.Set(time.Now(), s.PerSecond)
	}
}

func (f *fleet) step(v *vm) {
	f.apply(v)
	if len(v.table.Trials(time.Now(), controlTicks*tick)) > 0 {
		v.bucket.Grant(time.Now())
	}
	f.tell(v)
}

func (f *fleet) tell(v *vm) {
	statements, urgent := v.table.Tell(time.Now())
	for _, st := range statements {
		for _, other := range f.vms {
			if other == v {
				continue
			}
			delay := urgentDelay
			if !urgent {
				delay = time.Duration(f.random.Int64N(int64(maxDelay)))
			}
			f.messages = append(f.messages, message{f.now() + delay, other, v, st})
		}
	}
}

// send sends a request if the VM may. Without a bound it sends one each 100 ms.
func (f *fleet) send(v *vm) {
	if f.idle || !v.bucket.Limited() && f.now()-v.lastSent < 100*time.Millisecond || !v.bucket.Take() {
		return
	}
	v.lastSent = f.now()
	stated := f.rate(f.now())
	if stated != board.Unlimited && f.firstAt < 0 {
		f.firstAt = f.now()
	}
	if v.told && !v.cut {
		f.arrivals = append(f.arrivals, f.now())
	} else {
		f.others++
	}
	v.told = v.told || stated != board.Unlimited
	if v.table.Observe(Statement{Key: f.key, PerSecond: stated, At: time.Now()}) {
		f.apply(v)
		f.tell(v)
	}
}

// check fails the test if the server gets more than one and a half times the rate that it
// states and five requests within a window. After a fall of the rate, VMs have settleTime.
func (f *fleet) check(t *testing.T) {
	t.Helper()
	first := 0
	for i, at := range f.arrivals {
		for at-f.arrivals[first] > window {
			first++
		}
		if f.arrivals[first] < f.firstAt+settleTime {
			continue
		}
		rate := 0.0
		for back := time.Duration(0); back <= window+settleTime; back += 100 * time.Millisecond {
			rate = max(rate, f.rate(at-back))
		}
		if n := i - first + 1; float64(n) > 1.5*rate*window.Seconds()+5 {
			t.Fatalf("%d requests in the %v before %v at a rate of %v", n, window, at, rate)
		}
	}
}

// count returns the number of arrivals in a span.
func (f *fleet) count(from, to time.Duration) int {
	n := 0
	for _, at := range f.arrivals {
		if at >= from && at < to {
			n++
		}
	}
	return n
}

func constantRate(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// between returns a rate that is stated in a span, and no limit outside.
func between(from, to time.Duration, rate float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < from || at >= to {
			return board.Unlimited
		}
		return rate
	}
}

var fleetSizes = []int{1, 2, 5, 18, 178}

// Guards against a rate that each VM uses by itself, for rates below and above one request
// per second of each VM, and against a rate that stays mostly unused.
func TestPatternAllVMsAtOneLimitedServer(t *testing.T) {
	for _, n := range fleetSizes {
		for _, rate := range []float64{0.1, 1, 3.9, 12.5, 200} {
			t.Run(fmt.Sprint(n, " VMs, ", rate, " per second"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(n, seed.For(t, 1), constantRate(rate))
					f.run(25 * time.Second)
					f.check(t)
					const span = 15 * time.Second
					if got, want := f.count(10*time.Second, 10*time.Second+span), rate*span.Seconds()/2-1; float64(got) < want {
						t.Errorf("%d requests in %v, want at least half of the rate, %v", got, span, want)
					}
				})
			})
		}
	}
}

// Guards against shares that overlap while VMs stop and start, freeze or are lost.
func TestPatternMembersChangeAtLimitedServer(t *testing.T) {
	patterns := map[string]func(f *fleet){
		"rolling restart": func(f *fleet) {
			for i := range 10 {
				v := f.vms[i%len(f.vms)]
				f.run(f.now() + time.Second)
				f.stop(v)
				f.run(f.now() + time.Second)
				f.restart(v)
			}
		},
		"a third is lost and returns": func(f *fleet) {
			lost := f.vms[:len(f.vms)/3]
			for _, v := range lost {
				f.stop(v)
			}
			f.run(f.now() + 2*time.Second)
			for _, v := range lost {
				f.restart(v)
			}
		},
		"all but one are lost and return": func(f *fleet) {
			for _, v := range f.vms[1:] {
				f.stop(v)
			}
			f.run(f.now() + 4*time.Second)
			for _, v := range f.vms[1:] {
				f.restart(v)
			}
		},
		"all leave and return": func(f *fleet) {
			for _, v := range f.vms {
				v.leaving = true
			}
			f.changed()
			f.run(f.now() + 4*time.Second)
			for _, v := range f.vms {
				v.leaving = false
			}
			f.changed()
		},
		"idle until all may send at once": func(f *fleet) {
			f.idle = true
			f.run(f.now() + 6*time.Second)
			f.idle = false
		},
		"one freezes": func(f *fleet) {
			f.vms[0].frozen = true
			f.run(f.now() + 3*time.Second)
			f.vms[0].frozen = false
		},
		"one is cut off": func(f *fleet) {
			f.vms[0].cut = true
			f.changed()
			f.run(f.now() + 5*time.Second)
			f.vms[0].cut = false
			f.changed()
		},
		"half is cut off": func(f *fleet) {
			for _, v := range f.vms[:len(f.vms)/2] {
				v.cut = true
			}
			f.changed()
			f.run(f.now() + 5*time.Second)
			for _, v := range f.vms {
				v.cut = false
			}
			f.changed()
		},
	}
	for name, disturb := range patterns {
		for _, n := range []int{5, 18, 178} {
			for _, rate := range []float64{1, 5.8, 30} {
				t.Run(fmt.Sprint(name, ", ", n, " VMs, ", rate, " per second"), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := newFleet(n, seed.For(t, 2), constantRate(rate))
						f.run(8 * time.Second)
						disturb(f)
						f.run(f.now() + 8*time.Second)
						f.check(t)
						end := f.now()
						if got, want := f.count(end-4*time.Second, end), 4*rate/2-1; float64(got) < want {
							t.Errorf("%d requests in the last 4 s, want at least half of the rate, %v", got, want)
						}
					})
				})
			}
		}
	}
}

// Guards against VMs that keep to a rate that has changed or is no longer stated.
func TestPatternRateChanges(t *testing.T) {
	for _, n := range fleetSizes {
		t.Run(fmt.Sprint(n, " VMs, falls and rises"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(n, seed.For(t, 3), func(at time.Duration) float64 {
					switch {
					case at < 10*time.Second:
						return 12
					case at < 25*time.Second:
						return 2
					}
					return 8
				})
				f.run(40 * time.Second)
				f.check(t)
				if got := f.count(32*time.Second, 40*time.Second); got < 32 {
					t.Errorf("%d requests in 8 s at a rate of 8, want at least half of it", got)
				}
			})
		})
		t.Run(fmt.Sprint(n, " VMs, ends"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(n, seed.For(t, 4), between(5*time.Second, 15*time.Second, 1))
				f.run(14 * time.Second)
				f.check(t)
				f.run(18 * time.Second)
				for _, v := range f.vms {
					if v.bucket.Limited() {
						t.Errorf("%s keeps to the rate 3 s after its end", v.id)
					}
				}
			})
		})
	}
}

// Guards against a server that is never used again because it stated a rate of zero, or one
// whose end the only VM with a share cannot see.
func TestStaleStatementIsVerified(t *testing.T) {
	for name, rate := range map[string]float64{"zero": 0, "tiny": 0.001} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(18, seed.For(t, 5), between(2*time.Second, 40*time.Second, rate))
				f.run(39 * time.Second)
				f.check(t)
				f.run(75 * time.Second)
				for _, v := range f.vms {
					if v.bucket.Limited() {
						t.Errorf("%s keeps to the rate 35 s after its end", v.id)
					}
				}
			})
		})
	}
}

// Guards against statements of other VMs that are no rates, or too old, and against one that
// overtakes a newer one.
func TestMergeSkipsInvalidStatements(t *testing.T) {
	now := time.Now()
	key := KeyOf("s", "a", "i")
	table := New("vm", 1)
	table.SetServers(now, []Server{{Key: key, Service: "s", Addr: "a", Holders: []string{"vm"}, Users: 1}}, 1)
	for _, st := range []Statement{
		{key, math.NaN(), now},
		{key, -1, now},
		{key, math.Inf(-1), now},
		{key, 5, now.Add(-maxAge - time.Second)},
		{key, board.Unlimited, now},
	} {
		if table.Merge(now, st) {
			t.Errorf("%+v is taken", st)
		}
	}
	if !table.Merge(now, Statement{key, 5, now.Add(-time.Second)}) {
		t.Error("a valid statement is not taken")
	}
	if table.Merge(now, Statement{key, 9, now.Add(-2 * time.Second)}) || table.Rate(key) != 5 {
		t.Errorf("an older statement is taken; the rate is %v", table.Rate(key))
	}
}

// Guards against a table that grows with the servers of the whole fleet.
func TestStatementsAreBounded(t *testing.T) {
	now := time.Now()
	table := New("vm", 1)
	for i := range 2 * maxStatements {
		table.Merge(now, Statement{Key(i), 1, now})
	}
	if n := len(table.statements); n > maxStatements {
		t.Errorf("%d statements are kept, want %d at most", n, maxStatements)
	}
	table.SetServers(now.Add(keepUnused+time.Second), nil, 1)
	if n := len(table.statements); n > 0 {
		t.Errorf("%d statements of unused servers are kept", n)
	}
}

func ExampleTable() {
	start := time.Now()
	server := Server{Key: KeyOf("signs", "10.0.0.1:80", "i-1"), Service: "signs", Addr: "10.0.0.1:80", Holders: []string{"a", "b", "c"}, Users: 3}
	for _, vm := range server.Holders {
		table := New(vm, 1)
		table.SetServers(start, []Server{server}, 3)
		table.Shares(start)
		now := start.Add(time.Minute)
		table.Observe(Statement{Key: server.Key, PerSecond: 2.5, At: now})
		for _, s := range table.Shares(now) {
			fmt.Printf("%s: %v per second\n", vm, s.PerSecond)
		}
	}
	// Output:
	// a: 0 per second
	// b: 1.25 per second
	// c: 1.25 per second
}

// Guards against a fleet that stops all at once and refuses what its callers still send to
// limited servers, or uses the rate once for each VM.
func TestSharesWhileAllVMsLeave(t *testing.T) {
	const vms, rate = 18, 9.0
	start := time.Now()
	server := Server{Key: KeyOf("s", "a", "i"), Service: "s", Addr: "a", Users: vms}
	sum := 0.0
	for i := range vms {
		table := New(fmt.Sprint("vm-", i), uint64(i))
		server.Holders = []string{"vm-0", "vm-1"}
		table.SetServers(start, []Server{server}, vms)
		table.Shares(start)
		table.SetServers(start.Add(time.Minute), []Server{server}, vms)
		table.Merge(start.Add(time.Minute), Statement{server.Key, rate, start.Add(time.Minute)})
		server.Holders = nil
		for after := time.Minute; after < time.Minute+2*handoverDelay; after += 100 * time.Millisecond {
			table.SetServers(start.Add(after), []Server{server}, 0)
			for _, share := range table.Shares(start.Add(after)) {
				if after > time.Minute+handoverDelay && share.PerSecond == 0 {
					t.Fatalf("vm-%d has no share", i)
				}
			}
		}
		sum += table.servers[server.Key].share
	}
	if math.Abs(sum-rate) > 1e-9 {
		t.Errorf("the shares add up to %v, want %v", sum, rate)
	}
}
