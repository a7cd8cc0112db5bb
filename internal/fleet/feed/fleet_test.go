package feed

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/internal/fleet/watch"
	"github.com/azuredeal/azuredeal/seed"
	"github.com/azuredeal/azuredeal/wire"
)

const (
	callTime      = 4 * time.Millisecond   // Time of one call to the platform of a test.
	heartbeatTime = 500 * time.Millisecond // Interval of the news on a link.
	tickTime      = 100 * time.Millisecond // Delay of urgent news on a link.
	silentGrace   = 700 * time.Millisecond // Time beyond its wait after which a watch is given up.
	// inForce is the time in which a change has to be known to all VMs.
	inForce = 2 * time.Second
)

var errTurnedAway = errors.New("turned away")

// testPlatform is a platform of one kind of object. Its zero value has no objects.
type testPlatform struct {
	mu       sync.Mutex
	changed  chan struct{}
	history  []Change
	start    Position // Earlier history is gone.
	revision Position // Of the last change.
	away     bool     // No call gets a response.
	calls    atomic.Int64
}

func newTestPlatform() *testPlatform { return &testPlatform{changed: make(chan struct{}), revision: 1} }

func (p *testPlatform) set(name string) Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.history = append(p.history, change(name, p.revision))
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

func (p *testPlatform) list(context.Context, bool) ([]Change, Position, error) {
	p.calls.Add(1)
	time.Sleep(callTime)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.away {
		return nil, 0, errTurnedAway
	}
	return slices.Collect(maps.Values(p.objects())), p.revision, nil
}

// objects returns the objects that exist. The caller holds the lock.
func (p *testPlatform) objects() map[string]Change {
	objects := map[string]Change{}
	for _, c := range p.history {
		if c.Removed() {
			delete(objects, c.Name())
		} else {
			objects[c.Name()] = c
		}
	}
	return objects
}

// remove removes an object.
func (p *testPlatform) remove(name string) Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision++
	p.history = append(p.history, NewRemoval(name, p.revision))
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

// restore makes the platform come back, in a new era, as it was at a revision.
func (p *testPlatform) restore(revision Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	era := (p.revision.Era() + 1) << revisionBits
	p.history = slices.DeleteFunc(p.history, func(c Change) bool { return c.Position().Revision() > revision.Revision() })
	for i, c := range p.history {
		p.history[i].position = Position(era | c.Position().Revision())
	}
	p.revision = Position(era | revision.Revision())
	p.start = p.revision.eraStart()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *testPlatform) watch(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error) {
	p.calls.Add(1)
	time.Sleep(callTime)
	timeout := time.After(wait)
	for {
		p.mu.Lock()
		var out []Change
		for _, c := range p.history {
			if c.Position() > after {
				out = append(out, c)
			}
		}
		changed, revision, away := p.changed, p.revision, p.away
		gone := after < p.start || after.Era() != p.revision.Era() || after > p.revision
		p.mu.Unlock()
		switch {
		case away:
			return nil, 0, errTurnedAway
		case gone:
			return nil, 0, ErrHistoryGone
		case len(out) > 0:
			return out, revision, nil
		}
		select {
		case <-changed:
		case <-timeout:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// testVM is one VM of a test fleet: its followers and its links.
type testVM struct {
	*Follower            // Of the kind "servers", which testFleet.testPlatform has.
	config     *Follower // Of the kind "config", which testFleet.configs has.
	state      *watch.State
	id         string
	links      []*testVM
	isWatcher  atomic.Bool
	turnedAway atomic.Bool // The platform refuses its calls.
	silent     atomic.Bool // Its watches get no response.
	down       atomic.Bool // The VM neither answers nor sends.
	updates    chan Update
	place      atomic.Int64 // Among those that ask; watchers have the places after these.
	askers     atomic.Int64 // Their number; 0 while nobody asks.
	asks       atomic.Int64
	tellNow    atomic.Bool // A heartbeat is due.
}

type testFleet struct {
	*testPlatform
	configs       *testPlatform
	vms           []*testVM
	byID          map[string]*testVM
	completePulls atomic.Int64
}

// startFleet starts VMs in availability zones by turns; each links to degree others, and
// those link back.
func startFleet(ctx context.Context, t *testing.T, zones, size, degree int) *testFleet {
	f := &testFleet{testPlatform: newTestPlatform(), configs: newTestPlatform(), byID: map[string]*testVM{}}
	f.set("first")
	f.configs.set("first")
	random := rand.New(rand.NewPCG(seed.For(t, 1), 0))
	byZone := map[string][]string{}
	for i := range size {
		vm := &testVM{id: fmt.Sprint("vm-", i), updates: make(chan Update, 64)}
		zone := fmt.Sprint("zone-", i%zones)
		byZone[zone] = append(byZone[zone], vm.id)
		f.vms = append(f.vms, vm)
	}
	watchers := watch.Watchers(byZone)
	for _, vm := range f.vms {
		f.byID[vm.id] = vm
		for range degree {
			peer := f.vms[random.IntN(size)]
			vm.links, peer.links = append(vm.links, peer), append(peer.links, vm)
		}
		vm.state = watch.New(watch.Options{
			Bound: inForce, Kinds: []string{"config", "servers"},
			Order: func() (place, count int, ok bool) {
				place, count = int(vm.place.Load()), int(vm.askers.Load())
				return place, count, count > 0 && !vm.down.Load()
			},
			Ask: func() {
				vm.asks.Add(1)
				vm.config.AskNow()
			},
			Tell: func() { vm.tellNow.Store(true) },
		})
		vm.Follower = f.follow(vm, "servers", f.testPlatform, len(watchers))
		vm.config = f.follow(vm, "config", f.configs, len(watchers))
		Link(vm.config, vm.Follower)
	}
	for _, id := range watchers {
		f.byID[id].isWatcher.Store(true)
	}
	for i, vm := range f.vms {
		go func() { _ = vm.Run(ctx, vm.updates) }()
		go func() { _ = vm.config.Run(ctx, vm.updates) }()
		go vm.sendNews(ctx, i%zones, zones, f)
		go vm.discardUpdates(ctx)
	}
	return f
}

// follow returns a follower of one kind for a VM.
func (f *testFleet) follow(vm *testVM, kind string, p *testPlatform, watchers int) *Follower {
	return NewFollower(Options{
		Kind: kind, Log: zerolog.Nop(), Store: vm.state,
		Fleet: Fleet{
			Size: func() int { return len(f.vms) }, Watchers: func() int { return watchers }, Watches: vm.isWatcher.Load,
			Pull: func(_ context.Context, addr string, pull *wire.Pull) (*wire.Changes, error) {
				time.Sleep(callTime)
				peer := f.byID[addr]
				if peer.down.Load() {
					return nil, errTurnedAway
				}
				if pull.GetComplete() {
					f.completePulls.Add(1)
				}
				if kind == "config" {
					return peer.config.Reply(pull), nil
				}
				return peer.Reply(pull), nil
			},
		},
		List: p.list,
		Watch: func(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error) {
			if vm.turnedAway.Load() {
				p.calls.Add(1)
				return nil, 0, errTurnedAway
			}
			return vm.watch(ctx, p, after, wait)
		},
	})
}

// watch is a watch that ends without an answer when the platform's answers do not reach the VM.
func (v *testVM) watch(ctx context.Context, p *testPlatform, after Position, wait time.Duration) ([]Change, Position, error) {
	timeout := time.After(wait + silentGrace)
	if !v.silent.Load() {
		changes, upto, err := p.watch(ctx, after, wait)
		if !v.silent.Load() {
			return changes, upto, err
		}
	} else {
		p.calls.Add(1)
	}
	select {
	case <-timeout:
		return nil, 0, errTurnedAway
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

func (v *testVM) discardUpdates(ctx context.Context) {
	for {
		select {
		case <-v.updates:
		case <-ctx.Done():
			return
		}
	}
}

// sendNews tells the links of the newest revisions, as heartbeats do: at once when one has
// risen, and at intervals.
func (v *testVM) sendNews(ctx context.Context, zone, zones int, f *testFleet) {
	var told, toldConfig Position
	next := time.Now()
	for ctx.Err() == nil {
		time.Sleep(tickTime)
		last, newest, config := v.state.Last(), v.Newest(), v.config.Newest()
		due := v.tellNow.Swap(false) || newest != told || config != toldConfig || !time.Now().Before(next)
		if !due || v.down.Load() {
			continue
		}
		told, toldConfig, next = newest, config, time.Now().Add(heartbeatTime)
		for _, peer := range v.links {
			if !peer.down.Load() {
				peer.hear(Peer{Addr: v.id, Near: f.index(peer)%zones == zone}, newest, config, last)
			}
		}
	}
}

// hear takes in the news of another VM.
func (v *testVM) hear(from Peer, newest, config Position, last time.Time) {
	if newest > v.Newest() {
		v.ObservePeer(from, newest)
	}
	if config > v.config.Newest() {
		v.config.ObservePeer(from, config)
	}
	if !last.IsZero() {
		v.state.Heard(time.Now(), last, uint64(config), uint64(newest))
	}
}

func (f *testFleet) index(v *testVM) int {
	var n int
	_, _ = fmt.Sscanf(v.id, "vm-%d", &n)
	return n
}

// waitUntilKnown fails when a VM that is up lacks a revision after the time limit.
func (f *testFleet) waitUntilKnown(t *testing.T, revision Position, limit time.Duration) {
	t.Helper()
	time.Sleep(limit)
	for _, vm := range f.vms {
		if !vm.down.Load() && vm.Newest() < revision {
			t.Errorf("%s knows revision %d after %v, want %d", vm.id, vm.Newest(), limit, revision)
		}
	}
}

// inFleet runs fn with a fleet whose VMs have listed the platform.
func inFleet(t *testing.T, zones, size, degree int, fn func(f *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := startFleet(ctx, t, zones, size, degree)
		time.Sleep(inForce)
		fn(f)
		cancel()
		time.Sleep(time.Second) // Lets all goroutines end.
	})
}

// Pattern: servers come and go all the time in a large fleet. Guards against calls to the
// platform that grow with the number of VMs, and against changes that reach a part of the
// fleet too late because it does not watch.
func TestPatternChurnInLargeFleet(t *testing.T) {
	const size, seconds = 178, 30
	inFleet(t, 6, size, 8, func(f *testFleet) {
		before := f.calls.Load()
		for i := range 2 * seconds {
			revision := f.set(fmt.Sprint("server-", i))
			if i%10 == 9 {
				f.waitUntilKnown(t, revision, inForce)
			}
			time.Sleep(time.Second / 2)
		}
		// Six watchers with a call each 0.8 s, against one of each VM.
		if n := f.completePulls.Load(); n != 0 {
			t.Errorf("%d times all objects were asked for", n)
		}
		if got, limit := f.calls.Load()-before, int64(6*2*seconds*2); got > limit {
			t.Errorf("%d calls in %d s for %d VMs, want at most %d", got, seconds, size, limit)
		}
	})
}

// Pattern: the platform turns away a third of the VMs, most watchers among them. Guards
// against VMs that lag behind on servers that leave, and against a storm of repeated calls.
func TestPatternStoreTurnsVMsAway(t *testing.T) {
	inFleet(t, 6, 60, 8, func(f *testFleet) {
		turnedAway, watchers := 0, 0
		for i, vm := range f.vms {
			if vm.isWatcher.Load() {
				watchers++
			}
			if vm.isWatcher.Load() && watchers < 6 || i%3 == 0 && !vm.isWatcher.Load() {
				vm.turnedAway.Store(true)
				turnedAway++
			}
		}
		before := f.calls.Load()
		for i := range 4 {
			f.waitUntilKnown(t, f.set(fmt.Sprint("server-", i)), inForce)
		}
		if got := f.calls.Load() - before; got > 120 {
			t.Errorf("%d calls in 8 s while %d VMs are turned away", got, turnedAway)
		}
	})
}

// Pattern: many VMs are lost at one moment. Guards against a change that is missed because
// the VM that told of it has gone before others could pull it, and against changes that
// travel through lost VMs only.
func TestPatternHerdIsLost(t *testing.T) {
	inFleet(t, 6, 178, 8, func(f *testFleet) {
		kept := 0
		for i, vm := range f.vms {
			if vm.isWatcher.Load() && kept < 1 {
				kept++
				continue
			}
			if vm.isWatcher.Load() || i%2 == 0 {
				vm.down.Store(true)
			}
		}
		f.waitUntilKnown(t, f.set("server"), inForce)
	})
}

// Pattern: the platform turns a VM away that lacks more than the others remember. Guards
// against a VM that stays behind until it reaches the platform again.
func TestPatternTurnedAwayBeyondHistory(t *testing.T) {
	inFleet(t, 2, 8, 3, func(f *testFleet) {
		var behind *testVM
		for _, vm := range f.vms {
			if !vm.isWatcher.Load() {
				behind = vm
			}
		}
		behind.down.Store(true) // It hears of nothing.
		behind.turnedAway.Store(true)
		revision := Position(0)
		for i := range 2 * maxHistoryChanges {
			revision = f.set(fmt.Sprint("server-", i%10))
			if i%500 == 0 {
				time.Sleep(coalesceDelay)
			}
		}
		time.Sleep(inForce)
		behind.down.Store(false)
		f.waitUntilKnown(t, revision, 2*inForce) // The first time it tries to read the platform.
	})
}

// Guards against a VM that waits for others in vain: when none of those that told of a
// change can pass it on, it reads the platform itself.
func TestReadsThePlatformWhenOthersCannotPassChangesOn(t *testing.T) {
	inFleet(t, 1, 2, 1, func(f *testFleet) {
		vm := f.vms[0]
		vm.isWatcher.Store(false)
		time.Sleep(10 * time.Second) // The watch that was waiting ends.
		f.vms[1].down.Store(true)
		revision := f.set("server")
		vm.ObservePeer(Peer{Addr: "vm-1"}, revision)
		time.Sleep(inForce)
		if vm.Newest() < revision {
			t.Errorf("revision %d, want %d", vm.Newest(), revision)
		}
	})
}

// Guards against a watcher whose own watch hears nothing and that takes a change over from
// the others too late. Nothing is pausing here, so the change has no right to that time.
func TestWatcherWithSilentWatchFollowsOthers(t *testing.T) {
	inFleet(t, 4, 18, 8, func(f *testFleet) {
		for _, vm := range f.vms {
			if vm.isWatcher.Load() {
				vm.silent.Store(true)
				break
			}
		}
		time.Sleep(10 * time.Second) // The watch before it ends.
		f.waitUntilKnown(t, f.set("server"), inForce-coalesceDelay)
	})
}

// Guards against a VM that restarts and uses a server again that had left before, as the
// listing that it starts with is seconds behind.
func TestRestartWithStaleListing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPlatform()
		p.set("server")
		stale, revision, _ := p.list(t.Context(), true)
		p.mu.Lock()
		p.revision++
		p.history = append(p.history, NewRemoval("server", p.revision))
		p.mu.Unlock()
		failures := 2 // Of the watch that follows the listing.
		f := NewFollower(Options{
			Kind: "servers", Log: zerolog.Nop(), AllowStale: func() bool { return true },
			Fleet: Fleet{Size: func() int { return 18 }, Watchers: func() int { return 4 }, Watches: func() bool { return false }},
			List:  func(context.Context, bool) ([]Change, Position, error) { return stale, revision, nil },
			Watch: func(ctx context.Context, after Position, wait time.Duration) ([]Change, Position, error) {
				if failures--; failures >= 0 {
					return nil, 0, errTurnedAway
				}
				return p.watch(ctx, after, wait)
			},
		})
		updates := make(chan Update)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx, updates) }()
		used := map[string]bool{}
		for len(used) == 0 {
			u := <-updates
			for _, c := range u.Changes {
				used[c.Name()] = !c.Removed()
			}
		}
		if used["server"] {
			t.Error("the first update holds a server that has left")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against watchers that go on waiting for a history that the platform has dropped.
func TestHistoryDroppedUnderAWatch(t *testing.T) {
	inFleet(t, 4, 18, 8, func(f *testFleet) {
		f.mu.Lock()
		f.revision += 5
		f.history = append(f.history, change("server", f.revision)) // No watch hears of it.
		f.start = f.revision + 1
		f.revision++
		revision := f.revision - 1
		f.mu.Unlock()
		f.waitUntilKnown(t, revision, 2*inForce)
	})
}
