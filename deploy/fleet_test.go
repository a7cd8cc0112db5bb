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

// platform is an in-process platform for tests, which counts calls and can inject
// failures of writes.
type platform struct {
	*objapi.Server
	memory *store.Memory
	seed   uint64 // Added to the seeds of its clients.
	// before and after are called with the object name of each write, before and
	// after it is applied. An error means that the client gets no response.
	before, after func(name string) error

	mu      sync.Mutex
	calls   map[string]int // By kind: read, watch, write, delete.
	bytes   int            // Total size of written request bodies.
	clients int
	called  map[clientSecond]bool
}

// clientSecond is a second, counted from the creation of a client, in which the
// client called the platform.
type clientSecond struct{ client, second int }

func newPlatform() *platform {
	memory := store.NewMemory()
	p := &platform{Server: objapi.New(memory), memory: memory, calls: map[string]int{}, called: map[clientSecond]bool{}}
	p.setDown(false)
	return p
}

// setDown starts or ends an outage. Calls have a latency of 5 ms.
func (p *platform) setDown(down bool) {
	f := objapi.Faults{Latency: 5}
	if down {
		f.Outage = objapi.OutageDrop
	}
	p.SetFaults(f)
}

var errNoResponse = fault.New(fault.PlatformDown, "no response")

// client returns a new client, since each VM has its own.
func (p *platform) client() *store.Client {
	p.mu.Lock()
	p.clients++
	id := p.clients
	p.mu.Unlock()
	begin := time.Now()
	transport := roundTripFunc(func(r *http.Request) (*http.Response, error) {
		p.mu.Lock()
		p.called[clientSecond{id, int(time.Since(begin).Seconds())}] = true
		p.mu.Unlock()
		return p.serve(r)
	})
	return store.NewHTTP("http://platform", &http.Client{Transport: transport}, store.WithRand(lockedRand(p.seed+uint64(id))))
}

type roundTripFunc func(r *http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func (p *platform) serve(r *http.Request) (*http.Response, error) {
	name := strings.TrimPrefix(r.URL.Path, "/v1/objects/")
	write := r.Method != http.MethodGet
	switch {
	case write:
		p.recordCall("write", int(r.ContentLength))
	case r.URL.Query().Has("watch"):
		p.recordCall("watch", 0)
	default:
		p.recordCall("read", 0)
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
		p.recordCall("delete", 0)
	}
	if p.after != nil {
		if err := p.after(name); err != nil {
			return nil, err
		}
	}
	return resp, nil
}

func (p *platform) recordCall(kind string, bytes int) {
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

// maxClientsPerSecond returns the maximum number of clients that called within the
// same second, from the given second on.
func (p *platform) maxClientsPerSecond(from int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	most, clients := 0, map[int]int{}
	for a := range p.called {
		if a.second >= from {
			clients[a.second]++
			most = max(most, clients[a.second])
		}
	}
	return most
}

// testFleet is a platform, a publisher and VMs under the fake clock of synctest.
// The VMs are linked as a full mesh, except for the blocked pairs.
type testFleet struct {
	*testing.T
	ctx context.Context
	p   *platform
	pub *deploy.Publisher

	mu           sync.Mutex
	followers    map[string]*deploy.Follower
	blocked      func(from, to string) bool
	hangingPeers string // Peers that receive requests and never respond; set before the VMs start.
}

// simulate runs fn with a fleet whose first release has the given number of
// routes.
func simulate(t *testing.T, routes int, fn func(tf *testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			cancel()
			time.Sleep(time.Minute) // Lets every goroutine of the synctest bubble end.
		}()
		p := newPlatform()
		p.seed = seed.For(t, 0)
		tf := &testFleet{T: t, ctx: ctx, p: p, pub: newPublisher(p, 1), followers: map[string]*deploy.Follower{}}
		tf.setBlocked(func(string, string) bool { return false })
		tf.publish(firstNote(routes))
		fn(tf)
	})
}

// publish publishes a note and fails the test if it is not accepted.
func (tf *testFleet) publish(n *note.Note) uint64 {
	tf.Helper()
	generation, err := tf.pub.Publish(tf.ctx, n)
	if err != nil {
		tf.Fatal(err)
	}
	return generation
}

// loadableGeneration returns the generation that a VM without a release can load,
// or 0 if an object of it is missing.
func (tf *testFleet) loadableGeneration() uint64 {
	ctx, cancel := context.WithCancel(tf.ctx)
	defer cancel()
	f := deploy.NewFollower(tf.p.memory.Client())
	f.Rand = lockedRand(tf.p.seed)
	go func() { _ = f.Run(ctx) }()
	time.Sleep(10 * time.Second)
	return f.Generation()
}

// setBlocked sets the function that reports which pairs of VMs cannot reach each
// other.
func (tf *testFleet) setBlocked(blocked func(from, to string) bool) {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	tf.blocked = blocked
}

// vms returns the current VMs, without those that peer cannot reach.
func (tf *testFleet) vms(peer string) map[string]*deploy.Follower {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	out := maps.Clone(tf.followers)
	maps.DeleteFunc(out, func(id string, _ *deploy.Follower) bool { return tf.blocked(peer, id) || tf.blocked(id, peer) })
	return out
}

// startVM calls the prepare functions on a new VM and starts it.
func (tf *testFleet) startVM(id string, client *store.Client, prepare ...func(*deploy.Follower)) *deploy.Follower {
	tf.mu.Lock()
	defer tf.mu.Unlock()
	f := deploy.NewFollower(client)
	f.Rand = lockedRand(tf.p.seed + uint64(len(tf.followers)+1))
	f.Fetch = func(ctx context.Context, peer string, digests [][]byte) ([]byte, [][]byte, error) {
		time.Sleep(2 * time.Millisecond)
		if strings.Contains(tf.hangingPeers, peer) {
			<-ctx.Done()
		}
		from, ok := tf.vms(id)[peer]
		if ctx.Err() != nil || !ok {
			return nil, nil, errors.New("no link")
		}
		head, chunks := from.HandleFetch(digests)
		return head, chunks, nil
	}
	for _, fn := range prepare {
		fn(f)
	}
	tf.followers[id] = f
	go func() { _ = f.Run(tf.ctx) }()
	return f
}

// exchangeHeartbeats sends heartbeats between all VMs every 500 ms.
func (tf *testFleet) exchangeHeartbeats() {
	for tf.ctx.Err() == nil {
		for from, f := range tf.vms("") {
			for to, g := range tf.vms(from) {
				if from != to {
					g.ObservePeerGeneration(from, f.Generation())
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// waitForGeneration waits until every VM has applied the generation and returns
// how long that took. It fails the test after bound.
func (tf *testFleet) waitForGeneration(generation uint64, bound time.Duration) time.Duration {
	tf.Helper()
	begin := time.Now()
	for time.Since(begin) <= bound {
		done := true
		for _, f := range tf.vms("") {
			done = done && f.Generation() == generation
		}
		if done {
			return time.Since(begin)
		}
		time.Sleep(10 * time.Millisecond)
	}
	for id, f := range tf.vms("") {
		tf.Errorf("%s: %+v", id, f.Dump())
	}
	tf.Fatalf("generation %d is not applied on all VMs within %v", generation, bound)
	return 0
}

// chunkCount returns the number of chunk objects in the platform.
func (p *platform) chunkCount() int {
	list, _ := p.memory.Client().List(context.Background(), "release/chunk/")
	return len(list)
}

// unreachableClient returns a client of a platform in a permanent outage.
func unreachableClient() *store.Client {
	p := newPlatform()
	p.setDown(true)
	return p.client()
}

// lockedRand returns a seeded source of numbers in [0, 1) that is safe for
// concurrent use.
func lockedRand(seed uint64) func() float64 {
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(seed, seed))
	return func() float64 {
		mu.Lock()
		defer mu.Unlock()
		return random.Float64()
	}
}

func newPublisher(p *platform, seed uint64) *deploy.Publisher {
	pub := deploy.NewPublisher(p.client())
	pub.Rand = lockedRand(p.seed + seed)
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

// firstNote returns the note that creates a release with the given number of
// routes.
func firstNote(routes int) *note.Note {
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

// addRouteNote returns a note that adds one route.
func addRouteNote(i int, base uint64) *note.Note {
	return &note.Note{
		ID: fmt.Sprintf("more-%d", i), BaseGeneration: base,
		Added: note.Items{Routes: []note.Route{route(1_000_000 + i)}},
	}
}

func isHead(name string) bool { return name == "release/head" }

func isChunk(name string) bool { return strings.HasPrefix(name, "release/chunk/") }
