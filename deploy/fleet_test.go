package deploy_test

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/deploy"
	"github.com/azuredeal/azuredeal/fault"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/objapi"
	"github.com/azuredeal/azuredeal/seed"
	"github.com/azuredeal/azuredeal/store"
)

// platform is the stand-in platform within the process. Tests count its calls
// and fail its writes.
type platform struct {
	*objapi.Server
	memory *store.Memory
	seed   uint64 // Added to the seeds of its clients.
	// before and after see the object name of each write; an error is no answer.
	before, after func(name string) error

	mu      sync.Mutex
	calls   map[string]int // By kind: read, watch, write, delete.
	bytes   int            // Written.
	clients int
	asked   map[ask]bool
}

// ask is a second, from the start, in which a client called.
type ask struct{ client, second int }

func newPlatform() *platform {
	memory := store.NewMemory()
	p := &platform{Server: objapi.New(memory), memory: memory, calls: map[string]int{}, asked: map[ask]bool{}}
	p.setDown(false)
	return p
}

// setDown begins or ends an outage. A call takes the platform's few milliseconds.
func (p *platform) setDown(down bool) {
	f := objapi.Faults{Latency: 5}
	if down {
		f.Outage = objapi.OutageDrop
	}
	p.SetFaults(f)
}

var errSilent = fault.New(fault.PlatformDown, "no answer")

// client returns a client of its own, as a VM has one.
func (p *platform) client() *store.Client {
	p.mu.Lock()
	p.clients++
	id := p.clients
	p.mu.Unlock()
	begin := time.Now()
	transport := trip(func(r *http.Request) (*http.Response, error) {
		p.mu.Lock()
		p.asked[ask{id, int(time.Since(begin).Seconds())}] = true
		p.mu.Unlock()
		return p.serve(r)
	})
	return store.NewHTTP("http://platform", &http.Client{Transport: transport}, store.WithRand(locked(p.seed+uint64(id))))
}

type trip func(r *http.Request) (*http.Response, error)

func (f trip) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (p *platform) serve(r *http.Request) (*http.Response, error) {
	name := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	write := r.Method != http.MethodGet
	switch {
	case write:
		p.add("write", int(r.ContentLength))
	case r.URL.Query().Has("watch"):
		p.add("watch", 0)
	default:
		p.add("read", 0)
	}
	if write && p.before != nil {
		if err := p.before(name); err != nil {
			return nil, err
		}
	}
	resp, err := p.Transport().RoundTrip(r)
	if err != nil || !write || resp.StatusCode >= http.StatusBadRequest {
		return resp, err
	}
	if r.Method == http.MethodDelete {
		p.add("delete", 0)
	}
	if p.after != nil {
		if err := p.after(name); err != nil {
			return nil, err
		}
	}
	return resp, nil
}

func (p *platform) add(kind string, bytes int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls[kind]++
	p.bytes += bytes
}

func (p *platform) count(kind string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[kind]
}

// busiest returns the most clients that called in one second, from that second.
func (p *platform) busiest(from int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most, clients := 0, map[int]int{}
	for a := range p.asked {
		if a.second >= from {
			clients[a.second]++
			most = max(most, clients[a.second])
		}
	}
	return most
}

// world is a platform, a publisher and VMs under a paused clock. The VMs are
// linked as a full mesh, but for the pairs that are cut.
type world struct {
	*testing.T
	ctx context.Context
	p   *platform
	pub *deploy.Publisher

	mu   sync.Mutex
	list map[string]*deploy.Follower
	cut  func(from, to string) bool
	hang string // Peers that receive and never answer; set before the VMs start.
}

// simulate runs fn in a world whose first release has that many routes.
func simulate(t *testing.T, routes int, fn func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // Every goroutine of the bubble sees the end.
		}()
		p := newPlatform()
		p.seed = seed.For(t, 0)
		w := &world{T: t, ctx: ctx, p: p, pub: publisher(p, 1), list: map[string]*deploy.Follower{}}
		w.block(func(string, string) bool { return false })
		w.publish(first(routes))
		fn(w)
	})
}

// publish publishes a note that has to be accepted.
func (w *world) publish(n *note.Note) uint64 {
	w.Helper()
	generation, err := w.pub.Publish(w.ctx, n)
	if err != nil {
		w.Fatal(err)
	}
	return generation
}

// whole returns the generation that a VM without a release can load, 0 when a
// part of it is missing.
func (w *world) whole() uint64 {
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	f := deploy.NewFollower(w.p.memory.Client())
	f.Rand = locked(w.p.seed)
	go func() { _ = f.Run(ctx) }()
	time.Sleep(10 * time.Second)
	return f.Generation()
}

// block replaces the pairs of VMs that do not reach each other.
func (w *world) block(cut func(from, to string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut = cut
}

// vms returns the VMs as they are now, without those that peer does not reach.
func (w *world) vms(peer string) map[string]*deploy.Follower {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := maps.Clone(w.list)
	maps.DeleteFunc(out, func(id string, _ *deploy.Follower) bool { return w.cut(peer, id) || w.cut(id, peer) })
	return out
}

// start starts a VM, after it was prepared.
func (w *world) start(id string, client *store.Client, prepare ...func(*deploy.Follower)) *deploy.Follower {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := deploy.NewFollower(client)
	f.Rand = locked(w.p.seed + uint64(len(w.list)+1))
	f.Fetch = func(ctx context.Context, peer string, digests [][]byte) ([]byte, [][]byte, error) {
		time.Sleep(2 * time.Millisecond)
		if strings.Contains(w.hang, peer) {
			<-ctx.Done()
		}
		from, ok := w.vms(id)[peer]
		if ctx.Err() != nil || !ok {
			return nil, nil, errors.New("no link")
		}
		head, chunks := from.HandleFetch(digests)
		return head, chunks, nil
	}
	for _, fn := range prepare {
		fn(f)
	}
	w.list[id] = f
	go func() { _ = f.Run(w.ctx) }()
	return f
}

// beat exchanges heartbeats every 500 ms.
func (w *world) beat() {
	for w.ctx.Err() == nil {
		for from, f := range w.vms("") {
			for to, g := range w.vms(from) {
				if from != to {
					g.ObservePeerGeneration(from, f.Generation())
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// reach waits until every VM has the generation and returns how long that took.
func (w *world) reach(generation uint64, bound time.Duration) time.Duration {
	w.Helper()
	begin := time.Now()
	for time.Since(begin) <= bound {
		done := true
		for _, f := range w.vms("") {
			done = done && f.Generation() == generation
		}
		if done {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for id, f := range w.vms("") {
		w.Errorf("%s: %+v", id, f.Dump())
	}
	w.Fatalf("generation %d is not in effect everywhere within %v", generation, bound)
	return 0
}

// chunks counts the chunk objects.
func (p *platform) chunks() int {
	list, _ := p.memory.Client().List(context.Background(), "release/chunk/")
	return len(list)
}

func silent() *store.Client {
	p := newPlatform()
	p.setDown(true)
	return p.client()
}

// locked returns a fixed sequence of numbers in [0, 1) for several goroutines.
func locked(seed uint64) func() float64 {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

func publisher(p *platform, seed uint64) *deploy.Publisher {
	pub := deploy.NewPublisher(p.client())
	pub.Rand = locked(p.seed + seed)
	return pub
}

func server(i int) note.Server {
	return note.Server{Addr: fmt.Sprintf("10.%d.%d.%d:80", i>>16, i>>8&255, i&255), Zone: fmt.Sprintf("z%d", i%6)}
}

func route(i int) note.Route {
	return note.Route{
		Name: fmt.Sprintf("route-%d", i), Service: "service-0", Path: fmt.Sprintf("/v1/tenant-%d/objects/*", i),
		Methods: []string{"GET"}, Idempotent: true,
	}
}

// first is the note that builds a release of that many routes.
func first(routes int) *note.Note {
	n := &note.Note{ID: "first"}
	for i := range max(1, routes*460/25_000) {
		s := note.Service{Name: fmt.Sprintf("service-%d", i)}
		for j := range 30 {
			s.Servers = append(s.Servers, server(i*30+j))
		}
		n.Added.Services = append(n.Added.Services, s)
	}
	for i := range routes {
		n.Added.Routes = append(n.Added.Routes, route(i))
	}
	for i := range routes * 53 / 25 {
		name := fmt.Sprintf("account-%d", i)
		digest := fmt.Sprintf("%x", sha256.Sum256([]byte(name)))
		n.Added.Accounts = append(n.Added.Accounts, note.Account{Name: name, TokenDigest: digest})
	}
	return n
}

// more is the note that adds one route.
func more(i int, base uint64) *note.Note {
	return &note.Note{
		ID: fmt.Sprintf("more-%d", i), BaseGeneration: base,
		Added: note.Items{Routes: []note.Route{route(1_000_000 + i)}},
	}
}

func isHead(name string) bool { return name == "release/head" }

func isChunk(name string) bool { return strings.HasPrefix(name, "release/chunk/") }
