package idem

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/seed"
	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/wire"
)

const testSeed = 7

var (
	secret  = []byte("key of the fleet in tests")
	errDown = fault.New(fault.PlatformDown, "no response")
)

// fleet simulates several VMs, one platform that takes 3 ms per call, and one backend
// server. Its function fields inject failures.
type fleet struct {
	ctx     context.Context
	seed    uint64
	memory  *store.Memory
	get     func() error
	put     func(apply func() error) error
	forward func(v *vm, serve func() *wire.Reply) (*wire.Reply, error)

	mu              sync.Mutex
	r               *rand.Rand
	vms             []*vm
	lastIncarnation uint64
	runs            map[string][]time.Time
}

// vm is one incarnation of a VM.
type vm struct {
	*Guard
	cancel context.CancelFunc
	dead   atomic.Bool
	resume atomic.Int64 // The VM is paused until this time, in Unix nanoseconds.
}

func newFleet(ctx context.Context, vms int, seed uint64) *fleet {
	f := &fleet{
		ctx: ctx, seed: seed, memory: store.NewMemory(), r: rand.New(rand.NewPCG(seed, 0)), runs: map[string][]time.Time{},
		get:     func() error { return nil },
		put:     func(apply func() error) error { return apply() },
		forward: func(_ *vm, serve func() *wire.Reply) (*wire.Reply, error) { return serve(), nil },
	}
	for i := range vms {
		f.vms = append(f.vms, nil)
		f.replace(i)
	}
	return f
}

// replace kills VM i, if it runs, and starts its next incarnation.
func (f *fleet) replace(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.vms[i]; old != nil {
		old.dead.Store(true)
		old.cancel()
	}
	f.lastIncarnation++
	ctx, cancel := context.WithCancel(f.ctx)
	self := NewOwner(f.lastIncarnation, fmt.Sprintf("10.0.0.%d:7000", i))
	claims := NewClaims(ctx, f.client(), self)
	claims.backoff = limit.NewBackoff(minBackoff, maxBackoff, f.seed+f.lastIncarnation)
	guard := NewGuard(NewKeyIssuer(secret, self), NewLedger(ctx, 1<<20, 1<<20), claims)
	guard.Forward = func(ctx context.Context, peer string, m *wire.Forward) (*wire.Reply, error) {
		var target int
		_, _ = fmt.Sscanf(peer, "10.0.0.%d:", &target)
		v := f.vm(target)
		if time.Now().UnixNano() < v.resume.Load() {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return f.forward(v, func() *wire.Reply { return v.ServeForwarded(ctx, m, f.run(v, CallFromWire(m), nil)) })
	}
	f.vms[i] = &vm{Guard: guard, cancel: cancel}
}

func (f *fleet) vm(i int) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[i]
}

func (f *fleet) random(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.r.IntN(n)
}

func (f *fleet) millis(n int) time.Duration { return time.Duration(f.random(n+1)) * time.Millisecond }

func (f *fleet) client() *store.Client {
	c := f.memory.Client()
	get, put := c.Get, c.Put
	c.Get = func(ctx context.Context, name string) (store.Object, error) {
		time.Sleep(3 * time.Millisecond)
		if err := f.get(); err != nil {
			return store.Object{}, err
		}
		return get(ctx, name)
	}
	c.Put = func(ctx context.Context, name string, value []byte, cond store.Version) (store.Version, error) {
		time.Sleep(3 * time.Millisecond)
		return 0, f.put(func() error {
			_, err := put(ctx, name, value, cond)
			return err
		})
	}
	return c
}

// run returns the dispatch to the backend server, which records the time of each run of a
// key. The errors of fail, if it is set, end the dispatch before or after the run.
func (f *fleet) run(v *vm, call Call, fail func() (before, after error)) RunFunc {
	return func(ctx context.Context) (*Response, error) {
		time.Sleep(time.Until(time.Unix(0, v.resume.Load())))
		if ctx.Err() != nil || v.dead.Load() {
			return nil, fault.New(fault.DeadlineShort, "not sent")
		}
		duration, after := 10*time.Millisecond, error(nil)
		if fail != nil {
			var before error
			if before, after = fail(); before != nil {
				return nil, before
			}
			duration = f.millis(100)
		}
		f.mu.Lock()
		name := call.Account + call.Key
		f.runs[name] = append(f.runs[name], time.Now())
		n := len(f.runs[name])
		f.mu.Unlock()
		time.Sleep(duration)
		if after == nil && ctx.Err() != nil {
			after = fault.New(fault.Timeout, "no response in time")
		}
		return NewResponse(200, nil, fmt.Appendf(nil, "run %d of %s", n, name)), after
	}
}

func (f *fleet) count(call Call) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs[call.Account+call.Key])
}

// do sends a call to VM i, which dispatches it if it owns the key.
func (f *fleet) do(ctx context.Context, i int, call Call) (*Response, error) {
	v := f.vm(i)
	return v.Do(ctx, call, f.run(v, call, nil))
}

// Guards against a second run, a "not run" error for a key that ran, and two different
// responses for one key, with repeats at several VMs, lost responses of the platform,
// platform outages, a platform that comes back from a copy, killed and paused VMs, and lost messages between VMs.
func TestAtMostOneRun(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(int64(seed.For(t, testSeed)))
	params.MinSuccessfulTests = 150
	props := gopter.NewProperties(params)
	ran, responded := 0, 0
	props.Property("at most one run per key", prop.ForAll(func(seed uint64) (result string) {
		synctest.Test(t, func(t *testing.T) {
			p := &trial{fleet: newFleet(t.Context(), 3, seed), responses: map[string]string{}}
			result = p.play()
			ran += len(p.runs)
			responded += len(p.responses)
		})
		return result
	}, gen.UInt64()))
	props.TestingRun(t)
	if ran < 300 || responded < 200 {
		t.Errorf("only %d keys ran and %d got a response", ran, responded)
	}
}

// trial is one random sequence of requests and failures.
type trial struct {
	*fleet
	down      atomic.Int64 // The platform is down until this time, in Unix nanoseconds.
	lock      sync.Mutex
	responses map[string]string
	problem   string
}

// play sends repeated requests with a few keys while VMs, the connections between them and
// the platform fail. It returns a description of the first violation found, or "".
func (p *trial) play() string {
	isDown := func() bool { return time.Now().UnixNano() < p.down.Load() }
	p.get = func() error {
		if isDown() || p.random(20) == 0 {
			return errDown
		}
		return nil
	}
	p.put = func(apply func() error) error {
		switch n := p.random(10); {
		case isDown():
			return errDown
		case n < 2: // The write takes effect, but its response is lost.
			_ = apply()
			return errDown
		case n == 2: // The write takes effect after the client got an error.
			time.AfterFunc(p.millis(50), func() { _ = apply() })
			return errDown
		}
		return apply()
	}
	p.forward = func(v *vm, serve func() *wire.Reply) (*wire.Reply, error) {
		if p.random(10) == 0 {
			return nil, errDown
		}
		reply := serve()
		if v.dead.Load() || p.random(10) == 0 {
			return nil, errDown
		}
		return reply, nil
	}
	copied := p.memory.Copy()
	keys := []string{"own 1", "own 2", "own 3", p.vm(0).keys.Issue(time.Now()), p.vm(1).keys.Issue(time.Now())}
	var group sync.WaitGroup
	for range 60 {
		time.Sleep(p.millis(20))
		i, key := p.random(3), keys[p.random(len(keys))]
		switch p.random(30) {
		case 0:
			p.replace(i)
		case 1:
			p.vm(i).resume.Store(time.Now().Add(p.millis(1000)).UnixNano())
		case 2:
			p.down.Store(time.Now().Add(p.millis(200)).UnixNano())
		case 3:
			copied = p.memory.Copy()
		case 4:
			p.memory.Restore(copied)
		}
		group.Go(func() { p.send(p.vm(i), Call{Account: "a", Key: key}) })
	}
	group.Wait()
	time.Sleep(time.Minute)
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, runs := range p.runs {
		if len(runs) > 1 {
			return fmt.Sprintf("%d runs of %s", len(runs), key)
		}
	}
	return p.problem
}

func (p *trial) send(v *vm, call Call) {
	ctx, cancel := context.WithTimeout(p.ctx, 20*time.Millisecond+p.millis(300))
	defer cancel()
	if p.random(5) == 0 {
		time.AfterFunc(p.millis(50), cancel)
	}
	response, err := v.Do(ctx, call, p.run(v, call, func() (before, after error) {
		if p.random(3) == 0 {
			before = fault.New(fault.ServerRefused, "shed")
		}
		if p.random(5) == 0 {
			after = fault.New(fault.Interrupted, "connection lost")
		}
		return before, after
	}))
	if v.dead.Load() {
		return // Callers of a killed VM get no response.
	}
	p.lock.Lock()
	defer p.lock.Unlock()
	if err == nil {
		if previous := p.responses[call.Key]; previous != "" && previous != string(response.Body()) {
			p.problem = fmt.Sprintf("responses %q and %q", previous, response.Body())
		}
		p.responses[call.Key] = string(response.Body())
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	runs := p.runs[call.Account+call.Key]
	if fault.KindOf(err).Response().Ran() == fault.No && len(runs) > 0 && runs[0].Before(time.Now()) {
		p.problem = fmt.Sprintf("%s ran but its caller got %v", call.Key, err)
	}
}
