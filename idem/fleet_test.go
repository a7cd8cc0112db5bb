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
	"github.com/azuredeal/azuredeal/store"
	"github.com/azuredeal/azuredeal/wire"
)

const testSeed = 7

var secret = []byte("key of the fleet in tests")

// fleet is several VMs with one platform and one backend server.
type fleet struct {
	ctx    context.Context
	memory *store.Memory
	get    func() error                   // Fails a read of the platform.
	put    func(apply func() error) error // Decides what becomes of a write.
	lost   func() (before, after error)   // Fails a forwarded request.

	mu     sync.Mutex
	r      *rand.Rand
	vms    []*vm
	next   uint64
	runs   map[string]int
	first  map[string]time.Time
	writes int
}

// vm is one incarnation of a VM.
type vm struct {
	guard  *Guard
	cancel context.CancelFunc
	dead   atomic.Bool
	resume atomic.Int64 // The VM is paused until this time.
}

func newFleet(ctx context.Context, vms int, seed uint64) *fleet {
	f := &fleet{
		ctx: ctx, memory: store.NewMemory(), r: rand.New(rand.NewPCG(seed, 0)),
		runs: map[string]int{}, first: map[string]time.Time{}, vms: make([]*vm, vms),
		get:  func() error { return nil },
		put:  func(apply func() error) error { return apply() },
		lost: func() (error, error) { return nil, nil },
	}
	for i := range vms {
		f.replace(i)
	}
	return f
}

// replace kills the VM, if there is one, and starts its next incarnation.
func (f *fleet) replace(i int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if old := f.vms[i]; old != nil {
		old.dead.Store(true)
		old.cancel()
	}
	f.next++
	v := &vm{}
	ctx, cancel := context.WithCancel(f.ctx)
	v.cancel = cancel
	self := NewOwner(f.next, fmt.Sprintf("10.0.0.%d:7000", i))
	v.guard = NewGuard(NewKeys(secret, self), NewLedger(ctx, 1000, 1<<20), NewClaims(ctx, f.client(), self))
	v.guard.Forward = f.forward
	f.vms[i] = v
}

func (f *fleet) vm(i int) *vm {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vms[i]
}

func (f *fleet) chance(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.r.IntN(n) == 0
}

func (f *fleet) span(most time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.r.Int64N(int64(most) + 1))
}

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
	c.Put = func(ctx context.Context, name string, value []byte, cond store.Version) (version store.Version, err error) {
		f.mu.Lock()
		f.writes++
		f.mu.Unlock()
		time.Sleep(3 * time.Millisecond)
		err = f.put(func() error {
			version, err = put(ctx, name, value, cond)
			return err
		})
		return version, err
	}
	return c
}

// forward delivers a request to the VM at the peer address.
func (f *fleet) forward(ctx context.Context, peer string, m *wire.Forward) (*wire.Reply, error) {
	var i int
	_, _ = fmt.Sscanf(peer, "10.0.0.%d:", &i)
	v := f.vm(i)
	before, after := f.lost()
	if before != nil {
		return nil, before
	}
	if time.Now().UnixNano() < v.resume.Load() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	reply := v.guard.Serve(ctx, m, f.run(v, m.GetAccount()+m.GetKey(), 10*time.Millisecond, nil))
	if after != nil || v.dead.Load() {
		return nil, fault.New(fault.Interrupted, "the link failed")
	}
	return reply, nil
}

// run returns the dispatch to the backend server, which counts runs by key.
func (f *fleet) run(v *vm, key string, took time.Duration, fail func() (before, after error)) Run {
	return func(ctx context.Context) (*Answer, error) {
		time.Sleep(max(0, time.Until(time.Unix(0, v.resume.Load()))))
		if ctx.Err() != nil || v.dead.Load() {
			return nil, fault.New(fault.DeadlineShort, "not sent")
		}
		var after error
		if fail != nil {
			var before error
			if before, after = fail(); before != nil {
				return nil, before
			}
		}
		f.mu.Lock()
		f.runs[key]++
		n := f.runs[key]
		if n == 1 {
			f.first[key] = time.Now()
		}
		f.mu.Unlock()
		time.Sleep(took)
		if after != nil {
			return nil, after
		}
		if ctx.Err() != nil {
			return nil, fault.New(fault.Timeout, "no answer in time")
		}
		return NewAnswer(200, nil, fmt.Appendf(nil, "run %d of %s", n, key)), nil
	}
}

func (f *fleet) count(key string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[key]
}

// do sends a call to a VM and dispatches it there if that owns the key.
func (f *fleet) do(ctx context.Context, i int, call Call) (*Answer, error) {
	v := f.vm(i)
	return v.guard.Do(ctx, call, f.run(v, call.Account+call.Key, 10*time.Millisecond, nil))
}

var errDown = fault.New(fault.PlatformDown, "no answer")

// Guards against a second run, a "not run" for a key that ran, and two answers
// for one key, under repeats at several VMs, lost answers of the platform,
// outages, killed and paused VMs, and lost messages between VMs.
func TestAtMostOneRun(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(testSeed)
	params.MinSuccessfulTests = 150
	props := gopter.NewProperties(params)
	runs, answers := 0, 0
	props.Property("at most one run a key", prop.ForAll(func(seed uint64) (result string) {
		synctest.Test(t, func(t *testing.T) {
			trial := newTrial(t.Context(), seed)
			result = trial.play()
			runs += len(trial.f.runs)
			answers += len(trial.answers)
		})
		return result
	}, gen.UInt64()))
	props.TestingRun(t)
	if runs < 300 || answers < 200 {
		t.Errorf("only %d keys ran and %d were answered", runs, answers)
	}
}

// trial is one random course of events.
type trial struct {
	f       *fleet
	mu      sync.Mutex
	down    time.Time // The platform is down until then.
	answers map[string]string
	problem string
}

func newTrial(ctx context.Context, seed uint64) *trial {
	p := &trial{f: newFleet(ctx, 3, seed), answers: map[string]string{}}
	p.f.get = p.get
	p.f.put = p.put
	p.f.lost = func() (before, after error) {
		if p.f.chance(10) {
			before = errDown
		}
		if p.f.chance(10) {
			after = errDown
		}
		return before, after
	}
	return p
}

func (p *trial) isDown() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.down)
}

func (p *trial) get() error {
	if p.isDown() || p.f.chance(20) {
		return errDown
	}
	return nil
}

func (p *trial) put(apply func() error) error {
	switch {
	case p.isDown():
		return errDown
	case p.f.chance(5):
		_ = apply() // Took effect, and the answer is lost.
		return errDown
	case p.f.chance(10):
		time.AfterFunc(p.f.span(50*time.Millisecond), func() { _ = apply() })
		return errDown
	}
	return apply()
}

// play sends repeats of a few keys while VMs and the platform fail.
func (p *trial) play() string {
	keys := []string{"own 1", "own 2", "own 3", p.f.vm(0).guard.keys.Issue(time.Now()), p.f.vm(1).guard.keys.Issue(time.Now())}
	var group sync.WaitGroup
	for range 60 {
		time.Sleep(p.f.span(20 * time.Millisecond))
		i, key := int(p.f.span(2)), keys[p.f.span(time.Duration(len(keys)-1))]
		switch {
		case p.f.chance(30):
			p.f.replace(i)
		case p.f.chance(30):
			p.f.vm(i).resume.Store(time.Now().Add(p.f.span(time.Second)).UnixNano())
		case p.f.chance(20):
			p.mu.Lock()
			p.down = time.Now().Add(p.f.span(200 * time.Millisecond))
			p.mu.Unlock()
		}
		group.Go(func() { p.send(i, key) })
	}
	group.Wait()
	time.Sleep(time.Minute)
	p.f.mu.Lock()
	defer p.f.mu.Unlock()
	for key, n := range p.f.runs {
		if n > 1 {
			return fmt.Sprintf("%d runs of %s", n, key)
		}
	}
	return p.problem
}

func (p *trial) send(i int, key string) {
	ctx, cancel := context.WithTimeout(p.f.ctx, 20*time.Millisecond+p.f.span(300*time.Millisecond))
	defer cancel()
	if p.f.chance(5) {
		defer time.AfterFunc(p.f.span(50*time.Millisecond), cancel).Stop()
	}
	v := p.f.vm(i)
	answer, err := v.guard.Do(ctx, Call{Account: "a", Key: key}, p.f.run(v, "a"+key, p.f.span(100*time.Millisecond), p.fail))
	if v.dead.Load() {
		return // Its callers get no answer.
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		if was := p.answers[key]; was != "" && was != string(answer.Body()) {
			p.problem = fmt.Sprintf("answers %q and %q", was, answer.Body())
		}
		p.answers[key] = string(answer.Body())
		return
	}
	p.f.mu.Lock()
	began, ran := p.f.first["a"+key]
	p.f.mu.Unlock()
	if fault.Of(err).Answer().Ran() == fault.No && ran && began.Before(time.Now()) {
		p.problem = fmt.Sprintf("%s ran and was answered %v", key, err)
	}
}

func (p *trial) fail() (before, after error) {
	if p.f.chance(3) {
		before = fault.New(fault.ServerRefused, "shed")
	}
	if p.f.chance(5) {
		after = fault.New(fault.Interrupted, "connection lost")
	}
	return before, after
}
