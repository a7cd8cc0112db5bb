package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/azuredeal/azuredeal/board"
	"github.com/azuredeal/azuredeal/internal/fleet/crash"
	"github.com/azuredeal/azuredeal/note"
	"github.com/azuredeal/azuredeal/pick"
	"github.com/azuredeal/azuredeal/seed"
)

// Constants of the model of servers that end.
const (
	endingServers   = 20
	endingVMs       = 4
	endingSpan      = 16 * time.Second
	endingPerSecond = 60.0
	restartTime     = 3 * time.Second
	deadlyTime      = 60 * time.Millisecond // Until a deadly request ends the process.
	gossipTime      = 5 * time.Millisecond  // Until another VM knows of a suspicion.
	deadlyModelPath = "/look/deadly"
	popularPath     = "/look/popular"
)

// endingServer is a backend server of the model whose process can end.
type endingServer struct {
	model *endingModel
	mu    sync.Mutex
	start uint64 // Number of the process, 0 while none runs.
	conns map[net.Conn]bool
}

func (s *endingServer) dial() (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.start == 0 {
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
	client, server := net.Pipe()
	s.conns[server] = true
	go s.serve(server, s.start)
	return client, nil
}

func (s *endingServer) serve(c net.Conn, start uint64) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if r.URL.Path == deadlyModelPath {
			time.Sleep(deadlyTime)
			s.model.crashed()
			s.end(start)
			return
		}
		time.Sleep(modelServiceTime)
		if !respond(c, r, 200, "", "whole") {
			return
		}
	}
}

// end ends the process, unless it has ended before, and starts another one later.
func (s *endingServer) end(start uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.start != start || start == 0 {
		return
	}
	for c := range s.conns {
		_ = c.Close()
	}
	s.start, s.conns = 0, map[net.Conn]bool{}
	time.AfterFunc(restartTime, func() {
		s.mu.Lock()
		s.start = start + 1
		s.mu.Unlock()
		s.model.release()
	})
}

// endingModel is a fleet with servers whose processes end.
type endingModel struct {
	servers []*endingServer
	vms     []*fixture
	tables  []*crash.Table

	mu      sync.Mutex
	crashes int
	results map[string]map[string]int // Outcomes by kind of request.
}

func newEndingModel(t *testing.T, knowsRequests bool) *endingModel {
	m := &endingModel{results: map[string]map[string]int{}}
	for range endingServers {
		m.servers = append(m.servers, &endingServer{model: m, start: 1, conns: map[net.Conn]bool{}})
	}
	for i := range endingVMs {
		f := newFixture(t, nil)
		f.pickTarget, f.pickReliable = (*pick.Picker).Pick, (*pick.Picker).PickReliable
		f.tryWithdraw = New(Options{}).tryWithdraw
		f.opts.Dial = func(_ context.Context, _, addr string) (net.Conn, error) {
			var n int
			_, _ = fmt.Sscanf(addr, "10.0.0.%d:1", &n)
			return m.servers[n].dial()
		}
		if knowsRequests {
			table := crash.New(crash.Options{VM: fmt.Sprint("vm-", i), Changed: func(_, after crash.State, _ crash.Change) {
				time.AfterFunc(gossipTime, func() {
					for _, other := range m.tables {
						other.Merge(time.Now(), []crash.State{after})
					}
				})
			}})
			m.tables = append(m.tables, table)
			f.opts.Crashes, f.opts.Hasher = table, crash.NewHasher(nil)
			f.opts.Background = t.Context()
		}
		m.vms = append(m.vms, f)
	}
	m.release()
	return m
}

// release puts the running processes into effect on all VMs.
func (m *endingModel) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	rel := release(func(s *note.Service) {
		s.Deadline = note.Duration(modelDeadline)
		s.Limits.RetryRatio, s.Limits.Hedge = 0.2, true
		for i, server := range m.servers {
			server.mu.Lock()
			s.Servers = append(s.Servers, note.Server{
				Addr: fmt.Sprintf("10.0.0.%d:1", i), Zone: "a", Slots: modelSlots, Conns: 400, Start: max(1, server.start),
			})
			server.mu.Unlock()
		}
	})
	for _, vm := range m.vms {
		vm.SetRelease(rel)
	}
}

func (m *endingModel) crashed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashes++
}

// send sends a request through a VM and records its outcome under a kind.
func (m *endingModel) send(vm *fixture, kind, path, body string) {
	w := httptest.NewRecorder()
	vm.ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	outcome := "served"
	if w.Code != http.StatusOK {
		outcome = w.Header().Get("Azuredeal-Error")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.results[kind] == nil {
		m.results[kind] = map[string]int{}
	}
	m.results[kind][outcome]++
}

// play sends the load, and deadly requests for most of the time at a rate; disturb is called once
// a second.
func (m *endingModel) play(t *testing.T, deadlyPerSecond float64, disturb func(second int)) {
	random := rand.New(rand.NewPCG(seed.For(t, 5), 0))
	var requests sync.WaitGroup
	begin, second := time.Now(), 0
	for n := 0; time.Since(begin) < endingSpan; n++ {
		if elapsed := int(time.Since(begin) / time.Second); elapsed > second {
			second = elapsed
			disturb(second)
		}
		vm, kind, path, body := m.vms[random.IntN(endingVMs)], "safe", fmt.Sprint("/look/", n), ""
		switch x := random.Float64() * (endingPerSecond + deadlyPerSecond); {
		case x < deadlyPerSecond && second >= 2:
			kind, path = "deadly", deadlyModelPath
		case x < deadlyPerSecond+endingPerSecond/4:
			kind, path = "popular", popularPath
		case x < deadlyPerSecond+endingPerSecond/2:
			kind, path, body = "unsafe", "/act", fmt.Sprint(n)
		}
		requests.Go(func() { m.send(vm, kind, path, body) })
		time.Sleep(time.Duration(random.ExpFloat64() / (endingPerSecond + deadlyPerSecond) * float64(time.Second)))
	}
	requests.Wait()
	for _, vm := range m.vms {
		vm.Close()
	}
	time.Sleep(restartTime + time.Second) // All processes have started again.
	synctest.Wait()
	for _, s := range m.servers {
		s.end(s.start)
	}
	time.Sleep(restartTime + time.Second)
}

// share returns the part of the requests of a kind that were served.
func (m *endingModel) share(kind string) float64 {
	all := 0
	for _, n := range m.results[kind] {
		all += n
	}
	return float64(m.results[kind]["served"]) / float64(max(1, all))
}

// Pattern: a request that crashes its servers comes again, seldom and often, among others and at
// all VMs. Guards against more than six processes that end under it, and against the others
// that are not served because of it.
func TestPatternDeadlyRequestAmongOthers(t *testing.T) {
	play := func(t *testing.T, rate float64, knowsRequests bool) (m *endingModel) {
		synctest.Test(t, func(t *testing.T) {
			m = newEndingModel(t, knowsRequests)
			m.play(t, rate, func(int) {})
		})
		return m
	}
	const maxCrashes = 6 // Stated target for one request.
	for _, rate := range []float64{0.5, 2, 15} {
		before, after := play(t, rate, false), play(t, rate, true)
		t.Logf("%v a second: %d processes ended before, %d after; %v", rate, before.crashes, after.crashes, after.results)
		if before.crashes <= maxCrashes {
			t.Errorf("%v a second: the pattern ends %d processes without any defence", rate, before.crashes)
		}
		if after.crashes > maxCrashes {
			t.Errorf("%v a second: %d processes ended", rate, after.crashes)
		}
		for _, kind := range []string{"safe", "popular", "unsafe"} {
			if after.results[kind]["Quarantined"] > 0 {
				t.Errorf("%v a second: %s requests in quarantine", rate, kind)
			}
			if after.share(kind) < before.share(kind) {
				t.Errorf("%v a second: %.3f of the %s requests served, %.3f before", rate, after.share(kind), kind, before.share(kind))
			}
		}
	}
}

// Pattern: three waves of crashed servers under load, among the requests one that many callers
// send. Guards against requests that are refused for crashes that they did not cause.
func TestPatternWavesOfCrashes(t *testing.T) {
	for _, perWave := range []int{3, 8} {
		synctest.Test(t, func(t *testing.T) {
			m := newEndingModel(t, true)
			m.play(t, 0, func(second int) {
				if second%4 != 2 {
					return
				}
				for i := range perWave {
					s := m.servers[(second*perWave+i)%endingServers]
					s.end(s.start)
				}
			})
			known := 0
			for _, table := range m.tables {
				known += len(table.States())
			}
			t.Logf("%d servers a wave: %v, %d suspicions", perWave, m.results, known)
			if known == 0 {
				t.Error("no request was ever suspected")
			}
			for kind, results := range m.results {
				if n := results["Quarantined"]; n > 0 {
					t.Errorf("%d %s requests in quarantine", n, kind)
				}
			}
		})
	}
}

// Guards against a crash that nobody notices because the attempt was given up before: by its
// deadline, and for a hedged request that ended well.
func TestCrashAfterTheAttemptWasGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newEndingModel(t, true)
		vm, table := m.vms[0], m.tables[0]
		vm.SetRelease(release(func(s *note.Service) {
			s.Deadline = note.Duration(deadlyTime / 2)
			s.Servers = []note.Server{{Addr: "10.0.0.0:1", Zone: "a", Slots: modelSlots, Conns: 400, Start: 1}}
		}))
		m.send(vm, "deadly", deadlyModelPath, "")
		time.Sleep(deadlyTime)
		m.send(vm, "safe", "/look/1", "") // It finds nobody at the address.
		time.Sleep(gossipTime)
		synctest.Wait()
		d := crash.NewHasher(nil).Digest(crash.Request{Method: http.MethodPost, Host: "example.com", Target: deadlyModelPath})
		if table.Servers(d) != 1 || m.tables[1].Servers(d) != 1 {
			t.Errorf("suspected %d and %d times", table.Servers(d), m.tables[1].Servers(d))
		}
		vm.Close()
		time.Sleep(restartTime + time.Second)
	})
}

// Guards against requests that are suspected although their servers only reset connections.
func TestResetIsNoCrash(t *testing.T) {
	broken := serveRaw(t, func(c net.Conn, _ *http.Request, _ []byte) bool { return reset(c) })
	f := newFixture(t, nil, broken)
	f.opts.Crashes, f.opts.Hasher = crash.New(crash.Options{}), crash.NewHasher(nil)
	for range 5 {
		expectResponse(t, f.do("POST", "/act", "same"), 502, "Interrupted", "unknown")
	}
	f.state.Load().services["s"].servers[broken.Addr().String()].pool.HasEnded(t.Context()) // Waits for the last check.
	if states := f.opts.Crashes.States(); len(states) > 0 {
		t.Errorf("suspected %+v", states)
	}
}

// Guards against a request that has run, and is told to callers as not run because it was put in
// quarantine meanwhile, and against one that waited for its turn and is sent all the same.
func TestQuarantineIsAccurate(t *testing.T) {
	var table atomic.Pointer[crash.Table]
	suspect := func(path string) {
		d := crash.NewHasher(nil).Digest(crash.Request{Method: http.MethodPost, Host: "example.com", Target: path})
		for p := range crash.Process(crash.QuarantineAfter) {
			table.Load().Crashed(time.Now(), d, p)
		}
	}
	failing := serveRaw(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		suspect(r.URL.Path)
		return reset(c)
	})
	refusing := serveRaw(t, func(c net.Conn, r *http.Request, _ []byte) bool {
		suspect(r.URL.Path)
		return respond(c, r, 503, "Azuredeal-Refused: shed\r\n", "")
	})
	spare := serveRaw(t, echoBody)
	for _, c := range []struct {
		first *backend
		path  string
		kind  string
		ran   string
	}{
		{failing, "/look/x", "Interrupted", "unknown"},
		{failing, "/act", "Interrupted", "unknown"},
		{refusing, "/look/x", "Quarantined", "no"},
		{refusing, "/act", "Quarantined", "no"},
	} {
		table.Store(crash.New(crash.Options{}))
		f := newFixture(t, nil, c.first, spare)
		f.opts.Crashes, f.opts.Hasher = table.Load(), crash.NewHasher(nil)
		status := map[string]int{"no": 503, "unknown": 502}[c.ran]
		expectResponse(t, f.do("POST", c.path, ""), status, c.kind, c.ran)
		f.expectIdle(t)
	}
	if n := spare.requests.Load(); n > 0 {
		t.Errorf("sent %d times after the third crash", n)
	}
}

// Guards against a request that is blamed for the end of a server where it had lost the race of a
// hedged request, although it ended well at the other one.
func TestLoserOfHedgedRequestIsNoSuspect(t *testing.T) {
	f := newFixture(t, nil, serveRaw(t, echoBody))
	f.opts.Crashes, f.opts.Hasher = crash.New(crash.Options{}), crash.NewHasher(nil)
	for _, endedWell := range []bool{false, true} {
		c, err := f.routeCall(f.state.Load(), "example.com", &url.URL{Path: "/look/x"}, http.MethodGet)
		failIf(t, err != nil, "%v", err)
		v := &server{abandoned: &abandoned{}}
		if endedWell {
			c.observeEnd(v, board.Sample{Outcome: board.Success})
		}
		c.observeEnd(v, board.Sample{Outcome: board.Canceled})
		failIf(t, v.abandoned.isEmpty() != endedWell, "ended well %v: blamed %v", endedWell, !v.abandoned.isEmpty())
	}
}
