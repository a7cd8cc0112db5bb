package entry

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/conf"
	"github.com/azuredeal/azuredeal/limit"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/worker"
)

const (
	benchServers     = 20
	benchSlots       = 3
	benchQueue       = 64 // Requests that can wait at a backend server.
	benchCallers     = benchServers * benchSlots * 9 / 10
	benchRounds      = 6 // Direct and proxied load alternate, so that both run under the same machine load.
	benchServiceTime = 20 * time.Millisecond
	benchSigma       = 0.1
	benchDeadline    = 5 * time.Second
	benchTimeout     = 2 * time.Minute // For one benchmark.
	headerServed     = "Bench-Served"  // Time in the handler of the backend server, in nanoseconds.
)

// BenchmarkAdded reports the overhead that one entry VM adds to lookups and keyed actions
// at 90% of the slots of 20 backend servers. Callers, VM and backend servers share
// the process. The same load sent directly, with the same choice of server, is
// subtracted from latency, CPU time and allocations. Latency is the duration of a request
// minus the time in the handler of the backend server. More than 2 iterations of
// BenchmarkSaturated would exceed the number of keys that the ledger stores for one
// account.
//
//	go test -run xxx -bench Added -benchtime 1x -count 3 ./entry
func BenchmarkAdded(b *testing.B) {
	benchmarkRequests(b, benchServiceTime, 25)
}

// BenchmarkSaturated is BenchmarkAdded with backend servers that respond at once, so that
// throughput is limited by the CPU.
//
//	go test -run xxx -bench Saturated -benchtime 1x -count 3 ./entry
func BenchmarkSaturated(b *testing.B) {
	benchmarkRequests(b, 0, 100)
}

func benchmarkRequests(b *testing.B, median time.Duration, perCaller int) {
	for _, kind := range []struct{ name, method, path string }{
		{"lookup", http.MethodGet, "/plans/7"},
		{"action", http.MethodPost, "/plans/7/approval"},
	} {
		b.Run(kind.name, func(b *testing.B) {
			ctx, cancel := context.WithTimeout(b.Context(), benchTimeout)
			defer cancel()
			l := newLoad(ctx, b, median)
			l.method, l.path = kind.method, kind.path
			direct, proxied := new(usage), new(usage)
			l.round(ctx, l.direct, 2, new(usage))
			l.round(ctx, l.proxied, 2, new(usage))
			for b.Loop() {
				for range benchRounds {
					l.round(ctx, l.direct, perCaller, direct)
					l.round(ctx, l.proxied, perCaller, proxied)
				}
			}
			report(b, direct, proxied)
		})
	}
}

// usage is the time and the resources that a number of requests took.
type usage struct {
	outside []time.Duration // Duration of each request minus the time in the backend server.
	failed  int
	cpu     time.Duration // CPU time of the process.
	mallocs uint64
	bytes   uint64
}

// report reports the difference between proxied and direct requests per request.
func report(b *testing.B, direct, proxied *usage) {
	if direct.failed+proxied.failed > 0 {
		b.Errorf("%d direct and %d proxied requests failed", direct.failed, proxied.failed)
	}
	ms := func(q float64) float64 {
		return (proxied.quantile(q) - direct.quantile(q)).Seconds() * 1e3
	}
	n := float64(len(proxied.outside))
	cpu := (proxied.cpu - direct.cpu).Seconds() / n
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(ms(0.5), "added-p50-ms")
	b.ReportMetric(ms(0.99), "added-p99-ms")
	b.ReportMetric(direct.quantile(0.99).Seconds()*1e3, "direct-p99-ms")
	b.ReportMetric(cpu*1e6, "added-cpu-µs/req")
	b.ReportMetric(1/cpu, "req/s/core")
	b.ReportMetric((float64(proxied.mallocs)-float64(direct.mallocs))/n, "added-allocs/req")
	b.ReportMetric((float64(proxied.bytes)-float64(direct.bytes))/n, "added-B/req")
}

func (u *usage) quantile(q float64) time.Duration {
	slices.Sort(u.outside)
	return u.outside[int(q*float64(len(u.outside)-1))]
}

// load sends requests through a VM and directly to its backend servers.
type load struct {
	vm           *VM
	client       *http.Client
	picker       *pick.Picker
	limits       map[string]*limit.Adaptive
	method, path string
}

func newLoad(ctx context.Context, b *testing.B, median time.Duration) *load {
	l := &load{
		picker: pick.New("zone-1", 1), limits: map[string]*limit.Adaptive{},
		client: &http.Client{Transport: &http.Transport{
			MaxIdleConns: 0, MaxIdleConnsPerHost: benchCallers, DisableCompression: true,
		}},
	}
	b.Cleanup(l.client.CloseIdleConnections)
	service := note.Service{
		Name: "layout", Floor: benchServers / 2, Deadline: note.Duration(benchDeadline), Echo: note.EchoRequired,
		Limits:    note.Limits{Queue: benchCallers, RetryRatio: 0.1, Hedge: true},
		Detection: note.Detection{Profile: note.ProfileFast},
	}
	var targets []*pick.Target
	for i := range benchServers {
		addr := serveWorker(b, worker.Options{
			Name: "layout-" + strconv.Itoa(i), Slots: benchSlots, Queue: benchQueue,
			Median: median, Sigma: benchSigma, Seed: uint64(i),
		})
		service.Servers = append(service.Servers, note.Server{Addr: addr, Zone: "zone-1", Slots: benchSlots, Conns: 400})
		targets = append(targets, pick.NewTarget(addr, "zone-1", benchSlots))
		l.limits[addr] = limit.NewAdaptive(benchSlots)
	}
	l.picker.SetTargets(targets)
	routes := []note.Route{
		{Name: "plan", Service: "layout", Path: "/plans/*", Methods: []string{http.MethodGet}, Idempotent: true, Class: note.ClassNormal},
		{Name: "approval", Service: "layout", Path: "/plans/*", Methods: []string{http.MethodPost}, IdempotencyKey: note.KeyRequired, Class: note.ClassNormal},
	}
	l.vm = startVM(ctx, b, note.NewRelease(1, []note.Service{service}, routes, nil))
	return l
}

// serveWorker starts a backend server that reports the time in its handler in headerServed.
func serveWorker(b *testing.B, opts worker.Options) string {
	handler := worker.New(opts).Handler()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&timedWriter{ResponseWriter: w, start: time.Now()}, r)
	})}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// timedWriter sets headerServed to the time from start to the first write.
type timedWriter struct {
	http.ResponseWriter
	start time.Time
	timed bool
}

func (w *timedWriter) Write(p []byte) (int, error) {
	if !w.timed {
		w.timed = true
		w.Header().Set(headerServed, strconv.FormatInt(int64(time.Since(w.start)), 10))
	}
	return w.ResponseWriter.Write(p)
}

// startVM runs a VM with the release applied and a platform that doesn't respond.
func startVM(ctx context.Context, b *testing.B, rel *note.Release) *VM {
	settings := conf.Default()
	settings.Name, settings.Zone = "vm-1", "zone-1"
	settings.Entry.Addr, settings.Admin.Addr, settings.Peer.Addr = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	settings.Peer.Secret = "a secret of the benchmark, 32 bytes"
	settings.Platform.URL = "http://127.0.0.1:9"
	settings.Limits.Rate, settings.Limits.Burst = 1e6, 1e6
	ctx, cancel := context.WithCancel(ctx)
	vm, err := New(ctx, settings, Options{Log: zerolog.Nop()})
	if err != nil {
		b.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = vm.Run(ctx)
	}()
	b.Cleanup(func() {
		cancel()
		<-done
	})
	vm.applyRelease(ctx, rel)
	return vm
}

// round lets each caller send perCaller requests and adds their usage to into.
func (l *load) round(ctx context.Context, send func(*http.Request) (*http.Response, error), perCaller int, into *usage) {
	requests := make([][]*http.Request, benchCallers)
	for i := range requests {
		for range perCaller {
			requests[i] = append(requests[i], l.request(ctx))
		}
	}
	outside := make([][]time.Duration, benchCallers)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpu := processCPUTime()
	var group sync.WaitGroup
	for i, list := range requests {
		outside[i] = make([]time.Duration, 0, len(list))
		group.Go(func() {
			for _, r := range list {
				if took, err := exchange(send, r); err == nil {
					outside[i] = append(outside[i], took)
				}
			}
		})
	}
	group.Wait()
	into.cpu += processCPUTime() - cpu
	runtime.ReadMemStats(&after)
	into.mallocs += after.Mallocs - before.Mallocs
	into.bytes += after.TotalAlloc - before.TotalAlloc
	sent := len(into.outside) + benchCallers*perCaller
	into.outside = slices.Concat(append(outside, into.outside)...)
	into.failed += sent - len(into.outside)
}

func (l *load) request(ctx context.Context) *http.Request {
	r, err := http.NewRequestWithContext(ctx, l.method, "http://"+l.vm.EntryAddr()+l.path, http.NoBody)
	if err != nil {
		panic(err)
	}
	if l.method == http.MethodPost {
		r.Header.Set("Idempotency-Key", l.vm.callerAPI.issueKeys(1)[0])
	}
	return r
}

// exchange sends one request and returns its duration minus the time in the handler of
// the backend server.
func exchange(send func(*http.Request) (*http.Response, error), r *http.Request) (time.Duration, error) {
	start := time.Now()
	resp, err := send(r)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	took := time.Since(start)
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", resp.StatusCode)
	}
	served, err := strconv.ParseInt(resp.Header.Get(headerServed), 10, 64)
	return took - time.Duration(served), err
}

func (l *load) proxied(r *http.Request) (*http.Response, error) { return l.client.Do(r) }

// direct sends the request to a backend server, which it chooses as the VM does.
func (l *load) direct(r *http.Request) (*http.Response, error) {
	t, admitted := l.chooseServer()
	t.Begin()
	defer t.End()
	start := time.Now()
	r.URL.Host, r.Host = t.Addr(), t.Addr()
	r.Header.Set("X-Request-Id", "1") // As the VM does.
	resp, err := l.client.Do(r)
	if admitted {
		l.limits[t.Addr()].End(time.Now(), time.Since(start), board.Success)
	}
	return resp, err
}

// chooseServer returns a backend server, and whether it is below its concurrency limit. It
// returns one at its limit only after 4 tries.
func (l *load) chooseServer() (*pick.Target, bool) {
	const tries = 4
	var full []*pick.Target
	for range tries {
		t := l.picker.Pick(full)
		if l.limits[t.Addr()].Begin() {
			return t, true
		}
		full = append(full, t)
	}
	return full[0], false
}

func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
