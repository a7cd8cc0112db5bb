package member

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/azuredeal/azuredeal/peer"
	"github.com/azuredeal/azuredeal/store"
)

// inBubble runs fn in a synctest bubble. yamux keeps timers in a global sync.Pool,
// and a timer must not move between bubbles; two garbage collections empty the
// pool.
func inBubble(t *testing.T, fn func(t *testing.T)) {
	t.Helper()
	runtime.GC()
	runtime.GC()
	synctest.Test(t, fn)
	runtime.GC()
	runtime.GC()
}

// network connects VMs by net.Pipe. A direction between two VMs can be cut: data
// sent is then delayed until the cut heals, as in TCP, and new dials hang.
type network struct {
	direct bool // Connections are plain pipes, which cannot be cut.

	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[[2]string]chan struct{} // Closed when the direction heals.
	conns     []net.Conn
}

type listener struct {
	addr  string
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *listener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *listener) Addr() net.Addr { return &net.UnixAddr{Name: l.addr} }

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, cuts: map[[2]string]chan struct{}{}}
}

func (n *network) listen(addr string) (net.Listener, error) {
	l := &listener{addr: addr, conns: make(chan net.Conn), done: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l, nil
}

func (n *network) cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts[[2]string{from, to}] == nil {
		n.cuts[[2]string{from, to}] = make(chan struct{})
	}
}

func (n *network) heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c := n.cuts[[2]string{from, to}]; c != nil {
		close(c)
		delete(n.cuts, [2]string{from, to})
	}
}

func (n *network) cutBetween(from, to string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[[2]string{from, to}]
}

func (n *network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	if n.cutBetween(from, to) != nil || n.cutBetween(to, from) != nil {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	near, far := net.Pipe()
	if !n.direct {
		var midNear, midFar net.Conn
		near, midNear = net.Pipe()
		midFar, far = net.Pipe()
		go n.forward(from, to, midNear, midFar)
		go n.forward(to, from, midFar, midNear)
	}
	n.mu.Lock()
	n.conns = append(n.conns, near, far)
	n.mu.Unlock()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		_, _ = near.Close(), far.Close()
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		_, _ = near.Close(), far.Close()
		return nil, ctx.Err()
	}
}

const socketBuffer = 1024 // Chunks that the network buffers in one direction.

// forward copies one direction of a connection, and stops while it is cut.
func (n *network) forward(from, to string, in, out net.Conn) {
	chunks := make(chan []byte, socketBuffer)
	go func() {
		defer close(chunks)
		for {
			b := make([]byte, 4096)
			k, err := in.Read(b)
			if err != nil {
				return
			}
			chunks <- b[:k]
		}
	}()
	for {
		b, ok := <-chunks
		if c := n.cutBetween(from, to); c != nil {
			<-c
		}
		if !ok {
			break
		}
		if _, err := out.Write(b); err != nil {
			break
		}
	}
	_ = out.Close()
	for range chunks { // Drain until the sender closes too.
	}
}

// close closes all connections, also those across cuts.
func (n *network) close() {
	n.mu.Lock()
	conns := n.conns
	cuts := n.cuts
	n.cuts = map[[2]string]chan struct{}{}
	n.mu.Unlock()
	for _, c := range cuts {
		close(c)
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

// vm is one entry VM of a test fleet.
type vm struct {
	id      string
	driver  *Driver
	metrics *metrics.Set
	cancel  context.CancelFunc
	done    chan struct{}

	mu      sync.Mutex
	changes []Change
	resumed chan struct{} // Closed when the VM resumes.
}

// fleet is a set of VMs in one process.
type fleet struct {
	t           testing.TB
	net         *network
	vms         []*vm
	zones       int
	discoverVMs func(ctx context.Context) ([]store.VM, error)
	configure   func(o *Options) // Modifies the options of each VM.
}

func newFleet(t testing.TB, zones int) *fleet {
	f := &fleet{t: t, net: newNetwork(), zones: zones}
	t.Cleanup(f.close)
	return f
}

func (f *fleet) close() {
	for _, v := range f.vms {
		v.resume()
		v.cancel()
	}
	f.net.close()
	for _, v := range f.vms {
		<-v.done
	}
}

func vmID(i int) string { return fmt.Sprintf("vm%04d", i) }

var fleetKey = []byte("0123456789abcdef0123456789abcdef")

// start adds a VM. An index that exists already gets a new process with the same
// id.
func (f *fleet) start(i int, incarnation uint64) *vm {
	id := vmID(i)
	v := &vm{id: id, metrics: metrics.NewSet(), done: make(chan struct{})}
	var p *peer.Peer
	o := Options{
		Self:        NewMember(id, incarnation, fmt.Sprintf("z%d", i%f.zones), id, "entry-"+id),
		Seeds:       []string{vmID(0), vmID(1), vmID(2)},
		RandSeed:    uint64(i + 1),
		Link:        func(ctx context.Context, addr string) (*peer.Link, error) { return p.Link(ctx, addr) },
		DiscoverVMs: f.discoverVMs,
		Metrics:     v.metrics,
		OnChange: func(c Change) {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.changes = append(v.changes, c)
		},
	}
	if f.configure != nil {
		f.configure(&o)
	}
	v.driver = New(o)
	v.driver.beforeStep = v.waitWhilePaused
	p, err := peer.New(peer.Options{
		SharedKey:   fleetKey,
		Self:        v.driver.SelfRecord,
		Listen:      func() (net.Listener, error) { return f.net.listen(id) },
		Dial:        func(ctx context.Context, addr string) (net.Conn, error) { return f.net.dial(ctx, id, addr) },
		OnHeartbeat: v.driver.OnHeartbeat,
		OnLink:      v.driver.OnLink,
		Metrics:     v.metrics,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel = cancel
	var wg sync.WaitGroup
	wg.Go(func() { _ = p.Run(ctx) })
	wg.Go(func() { _ = v.driver.Run(ctx) })
	go func() {
		wg.Wait()
		close(v.done)
	}()
	f.vms = append(f.vms, v)
	return v
}

// startAll starts n VMs and waits until all views contain all VMs as alive.
func (f *fleet) startAll(n int) {
	for i := range n {
		f.start(i, 1)
	}
	f.waitFor("all VMs alive in all views", 30*time.Second, func() bool {
		for _, v := range f.vms {
			if len(v.driver.Snapshot().Alive()) != n {
				return false
			}
		}
		return true
	})
	time.Sleep(5 * time.Second) // Time for the links to become stable.
}

// kill stops a VM and cuts it off the network first, so that its peers do not see
// its connections close.
func (f *fleet) kill(v *vm) {
	for _, o := range f.vms {
		if o.id != v.id {
			f.net.cut(v.id, o.id)
			f.net.cut(o.id, v.id)
		}
	}
	f.net.mu.Lock()
	delete(f.net.listeners, v.id)
	f.net.mu.Unlock()
	v.cancel()
}

// pause blocks all steps of a VM until resume.
func (v *vm) pause() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.resumed = make(chan struct{})
}

func (v *vm) resume() {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.resumed != nil {
		close(v.resumed)
		v.resumed = nil
	}
}

// waitWhilePaused blocks while the VM is paused.
func (v *vm) waitWhilePaused() {
	v.mu.Lock()
	resumed := v.resumed
	v.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// stateOf returns the state of a member in this VM's view, Unknown if it has none.
func (v *vm) stateOf(id string) State {
	for _, m := range v.driver.Snapshot().Members() {
		if m.ID() == id {
			return m.State()
		}
	}
	return Unknown
}

// suspectOrGoneChanges returns the changes of other members to Suspect or Gone.
func (v *vm) suspectOrGoneChanges() []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []Change
	for _, c := range v.changes {
		if c.Member.State() == Suspect || c.Member.State() == Gone {
			out = append(out, c)
		}
	}
	return out
}

// clearChanges returns the changes so far and clears them.
func (v *vm) clearChanges() []Change {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := v.changes
	v.changes = nil
	return out
}

func (f *fleet) waitFor(what string, limit time.Duration, ok func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for !ok() {
		if time.Since(start) >= limit {
			f.t.Fatalf("not within %v: %s", limit, what)
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(start)
}

// allInState reports whether the members are in one of the states in the views of
// all vms other than themselves.
func (f *fleet) allInState(vms []*vm, ids []string, states ...State) bool {
	for _, v := range vms {
		for _, id := range ids {
			ok := v.id == id
			for _, s := range states {
				ok = ok || v.stateOf(id) == s
			}
			if !ok {
				return false
			}
		}
	}
	return true
}
